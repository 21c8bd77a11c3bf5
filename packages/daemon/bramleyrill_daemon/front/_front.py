"""Caller side of the daemon: listener, sessions, cancel requests, time limits, draining."""

import itertools
import os
import secrets
import ssl
import traceback
from collections.abc import Callable
from datetime import timedelta

import gevent
import gevent.socket
from absl import logging
from attrs import frozen
from bramleyrill_base import ErrorKind, Problem, log_event
from bramleyrill_core import Rank, World, burn
from bramleyrill_core.admission import WorkClass
from bramleyrill_core.sessions import Session, SessionTables, apply_setting, open_session
from bramleyrill_core.text import Text
from bramleyrill_wire import postgres as pg
from gevent.server import StreamServer
from returns.result import Failure

from bramleyrill_daemon._transaction import Executor, TransactionClosed
from bramleyrill_daemon.front._caller import CallerSocket, disconnected_callers
from bramleyrill_daemon.front._entry_queue import EntryQueue
from bramleyrill_daemon.front._identity import Identity
from bramleyrill_daemon.front._limits import CoarseClock, FrontLimits
from bramleyrill_daemon.front._login import authenticate, negotiate_startup
from bramleyrill_daemon.front._replies import SessionEndError, error_frame
from bramleyrill_daemon.front._request import RequestRunner
from bramleyrill_daemon.front._session import CallerSession

BACKLOG = 1024
# Time for a caller to read its last message before its connection is closed.
LINGER_S = 1.0
KEEPALIVE_IDLE_S = 60
_SETTING_PREFIX = "bramleyrill."

# Parameters that upstreams report by default; drivers decode results according to them.
_STARTUP_PARAMETERS = b"".join(
    pg.parameter_status(name, value)
    for name, value in (
        ("server_version", "16.0"),
        ("server_encoding", "UTF8"),
        ("client_encoding", "UTF8"),
        ("DateStyle", "ISO, MDY"),
        ("IntervalStyle", "postgres"),
        ("TimeZone", "UTC"),
        ("integer_datetimes", "on"),
        ("standard_conforming_strings", "on"),
        ("is_superuser", "off"),
    )
)

RecordRequest = Callable[[Session, timedelta, bool], None]


@frozen
class RequestPolicy:
    """Deadline of the requests of one rank under one text."""

    text: Text
    rank: Rank
    deadline: timedelta


