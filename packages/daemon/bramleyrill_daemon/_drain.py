"""The graceful stop: what the core needs to know, and what it orders."""

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
from bramleyrill_daemon._permits import PermitDesk
from bramleyrill_daemon._served import ServedStream
from bramleyrill_daemon._shell import Shell, carries_out
from bramleyrill_daemon.front import Front


class Drainer:
    """Report sessions and requests to the core while this VM stops; `exit` is set at the end."""

    def __init__(self, shell: Shell) -> None:
        self.exit = Event()
        self._shell = shell
        self._reported: set[int] = set()

    def stop(self) -> None:
        """Begin the stop; may be called from a signal handler."""
        gevent.spawn(self._shell.feed, StopRequested())

    def after_tick(self) -> None:
        """Report what is idle and what is in flight."""
        if not is_draining(self._shell.world):
            return
        front = self._shell.part(Front)
        for number in front.idle_sessions():
            if number not in self._reported:
                self._reported.add(number)
                self._shell.feed(SessionIdle(number))
        served = sum(
            isinstance(stream, ServedStream) and stream.busy
            for link in self._shell.part(PeerNet).links.values()
            for stream in link.streams.values()
        )
        self._shell.feed(RequestsInFlight(front.requests_in_flight + served, len(front.sessions)))


@carries_out(StopAccepting)
def stop_accepting(shell: Shell, effect: StopAccepting) -> None:
    """Close the listening socket for callers."""
    front = shell.part(Front)
    log_event("draining", sessions=len(front.sessions))
    front.stop_accepting()


@carries_out(ReleaseHolders)
def release_holders(shell: Shell, effect: ReleaseHolders) -> None:
    """Refuse new requests of peers; the pools close as their work ends."""
    shell.part(PermitDesk).draining = True


@carries_out(CloseSession)
def close_session(shell: Shell, effect: CloseSession) -> None:
    """Close a session now, or when its transaction is over."""
    shell.part(Front).close_session(effect.id)


@carries_out(EndIdleTransactions)
def end_idle_transactions(shell: Shell, effect: EndIdleTransactions) -> None:
    """End what is left idle in transactions."""
    shell.part(Front).end_idle_transactions()


@carries_out(Exit)
def leave(shell: Shell, effect: Exit) -> None:
    """Let the process end."""
    shell.part(Drainer).exit.set()
