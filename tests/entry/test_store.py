"""Client and watches of the platform's store, against the stand-in platform."""

import socket
import unittest
from datetime import timedelta
from unittest import mock

import gevent
from bramleyrill_core import MemberRole
from bramleyrill_entry import _watch
from bramleyrill_entry._watch import (
    KIND_VMS,
    ConfigurationWatch,
    MemberWatch,
    StoreWatch,
    VmRegistration,
)
from bramleyrill_platform import (
    ConflictError,
    HistoryLostError,
    Listing,
    NotFoundError,
    StoreClient,
    StoreError,
    UnansweredError,
)
from bramleyrill_standins.prepared import LineGroup, PreparedPlatform

from tests.entry.builders import SERVICE, make_state
from tests.entry.platform_thread import PlatformThread
from tests.entry.test_decode import ENTRY, ROUTE

SHORT = timedelta(milliseconds=10)


def stored(name):
    """Return an object as the store sends it."""
    return {"meta": {"name": name, "revision": 1}, "spec": None}


class StoreTest(unittest.TestCase):
    def setUp(self):
        self.platform = PreparedPlatform()
        thread = PlatformThread(self.platform)
        self.addCleanup(thread.close)
        self.store = StoreClient(thread.address)


class ClientTest(StoreTest):
    def test_objects(self):
        created = self.store.create("kind", "a", {"x": 1})
        replaced = self.store.replace("kind", "a", {"x": 2}, created.revision)
        self.assertGreater(replaced.revision, created.revision)
        self.assertEqual(self.store.get("kind", "a").value, {"x": 2})
        self.assertEqual([item.name for item in self.store.list("kind").objects], ["a"])
        self.store.delete("kind", "a")
        with self.assertRaises(NotFoundError):
            self.store.get("kind", "a")

    def test_name_that_is_not_ascii(self):
        """The change of primary of such a service failed with the encoding of the path."""
        name = "pi\u00e8ces \u6f06?x=1"
        created = self.store.create("kind", name, {"x": 1})
        self.store.replace("kind", name, {"x": 2}, created.revision)
        self.assertEqual(self.store.get("kind", name).value, {"x": 2})

    def test_conditional_update_of_a_changed_object_fails(self):
        """Operators and VMs may update an object concurrently; only one may succeed."""
        first = self.store.create("kind", "a", 1)
        self.store.replace("kind", "a", 2, first.revision)
        with self.assertRaises(ConflictError) as caught:
            self.store.replace("kind", "a", 3, first.revision)
        self.assertEqual(caught.exception.current.value, 2)
        with self.assertRaises(ConflictError):
            self.store.create("kind", "a", 4)

    def test_lost_answer_differs_from_a_refusal(self):
        """A call without an answer may have been carried out; a refused one was not."""
        self.platform.lose_answers = True
        with self.assertRaises(UnansweredError):
            self.store.create("kind", "a", 1)
        self.platform.lose_answers = False
        self.platform.unavailable = True
        with self.assertRaises(StoreError) as caught:
            self.store.create("kind", "b", 1)
        self.assertNotIsInstance(caught.exception, UnansweredError)

    def test_watch(self):
        revision = self.store.list("kind").revision
        self.assertEqual(self.store.watch("kind", revision, SHORT).changes, [])
        self.platform.put("kind", "a", 1)
        self.platform.remove("kind", "a")
        changes = self.store.watch("kind", revision, SHORT).changes
        self.assertEqual([change.deleted for change in changes], [False, True])

    def test_lost_history(self):
        revision = self.store.list("kind").revision
        self.platform.put("kind", "a", 1)
        self.platform.forget_history()
        with self.assertRaises(HistoryLostError):
            self.store.watch("kind", revision, SHORT)


class FollowerTest(StoreTest):
    def test_vm_that_learns_from_peers_makes_no_calls(self):
        watch = StoreWatch(self.store, "kind", mock.Mock(), mock.Mock(), lambda: False)
        self.run_for(watch, 0.1)
        self.assertEqual(self.store.calls.total, 0)

    def test_vm_that_watches_again_lists_first(self):
        """It has missed the changes in between, and the store may have forgotten them."""
        needed = [True]
        listings = []
        watch = StoreWatch(self.store, "kind", listings.append, mock.Mock(), lambda: needed[0])
        watch.wait = SHORT
        with mock.patch.object(_watch, "WATCH_CHECK_INTERVAL", SHORT):
            self.run_for(watch, 0.1)
            needed[0] = False
            self.run_for(watch, 0.1)
            needed[0] = True
            self.run_for(watch, 0.1)
        self.assertEqual(len(listings), 2)

    def run_for(self, watch, seconds):
        greenlet = gevent.spawn(watch.run)
        gevent.sleep(seconds)
        greenlet.kill()


