"""One connection to a member: startup, authentication, simple and extended query protocol."""

import json
import struct
import time
from collections import deque
from typing import TYPE_CHECKING

import gevent
from bramleyrill_base import answer_for
from bramleyrill_wire import postgres
from gevent import socket, ssl
from gevent.event import Event

from bramleyrill_standins.upstream import _frames as frames
from bramleyrill_standins.upstream._auth import authenticate
from bramleyrill_standins.upstream._errors import SqlError
from bramleyrill_standins.upstream._extended import EXTENDED_KINDS, ExtendedQuery
from bramleyrill_standins.upstream._link import serve_link
from bramleyrill_standins.upstream._session import DEFAULTS, Session
from bramleyrill_standins.upstream._sql import parse_all
from bramleyrill_standins.upstream._store import Result
from bramleyrill_standins.upstream._values import encode_row

if TYPE_CHECKING:
    from bramleyrill_standins.upstream._member import Member

FLUSH_BYTES = 65536
# Answers that the latency delays or a slow caller has not read. With more, the session waits before
# it runs the next statement.
MAX_IN_FLIGHT = 16
DRAIN_LIMIT_S = 1.0
IDLE_IN_TRANSACTION = SqlError(
    "25P03", "terminating connection due to idle-in-transaction timeout", fatal=True
)
REPORTED = ("server_version", "server_encoding", "client_encoding", "DateStyle", "TimeZone")
REPORTED += ("integer_datetimes", "standard_conforming_strings", "application_name")


