"""Health of this VM: whether it is slow, by its own delays and by what its peers observe.

This answers the load of VMs that turn slow for seconds without failing. A slow VM still answers, so
that nothing fails over, and each statement that passes through it is late.
"""

from bramleyrill_core.vm_health._evidence import Evidence, SelfObservation, Verdict
from bramleyrill_core.vm_health._hysteresis import Change, SlownessState
from bramleyrill_core.vm_health._rotation import RotationBudget
from bramleyrill_core.vm_health._round_trips import RoundTrips
from bramleyrill_core.vm_health._statistics import median, spread
from bramleyrill_core.vm_health._told import MAX_DELAY, accepted_delay

__all__ = [
    "MAX_DELAY",
    "Change",
    "Evidence",
    "RotationBudget",
    "RoundTrips",
    "SelfObservation",
    "SlownessState",
    "Verdict",
    "accepted_delay",
    "median",
    "spread",
]
