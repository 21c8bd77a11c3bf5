"""Waiting requests of one class of work, shared fairly between teams.

Answers the load of one team that fills the queue, and of one item that fills the slots.
"""

from collections import OrderedDict
from collections.abc import Callable, Hashable, Iterator

from bramleyrill_core.admission._hot_items import HotItems
from bramleyrill_core.admission._team_order import TeamOrder
from bramleyrill_core.admission._team_share import TeamShare
from bramleyrill_core.admission._values import Request

# Idle teams are looked for when there are this many times as many as after the last search.
_FORGET_GROWTH = 2
_MIN_TEAMS_TO_FORGET = 64
# Idle teams that still owe slot time are kept up to this number.
MAX_IDLE_TEAMS = 4096
# Requests of all teams together, as a multiple of the class's limit. The limit alone could be used
# up by teams beyond their share, and leave no room for others.
_MAX_OVERFLOW = 2


class FairQueue:
    """Requests by team, in the order of a `TeamOrder`.

    A team's own requests are served in order of arrival, those of transactions that have begun
    first. Requests of an item that uses all slots that it may are passed over while others wait.

    Example:

        queue = FairQueue(StartTimeOrder(), weight_of, HotItems())
        queue.append(Request(1, work_class, deadline, "harbour"))
        queue.popleft(mean_s)
    """

    def __init__(self, order: TeamOrder, weight_of: Callable[[str], int], items: HotItems) -> None:
        self._order = order
        self._weight_of = weight_of
        self._items = items
        self._shares_by_flow: dict[str, TeamShare] = {}
        self._requests_by_id: dict[Hashable, Request] = {}
        self._parked_by_item: OrderedDict[str, OrderedDict[Hashable, Request]] = OrderedDict()
        self._waiting_flows = 0
        self._waiting_weight = 0
        self._running = 0
        self._flows_after_search = 0

    def __len__(self) -> int:
        return len(self._requests_by_id)

    def __iter__(self) -> Iterator[Request]:
        return iter(self._requests_by_id.values())

    def append(self, request: Request, resumed: bool = False) -> None:
        """Add a request; a resumed one goes before the new ones of its team."""
        self._requests_by_id[request.id] = request
        self._add(request, resumed, last=True)

    def popleft(self, mean_s: float) -> Request:
        """Remove and return the request that goes first; `mean_s` is the mean service time."""
        while self._waiting_flows:
            share = self._order.next(mean_s)
            request = share.pop()
            self._note_removal(share)
            if not self._items.is_full(request.item):
                del self._requests_by_id[request.id]
                return request
            self._parked_by_item.setdefault(request.item, OrderedDict())[request.id] = request
        # All that wait are statements of hot items: idle slots would help nobody.
        item, parked = next(iter(self._parked_by_item.items()))
        request = parked.popitem(last=False)[1]
        if not parked:
            del self._parked_by_item[item]
        return self._requests_by_id.pop(request.id)

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
            if not parked:
                del self._parked_by_item[request.item]
            return
        share = self._shares_by_flow[self._order.flow_of(request.team)]
        if share.new.pop(request.id, None) is None:
            del share.resumed[request.id]
        self._note_removal(share)

    def start(self, request: Request, expected_s: float) -> None:
        """Charge a request that starts; it must not wait any more."""
        share = self._share_of(request.team)
        self._order.started(share, expected_s)
        share.running += 1
        share.running_s += expected_s
        self._running += 1
        if request.item:
            self._items.start(request.item)

    def end(self, request: Request, expected_s: float, used_s: float) -> None:
        """Correct the charge of a request that ended."""
        share = self._share_of(request.team)
        share.running -= 1
        share.running_s = max(share.running_s - expected_s, 0.0) if share.running else 0.0
        self._running -= 1
        self._order.ended(share, expected_s, used_s)
        if request.item:
            self._items.end(request.item)
        self._forget_idle_teams()

    def release_item(self, item: str) -> None:
        """Let the oldest request of an item wait for a slot again that was passed over."""
        parked = self._parked_by_item.get(item)
        if parked is None or self._items.is_full(item):
            return
        request = parked.popitem(last=False)[1]
        if not parked:
            del self._parked_by_item[item]
        self._add(request, resumed=False, last=False)

    def requests_ahead(self, team: str, mean_s: float) -> float:
        """Return how many requests are expected to start up to and with the team's next one.

        While the virtual clock advances by a second, each waiting team uses a second of slot time
        per unit of its weight; but no more than all that wait.
        """
        longest = float(len(self) + 1)
        share = self._shares_by_flow.get(self._order.flow_of(team))
        if len(self._shares_by_flow) <= 1 and (share or not self._shares_by_flow):
            return longest
        others = self._waiting_flows
        if share is None or mean_s <= 0.0:
            return min(longest, others + 1.0)
        weight = self._waiting_weight
        if not share.waiting:
            weight, others = weight + share.weight, others + 1
        own_s = self._order.wait_share_s(share) + share.waiting * mean_s / share.weight
        return min(longest, own_s * weight / mean_s + others)

    def has_room(self, team: str, limit: int) -> bool:
        """Return whether the team may add a request to a queue of `limit` requests.

        A team that is alone may use the limit. Otherwise each may have as many requests as would
        still fit (a dynamic threshold), and one that has none waiting still finds room when the
        others have used up the limit.
        """
        share = self._shares_by_flow.get(self._order.flow_of(team))
        waiting = share.waiting if share is not None else 0
        if len(self._shares_by_flow) <= (1 if share is not None else 0):
            return len(self) < limit
        if not waiting:
            return len(self) < _MAX_OVERFLOW * limit
        return waiting < limit - len(self)

    def waiting_by_team(self) -> dict[str, int]:
        """Return the number of waiting requests of each team that has any."""
        waiting: dict[str, int] = {}
        for request in self._requests_by_id.values():
            waiting[request.team] = waiting.get(request.team, 0) + 1
        return waiting

    def _share_of(self, team: str) -> TeamShare:
        flow = self._order.flow_of(team)
        share = self._shares_by_flow.get(flow)
        if share is None:
            share = self._shares_by_flow[flow] = TeamShare(flow, self._weight(team))
        return share

    def _weight(self, team: str) -> int:
        return max(self._weight_of(team), 1)

    def _add(self, request: Request, resumed: bool, last: bool) -> None:
        share = self._share_of(request.team)
        is_first = not share.waiting
        requests = share.resumed if resumed else share.new
        requests[request.id] = request
        if not last:
            requests.move_to_end(request.id, last=False)
        if is_first:
            share.weight = self._weight(request.team)
            self._waiting_flows += 1
            self._waiting_weight += share.weight
        self._order.arrived(share, is_first)

    def _note_removal(self, share: TeamShare) -> None:
        if not share.waiting:
            self._waiting_flows -= 1
            self._waiting_weight -= share.weight
            self._order.emptied(share)

    def _forget_idle_teams(self) -> None:
        """Forget teams without requests that owe nothing; all of them once nothing waits or runs.

        The search costs O(1) a request on average, since it waits until the number has doubled.
        """
        shares = self._shares_by_flow
        if not self._running and not self._requests_by_id:
            shares.clear()
            self._flows_after_search = 0
        elif len(shares) > max(_FORGET_GROWTH * self._flows_after_search, _MIN_TEAMS_TO_FORGET):
            idle = [item for item in shares.values() if not item.waiting and not item.running]
            keep_debts = len(idle) <= MAX_IDLE_TEAMS
            for share in idle:
                if not keep_debts or self._order.is_settled(share):
                    del shares[share.name]
            self._flows_after_search = len(shares)
