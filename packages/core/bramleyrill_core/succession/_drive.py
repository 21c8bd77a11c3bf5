"""Advance a change of primary from step to step, and handle the answers it waits for."""

from collections.abc import Iterable, Iterator
from datetime import timedelta

from attrs import evolve
from bramleyrill_base import log_event

from bramleyrill_core._core import handles
from bramleyrill_core._messages import Effect
from bramleyrill_core._values import MemberId, MemberRole, TermStart, database_of
from bramleyrill_core._world import World
from bramleyrill_core.permits import wait_after_fence
from bramleyrill_core.sessions import log_contains
from bramleyrill_core.succession._change import (
    ASK_TIMEOUT,
    CATCH_UP_TIMEOUT,
    MIN_HAND_OVER,
    RESEND_INTERVAL,
    STEP_TIMEOUT,
    SURVEY_GRACE,
    Change,
    Step,
    Survey,
    can_choose_term,
    enter_chosen_term,
    enter_step,
    evaluate_fence,
    is_fence_complete,
    is_wait_over,
    record_fence_answer,
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
from bramleyrill_core.succession._probes import record_member_status, record_new_primary
from bramleyrill_core.succession._tables import Group, SuccessionTables, name_of, refresh_groups
from bramleyrill_core.succession._terms import leader_of

CHANGE_RETRY_DELAY = SURVEY_GRACE


def _build_survey(world: World, group: Group) -> Survey:
    spans = world.tables(SuccessionTables).spans.by_id[group.id]
    highest_term = group.highest_term
    avoid = {m.name for m in group.spec.members if m.leaving}
    if group.change is not None and group.change.old_primary:
        if group.change.move_leader:
            avoid.add(group.change.old_primary)
        # The term of a planned change must also lie in the newest span.
        highest_term = max(highest_term, spans[-1].first_term - 1)
    return Survey(
        spans,
        group.recent_statuses(group.change_started),
        highest_term,
        frozenset(avoid),
        group.no_resume_up_to < group.highest_term and world.rules.on("resume_fence"),
        world.rules,
        _known_starts(group),
    )


def _known_starts(group: Group) -> frozenset[TermStart]:
    """Return the starts of terms in the logs of all members, also of those that are down now."""
    statuses = [watch.status for watch in group.watches.values() if watch.status is not None]
    return frozenset(start for status in statuses for start in status.history)


def drive_change(world: World, group: Group) -> Iterator[Effect]:
    """Advance the change as far as the time and the answers allow."""
    now = world.clock.monotonic()
    step = None
    while group.change is not None and group.change.step is not step:
        step = group.change.step
        if _is_superseded(group, group.change):
            abandon_change(world, group, "overtaken")
            return
        yield from _STEP_FUNCTIONS[step](world, group, group.change, now)


def _is_superseded(group: Group, change: Change) -> bool:
    """Return whether another event made the change unnecessary.

    Before a term is chosen, this is a new answer of the primary, unless the change is planned.
    After that, it is a higher term at some member, or a primary of the chosen term or a later one.
    """
    if change.step in (Step.ASK, Step.SURVEY):
        return not change.old_primary and group.primary_seen_at > group.change_started
    return group.highest_term > change.term or group.primary_term >= change.term


def abandon_change(world: World, group: Group, reason: str) -> None:
    """End the attempt; supervision starts another one after CHANGE_RETRY_DELAY if still needed."""
    change, now = group.change, world.clock.monotonic()
    log_event("change_given_up", database=group.id, reason=reason, term=change.term)
    if change.step in (Step.FENCE, Step.PROMOTE):
        group.no_resume_up_to = max(group.no_resume_up_to, change.term)
    group.change = None
    group.retry_at = now + CHANGE_RETRY_DELAY


def _ask_step(world: World, group: Group, change: Change, now: timedelta) -> Iterator[Effect]:
    """End the attempt if another holder has a valid permit, else go to SURVEY.

    Wait for the answers of all holders, but at most ASK_TIMEOUT. If one has a permit, the
    refusals that this VM got do not show that the primary is lost, so the count starts again.
    """
    asked_vms = {vm for vm in group.holders.values() if vm not in (None, world.identity.id)}
    if any(group.primary_seen_by_vm.values()):
        group.primary_seen_at = now
        for watch in group.watches.values():
            watch.refusals, watch.refusal_limit_at = 0, None
        abandon_change(world, group, "primary_seen")
    elif asked_vms <= group.primary_seen_by_vm.keys() or now - change.since >= ASK_TIMEOUT:
        group.change = enter_step(change, Step.SURVEY, now)
    yield from ()


def _survey_step(world: World, group: Group, change: Change, now: timedelta) -> Iterator[Effect]:
    """Choose the term once a majority has a status, after up to SURVEY_GRACE for the others."""
    survey = _build_survey(world, group)
    responded = survey.statuses.keys() | {w.name for w in group.watches.values() if w.refusals}
    is_complete = responded >= group.watches.keys() or now - change.since >= SURVEY_GRACE
    if is_complete and can_choose_term(survey):
        group.change = enter_chosen_term(change, survey, now)
        if group.change is None:
            group.change = change
            abandon_change(world, group, "no_leader")
    elif now - change.since >= STEP_TIMEOUT:
        abandon_change(world, group, "no_majority")
    yield from ()


def _resend_due(group: Group, change: Change, now: timedelta) -> bool:
    """Return whether to send the step's requests now, and record the time if so."""
    is_due = change.sent_at is None or now - change.sent_at >= RESEND_INTERVAL
    if is_due:
        group.change = evolve(change, sent_at=now)
    return is_due


def _hand_over_step(world: World, group: Group, change: Change, now: timedelta) -> Iterator[Effect]:
    """Pause new writes until those in flight are done and the next leader has every entry."""
    spans = world.tables(SuccessionTables).spans.by_id[group.id]
    leader = leader_of(spans, change.term)
    statuses = group.recent_statuses(change.since + MIN_HAND_OVER)
    old, new = statuses.get(change.old_primary), statuses.get(leader)
    caught_up = old is not None and new is not None and log_contains(new, old.mark)
    if leader == change.old_primary or caught_up or now - change.since >= CATCH_UP_TIMEOUT:
        group.change = enter_step(change, Step.FENCE, now)
    yield from ()


def _fence_step(world: World, group: Group, change: Change, now: timedelta) -> Iterator[Effect]:
    """Send the fence until its majority answered; fence again if that calls for a higher term."""
    if is_fence_complete(change, frozenset(group.watches), now):
        group.change = evaluate_fence(change, _build_survey(world, group), now)
        if group.change is None:
            group.change = change
            abandon_change(world, group, "no_leader")
            return
        change = group.change
        if change.step is not Step.FENCE:
            return
    elif now - change.since >= STEP_TIMEOUT:
        abandon_change(world, group, "no_fence_majority")
        return
    if _resend_due(group, change, now):
        answered = dict(change.answers)
        for watch in group.watches.values():
            if watch.name not in answered:
                yield SendFence(watch.id, change.term)


def _wait_step(world: World, group: Group, change: Change, now: timedelta) -> Iterator[Effect]:
    """Wait until no permit of an earlier term can be valid any more."""
    if is_wait_over(change, wait_after_fence(world.rules), now):
        group.change = enter_step(change, Step.PROMOTE, now)
    yield from ()


def _promote_step(world: World, group: Group, change: Change, now: timedelta) -> Iterator[Effect]:
    spans = world.tables(SuccessionTables).spans.by_id[group.id]
    watch = group.watches.get(leader_of(spans, change.term))
    if watch is None or now - change.since >= STEP_TIMEOUT:
        abandon_change(world, group, "no_promotion")
    elif _resend_due(group, change, now):
        yield SendPromote(watch.id, change.term)


_STEP_FUNCTIONS = {
    Step.ASK: _ask_step,
    Step.SURVEY: _survey_step,
    Step.HAND_OVER: _hand_over_step,
    Step.FENCE: _fence_step,
    Step.WAIT: _wait_step,
    Step.PROMOTE: _promote_step,
}


def _group_changing_at(world: World, member: MemberId, term: int) -> Group | None:
    """Return the member's group if its change is at `term`, else None: the answer is late."""
    group = refresh_groups(world).get(database_of(member))
    if group is None or name_of(member) not in group.watches:
        return None
    return group if group.change is not None and group.change.term == term else None


@handles(PrimarySeenAnswered)
def handle_primary_seen(world: World, message: PrimarySeenAnswered) -> Iterable[Effect]:
    """Record whether another holder has a valid permit, and advance the change."""
    group = refresh_groups(world).get(message.database)
    if group is None or group.change is None or group.change.step is not Step.ASK:
        return []
    group.primary_seen_by_vm[message.vm] = message.valid
    return drive_change(world, group)


@handles(FenceAnswered)
def handle_fence_answer(world: World, message: FenceAnswered) -> Iterable[Effect]:
    """Add an answer to the fence of the change at that term, and advance the change."""
    group = _group_changing_at(world, message.member, message.term)
    if group is None:
        return []
    now = world.clock.monotonic()
    watch = group.watches[name_of(message.member)]
    record_member_status(world, group, watch, message.status, now)
    if watch.name == group.primary and world.rules.on("primary_answer"):
        group.permit = None
    spans = world.tables(SuccessionTables).spans.by_id[group.id]
    group.change = record_fence_answer(
        group.change, watch.name, message.status, now, spans, world.rules
    )
    return drive_change(world, group)


@handles(FenceFailed)
def handle_fence_failure(world: World, message: FenceFailed) -> Iterable[Effect]:
    """Stop waiting for a member that refused the fence or could not be reached."""
    group = _group_changing_at(world, message.member, message.term)
    if group is None:
        return []
    refused = group.change.refused | {name_of(message.member)}
    group.change = evolve(group.change, refused=refused)
    return drive_change(world, group)


@handles(PromoteAnswered)
def handle_promotion(world: World, message: PromoteAnswered) -> Iterable[Effect]:
    """Finish the change: report the new primary and tell the other members to follow it."""
    group = _group_changing_at(world, message.member, message.term)
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
        detect=group.change_started - group.primary_seen_at,
        **group.change.durations(now),
    )
    group.change = None
    group.primary_seen_at = world.clock.monotonic()
    group.highest_term = max(group.highest_term, message.term)
    effects = record_new_primary(world, group, leader, message.term)
    for watch in group.watches.values():
        if watch is not leader:
            effects.append(SendFollow(watch.id, message.term, leader.name))
    return effects


@handles(PromoteFailed)
def handle_promotion_failure(world: World, message: PromoteFailed) -> None:
    """End the attempt if the member refused; without an answer the request is sent again."""
    group = _group_changing_at(world, message.member, message.term)
    if group is not None and group.change.step is Step.PROMOTE and message.refused:
        abandon_change(world, group, "promotion_refused")
