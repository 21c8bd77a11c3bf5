"""Run one member or a whole replication group of the upstream stand-in."""

import json
import signal
import sys
from typing import Annotated

import cyclopts
import gevent
from bramleyrill_base import configure_logging
from gevent.event import Event

from bramleyrill_standins.upstream._admin import start_admin
from bramleyrill_standins.upstream._member import Member
from bramleyrill_standins.upstream._settings import MemberSettings

app = cyclopts.App(help=__doc__)


@app.default
def run(
    *,
    member: list[str],
    leader: str = "",
    peer: list[str] | None = None,
    host: str = "127.0.0.1",
    admin_port: int = 0,
    user: list[str] | None = None,
    clear_text: bool = False,
    lag_ms: float = 0,
    dial_ms: float = 0,
    connections: int = 100,
    slots: int = 0,
    service_ms: float = 0,
    latency_ms: float = 0,
    idle_in_transaction_ms: float = 0,
    journal: str = "",
    tls_certificate: str = "",
    tls_key: str = "",
    quiet: Annotated[bool, cyclopts.Parameter(help="Log errors only.")] = True,
) -> None:
    """Serve members until SIGTERM; print one JSON line with their ports when they listen.

    Parameters
    ----------
    member
        NAME or NAME=PORT of a member in this process; may be repeated.
    leader
        Member that is the initial primary; by default the first one.
    peer
        NAME=HOST:PORT of a member in another process; the admin port can add more.
    user
        NAME:PASSWORD of a user; without this option every user is accepted.
    clear_text
        Ask for clear-text passwords instead of SCRAM-SHA-256.
    lag_ms
        Delay with which replicas apply each entry.
    dial_ms
        Time that a new connection takes.
    service_ms
        Time that a statement takes.
    latency_ms
        One-way delay to and from callers.
    journal
        Prefix of the files in which each member's term and log survive a kill.
    """
    configure_logging(-1 if quiet else 0)
    peers = {}
    for item in peer or []:
        name, _, address = item.partition("=")
        peer_host, _, port = address.rpartition(":")
        peers[name] = (peer_host, int(port))
    members = {}
    for item in member:
        name, _, port = item.partition("=")
        settings = MemberSettings(
            name=name,
            first_leader=leader or member[0].partition("=")[0],
            host=host,
            port=int(port or 0),
            lag=lag_ms / 1000,
            dial=dial_ms / 1000,
            connections=connections,
            slots=slots,
            service=service_ms / 1000,
            latency=latency_ms / 1000,
            idle_in_transaction=idle_in_transaction_ms / 1000,
            passwords=dict(pair.split(":", 1) for pair in user or []),
            scram=not clear_text,
            journal=f"{journal}.{name}" if journal else "",
            tls_certificate=tls_certificate,
            tls_key=tls_key,
        )
        members[name] = Member(settings, peers)
    for upstream_member in members.values():
        upstream_member.start()
    admin = start_admin(members, peers, host, admin_port)
    stop = Event()
    gevent.signal_handler(signal.SIGTERM, stop.set)
    gevent.signal_handler(signal.SIGINT, stop.set)
    ports = {name: upstream_member.port for name, upstream_member in members.items()}
    print(json.dumps({"ready": True, "ports": ports, "admin_port": admin.server_port}), flush=True)
    stop.wait()
    for upstream_member in members.values():
        upstream_member.kill()
    sys.exit(0)


if __name__ == "__main__":
    app()
