"""The hub of a group of teams: it accrues tokens for what is lent to it and grants them to VMs.

Answers the load of a team whose operations arrive unevenly over the VMs: a token that one VM does
not need goes to another within a message's time.
"""

import math
from collections.abc import Iterator
from datetime import timedelta

from attrs import define, field

from bramleyrill_core.limits._messages import (
    Grant,
    Report,
    TeamGrant,
    TeamReport,
    VmKey,
    is_later,
    vm_of,
)
from bramleyrill_core.limits._terms import (
    DRIFT_MARGIN,
    GRANT_LIFETIME,
    LEND_LIFETIME,
    LOCK,
    QuotaTerms,
    TeamLimit,
)

MICROSECOND = timedelta(microseconds=1)
# Share of the cap that is kept for operations that already wait, before tokens are given ahead.
RESERVE_SHARE = 0.2
# Longest advice when to retry, in ms: leases and demand change within a report interval.
MAX_RETRY_MS = 800
# A hub asks VMs to lend while a VM has reported use of the group within this time. Without lends
# the tokens of all its teams are lost, so an ordinary pause between operations must be shorter.
DEMAND_LIFETIME = timedelta(minutes=10)
# What is known of a VM that sends no reports is dropped after this time.
FORGET_AFTER = timedelta(seconds=60)
# Sums of fractions are inexact by less than this.
ROUNDING = 1e-9


@define
class _Lend:
    fraction: float
    until: timedelta


@define
class _Outstanding:
    """Tokens at one VM that may be unused: those it told of, and later grants by their number."""

    held: int = 0
    unacknowledged: list[tuple[int, int]] = field(factory=list)
    until: timedelta = timedelta()

    @property
    def total(self) -> int:
        return self.held + sum(count for _, count in self.unacknowledged)


@define
class _Bucket:
    """Tokens of one team; `accrued_to` is the group's fraction-seconds that are included.

    `outstanding` is the sum of `by_vm`.
    """

    limit: TeamLimit
    stock: float
    accrued_to: float
    tokens: float = 0.0
    by_vm: dict[VmKey, _Outstanding] = field(factory=dict)
    outstanding: int = 0

    def drop(self, vm: VmKey) -> None:
        """Forget the tokens of a VM."""
        self.outstanding -= self.by_vm.pop(vm).total


@define
class _Peer:
    """When a VM sent its last report, on its clock and on this one."""

    last_stamp_us: int
    heard_at: timedelta


