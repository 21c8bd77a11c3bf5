"""Each check of the soak detects a violation; a check that never fails would prove nothing."""

import unittest
from types import SimpleNamespace
from unittest import mock

from bramleyrill_soak import _run
from bramleyrill_soak._history import History, Promise
from bramleyrill_soak._world import WITHDRAWN_KEY, SoakWorld
from bramleyrill_standins.prepared import LineGroup, PreparedPlatform, Run

ACKNOWLEDGED = "COMPLETE s1"
BUSY = "ERROR BUSY full"


class PlantedViolationTest(unittest.TestCase):
    def setUp(self):
        self.group = LineGroup("pieces", ["m1", "m2"])
        self.addCleanup(self.group.close)
        self.history = History(self.group)

    def write(self, value, *keys, answer=ACKNOWLEDGED, now=1.0):
        self.history.record_answer(self.history.add_write(value, *keys), answer, now)

    def broken_promises(self):
        self.history.check()
        return [violation.promise for violation in self.history.violations]

    def test_history_without_a_violation(self):
        self.write("v1", "a", "b")
        self.group.commit({"a": "v1", "b": "v1"})
        self.write("v2", "a", answer=BUSY)
        self.write("v3", "a", answer="ERROR INDOUBT lost")
        self.assertEqual(self.history.required_index("a", 2.0), 0)
        self.history.check_read("a", "v1", 0)
        self.assertEqual(self.broken_promises(), [])

    def test_write_that_took_effect_twice(self):
        self.write("v1", "a")
        self.group.commit({"a": "v1"})
        self.group.commit({"a": "v1"})
        self.assertEqual(self.broken_promises(), [Promise.AT_MOST_ONCE])

    def test_refused_write_that_took_effect(self):
        self.write("v1", "a", answer=BUSY)
        self.group.commit({"a": "v1"})
        self.assertEqual(self.broken_promises(), [Promise.NO_EFFECT_IF_REFUSED])

    def test_acknowledged_write_that_is_nowhere(self):
        self.write("v1", "a")
        self.assertEqual(self.broken_promises(), [Promise.DURABLE_WRITE])

    def test_token_of_two_orders(self):
        self.history.check_orders([("s", "m1", "vm1", 1), ("s", "m1", "vm1", 1)])
        self.assertEqual(self.broken_promises(), [])
        self.history.check_orders([("s", "m1", "vm1", 1), ("s", "m2", "vm2", 1)])
        self.assertEqual(self.broken_promises(), [Promise.UNIQUE_TOKENS])

    def test_write_of_a_replaced_primary_that_was_acknowledged(self):
        self.group.split = True
        old = self.group.primary
        self.group.promote("m2")
        self.write("v1", "a")
        self.group.commit({"a": "v1"}, old)
        self.assertEqual(self.broken_promises(), [Promise.ONE_WRITER])

    def test_half_a_transaction(self):
        self.write("v1", "a", "b")
        self.group.commit({"a": "v1"})
        self.assertEqual(self.broken_promises(), [Promise.ATOMIC_TRANSACTION])

    def test_statement_that_no_caller_sent(self):
        self.group.commit({"a": "v1"})
        self.assertEqual(self.broken_promises(), [Promise.ATOMIC_TRANSACTION])

    def test_read_that_misses_a_write(self):
        self.write("v1", "a")
        self.group.commit({"a": "v1"})
        self.write("v2", "a")
        self.group.commit({"a": "v2"})
        self.history.check_read("a", "v1", self.history.required_index("a", 2.0))
        self.assertEqual(self.broken_promises(), [Promise.FRESH_READ])

    def test_read_may_miss_what_was_acknowledged_within_the_bound(self):
        self.write("v1", "a", now=5.0)
        self.group.commit({"a": "v1"})
        self.assertEqual(self.history.required_index("a", 4.0), -1)

    def test_read_may_miss_what_another_session_wrote_but_not_its_own(self):
        """Seed 17: session 4 read from a replica that lacked a write of session 3."""
        for session in (3, 4):
            write = self.history.add_write(f"v{session}", "a", session=session)
            self.history.record_answer(write, ACKNOWLEDGED, 1.0)
            self.group.commit({"a": write.value})
        self.assertEqual(self.history.required_index("a", 2.0, 3), 0)
        self.assertEqual(self.history.required_index("a", 2.0, 4), 1)
        self.assertEqual(self.history.required_index("a", 2.0, 5), -1)

    def test_read_may_miss_what_a_promotion_rolled_back(self):
        self.write("v1", "a")
        self.group.commit({"a": "v1"})
        required_index = self.history.required_index("a", 2.0)
        self.group.promote("m2")
        self.history.check_read("a", "", required_index)
        self.assertEqual(self.broken_promises(), [])

    def test_row_that_nobody_wrote(self):
        self.history.check_read("a", "v9", -1)
        self.assertEqual(self.broken_promises(), [Promise.OWN_ROWS])

    def test_caller_that_is_not_served_again(self):
        caller = SimpleNamespace(name="c1", served_at=0.0)
        with mock.patch.object(_run, "SERVED_AGAIN_LIMIT_S", 0.1):
            _run._wait_until_served([caller], self.history)
        self.assertEqual(self.broken_promises(), [Promise.SERVED_AGAIN])

    def test_configuration_that_is_not_in_force(self):
        unused_address = ("127.0.0.1", 1)
        platform = PreparedPlatform()
        deployment = SimpleNamespace(
            caller_addresses=[unused_address],
            platform=platform,
            keys_by_team={"harbour": [WITHDRAWN_KEY]},
            put_configuration=lambda version, *_: platform.put("config", "main", version),
        )
        with mock.patch.object(_run, "CONFIGURATION_LIMIT_S", 0.1):
            _run._wait_for_configuration(SoakWorld(deployment), self.history)
        self.assertEqual(self.broken_promises(), [Promise.CONFIGURATION_IN_FORCE])

    def test_statement_under_the_team_of_another_caller(self):
        self.group.runs.append(Run("m1", "c-1-7", "READ a", "mill"))
        self.history.check_teams({"c-1": "mill"})
        self.assertEqual(self.broken_promises(), [])
        self.history.check_teams({"c-1": "harbour"})
        self.assertEqual(self.broken_promises(), [Promise.OWN_TEAM])

    def test_withdrawn_key_that_is_accepted(self):
        deployment = SimpleNamespace(
            caller_addresses=[("127.0.0.1", 1)],
            platform=PreparedPlatform(),
            keys_by_team={"harbour": [WITHDRAWN_KEY]},
            put_configuration=lambda version, *_: None,
        )
        world = SoakWorld(deployment)
        changed = mock.patch.object(SoakWorld, "change_configuration_in_restore")
        with changed, mock.patch.object(_run, "_serves", lambda *_: True):
            _run._wait_for_configuration(world, self.history)
        self.assertEqual(self.broken_promises(), [Promise.WITHDRAWN_KEY])

    def test_process_that_does_not_end_in_order(self):
        vm = SimpleNamespace(stop=lambda: -9)
        _run._stop_all(SoakWorld(SimpleNamespace(vms=[vm])), self.history)
        self.assertEqual(self.broken_promises(), [Promise.CLEAN_EXIT])
