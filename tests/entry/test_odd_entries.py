"""One odd entry of another writer does not keep the VMs from following the others."""

import json
import unittest
import zlib
from datetime import timedelta
from unittest import mock

from attrs import evolve
from bramleyrill_base import UNREADABLE, read_json
from bramleyrill_core.catalog import MemberState, MemberTable
from bramleyrill_core.history import StoreRevision
from bramleyrill_entry._gossip import Gossip, handle_catalog_pull
from bramleyrill_entry._schedulers import MemberSchedulers
from bramleyrill_entry._watch import KIND_VMS, ConfigurationWatch, MemberWatch, VmRegistration
from bramleyrill_platform import KIND_MEMBERS, StoreClient, UnansweredError, lines
from bramleyrill_standins.prepared import LineGroup, PreparedPlatform, RawValue
from bramleyrill_wire.entries import encode, frames
from hypothesis import given, settings
from hypothesis import strategies as st

from tests.entry.builders import SERVICE, make_state
from tests.entry.odd_entries import HARMLESS, NESTED, UNUSABLE, raw
from tests.entry.platform_thread import PlatformThread
from tests.entry.test_decode import ENTRY, ROUTE
from tests.entry.test_supervisor import SupervisorTest

ALL = UNUSABLE | HARMLESS
SHORT = timedelta(milliseconds=10)


class ReadJsonTest(unittest.TestCase):
    def read(self, spec):
        document = b'{"items": [{"name": "a", "spec": ' + spec + b' } , {"name":"b","spec":1}]}'
        first, second = read_json(document, {"spec"})["items"]
        self.assertEqual((first["name"], second), ("a", {"name": "b", "spec": 1}))
        return first["spec"]

    def test_values_that_cannot_be_read_leave_the_others(self):
        """One of them made the whole answer of the store unreadable."""
        unreadable = (NESTED, b"9" * 5000, b'"\xff"', b'{"a":["\xff"]}', b'"a\nb"', b"12x", b"tru")
        for spec in unreadable:
            with self.subTest(spec=spec[:20]):
                self.assertIs(self.read(spec), UNREADABLE)

    def test_brackets_and_quotes_in_strings_do_not_count(self):
        for text in ('a]}"', "\\", '\\"}', "[{", ""):
            spec = json.dumps({"a": text, "b": [text]}).encode()
            with self.subTest(text=text):
                self.assertEqual(self.read(spec), {"a": text, "b": [text]})
                self.assertIs(self.read(b"[" + NESTED + b"," + spec + b"]"), UNREADABLE)

    def test_malformed_document_is_rejected(self):
        for document in (b"", b"{", b'{"a":1', b'{"a" 1}', b"[1,]", b"\xff", b'{"spec": [', b"1 2"):
            with self.subTest(document=document), self.assertRaises(ValueError):
                read_json(document, {"spec"})
        for document in (NESTED, b'{"a":' + NESTED + b"}"):
            with self.assertRaises(ValueError):
                read_json(document, {"spec"})

    @settings(deadline=None, database=None, derandomize=True)
    @given(
        st.recursive(
            st.none() | st.booleans() | st.integers() | st.text(),
            lambda children: st.lists(children) | st.dictionaries(st.text(), children),
            max_leaves=20,
        )
    )
    def test_other_values_are_read_as_they_are(self, value):
        """The tolerant reader must agree with the parser that it stands in for."""
        document = {"a": [{"b": value, "spec": value}], "c": value}
        data = json.dumps(document).encode()
        odd = data[:-1] + b', "spec": ' + NESTED + b"}"
        self.assertEqual(read_json(odd, {"spec"}), document | {"spec": UNREADABLE})


