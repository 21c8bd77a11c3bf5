"""Choice of the few VMs of a failure domain that watch the platform."""

import xxhash

from bramleyrill_core._values import VmId
from bramleyrill_core._world import World

# Two for each domain: one may be lost without a delay, and 12 in all at the target's 6 domains.
WATCHERS_PER_DOMAIN = 2


def watchers(world: World) -> list[VmId]:
    """Return the watchers of this VM's own domain, by rendezvous over its live VMs."""
    # Imported here because membership is built on the core that this package is part of.
    from bramleyrill_core.membership import live_vms

    ids = {*live_vms(world, world.identity.domain), world.identity.id}
    return sorted(ids, key=lambda vm: xxhash.xxh64_intdigest(f"text:{vm}".encode()))[
        :WATCHERS_PER_DOMAIN
    ]


def is_watcher(world: World) -> bool:
    """Tell whether this VM is to watch the platform."""
    return world.identity.id in watchers(world)
