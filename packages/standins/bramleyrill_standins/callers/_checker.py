"""Find lost, doubled, crossed and stale answers in a history."""

from collections import Counter, defaultdict

from attrs import frozen

from bramleyrill_standins.callers._history import History, Outcome, Read, Write


@frozen
class Fault:
    """One broken promise: `lost`, `doubled`, `ran`, `crossed`, `incomplete` or `stale`."""

    kind: str
    detail: str


def check(history: History, final: list[str]) -> list[Fault]:
    """Return every broken promise in a history.

    `final` lists the entries in the database after all callers have stopped, repeated as often as
    they are there. An acknowledged entry may be missing only if its caller was told of a lost
    entry after the acknowledgement.
    """
    return [
        *_check_final(history, Counter(final)),
        *_check_answers(history),
        *_check_freshness(history, Counter(final)),
    ]


def _excused(history: History, write: Write) -> bool:
    return any(told.caller == write.caller and told.at >= write.ended for told in history.told_lost)


def _check_final(history: History, final: Counter) -> list[Fault]:
    faults = []
    for write in history.writes:
        found = final[write.entry]
        if found > 1:
            faults.append(Fault("doubled", f"{write.entry} is there {found} times"))
        if write.outcome is Outcome.DONE and not found and not _excused(history, write):
            faults.append(Fault("lost", f"{write.entry} was acknowledged to {write.caller}"))
        if write.outcome is Outcome.NOT_RUN and found:
            faults.append(Fault("ran", f"{write.entry} was answered not run ({write.sqlstate})"))
    return faults


def _check_answers(history: History) -> list[Fault]:
    written = {write.entry: write.key for write in history.writes}
    faults = []
    for read in history.reads:
        name = f"read {read.nonce} of {read.key} by {read.caller}"
        foreign = [nonce for nonce in read.nonces if nonce != read.nonce]
        foreign += [key for key in read.keys if key != read.key]
        foreign += [entry for entry in read.entries if written.get(entry) != read.key]
        if foreign:
            faults.append(Fault("crossed", f"{name} has {foreign[0]}"))
        elif len(read.entries) != read.counted:
            faults.append(Fault("incomplete", f"{name}: {len(read.entries)} of {read.counted}"))
    return faults


def _check_freshness(history: History, final: Counter) -> list[Fault]:
    by_key: dict[str, list[Write]] = defaultdict(list)
    for write in history.writes:
        if write.outcome is Outcome.DONE:
            by_key[write.key].append(write)
    faults = []
    for read in history.reads:
        seen = set(read.entries)
        for write in by_key[read.key]:
            if write.entry in seen or not _must_show(read, write):
                continue
            # An entry that a change of primary lost cannot be read any more.
            if not final[write.entry] and _excused(history, write):
                continue
            faults.append(
                Fault("stale", f"read {read.nonce} by {read.caller} misses {write.entry}")
            )
            break
    return faults


def _must_show(read: Read, write: Write) -> bool:
    """Tell whether a read must have the entry: an own earlier one, or one older than its age."""
    if write.caller == read.caller:
        return write.ended <= read.started
    return write.ended <= read.started - read.age
