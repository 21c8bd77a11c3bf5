"""Randomized fault soak: real entry processes, faults from outside them, promises checked."""

from bramleyrill_soak._history import Breach, History
from bramleyrill_soak._run import SoakReport, soak

__all__ = ["Breach", "History", "SoakReport", "soak"]
