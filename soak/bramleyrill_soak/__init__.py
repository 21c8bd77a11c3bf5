"""Randomized fault soak: injects faults around real entry processes and checks their promises."""

from bramleyrill_soak._history import History, Violation
from bramleyrill_soak._run import SoakReport, soak

__all__ = ["History", "SoakReport", "Violation", "soak"]
