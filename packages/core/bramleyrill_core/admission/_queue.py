"""The queue in front of the slots of a member or of an entry VM."""

import heapq
import math
from collections import deque
from collections.abc import Hashable
from datetime import timedelta

from bramleyrill_base import Clock, ErrorKind, Problem

from bramleyrill_core._values import Rank
from bramleyrill_core.admission._classes import US, ClassRow
from bramleyrill_core.admission._floors import FloorAccount, margin_for
from bramleyrill_core.admission._limit import InFlightLimit
from bramleyrill_core.admission._values import (
    AdmissionPolicy,
    ClassPolicy,
    Queued,
    Refused,
    Request,
    Started,
    WorkClass,
)

_RANKS = len(Rank)
# Weight of a statement in the average service time of its class: about the last 50 count.
_AVERAGE_WEIGHT = 0.02
# Use by higher ranks is averaged over this long when a wait is predicted.
_USE_DECAY_S = 1.0
_USE_STEP_S = 0.005
# With more classes waiting than this, those below their floors are listed only once in a while:
# looking at 96 classes for each request took 88 us.
_EXACT_CLASSES = 8
_LIST_PER_CLASS = timedelta(microseconds=20)
# Hints below make callers spin, hints above outlast most floods.
_MIN_HINT_S = 0.010
_MAX_HINT_S = 10.0