class WatchTest(unittest.TestCase):
    """A store with two members, followed by the watch of a VM."""

    def setUp(self):
        self.platform = PreparedPlatform()
        for name in ("m1", "m2"):
            self.platform.put(KIND_MEMBERS, name, ENTRY)
        thread = PlatformThread(self.platform)
        self.addCleanup(thread.close)
        self.state = self.make_empty_state()
        self.store = StoreClient(thread.address, self.state.history)
        self.members = MemberWatch(self.state, self.store)
        self.members.watch.wait = SHORT

    def make_empty_state(self):
        """Return the state of a VM that knows no member."""
        group = LineGroup(SERVICE, ["unused"])
        self.addCleanup(group.close)
        state = make_state(group)
        state.members = MemberTable()
        return state

    def follow(self):
        """Take the list, or the changes since; an error would end or repeat the watch."""
        self.members.watch._step()

    def put(self, name, value):
        self.platform.put(KIND_MEMBERS, name, value)
        self.follow()

    def state_of(self, name):
        row = self.state.members.members.get(name)
        return None if row is None else row.entry.state

    def check_followed(self, number):
        """Check that a change of a member that is made now arrives."""
        state = ("draining", "ready")[number % 2]
        self.put("m1", ENTRY | {"state": state, "born": 100 + number})
        self.assertEqual(self.state_of("m1"), MemberState(state))

    def test_changes_are_followed_after_each_odd_entry(self):
        """The watch ended, or listed again and again, until the entry was gone."""
        self.follow()
        for number, (name, value) in enumerate(ALL.items()):
            with self.subTest(name):
                self.put(f"odd-{number}", RawValue(value))
                self.check_followed(number)
                self.assertEqual(self.state_of(f"odd-{number}") is None, name in UNUSABLE)

    def test_list_with_all_odd_entries_is_read(self):
        """A VM that started then had no members at all."""
        for number, value in enumerate(ALL.values()):
            self.platform.put(KIND_MEMBERS, f"a-odd-{number}", RawValue(value))
        self.follow()
        self.check_followed(0)
        self.assertEqual(len(self.state.members.members), 2 + len(HARMLESS))

    def test_odd_value_of_a_member_takes_only_that_one_out(self):
        """Its entry names no member to use then; the others hold."""
        self.follow()
        self.put("m2", RawValue(UNUSABLE["nested list"]))
        self.assertIsNotNone(self.state.members.members.get("m2").lapsed_at)
        self.check_followed(0)
        self.put("m2", ENTRY | {"born": 101})
        self.assertIsNone(self.state.members.members.get("m2").lapsed_at)

    def test_odd_entry_beside_the_configuration(self):
        value = {"version": 3, "routes": [ROUTE]}
        self.platform.put("config", "a", RawValue(NESTED))
        self.platform.put("config", "main", value)
        watch = ConfigurationWatch(self.state, self.store).watch
        watch._list()
        self.assertEqual(self.state.catalog.version, 3)

    def test_odd_registration_of_a_vm(self):
        """Each ping and answer that named such a VM could not be encoded, and ended the link."""
        vm = {"domain": "north-a", "host": "10.0.0.9", "port": 99, "started_ms": 5}
        odd = (
            {"started_ms": 2**70},
            {"started_ms": -1},
            {"port": 99999},
            {"port": "99"},
            {"domain": ""},
            {"domain": None},
        )
        for number, change in enumerate(odd):
            self.platform.put(KIND_VMS, f"odd-{number}", vm | change)
        for number, value in enumerate((NESTED, b'{"domain":"\xff"}', b'{"host":"\\ud800"}')):
            self.platform.put(KIND_VMS, f"raw-{number}", RawValue(value))
        self.platform.put(KIND_VMS, "vm9", vm)
        VmRegistration(self.state, self.store).list_vms()
        self.assertEqual([row.entry.id for row in self.state.vms.vms.rows()], ["vm9"])

    def test_item_without_a_name_leaves_the_others(self):
        body = {"items": [{"spec": 1}, None, 5, {"meta": {"name": "a", "revision": 2**70}}]}
        body["storeRevision"] = 4
        with mock.patch.object(self.store, "_call", return_value=(body, 1)):
            (stored,) = self.store.list("kind").objects
        self.assertEqual((stored.name, stored.revision), ("a", 0))

    def test_page_without_any_object_is_not_the_end_of_a_list(self):
        """The members on the pages that follow would count as gone."""
        body = {"items": [{"spec": 1}], "storeRevision": 4, "hasMore": True}
        answer = mock.patch.object(self.store, "_call", return_value=(body, 1))
        with answer, self.assertRaises(UnansweredError):
            self.store.list("kind")

    def pulled(self):
        """Return what a peer that knows nothing gets from this VM."""
        sent = []
        link = mock.Mock(send=sent.append)
        handle_catalog_pull(mock.Mock(state=self.state), link, frames.CatalogPull(call=1))
        (push,) = sent
        encode(push)
        return push

    def test_peers_can_read_the_list_that_they_pull(self):
        """A VM that does not watch the store itself never learned of a change again."""
        for number, value in enumerate(ALL.values()):
            self.platform.put(KIND_MEMBERS, f"odd-{number}", RawValue(value))
        self.members.watch._list()
        push = self.pulled()
        members = json.loads(zlib.decompress(push.body))["members"]
        self.assertEqual(len(members), 2 + len(HARMLESS))
        self.assertLess(len(push.body), 5_000)
        listings = []
        gossip = Gossip(mock.Mock(state=self.make_empty_state(), call=lambda *_: push))
        gossip.listing_hooks.append(listings.append)
        gossip._pull("vm2")
        self.assertEqual(len(listings[0].objects), 2 + len(HARMLESS))

    def test_peer_that_passes_on_an_odd_entry_does_not_end_the_pull(self):
        """A peer of an older build passes entries on as they are."""
        body = b'{"configuration":null,"members":[["odd",3,' + NESTED + b"]]}"
        push = frames.CatalogPush(body=zlib.compress(body), members_revision=9, store_era=1)
        gossip = Gossip(mock.Mock(state=self.state, call=lambda *_: push))
        gossip._pull("vm2")
        self.assertEqual(self.state.members.revision, StoreRevision())