class HttpTest(StoreTest):
    def test_connection_is_kept_for_the_next_call(self):
        self.store.list("kind")
        first = self.store._http._idle[0].sock.getsockname()
        self.store.list("kind")
        self.assertEqual(self.store._http._idle[0].sock.getsockname(), first)

    def test_waiting_connection_is_probed(self):
        """A watch on a connection that has gone silent waited for up to its whole length."""
        self.store.list("kind")
        sock = self.store._http._idle[0].sock
        self.assertTrue(sock.getsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE))
        idle_s = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE)
        interval_s = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL)
        count = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT)
        self.assertLessEqual(idle_s + interval_s * count, 3)

    def test_connection_that_the_store_closed_is_not_used_again(self):
        """A write on it would have an unknown outcome."""
        self.store.list("kind")
        self.store._http._idle[0].sock.shutdown(socket.SHUT_RD)
        self.assertEqual(self.store.list("kind").objects, [])


class ConfigurationTest(StoreTest):
    def setUp(self):
        super().setUp()
        group = LineGroup(SERVICE, ["m1"])
        self.addCleanup(group.close)
        self.state = make_state(group)
        self.watch = ConfigurationWatch(self.state, self.store).watch
        self.watch.wait = SHORT

    def put(self, version, routes):
        self.platform.put("config", "main", {"version": version, "routes": routes})

    def test_version_in_force_never_goes_back(self):
        """A listing after a lost history, or a stale peer, may deliver an older version."""
        self.put(7, [ROUTE])
        self.watch._step()
        self.assertEqual(self.state.catalog.version, 7)
        self.put(6, [])
        self.watch._step()
        self.assertEqual(self.state.catalog.version, 7)
        self.put(9, [])
        self.watch._step()
        self.assertEqual(self.state.catalog.routes_by_database, {})

    def test_unreadable_configuration_leaves_the_one_in_force(self):
        self.put(7, [ROUTE])
        self.watch._step()
        self.platform.put("config", "main", "garbage")
        self.watch._step()
        self.assertEqual(self.state.catalog.version, 7)


class MembersTest(StoreTest):
    def setUp(self):
        super().setUp()
        group = LineGroup("other", ["m9"])
        self.addCleanup(group.close)
        self.state = make_state(group)
        self.members = MemberWatch(self.state, self.store)
        self.members.watch.wait = SHORT

    def step(self):
        self.members.watch._step()

    def test_entries_are_added_changed_and_removed(self):
        self.platform.put("servers", "m1", ENTRY | {"dbRole": "primary"})
        self.step()
        self.assertIs(self.state.members.members.get("m1").entry.role, MemberRole.PRIMARY)
        self.platform.put("servers", "m1", ENTRY | {"state": "draining"})
        self.step()
        self.assertFalse(self.state.members.members.get("m1").accepts_work)
        self.platform.remove("servers", "m1")
        self.step()
        self.assertIsNone(self.state.members.members.get("m1"))

    def test_member_that_begins_to_drain_is_logged(self):
        """The row was changed before it was compared, so the log of a release said nothing."""
        self.platform.put("servers", "m1", ENTRY)
        self.step()
        self.platform.put("servers", "m1", ENTRY | {"state": "draining"})
        with mock.patch.object(_watch, "log_event") as logged:
            self.step()
        events = [call.args[0] for call in logged.call_args_list]
        self.assertIn("member_seen", events)

    def test_malformed_entry_leaves_the_others(self):
        self.platform.put("servers", "m1", ENTRY)
        self.platform.put("servers", "m2", {"state": 5})
        self.platform.put("servers", "m3", "bytes")
        self.step()
        self.assertIsNotNone(self.state.members.members.get("m1"))
        self.assertIsNone(self.state.members.members.get("m2"))

    def test_number_beyond_all_bounds_leaves_the_others(self):
        """An entry of another writer with such a number ended the watch for good."""
        for field in ("born", "warmupLeftMs", "slots"):
            for number in (1e300, float("inf"), float("nan"), 10**400):
                with self.subTest(field=field, number=number):
                    self.platform.put("servers", "m2", ENTRY | {field: number})
                    self.step()
        self.platform.put("servers", "m1", ENTRY)
        self.step()
        self.assertIsNotNone(self.state.members.members.get("m1"))


class FailedWatchTest(StoreTest):
    def test_watch_renewed_before_its_call_began_goes_on(self):
        """The greenlet ended with the error that cancels the call."""
        watch = StoreWatch(self.store, "kind", mock.Mock(), mock.Mock())
        watch.wait = SHORT
        watch._step()
        step = gevent.spawn(watch._step)
        gevent.sleep(0)
        watch.renew()
        step.join(1)
        self.assertIsNone(step.exception)

    def test_watch_lists_again_after_an_error_of_its_handler(self):
        """The greenlet ended, and this VM heard of no change any more."""
        listings = []

        def on_listing(listing):
            listings.append(listing)
            if len(listings) == 1:
                raise TypeError("malformed")

        watch = StoreWatch(self.store, "kind", on_listing, mock.Mock())
        watch.wait = SHORT
        with mock.patch.object(_watch, "INITIAL_RETRY_PAUSE", SHORT):
            greenlet = gevent.spawn(watch.run)
            gevent.sleep(0.1)
        greenlet.kill()
        self.assertEqual(len(listings), 2)


