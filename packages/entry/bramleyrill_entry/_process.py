"""Start the parts of the process, and end them on a signal."""

import gc
import os
import signal
from datetime import timedelta
from typing import Any

import gevent
from attrs import evolve
from bramleyrill_base import SystemClock, log_event
from bramleyrill_core.placement import ReadPlacement, VmEntry, VmTable
from bramleyrill_platform import DutyClient, StoreClient
from gevent.event import Event

from bramleyrill_entry._desks import Desks
from bramleyrill_entry._executor import Executor
from bramleyrill_entry._front import Front
from bramleyrill_entry._gossip import PING_INTERVAL, Gossip
from bramleyrill_entry._http import HttpListeners
from bramleyrill_entry._listen import Listeners
from bramleyrill_entry._metrics import EntryMetrics
from bramleyrill_entry._output import set_up_output
from bramleyrill_entry._peers import PeerNet
from bramleyrill_entry._proofs import PROOF_INTERVAL, ProofKeeper
from bramleyrill_entry._router import Router
from bramleyrill_entry._settings import (
    EntrySettings,
    SettingsError,
    settings_from_environment,
)
from bramleyrill_entry._state import EntryState, every
from bramleyrill_entry._stop import PlannedStop
from bramleyrill_entry._supervisor import TICK, Supervisor
from bramleyrill_entry._watch import (
    VM_LIST_INTERVAL,
    ConfigurationWatch,
    MemberWatch,
    VmRegistration,
    unix_ms,
)

# Requests that waited too long are answered within this; a shorter one wakes idle processes.
DESK_TICK = timedelta(milliseconds=100)
MAINTENANCE_INTERVAL = timedelta(milliseconds=500)
# Allocations between two collections of the youngest objects. Statements leave few cycles, and
# with the usual 700 the collector takes 2% of the time.
COLLECT_AFTER = 10_000


class EntryProcess:
    """All parts of one process."""

    def __init__(self, settings: EntrySettings, listeners: Listeners) -> None:
        clock = SystemClock()
        own = VmEntry(settings.id, settings.domain, settings.peer_listen, unix_ms())
        self.state = EntryState(
            settings,
            clock,
            VmTable(own),
            ReadPlacement(settings.domain, settings.region_by_domain),
        )
        services: dict[type, Any] = {}
        self.net = PeerNet(self.state, services, listeners.peers)
        self.desks = services[Desks] = Desks(self.state)
        self.gossip = services[Gossip] = Gossip(self.net)
        self.metrics = EntryMetrics()
        self.executor = Executor(self.net, self.desks)
        router = Router(self.state, self.executor, self.metrics)
        self.front = Front(self.state, router, self.metrics, listeners.callers)
        self.store = StoreClient(settings.platform)
        duties = DutyClient(settings.duties)
        self.supervisor = Supervisor(
            self.state, self.net, self.desks, self.executor, self.store, duties
        )
        self.proofs = ProofKeeper(self.state, self.executor)
        self.configuration = ConfigurationWatch(self.state, self.store)
        self.members = MemberWatch(self.state, self.store)
        self.registration = VmRegistration(self.state, self.store)
        self.http = HttpListeners(listeners, self.is_ready, self.metrics)
        self.net.lost_hooks.append(self.desks.end_all)
        self.gossip.behind_hooks.append(self.members.watch.renew)
        self.gossip.behind_hooks.append(self.configuration.watch.renew)
        self.gossip.listing_hooks.append(self.members.take_from_peer)

    def is_ready(self) -> bool:
        """Tell whether callers may be sent here."""
        return (
            not self.state.stopping
            and self.state.catalog.version > 0
            and len(self.state.members.members) > 0
        )

    def start(self) -> None:
        """Start everything."""
        self.net.start()
        self.http.start()
        self.front.start()
        gevent.spawn(self.configuration.watch.run)
        gevent.spawn(self.members.watch.run)
        gevent.spawn(self.registration.register)
        every(VM_LIST_INTERVAL, self.registration.list_vms)
        every(PING_INTERVAL, self._ping)
        every(DESK_TICK, self.desks.tick)
        every(MAINTENANCE_INTERVAL, self._maintain)
        every(PROOF_INTERVAL, self.proofs.tick)
        every(TICK, self.supervisor.tick)

    def stop(self) -> None:
        """Carry out a planned stop."""
        remove = gevent.spawn(self.registration.remove)
        PlannedStop(self.state, self.front, self.desks, self.net).run()
        remove.join(timeout=0.2)
        self.desks.close()
        self.net.close()

    def reload(self) -> None:
        """Take over the settings that may change while the process runs: seeds and grace."""
        try:
            settings = settings_from_environment()
        except SettingsError as error:
            log_event("settings_rejected", reason=error)
            return
        self.state.settings = evolve(
            self.state.settings, seed_peers=settings.seed_peers, grace_s=settings.grace_s
        )
        log_event("settings_reloaded", seeds=len(settings.seed_peers), grace_s=settings.grace_s)

    def _ping(self) -> None:
        self.gossip.greet_seeds()
        self.gossip.ping_some()

    def _maintain(self) -> None:
        self.members.drop_lapsed()
        self.desks.maintain()
        self.state.vms.remove_silent(self.state.now())
        self.metrics.set_gauge("sessions_open", len(self.front.sessions))
        self.metrics.set_gauge("store_calls", self.store.calls.total)
        self.metrics.set_gauge("configuration_version", self.state.catalog.version)


def run(settings: EntrySettings, listeners: Listeners) -> None:
    """Run until a signal ends the process."""
    output = set_up_output()
    gevent.spawn(output.flush_forever)
    process = EntryProcess(settings, listeners)
    stop = Event()
    gevent.signal_handler(signal.SIGTERM, stop.set)
    gevent.signal_handler(signal.SIGINT, stop.set)
    gevent.signal_handler(signal.SIGHUP, process.reload)
    # What was imported stays until the end and need not be looked at again.
    gc.freeze()
    gc.set_threshold(COLLECT_AFTER)
    process.start()
    log_event("started", vm=settings.id, domain=settings.domain)
    stop.wait()
    process.stop()
    log_event("ended")
    output.write_waiting()
    # Greenlets that still run hold nothing that an orderly exit would save.
    os._exit(0)
