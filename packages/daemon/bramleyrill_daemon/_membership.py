"""Effects and frames of membership."""

from typing import Any

import gevent
from bramleyrill_base import log_event
from bramleyrill_core import VmId
from bramleyrill_core.configuration import PeerVersionSeen
from bramleyrill_core.membership import (
    HeartbeatAcked,
    HeartbeatArrived,
    HeartbeatTimedOut,
    IndirectAcked,
    IndirectAsked,
    MembershipTables,
    SendHeartbeat,
    SendHeartbeatAck,
    SendIndirect,
    SendIndirectAck,
    VmsListed,
    VmState,
    VmStateChanged,
    VmUpdate,
)
from bramleyrill_wire.peers import frames

from bramleyrill_daemon._frames import handles
from bramleyrill_daemon._listed_vms import read_listed_vms
from bramleyrill_daemon._peer_link import PeerLink, PeerLostError
from bramleyrill_daemon._peer_net import PeerNet
from bramleyrill_daemon._shell import Shell, effect_handler

Address = tuple[str, int]


def _encode_updates(updates: tuple[VmUpdate, ...]) -> list[Any]:
    return [
        frames.VmUpdate(
            vm=update.vm,
            state=int(update.state),
            incarnation=update.incarnation,
            domain=update.domain,
            region=update.region,
            host=update.host,
            port=update.port,
        )
        for update in updates
    ]


def _decode_updates(encoded: list[Any] | None) -> tuple[VmUpdate, ...]:
    return tuple(
        VmUpdate(
            VmId(update.vm),
            update.domain or "",
            update.region or "",
            update.host or "",
            update.port or 0,
            VmState(update.state),
            update.incarnation or 0,
        )
        for update in encoded or ()
    )


@effect_handler(SendHeartbeat)
def send_heartbeat(shell: Shell, effect: SendHeartbeat) -> None:
    """Send a heartbeat; a peer that cannot be dialed is reported as timed out at once."""
    frame = frames.Heartbeat(
        vm=shell.world.identity.id,
        updates=_encode_updates(effect.updates),
        text_version=shell.world.text.version,
    )
    net = shell.component(PeerNet)
    link = net.links.get(effect.vm)
    if link is not None:
        net.post(effect.vm, frame)
    else:
        gevent.spawn(_dial_and_send, shell, net, effect.vm, frame)


def _dial_and_send(shell: Shell, net: PeerNet, vm: VmId, frame: Any) -> None:
    try:
        net.link(vm).send(frame)
    except PeerLostError:
        shell.handle(HeartbeatTimedOut(vm))


@effect_handler(SendHeartbeatAck)
def send_heartbeat_ack(shell: Shell, effect: SendHeartbeatAck) -> None:
    """Answer a heartbeat."""
    frame = frames.HeartbeatAck(
        vm=shell.world.identity.id,
        updates=_encode_updates(effect.updates),
        text_version=shell.world.text.version,
    )
    shell.component(PeerNet).post(effect.vm, frame)


@effect_handler(SendIndirect)
def send_indirect(shell: Shell, effect: SendIndirect) -> None:
    """Ask a peer to probe a VM that does not answer this one."""
    frame = frames.Indirect(origin=shell.world.identity.id, vm=effect.vm)
    shell.component(PeerNet).post(effect.via, frame)


@effect_handler(SendIndirectAck)
def send_indirect_ack(shell: Shell, effect: SendIndirectAck) -> None:
    """Report to the VM that asked for an indirect probe that the target has answered."""
    frame = frames.IndirectAck(via=shell.world.identity.id, vm=effect.vm)
    shell.component(PeerNet).post(effect.origin, frame)


@effect_handler(VmStateChanged)
def log_state_change(shell: Shell, effect: VmStateChanged) -> None:
    """Log a change of a VM's state."""
    log_event("vm_state", vm=effect.vm, state=effect.state)


@handles(frames.Heartbeat)
def handle_heartbeat(shell: Shell, link: PeerLink, frame: Any) -> None:
    """Handle a heartbeat and the text version that it carries."""
    shell.handle(HeartbeatArrived(VmId(link.vm), _decode_updates(frame.updates)))
    shell.handle(PeerVersionSeen(VmId(link.vm), frame.text_version or 0))


@handles(frames.HeartbeatAck)
def handle_heartbeat_ack(shell: Shell, link: PeerLink, frame: Any) -> None:
    """Handle the answer to a heartbeat and the text version that it carries."""
    shell.handle(HeartbeatAcked(VmId(link.vm), _decode_updates(frame.updates)))
    shell.handle(PeerVersionSeen(VmId(link.vm), frame.text_version or 0))


@handles(frames.Indirect)
def handle_indirect(shell: Shell, link: PeerLink, frame: Any) -> None:
    """Handle a request to probe another VM."""
    shell.handle(IndirectAsked(VmId(link.vm), VmId(frame.vm)))


@handles(frames.IndirectAck)
def handle_indirect_ack(shell: Shell, link: PeerLink, frame: Any) -> None:
    """Handle the report that an indirect probe was answered."""
    shell.handle(IndirectAcked(VmId(link.vm), VmId(frame.vm)))


def address_of(shell: Shell, vm: str) -> Address | None:
    """Return the peer address of a VM, or None if it is unknown."""
    row = shell.world.tables(MembershipTables).vms.get(VmId(vm))
    return (row.host, row.port) if row is not None and row.port else None


def handle_vm_list(shell: Shell, entries: list[Any]) -> None:
    """Handle the platform's list of VMs; malformed entries are logged and skipped."""
    shell.handle(VmsListed(tuple(read_listed_vms(entries))))
