"""The members that this VM holds: their desks and pools follow the text and the membership."""

from bramleyrill_base import log_event
from bramleyrill_core import MemberId, World, database_of
from bramleyrill_core.membership import MembershipTables, VmState, holder_of
from bramleyrill_core.text import Text

from bramleyrill_daemon._credentials import Credentials
from bramleyrill_daemon._member import MemberDesk
from bramleyrill_daemon._pool import MemberPool, PoolLimits, PoolShell

# One control connection, and one probe connection for each holder of a group of three.
RESERVED_CONNECTIONS = 4


class HeldMembers:
    """Keep a desk and a pool for each member that this VM is to hold."""

    def __init__(self, world: World, pools: PoolShell, credentials: Credentials) -> None:
        self.desks: dict[MemberId, MemberDesk] = {}
        self.leaving = False
        self._world = world
        self._pools = pools
        self._credentials = credentials
        self._text: Text | None = None
        self._version = -1
        self._earlier_holder: dict[MemberId, str | None] = {}
        self._evictable: dict[MemberId, str] = {}
        self._retired: dict[MemberId, MemberDesk] = {}

    def desk(self, member: str) -> MemberDesk | None:
        """Return the desk of a member, or None if this VM does not hold it."""
        return self.desks.get(member)

    def tick(self) -> None:
        """Follow a change of the text or of the live VMs, and let the queues refuse in time."""
        version = self._world.tables(MembershipTables).version
        if self._text is not self._world.text or self._version != version:
            self._refresh()
            self._text, self._version = self._world.text, version
        for desk in [*self.desks.values(), *self._retired.values()]:
            desk.tick()
        for member in [m for m, desk in self._retired.items() if not desk.in_use]:
            del self._retired[member]

    def release_all(self) -> None:
        """Give every member up once what runs on it is done."""
        self.leaving = True
        for member in list(self.desks):
            self._release(member)

    @property
    def is_empty(self) -> bool:
        """Tell whether no lock and no connection is left."""
        return not any(pool.held or pool.total for pool in self._pools.by_member.values())

    def _refresh(self) -> None:
        text = self._world.text
        me = self._world.identity.id
        wanted = set()
        for database in text.databases.values():
            for spec in database.members:
                holder = holder_of(self._world, spec.id)
                earlier = self._earlier_holder.get(spec.id)
                if holder != earlier:
                    self._earlier_holder[spec.id] = holder
                if holder == me and not self.leaving:
                    wanted.add(spec.id)
                    self._hold(spec.id, earlier)
        for member in [known for known in self.desks if known not in wanted]:
            self._release(member)
        for member in self._earlier_holder.keys() - {
            spec.id for database in text.databases.values() for spec in database.members
        }:
            del self._earlier_holder[member]

    def _hold(self, member: MemberId, earlier: str | None) -> None:
        limits = self._world.text.service_of(database_of(member)).limits
        pooled = PoolLimits(max(limits.connections - RESERVED_CONNECTIONS, 1), 2 * limits.slots)
        pool = self._pools.by_member.get(member)
        if pool is None:
            pool = MemberPool(
                member,
                lambda: self._credentials.login(member),
                pooled,
                self._world.clock,
                lambda: self._is_dead(self._evictable.get(member)),
            )
            self._pools.by_member[member] = pool
        pool.limits = pooled
        if earlier not in (None, self._world.identity.id):
            self._evictable[member] = earlier
        if member not in self.desks:
            log_event("holding", member=member, earlier=earlier or "")
            # Requests that still run count against the same slots after a short change of holder.
            desk = self._retired.pop(member, None)
            self.desks[member] = desk or MemberDesk(self._world, member, database_of(member))
            pool.hold()

    def _is_dead(self, vm: str | None) -> bool:
        """Tell whether membership calls the earlier holder dead or gone."""
        if vm is None:
            return False
        row = self._world.tables(MembershipTables).vms.get(vm)
        return row is None or row.state in (VmState.DEAD, VmState.LEFT)

    def _release(self, member: MemberId) -> None:
        log_event("releasing", member=member)
        desk = self.desks.pop(member, None)
        if desk is not None and desk.in_use:
            self._retired[member] = desk
        pool = self._pools.by_member.get(member)
        if pool is not None:
            pool.release()
