"""Follow the platform's store: the configuration, the members and the VMs of the proxy."""

import random
import time
from collections.abc import Callable
from datetime import timedelta
from typing import Any

import gevent
from attrs import evolve
from bramleyrill_base import log_event
from bramleyrill_core.history import StoreRevision
from bramleyrill_core.placement import VmEntry, accepted_capacity, watches_platform
from bramleyrill_platform import (
    KIND_CONFIGURATION,
    KIND_MEMBERS,
    MAX_NUMBER,
    NAME_CONFIGURATION,
    Change,
    Changes,
    ConflictError,
    DecodeError,
    HistoryLostError,
    Listing,
    NotFoundError,
    StoreClient,
    StoredObject,
    StoreError,
    decode_catalog,
    decode_member,
    used_fields,
    without_keys,
)
from gevent.event import Event

from bramleyrill_entry._peer_link import is_port
from bramleyrill_entry._state import EntryState

# How long a watch call waits for changes; the platform allows no more. The client finds a dead
# connection long before, and peers' versions show that this VM is behind.
WATCH_WAIT = timedelta(seconds=30)
INITIAL_RETRY_PAUSE = timedelta(milliseconds=100)
MAX_RETRY_PAUSE = timedelta(seconds=1)
# Kind of the objects with which the proxy's VMs register.
KIND_VMS = "bramleyrill-vms"
# VMs that watch the platform list the VMs more often than those that hear of them from peers.
VM_LIST_INTERVAL = timedelta(seconds=5)
FOLLOWER_LIST_INTERVAL = timedelta(seconds=30)
# How often a VM that learns from its peers checks whether it should watch the platform itself.
WATCH_CHECK_INTERVAL = timedelta(seconds=1)


class WatchRenewedError(Exception):
    """Cancels a waiting watch call, so that a new one is made."""


def update_watches_store(state: EntryState) -> bool:
    """Decide whether this VM watches the store, record it in the state, and return it."""
    complete = state.catalog.version > 0 and len(state.members.members) > 0
    state.watches_store = not complete or watches_platform(state.vms, state.now())
    return state.watches_store


class StoreWatch:
    """List the objects of a kind, then follow their changes.

    Lists again when the store no longer has the history since the last revision, or was restored
    from a copy and is in another era. `on_listing`
    and `on_change` are called with what the store returned. While `needed` returns False, no call
    is made; afterwards the objects are listed again.
    """

    def __init__(
        self,
        store: StoreClient,
        kind: str,
        on_listing: Callable[[Listing], None],
        on_change: Callable[[Change], None],
        needed: Callable[[], bool] = lambda: True,
    ) -> None:
        self.wait = WATCH_WAIT
        self._needed = needed
        self._call: gevent.Greenlet | None = None
        self._recheck = Event()
        self._store = store
        self._kind = kind
        self._on_listing = on_listing
        self._on_change = on_change
        self._position: StoreRevision | None = None
        self._available = True

    def run(self) -> None:
        """Follow the changes forever; retry with backoff while the store does not answer."""
        pause = INITIAL_RETRY_PAUSE
        while True:
            if not self._needed():
                self._position = None
                self._recheck.clear()
                self._recheck.wait(WATCH_CHECK_INTERVAL.total_seconds())
                continue
            try:
                self._step()
                pause = INITIAL_RETRY_PAUSE
                self._record_availability(True, "")
            except HistoryLostError:
                log_event("watch_history_lost", kind=self._kind, revision=self._position)
                self._position = None
            except StoreError as error:
                self._record_availability(False, error)
                pause = _sleep_before_retry(pause)
            except Exception as error:
                # One object that a handler fails at must not end the watch.
                log_event("watch_failed", kind=self._kind, error=repr(error))
                self._position = None
                pause = _sleep_before_retry(pause)

    def _step(self) -> None:
        if self._position is None or self._position.era != self._store.history.era:
            self._list()
            return
        self._call = gevent.spawn(self._watch, self._position.number, self.wait)
        try:
            changes = self._call.get()
        except WatchRenewedError:
            # The call was cancelled before it began.
            return
        if changes is None:
            return
        if isinstance(changes, StoreError):
            raise changes
        if changes.era != self._position.era:
            log_event(
                "watch_answered_in_another_era",
                kind=self._kind,
                revision=self._position,
                era=changes.era,
            )
            self._position = None
            return
        for change in changes.changes:
            self._on_change(change)
        self._position = StoreRevision(changes.era, changes.revision)

    def _list(self) -> None:
        listing = self._store.list(self._kind)
        log_event(
            "watch_listed",
            kind=self._kind,
            revision=listing.position,
            objects=len(listing.objects),
        )
        self._on_listing(listing)
        self._position = listing.position

    def recheck(self) -> None:
        """Look now whether the watch is needed, as another VM lost or regained the store."""
        self._recheck.set()

    def renew(self) -> None:
        """Cancel the waiting call, so that a new one is made at once."""
        call = self._call
        if call is not None and not call.ready():
            log_event("watch_renewed", kind=self._kind, revision=self._position)
            call.kill(WatchRenewedError("the watch is renewed"), block=False)

    def _watch(self, revision: int, wait: timedelta) -> Changes | StoreError | None:
        """Make one call; return a store error, because gevent prints errors that are raised."""
        try:
            return self._store.watch(self._kind, revision, wait)
        except WatchRenewedError:
            return None
        except StoreError as error:
            return error

    def _record_availability(self, available: bool, reason: Any) -> None:
        if available is not self._available:
            event = "store_regained" if available else "store_lost"
            log_event(event, kind=self._kind, reason=reason or "answered")
            self._available = available


