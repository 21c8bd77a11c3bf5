"""Admin interface of an upstream process: HTTP with JSON bodies.

`GET /members` returns status, settings and counters of every member. `POST /members/NAME` changes
switches and settings, `POST /members/NAME/reset` clears the counters, `GET /members/NAME/applied`
returns how often each write id was applied. `POST /peers` adds addresses of members in other
processes.
"""

import json
from collections.abc import Callable
from typing import Any

from attrs import asdict
from gevent import pywsgi

from bramleyrill_standins.upstream._log import STATUS_COLUMNS
from bramleyrill_standins.upstream._member import Member
from bramleyrill_standins.upstream._settings import Counters

# Settings that can be changed while the member runs.
CHANGEABLE_SETTINGS = ("lag", "dial", "connections", "service", "latency", "idle_in_transaction")


class Admin:
    """WSGI application that answers admin requests for the members of this process."""

    def __init__(self, members: dict[str, Member], peers: dict[str, tuple[str, int]]) -> None:
        self._members = members
        self._peers = peers

    def __call__(self, environ: dict[str, Any], start_response: Callable) -> list[bytes]:
        """Serve one request."""
        parts = environ["PATH_INFO"].strip("/").split("/")
        size = int(environ.get("CONTENT_LENGTH") or 0)
        body = json.loads(environ["wsgi.input"].read(size)) if size else {}
        try:
            status, answer = "200 OK", self._answer(environ["REQUEST_METHOD"], parts, body)
        except (KeyError, ValueError, TypeError) as problem:
            status, answer = "400 Bad Request", {"error": f"{type(problem).__name__}: {problem}"}
        start_response(status, [("Content-Type", "application/json")])
        return [json.dumps(answer).encode()]

    def _answer(self, method: str, parts: list[str], body: dict[str, Any]) -> Any:
        if parts == ["members"]:
            return {name: describe(member) for name, member in self._members.items()}
        if parts == ["peers"] and method == "POST":
            for name, (host, port) in body.items():
                self._peers[name] = (host, int(port))
            return {}
        if parts[0] != "members":
            raise KeyError(parts[0])
        member = self._members[parts[1]]
        action = parts[2] if len(parts) > 2 else ""
        if action == "applied":
            return member.counters.applied_by_id
        if action == "reset":
            reset_counters(member)
        elif method == "POST":
            apply_changes(member, body)
        return describe(member)


def describe(member: Member) -> dict[str, Any]:
    """Return status, address, switches and counters of a member."""
    counters = asdict(member.counters)
    counters["applied_ids"] = len(counters.pop("applied_by_id"))
    switches = asdict(member.switches)
    switches["cut"] = sorted(switches["cut"])
    return {
        "status": dict(zip(STATUS_COLUMNS, member.log.status(), strict=True)),
        "port": member.port,
        "switches": switches,
        "settings": {name: getattr(member.settings, name) for name in CHANGEABLE_SETTINGS},
        "counters": counters,
    }


def reset_counters(member: Member) -> None:
    """Reset the counters of past events; open connections and running statements stay counted."""
    old = member.counters
    member.counters = Counters(
        connections=old.connections,
        connections_max=old.connections,
        statements_now=old.statements_now,
        statements_max=old.statements_now,
        applied_by_id=old.applied_by_id,
    )


def apply_changes(member: Member, changes: dict[str, Any]) -> None:
    """Set switches and settings; raise ValueError for an unknown name or value.

    `silence` is `off`, `all` (open and new connections) or `existing` (only those open now).
    """
    switches = member.switches
    for name, value in changes.items():
        if name in CHANGEABLE_SETTINGS:
            setattr(member.settings, name, type(getattr(member.settings, name))(value))
        elif name == "latency_by_peer":
            member.settings.latency_by_peer = {peer: float(s) for peer, s in value.items()}
        elif name == "kill":
            (member.kill if value else member.restart)()
        elif name == "freeze":
            switches.frozen = bool(value)
        elif name == "slow":
            switches.slow = float(value)
        elif name == "cut":
            switches.cut = frozenset(value)
        elif name == "silence" and value in ("off", "all", "existing"):
            switches.silence = "all" if value == "all" else "off"
            if value != "off":
                member.silence_existing()
        else:
            raise ValueError(f"unknown switch or value: {name}={value!r}")


def start_admin(
    members: dict[str, Member], peers: dict[str, tuple[str, int]], host: str, port: int
) -> pywsgi.WSGIServer:
    """Start the admin interface and return its server; `server_port` is its port."""
    server = pywsgi.WSGIServer((host, port), Admin(members, peers), log=None)
    server.start()
    return server
