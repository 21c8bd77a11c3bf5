"""Test worlds for membership, pools, drain and burn."""

import random
from datetime import timedelta

from bramleyrill_base import ManualClock
from bramleyrill_core import Core, Rank, VmId, VmIdentity, World
from bramleyrill_core.membership import HeartbeatAcked, VmState, VmUpdate
from bramleyrill_core.text import (
    DomainSpec,
    FleetSpec,
    Limits,
    MemberSpec,
    RankPolicy,
    ServiceSpec,
    build_database,
    build_text,
)

MS = timedelta(milliseconds=1)
S = timedelta(seconds=1)
MEMBERS = {"m1": ("a", "h", 1), "m2": ("b", "h", 2), "m3": ("c", "h", 3)}
DATABASE = build_database("f", "s", "db", MEMBERS)
M1, M2, M3 = (member.id for member in DATABASE.members)


def build_sample_text(leaving=()):
    """Return a text with one service; its member has 12 pooled connections and 2 slots."""
    members = tuple(
        MemberSpec(m.id, m.name, m.domain, m.host, m.port, m.name in leaving)
        for m in DATABASE.members
    )
    database = type(DATABASE)(DATABASE.id, DATABASE.name, members)
    ranks = {rank: RankPolicy(250 * MS, 0.99, 0.2, 3 * S) for rank in Rank}
    service = ServiceSpec("f", "s", Limits(16, 2, 12 * MS), ranks, {"db": database}, {}, 1.0)
    domains = {name: DomainSpec(name, "r") for name in "abc"}
    return build_text({"f": FleetSpec("f", 1.0, domains, {"s": service})})


def build_core(vm="me", domain="a", seed=1, clock=None):
    """Return the core of a VM that knows no other VM."""
    identity = VmIdentity(VmId(vm), domain, "r", "127.0.0.1", 1)
    return Core(World(identity, clock or ManualClock(), random.Random(seed), build_sample_text()))


def update(vm, domain, state=VmState.ALIVE, incarnation=0):
    """Return a membership update about a VM."""
    return VmUpdate(VmId(vm), domain, "r", "127.0.0.1", 1, state, incarnation)


def join(core, *updates):
    """Deliver updates about other VMs to the core; its VM becomes alive at the next tick."""
    core.handle(HeartbeatAcked(VmId(updates[0].vm), updates))
    core.world.clock.advance(11 * S)
