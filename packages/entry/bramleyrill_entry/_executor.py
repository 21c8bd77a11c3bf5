"""Run statements at the holder of a member: this VM, or another one over a peer link."""

import itertools
import random
from datetime import timedelta
from typing import Any

import gevent
from bramleyrill_base import log_event
from bramleyrill_core import Mark
from bramleyrill_wire.entries import frames

from bramleyrill_entry._duty_leases import DutyLeases
from bramleyrill_entry._member_commands import answer_command
from bramleyrill_entry._peer_link import NotSentError, PeerLink, PeerLostError
from bramleyrill_entry._peers import PeerNet, handlers
from bramleyrill_entry._run_codec import (
    decode_request,
    decode_result,
    encode_request,
    encode_result,
)
from bramleyrill_entry._run_request import RunProblem, RunRequest, RunResult
from bramleyrill_entry._schedulers import MemberSchedulers

# Added to the time limits of waiting and running, for connection setup and the network.
CALL_TIMEOUT_MARGIN = timedelta(seconds=1.5)
PROVE_TIMEOUT = timedelta(milliseconds=700)
# A proof younger than this is returned without asking the member again.
FRESH_PROOF_AGE = timedelta(milliseconds=150)
# Frames carry the ids as signed 64-bit numbers, which leaves room to count up.
MAX_FIRST_TRANSACTION_ID = 2**62
# Supervisors repeat their announcements more often; one for a longer time is an error.
MAX_ANNOUNCED_TIME = timedelta(seconds=5)


class Executor:
    """Run requests at this VM's member schedulers or at those of another VM."""

    def __init__(self, net: PeerNet, schedulers: MemberSchedulers) -> None:
        self._net = net
        self._state = net.state
        self._schedulers = schedulers
        # A VM that lost power is back while holders still have transactions of its earlier process.
        self._transaction_ids = itertools.count(random.randint(1, MAX_FIRST_TRANSACTION_ID))

    def new_transaction_id(self) -> int:
        """Return a transaction id that is unique at this VM, also across its restarts."""
        return next(self._transaction_ids)

    def run(self, vm: str, request: RunRequest) -> RunResult:
        """Run a request at the holder `vm`; failures are returned as problems of the result."""
        if vm == self._state.vm:
            return self._schedulers.run(vm, request)
        try:
            link = self._net.link(vm)
        except PeerLostError:
            return RunResult(problem=RunProblem.UNREACHABLE)
        timeout = request.max_wait + request.timeout + CALL_TIMEOUT_MARGIN
        try:
            return decode_result(link.call(lambda call: encode_request(call, request), timeout))
        except NotSentError as error:
            log_event("request_not_sent", vm=vm, id=request.statement.id, reason=error)
            return RunResult(problem=RunProblem.UNREACHABLE)
        except PeerLostError as error:
            log_event("holder_lost", vm=vm, id=request.statement.id, reason=error)
        except ValueError as error:
            log_event("malformed_result", vm=vm, reason=error)
        return RunResult(problem=RunProblem.LOST)

    def end_transaction(self, vm: str, transaction_id: int) -> None:
        """Tell the holder to roll back a transaction; it also does so when the link is lost."""
        if vm == self._state.vm:
            self._schedulers.end_transaction(vm, transaction_id)
            return
        try:
            self._net.link(vm).send(frames.Release(exchange=transaction_id))
        except PeerLostError as error:
            log_event("exchange_end_not_sent", vm=vm, exchange=transaction_id, reason=error)

    def prove(self, vm: str, service: str, known_only: bool = False) -> timedelta | None:
        """Ask a VM for a proof of a service's primary, and record it.

        Return the age of the proof, or None if there is none. With `known_only` the VM returns
        what it has and does not ask the member.
        """
        sent_at = self._state.now()
        if vm == self._state.vm:
            ensure_fresh_proof(self._net, service, known_only)
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
        self._state.record_proof(service, answer.member, mark.term, mark, sent_at - age)
        return self._state.now() - sent_at + age


def ensure_fresh_proof(net: PeerNet, service: str, known_only: bool) -> None:
    """Renew the known proof with an empty transaction at the primary unless it is fresh.

    Does nothing with `known_only`.
    """
    state = net.state
    age = state.proofs.history_of(service).age(state.now())
    if known_only or (age is not None and age < FRESH_PROOF_AGE):
        return
    row = state.members.primary_of(service)
    scheduler = (
        net.services[MemberSchedulers].scheduler_for(row.entry.id) if row is not None else None
    )
    if scheduler is not None:
        scheduler.prove()


