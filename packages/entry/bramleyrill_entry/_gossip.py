"""Heartbeats between entry VMs: liveness, the list of VMs, the configuration's version."""

import json
import random
import zlib
from collections.abc import Callable
from datetime import timedelta
from typing import Any

import gevent
from bramleyrill_base import log_event
from bramleyrill_platform import DecodeError, Listing, StoredObject, decode_catalog
from bramleyrill_wire.entries import frames

from bramleyrill_entry._peer_link import PeerLink, PeerLostError, read_vm, vm_frame
from bramleyrill_entry._peers import PeerNet, handlers, pong

PING_INTERVAL = timedelta(milliseconds=500)
PING_TIMEOUT = timedelta(milliseconds=900)
PULL_TIMEOUT = timedelta(seconds=2)
BEHIND_LIMIT = timedelta(seconds=1)
# VMs of this failure domain that are pinged each time, picked at random.
PINGED_NEAR = 2
# A VM of another failure domain is pinged with this chance each time: its bytes cost more.
FAR_CHANCE = 0.3
# VMs that failed and are pinged each time, to see whether they take work again.
PROBED_VMS = 4


class Gossip:
    """Exchange what VMs know with a few others at a time."""

    def __init__(self, net: PeerNet) -> None:
        self._net = net
        self._state = net.state
        self._following = False
        self.behind_hooks: list[Callable[[], None]] = []
        self.listing_hooks: list[Callable[[Listing], None]] = []

    def ping_some(self) -> None:
        """Ping a few VMs, and some of those that failed."""
        domain = self._state.settings.domain
        near = [row for row in self._state.vms.vms if row.entry.domain == domain]
        far = [row for row in self._state.vms.vms if row.entry.domain != domain]
        chosen = random.sample(near, min(PINGED_NEAR, len(near)))
        if far and (not near or random.random() < FAR_CHANCE):
            chosen.append(random.choice(far))
        pinged = {row.entry.id for row in chosen}
        failed = self._state.vms.due_for_probe(self._state.now())
        pinged.update(random.sample(failed, min(PROBED_VMS, len(failed))))
        for vm in pinged:
            gevent.spawn(self.ping, vm)

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
                    members_revision=state.members.revision,
                ),
                PING_TIMEOUT,
            )
        except PeerLostError:
            # The net has noted that the VM failed.
            return
        now = state.now()
        state.vms.record_answer(vm, now)
        for entry in state.vms.update_all(map(read_vm, [answer.vm, *(answer.vms or ())]), now):
            log_event("vm_known", vm=entry.id, domain=entry.domain, leaving=entry.leaving, via=vm)
        self.note_versions(vm, answer.catalog_version, answer.members_revision)

    def greet_seeds(self) -> None:
        """Dial the seed addresses as long as no other VM is known."""
        if len(self._state.vms.vms):
            return
        for address in self._state.settings.seed_peers:
            if address != self._state.settings.peer_listen:
                gevent.spawn(self._greet, address)

    def note_versions(self, vm: str, version: int, members_revision: int) -> None:
        """Follow a VM that knows a newer configuration, or newer entries of members.

        The platform brings both by itself, as a rule a moment later; a large configuration that
        every VM also pulled would load them all. Only a VM that has none yet pulls at once.
        """
        if not self._is_behind(version, members_revision) or self._following:
            return
        self._following = True
        pause = BEHIND_LIMIT if self._state.catalog.version else timedelta()
        gevent.spawn_later(pause.total_seconds(), self._follow, vm, version, members_revision)

    def _is_behind(self, version: int, members_revision: int) -> bool:
        state = self._state
        return version > state.catalog.version or members_revision > state.members.revision

    def _follow(self, vm: str, version: int, members_revision: int) -> None:
        """Pull from a VM if this one is still behind, and renew the watches.

        A watch may wait on a connection that went silent, or the platform may be out of reach.
        """
        try:
            if not self._is_behind(version, members_revision):
                return
            log_event(
                "behind_peer",
                vm=vm,
                version=self._state.catalog.version,
                known_version=version,
                members_revision=self._state.members.revision,
                known_members_revision=members_revision,
            )
            for hook in self.behind_hooks:
                hook()
            self._pull(vm)
        finally:
            self._following = False

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
            if body["configuration"] is not None:
                catalog = decode_catalog(body["configuration"])
                self._state.adopt_catalog(catalog, body["configuration"], f"peer {vm}")
            if push.members_revision > self._state.members.revision:
                objects = [StoredObject(*item) for item in body["members"]]
                for hook in self.listing_hooks:
                    hook(Listing(objects, push.members_revision))
        except (PeerLostError, DecodeError, ValueError, KeyError, TypeError, zlib.error) as error:
            log_event("configuration_pull_failed", vm=vm, reason=error)


@handlers.register("Ping")
def answer_ping(net: PeerNet, link: PeerLink, frame: Any) -> None:
    """Answer a ping; one without a VM only asks for a sign of life."""
    if frame.vm is not None:
        now = net.state.now()
        net.state.vms.update(read_vm(frame.vm), now)
        net.state.vms.record_answer(link.peer.id, now)
        net.services[Gossip].note_versions(
            link.peer.id, frame.catalog_version, frame.members_revision or 0
        )
    link.send(pong(net, frame.call, frame.vms_known if frame.vm else len(net.state.vms.entries())))


@handlers.register("CatalogPull")
def answer_pull(net: PeerNet, link: PeerLink, frame: Any) -> None:
    """Send the configuration in force and the members' entries."""
    state = net.state
    members = [[item.name, item.revision, item.value] for item in state.member_objects.values()]
    body = {"configuration": state.catalog_body, "members": members}
    link.send(
        frames.CatalogPush(
            call=frame.call,
            version=state.catalog.version,
            body=zlib.compress(json.dumps(body).encode()),
            members_revision=state.members.revision,
        )
    )
