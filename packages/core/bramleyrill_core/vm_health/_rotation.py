"""How long a slow VM may stay out of the balancer's rotation.

This answers the load of callers that a slow VM would serve late. A wrong verdict must not take a VM
out for good, so that each spell is bounded and followed by a longer time in rotation.
"""

from datetime import timedelta

MAX_SPELL = timedelta(seconds=10)
# The VM stays in rotation this many times as long as it was out: out for at most a tenth of the
# time.
PAUSE_FACTOR = 9


class RotationBudget:
    """Spells out of rotation of this VM."""

    def __init__(self) -> None:
        self._out_since: timedelta | None = None
        self._not_before = timedelta.min

    def is_out(self, wanted: bool, now: timedelta) -> bool:
        """Return whether the VM is to be out of rotation, given whether it should be."""
        if self._out_since is None:
            if wanted and now >= self._not_before:
                self._out_since = now
            return self._out_since is not None
        # The balancer may not have asked for long.
        lasted = min(now - self._out_since, MAX_SPELL)
        if wanted and lasted < MAX_SPELL:
            return True
        self._out_since = None
        self._not_before = now + lasted * PAUSE_FACTOR
        return False
