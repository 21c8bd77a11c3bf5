"""Dialing other VMs by the addresses that peers and the store tell."""

import unittest

import gevent
import gevent.socket
from bramleyrill_core.placement import VmEntry
from bramleyrill_entry._peer_link import PeerLostError, decode_vm
from bramleyrill_entry._peers import PeerNet
from bramleyrill_entry._upstream import UpstreamConnection, UpstreamError
from bramleyrill_entry._watch import _decode_vm
from bramleyrill_platform import StoredObject
from bramleyrill_standins.prepared import LineGroup
from bramleyrill_wire.entries import frames

from tests.entry.builders import DOMAIN, SECOND, SERVICE, make_state, member_entry

IMPOSSIBLE_ADDRESSES = (("127.0.0.1", 99999), ("127.0.0.1", -1), ("a\0b", 5), ("x" * 300, 5))


class DialTest(unittest.TestCase):
    def setUp(self):
        self.group = LineGroup(SERVICE, ["m1"])
        self.addCleanup(self.group.close)
        self.state = make_state(self.group)

    def test_vm_at_an_impossible_address_is_unreachable(self):
        """The dial ended with another error, and everybody who waited for it waited forever."""
        net = PeerNet(self.state, {}, gevent.socket.socket())
        for address in IMPOSSIBLE_ADDRESSES:
            self.state.vms.vms.remove("vm2")
            self.state.vms.update(VmEntry("vm2", DOMAIN, address, 1), self.state.now())
            with self.subTest(address=address), gevent.Timeout(2):
                self.assertRaises(PeerLostError, net.link, "vm2")

    def test_member_at_an_impossible_address_is_unreachable(self):
        for address in IMPOSSIBLE_ADDRESSES:
            entry = member_entry(self.group, "m1")
            moved = type(entry)(entry.id, SERVICE, address, DOMAIN, 2, entry.state, entry.role)
            with self.subTest(address=address), self.assertRaises(UpstreamError):
                UpstreamConnection.dial(moved, SECOND, self.state.clock)

    def test_vm_entry_with_an_impossible_port_is_rejected(self):
        for port in (0, -1, 65536, True):
            value = {"host": "h", "domain": "d", "port": port, "started_ms": 1}
            with self.subTest(port=port):
                self.assertIsNone(_decode_vm(StoredObject("vm2", 1, value)))
                vm = frames.Vm(id="vm2", domain="d", host="h", port=port, started_ms=1)
                if port is not True:
                    self.assertRaises(ValueError, decode_vm, vm)
