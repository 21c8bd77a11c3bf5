"""State of one supervisor's attempt to change the primary, and pure functions that advance it."""

from datetime import timedelta
from enum import Enum

from attrs import evolve, field, frozen

from bramleyrill_core._rules import Rules
from bramleyrill_core._values import MemberRole, MemberStatus, TermStart
from bramleyrill_core.succession._terms import (
    Spans,
    choose_term,
    has_majorities,
    leader_of,
    most_advanced,
    settled_term,
)

# A holder that has not answered within this time counts as not seeing the primary.
ASK_TIMEOUT = timedelta(milliseconds=300)
# How long to wait for more statuses than a majority. The round trip between two regions is 40 ms.
SURVEY_GRACE = timedelta(milliseconds=150)
# How long to wait for more fence answers than a majority; shorter than the wait that follows.
FENCE_GRACE = timedelta(milliseconds=200)
# A planned change pauses new writes for at least MIN_HAND_OVER, so that short ones in flight can
# finish, and for at most CATCH_UP_TIMEOUT, while the next leader catches up.
MIN_HAND_OVER = timedelta(milliseconds=100)
CATCH_UP_TIMEOUT = timedelta(milliseconds=500)
RESEND_INTERVAL = timedelta(milliseconds=250)
STEP_TIMEOUT = timedelta(seconds=2)


class Step(Enum):
    """Steps of a change of primary, in the order in which they run."""

    ASK = "ask"
    SURVEY = "survey"
    HAND_OVER = "hand_over"
    FENCE = "fence"
    WAIT = "wait"
    PROMOTE = "promote"


@frozen
class Change:
    """An attempt: its step and when that began, the term, and the fence answers for that term.

    `old_primary` is set for a planned change, which pauses new writes first. `move_leader` asks
    for a different leader if one can get every entry. `refused` are the members that refused the
    fence or could not be reached. `majority_at` is when the answer arrived that completed the
    fence's majority. `sent_at` is when the requests of this step were last sent. `started_at` holds
    the latest start of each step, for the log.
    """

    step: Step
    since: timedelta
    term: int = 0
    old_primary: str = ""
    move_leader: bool = False
    answers: tuple[tuple[str, MemberStatus], ...] = ()
    refused: frozenset[str] = frozenset()
    majority_at: timedelta | None = None
    sent_at: timedelta | None = None
    started_at: tuple[tuple[Step, timedelta], ...] = ()

    def durations(self, now: timedelta) -> dict[str, timedelta]:
        """Return the duration of each step by its name; the last one is taken to end at `now`."""
        ends = [since for _, since in self.started_at[1:]] + [now]
        return {
            step.value: end - since
            for (step, since), end in zip(self.started_at, ends, strict=True)
        }


@frozen
class Survey:
    """What the supervisor knows when it chooses a term.

    `statuses` are recent statuses by member, `highest_term` is the highest term ever seen, `avoid`
    are members that should not lead, and `resume` allows continuing another supervisor's fence.
    `starts` are the starts of terms in all logs that the supervisor has seen, also earlier.
    """

    spans: Spans
    statuses: dict[str, MemberStatus]
    highest_term: int
    avoid: frozenset[str] = frozenset()
    resume: bool = True
    rules: Rules = field(factory=Rules)
    starts: frozenset[TermStart] = frozenset()


def enter_step(change: Change, step: Step, now: timedelta, **changes: object) -> Change:
    """Return the change at the start of `step`, with the given fields replaced."""
    earlier = tuple(item for item in change.started_at if item[0] is not step)
    started_at = (*earlier, (step, now))
    return evolve(change, step=step, since=now, sent_at=None, started_at=started_at, **changes)


def can_choose_term(survey: Survey) -> bool:
    """Return whether the members with a status form the majorities that a fence needs.

    Without them a fence cannot succeed and would only disable members that serve requests.
    """
    statuses, settled = survey.statuses, settled_term(survey.statuses.values())
    target = max(survey.highest_term + 1, settled)
    return has_majorities(survey.spans, settled, target, statuses.keys(), survey.rules)


def enter_chosen_term(change: Change, survey: Survey, now: timedelta) -> Change | None:
    """Choose the term and enter the next step: FENCE, or HAND_OVER first if planned.

    Return None if no member can lead.
    """
    statuses = dict(survey.statuses)
    planned = change.old_primary in statuses
    leaders = most_advanced(statuses, survey.rules, survey.starts)
    eligible = [name for name in leaders if name not in survey.avoid]
    if planned and not eligible:
        allowed = {name: status for name, status in statuses.items() if name not in survey.avoid}
        eligible = most_advanced(allowed, survey.rules, survey.starts)
    term = choose_term(
        survey.spans,
        survey.highest_term,
        statuses,
        eligible or leaders,
        survey.resume and not change.old_primary,
    )
    if term is None:
        return None
    step = Step.HAND_OVER if planned else Step.FENCE
    fresh = evolve(change, term=term, answers=(), refused=frozenset(), majority_at=None)
    return enter_step(fresh, step, now)


def record_fence_answer(
    change: Change, name: str, status: MemberStatus, now: timedelta, spans: Spans, rules: Rules
) -> Change:
    """Add a member's answer to the fence, and the time if the answer completes the majority."""
    if change.step is not Step.FENCE or status.role is not MemberRole.FENCED:
        return change
    if status.term != change.term:
        return change
    answers = {**dict(change.answers), name: status}
    changed = evolve(change, answers=tuple(sorted(answers.items())))
    settled = settled_term(answers.values())
    if changed.majority_at is None and has_majorities(
        spans, settled, change.term, answers.keys(), rules
    ):
        return evolve(changed, majority_at=now)
    return changed


def evaluate_fence(change: Change, survey: Survey, now: timedelta) -> Change | None:
    """Enter WAIT if the term's leader is most advanced, else fence again at a higher term.

    Return None if no member can lead. Raising the term is needed when a member got further
    entries after its status and before its fence.
    """
    answers = dict(change.answers)
    leaders = most_advanced(answers, survey.rules, survey.starts)
    leader = leader_of(survey.spans, change.term)
    if leader in leaders or not survey.rules.on("most_advanced_leads"):
        return enter_step(change, Step.WAIT, now)
    highest_term = max(change.term, survey.highest_term)
    term = choose_term(survey.spans, highest_term, answers, leaders, False)
    if term is None:
        return None
    fresh = evolve(change, term=term, answers=(), refused=frozenset(), majority_at=None)
    return enter_step(fresh, Step.FENCE, now)


def is_fence_complete(change: Change, members: frozenset[str], now: timedelta) -> bool:
    """Return whether the fence has its majority and the other members answered or timed out."""
    if change.majority_at is None:
        return False
    responded = {name for name, _ in change.answers} | change.refused
    return members <= responded or now - change.majority_at >= FENCE_GRACE


def is_wait_over(change: Change, wait: timedelta, now: timedelta) -> bool:
    """Return whether every permit of an earlier term has expired."""
    return change.majority_at is not None and now >= change.majority_at + wait
