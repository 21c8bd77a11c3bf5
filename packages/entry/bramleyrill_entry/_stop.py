"""Planned stop: leave the load balancer, let work finish, answer what is left, exit."""

from datetime import timedelta

import gevent
from attrs import evolve
from bramleyrill_base import log_event
from bramleyrill_core.placement import VmTable

from bramleyrill_entry._front import Front
from bramleyrill_entry._gossip import Gossip
from bramleyrill_entry._peers import PeerNet
from bramleyrill_entry._schedulers import MemberSchedulers
from bramleyrill_entry._state import EntryState

# Time until the load balancer sends no more callers: it probes once a second and stops after two
# failed probes.
BALANCER_REACTION_TIME = timedelta(seconds=2.6)
# Shares of the grace period. Open transactions get half of it; the last tenth is kept for the
# answers to statements that are still at a member, and for the exit.
TRANSACTION_GRACE_SHARE = 0.5
# A balancer with too few other VMs continues to send callers. New connections are refused from this
# point on, so that the process reads no request that it can no longer answer.
ACCEPT_GRACE_SHARE = 0.55
# Statements that have not been sent to a member by then are refused as not run.
SEND_GRACE_SHARE = 0.8
EXIT_GRACE_SHARE = 0.9
LAST_ANSWERS_GRACE_SHARE = 0.95
POLL_INTERVAL = timedelta(milliseconds=50)
ANSWER_POLL_INTERVAL = timedelta(milliseconds=5)


class PlannedStop:
    """Carry out a planned stop."""

    def __init__(
        self, state: EntryState, front: Front, schedulers: MemberSchedulers, net: PeerNet
    ) -> None:
        self._state = state
        self._front = front
        self._schedulers = schedulers
        self._net = net

    def run(self) -> None:
        """Stop; return once nothing is in progress, or shortly before the grace period ends."""
        state = self._state
        started_at = state.now()
        grace = timedelta(seconds=state.settings.grace_s)
        state.stopping = True
        state.answer_by = started_at + SEND_GRACE_SHARE * grace
        log_event("stop_requested", sessions=len(self._front.sessions))
        # First, as the next holder opens its connections as soon as it learns of the stop.
        self._schedulers.drain()
        self._announce_leaving(state.vms)
        while True:
            elapsed = state.now() - started_at
            if elapsed >= TRANSACTION_GRACE_SHARE * grace:
                self._front.abort_transactions("shutting down")
            if elapsed >= ACCEPT_GRACE_SHARE * grace:
                self._front.stop_accepting()
            if elapsed >= min(BALANCER_REACTION_TIME, EXIT_GRACE_SHARE * grace):
                state.closing_sessions = True
                self._front.close_idle()
                if self._is_done():
                    break
            if state.cannot_answer():
                self._schedulers.refuse_waiting()
            if elapsed >= EXIT_GRACE_SHARE * grace:
                break
            gevent.sleep(POLL_INTERVAL.total_seconds())
        self._front.stop_accepting()
        self._answer_rest(started_at + LAST_ANSWERS_GRACE_SHARE * grace)
        log_event(
            "stopped",
            sessions=len(self._front.sessions),
            running=state.requests_running,
            took=state.now() - started_at,
        )

    def _announce_leaving(self, vms: VmTable) -> None:
        """Announce to the other VMs that this one leaves, so that they send no new work."""
        vms.own = evolve(vms.own, leaving=True)
        gossip = self._net.services[Gossip]
        for row in vms.vms.rows():
            gevent.spawn(gossip.ping, row.entry.id)

    def _answer_rest(self, deadline: timedelta) -> None:
        """Give up what is still at members, and wait for the callers' answers to be sent.

        A statement that may have run is answered as unknown, any other one as not run.
        """
        unanswered = self._state.requests_running
        if not unanswered:
            return
        log_event("statements_given_up", count=unanswered)
        self._schedulers.close()
        self._net.close()
        while self._state.requests_running and self._state.now() < deadline:
            gevent.sleep(ANSWER_POLL_INTERVAL.total_seconds())

    def _is_done(self) -> bool:
        return not self._front.sessions and not self._schedulers.busy()
