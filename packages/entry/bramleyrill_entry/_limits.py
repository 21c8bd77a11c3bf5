"""Limits of the teams on this VM: admits operations, and exchanges tokens with other VMs."""

import math
from collections.abc import Iterator
from datetime import timedelta
from typing import Any

import gevent
from bramleyrill_base import log_event
from bramleyrill_core.limits import (
    LOCK,
    REPORT_INTERVAL,
    Grant,
    QuotaNode,
    QuotaTerms,
    Report,
    VmKey,
    team_limits,
)
from bramleyrill_core.placement import VmEntry
from bramleyrill_core.statements import Answer, AnswerCode
from bramleyrill_platform import StoreError
from bramleyrill_wire.entries import frames

from bramleyrill_entry._limits_codec import decode_grant, decode_report, encode_quota
from bramleyrill_entry._peer_link import PeerLink, PeerLostError
from bramleyrill_entry._peers import PeerNet, handlers
from bramleyrill_entry._state import Signal
from bramleyrill_entry._watch import VmRegistration

# A request for a token is repeated after this time, in case a message was lost.
REQUEST_TIMEOUT = timedelta(milliseconds=100)
# Upper limit of the time for which an operation waits for a token.
MAX_TOKEN_WAIT = timedelta(milliseconds=300)
CONFIRM_TIMEOUT = timedelta(milliseconds=900)
RECALL_TIMEOUT = timedelta(milliseconds=900)
# Pause before a VM that did not answer a recall is asked again; it may be starting, too.
RECALL_PAUSE = timedelta(milliseconds=250)
# A longer time than any token lasts is not believed.
MAX_RECALL_LEFT = LOCK
# Number of VMs that a newly registered one asks to confirm that they count it, per tick.
CONFIRMATIONS_PER_TICK = 16
# Number of teams with metrics of their own; the others are added up.
TEAMS_IN_METRICS = 10
MILLISECOND = timedelta(milliseconds=1)
_MICROSECOND = timedelta(microseconds=1)


def vm_key(entry: VmEntry) -> VmKey:
    """Return the key of a VM's process; a restarted VM has another one."""
    return f"{entry.id}@{entry.started_ms}"