def _sleep_before_retry(pause: timedelta) -> timedelta:
    """Sleep for up to `pause` and return the next one."""
    gevent.sleep(pause.total_seconds() * random.uniform(0.5, 1.0))
    return min(pause * 2, MAX_RETRY_PAUSE)


class ConfigurationWatch:
    """Apply each new version of the configuration."""

    def __init__(self, state: EntryState, store: StoreClient) -> None:
        self._state = state
        self.watch = StoreWatch(
            store,
            KIND_CONFIGURATION,
            self._apply_listing,
            self._apply_change,
            lambda: update_watches_store(state),
        )

    def _apply_listing(self, listing: Listing) -> None:
        for stored in listing.objects:
            self._apply(stored)

    def _apply_change(self, change: Change) -> None:
        if not change.deleted:
            self._apply(change.object)

    def _apply(self, stored: StoredObject) -> None:
        if stored.name != NAME_CONFIGURATION:
            return
        try:
            catalog = decode_catalog(stored.value)
        except DecodeError as error:
            log_event("configuration_rejected", revision=stored.revision, reason=error)
            return
        self._state.apply_catalog(catalog, without_keys(stored.value), "store")


class MemberWatch:
    """Keep the table of members up to date."""

    def __init__(self, state: EntryState, store: StoreClient) -> None:
        self._state = state
        self._members = state.members
        self.watch = StoreWatch(
            store,
            KIND_MEMBERS,
            self._apply_listing,
            self._apply_change,
            lambda: update_watches_store(state),
        )

    def update_overdue(self) -> None:
        """Use restored entries, and remove lapsed members, that were not written again in time."""
        previous_primaries = self._primary_by_service()
        for member in self._members.settle_restored(self._state.now()):
            log_event("member_entry_settled", member=member)
        for member in self._members.drop_lapsed(self._state.now()):
            log_event("member_gone", member=member)
        self._report_primary_changes(previous_primaries)

    def apply_peer_listing(self, listing: Listing) -> None:
        """Apply a listing of member entries that was pulled from a peer."""
        self._apply_listing(listing, "peer")

    def _apply_listing(self, listing: Listing, source: str = "store") -> None:
        decoded = [(stored, self._decode(stored, source)) for stored in listing.objects]
        entries = [entry for _, entry in decoded if entry is not None]
        previous_primaries = self._primary_by_service()
        self._state.member_objects = {
            stored.name: _passed_on(stored) for stored, entry in decoded if entry is not None
        }
        self._members.replace_all(entries, self._state.now())
        if source == "peer":
            # The newest change may be a removal, of which the list shows no revision.
            self._members.revision = max(self._members.revision, listing.position)
        log_event(
            "members_listed",
            members=len(entries),
            revision=listing.position,
            source=source,
            held_back=self._members.restored_count(),
        )
        self._report_primary_changes(previous_primaries)

    def _apply_change(self, change: Change) -> None:
        name = change.object.name
        entry = None if change.deleted else self._decode(change.object)
        if entry is not None:
            self._state.member_objects[name] = _passed_on(change.object)
        else:
            self._state.member_objects.pop(name, None)
            log_event("member_entry_lapsed", member=name)
            self._members.revision = max(self._members.revision, change.object.position)
            self._members.lapse(name, self._state.now())
            return
        row = self._members.members.get(name)
        # The row is changed in place.
        previous_state = row.entry.state if row is not None else None
        previous_primaries = self._primary_by_service()
        self._members.put(entry, self._state.now())
        if previous_state is not entry.state:
            log_event(
                "member_seen",
                member=name,
                state=entry.state,
                role=entry.role,
                service=entry.service,
                domain=entry.domain,
            )
        self._report_primary_changes(previous_primaries)

    def _decode(self, stored: StoredObject, source: str = "store") -> Any:
        try:
            return decode_member(stored, told_by_peer=source == "peer")
        except DecodeError as error:
            log_event("member_entry_skipped", member=stored.name, reason=error)
            return None

    def _primary_by_service(self) -> dict[str, str]:
        rows = self._members.primaries.by_id.items()
        return {service: row.member for service, row in rows}

    def _report_primary_changes(self, previous_primaries: dict[str, str]) -> None:
        changed = False
        for service, member in self._primary_by_service().items():
            if previous_primaries.get(service) != member:
                log_event("primary_changed", service=service, member=member, source="entry")
                changed = True
        if changed:
            self._state.primary_changed.fire()