class Backend:
    """Serve one connection.

    A `silent` connection stays open and reads messages, but answers nothing.
    """

    def __init__(self, member: "Member", sock: socket.socket, address: str) -> None:
        self.member = member
        self.pid = member.next_pid()
        self.secret = self.pid * 7919 % 2**31
        self.silent = member.switches.silence == "all"
        self.session: Session | None = None
        self._sock = sock
        self._peer_names: tuple[str, ...] = (address,)
        self._reader = frames.FrameReader(sock, self._delay)
        self._output = bytearray()
        self._in_flight: deque[tuple[float, bytes]] = deque()
        self._writer: gevent.Greenlet | None = None
        self._interrupt: SqlError | None = None
        self._interrupted = Event()
        self._busy = False
        self._user = ""
        self._skip_to_sync = False
        self._extended: ExtendedQuery | None = None

    def serve(self) -> None:
        """Serve the connection until either side closes it."""
        counted = False
        try:
            parameters = self._start_up()
            if parameters is None:
                return
            counted = self._admit(parameters)
            if counted:
                self._serve_messages()
        except SqlError as problem:
            self._send_error(problem, "FATAL")
        except postgres.FrameError as problem:
            sqlstate = answer_for(problem.problem).sqlstate
            self._send_error(SqlError(sqlstate, str(problem)), "FATAL")
        except (frames.ConnectionClosedError, OSError, ValueError, struct.error):
            pass
        finally:
            self._clean_up(counted)

    def close(self) -> None:
        """Roll back the open transaction and close the connection."""
        if self.session is not None:
            self.session.close()
        self._shut_down_socket()

    def terminate(self, sqlstate: str, message: str) -> None:
        """End the session: release its locks at once and send a FATAL error."""
        self._interrupt = SqlError(sqlstate, message, fatal=True)
        if self.session is not None:
            self.session.close()
        self._interrupted.set()
        if not self._busy:
            gevent.spawn(self._end_idle, self._interrupt)

    def cancel(self) -> None:
        """Cancel the running statement, if any."""
        if self._busy:
            self._interrupt = SqlError("57014", "canceling statement due to user request")
            self._interrupted.set()

    def activity(self) -> tuple[int, str, str, str]:
        """Return this connection's row of `pg_stat_activity`."""
        state = "active" if self._busy else "idle"
        if not self._busy and self.session.explicit:
            state = "idle in transaction"
        return self.pid, self._user, self.session.settings.get("application_name", ""), state

    def _end_idle(self, problem: SqlError) -> None:
        try:
            self._send_error(problem, "FATAL")
            self._drain()
        except OSError:
            pass
        self._shut_down_socket()

    def _shut_down_socket(self) -> None:
        # The peer of a silent connection must not see it close, unless the whole member is killed.
        if not self.silent or self.member.switches.killed:
            try:
                self._sock.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass

    def _start_up(self) -> dict[str, str] | None:
        """Return the startup parameters, or None after a replication link or a cancel request."""
        while True:
            packet = self._reader.read_startup()
            if int.from_bytes(packet[4:8], "big") == frames.LINK_REQUEST:
                serve_link(self.member, self._sock, json.loads(packet[8:]))
                return None
            request = postgres.read_startup(packet)
            if isinstance(request, postgres.EncryptionRequest):
                self._answer_encryption_request(request.gss)
            elif isinstance(request, postgres.CancelRequest):
                target = self.member.backends.get(request.pid)
                if target is not None and target.secret == request.secret:
                    target.cancel()
                return None
            else:
                return {**request.parameters, **request.settings}

    def _answer_encryption_request(self, gss: bool) -> None:
        settings = self.member.settings
        if gss or not settings.tls_certificate:
            self._sock.sendall(b"N")
            return
        context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
        context.load_cert_chain(settings.tls_certificate, settings.tls_key)
        self._sock.sendall(b"S")
        self._sock = context.wrap_socket(self._sock, server_side=True)
        self._reader.sock = self._sock

    def _admit(self, parameters: dict[str, str]) -> bool:
        member = self.member
        counters = member.counters
        self._user = parameters.get("user", "")
        self._peer_names += (self._user, parameters.get("application_name", ""))
        member.wait_until_reachable(self._peer_names)
        counters.connections_made += 1
        if counters.connections >= member.settings.connections:
            counters.connections_refused += 1
            raise SqlError("53300", "sorry, too many clients already")
        counters.connections += 1
        counters.connections_max = max(counters.connections_max, counters.connections)
        try:
            self._authenticate(parameters)
        except BaseException:
            counters.connections -= 1
            raise
        return True

    def _authenticate(self, parameters: dict[str, str]) -> None:
        member = self.member
        if member.settings.dial:
            gevent.sleep(member.settings.dial)
        authenticate(member.settings, self._user, self._reader, self._send)
        settings = {**DEFAULTS, **{name.lower(): value for name, value in parameters.items()}}
        self.session = Session(member, self.pid, settings, self._pause)
        self._extended = ExtendedQuery(member, self.session, self._append, self._send_rows)
        member.backends[self.pid] = self
        for name in REPORTED:
            self._output += postgres.parameter_status(name, self.session.settings[name.lower()])
        self._output += postgres.backend_key_data(self.pid, self.secret)
        self._output += postgres.ready_for_query(b"I")
        self._flush()

    def _clean_up(self, counted: bool) -> None:
        self.member.backends.pop(self.pid, None)
        if counted:
            self.member.counters.connections -= 1
        if self.session is not None:
            self.session.close()
        self._drain()
        self._sock.close()

    def _serve_messages(self) -> None:
        while True:
            limit = self.member.settings.idle_in_transaction
            if limit and self.session.explicit:
                with gevent.Timeout(limit, IDLE_IN_TRANSACTION):
                    kind, body = self._reader.read_message()
            else:
                kind, body = self._reader.read_message()
            if self.silent:
                continue
            self.member.wait_until_reachable(self._peer_names)
            if self._interrupt is not None and self._interrupt.fatal:
                raise self._interrupt
            if kind == b"X":
                return
            self._busy = True
            try:
                self._handle(kind, body)
            finally:
                self._busy = False
                if self._interrupt is not None and not self._interrupt.fatal:
                    self._interrupt = None
                    self._interrupted.clear()

    def _handle(self, kind: bytes, body: bytes) -> None:
        if kind == b"Q":
            self._query(frames.read_cstring(body)[0])
        elif kind == b"S":
            self._sync()
        elif kind == b"H":
            self._flush()
        elif kind in EXTENDED_KINDS:
            if self._skip_to_sync:
                return
            try:
                self._extended.handle(kind, body)
            except SqlError as problem:
                if problem.fatal:
                    raise
                self._skip_to_sync = True
                self.session.fail()
                self._output += postgres.error_response(problem.sqlstate, problem.message)
        # COPY data and function calls (d, c, f, F) are ignored.
        elif kind not in b"dcfF":
            raise SqlError("08P01", f"invalid frontend message type {kind[0]}")

    def _query(self, source: str) -> None:
        statements = parse_all(source)
        if not statements:
            self._output += postgres.EMPTY_QUERY
        try:
            for number, statement in enumerate(statements, 1):
                result = self.session.run(statement, {}, alone=number == len(statements))
                if result.columns:
                    self._output += frames.row_description(result.columns)
                self._send_rows(result, result.rows, (0,))
                self._output += postgres.command_complete(result.tag)
        except SqlError as problem:
            if problem.fatal:
                raise
            self._output += postgres.error_response(problem.sqlstate, problem.message)
        self._output += postgres.ready_for_query(self.session.status)
        self._flush()

    def _sync(self) -> None:
        try:
            if not self._skip_to_sync:
                self.session.commit_implicit()
        except SqlError as problem:
            self._output += postgres.error_response(problem.sqlstate, problem.message)
        self._skip_to_sync = False
        if not self.session.explicit:
            self._extended.close_portals()
        self._output += postgres.ready_for_query(self.session.status)
        self._flush()

    def _send_rows(self, result: Result, rows: list, formats: tuple[int, ...]) -> None:
        for row in rows:
            self._output += postgres.data_row(encode_row(row, result.columns, formats))
            if len(self._output) > FLUSH_BYTES:
                self._flush()

    def _send_error(self, problem: SqlError, severity: str) -> None:
        self._output += postgres.error_response(
            problem.sqlstate, problem.message, severity=severity
        )
        self._flush()

    def _append(self, data: bytes) -> None:
        self._output += data

    def _send(self, data: bytes) -> None:
        self._output += data
        self._flush()

    def _flush(self) -> None:
        data = bytes(self._output)
        self._output.clear()
        latency = self.member.settings.latency_of(self._peer_names)
        if not latency and self._writer is None:
            self._transmit(data)
            return
        # Answers in flight do not delay the next statement, as on a real network.
        self._in_flight.append((time.monotonic() + latency, data))
        if self._writer is None:
            self._writer = self.member.spawn(self._write_in_flight)
        while len(self._in_flight) > MAX_IN_FLIGHT:
            gevent.sleep(latency)

    def _write_in_flight(self) -> None:
        try:
            while self._in_flight:
                due, data = self._in_flight.popleft()
                gevent.sleep(max(0.0, due - time.monotonic()))
                self._transmit(data)
        except OSError:
            self._in_flight.clear()
        finally:
            self._writer = None

    def _drain(self) -> None:
        """Wait for answers in flight, so that the caller gets the last one before the close."""
        if self._writer is not None:
            self._writer.join(DRAIN_LIMIT_S)

    def _transmit(self, data: bytes) -> None:
        self.member.wait_until_reachable(self._peer_names)
        if not self.silent and data:
            self._sock.sendall(data)

    def _delay(self) -> None:
        latency = self.member.settings.latency_of(self._peer_names)
        if latency:
            gevent.sleep(latency)

    def _pause(self, seconds: float) -> None:
        if seconds > 0:
            self._interrupted.wait(seconds)
        if self._interrupt is not None:
            raise self._interrupt
        self.member.wait_until_reachable(())
