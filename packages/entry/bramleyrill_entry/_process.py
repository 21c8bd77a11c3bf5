"""Start the parts of the process, and stop them on a signal."""

import gc
import os
import signal
from datetime import timedelta
from typing import Any

import gevent
from attrs import evolve
from bramleyrill_base import SystemClock, log_event
from bramleyrill_core.limits import REPORT_INTERVAL
from bramleyrill_core.placement import ReadPlacement, VmEntry, VmTable, capacity_of
from bramleyrill_platform import DutyClient, StoreClient
from gevent.event import Event

from bramleyrill_entry._duty_leases import DutyLeases
from bramleyrill_entry._executor import Executor
from bramleyrill_entry._front import Front
from bramleyrill_entry._gossip import PING_INTERVAL, Gossip
from bramleyrill_entry._health import VmHealth
from bramleyrill_entry._http import HttpListeners
from bramleyrill_entry._limits import TeamLimits
from bramleyrill_entry._listen import Listeners
from bramleyrill_entry._load_reports import LoadReports
from bramleyrill_entry._metrics import EntryMetrics
from bramleyrill_entry._output import set_up_output
from bramleyrill_entry._peers import PeerNet
from bramleyrill_entry._permits import PERMIT_CHECK_INTERVAL, PermitKeeper
from bramleyrill_entry._proof_refresher import PROOF_CHECK_INTERVAL, ProofRefresher
from bramleyrill_entry._router import Router
from bramleyrill_entry._schedulers import MemberSchedulers
from bramleyrill_entry._settings import (
    EntrySettings,
    SettingsError,
    settings_from_environment,
)
from bramleyrill_entry._state import EntryState, run_periodically
from bramleyrill_entry._stop import PlannedStop
from bramleyrill_entry._store_checks import StoreChecks
from bramleyrill_entry._supervisor import SUPERVISION_INTERVAL, Supervisor
from bramleyrill_entry._watch import (
    VM_LIST_INTERVAL,
    ConfigurationWatch,
    MemberWatch,
    VmRegistration,
    unix_time_ms,
)

# Upper limit of the delay in refusing a request that waited too long. A shorter interval would wake
# idle processes too often.
QUEUE_TICK_INTERVAL = timedelta(milliseconds=100)
MAINTENANCE_INTERVAL = timedelta(milliseconds=500)
# Allocations between two collections of the youngest generation. Statements leave few reference
# cycles, and with the default of 700 the collector takes 2% of the time.
GC_THRESHOLD = 10_000