@handlers.register("Run")
def handle_run(net: PeerNet, link: PeerLink, frame: Any) -> None:
    """Run a request of a peer; spawns a greenlet because it blocks."""
    gevent.spawn(_run_and_reply, net, link, frame)


def _run_and_reply(net: PeerNet, link: PeerLink, frame: Any) -> None:
    try:
        result = net.services[MemberSchedulers].run(link.peer.id, decode_request(frame))
    except ValueError as error:
        log_event("malformed_request", vm=link.peer.id, reason=error)
        result = RunResult(problem=RunProblem.UNREACHABLE)
    except Exception as error:
        # The statement may have run; without an answer the peer would wait for its timeout.
        log_event("run_failed", vm=link.peer.id, id=frame.id, error=repr(error))
        result = RunResult(problem=RunProblem.LOST)
    try:
        is_told = _send_result(link, frame.call, result)
    except PeerLostError as error:
        log_event("result_not_sent", vm=link.peer.id, id=frame.id, reason=error)
        is_told = False
    if result.transaction_open and not is_told:
        # Its entry VM does not know that it is open, and would never end it.
        net.services[MemberSchedulers].end_transaction(link.peer.id, frame.exchange)


def _send_result(link: PeerLink, call: int, result: RunResult) -> bool:
    """Send a result; return False if the peer is told only that it was lost."""
    try:
        link.send(encode_result(call, result))
        return True
    except NotSentError as error:
        # Without an answer the peer would wait for its timeout.
        log_event("result_not_encoded", vm=link.peer.id, reason=error)
        link.send(encode_result(call, RunResult(problem=RunProblem.LOST)))
        return False


@handlers.register("Release")
def handle_release(net: PeerNet, link: PeerLink, frame: Any) -> None:
    """Roll back a transaction of a peer if it is still open."""
    net.services[MemberSchedulers].end_transaction(link.peer.id, frame.exchange)


@handlers.register("Prove")
def handle_prove(net: PeerNet, link: PeerLink, frame: Any) -> None:
    """Answer with the newest proof; renew it first unless the peer asks for a known one only."""
    gevent.spawn(_prove_and_reply, net, link, frame)


def _prove_and_reply(net: PeerNet, link: PeerLink, frame: Any) -> None:
    if frame.command is not None:
        answer = _no_proof(frame)
        answer.report = answer_command(net, frame)
    else:
        answer = _proof_answer(net, frame)
    try:
        link.send(answer)
    except PeerLostError as error:
        log_event("proof_not_sent", vm=link.peer.id, reason=error)


def _no_proof(frame: Any) -> Any:
    return frames.Proved(call=frame.call, member="", term=0, position=0, age_us=-1)


def _proof_answer(net: PeerNet, frame: Any) -> Any:
    ensure_fresh_proof(net, frame.service_name, frame.known_only)
    state = net.state
    proof = state.proofs.history_of(frame.service_name).newest
    answer = _no_proof(frame)
    if proof is not None:
        age = state.now() - proof.proved_at
        answer = frames.Proved(
            call=frame.call,
            member=proof.member,
            term=proof.mark.term,
            position=proof.mark.position,
            age_us=age // timedelta(microseconds=1),
        )
    if frame.duty_era is not None:
        answer.may_hold_duty = net.services[DutyLeases].may_hold(frame.service_name)
    return answer


@handlers.register("Appointed")
def handle_appointed(net: PeerNet, link: PeerLink, frame: Any) -> None:
    """Record that a member was appointed primary, or that none leads for a while."""
    service, member = frame.service_name, frame.member
    if frame.leaderless_ms is not None:
        duration = timedelta(milliseconds=frame.leaderless_ms)
        net.state.record_leaderless(service, min(duration, MAX_ANNOUNCED_TIME))
        return
    if frame.replacing_ms is not None:
        duration = timedelta(milliseconds=frame.replacing_ms)
        net.state.record_replacement(member, min(duration, MAX_ANNOUNCED_TIME))
        return
    net.state.record_appointment(service, member, f"peer {link.peer.id}")
