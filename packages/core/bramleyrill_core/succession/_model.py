"""Model of a group for exhaustive exploration: its states and the steps between them.

Members, supervisors and proxies take steps in any order, and time passes in between. Pauses, lost
and late messages and partitions therefore need no steps of their own: they are steps that are not
taken, or taken late. Decisions come from `_terms`, `_permit` and `_change`; only the members and
the network are modeled here. Times are ages in units of TIME_STEP, so that the number of states
is finite.
"""

from collections.abc import Iterator
from datetime import timedelta
from functools import lru_cache
from itertools import combinations

from attrs import evolve, field, frozen

from bramleyrill_core._rules import Rules
from bramleyrill_core._values import MemberRole, MemberStatus, TermStart
from bramleyrill_core.permits import (
    LONGEST_PERMIT,
    entry_expiry,
    permit_start,
    wait_after_fence,
)
from bramleyrill_core.succession._change import (
    Change,
    Step,
    Survey,
    can_choose_term,
    enter_chosen_term,
    evaluate_fence,
    is_wait_over,
    record_fence_answer,
)
from bramleyrill_core.succession._terms import Span, leader_of

TIME_STEP = LONGEST_PERMIT / 2
NAMES = ("m1", "m2", "m3")
SPANS = (Span(1, NAMES),)
NOW = timedelta(hours=1)
# Larger ages are equivalent to this one: every permit has expired and every wait is over.
MAX_AGE = 3
EXPIRED = 2

PRIMARY, REPLICA, FENCED = MemberRole.PRIMARY, MemberRole.REPLICA, MemberRole.FENCED


@frozen(cache_hash=True)
class Server:
    """A member: highest term, role, leader it follows, terms of its entries, starts of terms."""

    term: int = 1
    role: MemberRole = REPLICA
    leader: str = "m1"
    log: tuple[int, ...] = ()
    starts: tuple[tuple[int, int], ...] = ((1, 0),)


@frozen(cache_hash=True)
class Supervisor:
    """A supervisor: step, term, answers to its fence, and age of the fence's majority."""

    step: Step | None = None
    term: int = 0
    answers: tuple[tuple[str, MemberStatus], ...] = ()
    majority_age: int | None = None


@frozen(cache_hash=True)
class Proxy:
    """A proxy: last answer of each member as (age, term, role), and its permits as (term, age)."""

    last_answers: tuple[tuple[int, int, MemberRole] | None, ...] = (None, None, None)
    permits: tuple[tuple[int, int], ...] = ()


@frozen(cache_hash=True)
class State:
    """State of the whole group.

    `fences` and `promotions` are terms whose requests may still arrive, `promoted` is the highest
    term promoted, and `durable` the log prefix that a second member has.
    """

    servers: tuple[Server, ...]
    supervisors: tuple[Supervisor, ...]
    proxies: tuple[Proxy, ...]
    fences: frozenset[int] = frozenset()
    promotions: frozenset[int] = frozenset()
    promoted: int = 1
    durable: tuple[int, ...] = ()


@frozen(eq=False)
class Bounds:
    """Limits of the exploration, and the safety rules that are on."""

    proxies: int = 1
    supervisors: int = 2
    highest_term: int = 3
    entries: int = 0
    rules: Rules = field(factory=Rules)


def first_state(bounds: Bounds) -> State:
    """Return the healthy group: m1 is primary of term 1."""
    servers = (Server(role=PRIMARY), Server(), Server())
    return State(servers, (Supervisor(),) * bounds.supervisors, (Proxy(),) * bounds.proxies)


@lru_cache(100_000)
def _status(index: int, server: Server) -> MemberStatus:
    last = server.log[-1] if server.log else 0
    leader = "" if server.role is FENCED else server.leader
    starts = tuple(TermStart(*start) for start in server.starts)
    return MemberStatus(
        NAMES[index], server.term, len(server.log), server.role, leader, last, starts
    )


def _replace_at(items: tuple, index: int, item: object) -> tuple:
    return (*items[:index], item, *items[index + 1 :])


def _changed_state(state: State, **changes: object) -> State:
    """Return the state with changes; supervisors and proxies are sorted, as they are alike."""
    for name in ("supervisors", "proxies"):
        if name in changes:
            # Any order that is stable within a run will do; comparing by value is slow.
            changes[name] = tuple(sorted(changes[name], key=hash))
    get = changes.get
    return State(
        get("servers", state.servers),
        get("supervisors", state.supervisors),
        get("proxies", state.proxies),
        get("fences", state.fences),
        get("promotions", state.promotions),
        get("promoted", state.promoted),
        get("durable", state.durable),
    )


def steps(state: State, bounds: Bounds) -> Iterator[tuple[str, State]]:
    """Yield every step from a state, with its name."""
    yield from _server_steps(state, bounds)
    for index, supervisor in enumerate(state.supervisors):
        if index == 0 or supervisor != state.supervisors[index - 1]:
            yield from _supervisor_steps(state, index, supervisor, bounds)
    for index, proxy in enumerate(state.proxies):
        if index == 0 or proxy != state.proxies[index - 1]:
            yield from _proxy_steps(state, index, proxy, bounds)
    yield "time", _pass_time(state)


