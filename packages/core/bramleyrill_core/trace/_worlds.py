"""Worlds for traces: three VMs, each in the domain of one of the members of one database."""

from datetime import timedelta
from random import Random

from bramleyrill_base import ManualClock

from bramleyrill_core._core import Core
from bramleyrill_core._values import VmId
from bramleyrill_core._world import VmIdentity, World
from bramleyrill_core.membership import HeartbeatAcked, VmState, VmUpdate
from bramleyrill_core.text import (
    DomainSpec,
    FleetSpec,
    Limits,
    ServiceSpec,
    Text,
    UserSpec,
    build_database,
    build_text,
)

DOMAINS = ("a", "b", "c")
VM_NAMES = tuple(f"vm-{domain}" for domain in DOMAINS)


def trace_text() -> Text:
    """Return a text with the database kintsugi/pieces/main: m1, m2, m3 in domains a, b, c.

    User `ada` has the default settings; `viewer` may not write and accepts an age of 2 s.
    """
    members = {f"m{n}": (domain, "127.0.0.1", n) for n, domain in enumerate(DOMAINS, 1)}
    database = build_database("kintsugi", "pieces", "main", members)
    age = timedelta(seconds=2)
    users = {"ada": UserSpec("ada"), "viewer": UserSpec("viewer", writes=False, age=age)}
    limits = Limits(16, 2, timedelta(milliseconds=12))
    service = ServiceSpec("kintsugi", "pieces", limits, {}, {"main": database}, users)
    domains = {name: DomainSpec(name, name) for name in DOMAINS}
    fleet = FleetSpec("kintsugi", 1.0, domains, {"pieces": service})
    return build_text({"kintsugi": fleet})


def build_cores() -> dict[str, Core]:
    """Return a core for each VM; all have the same text and see all VMs as alive."""
    cores = {}
    alive = tuple(
        VmUpdate(VmId(name), domain, domain, "127.0.0.1", 1, VmState.ALIVE, 0)
        for name, domain in zip(VM_NAMES, DOMAINS, strict=True)
    )
    for name, domain in zip(VM_NAMES, DOMAINS, strict=True):
        identity = VmIdentity(VmId(name), domain, domain)
        core = Core(World(identity, ManualClock(), Random(0), trace_text()))
        peer = next(vm for vm in VM_NAMES if vm != name)
        core.handle(HeartbeatAcked(VmId(peer), alive))
        core.tick()
        cores[name] = core
    return cores
