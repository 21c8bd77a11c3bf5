"""Worlds for tests: one database with three members, and one VM in the domain of each."""

from datetime import timedelta
from random import Random

from bramleyrill_base import ManualClock
from bramleyrill_core import (
    Core,
    MemberRole,
    MemberStatus,
    TermStart,
    VmId,
    VmIdentity,
    World,
    database_id,
    member_id,
)
from bramleyrill_core.membership import HeartbeatAcked, VmState, VmUpdate
from bramleyrill_core.text import (
    DomainSpec,
    FleetSpec,
    Limits,
    ServiceSpec,
    UserSpec,
    build_database,
    build_text,
)

DATABASE = database_id("kintsugi", "pieces", "main")
MEMBERS = tuple(member_id(DATABASE, name) for name in ("m1", "m2", "m3"))
VMS = tuple(VmId(f"vm-{domain}") for domain in "abc")


def ms(amount):
    return timedelta(milliseconds=amount)


def build_world(index=0, live=(0, 1, 2)):
    """Return the world of VM `index`, the holder of m1, m2 or m3 in domain a, b or c.

    `live` are the indexes of the VMs that it sees as alive.
    """
    members = {f"m{n + 1}": (domain, "h", n + 1) for n, domain in enumerate("abc")}
    database = build_database("kintsugi", "pieces", "main", members)
    users = {"ada": UserSpec("ada"), "viewer": UserSpec("viewer", writes=False, age=ms(2000))}
    limits = Limits(16, 2, ms(12))
    service = ServiceSpec("kintsugi", "pieces", limits, {}, {"main": database}, users)
    domains = {name: DomainSpec(name, name) for name in "abc"}
    text = build_text({"kintsugi": FleetSpec("kintsugi", 1.0, domains, {"pieces": service})})
    domain = "abc"[index]
    world = World(VmIdentity(VMS[index], domain, domain), ManualClock(), Random(1), text)
    updates = tuple(
        VmUpdate(VMS[n], "abc"[n], "abc"[n], "127.0.0.1", 1, VmState.ALIVE, 0) for n in live
    )
    core = Core(world)
    core.handle(HeartbeatAcked(VMS[live[0]], updates))
    core.tick()
    return world


def status(name, term, position, role="replica", last_term=None, history=(), leader="m1"):
    last = term if last_term is None else last_term
    starts = tuple(TermStart(*pair) for pair in history)
    return MemberStatus(name, term, position, MemberRole(role), leader, last, starts)