class EntryProcess:
    """All parts of one process."""

    def __init__(self, settings: EntrySettings, listeners: Listeners) -> None:
        clock = SystemClock()
        own_capacity = capacity_of(settings.cpu_share, settings.cores, settings.link_mbps)
        log_event(
            "capacity",
            thousandths=own_capacity.capacity or "unknown",
            reason=own_capacity.reason or "-",
        )
        own = VmEntry(
            settings.id,
            settings.domain,
            settings.peer_listen,
            unix_time_ms(),
            capacity=own_capacity.capacity,
        )
        self.state = EntryState(
            settings,
            clock,
            VmTable(own),
            ReadPlacement(settings.domain, settings.region_by_domain, settings.read_policy),
        )
        services: dict[type, Any] = {}
        self.net = PeerNet(self.state, services, listeners.peers)
        self.store = StoreClient(settings.platform, self.state.history)
        self.permits = PermitKeeper(self.state, self.store)
        self.schedulers = services[MemberSchedulers] = MemberSchedulers(self.state, self.permits)
        self.gossip = services[Gossip] = Gossip(self.net)
        self.health = services[VmHealth] = VmHealth(self.state, QUEUE_TICK_INTERVAL)
        self.gossip.health = self.health
        self.health.change_hooks.append(self.gossip.announce)
        self.metrics = EntryMetrics(self.state.team_metrics)
        self.metrics.reads_placed = self.state.placement.counts
        self.executor = Executor(self.net, self.schedulers)
        self.loads = services[LoadReports] = LoadReports(self.state, self.schedulers)
        self.metrics.read_shares = self.loads.shares
        router = Router(self.state, self.executor, self.metrics, self.loads)
        self.registration = VmRegistration(self.state, self.store)
        self.limits = services[TeamLimits] = TeamLimits(self.net, self.registration)
        self.metrics.sources.append(self.limits.collect)
        self.front = Front(self.state, router, self.metrics, listeners.callers, self.limits)
        duties = DutyClient(settings.duties)
        self.supervisor = Supervisor(
            self.state, self.net, self.schedulers, self.executor, self.store, duties, self.permits
        )
        services[DutyLeases] = self.supervisor.leases
        self.proofs = ProofRefresher(self.state, self.executor)
        self.configuration = ConfigurationWatch(self.state, self.store)
        self.members = MemberWatch(self.state, self.store)
        self.http = HttpListeners(listeners, self.is_ready, self.metrics)
        self.net.lost_hooks.append(self.schedulers.end_transactions)
        self.gossip.behind_hooks.append(self.members.watch.renew)
        self.gossip.behind_hooks.append(self.configuration.watch.renew)
        self.store_checks = StoreChecks(self.state, self.store, self.gossip)
        watches = (self.members.watch, self.configuration.watch)
        self.gossip.contact_hooks += [watch.recheck for watch in watches]
        self.store_checks.lost_hooks += [watch.renew for watch in watches]
        self.state.history.hooks += [
            self.members.watch.renew,
            self.configuration.watch.renew,
            self.registration.renew,
        ]
        self.gossip.listing_hooks.append(self.members.apply_peer_listing)

    def is_ready(self) -> bool:
        """Return whether the load balancer may send callers to this VM."""
        return (
            not self.state.stopping
            and self.state.catalog.version > 0
            and len(self.state.members.members) > 0
            and not self.health.is_out_of_rotation()
        )

    def start(self) -> None:
        """Start the listeners and the background tasks."""
        self.net.start()
        self.http.start()
        self.front.start()
        gevent.spawn(self.configuration.watch.run)
        gevent.spawn(self.members.watch.run)
        gevent.spawn(self.registration.register)
        gevent.spawn(self.store_checks.run)
        run_periodically(VM_LIST_INTERVAL, self.registration.list_vms)
        run_periodically(PING_INTERVAL, self._gossip_tick)
        run_periodically(QUEUE_TICK_INTERVAL, self._queue_tick)
        run_periodically(MAINTENANCE_INTERVAL, self._maintain)
        run_periodically(PROOF_CHECK_INTERVAL, self.proofs.tick)
        run_periodically(SUPERVISION_INTERVAL, self.supervisor.tick)
        run_periodically(REPORT_INTERVAL, self.limits.tick)
        if self.permits.needed:
            run_periodically(PERMIT_CHECK_INTERVAL, self.permits.tick)

    def stop(self) -> None:
        """Carry out a planned stop; returns when the process can exit."""
        remove = gevent.spawn(self.registration.remove)
        self.limits.leave()
        PlannedStop(self.state, self.front, self.schedulers, self.net).run()
        remove.join(timeout=0.2)
        self.schedulers.close()
        self.net.close()

    def reload(self) -> None:
        """Reload the settings that can change at run time: seed peers and grace period."""
        try:
            settings = settings_from_environment()
        except SettingsError as error:
            log_event("settings_rejected", reason=error)
            return
        self.state.settings = evolve(
            self.state.settings, seed_peers=settings.seed_peers, grace_s=settings.grace_s
        )
        log_event("settings_reloaded", seeds=len(settings.seed_peers), grace_s=settings.grace_s)

    def _queue_tick(self) -> None:
        try:
            self.health.timer_fired()
            self.schedulers.tick()
        finally:
            self.health.timer_set()

    def _gossip_tick(self) -> None:
        self.gossip.dial_seeds()
        self.gossip.ping_peers()

    def _maintain(self) -> None:
        self.members.update_overdue()
        self.schedulers.maintain()
        self.state.vms.remove_silent(self.state.now())
        self.state.placement.choosers = len(self.state.vms.entries())
        self.loads.log_changes()
        self.metrics.set_gauge("sessions_open", len(self.front.sessions))
        self.metrics.set_gauge("session_memory_bytes", self.state.memory.sessions.used)
        self.health.update_metrics(self.metrics)
        self.metrics.set_gauge("store_calls", self.store.calls.total)
        self.metrics.set_gauge("store_era", self.state.history.era)
        self.metrics.set_gauge("configuration_version", self.state.catalog.version)
        self._set_connection_gauges()

    def _set_connection_gauges(self) -> None:
        counts = self.schedulers.connection_counts()
        self.metrics.set_gauge("connections_open", self.schedulers.count_connections())
        self.metrics.set_gauge("connection_requests", counts.requested)
        self.metrics.set_gauge("connection_dials", counts.dialed)
        self.metrics.set_gauge("connections_replaced", counts.replaced)
        self.metrics.set_gauge("connection_limit_refusals", counts.reached_limit)


def run(settings: EntrySettings, listeners: Listeners, hangups: list[int]) -> None:
    """Run until a signal ends the process; `hangups` are the SIGHUPs of the start so far."""
    output = set_up_output()
    gevent.spawn(output.flush_forever)
    process = EntryProcess(settings, listeners)
    stop = Event()
    gevent.signal_handler(signal.SIGTERM, stop.set)
    gevent.signal_handler(signal.SIGINT, stop.set)
    gevent.signal_handler(signal.SIGHUP, process.reload)
    if hangups:
        process.reload()
    # Imported objects live until the end, so exclude them from garbage collection.
    gc.freeze()
    gc.set_threshold(GC_THRESHOLD)
    gc.enable()
    process.start()
    log_event("started", vm=settings.id, domain=settings.domain)
    stop.wait()
    process.stop()
    log_event("ended")
    output.write_pending()
    # Running greenlets hold nothing that needs an orderly exit.
    os._exit(0)
