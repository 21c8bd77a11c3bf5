"""Carry a change of primary from step to step."""

from collections.abc import Iterable, Iterator
from datetime import timedelta

from attrs import evolve
from bramleyrill_base import log_event

from bramleyrill_core._core import handles
from bramleyrill_core._messages import Effect
from bramleyrill_core._values import MemberId, MemberRole, database_of
from bramleyrill_core._world import World
from bramleyrill_core.sessions import log_contains
from bramleyrill_core.succession._change import (
    ASK_LIMIT,
    CATCH_UP_LIMIT,
    HAND_OVER_QUIET,
    RESEND_AFTER,
    STEP_LIMIT,
    SURVEY_GRACE,
    Change,
    Step,
    Survey,
    can_choose,
    choose,
    enter,
    fence_is_complete,
    judge_fence,
    note_fence,
    wait_is_over,
)
from bramleyrill_core.succession._messages import (
    FenceAnswered,
    FenceFailed,
    PrimarySeenAnswered,
    PromoteAnswered,
    PromoteFailed,
    SendFence,
    SendFollow,
    SendPromote,
)
from bramleyrill_core.succession._permit import wait_after_fence
from bramleyrill_core.succession._probes import note_new_primary, note_status_seen
from bramleyrill_core.succession._tables import Group, SuccessionTables, name_of, refresh_groups
from bramleyrill_core.succession._terms import leader_of

RETRY_AFTER = SURVEY_GRACE


def _survey(world: World, group: Group) -> Survey:
    spans = world.tables(SuccessionTables).spans.by_id[group.id]
    highest = group.highest
    avoid = {m.name for m in group.spec.members if m.leaving}
    if group.change is not None and group.change.old_primary:
        if group.change.move:
            avoid.add(group.change.old_primary)
        # A planned change also moves the term into the newest span.
        highest = max(highest, spans[-1].first_term - 1)
    return Survey(
        spans,
        group.recent(group.change_started),
        highest,
        frozenset(avoid),
        group.no_resume < group.highest and world.rules.on("resume_fence"),
        world.rules,
    )


def drive_change(world: World, group: Group) -> Iterator[Effect]:
    """Move the change on as far as the time and the answers allow."""
    now = world.clock.monotonic()
    before = None
    while group.change is not None and group.change.step is not before:
        before = group.change.step
        if _is_overtaken(group, group.change):
            give_up(world, group, "overtaken")
            return
        yield from _STEPS[before](world, group, group.change, now)


def _is_overtaken(group: Group, change: Change) -> bool:
    """Tell whether the primary answers again, or another change is ahead of this one."""
    if change.step in (Step.ASK, Step.SURVEY):
        return not change.old_primary and group.ok_at > group.change_started
    return group.highest > change.term or group.primary_term >= change.term


def give_up(world: World, group: Group, reason: str) -> None:
    """End the attempt; supervision starts another one if it is still needed."""
    change, now = group.change, world.clock.monotonic()
    log_event("change_given_up", database=group.id, reason=reason, term=change.term)
    if change.step in (Step.FENCE, Step.PROMOTE):
        group.no_resume = max(group.no_resume, change.term)
    group.change = None
    group.retry_at = now + RETRY_AFTER


def _ask(world: World, group: Group, change: Change, now: timedelta) -> Iterator[Effect]:
    asked = {vm for vm in group.holders.values() if vm not in (None, world.identity.id)}
    if any(group.seen.values()):
        group.ok_at = now
        for watch in group.watches.values():
            watch.refused, watch.refused_at = 0, None
        give_up(world, group, "primary_seen")
    elif asked <= group.seen.keys() or now - change.since >= ASK_LIMIT:
        group.change = enter(change, Step.SURVEY, now)
    yield from ()


def _look(world: World, group: Group, change: Change, now: timedelta) -> Iterator[Effect]:
    survey = _survey(world, group)
    heard = survey.statuses.keys() | {w.name for w in group.watches.values() if w.refused}
    complete = heard >= group.watches.keys() or now - change.since >= SURVEY_GRACE
    if complete and can_choose(survey):
        group.change = choose(change, survey, now)
        if group.change is None:
            group.change = change
            give_up(world, group, "no_leader")
    elif now - change.since >= STEP_LIMIT:
        give_up(world, group, "no_majority")
    yield from ()


def _resend_due(group: Group, change: Change, now: timedelta) -> bool:
    due = change.sent_at is None or now - change.sent_at >= RESEND_AFTER
    if due:
        group.change = evolve(change, sent_at=now)
    return due


def _hand_over(world: World, group: Group, change: Change, now: timedelta) -> Iterator[Effect]:
    """Hold new writes until those in flight are done and the next leader has every entry."""
    spans = world.tables(SuccessionTables).spans.by_id[group.id]
    leader = leader_of(spans, change.term)
    statuses = group.recent(change.since + HAND_OVER_QUIET)
    old, new = statuses.get(change.old_primary), statuses.get(leader)
    caught_up = old is not None and new is not None and log_contains(new, old.mark)
    if leader == change.old_primary or caught_up or now - change.since >= CATCH_UP_LIMIT:
        group.change = enter(change, Step.FENCE, now)
    yield from ()


