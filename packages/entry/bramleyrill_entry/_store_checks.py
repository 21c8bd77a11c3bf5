"""Check that the store still answers a VM that watches it for others, and tell them if not.

A watch call waits up to 30 s for a change, so silence there shows nothing.
"""

import random
from collections.abc import Callable
from datetime import timedelta

import gevent
from attrs import evolve
from bramleyrill_base import log_event
from bramleyrill_core.placement import CHECK_INTERVAL, StoreContact, domain_watchers
from bramleyrill_platform import NotFoundError, StoreClient, StoreError

from bramleyrill_entry._gossip import Gossip
from bramleyrill_entry._state import EntryState
from bramleyrill_entry._watch import KIND_VMS

# A slow store answers within 200 ms.
CHECK_TIMEOUT = timedelta(milliseconds=500)


class StoreChecks:
    """Follow whether this VM hears the store.

    `lost_hooks` are called when it has lost the store, so that calls that wait for it can end.
    """

    def __init__(self, state: EntryState, store: StoreClient, gossip: Gossip) -> None:
        self._state = state
        self._store = store
        self._gossip = gossip
        self.contact = StoreContact()
        self.lost_hooks: list[Callable[[], None]] = []

    def run(self) -> None:
        """Check forever; VMs that learn from their peers make no call."""
        while True:
            try:
                if self._is_due():
                    self.check()
            except Exception as error:
                # A failed check must not end the task.
                log_event("store_check_failed", error=repr(error))
            pause = self.contact.next_check(self._state.watches_store)
            gevent.sleep(pause.total_seconds() * random.uniform(0.8, 1.0))

    def check(self) -> None:
        """Make one check, and tell the other VMs if its outcome changes what they should know."""
        if self.contact.record(self._answers()):
            self._tell()

    def _is_due(self) -> bool:
        if not self._state.catalog.version:
            return False
        if not self._state.watches_store and not self.contact.lost:
            return False
        has_trouble = self.contact.lost or self.contact.failures
        return bool(has_trouble) or self._store.silent_for() >= CHECK_INTERVAL / 2

    def _answers(self) -> bool:
        try:
            self._store.check(KIND_VMS, self._state.vm, CHECK_TIMEOUT)
        except NotFoundError:
            return True
        except StoreError:
            return False
        return True

    def _tell(self) -> None:
        """Change this VM's entry, and tell those first that are to watch the store now.

        VMs of other domains hear it with the next ping; none of them watches for this one.
        """
        vms, lost = self._state.vms, self.contact.lost
        log_event("store_contact_lost" if lost else "store_contact_regained", vm=vms.own.id)
        vms.own = evolve(vms.own, store_lost=lost, sequence=vms.own.sequence + 1)
        for vm in domain_watchers(vms):
            if vm != vms.own.id:
                gevent.spawn(self._gossip.ping, vm)
        self._gossip.announce(to_other_domains=False)
        if lost:
            for hook in self.lost_hooks:
                hook()
