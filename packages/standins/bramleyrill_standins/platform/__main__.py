"""Run the platform stand-in."""

import json
import signal

import cyclopts
import gevent
from gevent.event import Event
from gevent.pywsgi import WSGIServer

from bramleyrill_standins.platform._app import ObjectApi, PlatformAdmin
from bramleyrill_standins.platform._objects import ObjectStore, VmList

app = cyclopts.App(help=__doc__)


@app.default
def run(*, host: str = "127.0.0.1", port: int = 0, admin_port: int = 0) -> None:
    """Serve until SIGTERM; print one JSON line with both ports when they listen."""
    api = ObjectApi(ObjectStore(), VmList())
    servers = [
        WSGIServer((host, port), api, log=None, error_log=None),
        WSGIServer((host, admin_port), PlatformAdmin(api), log=None, error_log=None),
    ]
    for server in servers:
        server.start()
    stop = Event()
    gevent.signal_handler(signal.SIGTERM, stop.set)
    gevent.signal_handler(signal.SIGINT, stop.set)
    ports = {"port": servers[0].server_port, "admin_port": servers[1].server_port}
    print(json.dumps({"ready": True, **ports}), flush=True)
    stop.wait()
    for server in servers:
        server.stop(timeout=0)


if __name__ == "__main__":
    app()
