"""Checks of a history for lost, doubled, crossed and stale entries."""

from collections import Counter, defaultdict

from attrs import frozen

from bramleyrill_standins.callers._history import History, Outcome, Read, Write


@frozen
class Violation:
    """A broken promise of the proxy.

    `kind` is `lost` (an acknowledged entry is missing), `doubled` (an entry is there twice), `ran`
    (a write took effect although it was answered as not run), `crossed` (a read returned data of
    another request or key), `incomplete` (a read lacks rows of its answer) or `stale` (a read
    lacks an entry that it must include).
    """

    kind: str
    detail: str


def check(history: History, final: list[str]) -> list[Violation]:
    """Return every violation in a history.

    `final` lists the entries in the database after all callers have stopped, each as often as it
    is there. An acknowledged entry may be missing only if its caller was notified of a lost entry
    after the acknowledgement.
    """
    return [
        *_check_final(history, Counter(final)),
        *_check_answers(history),
        *_check_freshness(history, Counter(final)),
    ]


def _loss_was_reported(history: History, write: Write) -> bool:
    return any(
        notice.caller == write.caller and notice.at >= write.ended
        for notice in history.loss_notices
    )


def _check_final(history: History, final: Counter) -> list[Violation]:
    violations = []
    for write in history.writes:
        count = final[write.entry]
        if count > 1:
            violations.append(
                Violation("doubled", f"{write.entry} is in the database {count} times")
            )
        if (
            write.outcome is Outcome.ACKNOWLEDGED
            and not count
            and not _loss_was_reported(history, write)
        ):
            violations.append(
                Violation(
                    "lost",
                    f"{write.entry} is missing although {write.caller} got an acknowledgement",
                )
            )
        if write.outcome is Outcome.NOT_RUN and count:
            violations.append(
                Violation(
                    "ran", f"{write.entry} took effect although its answer was {write.sqlstate}"
                )
            )
    return violations


def _check_answers(history: History) -> list[Violation]:
    written = {write.entry: write.key for write in history.writes}
    violations = []
    for read in history.reads:
        name = f"read {read.nonce} of {read.key} by {read.caller}"
        foreign_values = [nonce for nonce in read.nonces if nonce != read.nonce]
        foreign_values += [key for key in read.keys if key != read.key]
        foreign_values += [entry for entry in read.entries if written.get(entry) != read.key]
        if foreign_values:
            violations.append(Violation("crossed", f"{name} returned {foreign_values[0]}"))
        elif len(read.entries) != read.row_count:
            violations.append(
                Violation(
                    "incomplete", f"{name} returned {len(read.entries)} of {read.row_count} rows"
                )
            )
    return violations


def _check_freshness(history: History, final: Counter) -> list[Violation]:
    by_key: dict[str, list[Write]] = defaultdict(list)
    for write in history.writes:
        if write.outcome is Outcome.ACKNOWLEDGED:
            by_key[write.key].append(write)
    violations = []
    for read in history.reads:
        seen = set(read.entries)
        for write in by_key[read.key]:
            if write.entry in seen or not _must_include(read, write):
                continue
            # An entry that was lost in a change of primary cannot be read any more.
            if not final[write.entry] and _loss_was_reported(history, write):
                continue
            violations.append(
                Violation("stale", f"read {read.nonce} by {read.caller} misses {write.entry}")
            )
            break
    return violations


def _must_include(read: Read, write: Write) -> bool:
    """Return whether a read must include a write.

    It must if the write is an earlier one of the same caller, or if it was acknowledged longer
    before the read than the read's age.
    """
    if write.caller == read.caller:
        return write.ended <= read.started
    return write.ended <= read.started - read.age