def _passed_on(stored: StoredObject) -> StoredObject:
    """Return a member's entry as peers get it."""
    return evolve(stored, value=used_fields(stored.value))


class VmRegistration:
    """Register this VM in the store, and learn about the other VMs there."""

    def __init__(self, state: EntryState, store: StoreClient) -> None:
        self._state = state
        self._store = store
        self._listed_at: timedelta | None = None
        self._registering = False
        self._restored = False
        # Whether this VM's entry is in the store, and whether one of an earlier process was there.
        self.registered = False
        self.was_registered = False
        # Called with the ids in each listing, which may be seconds old.
        self.listing_hooks: list[Callable[[list[str]], None]] = []

    def register(self) -> None:
        """Write this VM's entry; retry until the store accepts it or the process stops."""
        self._registering = True
        while not self._state.stopping:
            self._restored = False
            if self._try_register() and not self._restored:
                self.registered = True
                break
            gevent.sleep(MAX_RETRY_PAUSE.total_seconds() * random.uniform(0.5, 1.0))
        self._registering = False

    def renew(self) -> None:
        """Write the entry again after a restore, which may have taken it away."""
        self._restored = True
        if not self._registering:
            self._registering = True
            # All VMs learn of a restore at the same time; the store limits the calls a second.
            gevent.spawn_later(MAX_RETRY_PAUSE.total_seconds() * random.random(), self.register)

    def list_vms(self) -> None:
        """Merge the VMs that the store lists; the list may be seconds old."""
        now = self._state.now()
        interval = VM_LIST_INTERVAL if self._state.watches_store else FOLLOWER_LIST_INTERVAL
        if self._listed_at is not None and now - self._listed_at < interval:
            return
        self._listed_at = now
        try:
            listing = self._store.list(KIND_VMS, allow_stale=True)
        except StoreError as error:
            log_event("vm_list_failed", reason=error)
            return
        for hook in self.listing_hooks:
            hook([stored.name for stored in listing.objects])
        entries = [entry for entry in map(_decode_vm, listing.objects) if entry is not None]
        for entry in self._state.vms.update_all(entries, self._state.now()):
            log_event(
                "vm_known",
                vm=entry.id,
                domain=entry.domain,
                capacity=entry.capacity or "unknown",
                via="store",
            )

    def list_current(self) -> list[str]:
        """Return the ids of all VMs that are registered now; raise StoreError."""
        return [stored.name for stored in self._store.list(KIND_VMS).objects]

    def remove(self) -> None:
        """Remove this VM's entry from the store; a failure is only logged."""
        try:
            self._store.delete(KIND_VMS, self._state.vm)
        except StoreError as error:
            log_event("vm_entry_not_removed", reason=error)

    def _try_register(self) -> bool:
        own = self._state.vms.own
        value = {
            "domain": own.domain,
            "host": own.address[0],
            "port": own.address[1],
            "started_ms": own.started_ms,
            "capacity": own.capacity,
        }
        try:
            self._store.create(KIND_VMS, own.id, value)
        except ConflictError as error:
            return self._replace(own.id, value, error.current)
        except StoreError as error:
            log_event("vm_registration_failed", reason=error)
            return False
        return True

    def _replace(self, name: str, value: Any, current: StoredObject | None) -> bool:
        try:
            current = current or self._store.get(KIND_VMS, name)
            if current.value == value:
                return True
            self._store.replace(KIND_VMS, name, value, current.revision)
            self.was_registered = True
        except (NotFoundError, ConflictError, StoreError) as error:
            log_event("vm_registration_failed", reason=error)
            return False
        return True


def _decode_vm(stored: StoredObject) -> VmEntry | None:
    value = stored.value
    if not isinstance(value, dict):
        return None
    domain, host = value.get("domain"), value.get("host")
    port, started_ms = value.get("port"), value.get("started_ms")
    if not all(map(_is_name, (stored.name, domain, host))) or not is_port(port):
        return None
    if not isinstance(started_ms, int) or not 0 <= started_ms <= MAX_NUMBER:
        return None
    capacity = accepted_capacity(value.get("capacity"))
    return VmEntry(stored.name, domain, (host, port), started_ms, capacity=capacity)


def _is_name(value: object) -> bool:
    """Return whether a value can be told to peers as a name."""
    return isinstance(value, str) and bool(value) and value.isprintable()


def unix_time_ms() -> int:
    """Return the time of day in Unix milliseconds."""
    return time.time_ns() // 1_000_000
