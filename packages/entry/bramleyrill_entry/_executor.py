"""Run statements at the holder of a member: here, or over a link to another VM."""

import itertools
from datetime import timedelta
from typing import Any

import gevent
from bramleyrill_base import log_event
from bramleyrill_core import Mark
from bramleyrill_wire.entries import frames

from bramleyrill_entry._desks import Desks
from bramleyrill_entry._exchange import RunProblem, RunRequest, RunResult
from bramleyrill_entry._exchange_codec import ran_frame, read_ran, read_run, run_frame
from bramleyrill_entry._peer_link import PeerLink, PeerLostError
from bramleyrill_entry._peers import PeerNet, handlers

# Preparation at the holder and the way there and back, on top of waiting and running.
CALL_SLACK = timedelta(seconds=1.5)
PROVE_TIMEOUT = timedelta(milliseconds=700)
# A proof this young is passed on as it is.
FRESH_PROOF = timedelta(milliseconds=150)


class Executor:
    """Run requests at this VM's desks or at another VM's."""

    def __init__(self, net: PeerNet, desks: Desks) -> None:
        self._net = net
        self._state = net.state
        self._desks = desks
        self._exchanges = itertools.count(1)

    def new_exchange(self) -> int:
        """Return a number for a transaction."""
        return next(self._exchanges)

    def run(self, vm: str, request: RunRequest) -> RunResult:
        """Run a request at the holder `vm`."""
        if vm == self._state.vm:
            return self._desks.run(vm, request)
        try:
            link = self._net.link(vm)
        except PeerLostError:
            return RunResult(problem=RunProblem.UNREACHABLE)
        timeout = request.patience_left + request.timeout + CALL_SLACK
        try:
            return read_ran(link.call(lambda call: run_frame(call, request), timeout))
        except PeerLostError as error:
            log_event("holder_lost", vm=vm, id=request.statement.id, reason=error)
        except ValueError as error:
            log_event("malformed_result", vm=vm, reason=error)
        return RunResult(problem=RunProblem.LOST)

    def end(self, vm: str, exchange: int) -> None:
        """Tell the holder that a transaction is over; a lost link says the same."""
        if vm == self._state.vm:
            self._desks.end(vm, exchange)
            return
        try:
            self._net.link(vm).send(frames.Release(exchange=exchange))
        except PeerLostError as error:
            log_event("exchange_end_not_sent", vm=vm, exchange=exchange, reason=error)

    def prove(self, vm: str, service: str, known_only: bool = False) -> timedelta | None:
        """Ask a VM for a proof of a service's primary; return its age, or None for no proof."""
        asked_at = self._state.now()
        if vm == self._state.vm:
            proof_of(self._net, service, known_only)
            return self._state.proofs.history_of(service).age(self._state.now())
        try:
            answer = self._net.call(
                vm,
                lambda call: frames.Prove(call=call, service_name=service, known_only=known_only),
                PROVE_TIMEOUT,
            )
        except PeerLostError:
            return None
        if answer.age_us < 0:
            return None
        age = timedelta(microseconds=answer.age_us)
        mark = Mark(answer.term, answer.position)
        self._state.note_proof(service, answer.member, mark.term, mark, asked_at - age)
        return self._state.now() - asked_at + age


def proof_of(net: PeerNet, service: str, known_only: bool) -> None:
    """Make sure that the proof known here is young, by an empty transaction if need be."""
    state = net.state
    age = state.proofs.history_of(service).age(state.now())
    if known_only or (age is not None and age < FRESH_PROOF):
        return
    row = state.members.primary_of(service)
    desk = net.services[Desks].desk_for(row.entry.id) if row is not None else None
    if desk is not None:
        desk.prove()


@handlers.register("Run")
def serve_run(net: PeerNet, link: PeerLink, frame: Any) -> None:
    """Run a request of a peer in a greenlet of its own."""
    gevent.spawn(_serve_run, net, link, frame)


def _serve_run(net: PeerNet, link: PeerLink, frame: Any) -> None:
    try:
        result = net.services[Desks].run(link.peer.id, read_run(frame))
    except ValueError as error:
        log_event("malformed_request", vm=link.peer.id, reason=error)
        result = RunResult(problem=RunProblem.UNREACHABLE)
    try:
        link.send(ran_frame(frame.call, result))
    except PeerLostError as error:
        log_event("result_not_sent", vm=link.peer.id, id=frame.id, reason=error)


@handlers.register("Release")
def serve_release(net: PeerNet, link: PeerLink, frame: Any) -> None:
    """End a transaction of a peer."""
    net.services[Desks].end(link.peer.id, frame.exchange)


@handlers.register("Prove")
def serve_prove(net: PeerNet, link: PeerLink, frame: Any) -> None:
    """Answer with the newest proof, made young unless only a known one is asked for."""
    gevent.spawn(_serve_prove, net, link, frame)


def _serve_prove(net: PeerNet, link: PeerLink, frame: Any) -> None:
    proof_of(net, frame.service_name, frame.known_only)
    state = net.state
    proof = state.proofs.history_of(frame.service_name).newest
    row = state.members.primaries.get(frame.service_name)
    answer = frames.Proved(call=frame.call, member="", term=0, position=0, age_us=-1)
    if proof is not None and row is not None:
        age = state.now() - proof.proved_at
        answer = frames.Proved(
            call=frame.call,
            member=row.member,
            term=proof.mark.term,
            position=proof.mark.position,
            age_us=age // timedelta(microseconds=1),
        )
    try:
        link.send(answer)
    except PeerLostError as error:
        log_event("proof_not_sent", vm=link.peer.id, reason=error)


@handlers.register("Appointed")
def note_appointed(net: PeerNet, link: PeerLink, frame: Any) -> None:
    """Take over that a member was made primary."""
    net.state.note_appointed(frame.service_name, frame.member, f"peer {link.peer.id}")
