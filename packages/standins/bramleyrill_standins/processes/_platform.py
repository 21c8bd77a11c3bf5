"""The platform stand-in as a process."""

import json
from typing import Any

import urllib3

from bramleyrill_standins.processes._admin import AdminClient
from bramleyrill_standins.processes._process import Process

CALL_TIMEOUT_S = 5.0


class Platform:
    """A running platform stand-in and its admin client.

    Example: `platform.put("text", "current", {...}, expected=0)`.
    """

    def __init__(self) -> None:
        self.process = Process("bramleyrill_standins.platform")
        self.url = f"http://127.0.0.1:{self.process.ready_info['port']}"
        self.admin = AdminClient(self.process.ready_info["admin_port"])
        self._pool = urllib3.PoolManager(timeout=CALL_TIMEOUT_S, retries=False)

    def call(self, method: str, path: str, body: Any = None) -> tuple[int, Any]:
        """Return status and body of an API call."""
        data = None if body is None else json.dumps(body)
        response = self._pool.request(method, f"{self.url}/{path}", body=data)
        return response.status, json.loads(response.data)

    def put(self, kind: str, name: str, value: Any, expected: int = 0) -> int:
        """Store an object whose version is `expected` (0 for a new one); return the new version.

        Raises ValueError if the platform refuses it, such as after a concurrent write.
        """
        body = {"version": expected, "value": value}
        status, answer = self.call("PUT", f"objects/{kind}/{name}", body)
        if status != 200:
            raise ValueError(f"{kind}/{name}: status {status}")
        return answer["version"]

    def get(self, kind: str, name: str) -> dict[str, Any] | None:
        """Return version and value of an object, or None if there is none."""
        status, answer = self.call("GET", f"objects/{kind}/{name}")
        return answer if status == 200 else None

    def switch(self, **changes: Any) -> dict[str, Any]:
        """Change fault switches and return the platform's state."""
        return self.admin.post("switches", **changes)

    def state(self) -> dict[str, Any]:
        """Return the versions of objects, the switches and the call counts."""
        return self.admin.get("state")

    def set_vms(self, **fields_by_id: dict[str, Any] | None) -> None:
        """Add or change VMs in the platform's list; None removes a VM."""
        self.admin.post("vms", vms=fields_by_id)

    def stop(self) -> None:
        """Stop the process."""
        self.process.stop()
