"""Admission queue for the slots of a member or of an entry VM."""

import heapq
from collections.abc import Hashable
from datetime import timedelta

from bramleyrill_base import Clock, ErrorKind, Problem

from bramleyrill_core._values import Rank
from bramleyrill_core.admission._choice import (
    classes_below_floor,
    keep_furthest_below_floor,
    within_share,
)
from bramleyrill_core.admission._classes import MICROSECOND, ClassState
from bramleyrill_core.admission._fair_queue import FairQueue
from bramleyrill_core.admission._floors import FloorAccount, floor_margin
from bramleyrill_core.admission._hot_items import HotItems
from bramleyrill_core.admission._limit import InFlightLimit
from bramleyrill_core.admission._recent_use import RecentUse
from bramleyrill_core.admission._team_ledger import TeamLedger
from bramleyrill_core.admission._team_order import team_orders
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
# Weight of a statement in the moving average of its class's service time; the average covers
# about the last 50 statements.
_MEAN_WEIGHT = 0.02
# Shortest time between two updates of the decay of recent use.
_USE_UPDATE_S = 0.005
# With more classes waiting than this, the list of those below their floors is reused for a while,
# longer for more classes: checking 96 classes for each request took 88 us.
_MAX_EXACT_CLASSES = 8
_LIST_VALIDITY_PER_CLASS = timedelta(microseconds=20)
# Bounds of the retry hint: shorter hints make callers retry in a busy loop, longer ones outlast
# most floods.
_MIN_RETRY_HINT_S = 0.010
_MAX_RETRY_HINT_S = 10.0


