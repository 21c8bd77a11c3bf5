"""Effects and frames of succession: probes, group calls, spans, announcements of a primary."""

from typing import Any

import gevent
from absl import logging
from bramleyrill_base import log_event
from bramleyrill_core import DatabaseId, MemberId, VmId
from bramleyrill_core.routing import record_primary
from bramleyrill_core.succession import (
    AppendSpan,
    AskPrimarySeen,
    FenceAnswered,
    FenceFailed,
    PrimaryChanged,
    PrimarySeenAnswered,
    ProbeAnswered,
    ProbeFailed,
    PromoteAnswered,
    PromoteFailed,
    SendFence,
    SendFollow,
    SendProbe,
    SendPromote,
    primary_seen,
)
from bramleyrill_wire.peers import frames

from bramleyrill_daemon._control import CALL_TIMEOUT, ControlClients, ControlError
from bramleyrill_daemon._frames import handles
from bramleyrill_daemon._peer_link import PeerLink, PeerLostError
from bramleyrill_daemon._peer_net import PeerNet
from bramleyrill_daemon._shell import Shell, effect_handler
from bramleyrill_daemon._spans import SpanStore


@effect_handler(SendProbe)
def send_probe(shell: Shell, effect: SendProbe) -> None:
    """Probe a member unless another call to it is still in progress."""
    client = shell.component(ControlClients).client(effect.member)
    if not client.busy:
        client.busy = True
        gevent.spawn(_probe, shell, effect.member)


def _probe(shell: Shell, member: MemberId) -> None:
    started_at = shell.world.clock.monotonic()
    try:
        sent_at, status = shell.component(ControlClients).client(member).probe()
    except ControlError as error:
        log_event("probe_failed", level=logging.DEBUG, member=member, error=error)
        shell.handle(ProbeFailed(member, started_at, error.refused))
    else:
        shell.handle(ProbeAnswered(member, sent_at, status))


@effect_handler(SendFence)
def send_fence(shell: Shell, effect: SendFence) -> None:
    """Fence a member."""
    gevent.spawn(_fence, shell, effect.member, effect.term)


def _fence(shell: Shell, member: MemberId, term: int) -> None:
    try:
        status = shell.component(ControlClients).client(member).fence(term)
    except ControlError as error:
        log_event("fence_failed", member=member, term=term, error=error)
        shell.handle(FenceFailed(member, term, error.answered or error.refused))
    else:
        log_event("fenced", member=member, term=term, position=status.position)
        shell.handle(FenceAnswered(member, term, status))


@effect_handler(SendPromote)
def send_promote(shell: Shell, effect: SendPromote) -> None:
    """Promote a member."""
    gevent.spawn(_promote, shell, effect.member, effect.term)


def _promote(shell: Shell, member: MemberId, term: int) -> None:
    try:
        shell.component(ControlClients).client(member).promote(term)
    except ControlError as error:
        log_event("promote_failed", member=member, term=term, error=error)
        shell.handle(PromoteFailed(member, term, error.answered or error.refused))
    else:
        log_event("promoted", member=member, term=term)
        shell.handle(PromoteAnswered(member, term))


@effect_handler(SendFollow)
def send_follow(shell: Shell, effect: SendFollow) -> None:
    """Make a member follow a leader; the core repeats the effect if that fails."""
    gevent.spawn(_follow, shell, effect)


def _follow(shell: Shell, effect: SendFollow) -> None:
    try:
        shell.component(ControlClients).client(effect.member).follow(effect.term, effect.leader)
    except ControlError as error:
        log_event("follow_failed", member=effect.member, term=effect.term, error=error)


@effect_handler(AskPrimarySeen)
def ask_primary_seen(shell: Shell, effect: AskPrimarySeen) -> None:
    """Ask another holder whether it sees the primary; an unreachable one counts as "no"."""
    gevent.spawn(_ask_peer, shell, effect.vm, effect.database)


def _ask_peer(shell: Shell, vm: VmId, database: DatabaseId) -> None:
    try:
        link = shell.component(PeerNet).link(vm)
        answer = link.call(
            lambda call: frames.PrimarySeen(call=call, database=database), CALL_TIMEOUT
        )
        valid = bool(answer.valid)
    except PeerLostError:
        valid = False
    shell.handle(PrimarySeenAnswered(database, vm, valid))


@handles(frames.PrimarySeen)
def answer_primary_seen(shell: Shell, link: PeerLink, frame: Any) -> None:
    """Answer a supervisor whether this VM has a valid permit."""
    valid = primary_seen(shell.world, DatabaseId(frame.database or ""))
    link.send(frames.PrimarySeenAnswer(call=frame.call, database=frame.database, valid=valid))


@effect_handler(PrimaryChanged)
def announce_primary(shell: Shell, effect: PrimaryChanged) -> None:
    """Announce a primary to the connected peers; others learn it from redirects."""
    log_event("primary_changed", database=effect.database, term=effect.term, member=effect.member)
    frame = frames.PrimaryChanged(database=effect.database, term=effect.term, member=effect.member)
    net = shell.component(PeerNet)
    for vm in list(net.links):
        net.post(vm, frame)


@handles(frames.PrimaryChanged)
def handle_primary_changed(shell: Shell, link: PeerLink, frame: Any) -> None:
    """Record a primary that a peer announces; one that is no member could not be reached."""
    database = shell.world.text.databases.get(frame.database)
    members = [member.id for member in database.members] if database is not None else []
    if frame.term and frame.member in members:
        record_primary(shell.world, DatabaseId(frame.database), frame.term, MemberId(frame.member))


@effect_handler(AppendSpan)
def append_span(shell: Shell, effect: AppendSpan) -> None:
    """Append a span to the succession object of a database."""
    gevent.spawn(shell.component(SpanStore).append, effect.database, effect.after, effect.span)
