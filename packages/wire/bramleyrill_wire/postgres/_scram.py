"""SCRAM-SHA-256 authentication as server and as client, based on scramp."""

import base64
import binascii
import hashlib
import hmac

from attrs import define, field, frozen
from bramleyrill_base import ErrorKind, Problem
from returns.result import Failure, Result, Success
from scramp import ScramClient, ScramException, ScramMechanism

from bramleyrill_wire.postgres import _build
from bramleyrill_wire.postgres._frames import FrameError

MECHANISM = "SCRAM-SHA-256"

_SCRAM = ScramMechanism(MECHANISM)
_ITERATIONS = 4096  # PostgreSQL's default
_PLACEHOLDER_USER = "caller"


@frozen
class Verifier:
    """SCRAM verifier of a password, as a server stores it."""

    iterations: int
    salt: bytes
    stored_key: bytes
    server_key: bytes

    def text(self) -> str:
        """Return the verifier in the text format that PostgreSQL stores."""
        salt, stored, server = (
            base64.b64encode(part).decode()
            for part in (self.salt, self.stored_key, self.server_key)
        )
        return f"{MECHANISM}${self.iterations}:{salt}${stored}:{server}"


def read_verifier(text: str) -> Verifier:
    """Parse `SCRAM-SHA-256$ITERATIONS:SALT$STORED:SERVER`; raise ValueError if it is malformed."""
    try:
        mechanism, costs, keys = text.split("$")
        iterations, salt = costs.split(":")
        stored, server = keys.split(":")
        if mechanism != MECHANISM:
            raise ValueError
        decoded = [base64.b64decode(part, validate=True) for part in (salt, stored, server)]
        return Verifier(int(iterations), *decoded)
    except (ValueError, binascii.Error):
        raise ValueError("not a SCRAM-SHA-256 verifier") from None


def make_verifier(password: str, salt: bytes | None = None) -> Verifier:
    """Derive the verifier of a password; this takes a few milliseconds of CPU time."""
    salt, stored, server, iterations = _SCRAM.make_auth_info(password, _ITERATIONS, salt)
    return Verifier(iterations, salt, stored, server)


def mock_verifier(user: str, secret: bytes) -> Verifier:
    """Return a verifier that no password matches, always the same for a given user.

    Unknown users are authenticated against it, so that the messages do not reveal which user
    names exist.
    """
    digest = hmac.new(secret, user.encode(), hashlib.sha512).digest()
    return Verifier(_ITERATIONS, digest[:16], digest[:32], digest[32:])


class ScramServerLogin:
    """Server side of one SCRAM login, checked against a verifier.

    Example: `login.handle_client_first(client_first)` gives the server's first message, then
    `login.handle_client_final(client_final)` the final one, or a Failure with BAD_CREDENTIALS.
    """

    __slots__ = ("_server",)

    def __init__(self, verifier: Verifier) -> None:
        auth_info = (verifier.salt, verifier.stored_key, verifier.server_key, verifier.iterations)
        self._server = _SCRAM.make_server(lambda _: auth_info)

    def handle_client_first(self, client_first: bytes) -> Result[bytes, Problem]:
        """Handle the client's first message and return the server's first message."""
        try:
            text = client_first.decode()
            header, bare = _split_client_first(text)
            # libpq sends an empty user name, since the startup packet has it, but scramp rejects
            # one. The client's proof covers the message as it was sent, so `bare` is restored.
            bare_with_user = (
                bare.replace("n=,", f"n={_PLACEHOLDER_USER},", 1)
                if bare.startswith("n=,")
                else bare
            )
            self._server.set_client_first(header + bare_with_user)
            self._server.client_first_bare = bare
            return Success(self._server.get_server_first().encode())
        except (ScramException, ValueError) as error:
            return Failure(Problem(ErrorKind.PROTOCOL_VIOLATION, f"SCRAM: {error}"))

    def handle_client_final(self, client_final: bytes) -> Result[bytes, Problem]:
        """Check the client's proof and return the server's final message."""
        try:
            self._server.set_client_final(client_final.decode())
            return Success(self._server.get_server_final().encode())
        except (ScramException, ValueError):
            return Failure(Problem(ErrorKind.BAD_CREDENTIALS))


def _split_client_first(text: str) -> tuple[str, str]:
    flag, name, bare = text.split(",", 2)
    return f"{flag},{name},", bare


@define
class ClientLogin:
    """Client side of authentication: responds to each authentication frame of the server.

    `answer(frame)` returns the bytes to send, or b"" if there is nothing to send; `done` is true
    once the server has accepted the login. It returns a Failure with BAD_CREDENTIALS if the
    server requests a method that is not supported here, or fails to prove that it knows the
    password's verifier.
    """

    user: str
    password: str = field(repr=False)
    clear_text: bool = False
    done: bool = False
    _scram: ScramClient | None = None
    _server_proved: bool = False

    def answer(self, frame: bytes) -> Result[bytes, Problem]:
        """Handle one authentication frame (type R) and return the bytes to send."""
        code = int.from_bytes(frame[5:9], "big")
        try:
            if code == 0:
                return self._accept()
            if code == 3 and self.clear_text:
                return Success(_build.password_message(self.password.encode() + b"\x00"))
            if code == 10 and MECHANISM.encode() in frame[9:].split(b"\x00"):
                self._scram = ScramClient([MECHANISM], self.user, self.password)
                first = self._scram.get_client_first().encode()
                return Success(_build.sasl_initial_response(MECHANISM, first))
            if code == 11 and self._scram:
                self._scram.set_server_first(frame[9:].decode())
                return Success(_build.password_message(self._scram.get_client_final().encode()))
            if code == 12 and self._scram:
                self._scram.set_server_final(frame[9:].decode())
                self._server_proved = True
                return Success(b"")
        except (ScramException, ValueError, FrameError) as error:
            return Failure(Problem(ErrorKind.BAD_CREDENTIALS, f"SCRAM: {error}"))
        return Failure(Problem(ErrorKind.BAD_CREDENTIALS, f"method {code} is not offered"))

    def _accept(self) -> Result[bytes, Problem]:
        # A server that ends SCRAM without its proof may be an impostor.
        if self._scram and not self._server_proved:
            return Failure(Problem(ErrorKind.BAD_CREDENTIALS, "the server gave no proof"))
        self.done = True
        return Success(b"")
