"""Links to other entry VMs by VM id, dialed on demand or accepted."""

import socket
from collections.abc import Callable, Sequence
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

from bramleyrill_entry._health import VmHealth
from bramleyrill_entry._peer_link import PeerLink, PeerLostError, encode_vm
from bramleyrill_entry._state import EntryState, to_cooperative_socket

DIAL_TIMEOUT = timedelta(milliseconds=600)

FrameHandler = Callable[["PeerNet", PeerLink, Any], None]
# Frame handlers by the name of the frame's struct.
handlers: Registry[FrameHandler] = Registry("frame handler")


class PeerNet:
    """All peer links of this VM.

    Frame handlers run in the greenlet that reads the link and must not block; a handler that may
    block spawns a greenlet. `services` holds the parts of the process that handlers need, by
    type. `lost_hooks` are called with the id of a VM whose link was lost.
    """

    def __init__(
        self, state: EntryState, services: dict[type, Any], listener: socket.socket
    ) -> None:
        self.state = state
        self.services = services
        self.lost_hooks: list[Callable[[str], None]] = []
        self._links: dict[str, PeerLink] = {}
        self._dials: dict[str, AsyncResult] = {}
        self._server = StreamServer(to_cooperative_socket(listener), self._accept)

    def start(self) -> None:
        """Start to accept links."""
        self._server.start()

    def call(self, vm: str, make_frame: Callable[[int], Any], timeout: timedelta) -> Any:
        """Send a frame to a VM and return the answer; raise PeerLostError if there is none."""
        return self.link(vm).call(make_frame, timeout)

    def link(self, vm: str) -> PeerLink:
        """Return the link to a VM, dialed if needed; raise PeerLostError if it fails.

        Concurrent callers share one dial.
        """
        existing = self._links.get(vm)
        if existing is not None and not existing.lost:
            return existing
        pending_dial = self._dials.get(vm)
        if pending_dial is None:
            pending_dial = self._dials[vm] = AsyncResult()
            gevent.spawn(self._dial_vm, vm, pending_dial)
        return pending_dial.get()

    def open_links(self) -> list[PeerLink]:
        """Return all open links."""
        return [link for link in self._links.values() if not link.lost]

    def broadcast(self, frame: Any) -> None:
        """Send a frame to every VM that is known and reachable."""
        for row in self.state.vms.vms.rows():
            gevent.spawn(self._send_to, row.entry.id, frame)

    def dial_address(self, address: Address) -> VmEntry:
        """Dial an address whose VM is unknown and return its entry; raise PeerLostError."""
        return self._dial(address).peer

    def close(self) -> None:
        """Stop accepting and close all links."""
        self._server.stop(timeout=0)
        for link in self.open_links():
            link.close()

    def _send_to(self, vm: str, frame: Any) -> None:
        try:
            self.link(vm).send(frame)
        except PeerLostError as error:
            log_event("broadcast_failed", vm=vm, frame=type(frame).__name__, reason=error)

    def _dial_vm(self, vm: str, pending_dial: AsyncResult) -> None:
        row = self.state.vms.vms.get(vm)
        try:
            if row is None:
                raise PeerLostError("the VM is unknown")
            link = self._dial(row.entry.address)
            if link.peer.id != vm:
                raise PeerLostError(f"another VM, {link.peer.id}, answers at its address")
            pending_dial.set(link)
        except Exception as error:
            # Any error is told to those who wait for the link; they would wait for ever.
            self.state.vms.record_failure(vm, self.state.now())
            log_event("peer_unreachable", vm=vm, reason=error)
            pending_dial.set_exception(PeerLostError(str(error)))
        finally:
            self._dials.pop(vm, None)

    def _dial(self, address: Address) -> PeerLink:
        sock = gevent.socket.socket()
        sock.settimeout(DIAL_TIMEOUT.total_seconds())
        try:
            sock.connect(address)
        except (OSError, ValueError, OverflowError) as error:
            # The address was told by a peer or the store, and may not be one.
            sock.close()
            raise PeerLostError(str(error)) from error
        return self._establish(sock)

    def _accept(self, sock: Any, _address: Address) -> None:
        try:
            link = self._establish(sock)
        except PeerLostError as error:
            log_event("peer_refused", reason=error)
            return
        # The server closes the socket as soon as this method returns.
        link.ended.wait()

    def _establish(self, sock: Any) -> PeerLink:
        try:
            link = PeerLink(
                sock, self.state.vms.own, self.state.clock, self._on_frame, self._on_lost
            )
            peer = link.handshake()
        except OSError as error:
            sock.close()
            raise PeerLostError(str(error)) from error
        now = self.state.now()
        self.state.vms.update(peer, now)
        self.state.vms.record_answer(peer.id, now)
        existing = self._links.get(peer.id)
        if existing is None or existing.lost:
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


def make_pong(
    net: PeerNet,
    call: int,
    vms_known: int,
    news: Sequence[Any] = (),
    loads: bytes | None = None,
) -> Any:
    """Return the answer to a ping.

    It lists all VMs if the sender knows fewer, else those of `news`. A sender that knows more gets
    no list: this VM learns the others from the answers to its own pings.
    """
    state = net.state
    health = net.services.get(VmHealth)
    entries = state.vms.entries()
    listed = list(news) if vms_known >= len(entries) else [encode_vm(entry) for entry in entries]
    return frames.Pong(
        call=call,
        catalog_version=state.catalog.version,
        vms=listed,
        vm=encode_vm(state.vms.own),
        members_revision=state.members.revision.number,
        store_era=state.members.revision.era,
        store_era_age_ms=era_age_ms(state),
        loop_delay_us=health.loop_delay_us if health else None,
        loads=loads,
    )


def era_age_ms(state: EntryState) -> int:
    """Return for how long the era of the member entries has lasted at least, in ms."""
    return state.history.age_of(state.members.revision.era) // timedelta(milliseconds=1)
