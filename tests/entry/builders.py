"""Builders of settings, state, member entries and requests for tests of the statement path."""

from datetime import timedelta

from bramleyrill_base import SystemClock
from bramleyrill_core import MemberRole, Rank
from bramleyrill_core.catalog import Catalog, MemberEntry, MemberState, ServiceEntry
from bramleyrill_core.history import StoreRevision
from bramleyrill_core.placement import ReadPlacement, VmEntry, VmTable
from bramleyrill_core.statements import Prepared, Statement, StatementKind
from bramleyrill_entry._run_request import RunRequest
from bramleyrill_entry._settings import EntrySettings
from bramleyrill_entry._state import EntryState
from bramleyrill_platform import lines

DOMAIN = "north-a"
SERVICE = "pieces"
SECOND = timedelta(seconds=1)


def make_settings(**changes):
    unused_address = ("127.0.0.1", 1)
    values = {
        "id": "vm1",
        "domain": DOMAIN,
        "region_by_domain": {DOMAIN: "north"},
        "caller_listen": unused_address,
        "ready_listen": unused_address,
        "peer_listen": unused_address,
        "metrics_listen": unused_address,
        "seed_peers": (),
        "platform": unused_address,
        "duties": unused_address,
        "grace_s": 6.0,
    }
    return EntrySettings(**(values | changes))


def make_state(group, **changes):
    """Return the state of a VM that knows the group's members."""
    settings = make_settings(**changes)
    own = VmEntry(settings.id, settings.domain, settings.peer_listen, 1)
    state = EntryState(
        settings, SystemClock(), VmTable(own), ReadPlacement(DOMAIN, settings.region_by_domain)
    )
    state.catalog = Catalog(1, {}, {SERVICE: ServiceEntry(SERVICE, group.max_connections)})
    for name in group.members_by_name:
        state.members.put(member_entry(group, name))
    return state


def member_entry(group, name, state=MemberState.READY, revision=1):
    member = group.members_by_name[name]
    role = MemberRole.PRIMARY if member.is_primary else MemberRole.REPLICA
    return MemberEntry(
        name,
        group.service,
        member.address,
        DOMAIN,
        2,
        state,
        role,
        revision=StoreRevision(1, revision),
    )


def statement(text, statement_id="q1", prepared=None):
    parsed = lines.parse_statement(statement_id, text)
    if parsed.kind is StatementKind.EXECUTE:
        parsed.prepared = prepared or Prepared(False, "shape")
    return parsed


def request(text, member, statement_id="q1", **changes):
    values = {
        "statement": text if isinstance(text, Statement) else statement(text, statement_id),
        "service": SERVICE,
        "member": member,
        "rank": Rank.EVERYDAY,
        "timeout": SECOND,
        "on_time_left": SECOND,
        "max_wait": 2 * SECOND,
    }
    return RunRequest(**(values | changes))