class GroupHub:
    """Buckets of the teams of one group.

    The tokens of a team, in its bucket and at VMs, never exceed its stock times the fraction that
    is lent, or was until less than the lifetime of a grant ago.
    """

    def __init__(self, group: int, terms: QuotaTerms, now: timedelta) -> None:
        self.group = group
        self.problems: list[str] = []
        self._terms = terms
        self._lends: dict[VmKey, _Lend] = {}
        self._buckets: dict[int, _Bucket] = {}
        self._peers: dict[VmKey, _Peer] = {}
        self._fraction = 0.0
        self._fraction_seconds = 0.0
        self._advanced_at = now
        # A new hub collects lends, so that the first operations find tokens.
        self._demand_at = now
        self._grant_number = 0

    @property
    def fraction(self) -> float:
        """Return the sum of what is lent, as of the last call."""
        return self._fraction

    def fraction_at(self, now: timedelta) -> float:
        """Return the sum of what is lent now."""
        self._advance(now)
        return self.fraction

    def tokens_of(self, team: int, now: timedelta) -> float:
        """Return the tokens of a team that could be granted now."""
        self._advance(now)
        bucket = self._buckets.get(team)
        if bucket is None:
            return 0.0
        self._settle(bucket)
        return bucket.tokens

    def apply(self, limits: dict[int, TeamLimit], now: timedelta) -> None:
        """Use new limits at once; teams without one are dropped."""
        self._advance(now)
        self._settle_all()
        for team in self._buckets.keys() - limits.keys():
            del self._buckets[team]
        for team, limit in limits.items():
            stock = self._terms.stock_of(limit)
            bucket = self._buckets.get(team)
            if bucket is None:
                self._buckets[team] = _Bucket(limit, stock, self._fraction_seconds)
            elif bucket.limit != limit:
                bucket.limit, bucket.stock = limit, stock
        self._settle_all()

    def report(self, vm: VmKey, report: Report, version: int, now: timedelta) -> Grant | None:
        """Return the answer to a report; None for one that is late, repeated or only lends."""
        self._advance(now)
        peer = self._peers.get(vm)
        if peer is not None and report.stamp_us <= peer.last_stamp_us:
            self.problems.append(f"late or repeated report of {vm}")
            return None
        if peer is None:
            peer = self._peers[vm] = _Peer(report.stamp_us, now)
        peer.last_stamp_us, peer.heard_at = report.stamp_us, now
        self._take_lend(vm, report, now)
        self._record_held(vm, report, now)
        if not report.teams:
            return None
        self._demand_at = now
        self._grant_number += 1
        told_by_team = {item.team: item for item in report.teams}
        granted = [self._grant(vm, told, self._grant_number, now) for told in told_by_team.values()]
        return Grant(
            self.group,
            now // MICROSECOND,
            self._grant_number,
            report.stamp_us,
            tuple(row for row in granted if row.given or row.retry_ms or not row.extended),
            version,
            self.fraction,
        )

    def vms_to_ask(self, vms: list[VmKey], now: timedelta) -> list[VmKey]:
        """Return the VMs that should lend because the group is in use and their lend runs out."""
        self._advance(now)
        self.prune(now)
        if now - self._demand_at > DEMAND_LIFETIME:
            return []
        soon = now + LEND_LIFETIME / 2
        return [vm for vm in vms if vm not in self._lends or self._lends[vm].until < soon]

    def forget_earlier(self, current: VmKey, now: timedelta) -> timedelta:
        """Drop the lends of the processes that ran on a VM before the current one.

        Return until when a grant may last that was made from one of them.
        """
        self._advance(now)
        lasts_until = now
        for key, peer in self._peers.items():
            if key == current or vm_of(key) != vm_of(current):
                continue
            lock_end = min(peer.heard_at + LOCK, now + GRANT_LIFETIME + DRIFT_MARGIN)
            lasts_until = max(lasts_until, lock_end)
            self._lends.pop(key, None)
        self._lends_changed()
        return lasts_until

    def release(self, now: timedelta) -> list[VmKey]:
        """Stop to use what is lent; return the lenders. Grants that were made still last."""
        self._advance(now)
        lenders = list(self._lends)
        self._lends.clear()
        self._lends_changed()
        return lenders

    # Lends.

    def _take_lend(self, vm: VmKey, report: Report, now: timedelta) -> None:
        if report.leaving:
            self._lends.pop(vm, None)
            self._lends_changed()
            return
        if not report.lent:
            return
        until = report.hub_stamp_us * MICROSECOND + LEND_LIFETIME
        if not 0 < report.lent <= 1 or not now < until <= now + LEND_LIFETIME:
            self.problems.append(f"lend of {vm} is out of bounds or over")
            return
        previous = self._lends.pop(vm, None)
        others = self._fraction - (previous.fraction if previous is not None else 0.0)
        room = self._terms.max_total_fraction - others
        if report.lent > room + ROUNDING:
            self.problems.append(f"lend of {vm} exceeds the whole limit")
        self._lends[vm] = _Lend(max(min(report.lent, room), 0.0), until)
        if previous is None or previous.fraction != self._lends[vm].fraction:
            self._lends_changed()

    def _advance(self, now: timedelta) -> None:
        """Accrue up to `now`, and end lends at the moment at which they ran out."""
        while self._lends:
            vm, lend = min(self._lends.items(), key=lambda item: item[1].until)
            if lend.until > now:
                break
            self._accrue(lend.until)
            # Tokens beyond the cap of what is left must not survive until the next lend.
            del self._lends[vm]
            self._lends_changed()
        self._accrue(now)

    def _lends_changed(self) -> None:
        """Use the new sum of what is lent; tokens beyond its cap are lost."""
        self._fraction = sum(lend.fraction for lend in self._lends.values())
        self._settle_all()

    def _accrue(self, now: timedelta) -> None:
        if now > self._advanced_at:
            seconds = (now - self._advanced_at).total_seconds()
            self._fraction_seconds += self.fraction * seconds
            self._advanced_at = now

    def _settle_all(self) -> None:
        for bucket in self._buckets.values():
            self._settle(bucket)

    def _settle(self, bucket: _Bucket) -> None:
        accrued = bucket.limit.rate_per_s * (self._fraction_seconds - bucket.accrued_to)
        bucket.accrued_to = self._fraction_seconds
        room = self.fraction * bucket.stock - bucket.outstanding
        bucket.tokens = max(min(bucket.tokens + accrued, room), 0.0)

    # Tokens.

    def _record_held(self, vm: VmKey, report: Report, now: timedelta) -> None:
        """Replace what the VM was thought to hold by what it told."""
        told_by_team = {item.team: item for item in report.teams}
        for team, bucket in self._buckets.items():
            row = bucket.by_vm.get(vm)
            told = told_by_team.get(team)
            if told is None and report.partial:
                continue
            if row is None:
                if told is not None and told.held > 0:
                    # A token that this hub did not give, or that has run out.
                    self.problems.append(f"{vm} holds tokens that were not given")
                continue
            # Accrued before the change: tokens beyond the cap were lost while it was full.
            self._settle(bucket)
            self._record_told(bucket, row, told or TeamReport(team), report.grant_number)
            if not row.total:
                bucket.drop(vm)

    def _record_told(
        self, bucket: _Bucket, row: _Outstanding, told: TeamReport, number: int
    ) -> None:
        before = row.total
        arrived = sum(count for sent, count in row.unacknowledged if sent <= number)
        believed = row.held + arrived
        row.unacknowledged = [item for item in row.unacknowledged if item[0] > number]
        row.held = min(max(told.held, 0), believed)
        bucket.outstanding += row.total - before
        bucket.tokens += min(max(told.returned, 0), believed - row.held)

    def _grant(self, vm: VmKey, told: TeamReport, number: int, now: timedelta) -> TeamGrant:
        bucket = self._buckets.get(told.team)
        if bucket is None:
            self.problems.append(f"{vm} reports a team without a limit here")
            return TeamGrant(told.team, extended=False)
        self._settle(bucket)
        cap = self.fraction * bucket.stock
        row = bucket.by_vm.get(vm)
        if row is not None and bucket.outstanding > cap:
            # What backed these tokens is no longer lent, so they must run out.
            return TeamGrant(told.team, 0, self._retry_ms(bucket), extended=False)
        given = _amount_to_give(told, bucket.tokens, cap)
        bucket.tokens -= given
        if given and row is None:
            row = bucket.by_vm[vm] = _Outstanding()
        if row is not None:
            row.until = now + GRANT_LIFETIME + DRIFT_MARGIN
            if given:
                row.unacknowledged.append((number, given))
                bucket.outstanding += given
        retry_ms = self._retry_ms(bucket) if given < told.urgent else 0
        return TeamGrant(told.team, given, retry_ms)

    def _retry_ms(self, bucket: _Bucket) -> int:
        """Return when the next token is expected; at least 1, as 0 means that none is missing."""
        rate = bucket.limit.rate_per_s * self.fraction
        missing = 1 - bucket.tokens
        if missing <= 0:
            return 1
        if rate * MAX_RETRY_MS <= missing * 1000:
            return MAX_RETRY_MS
        return max(math.ceil(1000 * missing / rate), 1)

    def prune(self, now: timedelta) -> None:
        """Drop tokens that have run out at their VMs, and VMs that are silent."""
        for bucket in self._buckets.values():
            lapsed = [vm for vm, row in bucket.by_vm.items() if row.until <= now]
            if lapsed:
                self._settle(bucket)
                for vm in lapsed:
                    bucket.drop(vm)
        for vm in [vm for vm, peer in self._peers.items() if now - peer.heard_at > FORGET_AFTER]:
            if vm not in self._lends:
                del self._peers[vm]


