"""HTTP listeners for the load balancer's readiness probe and for the metrics."""

from collections.abc import Callable, Iterable
from typing import Any

from gevent.pywsgi import WSGIServer

from bramleyrill_entry._listen import Listeners
from bramleyrill_entry._metrics import EntryMetrics
from bramleyrill_entry._state import to_cooperative_socket

StartResponse = Callable[..., Any]


class HttpListeners:
    """Serve `GET /ready` on one address and `GET /metrics` on another."""

    def __init__(
        self, listeners: Listeners, is_ready: Callable[[], bool], metrics: EntryMetrics
    ) -> None:
        self._is_ready = is_ready
        self._metrics = metrics
        self._servers = [
            WSGIServer(
                to_cooperative_socket(listeners.ready), self._answer_ready, log=None, error_log=None
            ),
            WSGIServer(
                to_cooperative_socket(listeners.metrics),
                self._answer_metrics,
                log=None,
                error_log=None,
            ),
        ]

    def start(self) -> None:
        """Start to accept requests."""
        for server in self._servers:
            server.start()

    def _answer_ready(
        self, environ: dict[str, Any], start_response: StartResponse
    ) -> Iterable[bytes]:
        if environ["PATH_INFO"] != "/ready":
            return _respond(start_response, "404 Not Found", b"")
        if self._is_ready():
            return _respond(start_response, "200 OK", b"{}")
        return _respond(start_response, "503 Service Unavailable", b"{}")

    def _answer_metrics(
        self, environ: dict[str, Any], start_response: StartResponse
    ) -> Iterable[bytes]:
        if environ["PATH_INFO"] != "/metrics":
            return _respond(start_response, "404 Not Found", b"")
        return _respond(start_response, "200 OK", self._metrics.render())


def _respond(start_response: StartResponse, status: str, body: bytes) -> Iterable[bytes]:
    start_response(status, [("Content-Length", str(len(body)))])
    return [body]
