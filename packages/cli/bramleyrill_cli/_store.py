"""Adapter from the platform's HTTP client to the object store interface of the core."""

from typing import Any

from bramleyrill_core.configuration import StoredObject, StoreUnreachable, VersionConflict
from bramleyrill_daemon.platform import Conflict, PlatformClient, PlatformError
from returns.result import Failure, Result, Success

MISSING_OBJECT = StoredObject(0, None)


class PlatformStore:
    """An `ObjectStore` backed by the platform's HTTP client."""

    def __init__(self, client: PlatformClient) -> None:
        self._client = client

    def get(self, kind: str, name: str) -> Result[StoredObject, StoreUnreachable]:
        """Return an object; a missing one has version 0."""
        try:
            stored = self._client.get(kind, name)
        except PlatformError as error:
            return Failure(StoreUnreachable(str(error)))
        return Success(StoredObject(stored.version, stored.value) if stored else MISSING_OBJECT)

    def put(
        self, kind: str, name: str, expected_version: int, value: Any
    ) -> Result[int, VersionConflict | StoreUnreachable]:
        """Write an object if its version is `expected_version`; return the new version."""
        try:
            result = self._client.put(kind, name, value, expected_version)
        except PlatformError as error:
            return Failure(StoreUnreachable(str(error)))
        if isinstance(result, Conflict):
            current = result.current
            stored = StoredObject(current.version, current.value) if current else MISSING_OBJECT
            return Failure(VersionConflict(stored))
        return Success(result.version)
