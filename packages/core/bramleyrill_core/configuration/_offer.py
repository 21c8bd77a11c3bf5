"""Offer of a new text to the platform: a conditional update, safe with lost answers and races."""

import base64
from typing import Any, Protocol

from attrs import frozen
from returns.result import Failure, Result, Success

from bramleyrill_core.configuration._packing import pack_source, unpack_source
from bramleyrill_core.text import COMPRESS_ABOVE_BYTES

# Enough for a write and two repetitions after lost answers; then the operator repeats the command.
MAX_ATTEMPTS = 3


@frozen
class StoredObject:
    """An object of the platform and its version; version 0 means that it does not exist."""

    version: int
    value: Any


@frozen
class VersionConflict:
    """The object does not have the version that the update expected."""

    current: StoredObject


@frozen
class StoreUnreachable:
    """The platform did not answer; the update may have taken effect."""

    detail: str


class ObjectStore(Protocol):
    """Access to the objects of the platform that hold the text."""

    def get(self, kind: str, name: str) -> Result[StoredObject, StoreUnreachable]:
        """Read an object."""

    def put(
        self, kind: str, name: str, expected_version: int, value: Any
    ) -> Result[int, VersionConflict | StoreUnreachable]:
        """Write an object if it has the expected version; return the new version."""


def encode_value(identity: str, source: str) -> dict[str, str]:
    """Return the value that stores a text on the platform; large sources are compressed."""
    if len(source.encode()) <= COMPRESS_ABOVE_BYTES:
        return {"identity": identity, "source": source}
    packed = base64.b64encode(pack_source(source)).decode()
    return {"identity": identity, "packed": packed}


def decode_value(value: Any) -> tuple[str, str]:
    """Return the identity and the source stored in a value of the platform.

    Raise ValueError if the value is malformed; another writer may have left it.
    """
    try:
        identity, source = value["identity"], value.get("source")
        if "packed" in value:
            source = unpack_source(base64.b64decode(value["packed"]))
    except (KeyError, TypeError, AttributeError) as error:
        raise ValueError(f"malformed value of a text: {error!r}") from error
    if not isinstance(identity, str) or not isinstance(source, str):
        raise ValueError("malformed value of a text: identity or source is missing")
    return identity, source


def offer_text(
    store: ObjectStore, source: str, identity: str, base_version: int
) -> Result[int, VersionConflict | StoreUnreachable]:
    """Replace the text of `base_version` by `source` and return its new version.

    `identity` must be unique to this offer; it is stored with the text. After a lost answer the
    object is read back, and the same identity means that the update took effect. A conflict with
    this identity likewise comes from an earlier attempt of this offer and not from a race.
    """
    value = encode_value(identity, source)
    failure: VersionConflict | StoreUnreachable = StoreUnreachable("no attempt was made")
    for _ in range(MAX_ATTEMPTS):
        result = store.put("text", "current", base_version, value)
        if isinstance(result, Success):
            return result
        failure = result.failure()
        current = _read_current(store, failure)
        if current is None:
            continue
        if _has_identity(current, identity):
            return Success(current.version)
        if current.version != base_version:
            return Failure(VersionConflict(current))
    return Failure(failure)


def _has_identity(stored: StoredObject, identity: str) -> bool:
    """Return whether an object was written by the offer `identity`."""
    if not stored.version:
        return False
    try:
        return decode_value(stored.value)[0] == identity
    except ValueError:
        # Another writer left it, so it is a conflict.
        return False


def _read_current(
    store: ObjectStore, failure: VersionConflict | StoreUnreachable
) -> StoredObject | None:
    if isinstance(failure, VersionConflict):
        return failure.current
    return store.get("text", "current").value_or(None)
