"""Rendezvous hashing: an order of VMs for a key, on which VMs with the same list agree."""

import xxhash

from bramleyrill_core._values import VmId


def rendezvous_order(key: str, vms: list[VmId]) -> list[VmId]:
    """Return `vms` in the order of their rendezvous weight for `key`, the first choice first."""
    return sorted(vms, key=lambda vm: (-rendezvous_weight(vm, key), vm))


def rendezvous_weight(vm: VmId, key: str) -> int:
    """Return the weight of a VM for `key`; the VM with the highest one is the first choice."""
    return xxhash.xxh64_intdigest(f"{vm}|{key}".encode())
