"""The platform's object store and its failover call, which appoints a primary, over HTTP."""

import json
from typing import Any
from urllib.parse import parse_qs

import gevent
from attrs import define, field, frozen
from gevent.event import Event
from gevent.pywsgi import WSGIHandler, WSGIServer

from bramleyrill_standins.prepared._group import LineGroup


@frozen
class RawValue:
    """The bytes of a value as another writer left them, which need not be JSON."""

    data: bytes


@define(eq=False)
class _StoredObject:
    name: str
    created: int
    revision: int
    value: Any

    def to_body(self) -> dict[str, Any]:
        meta = {
            "name": self.name,
            "revision": self.revision,
            "createdRev": self.created,
            "finalizers": [],
            "deletionPending": False,
        }
        return {"meta": meta, "spec": self.value, "status": None}


@frozen
class StoreCopy:
    """Copy of the store's objects and history, from which it can be restored."""

    revision: int
    oldest_revision: int
    objects: dict[tuple[str, str], _StoredObject] = field(repr=False)
    history: list[tuple[int, str, _StoredObject, bool]] = field(repr=False)


@define(eq=False)
class PreparedPlatform:
    """HTTP server with objects by kind and name under one revision counter, and the failover call.

    Every answer tells the `era`, which `restore` raises; with None it tells none, like a platform
    that is never restored. While `unavailable` is set, every call is answered with 503. With
    `lose_answers`, writes take effect but the connection is closed without an answer. With
    `checks_tokens`, an order with a lower fencing token than an earlier one is refused.
    `appointments` records successful failover calls as (service, member, lease holder, fencing
    token).
    """

    groups_by_service: dict[str, LineGroup] = field(factory=dict)
    revision: int = 1
    era: int | None = 1
    unavailable: bool = False
    lose_answers: bool = False
    checks_tokens: bool = True
    appointments: list[tuple[str, str, str, int]] = field(factory=list)
    _objects: dict[tuple[str, str], _StoredObject] = field(factory=dict)
    _history: list[tuple[int, str, _StoredObject, bool]] = field(factory=list)
    _oldest_revision: int = 0
    _changed: Event = field(factory=Event)
    _server: WSGIServer | None = None

    def start(self) -> tuple[str, int]:
        """Listen and return the address."""
        self._server = WSGIServer(
            ("127.0.0.1", 0),
            self._serve,
            log=None,
            error_log=None,
            handler_class=self._handler_class(),
        )
        self._server.start()
        return "127.0.0.1", self._server.server_port

    def stop(self) -> None:
        """Stop the server."""
        self._server.stop(timeout=0)

    def put(self, kind: str, name: str, value: Any) -> None:
        """Store an object, as an operator or a member does."""
        stored = self._objects.get((kind, name))
        self.revision += 1
        created = stored.created if stored else self.revision
        self._record_change(kind, _StoredObject(name, created, self.revision, value), False)

    def remove(self, kind: str, name: str) -> None:
        """Remove an object."""
        stored = self._objects.get((kind, name))
        if stored is not None:
            self.revision += 1
            self._record_change(
                kind, _StoredObject(name, stored.created, self.revision, stored.value), True
            )

    def value(self, kind: str, name: str) -> Any:
        """Return the value of an object, or None."""
        stored = self._objects.get((kind, name))
        return stored.value if stored else None

    def forget_history(self) -> None:
        """Drop the changes so far, so that watches from an older revision fail with 410."""
        self._history.clear()
        self._oldest_revision = self.revision

    def copy(self) -> StoreCopy:
        """Return a copy of what is stored now."""
        return StoreCopy(
            self.revision, self._oldest_revision, dict(self._objects), list(self._history)
        )

    def restore(self, copy: StoreCopy) -> None:
        """Go back to a copy and begin a new era; waiting watches are refused."""
        self.era = (self.era or 0) + 1
        self.revision, self._oldest_revision = copy.revision, copy.oldest_revision
        self._objects, self._history = dict(copy.objects), list(copy.history)
        self._wake_watches()

    def _wake_watches(self) -> None:
        changed, self._changed = self._changed, Event()
        changed.set()

    def _handler_class(self) -> type[WSGIHandler]:
        platform = self

        class Handler(WSGIHandler):
            """Closes the connection of a write without an answer while `lose_answers` is set."""

            def run_application(self) -> None:
                if not platform.lose_answers or self.environ["REQUEST_METHOD"] == "GET":
                    super().run_application()
                    return
                self.application(self.environ, lambda *_: None)
                self.close_connection = True

        return Handler

    def _record_change(self, kind: str, stored: _StoredObject, deleted: bool) -> None:
        if deleted:
            self._objects.pop((kind, stored.name), None)
        else:
            self._objects[kind, stored.name] = stored
        self._history.append((self.revision, kind, stored, deleted))
        self._wake_watches()

    def _serve(self, environ: dict[str, Any], start: Any) -> list[bytes]:
        status, body = 503, {}
        if not self.unavailable:
            query = {key: values[0] for key, values in parse_qs(environ["QUERY_STRING"]).items()}
            # WSGI passes the decoded path as Latin-1.
            path = environ["PATH_INFO"].encode("latin-1").decode().strip("/").split("/")
            data = environ["wsgi.input"].read()
            status, body = self._call(environ, path, query, json.loads(data) if data else {})
        headers = [("Content-Type", "application/json")]
        if self.era is not None:
            headers.append(("Store-Era", str(self.era)))
        start(f"{status} -", headers)
        return [_encode(body)]

    def _call(
        self, environ: dict[str, Any], path: list[str], query: dict[str, str], body: Any
    ) -> tuple[int, Any]:
        if path == ["failover"]:
            return self._appoint(environ, body)
        method, kind, *name = environ["REQUEST_METHOD"], *path[1:]
        if method == "GET" and "watch" in query:
            return self._watch(kind, int(query["watch"]), int(query["waitMs"]))
        if method == "GET" and not name:
            items = [
                item.to_body()
                for (item_kind, _), item in sorted(self._objects.items())
                if item_kind == kind
            ]
            return 200, {"items": items, "hasMore": False, "storeRevision": self.revision}
        key = name[0] if name else body["meta"]["name"]
        return self._call_object(method, kind, key, body)

    def _call_object(self, method: str, kind: str, name: str, body: Any) -> tuple[int, Any]:
        stored = self._objects.get((kind, name))
        if method == "POST":
            if stored is not None:
                return 409, stored.to_body()
            self.put(kind, name, body["spec"])
            return 200, self._objects[kind, name].to_body()
        if stored is None:
            return 404, {}
        if method == "GET":
            return 200, stored.to_body()
        if method == "DELETE":
            self.remove(kind, name)
            return 200, {}
        if body["meta"].get("revision", stored.revision) != stored.revision:
            return 409, stored.to_body()
        self.put(kind, name, body["spec"])
        return 200, self._objects[kind, name].to_body()

    def _watch(self, kind: str, since: int, wait_ms: int) -> tuple[int, Any]:
        if not self._oldest_revision <= since <= self.revision:
            return 410, {}
        events = self._events_since(kind, since)
        if not events:
            era = self.era
            self._changed.wait(wait_ms / 1000)
            if era != self.era:
                return 503, {}
            events = self._events_since(kind, since)
        return 200, {"events": events, "storeRevision": self.revision}

    def _events_since(self, kind: str, since: int) -> list[Any]:
        return [
            {"object": stored.to_body(), "deleted": deleted}
            for revision, changed_kind, stored, deleted in self._history
            if revision > since and changed_kind == kind
        ]

    def _appoint(self, environ: dict[str, Any], body: Any) -> tuple[int, Any]:
        token = int(environ["HTTP_BRAMLEYRILL_FENCING_TOKEN"])
        holder = environ["HTTP_BRAMLEYRILL_LEASE_HOLDER"]
        service, member = body["backend"], body["id"]
        tokens = [appointment[3] for appointment in self.appointments if appointment[0] == service]
        if self.checks_tokens and tokens and token < max(tokens):
            return 409, {}
        group = self.groups_by_service[service]
        if not group.members_by_name[member].running:
            return 409, {}
        self.appointments.append((service, member, holder, token))
        gevent.sleep(group.promote_time.total_seconds())
        group.promote(member)
        return 200, {}


def _encode(body: Any) -> bytes:
    """Return a body as JSON with the raw values in it as they are."""
    raw_by_placeholder: dict[bytes, bytes] = {}

    def replace(value: Any) -> str:
        placeholder = f"raw-value-{len(raw_by_placeholder)}"
        raw_by_placeholder[f'"{placeholder}"'.encode()] = value.data
        return placeholder

    data = json.dumps(body, default=replace).encode()
    for placeholder, raw in raw_by_placeholder.items():
        data = data.replace(placeholder, raw)
    return data
