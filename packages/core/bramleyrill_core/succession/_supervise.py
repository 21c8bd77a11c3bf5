"""Supervision: when a change of primary starts, and maintenance of a group without a change."""

from collections.abc import Iterable, Iterator
from datetime import timedelta

from bramleyrill_core._core import handles, system
from bramleyrill_core._messages import Effect
from bramleyrill_core._values import MemberRole
from bramleyrill_core._world import World
from bramleyrill_core.succession._change import Change, Step, enter_step
from bramleyrill_core.succession._drive import drive_change
from bramleyrill_core.succession._grants import permit_for, primary_seen
from bramleyrill_core.succession._messages import (
    AppendSpan,
    AskPrimarySeen,
    PlannedChangeRequested,
    SendFollow,
)
from bramleyrill_core.succession._probes import REFUSAL_LIMIT, due_probes
from bramleyrill_core.succession._tables import (
    Group,
    SuccessionTables,
    holds_primary,
    is_primary_watch,
    refresh_groups,
    supervisors,
)
from bramleyrill_core.succession._terms import next_span

# Each further supervisor acts this much later, so that two rarely start at the same time.
SUPERVISOR_STAGGER = timedelta(milliseconds=300)
FOLLOW_INTERVAL = timedelta(seconds=1)
# A member that stays above the primary's term for longer was left there by an abandoned attempt.
AHEAD_TIMEOUT = timedelta(seconds=2)
# Writes pause for a second during a planned change, so a failed one is not retried at once.
PLANNED_CHANGE_INTERVAL = timedelta(seconds=5)
SPAN_PROPOSAL_INTERVAL = timedelta(seconds=5)


@system("succession", order=30)
def run_succession(world: World) -> Iterable[Effect]:
    """Probe the members of every group of this VM, and start and advance changes of primary."""
    effects: list[Effect] = []
    for group in refresh_groups(world).rows():
        effects.extend(due_probes(world, group))
        if group.change is None:
            effects.extend(_start_change_if_needed(world, group))
        if group.change is not None:
            effects.extend(drive_change(world, group))
        else:
            effects.extend(_maintain_group(world, group))
    return effects


@handles(PlannedChangeRequested)
def handle_planned_change_request(world: World, message: PlannedChangeRequested) -> None:
    """Record the request if this VM holds the primary; other holders ignore it."""
    group = refresh_groups(world).get(message.database)
    if group is not None and holds_primary(world, group):
        group.planned_requested = True


def _primary_suspected_at(world: World, group: Group) -> timedelta:
    """Return the time from which the primary is considered lost.

    This is after `suspect_after` without an answer, or sooner at REFUSAL_LIMIT refused probes.
    """
    silence_limit_at = group.primary_seen_at + world.text.failover.suspect_after
    watch = group.watches.get(group.primary)
    if watch is not None and watch.refusals >= REFUSAL_LIMIT and watch.refusal_limit_at is not None:
        return min(silence_limit_at, watch.refusal_limit_at)
    return silence_limit_at


def _start_change_if_needed(world: World, group: Group) -> Iterator[Effect]:
    """Start a planned change, or one because the primary is considered lost.

    For the latter, first ask the other holders whether they have a permit: the primary may be out
    of reach for this VM only.
    """
    now = world.clock.monotonic()
    me = world.identity.id
    order = supervisors(group)
    if me not in order or not world.tables(SuccessionTables).spans.get(group.id):
        return
    if _needs_planned_change(world, group, now):
        move_leader = group.planned_requested or _is_primary_leaving(group)
        group.planned_started_at = now
        group.planned_requested = False
        _start_change(
            group, Change(Step.SURVEY, now, old_primary=group.primary, move_leader=move_leader)
        )
        return
    if primary_seen(world, group.id):
        return
    stagger = SUPERVISOR_STAGGER * order.index(me)
    if now < max(_primary_suspected_at(world, group) + stagger, group.retry_at):
        return
    _start_change(group, Change(Step.ASK, now))
    for vm in sorted({vm for vm in group.holders.values() if vm not in (None, me)}):
        yield AskPrimarySeen(vm, group.id)


def _start_change(group: Group, change: Change) -> None:
    group.change = enter_step(change, change.step, change.since)
    group.change_started = change.since
    group.primary_seen_by_vm = {}
    for watch in group.watches.values():
        # The choice of a term needs new statuses, so the next tick probes every member.
        watch.probed_at = None


def _needs_planned_change(world: World, group: Group, now: timedelta) -> bool:
    """Return whether this VM should start a planned change; only with a valid permit.

    Reasons are a request, a primary that is leaving, a new span, and a member that stays at a
    higher term than the primary.
    """
    if not holds_primary(world, group) or permit_for(world, group.id) is None:
        return False
    if (
        group.planned_started_at is not None
        and now - group.planned_started_at < PLANNED_CHANGE_INTERVAL
    ):
        return False
    spans = world.tables(SuccessionTables).spans.by_id[group.id]
    is_stuck_ahead = group.ahead_since is not None and now - group.ahead_since >= AHEAD_TIMEOUT
    has_new_span = spans[-1].first_term > group.primary_term
    return _is_primary_leaving(group) or is_stuck_ahead or has_new_span or group.planned_requested


def _is_primary_leaving(group: Group) -> bool:
    member = group.spec.member(group.primary)
    return member is not None and member.leaving


def _maintain_group(world: World, group: Group) -> Iterator[Effect]:
    """Make members follow the primary, track members ahead of it, and propose a new span."""
    now = world.clock.monotonic()
    is_ahead = group.highest_term > group.primary_term
    group.ahead_since = (group.ahead_since or now) if is_ahead else None
    yield from _propose_span(world, group, now)
    if not holds_primary(world, group):
        return
    term, leader = group.primary_term, group.primary
    if not is_primary_watch(group.watches.get(leader), term):
        return
    for watch in group.watches.values():
        status = watch.status
        if watch.name == leader or status is None or status.term > term:
            continue
        follows = status.role is MemberRole.REPLICA and status.leader == leader
        due = watch.followed_at is None or now - watch.followed_at >= FOLLOW_INTERVAL
        if due and not (status.term == term and follows):
            watch.followed_at = now
            yield SendFollow(watch.id, term, leader)


def _propose_span(world: World, group: Group, now: timedelta) -> Iterator[Effect]:
    """Propose the next span if the members in the text differ from those of the last span.

    Only the primary's holder does so, under a valid permit. The first span of a database is
    proposed by the holder of its first member.
    """
    spans = world.tables(SuccessionTables).spans.get(group.id) or ()
    names = tuple(group.watches)
    first_holder = group.holders.get(names[0]) if names else None
    if spans and permit_for(world, group.id) is None:
        return
    is_proposer = holds_primary(world, group) if spans else first_holder == world.identity.id
    if not is_proposer or (
        group.span_proposed_at is not None and now - group.span_proposed_at < SPAN_PROPOSAL_INTERVAL
    ):
        return
    span = next_span(spans, names, group.highest_term)
    if span is not None:
        group.span_proposed_at = now
        yield AppendSpan(group.id, len(spans), span)
