"""Follow the platform's store: the configuration, the members, the VMs of this system."""

import random
import time
from collections.abc import Callable
from datetime import timedelta
from typing import Any

import gevent
from bramleyrill_base import log_event
from bramleyrill_core.placement import VmEntry, watches_closely
from bramleyrill_platform import (
    KIND_CONFIGURATION,
    KIND_MEMBERS,
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
)

from bramleyrill_entry._state import EntryState

# A watch whose connection went silent is noticed after its wait and the call's own timeout. VMs
# that do not watch closely notice it by what their peers know.
CLOSE_WAIT = timedelta(seconds=3)
LOOSE_WAIT = timedelta(seconds=15)
FIRST_PAUSE = timedelta(milliseconds=100)
LONGEST_PAUSE = timedelta(seconds=1)
# Objects of this system that name its VMs.
KIND_VMS = "bramleyrill-vms"
VM_LIST_INTERVAL = timedelta(seconds=5)


class RenewedError(Exception):
    """Ends a call that waits, so that another is made."""


def watch_wait(state: EntryState) -> timedelta:
    """Return how long this VM's watches may wait."""
    return CLOSE_WAIT if watches_closely(state.vms) else LOOSE_WAIT


class StoreWatch:
    """List a kind, then follow its changes; list again when the history is lost.

    `on_listing` and `on_change` are called with what the store returned. `answered` tells that
    the store answered since the start. `wait_for` returns how long a call may wait.
    """

    def __init__(
        self,
        store: StoreClient,
        kind: str,
        on_listing: Callable[[Listing], None],
        on_change: Callable[[Change], None],
        wait_for: Callable[[], timedelta],
    ) -> None:
        self.answered = False
        self._wait_for = wait_for
        self._call: gevent.Greenlet | None = None
        self._store = store
        self._kind = kind
        self._on_listing = on_listing
        self._on_change = on_change
        self._revision: int | None = None
        self._available = True

    def run(self) -> None:
        """Follow for ever."""
        pause = FIRST_PAUSE
        while True:
            try:
                self._step()
                pause = FIRST_PAUSE
                self._note_available(True, "")
            except HistoryLostError:
                log_event("watch_history_lost", kind=self._kind, revision=self._revision)
                self._revision = None
            except StoreError as error:
                self._note_available(False, error)
                gevent.sleep(pause.total_seconds() * random.uniform(0.5, 1.0))
                pause = min(pause * 2, LONGEST_PAUSE)

    def _step(self) -> None:
        if self._revision is None:
            listing = self._store.list(self._kind)
            self._on_listing(listing)
            self._revision = listing.revision
            self.answered = True
            return
        self._call = gevent.spawn(self._watch, self._revision, self._wait_for())
        changes = self._call.get()
        if changes is None:
            return
        if isinstance(changes, StoreError):
            raise changes
        for change in changes.changes:
            self._on_change(change)
        self._revision = changes.revision

    def renew(self) -> None:
        """Give up a call that waits and make another."""
        call = self._call
        if call is not None and not call.ready():
            log_event("watch_renewed", kind=self._kind, revision=self._revision)
            call.kill(RenewedError("the watch is renewed"), block=False)

    def _watch(self, revision: int, wait: timedelta) -> Changes | StoreError | None:
        """Make one call; return its error, as a failed greenlet would print it."""
        try:
            return self._store.watch(self._kind, revision, wait)
        except RenewedError:
            return None
        except StoreError as error:
            return error

    def _note_available(self, available: bool, reason: Any) -> None:
        if available is not self._available:
            event = "store_regained" if available else "store_lost"
            log_event(event, kind=self._kind, reason=reason or "answered")
            self._available = available


class ConfigurationWatch:
    """Put each version of the configuration in force."""

    def __init__(self, state: EntryState, store: StoreClient) -> None:
        self._state = state
        self.watch = StoreWatch(
            store,
            KIND_CONFIGURATION,
            self._take_listing,
            self._take_change,
            lambda: watch_wait(state),
        )

    def _take_listing(self, listing: Listing) -> None:
        for stored in listing.objects:
            self._take(stored)

    def _take_change(self, change: Change) -> None:
        if not change.deleted:
            self._take(change.object)

    def _take(self, stored: StoredObject) -> None:
        if stored.name != NAME_CONFIGURATION:
            return
        try:
            catalog = decode_catalog(stored.value)
        except DecodeError as error:
            log_event("configuration_rejected", revision=stored.revision, reason=error)
            return
        self._state.adopt_catalog(catalog, stored.value, "store")


