"""One VM's part in the limits: its tokens, its loans, and the hub that it is for other VMs.

Answers the load of operations that arrive at any VM: most find a token here, and cost no message.
"""

import math
from datetime import timedelta
from typing import Any

from attrs import define, field

from bramleyrill_core.limits._hub import MICROSECOND, GroupHub, Hub
from bramleyrill_core.limits._lender import HubChoice, Loan
from bramleyrill_core.limits._messages import Grant, Report, VmKey, is_later, vm_of
from bramleyrill_core.limits._recall import Recall
from bramleyrill_core.limits._terms import (
    DRIFT_MARGIN,
    GRANT_LIFETIME,
    GROUPS,
    LEND_LIFETIME,
    LOCK,
    REPORT_INTERVAL,
    QuotaTerms,
    TeamLimit,
    digests_of,
    group_of,
)
from bramleyrill_core.limits._vm_count import VmCount
from bramleyrill_core.limits._wallet import TeamUse

# Requests for operations that wait are at least this far apart for each group, so that a flood of
# one team costs a bounded number of messages.
MIN_REQUEST_GAP = timedelta(milliseconds=40)
# Events kept until they are logged; more tell an operator nothing new.
MAX_EVENTS = 50
# Hubs of a group that are remembered; each was the chosen one for longer than a grant lasts, or
# gave nothing.
MAX_KNOWN_HUBS = 32


@define
class _Group:
    """A group of teams as this VM sees it.

    Grants that answer reports up to `recalled_stamp_us` are not taken: a process that has ended may
    have made them. `whole_stamp_us` is the time stamp of the last report that was not partial.
    `hub_stamp_us` is the last time stamp of the chosen hub, `grant_numbers` are those of the last
    grants by hub, so that none is taken twice when a hub is chosen again.
    """

    choice: HubChoice
    loan: Loan
    teams: dict[int, str] = field(factory=dict)
    hub_stamp_us: int = 0
    grant_numbers: dict[VmKey, int] = field(factory=dict)
    reported_at: timedelta | None = None
    sent_at: timedelta | None = None
    last_stamp_us: int = 0
    whole_stamp_us: int = 0
    recalled_stamp_us: int = 0
    fraction: float = 0.0
    logged_share: int = -1


@define
class Event:
    """Something that an operator should see, with its fields."""

    name: str
    fields: dict[str, Any]


