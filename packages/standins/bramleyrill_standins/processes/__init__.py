"""Harness that starts and stops the system's processes for tests, benchmarks and the demo."""

from bramleyrill_standins.processes._admin import AdminClient
from bramleyrill_standins.processes._deployment import UPSTREAM_USER, Behaviour, Deployment
from bramleyrill_standins.processes._group import Group
from bramleyrill_standins.processes._platform import Platform
from bramleyrill_standins.processes._process import Process, ProcessError, free_ports, wait_until
from bramleyrill_standins.processes._proxy import Proxy, VmLocation
from bramleyrill_standins.processes._text import example_text, services_of, to_source

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
    "VmLocation",
    "example_text",
    "free_ports",
    "services_of",
    "to_source",
    "wait_until",
]