class MemberWatch:
    """Keep the table of members."""

    def __init__(self, state: EntryState, store: StoreClient) -> None:
        self._state = state
        self._members = state.members
        self.watch = StoreWatch(
            store,
            KIND_MEMBERS,
            self._take_listing,
            self._take_change,
            lambda: watch_wait(state),
        )

    def drop_lapsed(self) -> None:
        """Forget members whose entries did not come back."""
        for member in self._members.drop_lapsed(self._state.now()):
            log_event("member_gone", member=member)

    def take_from_peer(self, listing: Listing) -> None:
        """Take over the entries that a peer knows and this VM does not."""
        self._take_listing(listing, "peer")

    def _take_listing(self, listing: Listing, source: str = "store") -> None:
        entries = [entry for entry in map(self._decode, listing.objects) if entry is not None]
        before = self._primaries()
        self._state.member_objects = {stored.name: stored for stored in listing.objects}
        self._members.replace_all(entries, self._state.now())
        log_event("members_listed", members=len(entries), revision=listing.revision, source=source)
        self._note_primaries(before)

    def _take_change(self, change: Change) -> None:
        name = change.object.name
        if change.deleted:
            self._state.member_objects.pop(name, None)
        else:
            self._state.member_objects[name] = change.object
        entry = None if change.deleted else self._decode(change.object)
        if entry is None:
            log_event("member_entry_lapsed", member=name)
            self._members.revision = max(self._members.revision, change.object.revision)
            self._members.lapse(name, self._state.now())
            return
        known = self._members.members.get(name)
        before = self._primaries()
        self._members.put(entry)
        if known is None or known.entry.state is not entry.state:
            log_event(
                "member_seen",
                member=name,
                state=entry.state,
                role=entry.role,
                service=entry.service,
                domain=entry.domain,
            )
        self._note_primaries(before)

    def _decode(self, stored: StoredObject) -> Any:
        try:
            return decode_member(stored)
        except DecodeError as error:
            log_event("member_entry_skipped", member=stored.name, reason=error)
            return None

    def _primaries(self) -> dict[str, str]:
        rows = self._members.primaries.by_id.items()
        return {service: row.member for service, row in rows}

    def _note_primaries(self, before: dict[str, str]) -> None:
        changed = False
        for service, member in self._primaries().items():
            if before.get(service) != member:
                log_event("primary_changed", service=service, member=member, source="entry")
                changed = True
        if changed:
            self._state.primary_changed.fire()


class VmRegistration:
    """Register this VM in the store, and learn of the others there."""

    def __init__(self, state: EntryState, store: StoreClient) -> None:
        self._state = state
        self._store = store

    def register(self) -> None:
        """Write this VM's entry, again and again until the store has taken it."""
        while not self._state.stopping and not self._try_register():
            gevent.sleep(LONGEST_PAUSE.total_seconds() * random.uniform(0.5, 1.0))

    def list_vms(self) -> None:
        """Take over the VMs that the store lists; the list may be seconds old."""
        try:
            listing = self._store.list(KIND_VMS, may_be_old=True)
        except StoreError as error:
            log_event("vm_list_failed", reason=error)
            return
        entries = [entry for entry in map(_read_vm, listing.objects) if entry is not None]
        for entry in self._state.vms.update_all(entries, self._state.now()):
            log_event("vm_known", vm=entry.id, domain=entry.domain, via="store")

    def remove(self) -> None:
        """Remove this VM's entry before it leaves."""
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
            self._store.replace(KIND_VMS, name, value, current.revision)
        except (NotFoundError, ConflictError, StoreError) as error:
            log_event("vm_registration_failed", reason=error)
            return False
        return True


def _read_vm(stored: StoredObject) -> VmEntry | None:
    value = stored.value
    if not isinstance(value, dict):
        return None
    domain, host = value.get("domain"), value.get("host")
    port, started_ms = value.get("port"), value.get("started_ms")
    texts = isinstance(domain, str) and isinstance(host, str)
    if not texts or not isinstance(port, int) or not isinstance(started_ms, int):
        return None
    return VmEntry(stored.name, domain, (host, port), started_ms)


def unix_ms() -> int:
    """Return the time of day in Unix milliseconds."""
    return time.time_ns() // 1_000_000
