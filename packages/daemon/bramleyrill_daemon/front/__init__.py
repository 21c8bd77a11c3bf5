"""The caller side of the daemon."""

from bramleyrill_daemon.front._front import Front
from bramleyrill_daemon.front._limits import FrontLimits

__all__ = ["Front", "FrontLimits"]
