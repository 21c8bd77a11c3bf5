"""Tokens: signed marks that a caller carries from one VM to another."""

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
# Rejects oversized input before it is decoded; a token with the longest names is under 512 bytes.
_MAX_TOKEN_LENGTH = 1024


def _encode(raw: bytes) -> str:
    return base64.urlsafe_b64encode(raw).rstrip(b"=").decode("ascii")


def _decode(text: str) -> bytes:
    return base64.b64decode(text + "=" * (-len(text) % 4), altchars=b"-_", validate=True)


def _sign(secret: bytes, key_id: str, body: str) -> bytes:
    return hmac.digest(secret, f"{_VERSION}.{key_id}.{body}".encode(), hashlib.sha256)


@handles(TokenKeysChanged)
def replace_keys(world: World, message: TokenKeysChanged) -> None:
    """Replace all token keys by those of the message."""
    tables = world.tables(SessionTables)
    tables.keys.by_id.clear()
    for key in message.keys:
        tables.keys.add(key.id, key)
    tables.signing = message.signing


def issue_token(world: World, database: DatabaseId, mark: Mark) -> str:
    """Return a token `b1.KEY.BODY.MAC` for the mark; empty if there is no signing key."""
    tables = world.tables(SessionTables)
    key = tables.keys.get(tables.signing)
    if key is None:
        return ""
    body = _encode(f"{database}\n{mark.term}\n{mark.position}".encode())
    return f"{_VERSION}.{key.id}.{body}.{_encode(_sign(key.secret, key.id, body))}"


def session_token(world: World, session: Session) -> str:
    """Return the token to report to the session's caller, or an empty string without a mark.

    An unreported lost entry goes into the token instead of the newest mark, so that the VM that
    the caller roams to can report the loss. A user without write permission gets no token.
    """
    mark = session.lost_mark if session.lost_mark is not None else session.mark
    if mark is None or not session.writes:
        return ""
    return issue_token(world, session.database, mark)


def verify_token(world: World, token: str, database: DatabaseId) -> Result[Mark, Problem]:
    """Return the mark of a valid token of `database`, else BAD_SETTING.

    The signature is checked before the body is decoded.
    """
    parts = token.split(".")
    if len(token) > _MAX_TOKEN_LENGTH or len(parts) != 4 or parts[0] != _VERSION:
        return _invalid_token("not a token")
    _, key_id, body, mac = parts
    key = world.tables(SessionTables).keys.get(key_id)
    if key is None:
        return _invalid_token("signed with a key that is not in force")
    try:
        signature_matches = hmac.compare_digest(_decode(mac), _sign(key.secret, key_id, body))
        if not signature_matches and world.rules.on("token_signature"):
            return _invalid_token("signature does not match")
        token_database, term, position = _decode(body).decode().split("\n")
        mark = Mark(int(term), int(position))
    except (binascii.Error, ValueError):
        return _invalid_token("not a token")
    if token_database != database and world.rules.on("token_database"):
        return _invalid_token("issued for another database")
    return Success(mark)


def _invalid_token(reason: str) -> Result[Mark, Problem]:
    return Failure(Problem(ErrorKind.BAD_SETTING, f"bramleyrill.token: {reason}"))
