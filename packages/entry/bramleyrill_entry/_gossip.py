"""Gossip between entry VMs: liveness, the list of VMs, the version of the configuration."""

import json
import random
import zlib
from collections.abc import Callable
from datetime import timedelta
from typing import Any

import gevent
from bramleyrill_base import log_event
from bramleyrill_core.history import StoreRevision
from bramleyrill_core.placement import VmEntry, VmNews, VmRow, is_news
from bramleyrill_core.vm_health import MAX_DELAY
from bramleyrill_platform import DecodeError, Listing, StoredObject, decode_catalog
from bramleyrill_wire.entries import frames

from bramleyrill_entry._health import VmHealth
from bramleyrill_entry._load_reports import LoadReports
from bramleyrill_entry._peer_link import PeerLink, PeerLostError, decode_vm, encode_vm
from bramleyrill_entry._peers import PeerNet, era_age_ms, handlers, make_pong
from bramleyrill_entry._state import EntryState

_MICROSECOND = timedelta(microseconds=1)
PING_INTERVAL = timedelta(milliseconds=500)
PING_TIMEOUT = timedelta(milliseconds=900)
PULL_TIMEOUT = timedelta(seconds=2)
# Time for the platform to deliver what a peer already has, before a VM that watches the platform
# pulls it from the peer.
BEHIND_GRACE = timedelta(seconds=1)
# The other VMs pull within this time at random, so that they do not load one peer all at once.
FOLLOWER_GRACE = timedelta(milliseconds=100)
# A longer age tells no more, and a huge one would overflow.
MAX_ERA_AGE_MS = 3_600_000
# Number of random VMs of this failure domain that are pinged each time.
OWN_DOMAIN_PINGS = 2
# News of a VM wait this long before they are passed on, for others that come at the same time.
NEWS_DELAY = timedelta(milliseconds=20)
# A VM passes news on no more often, when many VMs become slow in the same second.
MIN_NEWS_INTERVAL = timedelta(milliseconds=250)
# Probability of pinging a VM of another failure domain; low because that traffic costs more.
OTHER_DOMAIN_PING_CHANCE = 0.3
# Maximum number of failed VMs that are pinged each time to see whether they are back.
MAX_PROBED_VMS = 4


# What a pull fails with if the peer is gone, or sends something that cannot be read.
_PULL_ERRORS = (
    PeerLostError,
    DecodeError,
    ValueError,
    LookupError,
    TypeError,
    AttributeError,
    RecursionError,
    zlib.error,
)


