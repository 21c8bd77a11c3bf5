"""Heartbeats between entry VMs: liveness, the list of VMs, the configuration's version."""

import json
import random
import zlib
from datetime import timedelta
from typing import Any

import gevent
from bramleyrill_base import log_event
from bramleyrill_platform import DecodeError, decode_catalog
from bramleyrill_wire.entries import frames

from bramleyrill_entry._peer_link import PeerLink, PeerLostError, read_vm, vm_frame
from bramleyrill_entry._peers import PeerNet, handlers, pong

PING_INTERVAL = timedelta(milliseconds=500)
PING_TIMEOUT = timedelta(milliseconds=900)
PULL_TIMEOUT = timedelta(seconds=2)
# Up to this many other VMs, each is pinged every time; of more, this many are picked at random.
PINGED_AT_ONCE = 4


class Gossip:
    """Exchange what VMs know with a few others at a time."""

    def __init__(self, net: PeerNet) -> None:
        self._net = net
        self._state = net.state
        self._pulling = False

    def ping_some(self) -> None:
        """Ping a few VMs."""
        rows = self._state.vms.vms.rows()
        for row in random.sample(rows, min(PINGED_AT_ONCE, len(rows))):
            gevent.spawn(self.ping, row.entry.id)

    def ping(self, vm: str) -> None:
        """Ping one VM and take over what it knows."""
        state = self._state
        try:
            answer = self._net.call(
                vm,
                lambda call: frames.Ping(
                    call=call,
                    catalog_version=state.catalog.version,
                    vms_known=len(state.vms.entries()),
                    vm=vm_frame(state.vms.own),
                ),
                PING_TIMEOUT,
            )
        except PeerLostError:
            state.vms.note_failed(vm, state.now())
            return
        now = state.now()
        state.vms.note_heard(vm, now)
        for entry in state.vms.note_all(map(read_vm, [answer.vm, *(answer.vms or ())]), now):
            log_event("vm_known", vm=entry.id, domain=entry.domain, leaving=entry.leaving, via=vm)
        self.note_version(vm, answer.catalog_version)

    def greet_seeds(self) -> None:
        """Dial the seed addresses as long as no other VM is known."""
        if len(self._state.vms.vms):
            return
        for address in self._state.settings.seed_peers:
            if address != self._state.settings.peer_listen:
                gevent.spawn(self._greet, address)

    def note_version(self, vm: str, version: int) -> None:
        """Pull the configuration from a VM that has a newer one."""
        if version > self._state.catalog.version and not self._pulling:
            self._pulling = True
            gevent.spawn(self._pull, vm)

    def _greet(self, address: tuple[str, int]) -> None:
        try:
            entry = self._net.greet_address(address)
        except PeerLostError as error:
            log_event("seed_unreachable", address=f"{address[0]}:{address[1]}", reason=error)
            return
        self.ping(entry.id)

    def _pull(self, vm: str) -> None:
        try:
            push = self._net.call(vm, lambda call: frames.CatalogPull(call=call), PULL_TIMEOUT)
            body = json.loads(zlib.decompress(push.body))
            self._state.adopt_catalog(decode_catalog(body), body, f"peer {vm}")
        except (PeerLostError, DecodeError, ValueError, zlib.error) as error:
            log_event("configuration_pull_failed", vm=vm, reason=error)
        finally:
            self._pulling = False


@handlers.register("Ping")
def answer_ping(net: PeerNet, link: PeerLink, frame: Any) -> None:
    """Answer a ping; one without a VM only asks for a sign of life."""
    if frame.vm is not None:
        now = net.state.now()
        net.state.vms.note(read_vm(frame.vm), now)
        net.state.vms.note_heard(link.peer.id, now)
        net.services[Gossip].note_version(link.peer.id, frame.catalog_version)
    link.send(pong(net, frame.call, frame.vms_known if frame.vm else len(net.state.vms.entries())))


@handlers.register("CatalogPull")
def answer_pull(net: PeerNet, link: PeerLink, frame: Any) -> None:
    """Send the configuration in force."""
    body = zlib.compress(json.dumps(net.state.catalog_body).encode())
    link.send(frames.CatalogPush(call=frame.call, version=net.state.catalog.version, body=body))
