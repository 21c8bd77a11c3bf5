"""Client of the stand-ins' admin interfaces."""

import json
from typing import Any

import urllib3


class AdminClient:
    """Send JSON requests to an admin port.

    Example: `AdminClient(port).post("members/a", freeze=True)`.
    """

    def __init__(self, port: int, host: str = "127.0.0.1") -> None:
        self._base = f"http://{host}:{port}/"
        self._pool = urllib3.PoolManager(timeout=10.0, retries=False)

    def get(self, path: str) -> Any:
        """Return the answer to a GET; raise ValueError on an error status."""
        return self._decode(self._pool.request("GET", self._base + path))

    def post(self, path: str, **body: Any) -> Any:
        """Return the answer to a POST of `body`; raise ValueError on an error status."""
        response = self._pool.request("POST", self._base + path, body=json.dumps(body))
        return self._decode(response)

    def _decode(self, response: urllib3.BaseHTTPResponse) -> Any:
        value = json.loads(response.data)
        if response.status >= 400:
            raise ValueError(value.get("error", response.status))
        return value
