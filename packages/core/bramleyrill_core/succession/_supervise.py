"""Supervision: when a change of primary starts, and what keeps a group whole without one."""

from collections.abc import Iterable, Iterator
from datetime import timedelta

from bramleyrill_core._core import handles, system
from bramleyrill_core._messages import Effect
from bramleyrill_core._values import MemberRole
from bramleyrill_core._world import World
from bramleyrill_core.succession._change import Change, Step, enter
from bramleyrill_core.succession._drive import drive_change
from bramleyrill_core.succession._grants import permit_for, primary_seen
from bramleyrill_core.succession._messages import (
    AppendSpan,
    AskPrimarySeen,
    PlannedChangeRequested,
    SendFollow,
)
from bramleyrill_core.succession._probes import REFUSALS, due_probes
from bramleyrill_core.succession._tables import (
    Group,
    SuccessionTables,
    holds_primary,
    is_primary_watch,
    refresh_groups,
    supervisors,
)
from bramleyrill_core.succession._terms import next_span

# The next supervisor acts this much later, so that two start at once only by chance.
SUPERVISOR_STEP = timedelta(milliseconds=300)
FOLLOW_INTERVAL = timedelta(seconds=1)
# A member above the primary's term for longer was left there by an attempt that was given up.
AHEAD_LIMIT = timedelta(seconds=2)
# Writes pause for a second during a planned change, so one that failed is not repeated at once.
PLANNED_INTERVAL = timedelta(seconds=5)
OFFER_INTERVAL = timedelta(seconds=5)


@system("succession", order=30)
def run_succession(world: World) -> Iterable[Effect]:
    """Probe, supervise and drive the changes of every group of this VM."""
    effects: list[Effect] = []
    for group in refresh_groups(world).rows():
        effects.extend(due_probes(world, group))
        if group.change is None:
            effects.extend(_start_if_needed(world, group))
        if group.change is not None:
            effects.extend(drive_change(world, group))
        else:
            effects.extend(_keep_whole(world, group))
    return effects


@handles(PlannedChangeRequested)
def want_planned_change(world: World, message: PlannedChangeRequested) -> None:
    """Note the wish at the primary's holder; the other holders ignore it."""
    group = refresh_groups(world).get(message.database)
    if group is not None and holds_primary(world, group):
        group.planned_wanted = True


def _suspected_at(world: World, group: Group) -> timedelta:
    """Return the time from which the primary is taken for lost."""
    silent = group.ok_at + world.text.failover.suspect_after
    watch = group.watches.get(group.primary)
    if watch is not None and watch.refused >= REFUSALS and watch.refused_at is not None:
        return min(silent, watch.refused_at)
    return silent


def _start_if_needed(world: World, group: Group) -> Iterator[Effect]:
    now = world.clock.monotonic()
    me = world.identity.id
    order = supervisors(group)
    if me not in order or not world.tables(SuccessionTables).spans.get(group.id):
        return
    if _wants_planned_change(world, group, now):
        move = group.planned_wanted or _is_leaving(group)
        group.planned_at = now
        group.planned_wanted = False
        _start(group, Change(Step.SURVEY, now, old_primary=group.primary, move=move))
        return
    if primary_seen(world, group.id):
        return
    turn = SUPERVISOR_STEP * order.index(me)
    if now < max(_suspected_at(world, group) + turn, group.retry_at):
        return
    _start(group, Change(Step.ASK, now))
    for vm in sorted({vm for vm in group.holders.values() if vm not in (None, me)}):
        yield AskPrimarySeen(vm, group.id)


def _start(group: Group, change: Change) -> None:
    group.change = enter(change, change.step, change.since)
    group.change_started = change.since
    group.seen = {}
    for watch in group.watches.values():
        # The choice needs statuses from now on, so the next tick probes everyone.
        watch.probed_at = None


def _wants_planned_change(world: World, group: Group, now: timedelta) -> bool:
    """Tell whether the primary's holder is to move to another term, under a valid permit."""
    if not holds_primary(world, group) or permit_for(world, group.id) is None:
        return False
    if group.planned_at is not None and now - group.planned_at < PLANNED_INTERVAL:
        return False
    spans = world.tables(SuccessionTables).spans.by_id[group.id]
    stuck = group.ahead_since is not None and now - group.ahead_since >= AHEAD_LIMIT
    new_span = spans[-1].first_term > group.primary_term
    return _is_leaving(group) or stuck or new_span or group.planned_wanted


def _is_leaving(group: Group) -> bool:
    member = group.spec.member(group.primary)
    return member is not None and member.leaving


def _keep_whole(world: World, group: Group) -> Iterator[Effect]:
    """Let members follow the primary, note members ahead of it, offer spans for a new list."""
    now = world.clock.monotonic()
    ahead = group.highest > group.primary_term
    group.ahead_since = (group.ahead_since or now) if ahead else None
    yield from _offer_span(world, group, now)
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


def _offer_span(world: World, group: Group, now: timedelta) -> Iterator[Effect]:
    """Offer the next span when the text's members differ from those of the last one."""
    spans = world.tables(SuccessionTables).spans.get(group.id) or ()
    names = tuple(group.watches)
    first_holder = group.holders.get(names[0]) if names else None
    if spans and permit_for(world, group.id) is None:
        return
    mine = holds_primary(world, group) if spans else first_holder == world.identity.id
    if not mine or (group.offered_at is not None and now - group.offered_at < OFFER_INTERVAL):
        return
    span = next_span(spans, names, group.highest)
    if span is not None:
        group.offered_at = now
        yield AppendSpan(group.id, len(spans), span)