def _fence(world: World, group: Group, change: Change, now: timedelta) -> Iterator[Effect]:
    if fence_is_complete(change, frozenset(group.watches), now):
        group.change = judge_fence(change, _survey(world, group), now)
        if group.change is None:
            group.change = change
            give_up(world, group, "no_leader")
            return
        change = group.change
        if change.step is not Step.FENCE:
            return
    elif now - change.since >= STEP_LIMIT:
        give_up(world, group, "no_fence_majority")
        return
    if _resend_due(group, change, now):
        answered = dict(change.answers)
        for watch in group.watches.values():
            if watch.name not in answered:
                yield SendFence(watch.id, change.term)


def _wait(world: World, group: Group, change: Change, now: timedelta) -> Iterator[Effect]:
    if wait_is_over(change, wait_after_fence(world.rules), now):
        group.change = enter(change, Step.PROMOTE, now)
    yield from ()


def _promote(world: World, group: Group, change: Change, now: timedelta) -> Iterator[Effect]:
    spans = world.tables(SuccessionTables).spans.by_id[group.id]
    watch = group.watches.get(leader_of(spans, change.term))
    if watch is None or now - change.since >= STEP_LIMIT:
        give_up(world, group, "no_promotion")
    elif _resend_due(group, change, now):
        yield SendPromote(watch.id, change.term)


_STEPS = {
    Step.ASK: _ask,
    Step.SURVEY: _look,
    Step.HAND_OVER: _hand_over,
    Step.FENCE: _fence,
    Step.WAIT: _wait,
    Step.PROMOTE: _promote,
}


def _group_of(world: World, member: MemberId, term: int) -> Group | None:
    """Return the group if its change is at `term`; late answers of others mean nothing."""
    group = refresh_groups(world).get(database_of(member))
    if group is None or name_of(member) not in group.watches:
        return None
    return group if group.change is not None and group.change.term == term else None


@handles(PrimarySeenAnswered)
def note_seen(world: World, message: PrimarySeenAnswered) -> Iterable[Effect]:
    """Note whether another holder has a valid permit."""
    group = refresh_groups(world).get(message.database)
    if group is None or group.change is None or group.change.step is not Step.ASK:
        return []
    group.seen[message.vm] = message.valid
    return drive_change(world, group)


@handles(FenceAnswered)
def note_fence_answer(world: World, message: FenceAnswered) -> Iterable[Effect]:
    """Add an answer to the fence of the change at that term."""
    group = _group_of(world, message.member, message.term)
    if group is None:
        return []
    now = world.clock.monotonic()
    watch = group.watches[name_of(message.member)]
    note_status_seen(world, group, watch, message.status, now)
    if watch.name == group.primary and world.rules.on("primary_answer"):
        group.permit = None
    spans = world.tables(SuccessionTables).spans.by_id[group.id]
    group.change = note_fence(group.change, watch.name, message.status, now, spans, world.rules)
    return drive_change(world, group)


@handles(FenceFailed)
def note_fence_failure(world: World, message: FenceFailed) -> Iterable[Effect]:
    """Do not wait longer for a member that refused or cannot be reached."""
    group = _group_of(world, message.member, message.term)
    if group is None:
        return []
    refused = group.change.refused | {name_of(message.member)}
    group.change = evolve(group.change, refused=refused)
    return drive_change(world, group)


@handles(PromoteAnswered)
def note_promotion(world: World, message: PromoteAnswered) -> Iterable[Effect]:
    """Finish the change: the others follow, and the holders learn of it."""
    group = _group_of(world, message.member, message.term)
    status = message.status
    if status is not None and (status.role, status.term) != (MemberRole.PRIMARY, message.term):
        return []
    if group is None or group.change.step is not Step.PROMOTE:
        return []
    leader = group.watches[name_of(message.member)]
    now = world.clock.monotonic()
    log_event(
        "change_finished",
        database=group.id,
        term=message.term,
        leader=leader.name,
        planned=bool(group.change.old_primary),
        detect=group.change_started - group.ok_at,
        **group.change.durations(now),
    )
    group.change = None
    group.ok_at = world.clock.monotonic()
    group.highest = max(group.highest, message.term)
    effects = note_new_primary(world, group, leader, message.term)
    for watch in group.watches.values():
        if watch is not leader:
            effects.append(SendFollow(watch.id, message.term, leader.name))
    return effects


@handles(PromoteFailed)
def note_failed_promotion(world: World, message: PromoteFailed) -> None:
    """End the attempt when the member refuses; silence is met by sending again."""
    group = _group_of(world, message.member, message.term)
    if group is not None and group.change.step is Step.PROMOTE and message.refused:
        give_up(world, group, "promotion_refused")
