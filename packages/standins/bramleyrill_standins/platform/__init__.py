"""Stand-in for the platform: versioned objects, watches and the list of VMs, served over HTTP."""

from bramleyrill_standins.platform._app import ObjectApi, PlatformSwitches
from bramleyrill_standins.platform._objects import ObjectStore, VmList

__all__ = ["ObjectApi", "ObjectStore", "PlatformSwitches", "VmList"]
