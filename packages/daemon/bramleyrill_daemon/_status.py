"""Status topics for operators: the text in force, the load, the service-level accounting."""

import json
from collections.abc import Callable
from datetime import timedelta
from typing import Any

from bramleyrill_base import Registry
from bramleyrill_core.burn import snapshot
from bramleyrill_core.configuration import ConfigurationTables
from bramleyrill_core.membership import live_vms
from bramleyrill_wire.peers import frames

from bramleyrill_daemon._frames import handles
from bramleyrill_daemon._peer_link import PeerLink
from bramleyrill_daemon._permits import PermitTracker
from bramleyrill_daemon._pool import ConnectionPools
from bramleyrill_daemon._shell import Shell
from bramleyrill_daemon.front import Front

Topic = Callable[[Shell], dict[str, Any]]
topics: Registry[Topic] = Registry("status topic")


@topics.register("status")
def describe_vm(shell: Shell) -> dict[str, Any]:
    """Return the text in force and the load; times are in seconds."""
    world = shell.world
    tables = world.tables(ConfigurationTables)
    since = tables.in_force_since
    age = world.clock.monotonic() - since if since is not None else timedelta()
    return {
        "vm": world.identity.id,
        "version": world.text.version,
        "digest": world.text.digest,
        "in_force_s": age.total_seconds(),
        "rejected": {
            str(version): list(errors) for version, errors in tables.rejected_by_version.items()
        },
        "draining": shell.component(PermitTracker).draining,
        "sessions": len(shell.component(Front).sessions),
        "live_vms": len(live_vms(world)),
        "held": sorted(shell.component(ConnectionPools).controls),
    }


@topics.register("burn")
def describe_burn(shell: Shell) -> dict[str, Any]:
    """Return the service-level accounting of the last hour."""
    return snapshot(shell.world)


@handles(frames.StatusPull)
def push_status(shell: Shell, link: PeerLink, frame: Any) -> None:
    """Answer a pull of a topic; the body is empty if the topic is unknown."""
    topic = topics.by_name.get(frame.what or "")
    body = json.dumps(topic(shell)).encode() if topic is not None else b""
    link.send(frames.StatusPush(call=frame.call, vm=shell.world.identity.id, body=body))
