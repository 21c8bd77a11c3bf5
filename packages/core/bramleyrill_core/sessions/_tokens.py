"""Tokens: a mark signed for the caller to carry from one VM to another."""

import base64
import binascii
import hashlib
import hmac

from bramleyrill_base import ErrorKind, Problem
from returns.result import Failure, Result, Success

from bramleyrill_core._core import handles
from bramleyrill_core._values import DatabaseId, Mark
from bramleyrill_core._world import World
from bramleyrill_core.sessions._messages import TokenKeysChanged
from bramleyrill_core.sessions._tables import Session, SessionTables

_VERSION = "b1"
# Refuses oversized input before any decoding; a token of the longest names has under 512 bytes.
_MAX_TOKEN_LENGTH = 1024


def _encode(raw: bytes) -> str:
    return base64.urlsafe_b64encode(raw).rstrip(b"=").decode("ascii")


def _decode(text: str) -> bytes:
    return base64.b64decode(text + "=" * (-len(text) % 4), altchars=b"-_", validate=True)


def _sign(secret: bytes, key_id: str, body: str) -> bytes:
    return hmac.digest(secret, f"{_VERSION}.{key_id}.{body}".encode(), hashlib.sha256)


@handles(TokenKeysChanged)
def replace_keys(world: World, message: TokenKeysChanged) -> None:
    """Put the key ring of the message in force."""
    tables = world.tables(SessionTables)
    tables.keys.by_id.clear()
    for key in message.keys:
        tables.keys.add(key.id, key)
    tables.signing = message.signing


def issue_token(world: World, database: DatabaseId, mark: Mark) -> str:
    """Return a token for the mark, `b1.KEY.BODY.MAC`; empty while no signing key is known."""
    tables = world.tables(SessionTables)
    key = tables.keys.get(tables.signing)
    if key is None:
        return ""
    body = _encode(f"{database}\n{mark.term}\n{mark.position}".encode())
    return f"{_VERSION}.{key.id}.{body}.{_encode(_sign(key.secret, key.id, body))}"


def token_of(world: World, session: Session) -> str:
    """Return the token to report to a session's caller, or an empty text if nothing is known.

    A loss that the caller has not been told of goes into the token instead of the newest mark,
    so that the VM it roams to can tell it.
    """
    mark = session.lost if session.lost is not None else session.mark
    if mark is None or not session.writes:
        return ""
    return issue_token(world, session.database, mark)


def read_token(world: World, token: str, database: DatabaseId) -> Result[Mark, Problem]:
    """Return the mark of a token of `database`, or BAD_SETTING; the signature is checked first."""
    parts = token.split(".")
    if len(token) > _MAX_TOKEN_LENGTH or len(parts) != 4 or parts[0] != _VERSION:
        return _refuse("not a token")
    _, key_id, body, mac = parts
    key = world.tables(SessionTables).keys.get(key_id)
    if key is None:
        return _refuse("signed with a key that is not in force")
    try:
        genuine = hmac.compare_digest(_decode(mac), _sign(key.secret, key_id, body))
        if not genuine and world.rules.on("token_signature"):
            return _refuse("signature does not match")
        owner, term, position = _decode(body).decode().split("\n")
        mark = Mark(int(term), int(position))
    except (binascii.Error, ValueError):
        return _refuse("not a token")
    if owner != database and world.rules.on("token_database"):
        return _refuse("issued for another database")
    return Success(mark)


def _refuse(reason: str) -> Result[Mark, Problem]:
    return Failure(Problem(ErrorKind.BAD_SETTING, f"bramleyrill.token: {reason}"))
