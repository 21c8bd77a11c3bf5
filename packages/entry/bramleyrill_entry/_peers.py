"""Links to other entry VMs: dialed on demand, accepted, and kept by VM id."""

import socket
from collections.abc import Callable
from datetime import timedelta
from typing import Any

import gevent
import gevent.socket
from bramleyrill_base import Registry, log_event
from bramleyrill_core.catalog import Address
from bramleyrill_core.placement import VmEntry
from bramleyrill_wire.entries import frames
from gevent.event import AsyncResult
from gevent.server import StreamServer

from bramleyrill_entry._peer_link import PeerLink, PeerLostError, vm_frame
from bramleyrill_entry._state import EntryState, adopt

DIAL_TIMEOUT = timedelta(milliseconds=600)

FrameHandler = Callable[["PeerNet", PeerLink, Any], None]
# Handlers of frames by the name of their struct.
handlers: Registry[FrameHandler] = Registry("frame handler")


class PeerNet:
    """All links of this VM.

    Handlers run in the greenlet that reads the link; one that may wait spawns its own.
    `services` holds the parts of the process that handlers need, by type.
    """

    def __init__(
        self, state: EntryState, services: dict[type, Any], listener: socket.socket
    ) -> None:
        self.state = state
        self.services = services
        self.lost_hooks: list[Callable[[str], None]] = []
        self._links: dict[str, PeerLink] = {}
        self._dials: dict[str, AsyncResult] = {}
        self._server = StreamServer(adopt(listener), self._accept)

    def start(self) -> None:
        """Accept links."""
        self._server.start()

    def call(self, vm: str, make_frame: Callable[[int], Any], timeout: timedelta) -> Any:
        """Send a frame to a VM and return the answer; raise PeerLostError."""
        return self.link(vm).call(make_frame, timeout)

    def link(self, vm: str) -> PeerLink:
        """Return a link to a VM, dialed if there is none; raise PeerLostError."""
        found = self._links.get(vm)
        if found is not None and not found.lost:
            return found
        dial = self._dials.get(vm)
        if dial is None:
            dial = self._dials[vm] = AsyncResult()
            gevent.spawn(self._dial_known, vm, dial)
        return dial.get()

    def open_links(self) -> list[PeerLink]:
        """Return the links that are open."""
        return [link for link in self._links.values() if not link.lost]

    def broadcast(self, frame: Any) -> None:
        """Send a frame to every VM that is known and reachable."""
        for row in self.state.vms.vms.rows():
            gevent.spawn(self._post, row.entry.id, frame)

    def greet_address(self, address: Address) -> VmEntry:
        """Dial an address of which the VM is not known; raise PeerLostError."""
        return self._dial(address).peer

    def close(self) -> None:
        """Close everything."""
        self._server.stop(timeout=0)
        for link in self.open_links():
            link.close()

    def _post(self, vm: str, frame: Any) -> None:
        try:
            self.link(vm).send(frame)
        except PeerLostError as error:
            log_event("broadcast_failed", vm=vm, frame=type(frame).__name__, reason=error)

    def _dial_known(self, vm: str, dial: AsyncResult) -> None:
        row = self.state.vms.vms.get(vm)
        try:
            if row is None:
                raise PeerLostError("the VM is not known")
            link = self._dial(row.entry.address)
            if link.peer.id != vm:
                raise PeerLostError(f"the address belongs to {link.peer.id}")
            dial.set(link)
        except PeerLostError as error:
            self.state.vms.record_failure(vm, self.state.now())
            log_event("peer_unreachable", vm=vm, reason=error)
            dial.set_exception(error)
        finally:
            self._dials.pop(vm, None)

    def _dial(self, address: Address) -> PeerLink:
        sock = gevent.socket.socket()
        sock.settimeout(DIAL_TIMEOUT.total_seconds())
        try:
            sock.connect(address)
        except OSError as error:
            sock.close()
            raise PeerLostError(str(error)) from error
        return self._set_up(sock)

    def _accept(self, sock: Any, _address: Address) -> None:
        try:
            link = self._set_up(sock)
        except PeerLostError as error:
            log_event("peer_refused", reason=error)
            return
        # The server closes the socket when this returns.
        link.ended.wait()

    def _set_up(self, sock: Any) -> PeerLink:
        try:
            link = PeerLink(
                sock, self.state.vms.own, self.state.clock, self._on_frame, self._on_lost
            )
            peer = link.greet()
        except OSError as error:
            sock.close()
            raise PeerLostError(str(error)) from error
        now = self.state.now()
        self.state.vms.update(peer, now)
        self.state.vms.record_answer(peer.id, now)
        earlier = self._links.get(peer.id)
        if earlier is None or earlier.lost:
            self._links[peer.id] = link
        return link

    def _on_frame(self, link: PeerLink, frame: Any) -> None:
        handler = handlers.by_name.get(type(frame).__name__)
        if handler is None:
            log_event("frame_ignored", vm=link.peer.id, frame=type(frame).__name__)
            return
        handler(self, link, frame)

    def _on_lost(self, link: PeerLink) -> None:
        if link.peer is None:
            return
        vm = link.peer.id
        if self._links.get(vm) is link:
            del self._links[vm]
        self.state.vms.record_failure(vm, self.state.now())
        for hook in self.lost_hooks:
            hook(vm)


def pong(net: PeerNet, call: int, vms_known: int) -> Any:
    """Return the answer to a ping; it lists the VMs if the asking VM knows fewer or more."""
    entries = net.state.vms.entries()
    listed = [] if vms_known == len(entries) else [vm_frame(entry) for entry in entries]
    return frames.Pong(
        call=call,
        catalog_version=net.state.catalog.version,
        vms=listed,
        vm=vm_frame(net.state.vms.own),
        members_revision=net.state.members.revision,
    )