class UseTest(SupervisorTest):
    """Entries that can be read but name a service that is not configured."""

    def put(self, **changes):
        row = self.state.members.members.get("m2")
        entry = evolve(row.entry, id="odd", revision=StoreRevision(1, 9), **changes)
        self.state.members.put(entry)

    def test_nothing_is_ordered_for_a_service_that_is_not_configured(self):
        """The store got a record, and the platform an order, for a service that does not exist."""
        self.put(service="ghosts")
        self.assertEqual(self.supervisor._known_services(), [SERVICE])

    def test_no_connection_to_a_member_of_a_service_that_is_not_configured(self):
        self.put(service="ghosts")
        schedulers = MemberSchedulers(self.state)
        self.addCleanup(schedulers.close)
        schedulers.maintain()
        self.assertNotIn("odd", schedulers.by_member)
        self.assertIn("m2", schedulers.by_member)


class MemberAnswerTest(unittest.TestCase):
    def test_numbers_of_a_member_that_are_too_long(self):
        """They ended the link to the VM that had sent the statement, or the statement itself."""
        for number in ("9" * 5000, "9" * 19, "\u0663"):
            self.assertIsNone(lines.parse_position(f"3.{number}"))
            self.assertIsNone(lines.parse_position(f"{number}.3"))
            for row in (f"replica {number} 3.1 0", f"replica 3 3.1 {number}"):
                with self.assertRaises(lines.LineError):
                    lines.parse_status([row])


class EntryBuilderTest(unittest.TestCase):
    def test_unchanged_entry_is_valid(self):
        """Otherwise the odd entries of these tests would be unusable for another reason."""
        self.assertEqual(json.loads(raw()), ENTRY)