class Front:
    """Serve callers on one listening socket.

    `executor` opens transactions at holders. `tls` is the server's context, or None to refuse
    TLS. `record(session, latency, served)` is called at the end of each request; `served` is false
    for a refused request and for one of unknown outcome.

    Example: `front = Front(world, executor); host, port = front.start("127.0.0.1", 0)`.
    """

    def __init__(
        self,
        world: World,
        executor: Executor,
        limits: FrontLimits | None = None,
        tls: ssl.SSLContext | None = None,
        record: RecordRequest | None = None,
    ) -> None:
        self.world = world
        self.executor = executor
        self.limits = limits or FrontLimits()
        self.coarse_clock = CoarseClock()
        self.entry_queue = EntryQueue(world)
        self.record = record or self._record_request
        self.sessions: dict[int, CallerSession] = {}
        self._tls = tls
        self._runner = RequestRunner(self)
        self._handshakes: dict[gevent.Greenlet, float] = {}
        self._session_ids = itertools.count(1)
        self._request_ids = itertools.count(1)
        self._mock_verifier_secret = os.urandom(32)
        self._draining = False
        self._server: StreamServer | None = None
        self._sweeper: gevent.Greenlet | None = None

    def start(self, host: str, port: int) -> tuple[str, int]:
        """Listen and return host and port; raise OSError if the address cannot be bound."""
        self._server = StreamServer((host, port), self._serve, backlog=BACKLOG)
        self._server.start()
        self._sweeper = gevent.spawn(self._sweep)
        return self._server.server_host, self._server.server_port

    def stop_accepting(self) -> None:
        """Close the listening socket; existing sessions continue."""
        if self._server is not None:
            self._server.close()

    def drain(self) -> None:
        """Stop accepting, and end each session with 57P01 as soon as it is between transactions."""
        self._draining = True
        self.stop_accepting()
        for session_id in list(self.sessions):
            self.close_session(session_id)

    def close_session(self, session_id: int) -> None:
        """End a session with 57P01, now or at the end of its transaction."""
        session = self.sessions.get(session_id)
        if session is None or session.closing:
            return
        session.closing = True
        gevent.get_hub().loop.run_callback(self._end_if_idle, session)

    def stop(self) -> None:
        """Close all connections at once; for tests and after the drain timeout."""
        self.stop_accepting()
        if self._sweeper is not None:
            self._sweeper.kill()
        greenlets = [session.greenlet for session in self.sessions.values()]
        gevent.killall([*greenlets, *self._handshakes], SessionEndError, timeout=LINGER_S)

    @property
    def requests_in_flight(self) -> int:
        """Return the number of sessions that are running a request."""
        return sum(1 for session in self.sessions.values() if session.busy_since is not None)

    def idle_sessions(self) -> list[int]:
        """Return the ids of the sessions that are between transactions."""
        return [key for key, session in self.sessions.items() if session.between_requests]

    def end_idle_transactions(self) -> None:
        """End the sessions with 57P01 that wait for their caller inside a transaction."""
        for session in list(self.sessions.values()):
            gevent.get_hub().loop.run_callback(self._end_if_in_transaction, session)

    def _end_if_idle(self, session: CallerSession) -> None:
        """End a session that waits for input between requests.

        Runs in the hub, so that the session cannot read a request between the check and the throw.
        """
        if session.waiting_for_input and session.between_requests:
            session.greenlet.throw(SessionEndError(Problem(ErrorKind.SHUTTING_DOWN)))

    def _end_if_in_transaction(self, session: CallerSession) -> None:
        """End a session that waits for input inside a transaction; runs in the hub."""
        if session.waiting_for_input and not session.between_requests:
            session.greenlet.throw(SessionEndError(Problem(ErrorKind.SHUTTING_DOWN)))

    def next_request_id(self) -> int:
        """Return the id of a new request."""
        return next(self._request_ids)

    def policy_of(self, session: CallerSession) -> RequestPolicy:
        """Return the policy for the session's next request; cached until text or rank change."""
        row, text = session.row, self.world.text
        policy = session.policy
        if policy is None or policy.text is not text or policy.rank is not row.rank:
            service = text.services.get(row.database)
            ranks = service.ranks if service else {}
            deadline = (
                ranks[row.rank].deadline if row.rank in ranks else self.limits.default_deadline
            )
            policy = session.policy = RequestPolicy(text, row.rank, deadline)
        return policy

    def _serve(self, sock: gevent.socket.socket, _address: object) -> None:
        if len(self._handshakes) >= self.limits.handshakes:
            # Close it before its startup is read, to bound the number of half-open connections.
            sock.close()
            return
        caller = CallerSocket(sock, self.coarse_clock)
        greenlet = gevent.getcurrent()
        self._handshakes[greenlet] = self.coarse_clock.now
        session = None
        try:
            _set_socket_options(sock)
            session = self._log_in(caller)
            self._handshakes.pop(greenlet, None)
            if session is not None:
                session.greenlet = greenlet
                session.run()
        except SessionEndError as end:
            if end.problem is not None:
                caller.send_last_frame(error_frame(end.problem, "FATAL"), LINGER_S)
        except pg.FrameError as error:
            caller.send_last_frame(error_frame(error.problem, "FATAL"), LINGER_S)
        except (OSError, TransactionClosed):
            # The caller disconnected or its transaction was closed; its session is removed below.
            pass
        except Exception as error:
            log_event(
                "session_failed", logging.ERROR, error=repr(error), trace=traceback.format_exc()
            )
            caller.send_last_frame(error_frame(Problem(ErrorKind.INTERNAL), "FATAL"), LINGER_S)
        finally:
            self._handshakes.pop(greenlet, None)
            if session is not None:
                self._remove_session(session)
            caller.close()

    def _record_request(self, session: Session, latency: timedelta, served: bool) -> None:
        work_class = WorkClass(session.fleet, session.service, session.rank)
        burn.record_request(self.world, work_class, latency, served)

    def _remove_session(self, session: CallerSession) -> None:
        session.close_transaction()
        self.sessions.pop(session.row.id, None)
        self.world.tables(SessionTables).sessions.remove(session.row.id)

    def _log_in(self, caller: CallerSocket) -> CallerSession | None:
        """Do startup and login; return the session, or None if there is none to serve.

        There is none after a cancel request, or if the caller disconnected at once.
        """
        startup = negotiate_startup(caller, self._tls)
        if startup is None:
            return None
        if isinstance(startup, pg.CancelRequest):
            session = self.sessions.get(startup.pid)
            if session is not None and session.secret == startup.secret:
                session.cancel()
            return None
        if self._draining:
            raise SessionEndError(Problem(ErrorKind.SHUTTING_DOWN))
        if len(self.sessions) >= self.limits.sessions:
            raise SessionEndError(Problem(ErrorKind.NOT_RUN_OVERLOADED, "too many sessions"))
        if startup.minor or startup.unknown:
            caller.send(pg.negotiate_protocol_version(startup.unknown))
        identity = authenticate(self.world, caller, startup, self._mock_verifier_secret)
        session = self._open_session(caller, identity)
        try:
            self._apply_startup(session.row, startup)
            status = pg.parameter_status("session_authorization", identity.name)
            key = pg.backend_key_data(session.row.id, session.secret)
            ready = pg.ready_for_query(b"I")
            caller.send(pg.AUTHENTICATION_OK + _STARTUP_PARAMETERS + status + key + ready)
        except BaseException:
            self._remove_session(session)
            raise
        return session

    def _open_session(self, caller: CallerSocket, identity: Identity) -> CallerSession:
        session_id = next(self._session_ids)
        row = open_session(
            self.world,
            session_id,
            identity.fleet.name,
            identity.service.name,
            identity.database,
            identity.name,
        )
        splitter = pg.FrameSplitter(None, self.limits.frame_bytes)
        secret = secrets.randbits(32)
        session = CallerSession(self, self._runner, caller, row, secret, splitter)
        session.closing = self._draining
        self.sessions[session_id] = session
        return session

    def _apply_startup(self, row: Session, startup: pg.Startup) -> None:
        settings = dict(startup.settings)
        for name, value in startup.parameters.items():
            if name.startswith(_SETTING_PREFIX):
                settings[name] = value
        for name, value in settings.items():
            if not name.startswith(_SETTING_PREFIX):
                raise SessionEndError(Problem(ErrorKind.NOT_SUPPORTED, f"option {name!r}"))
            result = apply_setting(self.world, row, name, value)
            if isinstance(result, Failure):
                raise SessionEndError(result.failure())

    def _sweep(self) -> None:
        interval_s = self.limits.sweep_interval.total_seconds()
        while True:
            gevent.sleep(interval_s)
            self.coarse_clock.update()
            try:
                self._check_handshakes()
                self.entry_queue.tick()
                self._cancel_for_disconnected_callers()
                self._check_sessions()
            except Exception:
                log_event("sweep_failed", logging.ERROR, trace=traceback.format_exc())

    def _check_handshakes(self) -> None:
        started_before = self.coarse_clock.now - self.limits.handshake_timeout.total_seconds()
        overdue = [
            greenlet for greenlet, since in self._handshakes.items() if since < started_before
        ]
        for greenlet in overdue:
            problem = Problem(ErrorKind.PROTOCOL_VIOLATION, "startup took too long")
            self._handshakes.pop(greenlet, None)
            greenlet.kill(SessionEndError(problem), block=False)

    def _cancel_for_disconnected_callers(self) -> None:
        """Cancel requests whose caller has closed its connection."""
        # Skip requests that started since the last sweep, as most of them are short.
        started_before = self.coarse_clock.now - self.limits.sweep_interval.total_seconds() / 2
        sessions_by_fd = {
            session.caller.fileno(): session
            for session in self.sessions.values()
            if session.busy_since is not None
            and session.busy_since <= started_before
            and not session.caller_disconnected
        }
        sessions_by_fd.pop(-1, None)
        for session in disconnected_callers(sessions_by_fd) if sessions_by_fd else ():
            session.caller_disconnected = True
            session.cancel()

    def _check_sessions(self) -> None:
        now = self.coarse_clock.now
        blocked_before = now - self.limits.write_timeout.total_seconds()
        partial_before = now - self.limits.frame_timeout.total_seconds()
        idle_before = now - self.limits.idle_in_transaction_timeout.total_seconds()
        for session in list(self.sessions.values()):
            since = session.caller.blocked_since
            if since is not None and since < blocked_before:
                log_event("caller_cut_off", session=session.row.id, reason="unread_answer")
                session.greenlet.kill(SessionEndError(), block=False)
            elif session.waiting_for_input:
                since = session.partial_since
                if since is not None and since < partial_before:
                    problem = Problem(ErrorKind.PROTOCOL_VIOLATION, "the rest of a frame is late")
                    session.greenlet.kill(SessionEndError(problem), block=False)
                    continue
                since = session.idle_since
                if session.transaction is not None and since is not None and since < idle_before:
                    self._end_idle_transaction(session)

    def _end_idle_transaction(self, session: CallerSession) -> None:
        log_event("transaction_ended", session=session.row.id, reason="idle")
        problem = Problem(ErrorKind.NOT_RUN_ROLLED_BACK, "idle in transaction for too long")
        if session.status == b"I":
            session.greenlet.kill(SessionEndError(problem), block=False)
        else:
            session.fail_transaction(problem)


def _set_socket_options(sock: gevent.socket.socket) -> None:
    sock.setsockopt(gevent.socket.IPPROTO_TCP, gevent.socket.TCP_NODELAY, 1)
    sock.setsockopt(gevent.socket.SOL_SOCKET, gevent.socket.SO_KEEPALIVE, 1)
    sock.setsockopt(gevent.socket.IPPROTO_TCP, gevent.socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
