"""The entries of the platform's list of VMs, which other writers may leave in any shape."""

from collections.abc import Iterable
from typing import Any

from bramleyrill_base import log_event
from bramleyrill_core import VmId
from bramleyrill_core.membership import ListedVm

MAX_PORT = 65535


def read_listed_vms(entries: Iterable[Any]) -> list[ListedVm]:
    """Return the VMs of a list; malformed entries are logged and left out.

    Example: `read_listed_vms(client.list_vms())`.
    """
    vms = []
    for entry in entries:
        try:
            vms.append(_read_listed_vm(entry))
        except ValueError as error:
            log_event("listed_vm_malformed", reason=error)
    return vms


def _read_listed_vm(entry: Any) -> ListedVm:
    """Return a listed VM; raise ValueError if its entry cannot be used or told to peers."""
    if not isinstance(entry, dict):
        raise ValueError("the entry is not a JSON object")
    names = [entry.get(name) for name in ("id", "domain", "region", "host")]
    if not all(isinstance(name, str) and name and name.isprintable() for name in names):
        raise ValueError("a name is missing or malformed")
    port = entry.get("port")
    if not isinstance(port, int) or isinstance(port, bool) or not 0 < port <= MAX_PORT:
        raise ValueError("the port is missing or out of range")
    vm, domain, region, host = names
    return ListedVm(VmId(vm), domain, region, host, port, entry.get("state") == "leaving")
