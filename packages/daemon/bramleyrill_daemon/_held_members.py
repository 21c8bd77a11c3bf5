"""The members that this VM holds: an admission queue for each pool of the core."""

from bramleyrill_base import log_event
from bramleyrill_core import MemberId, World, database_of
from bramleyrill_core.pools import PoolState, PoolTables

from bramleyrill_daemon._member_queue import MemberQueue

_IN_USE_STATES = (PoolState.LOCKING, PoolState.OPEN, PoolState.LOST)


class HeldMembers:
    """Admission queues of the members whose pools are open, being opened or lost."""

    def __init__(self, world: World) -> None:
        self.queues: dict[MemberId, MemberQueue] = {}
        self._retired: dict[MemberId, MemberQueue] = {}
        self._world = world

    def queue(self, member: str) -> MemberQueue | None:
        """Return the queue of a member, or None if this VM does not hold it."""
        return self.queues.get(member)

    def after_tick(self) -> None:
        """Add and retire queues as the pools change, and tick all queues."""
        pools = self._world.tables(PoolTables).pools.by_id
        for member, pool in pools.items():
            if pool.state in _IN_USE_STATES and member not in self.queues:
                log_event("holding", member=member)
                # If the member is held again after a short time, requests that still run use the
                # same slots.
                queue = self._retired.pop(member, None)
                self.queues[member] = queue or MemberQueue(self._world, member, database_of(member))
        for member, queue in list(self.queues.items()):
            pool = pools.get(member)
            if pool is None or pool.state not in _IN_USE_STATES:
                log_event("not_holding", member=member)
                self._retired[member] = self.queues.pop(member)
            else:
                queue.tick()
        for member, queue in list(self._retired.items()):
            queue.tick()
            if not queue.in_use:
                del self._retired[member]
