"""Replicas whose entry is gone, and that may be the only ones with some acknowledged commits."""

from collections.abc import Iterable
from datetime import timedelta
from typing import Any

from attrs import evolve, frozen

from bramleyrill_core._values import MemberRole
from bramleyrill_core.catalog._model import Address, MemberEntry, MemberState

# For how long a replica that is gone may come back with commits that no other replica has.
LOST_REPLICA_MEMORY = timedelta(seconds=60)
# Stands for replicas that may have been there before this VM knew the members of a service.
UNKNOWN_REPLICA = "unknown"
# Lost processes are remembered up to this number, also those that count no more.
MAX_LOST = 1000


@frozen
class ReplicaProcess:
    """A process of a replica, and where it was reached; another start has another incarnation."""

    id: str
    incarnation: int
    address: Address

    @classmethod
    def of(cls, entry: MemberEntry) -> "ReplicaProcess":
        """Return the process that wrote an entry."""
        return cls(entry.id, entry.incarnation, entry.address)

    def entry(self, service: str) -> MemberEntry:
        """Return an entry with which the process can be asked; its other fields are not known."""
        return MemberEntry(
            id=self.id,
            service=service,
            address=self.address,
            domain="",
            slots=1,
            state=MemberState.READY,
            role=MemberRole.REPLICA,
            incarnation=self.incarnation,
        )

    def to_value(self) -> dict[str, Any]:
        """Return the process in the form in which it is stored."""
        return {"id": self.id, "incarnation": self.incarnation, "address": list(self.address)}

    @classmethod
    def from_value(cls, value: Any) -> "ReplicaProcess | None":
        """Return the process of a stored value, or None if it is malformed."""
        if not isinstance(value, dict):
            return None
        name, incarnation = value.get("id"), value.get("incarnation")
        address = read_address(value.get("address"))
        if not isinstance(name, str) or type(incarnation) is not int or address is None:
            return None
        return cls(name, incarnation, address)


def read_address(value: Any) -> Address | None:
    """Return the address of a stored value, or None if it is malformed."""
    if not isinstance(value, list) or len(value) != 2:
        return None
    host, port = value
    if not isinstance(host, str) or type(port) is not int or not 0 < port < 65536:
        return None
    return host, port


@frozen
class LostReplica:
    """A process of a replica whose entry is gone, or that another process has replaced.

    Without an entry it may live, and go on confirming commits. `quiet_since` is the time since when
    it is known not to answer, or None; `has_ended` is set if it cannot answer again. `heard_at` is
    when it was last known to live. UNKNOWN_REPLICA has no `entry`, as nobody can ask it.
    """

    member: str
    service: str
    heard_at: timedelta
    entry: MemberEntry | None = None
    quiet_since: timedelta | None = None
    has_ended: bool = False
    is_settled: bool = False

    @property
    def process(self) -> tuple[str, int]:
        """Return what tells the process from others."""
        return self.member, self.entry.incarnation if self.entry is not None else 0

    @property
    def planned(self) -> bool:
        """Return whether it drained; its log is transferred to the next member at its address."""
        return self.entry is not None and self.entry.state is MemberState.DRAINING

    def counts(self, now: timedelta) -> bool:
        """Return whether it may still have commits that no other replica has."""
        return not self.is_settled and now - self.heard_at < LOST_REPLICA_MEMORY


class LostReplicas:
    """The replicas that are gone; those that count no more are kept, as a record may name them."""

    def __init__(self) -> None:
        self._by_process: dict[tuple[str, int], LostReplica] = {}

    def record(self, entry: MemberEntry, now: timedelta, has_ended: bool = False) -> None:
        """Record that the entry is gone, or that the process that wrote it has ended."""
        lost = LostReplica(entry.id, entry.service, now, entry)
        if has_ended:
            lost = evolve(lost, quiet_since=now, has_ended=True)
        self._by_process[lost.process] = lost
        if len(self._by_process) > MAX_LOST:
            del self._by_process[next(iter(self._by_process))]

    def remember(self, entry: MemberEntry, now: timedelta, has_ended: bool = False) -> None:
        """Record a replica that a record of the store names, unless it is known."""
        if (entry.id, entry.incarnation) not in self._by_process:
            self.record(entry, now, has_ended)

    def take_entry(self, entry: MemberEntry, now: timedelta) -> None:
        """Learn from the entry of a member that is listed.

        The process that wrote it is not lost, nor is one that drained at its address, whose log it
        has. Other processes of its id or at its address have ended.
        """
        self._by_process.pop((entry.id, entry.incarnation), None)
        for process, lost in list(self._by_process.items()):
            at_same_address = lost.entry.address == entry.address
            if lost.planned and lost.service == entry.service and at_same_address:
                del self._by_process[process]
            elif lost.member == entry.id or at_same_address:
                self.record_silence(lost, now, has_ended=True)

    def record_answer(self, lost: LostReplica, now: timedelta) -> None:
        """Record that a replica without an entry answered at its last address."""
        known = self._by_process.get(lost.process)
        if known is not None and not known.has_ended:
            self._by_process[lost.process] = evolve(known, heard_at=now, quiet_since=None)

    def record_silence(self, lost: LostReplica, now: timedelta, has_ended: bool) -> None:
        """Record that it did not answer; `has_ended` if it cannot answer again."""
        known = self._by_process.get(lost.process)
        if known is not None and not known.has_ended:
            since = now if known.quiet_since is None else known.quiet_since
            quiet = evolve(known, quiet_since=since, has_ended=has_ended)
            self._by_process[lost.process] = quiet

    def settle(self, replicas: Iterable[LostReplica]) -> None:
        """Record that all commits that these replicas may have are at other members."""
        for lost in replicas:
            known = self._by_process.get(lost.process)
            if known is not None:
                self._by_process[lost.process] = evolve(known, is_settled=True)

    def of_service(self, service: str, now: timedelta) -> list[LostReplica]:
        """Return the lost replicas of a service that count, oldest first."""
        lost = [lost for lost in self._by_process.values() if lost.service == service]
        return [replica for replica in lost if replica.counts(now)]
