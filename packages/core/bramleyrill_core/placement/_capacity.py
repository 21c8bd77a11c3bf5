"""Capacity of a VM: what it can do as the holder of members.

This answers the load of VMs that differ: a holder on a tenth of a core delays all work at its
member, and the balancer sends it as many callers as the others.
"""

from attrs import frozen

# Unit of a capacity: thousandths of a core. An entry of an older build has no capacity.
UNKNOWN_CAPACITY = 0
# A VM whose capacity is unknown counts as the smallest that serves at all, so that it is not given
# more than it may bear.
MIN_CAPACITY = 100
MAX_CAPACITY = 1_000_000
# Thousandths of a core that one Mbit/s keeps at work: a core holds members for about 2,500
# statements a second (docs/CAPACITY.md), each of which passes its link twice in either direction
# with about 250 bytes.
CAPACITY_PER_LINK_MBPS = 100


@frozen
class OwnCapacity:
    """Capacity of this VM, and the reason if it is unknown or bounded by something else."""

    capacity: int
    reason: str = ""


def capacity_of(
    cpu_share: float | None, cores: float | None, link_mbps: float | None
) -> OwnCapacity:
    """Return the capacity of a VM with a share of `cores`, as far as its link allows.

    Example: a share of 0.5 of two cores is 1,000 thousandths, and 500 behind a link of 5 Mbit/s.
    """
    if cpu_share is None or cores is None:
        return OwnCapacity(UNKNOWN_CAPACITY, "no valid cpu_share or cores in the settings")
    processor = min(cpu_share * cores * 1000, MAX_CAPACITY)
    link = MAX_CAPACITY if link_mbps is None else link_mbps * CAPACITY_PER_LINK_MBPS
    reason = "bounded by the link" if link < processor else ""
    return OwnCapacity(max(round(min(processor, link)), 1), reason)


def accepted_capacity(told: object) -> int:
    """Return a capacity that another VM told, or unknown if it is none."""
    if not isinstance(told, int) or isinstance(told, bool) or not 0 < told <= MAX_CAPACITY:
        return UNKNOWN_CAPACITY
    return told


def holding_weight(capacity: int) -> int:
    """Return the weight of a VM among the holders of its domain: the square of its capacity.

    Each VM serves as many callers as the others, as the balancer does not know capacities, so what
    is left to hold members with grows faster than the capacity. The weight does not depend on the
    other VMs: otherwise each VM that comes or goes would move members between two others.
    """
    return max(capacity, MIN_CAPACITY) ** 2