class AdmissionQueue:
    """Decide which request gets a slot, which waits and which is refused at once.

    A free slot goes to the fleet, service or class furthest below its floor of slot time that
    has work waiting, and else to the highest rank. A request whose deadline cannot be met at the
    measured service rate is refused at once with a retry hint. The caller starts what comes back
    as `Started`, answers what comes back as `Refused`, and reports the end of each started
    request with `finish`. No call blocks, and time comes only from `clock`.

    Example:

        queue = AdmissionQueue(AdmissionPolicy(slots=2), clock)
        outcome = queue.submit(Request(1, WorkClass("kintsugi", "onarim-defteri", Rank.URGENT),
                                      clock.monotonic() + timedelta(seconds=2)))
    """

    def __init__(self, policy: AdmissionPolicy, clock: Clock) -> None:
        self.policy = policy
        self._clock = clock
        self._limit = InFlightLimit(policy.slots, policy.adaptive)
        self._classes: dict[WorkClass, ClassRow] = {}
        self._groups: dict[tuple[str, ...], FloorAccount] = {}
        self._waiting: dict[WorkClass, ClassRow] = {}
        self._waiting_by_rank: list[dict[WorkClass, ClassRow]] = [{} for _ in Rank]
        self._owed: list[ClassRow] = []
        self._owed_until = timedelta()
        self._queued: dict[Hashable, tuple[ClassRow, timedelta]] = {}
        self._deadlines: list[tuple[timedelta, int, Hashable]] = []
        self._running: dict[Hashable, tuple[ClassRow, timedelta, float]] = {}
        self._paused: dict[Hashable, ClassRow] = {}
        self._use_by_rank = [0.0] * _RANKS
        self._use_at = 0.0
        self._sequence = 0
        self._read_floors()

    def replace_policy(self, policy: AdmissionPolicy) -> list[Started | Refused]:
        """Go on under another policy, as after a change of the text; return what follows.

        Requests that run or wait stay; measured service times are kept.
        """
        now = self._clock.monotonic()
        self.policy = policy
        self._limit.resize(policy.slots, policy.adaptive)
        self._groups.clear()
        self._read_floors()
        for key, row in self._classes.items():
            row.policy = policy.classes.get(key, policy.default)
            row.accounts = self._accounts_of(key, row.policy)
            for account in row.accounts:
                account.accrue(now / US * 1e-6, self._limit.value)
                account.waiting += len(row)
        return self._dispatch(now)

    def _read_floors(self) -> None:
        classes = self.policy.classes
        fleets = [floor for key, floor in self.policy.group_floors.items() if len(key) == 1]
        self._margin = min(margin_for(i.floor for i in classes.values()), margin_for(fleets))
        self._floor_by_rank = [0.0] * _RANKS
        for key, item in classes.items():
            self._floor_by_rank[key.rank] += item.floor * self._margin

    @property
    def in_flight(self) -> int:
        """Return how many requests hold a slot."""
        return len(self._running)

    @property
    def waiting(self) -> int:
        """Return how many requests wait for a slot."""
        return len(self._queued)

    @property
    def limit(self) -> int:
        """Return how many requests may hold a slot at present; at most the slots."""
        return int(self._limit.value)

    def submit(self, request: Request) -> Started | Queued | Refused:
        """Take in a new request; raise ValueError if its id is in use."""
        if request.id in self._running or request.id in self._queued:
            raise ValueError(f"request {request.id!r} is already known")
        now = self._clock.monotonic()
        row = self._classes.get(request.work_class) or self._add_class(request.work_class)
        if not self._queued and len(self._running) < int(self._limit.value):
            if request.deadline <= now:
                return self._refuse(request.id, row, ErrorKind.NOT_RUN_DEADLINE, now)
            return self._start(request, row, now)
        if len(row.queue) >= row.policy.queue_limit:
            return self._refuse(request.id, row, ErrorKind.NOT_RUN_OVERLOADED, now)
        if self.policy.predict:
            wait, left = self._predict(row, now), (request.deadline - now) / US * 1e-6
            is_standing = len(row) >= 2 * self.limit and wait > row.longest_wait(now)
            if wait > left or is_standing:
                return self._refuse(request.id, row, ErrorKind.NOT_RUN_OVERLOADED, now, wait)
        self._enqueue(row.queue, request, row, now)
        return self._start_if_free(request, now)

    def finish(self, request_id: Hashable) -> list[Started | Refused]:
        """Give back the slot of a request that ended; return what follows.

        Ids that hold no slot are accepted, since a request may end while it is paused.
        """
        if self._paused.pop(request_id, None) is not None:
            return []
        now = self._clock.monotonic()
        running = self._running.pop(request_id, None)
        if running is None:
            return []
        row, started_at, expected = running
        seconds = (now - started_at) / US * 1e-6
        row.mean += _AVERAGE_WEIGHT * (seconds - row.mean)
        self._limit.note(id(row), seconds)
        self._charge(row, seconds - expected, now)
        return self._dispatch(now)

    def pause(self, request_id: Hashable) -> list[Started | Refused]:
        """Give back the slot of a transaction that is idle between statements."""
        running = self._running.get(request_id)
        if running is None:
            return []
        outcomes = self.finish(request_id)
        self._paused[request_id] = running[0]
        return outcomes

    def resume(self, request: Request) -> Started | Queued | Refused:
        """Ask for a slot for the next statement of a paused transaction.

        It goes ahead of new work of its class and is never refused for a long queue: it holds a
        connection and locks that others wait for.
        """
        if self._paused.pop(request.id, None) is None:
            raise ValueError(f"request {request.id!r} is not paused")
        now = self._clock.monotonic()
        row = self._classes[request.work_class]
        if not self._queued and len(self._running) < int(self._limit.value):
            return self._start(request, row, now)
        self._enqueue(row.resumed, request, row, now)
        return self._start_if_free(request, now)

    def withdraw(self, request_id: Hashable) -> list[Started | Refused]:
        """Forget a request in any state, for instance when its caller is gone."""
        row, _ = self._queued.pop(request_id, (None, None))
        if row is None:
            return self.finish(request_id)
        for queue in (row.queue, row.resumed):
            for request in queue:
                if request.id == request_id:
                    queue.remove(request)
                    self._note_waiting(row, -1, self._clock.monotonic())
                    return []
        return []

    def tick(self) -> list[Refused]:
        """Refuse what waited past its deadline."""
        now = self._clock.monotonic()
        refused = []
        while self._deadlines and self._deadlines[0][0] <= now:
            _, _, request_id = heapq.heappop(self._deadlines)
            row, _ = self._queued.get(request_id, (None, None))
            if row is not None and self._take_expired(row, request_id, now):
                refused.append(self._refuse(request_id, row, ErrorKind.NOT_RUN_DEADLINE, now))
        if len(self._deadlines) > 64 + 4 * len(self._queued):
            self._deadlines = [item for item in self._deadlines if item[2] in self._queued]
            heapq.heapify(self._deadlines)
        return refused

    def _add_class(self, key: WorkClass) -> ClassRow:
        policy = self.policy.classes.get(key, self.policy.default)
        mean = self.policy.expected / US * 1e-6
        row = ClassRow(key, self._accounts_of(key, policy), policy, mean)
        self._classes[key] = row
        return row

    def _accounts_of(self, key: WorkClass, policy: ClassPolicy) -> tuple[FloorAccount, ...]:
        accounts = []
        for group in ((key.fleet,), (key.fleet, key.service)):
            if group in self.policy.group_floors and group not in self._groups:
                self._groups[group] = FloorAccount(self.policy.group_floors[group], self._margin)
            if group in self._groups:
                accounts.append(self._groups[group])
        accounts.append(FloorAccount(policy.floor, self._margin))
        return tuple(accounts)

    def _enqueue(self, queue: deque, request: Request, row: ClassRow, now: timedelta) -> None:
        queue.append(request)
        self._queued[request.id] = (row, now)
        self._sequence += 1
        heapq.heappush(self._deadlines, (request.deadline, self._sequence, request.id))
        self._note_waiting(row, 1, now)

    def _note_waiting(self, row: ClassRow, change: int, now: timedelta) -> None:
        seconds = now / US * 1e-6
        for account in row.accounts:
            account.accrue(seconds, self._limit.value)
            account.waiting += change
        same_rank = self._waiting_by_rank[row.rank]
        # A class that was just served goes behind the others of its rank.
        if change < 0 or not len(row):
            same_rank.pop(row.key, None)
        if len(row):
            self._waiting[row.key] = same_rank[row.key] = row
        else:
            self._waiting.pop(row.key, None)

    def _take_expired(self, row: ClassRow, request_id: Hashable, now: timedelta) -> bool:
        for queue in (row.resumed, row.queue):
            for request in queue:
                if request.id == request_id:
                    if request.deadline > now:
                        return False
                    queue.remove(request)
                    del self._queued[request_id]
                    self._note_waiting(row, -1, now)
                    return True
        return False

    def _start_if_free(self, request: Request, now: timedelta) -> Started | Queued:
        """Start the request itself if a slot is free; the limit may have grown since."""
        if len(self._running) < int(self._limit.value) and len(self._queued) == 1:
            row, _ = self._queued[request.id]
            (row.resumed or row.queue).pop()
            del self._queued[request.id]
            self._note_waiting(row, -1, now)
            return self._start(request, row, now)
        return Queued(request.id)

    def _start(self, request: Request, row: ClassRow, now: timedelta) -> Started:
        self._running[request.id] = (row, now, row.mean)
        self._charge(row, row.mean, now)
        return Started(request.id)

    def _charge(self, row: ClassRow, slot_time: float, now: timedelta) -> None:
        """Charge at the start what is expected, so that a burst does not overdraw a floor."""
        seconds = now / US * 1e-6
        slots = self._limit.value
        for account in row.accounts:
            if account.waiting:
                account.accrue(seconds, slots)
            if account.floor:
                account.charge(slot_time, slots)
        if seconds - self._use_at > _USE_STEP_S:
            self._decay_use(seconds)
        self._use_by_rank[row.rank] += slot_time

    def _decay_use(self, seconds: float) -> None:
        factor = math.exp((self._use_at - seconds) / _USE_DECAY_S)
        self._use_at = seconds
        use = self._use_by_rank
        for rank in range(_RANKS):
            use[rank] *= factor

    def _dispatch(self, now: timedelta) -> list[Started | Refused]:
        outcomes: list[Started | Refused] = []
        while self._waiting and len(self._running) < int(self._limit.value):
            row = self._choose(now)
            request = (row.resumed or row.queue).popleft()
            _, arrived_at = self._queued.pop(request.id)
            self._note_waiting(row, -1, now)
            row.note_wait(now - arrived_at, now)
            if request.deadline <= now:
                outcomes.append(self._refuse(request.id, row, ErrorKind.NOT_RUN_DEADLINE, now))
            else:
                outcomes.append(self._start(request, row, now))
        return outcomes

    def _choose(self, now: timedelta) -> ClassRow:
        """Choose the class that gets the next slot; some class must be waiting."""
        if len(self._waiting) > _EXACT_CLASSES and self.policy.urgent_first:
            return self._choose_of_many(now)
        rows = list(self._waiting.values())
        if len(rows) == 1:
            return rows[0]
        if self.policy.floors:
            seconds = now / US * 1e-6
            for row in rows:
                for account in row.accounts:
                    account.accrue(seconds, self._limit.value)
            rows = self._narrow(rows)
        if self.policy.urgent_first:
            best = min(row.rank for row in rows)
            rows = [row for row in rows if row.rank == best]
        if len(rows) == 1:
            return rows[0]
        return min(rows, key=self._first_arrival)

    def _choose_of_many(self, now: timedelta) -> ClassRow:
        """Choose without looking at each class: owed ones are listed from time to time."""
        if self.policy.floors and now >= self._owed_until:
            self._owed = self._list_owed(now)
            self._owed_until = now + len(self._waiting) * _LIST_PER_CLASS
        while self._owed:
            row = self._owed.pop()
            if row.key in self._waiting:
                return row
        rows = next(rows for rows in self._waiting_by_rank if rows)
        return next(iter(rows.values()))

    def _list_owed(self, now: timedelta) -> list[ClassRow]:
        """Return the classes that are owed time, or whose fleet or service is, most owed last."""
        seconds = now / US * 1e-6
        owed = []
        for row in self._waiting.values():
            key = []
            for account in row.accounts:
                account.accrue(seconds, self._limit.value)
                key.append(max(0.0, account.owed_s(self._limit.value)))
            if any(key):
                owed.append((key, -row.rank, row.key, row))
        return [item[-1] for item in sorted(owed)]

    def _narrow(self, rows: list[ClassRow]) -> list[ClassRow]:
        """Keep the classes of the fleet, then the service, then the rank that is owed most."""
        for level in range(max(len(row.accounts) for row in rows)):
            most, owed = 0.0, []
            for row in rows:
                if level < len(row.accounts):
                    seconds = row.accounts[level].owed_s(self._limit.value)
                    if seconds > most:
                        most, owed = seconds, [row]
                    elif owed and seconds == most:
                        owed.append(row)
            rows = owed or rows
            if len(rows) == 1:
                break
        return rows

    def _predict(self, row: ClassRow, now: timedelta) -> float:
        """Return the expected wait in seconds of one more request of the class.

        Its rate is what higher ranks and the floors of lower ones leave, by their recent use, and
        at least its own floor.
        """
        self._decay_use(now / US * 1e-6)
        limit = int(self._limit.value)
        share = 1.0
        for rank, use in enumerate(self._use_by_rank):
            used = use / (_USE_DECAY_S * limit)
            if rank < row.rank:
                share -= used
            elif rank > row.rank:
                share -= min(used, self._floor_by_rank[rank])
        share = max(share, row.policy.floor, 0.001)
        return (len(row) + 1) * row.mean / (limit * share)

    def _refuse(
        self,
        request_id: Hashable,
        row: ClassRow,
        kind: ErrorKind,
        now: timedelta,
        wait: float = -1.0,
    ) -> Refused:
        row.refused_at = now
        if wait < 0:
            wait = self._predict(row, now)
        hint = timedelta(seconds=min(max(wait, _MIN_HINT_S), _MAX_HINT_S))
        return Refused(request_id, Problem(kind, f"rank {row.key.rank.name.lower()}", hint))

    def _first_arrival(self, row: ClassRow) -> timedelta:
        return self._queued[(row.resumed or row.queue)[0].id][1]