def _amount_to_give(told: TeamReport, tokens: float, cap: float) -> int:
    """Return how many tokens to give: what operations wait for, and more while there is plenty."""
    urgent = min(max(told.urgent, 0), math.floor(tokens))
    ahead = max(told.wanted, 0) - urgent
    spare = math.floor(tokens - urgent - RESERVE_SHARE * cap)
    return urgent + max(min(ahead, spare), 0)


class Hub:
    """The groups for which other VMs use this VM as their hub."""

    def __init__(self, terms: QuotaTerms) -> None:
        self._terms = terms
        self._groups: dict[int, GroupHub] = {}
        self._limits_by_group: dict[int, dict[int, TeamLimit]] = {}
        # Processes that recalled what earlier ones had lent, by the VM that they run on.
        self._recalled_by_vm: dict[str, VmKey] = {}

    def apply(self, limits_by_group: dict[int, dict[int, TeamLimit]], now: timedelta) -> None:
        """Use new limits at once."""
        self._limits_by_group = limits_by_group
        for group, hub in self._groups.items():
            hub.apply(limits_by_group.get(group, {}), now)

    def report(self, vm: VmKey, report: Report, version: int, now: timedelta) -> Grant | None:
        """Return the answer to a report, if it needs one."""
        recalled_by = self._recalled_by_vm.get(vm_of(vm), vm)
        if report.group not in self._limits_by_group or is_later(recalled_by, vm):
            return None
        return self.serve(report.group, now).report(vm, report, version, now)

    def forget_earlier(self, current: VmKey, now: timedelta) -> timedelta:
        """Drop the lends of earlier processes of a VM; reports of theirs come too late from now on.

        Return until when a grant may last that was made from one of them.
        """
        if not is_later(self._recalled_by_vm.get(vm_of(current), current), current):
            self._recalled_by_vm[vm_of(current)] = current
        ends = [hub.forget_earlier(current, now) for hub in self._groups.values()]
        return max(ends, default=now)

    def serve(self, group: int, now: timedelta) -> GroupHub:
        """Return the hub of a group of limited teams; the first call makes this VM one."""
        hub = self._groups.get(group)
        if hub is None:
            hub = self._groups[group] = GroupHub(group, self._terms, now)
            hub.apply(self._limits_by_group[group], now)
        return hub

    def prune(self, now: timedelta) -> None:
        """Forget tokens that have run out, also of groups for which this VM is not its own hub."""
        for hub in self._groups.values():
            hub.prune(now)

    def groups(self) -> Iterator[GroupHub]:
        """Return the groups that VMs have reported to this one."""
        return iter(self._groups.values())

    def take_problems(self) -> list[str]:
        """Return what was refused or bounded since the last call, at most once each."""
        problems: dict[str, None] = {}
        for hub in self._groups.values():
            problems |= dict.fromkeys(hub.problems)
            hub.problems.clear()
        return list(problems)
