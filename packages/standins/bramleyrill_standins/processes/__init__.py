"""Start and stop the system's processes from tests, benchmarks and the demo."""

from bramleyrill_standins.processes._admin import AdminClient
from bramleyrill_standins.processes._deployment import UPSTREAM_USER, Behaviour, Deployment
from bramleyrill_standins.processes._group import Group
from bramleyrill_standins.processes._platform import Platform
from bramleyrill_standins.processes._process import Process, ProcessError, free_ports, wait_until
from bramleyrill_standins.processes._proxy import Proxy, VmPlace
from bramleyrill_standins.processes._text import example_fleets, services_of, to_source

__all__ = [
    "UPSTREAM_USER",
    "AdminClient",
    "Behaviour",
    "Deployment",
    "Group",
    "Platform",
    "Process",
    "ProcessError",
    "Proxy",
    "VmPlace",
    "example_fleets",
    "free_ports",
    "services_of",
    "to_source",
    "wait_until",
]
