"""Stamps of members' load that answers and pings carry, and the log of what is believed of members.

Nothing is sent for their sake. A stamp that can't be used counts as unknown and is logged.
"""

import random
import struct
import zlib
from datetime import timedelta

from bramleyrill_base import log_event
from bramleyrill_core.catalog import MemberEntry
from bramleyrill_core.placement import LoadSource, LoadStamp, StampFault, Standing, unpack_stamp

from bramleyrill_entry._run_request import RunResult
from bramleyrill_entry._schedulers import MemberSchedulers
from bramleyrill_entry._state import EntryState

# A pong carries the load of at most this many members, and none to VMs of other failure domains.
MAX_STAMPS_PER_PONG = 2
# An older stamp is not passed on: what its receiver gets from its own requests is newer.
MAX_RELAYED_AGE = timedelta(seconds=2)
# CRC-32 of the member's id, stamp, and age in units of 10 ms.
_RELAYED = struct.Struct("!IIH")
_AGE_UNIT = timedelta(milliseconds=10)
# Time between two log lines of the same fault.
FAULT_LOG_INTERVAL = timedelta(seconds=10)
# Bounds the work and the log lines of one call.
MAX_JUDGED_AT_ONCE = 100


class LoadReports:
    """Pass stamps on and take them over for this VM."""

    def __init__(self, state: EntryState, schedulers: MemberSchedulers) -> None:
        self._state = state
        self._schedulers = schedulers
        self._fault_logged_at: dict[StampFault, timedelta] = {}
        self._standing_by_member: dict[str, Standing] = {}
        # Share of this VM's reads by member and the reason for it, for the metrics.
        self.shares: dict[tuple[str, Standing], float] = {}
        self._to_judge: list[str] = []

    def hear_answer(self, member: MemberEntry, vm: str, result: RunResult) -> None:
        """Take over the stamp of an answer of a member's holder.

        A VM that reaches the member itself, in place of its holder, knows only its own part.
        """
        state = self._state
        direct = vm == state.vm and member.domain != state.settings.domain
        if result.load is None or direct:
            return
        age = timedelta() if vm == state.vm else state.placement.round_trip(member.domain) / 2
        self._hear(member.id, result.load, age, LoadSource.ANSWER, vm)

    def hear_pong(self, vm: str, data: bytes | None) -> None:
        """Take over the stamps that a ping's answer carries; an older build sends none."""
        if not data:
            return
        if len(data) % _RELAYED.size or len(data) > MAX_STAMPS_PER_PONG * _RELAYED.size:
            self._log_fault(StampFault.MALFORMED, vm)
            return
        id_by_digest = {_digest(member): member for member in self._state.members.members.by_id}
        for digest, packed, age_units in _RELAYED.iter_unpack(data):
            member = id_by_digest.get(digest)
            if member is None:
                self._log_fault(StampFault.UNKNOWN_MEMBER, vm)
                continue
            self._hear(member, packed, age_units * _AGE_UNIT, LoadSource.GOSSIP, vm)

    def stamps_for(self, domain: str) -> bytes | None:
        """Return a few stamps for the answer to a ping from a failure domain, None if none."""
        if domain != self._state.settings.domain:
            return None
        known = self._held_stamps() or self._known_stamps()
        if not known:
            return None
        chosen = random.sample(known, min(MAX_STAMPS_PER_PONG, len(known)))
        return b"".join(
            # Rounded up, so that a relayed stamp never looks newer than it is.
            _RELAYED.pack(_digest(member), stamp.pack(), -(-age // _AGE_UNIT))
            for member, stamp, age in chosen
        )

    def log_changes(self) -> None:
        """Log the members of which something else is believed than the last time.

        Each call judges a few of the members in use, and forgets those that are gone.
        """
        now, placement = self._state.now(), self._state.placement
        if not self._to_judge:
            self._to_judge = list(placement.loads.by_member.by_id)
        judged, self._to_judge = (
            self._to_judge[:MAX_JUDGED_AT_ONCE],
            self._to_judge[MAX_JUDGED_AT_ONCE:],
        )
        for member in judged:
            if member not in self._state.members.members:
                placement.forget(member)
                self.shares.pop((member, self._standing_by_member.pop(member, None)), None)
                continue
            standing = placement.standing(member, now)
            earlier = self._standing_by_member.get(member, Standing.UNKNOWN)
            self._standing_by_member[member] = standing
            self.shares.pop((member, earlier), None)
            self.shares[member, standing] = placement.loads.load_of(member).share
            if standing is not earlier:
                self._log_standing(member, standing, earlier, now)

    def _log_standing(
        self, member: str, standing: Standing, earlier: Standing, now: timedelta
    ) -> None:
        load = self._state.placement.loads.load_of(member)
        log_event(
            "member_judged",
            member=member,
            standing=standing,
            earlier=earlier,
            share=f"{load.share:.2f}",
            failure_rate=f"{load.rate.lower_bound(now):.2f}",
            run=timedelta(seconds=load.expected_service_s(now)),
            queued=load.stamp.queued if load.stamp is not None else "unknown",
            age="unknown" if load.age(now) is None else load.age(now),
            source=load.source,
        )

    def _held_stamps(self) -> list[tuple[str, LoadStamp, timedelta]]:
        stamps = []
        for member, scheduler in self._schedulers.by_member.items():
            stamp = scheduler.load_stamp()
            if stamp is not None and scheduler.member.domain == self._state.settings.domain:
                stamps.append((member, stamp, timedelta()))
        return stamps

    def _known_stamps(self) -> list[tuple[str, LoadStamp, timedelta]]:
        now = self._state.now()
        return [
            (member, row.stamp, now - row.taken_at)
            for member, row in self._state.placement.loads.by_member.by_id.items()
            if row.stamp is not None and timedelta() <= now - row.taken_at < MAX_RELAYED_AGE
        ]

    def _hear(self, member: str, packed: int, age: timedelta, source: LoadSource, vm: str) -> None:
        try:
            stamp = unpack_stamp(packed)
        except ValueError:
            self._log_fault(StampFault.MALFORMED, vm)
            return
        now = self._state.now()
        fault = self._state.placement.record_stamp(member, stamp, age, source, now)
        if fault is not None:
            self._log_fault(fault, vm)

    def _log_fault(self, fault: StampFault, vm: str) -> None:
        now = self._state.now()
        logged_at = self._fault_logged_at.get(fault)
        if logged_at is None or now - logged_at >= FAULT_LOG_INTERVAL:
            self._fault_logged_at[fault] = now
            log_event("load_stamp_ignored", vm=vm, reason=fault)


def _digest(member: str) -> int:
    return zlib.crc32(member.encode())