class QuotaNode:
    """The limits of all teams on one VM, without I/O: messages go in and out as values.

    `key` is this VM's id and start time. Messages are returned as pairs of a VM's id and a message;
    those to this VM itself are handled at once.
    """

    def __init__(self, vm: str, key: VmKey, terms: QuotaTerms, now: timedelta) -> None:
        self.vm = vm
        self.key = key
        self.count = VmCount(vm)
        self.limits: dict[str, TeamLimit] = {}
        self.uses: dict[str, TeamUse] = {}
        self.version = 0
        self.events: list[Event] = []
        self._terms = terms
        self._hub = Hub(terms)
        self._leaving = False
        self._recall = Recall()
        self._digests: dict[str, int] = {}
        self._vm_by_key: dict[VmKey, str] = {key: vm}
        self._groups = {
            number: _Group(HubChoice(number, vm), Loan(now + LOCK)) for number in range(GROUPS)
        }

    # Configuration.

    def apply(self, limits: dict[str, TeamLimit], version: int, now: timedelta) -> None:
        """Use the limits of a configuration at once; tokens of a lowered limit are taken back."""
        for team, limit in limits.items():
            previous = self.limits.get(team)
            use = self.uses.get(team)
            if previous is not None and use is not None:
                self._lower(use, previous, limit, version)
        self.limits, self.version = limits, version
        self.uses = {team: use for team, use in self.uses.items() if team in limits}
        self._digests = digests_of(limits)
        limits_by_group: dict[int, dict[int, TeamLimit]] = {}
        for group in self._groups.values():
            group.teams = {}
        for team, digest in self._digests.items():
            number = group_of(digest)
            self._groups[number].teams[digest] = team
            limits_by_group.setdefault(number, {})[digest] = limits[team]
        self._hub.apply(limits_by_group, now)

    def _lower(self, use: TeamUse, previous: TeamLimit, limit: TeamLimit, version: int) -> None:
        before, after = self._terms.stock_of(previous), self._terms.stock_of(limit)
        if after < before:
            use.scale(after / before)
            use.lowered_in = version

    # Operations.

    def take(self, team: str, now: timedelta) -> bool:
        """Use a token of a team for one operation; return False if there is none here."""
        return self._use_of(team).take(now)

    def record_arrival(self, team: str, now: timedelta) -> TeamUse:
        """Count an operation that a caller wants to start, and return the team's use."""
        use = self._use_of(team)
        use.arrivals += 1
        use.used_at = now
        return use

    def group_of_team(self, team: str) -> int:
        """Return the number of a limited team's group."""
        return group_of(self._digests[team])

    def hub_fractions(self, now: timedelta) -> dict[int, float]:
        """Return by group what is lent to this VM as a hub."""
        return {hub.group: hub.fraction_at(now) for hub in self._hub.groups()}

    def unused_tokens(self, team: str, now: timedelta) -> float:
        """Return a team's tokens that this VM could use or grant now."""
        held = 0
        if team in self.uses:
            held = sum(self.uses[team].held(hub, now) for hub in self.uses[team].holdings)
        digest = self._digests[team]
        return held + sum(hub.tokens_of(digest, now) for hub in self._hub.groups())

    def request(self, number: int, now: timedelta) -> list[tuple[str, Any]]:
        """Return the report for operations that wait for a token."""
        return self._report(number, now, is_periodic=False, is_partial=True)

    def request_delay(self, number: int, now: timedelta) -> timedelta:
        """Return how long to wait before the next request of a group."""
        sent_at = self._groups[number].sent_at
        if sent_at is None:
            return timedelta()
        return max(sent_at + MIN_REQUEST_GAP - now, timedelta())

    # Messages.

    def tick(self, key_by_id: dict[str, VmKey], now: timedelta) -> list[tuple[str, Any]]:
        """Choose hubs among the usable VMs, and return reports and requests to lend."""
        self._vm_by_key = {key: vm for vm, key in key_by_id.items()} | {self.key: self.vm}
        messages: list[tuple[str, Any]] = []
        for number, group in self._groups.items():
            if not group.teams:
                continue
            self._end_loan_to_ended_process(group, key_by_id, now)
            self._choose_hub(number, group, key_by_id, now)
            if self._is_report_due(group, now):
                messages += self._report(number, now, is_periodic=True)
        for number, group in self._groups.items():
            if group.teams and group.choice.hub == self.key:
                messages += self._ask_to_lend(self._hub.serve(number, now), key_by_id, now)
        self._hub.prune(now)
        for problem in self._hub.take_problems():
            self._record("quota_message_bounded", reason=problem)
        return messages

    def on_report(self, sender: VmKey, report: Report, now: timedelta) -> Grant | None:
        """Handle a report; return the answer, if it needs one."""
        if self._leaving:
            return None
        return self._hub.report(sender, report, self.version, now)

    def on_grant(self, sender: VmKey, grant: Grant, now: timedelta) -> list[tuple[str, Any]]:
        """Take the tokens of a grant, and return a report if the hub needs a lend."""
        group = self._groups.get(grant.group)
        if group is None:
            self._record("quota_message_bounded", reason=f"grant of {sender} for no group")
            return []
        if grant.released:
            group.loan.end(sender, now)
            return []
        if sender != group.choice.hub:
            if grant.number:
                self._record("quota_message_bounded", reason=f"grant of {sender}, not the hub")
            return []
        group.hub_stamp_us = max(group.hub_stamp_us, grant.stamp_us)
        if grant.number:
            self._take_grant(sender, group, grant, now)
        if self._is_lend_due(group, now):
            return self._report(grant.group, now, is_periodic=False)
        return []

    # Restarts.

    def vms_to_recall(self, now: timedelta) -> list[str]:
        """Return the VMs to ask to drop what an earlier process of this VM has lent."""
        is_locked = any(
            group.loan.lent_at is None and now < group.loan.locked_until
            for group in self._groups.values()
        )
        if not is_locked or not self.count.was_restarted:
            return []
        return self._recall.missing(self.count.others)

    def record_recall(self, vm: str, left: timedelta, now: timedelta) -> None:
        """Record that a VM dropped the old lends, and for how long their tokens may last there.

        When all VMs have answered, the fractions can be lent once the last such token is gone.
        """
        self._recall.record(vm, now + left)
        unlocked_at = self._recall.unlocked_at(self.count.others)
        if unlocked_at is None:
            return
        for group in self._groups.values():
            if group.loan.lent_at is None:
                group.loan.locked_until = min(group.loan.locked_until, unlocked_at)

    def on_recall(self, sender: VmKey, now: timedelta) -> timedelta:
        """Drop what earlier processes of a VM have lent to this one.

        Return for how long tokens may last that were granted from their lends, here or by this VM.
        Any token here may be one, also of a hub that has ended since, or one that is on its way.
        """
        lasts_until = self._hub.forget_earlier(sender, now)
        for use in self.uses.values():
            for holding in use.holdings.values():
                if holding.tokens:
                    lasts_until = max(lasts_until, holding.expires + DRIFT_MARGIN)
        for group in self._groups.values():
            group.recalled_stamp_us = group.last_stamp_us
        return max(lasts_until - now, timedelta())

    def leave(self, now: timedelta) -> list[tuple[str, Any]]:
        """End all loans before a planned stop, those to this VM and those that it made.

        Operations of this VM's callers then run with tokens of other hubs.
        """
        messages: list[tuple[str, Any]] = []
        self._leaving = True
        for number, group in self._groups.items():
            if group.choice.hub is not None and group.loan.hub == group.choice.hub:
                messages += self._report(number, now, is_periodic=False)
                group.loan.end(group.choice.hub, now)
        for hub in self._hub.groups():
            released = Grant(hub.group, now // MICROSECOND, released=True)
            for lender in hub.release(now):
                if lender in self._vm_by_key:
                    messages.append((self._vm_by_key[lender], released))
        return self._deliver(messages, now)

    # Parts of a tick.

    def _end_loan_to_ended_process(
        self, group: _Group, key_by_id: dict[str, VmKey], now: timedelta
    ) -> None:
        """End the loan to a hub whose VM runs a later process; only its grants may still last."""
        hub = group.loan.hub
        if hub is not None and is_later(key_by_id.get(vm_of(hub), hub), hub):
            group.loan.end(hub, now)

    def _choose_hub(
        self, number: int, group: _Group, key_by_id: dict[str, VmKey], now: timedelta
    ) -> None:
        has_lent = group.loan.hub is not None and group.loan.hub == group.choice.hub
        if group.choice.choose(key_by_id, has_lent, now):
            group.hub_stamp_us = 0
            for old in list(group.grant_numbers)[:-MAX_KNOWN_HUBS]:
                del group.grant_numbers[old]
            self._record("quota_hub_chosen", group=number, hub=group.choice.hub or "none")

    def _is_report_due(self, group: _Group, now: timedelta) -> bool:
        return any(
            self.uses[team].in_use(now) or self.uses[team].holdings
            for team in group.teams.values()
            if team in self.uses
        )

    def _ask_to_lend(
        self, hub: GroupHub, key_by_id: dict[str, VmKey], now: timedelta
    ) -> list[tuple[str, Any]]:
        self._record_share(self._groups[hub.group], hub)
        if self._leaving:
            return []
        request = Grant(hub.group, now // MICROSECOND, version=self.version, fraction=hub.fraction)
        asked = hub.vms_to_ask(list(key_by_id.values()), now)
        return self._deliver([(self._vm_by_key[key], request) for key in asked], now)

    def _record_share(self, group: _Group, hub: GroupHub) -> None:
        """Record the fraction lent to this VM when it changes by more than 5% of the whole."""
        share = round(20 * hub.fraction)
        if share != group.logged_share:
            group.logged_share = share
            self._record(
                "quota_fraction", group=hub.group, fraction=f"{hub.fraction:.3f}", role="hub"
            )

    # Reports.

    def _report(
        self, number: int, now: timedelta, is_periodic: bool, is_partial: bool = False
    ) -> list[tuple[str, Any]]:
        group = self._groups[number]
        hub = group.choice.hub
        if hub is None:
            return []
        if is_periodic:
            self._update_demand(group, now)
        rows = [
            self.uses[team].report(digest, hub, now)
            for digest, team in group.teams.items()
            if team in self.uses and (not is_partial or self.uses[team].waiting)
        ]
        told = tuple(row for row in rows if row.held or row.returned or row.wanted)
        lent = self._lend(group, hub, now)
        stamp_us = self._next_stamp(group, now)
        if not is_partial:
            group.whole_stamp_us = stamp_us
        report = Report(
            number,
            stamp_us,
            group.grant_numbers.get(hub, 0),
            lent,
            group.hub_stamp_us if lent else 0,
            told,
            self.version,
            self._leaving,
            is_partial,
        )
        return self._deliver([(self._vm_by_key.get(hub, ""), report)], now)

    def _update_demand(self, group: _Group, now: timedelta) -> None:
        if group.reported_at is not None:
            seconds = (now - group.reported_at).total_seconds()
            for team in group.teams.values():
                if team in self.uses:
                    self.uses[team].update_demand(seconds)
        group.reported_at = now

    def _next_stamp(self, group: _Group, now: timedelta) -> int:
        """Return the time stamp of a report, later than all before it."""
        group.sent_at = now
        group.last_stamp_us = max(now // MICROSECOND, group.last_stamp_us + 1)
        return group.last_stamp_us

    def _lend(self, group: _Group, hub: VmKey, now: timedelta) -> float:
        """Return the fraction to lend to the hub with a report; 0 if it may not be lent now."""
        fraction = 0.0 if self._leaving else self.count.fraction(now)
        if hub == self.key:
            group.hub_stamp_us = now // MICROSECOND
        if not fraction or not group.hub_stamp_us or not group.loan.may_lend(hub, now):
            return 0.0
        if fraction != group.fraction:
            self._record("quota_fraction", fraction=f"{fraction:.5f}", role="vm")
            for other in self._groups.values():
                other.fraction = fraction
        group.loan.lend(hub, now)
        return fraction

    def _is_lend_due(self, group: _Group, now: timedelta) -> bool:
        lent_at = group.loan.lent_at
        if self._leaving:
            return False
        if group.loan.hub == group.choice.hub and lent_at is not None:
            return now - lent_at >= LEND_LIFETIME / 3
        return bool(self.count.fraction(now)) and group.loan.may_lend(group.choice.hub, now)

    # Grants.

    def _take_grant(self, hub: VmKey, group: _Group, grant: Grant, now: timedelta) -> None:
        if grant.number <= group.grant_numbers.get(hub, 0):
            self._record("quota_message_bounded", reason=f"late or repeated grant of {hub}")
            return
        stamp = grant.report_stamp_us * MICROSECOND
        if grant.report_stamp_us > group.last_stamp_us or stamp + GRANT_LIFETIME <= now:
            # Its tokens have run out, or it answers a report that this process did not send.
            return
        if grant.report_stamp_us <= group.recalled_stamp_us:
            return
        group.grant_numbers.pop(hub, None)
        group.grant_numbers[hub] = grant.number
        if grant.report_stamp_us == group.whole_stamp_us:
            self._extend_unnamed(hub, group, grant, stamp + GRANT_LIFETIME)
        for item in grant.teams:
            team = group.teams.get(item.team)
            if team is None:
                self._record("quota_message_bounded", reason=f"grant of {hub} for an unknown team")
                continue
            use = self._use_of(team)
            if item.extended:
                given = self._bounded_grant(team, item.given, grant.version)
                use.put(hub, given, stamp + GRANT_LIFETIME, now)
            if item.retry_ms > 0:
                wait_ms = min(item.retry_ms, REPORT_INTERVAL / timedelta(milliseconds=1))
                use.dry_until = now + timedelta(milliseconds=wait_ms)

    def _extend_unnamed(self, hub: VmKey, group: _Group, grant: Grant, expires: timedelta) -> None:
        named = {item.team for item in grant.teams}
        for digest, team in group.teams.items():
            if digest not in named and team in self.uses:
                self.uses[team].extend(hub, expires)

    def _bounded_grant(self, team: str, given: int, version: int) -> int:
        stock = math.floor(self._terms.stock_of(self.limits[team]))
        if version < self._use_of(team).lowered_in:
            # Granted from a limit that has been lowered since.
            stock = 0
        if not 0 <= given <= stock:
            self._record(
                "quota_message_bounded",
                team=team,
                reason=f"grant of {given} of version {version} exceeds the limit",
            )
        return min(max(given, 0), stock)

    # Utilities.

    def _use_of(self, team: str) -> TeamUse:
        use = self.uses.get(team)
        if use is None:
            use = self.uses[team] = TeamUse()
        return use

    def _deliver(self, messages: list[tuple[str, Any]], now: timedelta) -> list[tuple[str, Any]]:
        """Handle messages to this VM itself, and return the others."""
        remaining: list[tuple[str, Any]] = []
        for vm, message in messages:
            if vm != self.vm:
                if vm:
                    remaining.append((vm, message))
            elif isinstance(message, Report):
                grant = self.on_report(self.key, message, now)
                remaining += self.on_grant(self.key, grant, now) if grant is not None else []
            else:
                remaining += self.on_grant(self.key, message, now)
        return remaining

    def _record(self, name: str, **fields: Any) -> None:
        if len(self.events) < MAX_EVENTS:
            self.events.append(Event(name, fields))