def _server_steps(state: State, bounds: Bounds) -> Iterator[tuple[str, State]]:
    for index, server in enumerate(state.servers):
        name = NAMES[index]
        for term in state.fences:
            if (changed := _fence(server, term)) not in (None, server):
                yield f"late fence {term} at {name}", _with_server(state, index, changed)
        for term in state.promotions:
            if leader_of(SPANS, term) == name:
                yield from _promote(state, index, term, "late promotion")
        if server.role is PRIMARY and len(server.log) < bounds.entries:
            changed = evolve(server, log=(*server.log, server.term))
            yield f"write at {name}", _with_server(state, index, changed)
        for other, leader in enumerate(state.servers):
            if other == index or leader.role is not PRIMARY or server.term > leader.term:
                continue
            if server.term < leader.term or server.role is FENCED:
                log = _common_prefix(server.log, leader.log)
                changed = _follower(leader, NAMES[other], log)
                yield f"{name} follows {NAMES[other]}", _with_server(state, index, changed)
            elif server.role is REPLICA and len(server.log) < len(leader.log):
                log = leader.log[: len(server.log) + 1]
                changed = _follower(leader, NAMES[other], log)
                durable = log if log[-1] == leader.term else state.durable
                yield f"{name} copies {NAMES[other]}", _with_server(state, index, changed, durable)


def _with_server(state: State, index: int, server: Server, durable: tuple | None = None) -> State:
    changes = {"servers": _replace_at(state.servers, index, server)}
    if durable is not None and len(durable) > len(state.durable):
        # The entry is on its primary and, at the same term, on a second member.
        changes["durable"] = durable
    return _changed_state(state, **changes)


def _follower(leader: Server, name: str, log: tuple[int, ...]) -> Server:
    starts = tuple(start for start in leader.starts if start[1] <= len(log))
    return Server(leader.term, REPLICA, name, log, starts)


def _common_prefix(log: tuple[int, ...], leader: tuple[int, ...]) -> tuple[int, ...]:
    length = 0
    while length < min(len(log), len(leader)) and log[length] == leader[length]:
        length += 1
    return leader[:length]


def _fence(server: Server, term: int) -> Server | None:
    if term > server.term:
        return Server(term, FENCED, "", server.log, server.starts)
    return server if term == server.term and server.role is FENCED else None


def _promote(state: State, index: int, term: int, name: str) -> Iterator[tuple[str, State]]:
    server = state.servers[index]
    if server.term == term and server.role is FENCED:
        starts = (*server.starts, (term, len(server.log)))
        changed = Server(term, PRIMARY, NAMES[index], server.log, starts)
        servers = _replace_at(state.servers, index, changed)
        promoted = max(state.promoted, term)
        yield f"{name} {term}", _changed_state(state, servers=servers, promoted=promoted)


def _supervisor_steps(
    state: State, index: int, supervisor: Supervisor, bounds: Bounds
) -> Iterator[tuple[str, State]]:
    def with_supervisor(changed: Supervisor, **changes: object) -> State:
        return _changed_state(
            state, supervisors=_replace_at(state.supervisors, index, changed), **changes
        )

    if supervisor.step is None:
        for term in _choosable_terms(state.servers, bounds):
            changed = Supervisor(Step.FENCE, term)
            yield f"choose {term}", with_supervisor(changed, fences=state.fences | {term})
        return
    yield "give up", with_supervisor(Supervisor())
    if supervisor.step is Step.FENCE:
        answered = {name for name, _ in supervisor.answers}
        for server_index, server in enumerate(state.servers):
            fenced = _fence(server, supervisor.term)
            if fenced is not None and NAMES[server_index] not in answered:
                servers = _replace_at(state.servers, server_index, fenced)
                changed = _with_answer(supervisor, _status(server_index, fenced), bounds)
                yield f"fence {changed.term} at {NAMES[server_index]}", with_supervisor(
                    changed, servers=servers
                )
        evaluated = _after_fence(supervisor, bounds)
        if evaluated is not None and evaluated.term <= bounds.highest_term:
            yield f"judge {evaluated.term}", with_supervisor(
                evaluated, fences=state.fences | {evaluated.term}
            )
    elif supervisor.step is Step.WAIT and _is_wait_over(supervisor, bounds):
        # The request is in flight from now on: it may be lost, late, or arrive at once.
        yield "send promotion", with_supervisor(
            Supervisor(), promotions=state.promotions | {supervisor.term}
        )