class Gossip:
    """Exchange state with a few random VMs at a time.

    `behind_hooks` are called when this VM still has older versions than a peer after
    BEHIND_GRACE, and `listing_hooks` with member entries pulled from a peer. `health` gets the
    round trips and what peers tell of their delays; None measures nothing. `contact_hooks` are
    called when another VM lost or regained the store.
    """

    def __init__(self, net: PeerNet) -> None:
        self._net = net
        self._state = net.state
        self._catching_up = False
        self.news = VmNews()
        self._passing_on = False
        self._next_pass_on_at = timedelta()
        self.health: VmHealth | None = None
        self.behind_hooks: list[Callable[[], None]] = []
        self.listing_hooks: list[Callable[[Listing], None]] = []
        self.contact_hooks: list[Callable[[], None]] = []

    def ping_peers(self) -> None:
        """Ping a few random VMs, and some of those that failed."""
        domain = self._state.settings.domain
        own_domain = [row for row in self._state.vms.vms if row.entry.domain == domain]
        other_domains = [row for row in self._state.vms.vms if row.entry.domain != domain]
        chosen = random.sample(own_domain, min(OWN_DOMAIN_PINGS, len(own_domain)))
        if other_domains and (not own_domain or random.random() < OTHER_DOMAIN_PING_CHANCE):
            chosen.append(random.choice(other_domains))
        pinged = {row.entry.id for row in chosen}
        failed = self._state.vms.due_for_probe(self._state.now())
        pinged.update(random.sample(failed, min(MAX_PROBED_VMS, len(failed))))
        for vm in pinged:
            gevent.spawn(self.ping, vm)

    def ping(self, vm: str, late_by: timedelta | None = None) -> None:
        """Ping one VM, merge its list of VMs and compare versions.

        `late_by` tells the VM by how much its answer to the ping before this one was late.
        """
        state = self._state
        try:
            # A dial is no part of the round trip.
            link = self._net.link(vm)
            sent_at = state.now()
            answer = link.call(
                lambda call: frames.Ping(
                    call=call,
                    catalog_version=state.catalog.version,
                    vms_known=len(state.vms.entries()),
                    vm=encode_vm(state.vms.own),
                    members_revision=state.members.revision.number,
                    store_era=state.members.revision.era,
                    store_era_age_ms=era_age_ms(state),
                    news=self.news_to_tell() or None,
                    late_by_us=None if late_by is None else min(late_by, MAX_DELAY) // _MICROSECOND,
                    loop_delay_us=self.health.loop_delay_us if self.health else None,
                ),
                PING_TIMEOUT,
            )
        except PeerLostError:
            # PeerNet has recorded the failure.
            return
        now = state.now()
        state.vms.record_answer(vm, now)
        self._record_round_trip(link.peer, now - sent_at, answer, late_by is not None)
        try:
            entries = [decode_vm(known) for known in (answer.vm, *(answer.vms or ()))]
            members_revision = hear_revision(state, answer)
        except ValueError as error:
            log_event("frame_rejected", vm=vm, frame="Pong", reason=error)
            return
        self.merge(entries, vm)
        reports = self._net.services.get(LoadReports)
        if reports is not None:
            reports.hear_pong(vm, answer.loads)
        self.handle_peer_versions(vm, answer.catalog_version or 0, members_revision)

    def _record_round_trip(
        self, peer: VmEntry, round_trip: timedelta, answer: Any, is_report: bool
    ) -> None:
        """Tell a VM at once if its answer was late, with another ping; a report gets none."""
        if self.health is None:
            return
        self.health.hear(peer.id, answer.loop_delay_us)
        late_by = self.health.record_round_trip(peer, round_trip)
        if late_by and not is_report:
            gevent.spawn(self.ping, peer.id, late_by)

    def dial_seeds(self) -> None:
        """Dial the seed addresses if no other VM is known."""
        if len(self._state.vms.vms):
            return
        for address in self._state.settings.seed_peers:
            if address != self._state.settings.peer_listen:
                gevent.spawn(self._dial_seed, address)

    def merge(self, entries: list[VmEntry], via: str) -> None:
        """Store the entries that a peer told, and pass on what other VMs should know soon."""
        vms, now = self._state.vms, self._state.now()
        for entry in entries:
            row = vms.vms.get(entry.id)
            earlier = row.entry if row is not None else None
            if not vms.update(entry, now):
                continue
            log_event(
                "vm_known",
                vm=entry.id,
                domain=entry.domain,
                leaving=entry.leaving,
                capacity=entry.capacity or "unknown",
                slow_ms=entry.slow_ms,
                store_lost=entry.store_lost,
                via=via,
            )
            if earlier is not None and earlier.store_lost is not entry.store_lost:
                for hook in self.contact_hooks:
                    hook()
            if is_news(earlier, entry, vms.own.domain):
                self.news.record(entry.id, now)
                self._pass_on_soon()

    def announce(self, to_other_domains: bool = True) -> None:
        """Tell a few VMs of each failure domain, or of its own, that this VM's entry changed."""
        rows_by_domain: dict[str, list[VmRow]] = {}
        for row in self._state.vms.vms:
            if row.usable:
                rows_by_domain.setdefault(row.entry.domain, []).append(row)
        own_domain = self._state.settings.domain
        for domain, rows in rows_by_domain.items():
            if domain != own_domain and not to_other_domains:
                continue
            count = OWN_DOMAIN_PINGS if domain == own_domain else 1
            for row in random.sample(rows, min(count, len(rows))):
                gevent.spawn(self.ping, row.entry.id)

    def _pass_on_soon(self) -> None:
        """Ping a few VMs with what is new; changes that come together are passed on together."""
        if not self._passing_on:
            self._passing_on = True
            pause = max(self._next_pass_on_at - self._state.now(), NEWS_DELAY)
            gevent.spawn_later(pause.total_seconds(), self._pass_on)

    def _pass_on(self) -> None:
        self._passing_on = False
        self._next_pass_on_at = self._state.now() + MIN_NEWS_INTERVAL
        domain = self._state.settings.domain
        rows = [row for row in self._state.vms.vms if row.entry.domain == domain and row.usable]
        for row in random.sample(rows, min(OWN_DOMAIN_PINGS, len(rows))):
            gevent.spawn(self.ping, row.entry.id)

    def news_to_tell(self) -> list[Any]:
        """Return the structs of the VMs whose entries changed a moment ago."""
        return [encode_vm(entry) for entry in self.news.current(self._state.vms, self._state.now())]

    def hear_delays(self, vm: str, ping: Any) -> None:
        """Take the delays that a peer's ping tells."""
        if self.health is not None:
            self.health.hear(vm, ping.loop_delay_us, ping.late_by_us)

    def handle_peer_versions(self, vm: str, version: int, members_revision: StoreRevision) -> None:
        """Schedule a pull if a peer has a newer configuration or newer member entries.

        A VM that watches the platform gets both from it a moment later, so it waits first unless it
        has no configuration yet. The others pull soon.
        """
        if not self._is_behind(version, members_revision) or self._catching_up:
            return
        self._catching_up = True
        pause = self._pause_before_pull()
        gevent.spawn_later(pause.total_seconds(), self._catch_up, vm, version, members_revision)

    def _pause_before_pull(self) -> timedelta:
        if not self._state.catalog.version:
            return timedelta()
        if self._state.watches_store:
            return BEHIND_GRACE
        return FOLLOWER_GRACE * random.random()

    def _is_behind(self, version: int, members_revision: StoreRevision) -> bool:
        state = self._state
        return version > state.catalog.version or members_revision > state.members.revision

    def _catch_up(self, vm: str, version: int, members_revision: StoreRevision) -> None:
        """Pull from a VM if this one is still behind, and renew the watches of the store.

        A watch may wait on a dead connection, or the platform may be unreachable.
        """
        try:
            if not self._is_behind(version, members_revision):
                return
            log_event(
                "behind_peer",
                vm=vm,
                version=self._state.catalog.version,
                known_version=version,
                members_revision=self._state.members.revision,
                known_members_revision=members_revision,
            )
            for hook in self.behind_hooks:
                hook()
            self._pull(vm)
        finally:
            self._catching_up = False

    def _dial_seed(self, address: tuple[str, int]) -> None:
        try:
            entry = self._net.dial_address(address)
        except PeerLostError as error:
            log_event("seed_unreachable", address=f"{address[0]}:{address[1]}", reason=error)
            return
        self.ping(entry.id)

    def _pull(self, vm: str) -> None:
        """Fetch the configuration and the member entries of a VM; apply what is newer."""
        try:
            push = self._net.call(
                vm,
                lambda call: frames.CatalogPull(
                    call=call,
                    catalog_version=self._state.catalog.version,
                    members_revision=self._state.members.revision.number,
                    store_era=self._state.members.revision.era,
                ),
                PULL_TIMEOUT,
            )
            body = json.loads(zlib.decompress(push.body))
            if body["configuration"] is not None:
                catalog = decode_catalog(body["configuration"])
                self._state.apply_catalog(catalog, body["configuration"], f"peer {vm}")
            revision = told_revision(self._state, push)
            if revision > self._state.members.revision:
                objects = [_read_pushed(item, revision.era) for item in body["members"]]
                for hook in self.listing_hooks:
                    hook(Listing(objects, revision.number, revision.era))
        except _PULL_ERRORS as error:
            log_event("configuration_pull_failed", vm=vm, reason=repr(error))


