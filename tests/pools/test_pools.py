"""Tests of pools against a model of a member's advisory locks."""

import random
import unittest

from bramleyrill_base import ErrorKind, ManualClock
from bramleyrill_core import VmId
from bramleyrill_core.membership import HeartbeatAcked, VmState
from bramleyrill_core.pools import (
    CloseConnection,
    ConnectionLost,
    ControlLost,
    Dial,
    DialFailed,
    DialSucceeded,
    LockRefused,
    LockTaken,
    PoolState,
    PoolTables,
    ReleaseLock,
    TakeLock,
    lease,
    release_connection,
    set_transaction_idle,
)

from tests.load_worlds import M1, MS, S, build_core, build_sample_text, join, update

LIMIT = 12


class Member:
    """Model of the locks and connections of member M1, and of the shells of its VMs."""

    def __init__(self, cores):
        self.cores = cores
        self.exclusive = None
        self.shared = {}
        self.max_connections = 0
        self.had_two_holders = False
        self.dials = []
        self.connection_ids = iter(range(1, 10**6))

    def apply_effects(self, vm, effects):
        for effect in effects:
            if getattr(effect, "member", M1) != M1:
                continue
            if isinstance(effect, TakeLock):
                self.acquire_locks(vm, effect.evict)
            elif isinstance(effect, ReleaseLock) and self.exclusive == vm:
                self.exclusive = None
            elif isinstance(effect, Dial):
                self.dials.append(vm)
            elif isinstance(effect, CloseConnection):
                self.shared.pop(effect.id, None)
                self.deliver(vm, ConnectionLost(effect.id))

    def deliver(self, vm, message):
        self.apply_effects(vm, self.cores[vm].handle(message))

    def acquire_locks(self, vm, evict):
        if evict:
            for connection, owner in list(self.shared.items()):
                if owner != vm:
                    del self.shared[connection]
                    self.deliver(owner, ConnectionLost(connection))
            if self.exclusive not in (None, vm):
                old, self.exclusive = self.exclusive, None
                self.deliver(old, ControlLost(M1))
        others = {self.exclusive, *self.shared.values()} - {None, vm}
        if others:
            self.deliver(vm, LockRefused(M1, VmId(min(others))))
        else:
            self.exclusive = vm
            self.deliver(vm, LockTaken(M1))

    def finish_dials(self):
        dials, self.dials = self.dials, []
        for vm in dials:
            if self.exclusive != vm and self.cores[vm].world.rules.on("lock_before_dial"):
                self.deliver(vm, DialFailed(M1, lock_lost=True))
                continue
            connection = next(self.connection_ids)
            self.shared[connection] = vm
            self.max_connections = max(self.max_connections, len(self.shared))
            self.had_two_holders |= len(set(self.shared.values())) > 1
            self.deliver(vm, DialSucceeded(M1, connection))

    def run(self, clock, milliseconds, step=10):
        for _ in range(milliseconds // step):
            clock.advance(step * MS)
            for vm, core in self.cores.items():
                self.apply_effects(vm, core.tick())
            self.finish_dials()


def pool_of(core):
    return core.world.tables(PoolTables).pools.by_id[M1]


class PoolTest(unittest.TestCase):
    def setUp(self):
        self.clock = ManualClock()
        self.core = build_core("a1", "a", clock=self.clock)
        join(self.core, update("b1", "b"))
        self.member = Member({"a1": self.core})
        self.world = self.core.world

    def lease_all(self):
        leased = []
        for _ in range(400):
            result = lease(self.world, M1)
            if result.value_or(None) is not None:
                leased.append(result.unwrap())
            self.member.run(self.clock, 10)
        return leased

    def test_pool_is_warm_and_dials_are_paced(self):
        """Guards against a burst that waits for dials, and against too many concurrent dials."""
        for rule, max_dials in ((True, 4), (False, 12)):
            self.setUp()
            if not rule:
                self.world.rules.switch_off("paced_dials")
            self.member.apply_effects("a1", self.core.tick())
            for _ in range(20):
                lease(self.world, M1)
            self.member.apply_effects("a1", self.core.tick())
            self.assertEqual(len(self.member.dials), max_dials)
            self.member.run(self.clock, 500)
            self.assertGreaterEqual(len(pool_of(self.core).idle), 4)

    def test_connections_stay_within_the_limit(self):
        """Guards against opening more connections than the member allows."""
        for rule in (True, False):
            self.setUp()
            if not rule:
                self.world.rules.switch_off("pool_limit")
            leased = self.lease_all()
            self.assertEqual(self.member.max_connections <= LIMIT, rule)
        self.assertEqual(len(set(leased)), len(leased))

    def test_exhausted_pool_refuses_as_not_run(self):
        """Guards against a request that waits forever for a connection."""
        self.assertEqual(len(self.lease_all()), LIMIT)
        problem = lease(self.world, M1).failure()
        self.assertIs(problem.kind, ErrorKind.NOT_RUN_OVERLOADED)
        self.assertIsNotNone(problem.retry_after)

    def test_unclean_connection_is_not_reused(self):
        """Guards against transaction state that leaks to the next caller."""
        self.member.run(self.clock, 300)
        for rule in (True, False):
            if not rule:
                self.world.rules.switch_off("close_unclean")
            connection = lease(self.world, M1).unwrap()
            effects = release_connection(self.world, connection, clean=False)
            self.assertEqual(effects == [CloseConnection(connection)], rule)
            self.member.apply_effects("a1", effects)

    def test_lost_control_connection_closes_the_pool_first(self):
        """Guards against pooled connections in use while another holder has the lock."""
        self.member.run(self.clock, 300)
        active = lease(self.world, M1).unwrap()
        self.member.exclusive = None
        self.member.deliver("a1", ControlLost(M1))
        self.member.run(self.clock, 2000)
        self.assertEqual(list(self.member.shared), [active])
        self.assertIsNone(self.member.exclusive)
        self.member.apply_effects("a1", release_connection(self.world, active, clean=True))
        self.member.run(self.clock, 2000)
        self.assertEqual(self.member.exclusive, "a1")

    def test_hand_over_finishes_statements_and_ends_idle_transactions(self):
        """Guards against a handover that interrupts a statement or is blocked by an idle caller."""
        self.member.run(self.clock, 300)
        active, idle = lease(self.world, M1).unwrap(), lease(self.world, M1).unwrap()
        set_transaction_idle(self.world, idle, True)
        vms = [update(f"a{n}", "a") for n in range(2, 30)]
        self.core.handle(HeartbeatAcked(VmId("a2"), tuple(vms)))
        self.member.run(self.clock, 1000)
        self.assertEqual(set(self.member.shared), {active, idle})
        self.assertFalse(lease(self.world, M1).value_or(False))
        self.member.run(self.clock, 30_000)
        self.assertEqual(set(self.member.shared), {active})
        self.member.apply_effects("a1", release_connection(self.world, active, clean=True))
        self.member.run(self.clock, 100)
        self.assertIsNone(self.member.exclusive)

    def test_leaving_member_gets_no_new_work_after_3_s(self):
        """Guards against new work for a member that is about to be removed."""
        for rule in (True, False):
            self.setUp()
            if not rule:
                self.world.rules.switch_off("leaving_takes_no_work")
            self.member.run(self.clock, 300)
            active = lease(self.world, M1).unwrap()
            self.world.text = build_sample_text(leaving=("m1",))
            self.member.run(self.clock, 3000)
            self.assertEqual(lease(self.world, M1).value_or(None) is None, rule)
            self.assertIn(active, self.member.shared)


class TwoHoldersTest(unittest.TestCase):
    def build(self, rule_off=None, seed=1):
        clock = ManualClock()
        cores = {}
        for number, vm in enumerate(("a1", "a2", "a3")):
            core = build_core(vm, "a", 10 * seed + number, clock)
            others = [update(other, "a") for other in ("a1", "a2", "a3") if other != vm]
            join(core, *others)
            if rule_off:
                core.world.rules.switch_off(rule_off)
            cores[vm] = core
        return clock, cores, Member(cores)

    def change_view(self, rng, cores, incarnations):
        """Change the state of one VM in the view of another."""
        vm, other = rng.sample(sorted(cores), 2)
        incarnations[vm, other] = incarnations.get((vm, other), 0) + 1
        state = rng.choice((VmState.ALIVE, VmState.DEAD, VmState.LEAVING))
        changed = update(other, "a", state, incarnations[vm, other])
        cores[vm].handle(HeartbeatAcked(VmId(other), (changed,)))

    def run_random(self, seed, rule_off=None):
        clock, cores, member = self.build(rule_off, seed)
        rng = random.Random(seed)
        incarnations, leased = {}, []
        for _ in range(300):
            if rng.random() < 0.2:
                self.change_view(rng, cores, incarnations)
            vm = rng.choice(sorted(cores))
            world = cores[vm].world
            connection = lease(world, M1).value_or(None)
            if connection is not None:
                self.assertEqual(member.shared[connection], vm)
                self.assertNotIn(connection, [other for _, other in leased])
                leased.append((vm, connection))
            if len(leased) > 5:
                owner, old = leased.pop(0)
                member.apply_effects(
                    owner, release_connection(cores[owner].world, old, rng.random() < 0.8)
                )
            member.run(clock, 50)
        return member

    def test_never_two_holders_nor_more_connections_than_allowed(self):
        """Guards against VMs with different views that exceed a member's limit together."""
        for seed in range(6):
            member = self.run_random(seed)
            self.assertFalse(member.had_two_holders, seed)
            self.assertLessEqual(member.max_connections, LIMIT, seed)
        self.assertTrue(
            any(self.run_random(s, "lock_before_dial").had_two_holders for s in range(6))
        )

    def test_only_a_dead_holder_is_evicted(self):
        """Guards against evicting a holder that is still finishing its work."""
        for rule, state, evicted in (
            (True, VmState.LEAVING, False),
            (False, VmState.LEAVING, True),
            (True, VmState.DEAD, True),
        ):
            clock, cores, member = self.build(None if rule else "evict_only_dead")
            member.run(clock, 500)
            old = member.exclusive
            active = lease(cores[old].world, M1).unwrap()
            del member.cores[old]
            member.cores = {**member.cores, old: build_core(old, "c", clock=clock)}
            for vm, core in cores.items():
                if vm != old:
                    core.handle(HeartbeatAcked(VmId(vm), (update(old, "a", state, 1),)))
            member.run(clock, 1000)
            self.assertEqual(active not in member.shared, evicted)
            self.assertEqual(member.exclusive != old, evicted)

    def test_vms_that_consider_each_other_dead_do_not_evict_forever(self):
        """Guards against partitioned VMs that evict each other again and again."""
        clock, cores, member = self.build()
        for vm, core in cores.items():
            dead = tuple(update(o, "a", VmState.DEAD, 1) for o in cores if o != vm)
            core.handle(HeartbeatAcked(VmId("a1"), dead))
        member.run(clock, 2000)
        changes, last = 0, member.exclusive
        for _ in range(600):
            member.run(clock, 100)
            changes += member.exclusive != last
            last = member.exclusive
        self.assertFalse(member.had_two_holders)
        self.assertLess(changes, 60)

    def test_restarted_vm_evicts_its_earlier_process(self):
        """Guards against a restarted VM that waits for the lock of its earlier process."""
        clock, cores, member = self.build()
        member.run(clock, 500)
        old = member.exclusive
        others = [update(vm, "a") for vm in cores if vm != old]
        member.cores[old] = build_core(old, "a", 99, clock)
        join(member.cores[old], *others)
        member.run(clock, 2000)
        self.assertEqual(member.exclusive, old)
        self.assertIs(pool_of(member.cores[old]).state, PoolState.OPEN)
        self.assertGreaterEqual(clock.monotonic(), S)


if __name__ == "__main__":
    unittest.main()