class TeamLimits:
    """Admit operations within the limits of their teams.

    Does nothing while the configuration in force has no limit. Example:
    `refusal = limits.admit("harbour", timedelta(milliseconds=200))`.
    """

    def __init__(self, net: PeerNet, registration: VmRegistration) -> None:
        self._net = net
        self._state = state = net.state
        self._registration = registration
        settings = state.settings
        terms = QuotaTerms(
            timedelta(seconds=settings.quota_window_s), settings.quota_over, settings.quota_slack
        )
        self.node = QuotaNode(state.vm, vm_key(state.vms.own), terms, state.now())
        self._granted = Signal()
        self._scheduled: set[int] = set()
        self._listing = False
        self._recalling: set[str] = set()
        registration.listing_hooks.append(self._hear_listing)

    def admit(self, team: str, patience: timedelta) -> Answer | None:
        """Use a token of a team for one operation; return the answer if it is refused.

        Waits for up to `patience` while a token is requested.
        """
        self._apply_catalog()
        node, now = self.node, self._state.now()
        if team not in node.limits:
            return None
        use = node.record_arrival(team, now)
        if node.take(team, now):
            return None
        if use.dry_until <= now:
            use.waiting += 1
            try:
                if self._wait_for_token(team, now + min(patience, MAX_TOKEN_WAIT)):
                    return None
            finally:
                use.waiting -= 1
        use.refused += 1
        left = use.dry_until - self._state.now()
        retry_ms = math.ceil((left if left > timedelta() else REPORT_INTERVAL) / MILLISECOND)
        text = f"over the rate limit of the team, retry after {retry_ms} ms"
        return Answer(AnswerCode.BUSY, text=text)

    def tick(self) -> None:
        """Report to the hubs, and look after the count of VMs."""
        self._apply_catalog()
        if not self.node.limits:
            return
        now = self._state.now()
        self.node.count.hear((entry.id for entry in self._state.vms.entries()), now)
        self._look_after_count(now)
        usable = self._state.vms.usable() or [self._state.vms.own]
        key_by_id = {entry.id: vm_key(entry) for entry in usable}
        self._send_all(self.node.tick(key_by_id, now))
        self._log_events()

    def leave(self) -> None:
        """End the loans before a planned stop."""
        if self.node.limits and len(self._state.vms.usable()) > 1:
            self._send_all(self.node.leave(self._state.now()))

    def on_report(self, link: PeerLink, report: Report) -> None:
        """Handle a report of a peer."""
        self._apply_catalog()
        now = self._state.now()
        self.node.count.confirm(link.peer.id, now)
        grant = self.node.on_report(vm_key(link.peer), report, now)
        if grant is not None:
            link.send(encode_quota(grant))

    def on_grant(self, link: PeerLink, grant: Grant) -> None:
        """Handle a grant of a peer."""
        now = self._state.now()
        self.node.count.confirm(link.peer.id, now)
        self._send_all(self.node.on_grant(vm_key(link.peer), grant, now))
        if grant.number:
            self._granted.fire()

    def _apply_catalog(self) -> None:
        catalog = self._state.catalog
        if catalog.version == self.node.version:
            return
        limits, problems = team_limits(catalog.teams.teams_by_name.values())
        for problem in problems:
            log_event("quota_limit_bounded", version=catalog.version, limit=problem)
        if limits or self.node.limits:
            log_event("quota_limits_in_force", version=catalog.version, teams=len(limits))
        if limits and not self.node.limits:
            # The next tick may be a report interval away, and nothing is lent before one.
            gevent.spawn(self.tick)
        self.node.apply(limits, catalog.version, self._state.now())
        # Wakes operations of teams that have no limit any more.
        self._granted.fire()

    # Waiting for a token.

    def _wait_for_token(self, team: str, deadline: timedelta) -> bool:
        node = self.node
        self._request(node.group_of_team(team))
        while True:
            now = self._state.now()
            if team not in node.limits or node.take(team, now):
                return True
            if now >= deadline or node.uses[team].dry_until > now:
                return False
            wait = min(deadline - now, REQUEST_TIMEOUT)
            if not self._granted.wait(wait.total_seconds()) and team in node.limits:
                self._request(node.group_of_team(team))

    def _request(self, group: int) -> None:
        """Send a request for the waiting operations of a group, at once or after a short gap."""
        if group in self._scheduled:
            return
        delay = self.node.request_delay(group, self._state.now())
        if delay > timedelta():
            self._scheduled.add(group)
            gevent.spawn_later(delay.total_seconds(), self._send_request, group)
        else:
            self._send_request(group)

    def _send_request(self, group: int) -> None:
        self._scheduled.discard(group)
        self._send_all(self.node.request(group, self._state.now()))
        # This VM may be the hub itself.
        self._granted.fire()

    def _send_all(self, messages: list[tuple[str, Report | Grant]]) -> None:
        for vm, message in messages:
            gevent.spawn(self._send, vm, encode_quota(message))

    def _send(self, vm: str, frame: Any) -> None:
        try:
            self._net.link(vm).send(frame)
        except PeerLostError:
            # PeerNet has recorded the failure; the next tick chooses another hub.
            return

    # The count of VMs.

    def _hear_listing(self, vms: list[str]) -> None:
        if self.node.limits:
            self.node.count.list_stale(vms, self._state.now())

    def _look_after_count(self, now: timedelta) -> None:
        """Fetch the listing after this VM's registration, and have the others count this VM."""
        if self.node.count.needs_listing and self._registration.registered and not self._listing:
            self._listing = True
            gevent.spawn(self._list_current)
        unconfirmed = sorted(self.node.count.unconfirmed(now))
        for vm in unconfirmed[:CONFIRMATIONS_PER_TICK]:
            gevent.spawn(self._confirm, vm)
        for vm in self.node.vms_to_recall(now):
            if vm not in self._recalling:
                self._recalling.add(vm)
                gevent.spawn(self._recall, vm)

    def _list_current(self) -> None:
        try:
            vms = self._registration.list_current()
            was_registered = self._registration.was_registered
            self.node.count.list_fresh(vms, was_registered, self._state.now())
            log_event("quota_vms_listed", vms=len(vms), was_registered=was_registered)
            self._look_after_count(self._state.now())
        except StoreError as error:
            log_event("vm_list_failed", reason=error)
        finally:
            self._listing = False

    def _confirm(self, vm: str) -> None:
        """Ping a VM; it has this VM's entry since the link's handshake, and so counts it."""
        try:
            self._net.call(
                vm,
                lambda call: frames.Ping(call=call, catalog_version=0, vms_known=0),
                CONFIRM_TIMEOUT,
            )
        except PeerLostError:
            return
        self.node.count.confirm(vm, self._state.now())

    def on_recall(self, link: PeerLink, call: int) -> None:
        """Answer a VM that restarted and asks for what its earlier process had lent."""
        self._apply_catalog()
        left = self.node.on_recall(vm_key(link.peer), self._state.now())
        link.send(frames.QuotaRecalled(call=call, left_us=left // _MICROSECOND))

    def _recall(self, vm: str) -> None:
        """Ask a VM to drop what an earlier process of this one has lent, until it answers."""
        try:
            while vm in self.node.vms_to_recall(self._state.now()):
                self._recall_once(vm)
        finally:
            self._recalling.discard(vm)

    def _recall_once(self, vm: str) -> None:
        try:
            answer = self._net.call(vm, lambda call: frames.QuotaRecall(call=call), RECALL_TIMEOUT)
        except PeerLostError:
            gevent.sleep(RECALL_PAUSE.total_seconds())
            return
        # A malformed time counts as the longest.
        left = MAX_RECALL_LEFT
        if (
            isinstance(answer.left_us, int)
            and 0 <= answer.left_us < MAX_RECALL_LEFT // _MICROSECOND
        ):
            left = answer.left_us * _MICROSECOND
        self.node.record_recall(vm, left, self._state.now())

    # What operators see.

    def _log_events(self) -> None:
        events, self.node.events = self.node.events, []
        for event in events:
            log_event(event.name, **event.fields)

    def collect(self) -> Iterator[Any]:
        """Yield metric families of the most used teams and of the sum of the others."""
        from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily

        uses = sorted(self.node.uses.items(), key=lambda item: (-item[1].used, item[0]))
        limit = GaugeMetricFamily(
            "bramleyrill_team_limit_per_second", "Rate limit over all VMs", labels=["team"]
        )
        for team, _ in uses[:TEAMS_IN_METRICS]:
            limit.add_metric([team], self.node.limits[team].rate_per_s)
        yield limit
        for name in ("granted", "used", "refused"):
            family = CounterMetricFamily(
                f"bramleyrill_team_tokens_{name}",
                f"Tokens of teams that were {name}",
                labels=["team"],
            )
            for team, use in uses[:TEAMS_IN_METRICS]:
                family.add_metric([team], getattr(use, name))
            others = sum(getattr(use, name) for _, use in uses[TEAMS_IN_METRICS:])
            family.add_metric(["other"], others)
            yield family
        fractions = GaugeMetricFamily(
            "bramleyrill_quota_fraction", "Fraction of a group's limits lent here", labels=["group"]
        )
        for group, fraction in self.node.hub_fractions(self._state.now()).items():
            fractions.add_metric([str(group)], fraction)
        yield fractions


@handlers.register("QuotaReport")
def handle_report(net: PeerNet, link: PeerLink, frame: Any) -> None:
    """Give a report to the limits; one that is malformed is rejected by the link."""
    net.services[TeamLimits].on_report(link, decode_report(frame))


@handlers.register("QuotaRecall")
def handle_recall(net: PeerNet, link: PeerLink, frame: Any) -> None:
    """Give up what an earlier process of a VM has lent."""
    net.services[TeamLimits].on_recall(link, frame.call)


@handlers.register("QuotaGrant")
def handle_grant(net: PeerNet, link: PeerLink, frame: Any) -> None:
    """Give a grant to the limits; one that is malformed is rejected by the link."""
    net.services[TeamLimits].on_grant(link, decode_grant(frame))