def told_revision(state: EntryState, frame: Any) -> StoreRevision:
    """Return the revision of member entries that a peer tells; raise ValueError if malformed."""
    return state.history.place(frame.store_era, frame.members_revision or 0)


def hear_revision(state: EntryState, frame: Any) -> StoreRevision:
    """Return the revision that a ping or pong tells, after learning its era."""
    revision = told_revision(state, frame)
    if frame.store_era is not None:
        lasted = timedelta(milliseconds=min(frame.store_era_age_ms or 0, MAX_ERA_AGE_MS))
        state.history.hear(revision.era, lasted)
    return revision


def _read_pushed(item: Any, era: int) -> StoredObject:
    """Return a member's entry that a peer sent as name, revision and value; raise ValueError."""
    name, revision, value = item
    if not isinstance(name, str) or not isinstance(revision, int):
        raise ValueError("a pushed entry has no name or revision")
    return StoredObject(name, revision, value, era)


@handlers.register("Ping")
def handle_ping(net: PeerNet, link: PeerLink, frame: Any) -> None:
    """Answer a ping; one without a VM's entry only checks that the link is alive."""
    if frame.vm is not None:
        now = net.state.now()
        entries = [decode_vm(known) for known in (frame.vm, *(frame.news or ()))]
        net.services[Gossip].merge(entries, link.peer.id)
        net.state.vms.record_answer(link.peer.id, now)
        net.services[Gossip].hear_delays(link.peer.id, frame)
        net.services[Gossip].handle_peer_versions(
            link.peer.id, frame.catalog_version or 0, hear_revision(net.state, frame)
        )
    if frame.vm is None:
        link.send(make_pong(net, frame.call, len(net.state.vms.entries())))
        return
    news = net.services[Gossip].news_to_tell()
    reports = net.services.get(LoadReports)
    loads = reports.stamps_for(link.peer.domain) if reports is not None else None
    link.send(make_pong(net, frame.call, frame.vms_known, news, loads))


@handlers.register("CatalogPull")
def handle_catalog_pull(net: PeerNet, link: PeerLink, frame: Any) -> None:
    """Send the configuration in force and the member entries to a peer, if they are newer.

    A peer of an older version does not say what it has, and gets both.
    """
    state = net.state
    configuration, members = None, []
    if state.catalog.version > (frame.catalog_version or 0):
        configuration = state.catalog_body
    if state.members.revision > told_revision(state, frame):
        members = [[item.name, item.revision, item.value] for item in state.member_objects.values()]
    body = {"configuration": configuration, "members": members}
    link.send(
        frames.CatalogPush(
            call=frame.call,
            version=state.catalog.version,
            body=zlib.compress(json.dumps(body).encode()),
            members_revision=state.members.revision.number,
            store_era=state.members.revision.era,
        )
    )
