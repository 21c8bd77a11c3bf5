"""Listener for callers, and their open sessions."""

import socket
from datetime import timedelta

import gevent
from bramleyrill_base import log_event
from bramleyrill_core.catalog import Address
from gevent.server import StreamServer

from bramleyrill_entry._limits import TeamLimits
from bramleyrill_entry._metrics import EntryMetrics
from bramleyrill_entry._router import Router
from bramleyrill_entry._session import CallerSession
from bramleyrill_entry._state import EntryState, to_cooperative_socket

# Bounds the delay if a change of the configuration is missed between two checks.
CONFIGURATION_CHECK_INTERVAL = timedelta(seconds=10)
# File descriptors that are reserved for connections to members, peers and the platform.
RESERVED_DESCRIPTORS = 600


class Front:
    """Accept callers; `sessions` holds the open sessions."""

    def __init__(
        self,
        state: EntryState,
        router: Router,
        metrics: EntryMetrics,
        listener: socket.socket,
        limits: TeamLimits | None = None,
    ) -> None:
        self.sessions: set[CallerSession] = set()
        self._state = state
        self._router = router
        self._metrics = metrics
        self._limits = limits
        self._max_sessions = max(state.settings.max_descriptors - RESERVED_DESCRIPTORS, 64)
        self._server = StreamServer(to_cooperative_socket(listener), self._serve)

    def start(self) -> None:
        """Start to accept connections."""
        self._server.start()
        gevent.spawn(self._follow_configuration)

    def stop_accepting(self) -> None:
        """Close the listener; open sessions continue."""
        self._server.stop(timeout=0)

    def close_idle(self) -> int:
        """Close the sessions with nothing in progress; return their number."""
        return sum(session.close_if_idle() for session in list(self.sessions))

    def abort_transactions(self, reason: str) -> None:
        """Roll back the open transactions that have no statement in progress."""
        for session in list(self.sessions):
            session.abort_transaction(reason)

    def _follow_configuration(self) -> None:
        """End the sessions whose keys a new version of the configuration withdraws."""
        while True:
            version = self._state.catalog.version
            for session in list(self.sessions):
                # A caller that does not read must not delay the others.
                gevent.spawn(session.end_if_unauthorized)
            while version == self._state.catalog.version:
                self._state.catalog_changed.wait(CONFIGURATION_CHECK_INTERVAL.total_seconds())

    def _serve(self, sock: gevent.socket.socket, address: Address) -> None:
        if len(self.sessions) >= self._max_sessions:
            log_event("session_refused", reason="too many sessions", open=len(self.sessions))
            sock.close()
            return
        session = CallerSession(sock, self._state, self._router, self._metrics, self._limits)
        self.sessions.add(session)
        try:
            session.serve()
        finally:
            self.sessions.discard(session)
