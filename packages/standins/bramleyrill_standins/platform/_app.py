"""HTTP interfaces of the platform stand-in: the API that VMs use, and the admin port."""

import json
import urllib.parse
from collections import Counter
from collections.abc import Callable
from typing import Any

import gevent
from attrs import asdict, define

from bramleyrill_standins.platform._objects import ObjectStore, StoredObject, VmList

MAX_VALUE_BYTES = 1_000_000
MAX_BODY_BYTES = 2 * MAX_VALUE_BYTES
MAX_WATCH_S = 60.0
# Clients time out long before; the limit only bounds how long unanswered requests are kept.
SILENT_CALL_S = 120.0
Reply = tuple[str, Any]


@define
class PlatformSwitches:
    """Active faults: `outage` is `off`, `refuse` (503 at once) or `silent` (no answer).

    `slow` delays each call by that many seconds. `lose_answers` is the number of next writes that
    take effect without an answer; `answers_lost` counts those so far.
    """

    outage: str = "off"
    slow: float = 0.0
    lose_answers: int = 0
    answers_lost: int = 0


def _read_json(environ: dict[str, Any]) -> Any:
    size = int(environ.get("CONTENT_LENGTH") or 0)
    return json.loads(environ["wsgi.input"].read(size)) if size else {}


def _respond(start_response: Callable, reply: Reply) -> list[bytes]:
    status, answer = reply
    start_response(status, [("Content-Type", "application/json")])
    return [json.dumps(answer).encode()]


class ObjectApi:
    """WSGI application of the API that VMs use; `calls` counts calls by method, path and kind."""

    def __init__(self, store: ObjectStore, vms: VmList) -> None:
        self.store = store
        self.vms = vms
        self.switches = PlatformSwitches()
        self.calls: Counter[str] = Counter()

    def __call__(self, environ: dict[str, Any], start_response: Callable) -> list[bytes]:
        """Serve one request."""
        # PATH_INFO is already decoded, so the name may contain slashes.
        parts = environ["PATH_INFO"].lstrip("/").split("/", 2)
        method = environ["REQUEST_METHOD"]
        self.calls["/".join([method.lower(), *parts[:2]])] += 1
        if self.switches.slow:
            gevent.sleep(self.switches.slow)
        if self.switches.outage == "refuse":
            return _respond(start_response, ("503 Service Unavailable", {"error": "outage"}))
        if self.switches.outage == "silent":
            gevent.sleep(SILENT_CALL_S)
            return _respond(start_response, ("504 Gateway Timeout", {"error": "outage"}))
        try:
            reply = self._route(method, parts, environ)
        except (KeyError, ValueError, TypeError, AttributeError) as problem:
            reply = ("400 Bad Request", {"error": f"{type(problem).__name__}: {problem}"})
        return _respond(start_response, reply)

    def _route(self, method: str, parts: list[str], environ: dict[str, Any]) -> Reply:
        if parts == ["vms"] and method == "GET":
            return "200 OK", self.vms.visible_vms()
        if parts[0] == "watch" and len(parts) == 2 and method == "GET":
            return self._watch(parts[1], urllib.parse.parse_qs(environ["QUERY_STRING"]))
        if parts[0] == "objects" and len(parts) == 3:
            if method == "GET":
                stored = self.store.by_id.get((parts[1], parts[2]))
                return ("200 OK", asdict(stored)) if stored else ("404 Not Found", {})
            if method == "PUT":
                return self._put(parts[1], parts[2], environ)
        return "404 Not Found", {"error": "unknown path"}

    def _put(self, kind: str, name: str, environ: dict[str, Any]) -> Reply:
        too_large = ("413 Content Too Large", {"error": f"over {MAX_VALUE_BYTES} bytes"})
        if int(environ.get("CONTENT_LENGTH") or 0) > MAX_BODY_BYTES:
            return too_large
        body = _read_json(environ)
        value = body["value"]
        if len(json.dumps(value)) > MAX_VALUE_BYTES:
            return too_large
        stored = self.store.put(kind, name, int(body["version"]), value)
        if stored is None:
            current = self.store.by_id.get((kind, name))
            return "409 Conflict", asdict(current) if current else {}
        if self.switches.lose_answers > 0:
            self.switches.lose_answers -= 1
            self.switches.answers_lost += 1
            gevent.sleep(SILENT_CALL_S)
        return "200 OK", {"version": stored.version}

    def _watch(self, kind: str, query: dict[str, list[str]]) -> Reply:
        after = int(query.get("after", ["0"])[0])
        timeout = min(float(query.get("timeout", ["0"])[0]), MAX_WATCH_S)
        newer = self.store.wait_for_newer(kind, after, timeout)
        if self.switches.outage != "off":
            return "503 Service Unavailable", {"error": "outage"}
        objects = [_to_listed(name, stored) for name, stored in newer.items()]
        return "200 OK", {"version": self.store.version, "objects": objects}


def _to_listed(name: str, stored: StoredObject) -> dict[str, Any]:
    return {"name": name, "version": stored.version, "value": stored.value}


class PlatformAdmin:
    """WSGI application of the admin port: `GET /state`, `POST /switches`, `/vms` and `/reset`.

    The body of `POST /vms` is `{"lag": seconds, "vms": {id: fields or null}}`.
    """

    def __init__(self, api: ObjectApi) -> None:
        self._api = api

    def __call__(self, environ: dict[str, Any], start_response: Callable) -> list[bytes]:
        """Serve one request."""
        try:
            self._change(environ["PATH_INFO"].strip("/"), _read_json(environ))
            reply = ("200 OK", self._state())
        except (KeyError, ValueError, TypeError) as problem:
            reply = ("400 Bad Request", {"error": f"{type(problem).__name__}: {problem}"})
        return _respond(start_response, reply)

    def _change(self, path: str, body: dict[str, Any]) -> None:
        api = self._api
        if path == "switches":
            for name, value in body.items():
                kind = type(getattr(api.switches, name, None))
                if kind not in (str, float, int):
                    raise ValueError(f"unknown switch {name}")
                if name == "outage" and value not in ("off", "refuse", "silent"):
                    raise ValueError(f"outage={value!r}")
                setattr(api.switches, name, kind(value))
        elif path == "vms":
            api.vms.lag = float(body.get("lag", api.vms.lag))
            for vm, fields in body.get("vms", {}).items():
                api.vms.change(vm, fields)
        elif path == "reset":
            api.calls.clear()
            api.store.writes.clear()
        elif path != "state":
            raise KeyError(path)

    def _state(self) -> dict[str, Any]:
        store = self._api.store
        return {
            "version": store.version,
            "objects": {
                f"{kind}/{name}": stored.version for (kind, name), stored in store.by_id.items()
            },
            "switches": asdict(self._api.switches),
            "calls": dict(self._api.calls),
            "writes": dict(store.writes),
            "vm_lag": self._api.vms.lag,
        }
