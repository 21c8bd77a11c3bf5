"""Effects of the change of primary: probes, group calls, spans, news of a primary."""

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

from bramleyrill_daemon._control import CALL_TIMEOUT, ControlError, ControlLines
from bramleyrill_daemon._frames import takes
from bramleyrill_daemon._peer_link import PeerLink, PeerLostError
from bramleyrill_daemon._peer_net import PeerNet
from bramleyrill_daemon._shell import Shell, carries_out
from bramleyrill_daemon._spans import SpanStore


@carries_out(SendProbe)
def send_probe(shell: Shell, effect: SendProbe) -> None:
    """Probe a member, unless an earlier call to it is still waiting for its answer."""
    line = shell.part(ControlLines).line(effect.member)
    if not line.busy:
        line.busy = True
        gevent.spawn(_probe, shell, effect.member)


def _probe(shell: Shell, member: MemberId) -> None:
    started = shell.world.clock.monotonic()
    try:
        sent_at, status = shell.part(ControlLines).line(member).probe()
    except ControlError as error:
        log_event("probe_failed", level=logging.DEBUG, member=member, error=error)
        shell.feed(ProbeFailed(member, started, error.refused))
    else:
        shell.feed(ProbeAnswered(member, sent_at, status))


@carries_out(SendFence)
def send_fence(shell: Shell, effect: SendFence) -> None:
    """Fence a member."""
    gevent.spawn(_fence, shell, effect.member, effect.term)


def _fence(shell: Shell, member: MemberId, term: int) -> None:
    try:
        status = shell.part(ControlLines).line(member).fence(term)
    except ControlError as error:
        log_event("fence_failed", member=member, term=term, error=error)
        shell.feed(FenceFailed(member, term, error.answered or error.refused))
    else:
        log_event("fenced", member=member, term=term, position=status.position)
        shell.feed(FenceAnswered(member, term, status))


@carries_out(SendPromote)
def send_promote(shell: Shell, effect: SendPromote) -> None:
    """Promote a member."""
    gevent.spawn(_promote, shell, effect.member, effect.term)


def _promote(shell: Shell, member: MemberId, term: int) -> None:
    try:
        shell.part(ControlLines).line(member).promote(term)
    except ControlError as error:
        log_event("promote_failed", member=member, term=term, error=error)
        shell.feed(PromoteFailed(member, term, error.answered or error.refused))
    else:
        log_event("promoted", member=member, term=term)
        shell.feed(PromoteAnswered(member, term))


@carries_out(SendFollow)
def send_follow(shell: Shell, effect: SendFollow) -> None:
    """Let a member follow a leader; the core asks again if it does not."""
    gevent.spawn(_follow, shell, effect)


def _follow(shell: Shell, effect: SendFollow) -> None:
    try:
        shell.part(ControlLines).line(effect.member).follow(effect.term, effect.leader)
    except ControlError as error:
        log_event("follow_failed", member=effect.member, term=effect.term, error=error)


@carries_out(AskPrimarySeen)
def ask_primary_seen(shell: Shell, effect: AskPrimarySeen) -> None:
    """Ask another holder; one that cannot be reached counts as not seeing the primary."""
    gevent.spawn(_ask, shell, effect.vm, effect.database)


def _ask(shell: Shell, vm: VmId, database: DatabaseId) -> None:
    try:
        link = shell.part(PeerNet).link(vm)
        answer = link.call(
            lambda call: frames.PrimarySeen(call=call, database=database), CALL_TIMEOUT
        )
        valid = bool(answer.valid)
    except PeerLostError:
        valid = False
    shell.feed(PrimarySeenAnswered(database, vm, valid))


@takes(frames.PrimarySeen)
def answer_primary_seen(shell: Shell, link: PeerLink, frame: Any) -> None:
    """Tell a supervisor whether this VM has a valid permit."""
    valid = primary_seen(shell.world, DatabaseId(frame.database or ""))
    link.send(frames.PrimarySeenAnswer(call=frame.call, database=frame.database, valid=valid))


@carries_out(PrimaryChanged)
def tell_primary(shell: Shell, effect: PrimaryChanged) -> None:
    """Tell the peers that are connected; others learn it from redirects."""
    log_event("primary_changed", database=effect.database, term=effect.term, member=effect.member)
    frame = frames.PrimaryChanged(database=effect.database, term=effect.term, member=effect.member)
    net = shell.part(PeerNet)
    for vm in list(net.links):
        net.post(vm, frame)


@takes(frames.PrimaryChanged)
def take_primary(shell: Shell, link: PeerLink, frame: Any) -> None:
    """Remember a primary that a peer learned of."""
    if frame.database in shell.world.text.databases and frame.term and frame.member:
        record_primary(shell.world, DatabaseId(frame.database), frame.term, MemberId(frame.member))


@carries_out(AppendSpan)
def append_span(shell: Shell, effect: AppendSpan) -> None:
    """Add a span to the platform's succession object."""
    gevent.spawn(shell.part(SpanStore).append, effect.database, effect.after, effect.span)
