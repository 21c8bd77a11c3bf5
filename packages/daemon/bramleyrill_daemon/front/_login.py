"""Startup of a caller's connection: encryption, identity, authentication."""

import hmac
import ssl

from bramleyrill_base import ErrorKind, Problem
from bramleyrill_core import World
from bramleyrill_core.text import ServiceSpec, UserSpec
from bramleyrill_wire import postgres as pg
from returns.result import Failure

from bramleyrill_daemon.front._caller import CallerSocket
from bramleyrill_daemon.front._identity import Identity, resolve_identity
from bramleyrill_daemon.front._replies import SessionEndError, protocol_violation

_PASSWORD_FRAME = ord("p")
# SASL messages of clients have fewer than 300 bytes.
_MAX_LOGIN_FRAME_BYTES = 4096
_MAX_ENCRYPTION_REQUESTS = 2


def negotiate_startup(
    caller: CallerSocket, tls: ssl.SSLContext | None
) -> pg.Startup | pg.CancelRequest | None:
    """Negotiate encryption and return the startup packet, or None if the caller closes first."""
    for _ in range(_MAX_ENCRYPTION_REQUESTS + 1):
        try:
            header = caller.receive_exactly(4)
        except ConnectionError:
            # Load balancers connect and close at once to check that the port is open.
            return None
        packet = header + caller.receive_exactly(pg.startup_length(header) - 4)
        startup = pg.read_startup(packet)
        if not isinstance(startup, pg.EncryptionRequest):
            return startup
        if startup.gss or tls is None or caller.is_tls:
            caller.send(b"N")
            continue
        # Bytes after the request came in clear text but would be handled as if they were encrypted.
        if caller.has_input():
            raise protocol_violation("data follows the request for TLS")
        caller.send(b"S")
        caller.start_tls(tls)
    raise protocol_violation("repeated requests for encryption")


def authenticate(
    world: World, caller: CallerSocket, startup: pg.Startup, mock_secret: bytes
) -> Identity:
    """Authenticate the caller and return its identity; raise SessionEndError on a refusal."""
    user = startup.parameters.get("user", "")
    if not user:
        raise SessionEndError(Problem(ErrorKind.BAD_IDENTITY, "startup names no user"))
    if startup.parameters.get("replication", "false") not in ("false", "off", "no", "0"):
        raise SessionEndError(Problem(ErrorKind.NOT_SUPPORTED, "replication"))
    encoding = startup.parameters.get("client_encoding", "UTF8").upper().replace("-", "")
    if encoding not in ("UTF8", "UNICODE", "AUTO"):
        raise SessionEndError(Problem(ErrorKind.BAD_SETTING, "client_encoding: write UTF8"))
    resolved = resolve_identity(world, user, startup.parameters.get("database", user))
    if isinstance(resolved, Failure):
        raise SessionEndError(resolved.failure())
    identity = resolved.unwrap()
    user_spec = identity.user if identity else None
    service = identity.service if identity else None
    if service is not None and service.caller_tls and not caller.is_tls:
        raise SessionEndError(
            Problem(ErrorKind.BAD_IDENTITY, f"service {service.name!r} requires TLS")
        )
    _check_password(caller, user_spec, service, user, mock_secret)
    if identity.database is None:
        raise SessionEndError(Problem(ErrorKind.UNKNOWN_DATABASE, identity.database_hint))
    return identity


def _check_password(
    caller: CallerSocket,
    user_spec: UserSpec | None,
    service: ServiceSpec | None,
    user: str,
    mock_secret: bytes,
) -> None:
    if (
        user_spec is not None
        and not user_spec.verifier
        and user_spec.password
        and service.clear_text_passwords
    ):
        caller.send(pg.AUTHENTICATION_CLEARTEXT)
        password = pg.read_password(_receive_password_frame(caller))
        if not hmac.compare_digest(password.encode(), user_spec.password.encode()):
            raise SessionEndError(Problem(ErrorKind.BAD_CREDENTIALS, f"user {user!r}"))
        return
    verifier = pg.mock_verifier(user, mock_secret)
    if user_spec is not None and user_spec.verifier:
        verifier = pg.read_verifier(user_spec.verifier)
    login = pg.ScramServerLogin(verifier)
    caller.send(pg.authentication_sasl())
    mechanism, first = pg.read_sasl_initial(_receive_password_frame(caller))
    if mechanism != "SCRAM-SHA-256":
        raise protocol_violation("SASL mechanism was not offered")
    reply = login.handle_client_first(first)
    if isinstance(reply, Failure):
        raise SessionEndError(reply.failure())
    caller.send(pg.authentication_sasl_continue(reply.unwrap()))
    reply = login.handle_client_final(_receive_password_frame(caller)[5:])
    if isinstance(reply, Failure):
        raise SessionEndError(Problem(reply.failure().kind, f"user {user!r}"))
    caller.send(pg.authentication_sasl_final(reply.unwrap()))


def _receive_password_frame(caller: CallerSocket) -> bytes:
    header = caller.receive_exactly(5)
    length = int.from_bytes(header[1:], "big")
    if header[0] != _PASSWORD_FRAME or not 4 <= length <= _MAX_LOGIN_FRAME_BYTES:
        raise protocol_violation("expected a password message")
    return header + caller.receive_exactly(length - 4)
