"""Choice of the member that takes over."""

from attrs import frozen

from bramleyrill_core._values import Mark


@frozen
class Candidate:
    """A member that may lead: the last entry of its log, and whether it is to stay."""

    member: str
    mark: Mark
    ready: bool


def choose_successor(candidates: list[Candidate], at_least: Mark | None = None) -> str | None:
    """Return the most advanced member that stays, or None.

    Term goes before position. With `at_least` only a member that has this entry qualifies, as in
    a planned change, which loses nothing.
    """
    fit = [
        item for item in candidates if item.ready and (at_least is None or item.mark >= at_least)
    ]
    if not fit:
        return None
    return max(fit, key=lambda item: (item.mark, item.member)).member
