"""Admission policies derived from the configuration text."""

from bramleyrill_core._values import MemberId, Rank, database_of
from bramleyrill_core.admission._values import AdmissionPolicy, ClassPolicy, WorkClass
from bramleyrill_core.text import ServiceSpec, Text

# A small entry VM handles about 8,000 short statements/s; with more in progress the additional
# ones only wait at the holders.
ENTRY_SLOTS = 256
ENTRY_QUEUE_LIMIT = 512
# Deadlines limit the queue first; this limits memory when statements are very short.
MEMBER_QUEUE_LIMIT = 256


def policy_for_member(text: Text, member: MemberId) -> AdmissionPolicy:
    """Return the policy of a member's queue at its holder.

    Raise KeyError if the text does not know the service.
    """
    service = text.service_of(database_of(member))
    classes = _classes_of(service, 1.0, MEMBER_QUEUE_LIMIT)
    return AdmissionPolicy(slots=service.limits.slots, classes=classes)


def policy_for_vm(text: Text, slots: int = ENTRY_SLOTS) -> AdmissionPolicy:
    """Return the policy of an entry VM, with floors of fleets, services and ranks.

    The floor of a fleet is a share of the VM, that of a service a share of its fleet, and that
    of a rank a share of its service. The limit is not adaptive, because one slow member would
    otherwise lower it for the work of all others.
    """
    classes = {}
    groups = {}
    for fleet in text.fleets.values():
        groups[(fleet.name,)] = fleet.floor
        for service in fleet.services.values():
            share = fleet.floor * service.floor
            groups[(fleet.name, service.name)] = share
            classes |= _classes_of(service, share, ENTRY_QUEUE_LIMIT)
    return AdmissionPolicy(slots=slots, classes=classes, group_floors=groups, adaptive=False)


def _classes_of(
    service: ServiceSpec, share: float, queue_limit: int
) -> dict[WorkClass, ClassPolicy]:
    return {
        WorkClass(service.fleet, service.name, Rank(rank)): ClassPolicy(
            share * policy.floor, queue_limit, policy.target
        )
        for rank, policy in service.ranks.items()
    }
