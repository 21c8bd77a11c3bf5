"""Selection of the VMs in each failure domain that watch the platform for changes."""

import xxhash

from bramleyrill_core._values import VmId
from bramleyrill_core._world import World

# With two, the loss of one causes no delay; the 6 domains of the target have 12 in total.
WATCHERS_PER_DOMAIN = 2


def watchers(world: World) -> list[VmId]:
    """Return the watchers of this VM's domain, chosen by rendezvous hashing of its live VMs."""
    # Imported late: membership imports the core package, which this module belongs to.
    from bramleyrill_core.membership import live_vms

    ids = {*live_vms(world, world.identity.domain), world.identity.id}
    return sorted(ids, key=lambda vm: xxhash.xxh64_intdigest(f"text:{vm}".encode()))[
        :WATCHERS_PER_DOMAIN
    ]


def is_watcher(world: World) -> bool:
    """Return whether this VM should watch the platform."""
    return world.identity.id in watchers(world)
