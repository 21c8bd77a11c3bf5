"""The platform's objects behind the interface of the core."""

from typing import Any

from bramleyrill_core.configuration import StoredObject, StoreUnreachable, VersionConflict
from bramleyrill_daemon.platform import Conflict, PlatformClient, PlatformError
from returns.result import Failure, Result, Success

MISSING = StoredObject(0, None)


class PlatformStore:
    """Adapt the HTTP client to `ObjectStore`."""

    def __init__(self, client: PlatformClient) -> None:
        self._client = client

    def get(self, kind: str, name: str) -> Result[StoredObject, StoreUnreachable]:
        """Read an object; one that is missing has version 0."""
        try:
            found = self._client.get(kind, name)
        except PlatformError as problem:
            return Failure(StoreUnreachable(str(problem)))
        return Success(StoredObject(found.version, found.value) if found else MISSING)

    def put(
        self, kind: str, name: str, expected_version: int, value: Any
    ) -> Result[int, VersionConflict | StoreUnreachable]:
        """Write an object if it has the expected version; return its new version."""
        try:
            written = self._client.put(kind, name, value, expected_version)
        except PlatformError as problem:
            return Failure(StoreUnreachable(str(problem)))
        if isinstance(written, Conflict):
            current = written.current
            found = StoredObject(current.version, current.value) if current else MISSING
            return Failure(VersionConflict(found))
        return Success(written.version)
