"""Start and stop the system's processes from tests, benchmarks and the demo."""

from bramleyrill_standins.processes._admin import AdminClient
from bramleyrill_standins.processes._group import Group
from bramleyrill_standins.processes._platform import Platform
from bramleyrill_standins.processes._process import Process, ProcessError, free_ports, wait_until

__all__ = [
    "AdminClient",
    "Group",
    "Platform",
    "Process",
    "ProcessError",
    "free_ports",
    "wait_until",
]
