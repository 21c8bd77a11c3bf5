"""A team, and the form in which its keys are kept."""

import hashlib

from attrs import frozen


@frozen
class Team:
    """A team of the configuration.

    `rate_per_s` limits the team's operations a second over all VMs and `burst` is how many it may
    start at once; None means no limit. `weight` is its share of a contended member relative to
    that of other teams.
    """

    name: str
    rate_per_s: float | None = None
    burst: float | None = None
    weight: int = 1


def key_digest(key: str) -> str:
    """Return the digest of a caller's key, which is kept, compared and sent instead of the key.

    Example: `key_digest("k1") == key_digest("k1")`.
    """
    return hashlib.sha256(key.encode("utf-8", "surrogateescape")).hexdigest()
