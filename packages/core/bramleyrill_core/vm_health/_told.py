"""Delays that other VMs tell."""

from datetime import timedelta

# No VM that is late by more answers anything; a peer that tells more is wrong.
MAX_DELAY = timedelta(seconds=60)
_MAX_DELAY_US = MAX_DELAY // timedelta(microseconds=1)


def accepted_delay(told_us: object) -> timedelta | None:
    """Return a delay that another VM told in microseconds; raise ValueError if it is impossible.

    A VM of an older build tells none, which is None.
    """
    if told_us is None:
        return None
    if not isinstance(told_us, int) or not 0 <= told_us <= _MAX_DELAY_US:
        raise ValueError(f"a delay of {told_us} us is impossible")
    return timedelta(microseconds=told_us)
