"""Client of the platform: objects with versions, watches, the list of VMs."""

import json
import urllib.parse
from collections.abc import Iterator
from datetime import timedelta
from typing import Any

import urllib3
from attrs import frozen
from bramleyrill_base import UNREADABLE, log_event, read_json

CALL_TIMEOUT = timedelta(seconds=3)
WATCH_TIMEOUT = timedelta(seconds=20)
# An object has up to one megabyte; a watch may return several objects.
MAX_ANSWER_BYTES = 16 * 1024 * 1024
# Concurrent calls of one VM: two watches, one list of VMs and one write.
MAX_CONNECTIONS = 4


# The fields that other writers fill.
_FOREIGN_FIELDS = frozenset({"value"})


class PlatformError(Exception):
    """The platform gave no valid answer; a write may or may not have taken effect."""


@frozen
class StoredObject:
    """A value with the version at which it was stored."""

    name: str
    version: int
    value: Any


@frozen
class Conflict:
    """A conditional write that failed; `current` is None if the object does not exist."""

    current: StoredObject | None


class PlatformClient:
    """Client of the platform's HTTP API; every method raises PlatformError on failure.

    Example: `client.put("text", "current", value, expected=0)`.
    """

    def __init__(self, url: str, timeout: timedelta = CALL_TIMEOUT) -> None:
        self._url = url.rstrip("/")
        self._timeout = timeout
        self._pool = urllib3.PoolManager(maxsize=MAX_CONNECTIONS, retries=False)

    def get(self, kind: str, name: str) -> StoredObject | None:
        """Return an object, or None if it does not exist."""
        status, body = self._call("GET", f"/objects/{kind}/{_quote(name)}")
        if status == 404:
            return None
        return _parse_object(name, _check_status(status, body, 200))

    def put(self, kind: str, name: str, value: Any, expected: int) -> StoredObject | Conflict:
        """Store a value if the object has version `expected`; 0 creates the object."""
        document = json.dumps({"version": expected, "value": value}).encode()
        status, body = self._call("PUT", f"/objects/{kind}/{_quote(name)}", document)
        if status == 409:
            current = body if isinstance(body, dict) and body.get("version") else None
            return Conflict(_parse_object(name, current) if current else None)
        return StoredObject(name, _required_version(_check_status(status, body, 200)), value)

    def watch(
        self, kind: str, after: int, timeout: timedelta = WATCH_TIMEOUT
    ) -> tuple[int, list[StoredObject]]:
        """Wait up to `timeout` for objects of a kind that are newer than version `after`.

        Return the newest version and the objects.
        """
        query = urllib.parse.urlencode({"after": after, "timeout": timeout.total_seconds()})
        status, body = self._call("GET", f"/watch/{kind}?{query}", wait=timeout)
        answer = _check_status(status, body, 200)
        version = _required_version(answer)
        objects = answer.get("objects", [])
        if not isinstance(objects, list):
            raise PlatformError("the objects in the answer are not a list")
        return version, list(_parse_objects(objects))

    def list_vms(self) -> list[Any]:
        """Return the platform's list of live and leaving VMs; its entries may be malformed."""
        vms = _check_status(*self._call("GET", "/vms", opaque_items=True), 200)
        if not isinstance(vms, list):
            raise PlatformError("the list of VMs is not a list")
        if vms and all(vm is UNREADABLE for vm in vms):
            # An empty list would mean that all VMs have left.
            raise PlatformError("no entry of the list of VMs can be read")
        return vms

    def _call(
        self,
        method: str,
        path: str,
        body: bytes | None = None,
        wait: timedelta = timedelta(),
        opaque_items: bool = False,
    ) -> tuple[int, Any]:
        timeout = urllib3.Timeout(
            connect=self._timeout.total_seconds(),
            read=(self._timeout + wait).total_seconds(),
        )
        headers = {"Content-Type": "application/json"} if body is not None else None
        try:
            response = self._pool.request(
                method,
                self._url + path,
                body=body,
                headers=headers,
                timeout=timeout,
                preload_content=False,
            )
            try:
                data = response.read(MAX_ANSWER_BYTES + 1)
            finally:
                response.release_conn()
            if len(data) > MAX_ANSWER_BYTES:
                raise PlatformError(f"{method} {path}: answer is too large")
            value = read_json(data, _FOREIGN_FIELDS, opaque_items) if data else None
            return response.status, value
        except (urllib3.exceptions.HTTPError, OSError, ValueError) as error:
            raise PlatformError(f"{method} {path}: {type(error).__name__}") from error


def _quote(name: str) -> str:
    # Slashes in a name must stay in one path segment.
    return urllib.parse.quote(name, safe="")


def _check_status(status: int, body: Any, expected: int) -> Any:
    if status != expected:
        raise PlatformError(f"unexpected HTTP status {status}")
    return body


def _required_field(body: Any, name: str) -> Any:
    if not isinstance(body, dict) or name not in body:
        raise PlatformError(f"answer lacks {name!r}")
    return body[name]


def _required_version(body: Any) -> int:
    version = _required_field(body, "version")
    if not isinstance(version, int) or isinstance(version, bool) or version < 0:
        raise PlatformError("the version in the answer is not a number")
    return version


def _parse_object(name: str, body: Any) -> StoredObject:
    return StoredObject(name, _required_version(body), _required_field(body, "value"))


def _parse_objects(items: list[Any]) -> Iterator[StoredObject]:
    """Yield the objects of a watch; a malformed one is left out."""
    for item in items:
        try:
            yield _parse_object(_required_field(item, "name"), item)
        except PlatformError as error:
            log_event("object_skipped", reason=error)
