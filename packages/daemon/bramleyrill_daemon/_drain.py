"""The graceful stop: reports to the core about work in progress, and the effects of the stop."""

import gevent
from bramleyrill_base import log_event
from bramleyrill_core.drain import (
    CloseSession,
    EndIdleTransactions,
    Exit,
    ReleaseHolders,
    RequestsInFlight,
    SessionIdle,
    StopAccepting,
    StopRequested,
    is_draining,
)
from gevent.event import Event

from bramleyrill_daemon._peer_net import PeerNet
from bramleyrill_daemon._permits import PermitTracker
from bramleyrill_daemon._served import ServedStream
from bramleyrill_daemon._shell import Shell, effect_handler
from bramleyrill_daemon.front import Front


class Drainer:
    """Report sessions and requests to the core while this VM drains; `exit` is set at the end."""

    def __init__(self, shell: Shell) -> None:
        self.exit = Event()
        self._shell = shell
        self._reported_sessions: set[int] = set()

    def stop(self) -> None:
        """Begin the stop; may be called from a signal handler."""
        gevent.spawn(self._shell.handle, StopRequested())

    def after_tick(self) -> None:
        """Report idle sessions and requests in flight to the core while draining."""
        if not is_draining(self._shell.world):
            return
        front = self._shell.component(Front)
        for session_id in front.idle_sessions():
            if session_id not in self._reported_sessions:
                self._reported_sessions.add(session_id)
                self._shell.handle(SessionIdle(session_id))
        served_requests = sum(
            isinstance(stream, ServedStream) and stream.busy
            for link in self._shell.component(PeerNet).links.values()
            for stream in link.streams.values()
        )
        self._shell.handle(
            RequestsInFlight(front.requests_in_flight + served_requests, len(front.sessions))
        )


@effect_handler(StopAccepting)
def stop_accepting(shell: Shell, effect: StopAccepting) -> None:
    """Close the listening socket for callers."""
    front = shell.component(Front)
    log_event("draining", sessions=len(front.sessions))
    front.stop_accepting()


@effect_handler(ReleaseHolders)
def release_holders(shell: Shell, effect: ReleaseHolders) -> None:
    """Refuse new requests of peers; the core closes the pools as their requests end."""
    shell.component(PermitTracker).draining = True


@effect_handler(CloseSession)
def close_session(shell: Shell, effect: CloseSession) -> None:
    """Close a session now, or at the end of its transaction."""
    shell.component(Front).close_session(effect.id)


@effect_handler(EndIdleTransactions)
def end_idle_transactions(shell: Shell, effect: EndIdleTransactions) -> None:
    """End the remaining idle transactions."""
    shell.component(Front).end_idle_transactions()


@effect_handler(Exit)
def signal_exit(shell: Shell, effect: Exit) -> None:
    """Let the process end."""
    shell.component(Drainer).exit.set()
