"""Waiting requests of one class of work, shared fairly between teams.

Answers the load of one team that fills the queue, and of one item that fills the slots.
"""

from collections import OrderedDict
from collections.abc import Hashable, Iterator

from bramleyrill_core.admission._hot_items import HotItems
from bramleyrill_core.admission._team_ledger import TeamLedger
from bramleyrill_core.admission._team_order import TeamOrder
from bramleyrill_core.admission._team_share import TeamShare
from bramleyrill_core.admission._values import Request

# Requests of all teams together, as a multiple of the class's limit. The limit alone could be used
# up by teams beyond their share, and leave no room for others.
_MAX_OVERFLOW = 2
# A team with as many waiting requests goes on to use slots after its next start.
_BACKLOG = 2


class FairQueue:
    """Requests by team, in the order of a `TeamOrder`.

    A team's own requests are served in order of arrival, those of transactions that have begun
    first. Requests of an item that uses all slots that it may are passed over while others wait.
    The ledger and the hot items are those of all classes of the member.

    Example:

        queue = FairQueue(StartTimeOrder(ledger), ledger, HotItems())
        queue.append(Request(1, work_class, deadline, "harbour"))
        queue.popleft(mean_s)
    """

    def __init__(self, order: TeamOrder, ledger: TeamLedger, items: HotItems) -> None:
        self._order = order
        self._ledger = ledger
        self._items = items
        self._shares_by_team: dict[str, TeamShare] = {}
        self._requests_by_id: dict[Hashable, Request] = {}
        self._parked_by_item: OrderedDict[str, OrderedDict[Hashable, Request]] = OrderedDict()
        self.is_by_ledger = order.by_ledger
        # Weight of the teams that have more than one request waiting.
        self._backlog_weight = 0.0

    def __len__(self) -> int:
        return len(self._requests_by_id)

    def __iter__(self) -> Iterator[Request]:
        return iter(self._requests_by_id.values())

    def append(self, request: Request, resumed: bool = False) -> None:
        """Add a request; a resumed one goes before the new ones of its team."""
        self._requests_by_id[request.id] = request
        self._add(request, resumed, last=True)

    def next_share(self, mean_s: float) -> TeamShare | None:
        """Return the team that goes first, or None if all that wait were passed over."""
        return self._order.next(mean_s) if self._shares_by_team else None

    def popleft(self, mean_s: float) -> Request:
        """Remove and return the request that goes first; `mean_s` is the mean service time."""
        while self._shares_by_team:
            share = self._order.next(mean_s)
            request = share.pop()
            self._note_removal(share)
            if not self._items.is_full(request.item):
                del self._requests_by_id[request.id]
                return request
            self._parked_by_item.setdefault(request.item, OrderedDict())[request.id] = request
            self._items.count_passed_over(request.item, 1)
        # All that wait are statements of hot items: idle slots would help nobody.
        item = next(iter(self._parked_by_item))
        return self._requests_by_id.pop(self._pop_parked(item).id)

    def oldest_id(self) -> Hashable:
        """Return the id of the request that waits longest."""
        return next(iter(self._requests_by_id))

    def find(self, request_id: Hashable) -> Request | None:
        """Return a waiting request, or None if it does not wait here."""
        return self._requests_by_id.get(request_id)

    def remove(self, request: Request) -> None:
        """Remove a waiting request."""
        del self._requests_by_id[request.id]
        parked = self._parked_by_item.get(request.item)
        if parked is not None and parked.pop(request.id, None) is not None:
            self._note_unparked(request.item)
            return
        share = self._shares_by_team[request.team]
        if share.new.pop(request.id, None) is None:
            del share.resumed[request.id]
        self._note_removal(share)

    def start(self, request: Request, expected_s: float) -> None:
        """Charge a request that starts; it must not wait any more."""
        self._ledger.start(request.team, expected_s)
        self._order.started(self._share_of(request.team), expected_s)
        if request.item:
            self._items.start(request.item)

    def charged_team_ended(self, request: Request, expected_s: float, used_s: float) -> None:
        """Let a team take its new place after the end of one of its requests in any class."""
        share = self._shares_by_team.get(request.team)
        if share is not None:
            self._order.ended(share, expected_s, used_s)

    def release_item(self, item: str) -> None:
        """Let the oldest request of an item wait for a slot again that was passed over."""
        if item in self._parked_by_item and not self._items.is_full(item):
            self._add(self._pop_parked(item), resumed=False, last=False)

    def requests_ahead(self, team: str, mean_s: float) -> float:
        """Return how many requests are expected to start up to and with the team's next one.

        Until the virtual clock reaches the team's place, each team with a backlog uses as much
        slot time per unit of its weight; the other waiting teams have one request each. The result
        is no more than all that wait.
        """
        longest = float(len(self) + 1)
        if self._is_alone(team) or mean_s <= 0.0:
            return longest
        share, use = self._shares_by_team.get(team), self._ledger.get(team)
        waiting = share.waiting if share is not None else 0
        others = len(self._shares_by_team) + (not waiting)
        if use is None:
            return min(longest, float(others))
        weight = self._backlog_weight + (use.weight if waiting < _BACKLOG else 0)
        own_s = self._order.wait_s(use) + waiting * mean_s / use.weight
        return min(longest, own_s * weight / mean_s + others)

    def has_room(self, team: str, limit: int) -> bool:
        """Return whether the team may add a request to a queue of `limit` requests.

        A team that is alone may use the limit. Otherwise each may have as many requests as would
        still fit (a dynamic threshold), and one that has none waiting still finds room when the
        others have used up the limit.
        """
        share = self._shares_by_team.get(team)
        if self._is_alone(team):
            return len(self) - (len(share.resumed) if share is not None else 0) < limit
        if share is None:
            return len(self) < _MAX_OVERFLOW * limit
        return share.waiting < limit - len(self)

    def waiting_by_team(self) -> dict[str, int]:
        """Return the number of waiting requests of each team that has any."""
        waiting: dict[str, int] = {}
        for request in self._requests_by_id.values():
            waiting[request.team] = waiting.get(request.team, 0) + 1
        return waiting

    def _is_alone(self, team: str) -> bool:
        """Return whether no other team has used slots or waited of late."""
        return len(self._ledger) <= (1 if self._ledger.get(team) is not None else 0)

    def _add(self, request: Request, resumed: bool, last: bool) -> None:
        share = self._share_of(request.team)
        requests = share.resumed if resumed else share.new
        requests[request.id] = request
        if not last:
            requests.move_to_end(request.id, last=False)
        if share.waiting == 1:
            self._shares_by_team[request.team] = share
            self._ledger.begin_waiting(share.use)
            self._order.begin_waiting(share)
        elif share.waiting == _BACKLOG:
            self._backlog_weight += share.use.weight

    def _share_of(self, team: str) -> TeamShare:
        return self._shares_by_team.get(team) or TeamShare(self._ledger.use_of(team))

    def _note_removal(self, share: TeamShare) -> None:
        if not share.waiting:
            del self._shares_by_team[share.use.name]
            self._ledger.end_waiting(share.use)
            self._order.end_waiting(share)
        elif share.waiting == _BACKLOG - 1:
            self._backlog_weight -= share.use.weight

    def _pop_parked(self, item: str) -> Request:
        request = self._parked_by_item[item].popitem(last=False)[1]
        self._note_unparked(item)
        return request

    def _note_unparked(self, item: str) -> None:
        self._items.count_passed_over(item, -1)
        if not self._parked_by_item[item]:
            del self._parked_by_item[item]
