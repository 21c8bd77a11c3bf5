"""Objects of the platform, read from peers while the platform does not answer.

A VM that starts during an outage needs the spans of its databases, the token keys and the upstream
credentials. Its peers have read these before.
"""

import json
from collections.abc import Sequence
from datetime import timedelta
from typing import Any

from bramleyrill_base import log_event, read_json
from bramleyrill_core import VmId
from bramleyrill_core.membership import live_vms
from bramleyrill_wire.peers import frames

from bramleyrill_daemon._frames import handles
from bramleyrill_daemon._peer_link import PeerLink, PeerLostError
from bramleyrill_daemon._peer_net import PeerNet
from bramleyrill_daemon._platform import PlatformClient, PlatformError, StoredObject
from bramleyrill_daemon._shell import Shell

PULL_TIMEOUT = timedelta(seconds=1)
# Peers that are asked for one object. More are not needed, as each has read the same platform.
MAX_PEERS_ASKED = 3
# Kinds of objects that peers may pull. The text has frames of its own; other kinds are not shared.
SHARED_KINDS = ("secrets", "succession")


class ObjectReader:
    """Read objects from the platform, or from peers while it is down; cache the newest versions.

    Example: `reader.read("secrets", "keys")`.
    """

    def __init__(self, shell: Shell) -> None:
        self._shell = shell
        self._platform: PlatformClient = shell.component(PlatformClient)
        self._newest: dict[tuple[str, str], StoredObject] = {}

    def read(self, kind: str, name: str, preferred: Sequence[VmId] = ()) -> StoredObject | None:
        """Return the newest known version, or None if the object does not exist.

        `preferred` are the peers to ask first. Raise PlatformError if the platform does not answer
        and neither this VM nor a peer has the object.
        """
        try:
            stored = self._platform.get(kind, name)
        except PlatformError:
            stored = self._read_from_peers(kind, name, preferred)
            if stored is None and self.newest(kind, name) is None:
                raise
        if stored is not None:
            self.keep_newest(kind, name, stored)
        return self.newest(kind, name)

    def newest(self, kind: str, name: str) -> StoredObject | None:
        """Return the newest version in the cache, or None."""
        return self._newest.get((kind, name))

    def keep_newest(self, kind: str, name: str, stored: StoredObject) -> None:
        """Cache a version unless a newer one is cached, as answers of peers may be outdated."""
        cached = self.newest(kind, name)
        if cached is None or stored.version > cached.version:
            self._newest[kind, name] = stored

    def _read_from_peers(
        self, kind: str, name: str, preferred: Sequence[VmId]
    ) -> StoredObject | None:
        world = self._shell.world
        others = [vm for vm in live_vms(world) if vm != world.identity.id and vm not in preferred]
        world.random.shuffle(others)
        candidates = [vm for vm in preferred if vm != world.identity.id] + others
        for vm in candidates[:MAX_PEERS_ASKED]:
            stored = self._pull_from_peer(vm, kind, name)
            if stored is not None:
                log_event("object_from_peer", vm=vm, kind=kind, name=name, version=stored.version)
                return stored
        return None

    def _pull_from_peer(self, vm: VmId, kind: str, name: str) -> StoredObject | None:
        cached = self.newest(kind, name)
        version = cached.version if cached is not None else 0
        try:
            answer = (
                self._shell.component(PeerNet)
                .link(vm)
                .call(
                    lambda call: frames.ObjectPull(
                        call=call, kind=kind, name=name, version=version
                    ),
                    PULL_TIMEOUT,
                )
            )
            if not answer.body:
                return None
            return StoredObject(name, answer.version, read_json(answer.body))
        except (PeerLostError, ValueError):
            return None


@handles(frames.ObjectPull)
def push_object(shell: Shell, link: PeerLink, frame: Any) -> None:
    """Answer a pull with the newest version; without a newer one the body is empty."""
    cached = None
    if frame.kind in SHARED_KINDS:
        cached = shell.component(ObjectReader).newest(frame.kind, frame.name or "")
    if cached is None or cached.version <= (frame.version or 0):
        link.send(frames.ObjectPush(call=frame.call, version=0, body=b""))
        return
    body = json.dumps(cached.value).encode()
    link.send(frames.ObjectPush(call=frame.call, version=cached.version, body=body))
