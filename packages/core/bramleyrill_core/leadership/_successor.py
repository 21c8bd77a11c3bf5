"""Choice of the member that becomes the next primary."""

from attrs import frozen

from bramleyrill_core._values import Mark


@frozen
class Candidate:
    """A member with the mark of its last log entry; `ready` is False if it may not lead."""

    member: str
    mark: Mark
    ready: bool


def choose_successor(candidates: list[Candidate], at_least: Mark | None = None) -> str | None:
    """Return the most advanced member that is ready, or None; the term counts before the position.

    With `at_least` only members that have this entry qualify, so that a planned change loses no
    entries.
    """
    eligible = [
        candidate
        for candidate in candidates
        if candidate.ready and (at_least is None or candidate.mark >= at_least)
    ]
    if not eligible:
        return None
    return max(eligible, key=lambda candidate: (candidate.mark, candidate.member)).member
