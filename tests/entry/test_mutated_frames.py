"""Frames of a peer with one field changed: a VM answers the next frame, and no greenlet dies."""

import itertools
import unittest
from unittest import mock

import gevent
import gevent.socket
from bramleyrill_core.catalog import Catalog, ServiceEntry
from bramleyrill_entry._listen import open_listeners
from bramleyrill_entry._process import EntryProcess
from bramleyrill_entry._run_codec import encode_request
from bramleyrill_standins.prepared import LineGroup
from bramleyrill_wire.entries import PROTOCOL, FrameBuffer, encode, frames

from tests.entry.builders import DOMAIN, SERVICE, make_settings, member_entry, request

I16, I32, I64 = 2**15, 2**31, 2**63
# Values by thrift type that a peer of another build, or a damaged one, might send.
ODD_VALUES = {
    2: [True, False],
    6: [-1, 0, 99, I16 - 1, -I16],
    8: [-1, 0, 99, I32 - 1, -I32],
    10: [-1, 0, 99, 2**53, I64 - 1, -I64],
    11: ["", "x" * 300, b"\xff\xfe", "vm2", SERVICE, "m1"],
}
STRUCT, MAP, SET, LIST = 12, 13, 14, 15
VM = {"id": "vm2", "domain": DOMAIN, "host": "127.0.0.1", "port": 9, "started_ms": 1}


def valid_frames():
    """Return one sound frame of each kind that a peer sends."""
    vm = frames.Vm(**VM)
    proof = {"service_name": SERVICE, "known_only": True}
    return [
        frames.Ping(call=1, catalog_version=1, vms_known=1, vm=vm, members_revision=1, news=[vm]),
        frames.Pong(call=1, catalog_version=1, vms=[vm], vm=vm, members_revision=1, loads=b"x"),
        encode_request(1, request("READ a", "m1")),
        frames.Ran(call=1, code=1, rows=[b"r"], state="I", waited_us=0),
        frames.Release(exchange=4),
        frames.Prove(call=1, **proof),
        frames.Prove(call=1, **proof, member="m1", command=1, command_term=2),
        frames.Proved(call=1, member="m1", term=1, position=1, age_us=5),
        frames.CatalogPull(call=1, catalog_version=0, members_revision=0, store_era=0),
        frames.CatalogPush(call=1, version=2, body=b"x", members_revision=1, store_era=0),
        frames.Appointed(service_name=SERVICE, member="m1"),
        frames.Appointed(service_name=SERVICE, member="m1", leaderless_ms=10, replacing_ms=10),
        frames.QuotaReport(),
        frames.QuotaGrant(),
        frames.QuotaRecall(call=1),
    ]


def mutations(frame):
    """Yield copies of a frame, each with one field, also of a struct in it, left out or changed."""
    for _, spec in sorted(frame.thrift_spec.items()):
        kind, name = spec[0], spec[1]
        values = [None, *ODD_VALUES.get(kind, ())]
        if kind == STRUCT and getattr(frame, name) is not None:
            values += mutations(getattr(frame, name))
        if kind in (LIST, SET) and getattr(frame, name):
            first = getattr(frame, name)[0]
            if hasattr(first, "thrift_spec"):
                values += [[changed] for changed in mutations(first)]
            values += [[], [first] * 300]
        if kind == MAP:
            values += [{}, {"a": b"\xff"}]
        for value in values:
            changed = type(frame)(**vars(frame))
            setattr(changed, name, value)
            yield changed


class Peer:
    """A link to a VM, as another VM opens it."""

    def __init__(self, address):
        self.sock = gevent.socket.create_connection(address, timeout=5)
        self.buffer = FrameBuffer()
        self.send(encode(frames.Hello(protocol=PROTOCOL, vm=frames.Vm(**VM))))

    def send(self, data):
        self.sock.sendall(data)

    def answers_ping(self, call):
        """Return whether the VM answers a ping with this number, after other answers."""
        self.send(encode(frames.Ping(call=call, catalog_version=0, vms_known=0)))
        while data := self.sock.recv(65536):
            for frame in self.buffer.feed(data):
                if isinstance(frame, frames.Pong) and frame.call == call:
                    return True
        return False


class MutatedFramesTest(unittest.TestCase):
    def setUp(self):
        self.group = LineGroup(SERVICE, ["m1", "m2"])
        self.addCleanup(self.group.close)
        any_port = ("127.0.0.1", 0)
        names = ("caller_listen", "ready_listen", "peer_listen", "metrics_listen")
        settings = make_settings(**dict.fromkeys(names, any_port))
        listeners = open_listeners(settings)
        self.address = listeners.peers.getsockname()
        self.process = EntryProcess(settings, listeners)
        state = self.process.state
        state.catalog = Catalog(1, {}, {SERVICE: ServiceEntry(SERVICE, 16)})
        for name in self.group.members_by_name:
            state.members.put(member_entry(self.group, name))
        self.process.net.start()
        self.addCleanup(self.process.net.close)
        self.addCleanup(self.process.schedulers.close)
        self.failures = []
        hub = gevent.get_hub()
        self.enterContext(
            mock.patch.object(hub, "handle_error", lambda *error: self.failures.append(error))
        )

    def test_each_field_of_each_frame(self):
        """One malformed frame took a process down for operators of similar systems."""
        calls = itertools.count(1000)
        peer = Peer(self.address)
        sent = 0
        for frame in valid_frames():
            for changed in mutations(frame):
                try:
                    data = encode(changed)
                except Exception:
                    # A peer's encoder refuses it too.
                    continue
                sent += 1
                peer.send(data)
                try:
                    is_answered = peer.answers_ping(next(calls))
                except ConnectionError:
                    is_answered = False
                if not is_answered:
                    # A frame that cannot be decoded ends its link; the VM accepts the next one.
                    peer = Peer(self.address)
                    self.assertTrue(peer.answers_ping(next(calls)), changed)
                self.assertEqual(self.failures, [], changed)
        self.assertGreater(sent, 300)
