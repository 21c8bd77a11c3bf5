"""Offer of a new text: a conditional update that survives lost answers and races."""

import base64
import zlib
from typing import Any, Protocol

from attrs import frozen
from returns.result import Failure, Result, Success

from bramleyrill_core.text import COMPRESS_ABOVE_BYTES

# One write and two reads after a lost answer; an operator repeats the command beyond that.
MOST_ATTEMPTS = 3


@frozen
class StoredObject:
    """An object of the platform with its version; version 0 stands for one that is missing."""

    version: int
    value: Any


@frozen
class VersionConflict:
    """The object has another version than the update expected."""

    current: StoredObject


@frozen
class StoreUnreachable:
    """No answer came; the update may have taken effect."""

    detail: str


class ObjectStore(Protocol):
    """The platform's objects, as far as the text needs them."""

    def get(self, kind: str, name: str) -> Result[StoredObject, StoreUnreachable]:
        """Read an object."""

    def put(
        self, kind: str, name: str, expected_version: int, value: Any
    ) -> Result[int, VersionConflict | StoreUnreachable]:
        """Write an object if it has the expected version; return its new version."""


def encode_value(identity: str, source: str) -> dict[str, str]:
    """Return the platform's value of a text; large sources are compressed."""
    plain = source.encode()
    if len(plain) <= COMPRESS_ABOVE_BYTES:
        return {"identity": identity, "source": source}
    packed = base64.b64encode(zlib.compress(plain)).decode()
    return {"identity": identity, "packed": packed}


def decode_value(value: dict[str, str]) -> tuple[str, str]:
    """Return identity and source of a platform's value."""
    if "packed" in value:
        source = zlib.decompress(base64.b64decode(value["packed"])).decode()
    else:
        source = value["source"]
    return value["identity"], source


def offer_text(
    store: ObjectStore, source: str, identity: str, base_version: int
) -> Result[int, VersionConflict | StoreUnreachable]:
    """Replace the text of `base_version` by `source` and return the accepted version.

    `identity` is new for each offer and is stored with the text. When an answer is lost, the
    object is read back: the same identity means that the update took effect. A conflict with the
    own identity is the echo of an earlier attempt, not a race.
    """
    value = encode_value(identity, source)
    problem: VersionConflict | StoreUnreachable = StoreUnreachable("no attempt was made")
    for _ in range(MOST_ATTEMPTS):
        written = store.put("text", "current", base_version, value)
        if isinstance(written, Success):
            return written
        problem = written.failure()
        current = _current(store, problem)
        if current is None:
            continue
        if current.version and decode_value(current.value)[0] == identity:
            return Success(current.version)
        if current.version != base_version:
            return Failure(VersionConflict(current))
    return Failure(problem)


def _current(
    store: ObjectStore, problem: VersionConflict | StoreUnreachable
) -> StoredObject | None:
    if isinstance(problem, VersionConflict):
        return problem.current
    return store.get("text", "current").value_or(None)
