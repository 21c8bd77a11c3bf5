"""When the right to acknowledge runs out, on the clock of the entry VM."""

from datetime import timedelta

# Clocks of two VMs may drift apart by this share while a permit lasts.
DRIFT = 0.001
MARGIN = timedelta(milliseconds=5)


def entry_expiry(request_sent: timedelta, permit_age: timedelta, length: timedelta) -> timedelta:
    """Return the time up to which an answer under the permit may leave.

    The holder received the request after `request_sent`, and `permit_age` is counted from the
    probe to that receipt, so the probe is at or after the difference.
    """
    return request_sent - permit_age + length * (1 - DRIFT) - MARGIN