class RegistrationTest(StoreTest):
    def test_vm_that_starts_again_replaces_its_entry(self):
        group = LineGroup(SERVICE, ["m1"])
        self.addCleanup(group.close)
        self.platform.put(KIND_VMS, "vm1", {"host": "old"})
        self.platform.put(KIND_VMS, "vm2", {"host": "h", "port": 5, "domain": "d", "started_ms": 3})
        self.platform.put(KIND_VMS, "vm3", "garbage")
        state = make_state(group)
        registration = VmRegistration(state, self.store)
        registration.register()
        self.assertEqual(self.platform.value(KIND_VMS, "vm1")["host"], "127.0.0.1")
        registration.list_vms()
        self.assertEqual([row.entry.id for row in state.vms.vms], ["vm2"])

    def test_entry_that_a_restore_took_away_is_written_again(self):
        """A VM that starts later would not find the others."""
        group = LineGroup(SERVICE, ["m1"])
        self.addCleanup(group.close)
        registration = VmRegistration(make_state(group), self.store)
        self.store.history.hooks.append(registration.renew)
        copy = self.platform.copy()
        registration.register()
        self.platform.restore(copy)
        with mock.patch.object(_watch, "MAX_RETRY_PAUSE", SHORT):
            registration.list_vms()
            gevent.sleep(0.1)
        self.assertIsNotNone(self.platform.value(KIND_VMS, "vm1"))


class RestoredTest(StoreTest):
    """The store came back from a copy and gives its revisions out again."""

    def setUp(self):
        super().setUp()
        group = LineGroup(SERVICE, ["m1"])
        self.addCleanup(group.close)
        self.state = make_state(group)
        self.watch = ConfigurationWatch(self.state, self.store).watch
        self.watch.wait = SHORT

    def put(self, version):
        self.platform.put("config", "main", {"version": version, "routes": [ROUTE]})

    def test_change_below_the_revision_watched_from_is_in_force(self):
        self.put(7)
        copy = self.platform.copy()
        self.platform.put("servers", "m1", ENTRY)
        self.watch._step()
        self.platform.restore(copy)
        self.put(8)
        self.platform.put("servers", "m1", ENTRY)
        for _ in range(2):
            self.watch._step()
        self.assertEqual(self.state.catalog.version, 8)

    def test_watch_is_made_anew_when_another_call_learns_the_era(self):
        """A watch that was not cut waited for up to 30 s in the earlier history."""
        store = mock.Mock(history=self.store.history)
        store.list.side_effect = lambda kind: Listing([], 5, store.history.era)
        store.watch.side_effect = lambda *_: gevent.sleep(20)
        watch = StoreWatch(store, "config", mock.Mock(), mock.Mock())
        store.history.hooks.append(watch.renew)
        store.history.accept(1)
        greenlet = gevent.spawn(watch.run)
        gevent.sleep(0.05)
        store.history.accept(2)
        gevent.sleep(0.05)
        greenlet.kill()
        self.assertEqual(store.list.call_count, 2)

    def test_restore_during_a_listing_fails_it(self):
        """Its pages would be of two histories, and the watch would go on from the earlier one."""
        pages = [
            ({"items": [stored("a")], "hasMore": True, "storeRevision": 9}, 1),
            ({"items": [stored("b")], "hasMore": False, "storeRevision": 4}, 2),
        ]
        with (
            mock.patch.object(self.store, "_call", side_effect=pages),
            self.assertRaisesRegex(StoreError, "restored"),
        ):
            self.store.list("kind")

    def test_answer_of_an_earlier_era_is_rejected(self):
        """It was sent before the restore, and what it says may be gone."""
        self.platform.era = 3
        self.store.list("kind")
        self.platform.era = 2
        with self.assertRaisesRegex(UnansweredError, "earlier era"):
            self.store.create("kind", "a", 1)
        self.platform.era = 3
        self.assertEqual(self.store.get("kind", "a").era, 3)

    def test_malformed_era_is_rejected_and_changes_nothing(self):
        """A huge era would make every later answer look outdated."""
        self.store.list("kind")
        for era in ("-1", "x", "", "1.5", "9" * 30, "\u00b2"):
            self.platform.era = era
            with self.subTest(era=era), self.assertRaisesRegex(UnansweredError, "malformed era"):
                self.store.list("kind")
        self.assertEqual(self.store.history.era, 1)

    def test_missing_era_is_accepted_only_from_a_platform_that_tells_none(self):
        self.platform.era = None
        self.assertEqual(self.store.list("kind").era, 0)
        self.platform.era = 1
        self.store.list("kind")
        self.platform.era = None
        with self.assertRaises(UnansweredError):
            self.store.list("kind")
