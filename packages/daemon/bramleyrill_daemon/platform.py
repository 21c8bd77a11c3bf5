"""Public interface to the platform client, for the operator's command line."""

from bramleyrill_daemon._listed_vms import read_listed_vms
from bramleyrill_daemon._platform import Conflict, PlatformClient, PlatformError, StoredObject

__all__ = ["Conflict", "PlatformClient", "PlatformError", "StoredObject", "read_listed_vms"]