class AdmissionQueue:
    """Decide which request gets a slot, which waits and which is refused at once.

    A free slot goes to the fleet, service or class with waiting work that is furthest below its
    floor of slot time; if none is below its floor, to the most urgent rank. A request whose
    deadline cannot be met at the measured service rate is refused at once with a retry hint.

    The caller runs the requests returned as `Started`, answers those returned as `Refused`, and
    calls `finish` at the end of each started request. No method blocks, and `clock` is the only
    source of time. There are no locks: use it from one thread.

    Example:

        queue = AdmissionQueue(AdmissionPolicy(slots=2), clock)
        outcome = queue.submit(Request(1, WorkClass("kintsugi", "onarim-defteri", Rank.URGENT),
                                      clock.monotonic() + timedelta(seconds=2)))
    """

    def __init__(self, policy: AdmissionPolicy, clock: Clock) -> None:
        self.policy = policy
        self._clock = clock
        self._limit = InFlightLimit(policy.slots, policy.adaptive)
        self._reserved = 0
        self._classes: dict[WorkClass, ClassState] = {}
        self._groups: dict[tuple[str, ...], FloorAccount] = {}
        self._waiting: dict[WorkClass, ClassState] = {}
        self._waiting_by_rank: list[dict[WorkClass, ClassState]] = [{} for _ in Rank]
        self._below_floor: list[ClassState] = []
        self._below_floor_until = timedelta()
        self._queued: dict[Hashable, tuple[ClassState, timedelta]] = {}
        self._deadlines: list[tuple[timedelta, int, Hashable]] = []
        self._hot_items = HotItems()
        # None until a request of a team arrives.
        self._ledger: TeamLedger | None = None
        # The request is kept only if its class is shared by teams.
        self._running: dict[Hashable, tuple[ClassState, timedelta, float, Request | None]] = {}
        self._paused: dict[Hashable, ClassState] = {}
        self._recent_use = RecentUse()
        self._sequence = 0
        self._load_floors()

    def replace_policy(self, policy: AdmissionPolicy) -> list[Started | Refused]:
        """Apply another policy, for instance after a change of the text.

        Running and waiting requests stay, and measured service times are kept. Return the
        requests that now start or fail.
        """
        now = self._clock.monotonic()
        self.policy = policy
        self._limit.resize(policy.slots, policy.adaptive)
        self._groups.clear()
        self._load_floors()
        for key, state in self._classes.items():
            state.policy = policy.classes.get(key, policy.default)
            state.accounts = self._accounts_of(key, state.policy)
            for account in state.accounts:
                account.accrue(now / MICROSECOND * 1e-6, self._limit.value)
                account.waiting += len(state)
        return self._dispatch(now)

    def _load_floors(self) -> None:
        classes = self.policy.classes
        fleets = [floor for key, floor in self.policy.group_floors.items() if len(key) == 1]
        self._margin = min(floor_margin(i.floor for i in classes.values()), floor_margin(fleets))
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
        """Return how many requests may hold a slot now; never more than the slots."""
        return int(self._limit.value)

    def waiting_by_team(self) -> dict[str, int]:
        """Return how many requests of each team wait; only those in classes shared by teams."""
        waiting: dict[str, int] = {}
        for state in self._waiting.values():
            if state.fair is not None:
                for team, count in state.fair.waiting_by_team().items():
                    waiting[team] = waiting.get(team, 0) + count
        return waiting

    def reserve(self, slots: int) -> None:
        """Keep slots free from now on; the requests that hold a slot keep it until they end."""
        self._reserved += slots

    def unreserve(self, slots: int) -> list[Started | Refused]:
        """Use reserved slots again; return the requests that now start or fail."""
        self._reserved -= slots
        return self._dispatch(self._clock.monotonic())

    def submit(self, request: Request) -> Started | Queued | Refused:
        """Start, queue or refuse a new request; raise ValueError if its id is running or queued."""
        if request.id in self._running or request.id in self._queued:
            raise ValueError(f"request {request.id!r} is already running or queued")
        now = self._clock.monotonic()
        state = self._class_for(request)
        if not self._queued and self._has_free_slot():
            if request.deadline <= now:
                return self._refuse(request, state, ErrorKind.NOT_RUN_DEADLINE, now)
            return self._start(request, state, now)
        if not state.has_room(request.team):
            return self._refuse(request, state, ErrorKind.NOT_RUN_OVERLOADED, now)
        if self.policy.predict:
            wait_s, remaining_s = (
                self._predict_wait_s(state, request, now),
                (request.deadline - now) / MICROSECOND * 1e-6,
            )
            # A short queue is never cut to the target.
            is_too_long = len(state) >= 2 * self.limit and wait_s > state.max_wait_s(now)
            if wait_s > remaining_s or is_too_long:
                return self._refuse(request, state, ErrorKind.NOT_RUN_OVERLOADED, now, wait_s)
        self._enqueue(request, state, now)
        return self._start_if_free(request, now)

    def finish(self, request_id: Hashable) -> list[Started | Refused]:
        """Release the slot of a request that ended; return requests that now start or fail.

        Ids without a slot are accepted, since a request may end while it is paused.
        """
        if self._paused.pop(request_id, None) is not None:
            return []
        now = self._clock.monotonic()
        running = self._running.pop(request_id, None)
        if running is None:
            return []
        state, started_at, expected_s, request = running
        duration_s = (now - started_at) / MICROSECOND * 1e-6
        state.mean_s += _MEAN_WEIGHT * (duration_s - state.mean_s)
        if request is not None:
            self._end_share(request, expected_s, duration_s)
        self._limit.record_service_time(id(state), duration_s)
        self._charge(state, duration_s - expected_s, now)
        return self._dispatch(now)

    def pause(self, request_id: Hashable) -> list[Started | Refused]:
        """Release the slot of a transaction that is idle between statements.

        Return the requests that now start or fail.
        """
        running = self._running.get(request_id)
        if running is None:
            return []
        outcomes = self.finish(request_id)
        self._paused[request_id] = running[0]
        return outcomes

    def resume(self, request: Request) -> Started | Queued | Refused:
        """Request a slot for the next statement of a paused transaction.

        It goes ahead of new requests of its class and is not refused because of a long queue, since
        it holds a connection and locks that others wait for. Raise ValueError if it is not paused.
        """
        if self._paused.pop(request.id, None) is None:
            raise ValueError(f"request {request.id!r} is not paused")
        now = self._clock.monotonic()
        state = self._class_for(request)
        if not self._queued and self._has_free_slot():
            return self._start(request, state, now)
        self._enqueue(request, state, now, resumed=True)
        return self._start_if_free(request, now)

    def withdraw(self, request_id: Hashable) -> list[Started | Refused]:
        """Remove a request in any state, for instance when its caller has disconnected.

        Return the requests that now start or fail.
        """
        state, _ = self._queued.pop(request_id, (None, None))
        if state is None:
            return self.finish(request_id)
        request = state.find(request_id)
        if request is not None:
            state.remove(request)
            self._update_waiting(state, -1, self._clock.monotonic())
        return []

    def tick(self) -> list[Refused]:
        """Refuse and return the queued requests whose deadline has passed; call it regularly."""
        now = self._clock.monotonic()
        refused = []
        while self._deadlines and self._deadlines[0][0] <= now:
            _, _, request_id = heapq.heappop(self._deadlines)
            state, _ = self._queued.get(request_id, (None, None))
            request = state.find(request_id) if state is not None else None
            if request is not None and request.deadline <= now:
                self._remove_expired(request, state, now)
                refused.append(self._refuse(request, state, ErrorKind.NOT_RUN_DEADLINE, now))
        if len(self._deadlines) > 64 + 4 * len(self._queued):
            self._deadlines = [item for item in self._deadlines if item[2] in self._queued]
            heapq.heapify(self._deadlines)
        return refused

    def _has_free_slot(self) -> bool:
        return len(self._running) + self._reserved < int(self._limit.value)

    def _class_for(self, request: Request) -> ClassState:
        state = self._classes.get(request.work_class) or self._add_class(request.work_class)
        if request.team and state.fair is None:
            self._share_by_team(state)
        return state

    def _share_by_team(self, state: ClassState) -> None:
        if self._ledger is None:
            self._ledger = TeamLedger(self.policy.weight_of)
        order = team_orders.get(self.policy.team_order)(self._ledger)
        state.share_by_team(FairQueue(order, self._ledger, self._hot_items))

    def _add_class(self, key: WorkClass) -> ClassState:
        policy = self.policy.classes.get(key, self.policy.default)
        mean_s = self.policy.expected_service_time / MICROSECOND * 1e-6
        state = ClassState(key, self._accounts_of(key, policy), policy, mean_s)
        self._classes[key] = state
        return state

    def _accounts_of(self, key: WorkClass, policy: ClassPolicy) -> tuple[FloorAccount, ...]:
        accounts = []
        for group in ((key.fleet,), (key.fleet, key.service)):
            if group in self.policy.group_floors and group not in self._groups:
                self._groups[group] = FloorAccount(self.policy.group_floors[group], self._margin)
            if group in self._groups:
                accounts.append(self._groups[group])
        accounts.append(FloorAccount(policy.floor, self._margin))
        return tuple(accounts)

    def _enqueue(
        self, request: Request, state: ClassState, now: timedelta, resumed: bool = False
    ) -> None:
        state.append(request, resumed)
        self._queued[request.id] = (state, now)
        self._sequence += 1
        heapq.heappush(self._deadlines, (request.deadline, self._sequence, request.id))
        self._update_waiting(state, 1, now)

    def _update_waiting(self, state: ClassState, change: int, now: timedelta) -> None:
        now_s = now / MICROSECOND * 1e-6
        for account in state.accounts:
            account.accrue(now_s, self._limit.value)
            account.waiting += change
        same_rank = self._waiting_by_rank[state.rank]
        # A class that was just served goes behind the others of its rank (round robin).
        if change < 0 or not len(state):
            same_rank.pop(state.key, None)
        if len(state):
            self._waiting[state.key] = same_rank[state.key] = state
        else:
            self._waiting.pop(state.key, None)

    def _remove_expired(self, request: Request, state: ClassState, now: timedelta) -> None:
        state.remove(request)
        del self._queued[request.id]
        self._update_waiting(state, -1, now)

    def _start_if_free(self, request: Request, now: timedelta) -> Started | Queued:
        """Start the request if a slot is free and no other request waits."""
        if self._has_free_slot() and len(self._queued) == 1:
            state, _ = self._queued[request.id]
            state.pop()
            del self._queued[request.id]
            self._update_waiting(state, -1, now)
            return self._start(request, state, now)
        return Queued(request.id)

    def _start(self, request: Request, state: ClassState, now: timedelta) -> Started:
        fair = state.fair
        self._running[request.id] = (state, now, state.mean_s, None if fair is None else request)
        if fair is not None:
            self._hot_items.set_slots(int(self._limit.value))
            fair.start(request, state.mean_s)
        self._charge(state, state.mean_s, now)
        return Started(request.id)

    def _end_share(self, request: Request, expected_s: float, used_s: float) -> None:
        self._ledger.end(request.team, expected_s, used_s)
        if request.item:
            self._hot_items.end(request.item)
        for other in self._waiting.values():
            if other.fair is not None:
                other.fair.charged_team_ended(request, expected_s, used_s)
                if request.item:
                    other.fair.release_item(request.item)

    def _charge(self, state: ClassState, slot_time_s: float, now: timedelta) -> None:
        """Charge slot time in seconds to the accounts of a class and to the recent use of its rank.

        The expected time is charged when a request starts, so that a burst does not exceed the
        floor, and corrected by the measured time when it ends.
        """
        now_s = now / MICROSECOND * 1e-6
        slots = self._limit.value
        for account in state.accounts:
            if account.waiting:
                account.accrue(now_s, slots)
            if account.floor:
                account.charge(slot_time_s, slots)
        recent_use = self._recent_use
        if now_s - recent_use.updated_s > _USE_UPDATE_S:
            recent_use.decay_to(now_s)
        recent_use.by_rank[state.rank] += slot_time_s

    def _dispatch(self, now: timedelta) -> list[Started | Refused]:
        outcomes: list[Started | Refused] = []
        while self._waiting and self._has_free_slot():
            state = self._choose_class(now)
            request = state.pop()
            _, arrived_at = self._queued.pop(request.id)
            self._update_waiting(state, -1, now)
            state.record_wait(now - arrived_at, now)
            if request.deadline <= now:
                outcomes.append(self._refuse(request, state, ErrorKind.NOT_RUN_DEADLINE, now))
            else:
                outcomes.append(self._start(request, state, now))
        return outcomes

    def _choose_class(self, now: timedelta) -> ClassState:
        """Return the class that gets the next slot; at least one class must be waiting.

        The class furthest below its floor goes first, then the most urgent rank. Within a rank the
        longest wait decides, or round robin if many classes wait.
        """
        if len(self._waiting) > _MAX_EXACT_CLASSES and self.policy.urgent_first:
            return self._choose_from_list(now)
        states = list(self._waiting.values())
        if self._ledger is not None:
            states = within_share(states, self._ledger)
        if len(states) == 1:
            return states[0]
        if self.policy.floors:
            now_s = now / MICROSECOND * 1e-6
            for state in states:
                for account in state.accounts:
                    account.accrue(now_s, self._limit.value)
            states = keep_furthest_below_floor(states, self._limit.value)
        if self.policy.urgent_first:
            best = min(state.rank for state in states)
            states = [state for state in states if state.rank == best]
        if len(states) == 1:
            return states[0]
        return min(states, key=self._oldest_arrival)

    def _choose_from_list(self, now: timedelta) -> ClassState:
        """Choose among many classes, with a list of those below their floors that is reused."""
        if self.policy.floors and now >= self._below_floor_until:
            self._below_floor = classes_below_floor(
                self._waiting.values(), now / MICROSECOND * 1e-6, self._limit.value
            )
            self._below_floor_until = now + len(self._waiting) * _LIST_VALIDITY_PER_CLASS
        while self._below_floor:
            state = self._below_floor.pop()
            if state.key in self._waiting:
                return state
        states = next(states for states in self._waiting_by_rank if states)
        return next(iter(states.values()))

    def _predict_wait_s(self, state: ClassState, request: Request, now: timedelta) -> float:
        """Return the expected wait in seconds of one more request like this one in the class.

        The class is assumed to get the share of the slots that recent use by higher ranks and by
        the floors of lower ranks leaves, and at least its own floor.
        """
        self._recent_use.decay_to(now / MICROSECOND * 1e-6)
        limit = int(self._limit.value)
        share = self._recent_use.share_left_to(state.rank, limit, self._floor_by_rank)
        share = max(share, state.policy.floor, 0.001)
        wait_s = state.work_ahead_s(request.team) / (limit * share)
        if request.item:
            wait_s = max(wait_s, self._hot_items.wait_s(request.item, state.mean_s))
        return wait_s

    def _refuse(
        self,
        request: Request,
        state: ClassState,
        kind: ErrorKind,
        now: timedelta,
        wait_s: float = -1.0,
    ) -> Refused:
        state.last_refused_at = now
        if wait_s < 0:
            wait_s = self._predict_wait_s(state, request, now)
        hint = timedelta(seconds=min(max(wait_s, _MIN_RETRY_HINT_S), _MAX_RETRY_HINT_S))
        return Refused(request.id, Problem(kind, f"rank {state.key.rank.name.lower()}", hint))

    def _oldest_arrival(self, state: ClassState) -> timedelta:
        return self._queued[state.oldest_id()][1]