@lru_cache(100_000)
def _choosable_terms(servers: tuple[Server, ...], bounds: Bounds) -> frozenset[int]:
    """Return the terms that a supervisor may choose, over all sets of statuses it may have."""
    terms = set()
    for size in (2, 3):
        for answered in combinations(range(3), size):
            statuses = {NAMES[n]: _status(n, servers[n]) for n in answered}
            highest_term = max(status.term for status in statuses.values())
            for resume in (True, False):
                survey = Survey(SPANS, statuses, highest_term, resume=resume, rules=bounds.rules)
                if can_choose_term(survey):
                    chosen = enter_chosen_term(Change(Step.SURVEY, NOW), survey, NOW)
                    if chosen is not None and chosen.term <= bounds.highest_term:
                        terms.add(chosen.term)
    return frozenset(terms)


@lru_cache(100_000)
def _to_change(supervisor: Supervisor) -> Change:
    age = supervisor.majority_age
    majority_at = None if age is None else NOW - age * TIME_STEP
    return Change(
        supervisor.step, NOW, supervisor.term, answers=supervisor.answers, majority_at=majority_at
    )


@lru_cache(100_000)
def _with_answer(supervisor: Supervisor, status: MemberStatus, bounds: Bounds) -> Supervisor:
    change = _to_change(supervisor)
    return _from_change(
        record_fence_answer(change, status.member, status, NOW, SPANS, bounds.rules)
    )


@lru_cache(100_000)
def _after_fence(supervisor: Supervisor, bounds: Bounds) -> Supervisor | None:
    if supervisor.majority_age is None:
        return None
    survey = Survey(SPANS, {}, supervisor.term, rules=bounds.rules)
    evaluated = evaluate_fence(_to_change(supervisor), survey, NOW)
    return None if evaluated is None else _from_change(evaluated)


@lru_cache(100_000)
def _is_wait_over(supervisor: Supervisor, bounds: Bounds) -> bool:
    return is_wait_over(_to_change(supervisor), wait_after_fence(bounds.rules), NOW)


def _from_change(change: Change) -> Supervisor:
    age = None if change.majority_at is None else int((NOW - change.majority_at) / TIME_STEP)
    answers = change.answers if change.step is Step.FENCE else ()
    return Supervisor(change.step, change.term, answers, age)


def _proxy_steps(
    state: State, index: int, proxy: Proxy, bounds: Bounds
) -> Iterator[tuple[str, State]]:
    for server_index, server in enumerate(state.servers):
        last_answers = _replace_at(proxy.last_answers, server_index, (0, server.term, server.role))
        permits = dict(proxy.permits)
        for term, age in _permits_of(last_answers, bounds):
            permits[term] = min(age, permits.get(term, EXPIRED))
        changed = Proxy(last_answers, tuple(sorted(permits.items())))
        if changed != proxy:
            proxies = _replace_at(state.proxies, index, changed)
            yield f"probe {NAMES[server_index]}", _changed_state(state, proxies=proxies)


@lru_cache(100_000)
def _permits_of(last_answers: tuple, bounds: Bounds) -> tuple[tuple[int, int], ...]:
    rules, permits = bounds.rules, []
    answers = {
        NAMES[n]: (NOW - entry[0] * TIME_STEP, MemberStatus(NAMES[n], entry[1], 0, entry[2], "", 0))
        for n, entry in enumerate(last_answers)
        if entry is not None
    }
    for name, (_, status) in answers.items():
        # A holder considers the member primary that it last saw as primary of some term.
        if status.role is PRIMARY or not rules.on("primary_answer"):
            start = permit_start(NAMES, name, answers, rules)
            if start is not None:
                permits.append((status.term, int((NOW - start) / TIME_STEP)))
    return tuple(permits)


def _pass_time(state: State) -> State:
    supervisors = tuple(
        (
            Supervisor(s.step, s.term, s.answers, min(s.majority_age + 1, MAX_AGE))
            if s.majority_age is not None
            else s
        )
        for s in state.supervisors
    )
    proxies = []
    for proxy in state.proxies:
        last_answers = tuple(
            (entry[0] + 1, *entry[1:]) if entry and entry[0] + 1 < EXPIRED else None
            for entry in proxy.last_answers
        )
        kept = tuple((term, age + 1) for term, age in proxy.permits if age + 1 < EXPIRED)
        proxies.append(Proxy(last_answers, kept))
    return _changed_state(state, supervisors=supervisors, proxies=tuple(proxies))


def violation(state: State) -> str | None:
    """Return which guarantee the state violates, or None."""
    leaders = [s.term for s in state.servers if s.role is PRIMARY]
    if len(leaders) != len(set(leaders)):
        return "two primaries of one term"
    for proxy in state.proxies:
        for term, age in proxy.permits:
            if term < state.promoted and entry_expiry(NOW, age * TIME_STEP, LONGEST_PERMIT) > NOW:
                return f"a proxy may acknowledge term {term} after term {state.promoted} began"
    for name, server in zip(NAMES, state.servers, strict=True):
        newest = server.role is PRIMARY and server.term == state.promoted
        if newest and server.log[: len(state.durable)] != state.durable:
            return f"{name} leads term {server.term} without a durable entry"
    return None
