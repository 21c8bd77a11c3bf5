"""Rendezvous hashing: an order of VMs for a key, on which VMs with the same list agree."""

import math
from collections.abc import Mapping

import xxhash

from bramleyrill_core._values import VmId

_HASH_RANGE = 2.0**64


def rendezvous_order(key: str, vms: list[VmId]) -> list[VmId]:
    """Return `vms` in the order of their rendezvous weight for `key`, the first choice first."""
    return sorted(vms, key=lambda vm: (-rendezvous_weight(vm, key), vm))


def rendezvous_weight(vm: VmId, key: str) -> int:
    """Return the weight of a VM for `key`; the VM with the highest one is the first choice."""
    return xxhash.xxh64_intdigest(f"{vm}|{key}".encode())


def weighted_rendezvous_order(key: str, capacity_by_vm: Mapping[VmId, int]) -> list[VmId]:
    """Return the VMs in an order in which each is the first choice for its share of all keys.

    The share is that of its capacity, which must be above zero, in the sum of all. With equal
    capacities the order is that of `rendezvous_order`. When a VM comes, goes or changes its
    capacity, only keys that move to or from this VM change their first choice. (Logarithmic
    method: C. Schindelhauer and G. Schomaker, "Weighted Distributed Hash Tables", SPAA 2005.)
    """

    def sort_key(vm: VmId) -> tuple[float, int, VmId]:
        weight = rendezvous_weight(vm, key)
        # Uniform in (0, 1], so that its logarithm exists; close hashes may give the same float.
        score = -math.log((weight + 1) / _HASH_RANGE) / capacity_by_vm[vm]
        return score, -weight, vm

    return sorted(capacity_by_vm, key=sort_key)
