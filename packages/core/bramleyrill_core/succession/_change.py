"""One supervisor's attempt at a change of primary: a value and the pure steps over it."""

from datetime import timedelta
from enum import Enum

from attrs import evolve, field, frozen

from bramleyrill_core._rules import Rules
from bramleyrill_core._values import MemberRole, MemberStatus
from bramleyrill_core.succession._terms import (
    Spans,
    choose_term,
    has_majorities,
    leader_of,
    most_advanced,
    settled_term,
)

# A holder that has not answered by then counts as not seeing the primary.
ASK_LIMIT = timedelta(milliseconds=300)
# How long to wait for more statuses than a majority. Two regions are 40 ms apart and back.
SURVEY_GRACE = timedelta(milliseconds=150)
# How long the fence waits for more than a majority; it is shorter than the wait that follows.
FENCE_GRACE = timedelta(milliseconds=200)
# A planned change holds new writes for at least the first time, so that short ones in flight
# end, and at most the second, while the next leader catches up.
HAND_OVER_QUIET = timedelta(milliseconds=100)
CATCH_UP_LIMIT = timedelta(milliseconds=500)
RESEND_AFTER = timedelta(milliseconds=250)
STEP_LIMIT = timedelta(seconds=2)


class Step(Enum):
    """Steps of a change of primary, in their order."""

    ASK = "ask"
    SURVEY = "survey"
    HAND_OVER = "hand_over"
    FENCE = "fence"
    WAIT = "wait"
    PROMOTE = "promote"


@frozen
class Change:
    """An attempt: step and its start, the term, and the answers to the fence at that term.

    `old_primary` is set for a planned change, which holds new writes first; `move` asks for
    another leader if one can have every entry. `majority_at` is the time at which the answer
    came that completed the fence's majority. `started_at` maps each step to its latest start, for
    the log.
    """

    step: Step
    since: timedelta
    term: int = 0
    old_primary: str = ""
    move: bool = False
    answers: tuple[tuple[str, MemberStatus], ...] = ()
    refused: frozenset[str] = frozenset()
    majority_at: timedelta | None = None
    sent_at: timedelta | None = None
    started_at: tuple[tuple[Step, timedelta], ...] = ()

    def durations(self, now: timedelta) -> dict[str, timedelta]:
        """Return how long each step took, by its name, up to `now` for the last one."""
        ends = [since for _, since in self.started_at[1:]] + [now]
        return {
            step.value: end - since
            for (step, since), end in zip(self.started_at, ends, strict=True)
        }


@frozen
class Survey:
    """What the supervisor knows when it chooses a term.

    `statuses` are recent answers by member, `highest` the highest term ever seen, `avoid` the
    members that should not lead, `resume` whether a fence begun by another may be continued.
    """

    spans: Spans
    statuses: dict[str, MemberStatus]
    highest: int
    avoid: frozenset[str] = frozenset()
    resume: bool = True
    rules: Rules = field(factory=Rules)


def enter(change: Change, step: Step, now: timedelta, **changes: object) -> Change:
    """Return the change at the start of another step."""
    earlier = tuple(item for item in change.started_at if item[0] is not step)
    started_at = (*earlier, (step, now))
    return evolve(change, step=step, since=now, sent_at=None, started_at=started_at, **changes)


def can_choose(survey: Survey) -> bool:
    """Tell whether the statuses reach the majorities that a fence would need.

    Without them a fence could not succeed, and would only cut off members that serve.
    """
    statuses, settled = survey.statuses, settled_term(survey.statuses.values())
    target = max(survey.highest + 1, settled)
    return has_majorities(survey.spans, settled, target, statuses.keys(), survey.rules)


def choose(change: Change, survey: Survey, now: timedelta) -> Change | None:
    """Choose the term and go to the fence, or return None if no member can lead."""
    statuses = dict(survey.statuses)
    planned = change.old_primary in statuses
    leaders = most_advanced(statuses, survey.rules)
    willing = [name for name in leaders if name not in survey.avoid]
    if planned and not willing:
        rest = {n: s for n, s in statuses.items() if n not in survey.avoid}
        willing = most_advanced(rest, survey.rules)
    term = choose_term(
        survey.spans,
        survey.highest,
        statuses,
        willing or leaders,
        survey.resume and not change.old_primary,
    )
    if term is None:
        return None
    step = Step.HAND_OVER if planned else Step.FENCE
    fresh = evolve(change, term=term, answers=(), refused=frozenset(), majority_at=None)
    return enter(fresh, step, now)


def note_fence(
    change: Change, name: str, status: MemberStatus, now: timedelta, spans: Spans, rules: Rules
) -> Change:
    """Add a member's answer to the fence; note the time if it completes the majority."""
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


def judge_fence(change: Change, survey: Survey, now: timedelta) -> Change | None:
    """Go on to the wait if the term's leader is the most advanced, else to a higher term."""
    answers = dict(change.answers)
    leaders = most_advanced(answers, survey.rules)
    leader = leader_of(survey.spans, change.term)
    if leader in leaders or not survey.rules.on("most_advanced_leads"):
        return enter(change, Step.WAIT, now)
    higher = max(change.term, survey.highest)
    term = choose_term(survey.spans, higher, answers, leaders, False)
    if term is None:
        return None
    fresh = evolve(change, term=term, answers=(), refused=frozenset(), majority_at=None)
    return enter(fresh, Step.FENCE, now)


def fence_is_complete(change: Change, members: frozenset[str], now: timedelta) -> bool:
    """Tell whether the fence has its majority, and all others answered or had their time."""
    if change.majority_at is None:
        return False
    heard = {name for name, _ in change.answers} | change.refused
    return members <= heard or now - change.majority_at >= FENCE_GRACE


def wait_is_over(change: Change, wait: timedelta, now: timedelta) -> bool:
    """Tell whether every permit of an earlier term has run out."""
    return change.majority_at is not None and now >= change.majority_at + wait
