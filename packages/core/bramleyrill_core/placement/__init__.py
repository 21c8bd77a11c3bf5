"""Placement: the VM that holds a member's connections, and the member that serves a read."""

from bramleyrill_core.placement._holders import holder_candidates, watches_platform
from bramleyrill_core.placement._reads import ReadPlacement
from bramleyrill_core.placement._vms import VmEntry, VmRow, VmTable

__all__ = ["ReadPlacement", "VmEntry", "VmRow", "VmTable", "holder_candidates", "watches_platform"]
