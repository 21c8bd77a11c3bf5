"""Load of a member as its holder sees it, in the few bytes that pass between VMs.

A stamp rides on answers and pings that are sent anyway, so it has to be small: the four figures
are packed in one non-negative 32-bit integer. Times and rates are stored as logarithms, since a
choice between members depends on ratios.
"""

import math
from datetime import timedelta

from attrs import frozen

_IN_FLIGHT_BITS = 7
_QUEUED_BITS = 10
_LOGARITHM_BITS = 7
MAX_IN_FLIGHT = (1 << _IN_FLIGHT_BITS) - 1
MAX_QUEUED = (1 << _QUEUED_BITS) - 1
_MAX_LOGARITHM = (1 << _LOGARITHM_BITS) - 1
_MAX_PACKED = (1 << (_IN_FLIGHT_BITS + _QUEUED_BITS + 2 * _LOGARITHM_BITS)) - 1
# A step of a logarithm is 12%, and 126 steps span a factor of two million.
_STEPS_PER_DOUBLING = 6
_SHORTEST_TIME_S = 0.0001
_LOWEST_RATE_PER_S = 0.01


@frozen
class LoadStamp:
    """Load of a member at the moment when its holder sent the stamp.

    `in_flight` counts the statements that hold a slot, and `queued` those that wait for one, of all
    VMs. `service_time` is the recent mean run of a statement, and `arrivals_per_s` the recent rate
    of new ones; both are zero if the holder has not measured them yet.
    """

    in_flight: int
    queued: int
    service_time: timedelta = timedelta()
    arrivals_per_s: float = 0.0

    def pack(self) -> int:
        """Return the stamp as an integer from 0 to 2**31 - 1; greater figures are cut off."""
        packed = _clamp(self.in_flight, MAX_IN_FLIGHT)
        packed = packed << _QUEUED_BITS | _clamp(self.queued, MAX_QUEUED)
        service_s = self.service_time.total_seconds()
        packed = packed << _LOGARITHM_BITS | _logarithm(service_s, _SHORTEST_TIME_S)
        return packed << _LOGARITHM_BITS | _logarithm(self.arrivals_per_s, _LOWEST_RATE_PER_S)


def unpack_stamp(packed: int) -> LoadStamp:
    """Return the stamp that `LoadStamp.pack` encoded; raise ValueError if it is none.

    Example: `unpack_stamp(LoadStamp(3, 0).pack())` equals `LoadStamp(3, 0)`.
    """
    if not isinstance(packed, int) or not 0 <= packed <= _MAX_PACKED:
        raise ValueError("a load stamp is out of range")
    arrivals = packed & _MAX_LOGARITHM
    packed >>= _LOGARITHM_BITS
    service = packed & _MAX_LOGARITHM
    packed >>= _LOGARITHM_BITS
    return LoadStamp(
        in_flight=packed >> _QUEUED_BITS,
        queued=packed & MAX_QUEUED,
        service_time=timedelta(seconds=_power(service, _SHORTEST_TIME_S)),
        arrivals_per_s=_power(arrivals, _LOWEST_RATE_PER_S),
    )


def _clamp(value: int, maximum: int) -> int:
    return min(max(value, 0), maximum)


def _logarithm(value: float, unit: float) -> int:
    """Return the steps from `unit` to a value plus one; 0 stands for values below the unit."""
    if value < unit:
        return 0
    return min(1 + round(_STEPS_PER_DOUBLING * math.log2(value / unit)), _MAX_LOGARITHM)


def _power(steps: int, unit: float) -> float:
    return unit * 2 ** ((steps - 1) / _STEPS_PER_DOUBLING) if steps else 0.0
