"""One VM's process: its components, their start, the graceful stop."""

import gc
import random
import signal
from datetime import timedelta
from typing import Any

import gevent
from bramleyrill_base import SystemClock, log_event
from bramleyrill_core import VmId, World
from bramleyrill_core.membership import ListedVm, VmsListed
from bramleyrill_core.succession import probe_replicas
from bramleyrill_wire.peers import frames

# _status and _succession are imported to register their handlers of effects, frames and topics.
from bramleyrill_daemon import _membership, _status, _succession  # noqa: F401
from bramleyrill_daemon._accounting import Accounting, metrics_of
from bramleyrill_daemon._configuration import poll_secrets, poll_vm_list, watch_text
from bramleyrill_daemon._control import ControlClients
from bramleyrill_daemon._credentials import Credentials
from bramleyrill_daemon._drain import Drainer
from bramleyrill_daemon._frames import frame_dispatcher, handles
from bramleyrill_daemon._held_members import HeldMembers
from bramleyrill_daemon._holder import HolderExecutor
from bramleyrill_daemon._objects import ObjectReader
from bramleyrill_daemon._peer_hello import HelloError
from bramleyrill_daemon._peer_link import PeerLink
from bramleyrill_daemon._peer_net import PeerNet
from bramleyrill_daemon._permits import PermitTracker
from bramleyrill_daemon._platform import PlatformClient
from bramleyrill_daemon._pool import ConnectionPools
from bramleyrill_daemon._remote import RemoteExecutor, RoutingExecutor
from bramleyrill_daemon._served import serve_stream
from bramleyrill_daemon._settings import Settings, client_context, server_context
from bramleyrill_daemon._shell import Shell, run_forever
from bramleyrill_daemon._spans import SpanStore
from bramleyrill_daemon.front import Front

FINAL_FLUSH_DELAY = timedelta(milliseconds=50)
SEED_INTERVAL = timedelta(seconds=2)
# A collection of the oldest generation traverses every session, so it should be rare; reference
# counting frees most garbage here.
GC_THRESHOLDS = (20_000, 50, 100)


class Process:
    """All components of one VM.

    Example: `Process(load_settings(path)).run()` serves until SIGTERM and returns the exit code.
    """

    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        self._greenlets: list[gevent.Greenlet] = []
        clock = SystemClock()
        # `start` replaces this identity once the peer port is bound, as the port is sent to peers.
        self._world = World(settings.identity(0), clock, random.Random())
        self._shell = Shell(self._world)
        shell = self._shell
        shell.add(PlatformClient(settings.platform))
        shell.add(ObjectReader(shell))
        credentials = shell.add(Credentials(self._world, settings.upstream_authority))
        pools = shell.add(ConnectionPools(shell, credentials.login))
        control_clients = shell.add(ControlClients(credentials.login, clock))
        self._members = shell.add(HeldMembers(self._world))
        self._permits = shell.add(
            PermitTracker(
                self._world,
                lambda database: shell.run_effects(probe_replicas(self._world, database)),
                control_clients.probe,
            )
        )
        self._spans = shell.add(SpanStore(shell))
        local = shell.add(HolderExecutor(self._members.queue, pools, self._permits))
        self._net = shell.add(
            PeerNet(
                self._world.identity,
                settings.shared_key,
                clock,
                lambda vm: _membership.address_of(shell, vm),
                frame_dispatcher(shell),
                server_tls=server_context(settings.peer_tls),
                client_tls=client_context(settings.peer_tls),
            )
        )
        remote = RemoteExecutor(self._net.link, clock)
        executor = RoutingExecutor(self._world.identity.id, local, remote)
        tls = server_context(settings.caller_tls)
        accounting = shell.add(Accounting(self._world, metrics_of(settings)))
        self._drainer = shell.add(Drainer(shell))
        self._front = shell.add(Front(self._world, executor, tls=tls, record=accounting.record))

    def start(self) -> None:
        """Listen and start all loops; raise OSError if an address cannot be bound."""
        settings = self.settings
        port = self._net.listen(*settings.peer_listen)
        self._world.identity = self._net.identity = settings.identity(port)
        host, caller_port = self._front.start(*settings.caller_listen)
        shell = self._shell
        shell.after_tick(self._members.after_tick)
        shell.after_tick(shell.component(ConnectionPools).after_tick)
        shell.after_tick(self._drainer.after_tick)
        shell.after_tick(self._net.close_duplicates)
        for loop in (watch_text, poll_vm_list, poll_secrets):
            self._greenlets.append(gevent.spawn(run_forever, loop, shell))
        self._greenlets.append(gevent.spawn(run_forever, SpanStore.run, self._spans))
        pools = shell.component(ConnectionPools)
        self._greenlets.append(gevent.spawn(run_forever, ConnectionPools.check_controls, pools))
        self._greenlets.append(gevent.spawn(self._dial_seeds))
        self._greenlets.append(gevent.spawn(shell.run))
        log_event("started", vm=settings.id, callers=f"{host}:{caller_port}", peer_port=port)

    def run(self) -> int:
        """Serve until a signal or `stop`, then stop gracefully; return the exit code."""
        gevent.signal_handler(signal.SIGTERM, self.stop)
        gevent.signal_handler(signal.SIGINT, self.stop)
        self.start()
        gc.collect()
        gc.freeze()
        gc.set_threshold(*GC_THRESHOLDS)
        self._drainer.exit.wait()
        # Give the last frames time to leave; they tell the peers that this VM has left.
        gevent.sleep(FINAL_FLUSH_DELAY.total_seconds())
        log_event("stopped", sessions=len(self._front.sessions))
        self.close()
        return 0

    def stop(self) -> None:
        """Start the graceful stop and return at once."""
        self._drainer.stop()

    def close(self) -> None:
        """Close all connections and end all loops at once."""
        gevent.killall(self._greenlets, block=False)
        self._front.stop()
        self._shell.component(ConnectionPools).close()
        self._shell.component(ControlClients).close()
        self._net.close()

    def _dial_seeds(self) -> None:
        """Dial the seed peers until one answers, so that a VM can join during a platform outage."""
        seeds = list(self.settings.seed_peers)
        while seeds and len(self._net.links) == 0:
            for host, port in seeds:
                try:
                    link = self._net.dial(host, port)
                except (OSError, ValueError, HelloError) as error:
                    log_event("seed_failed", address=f"{host}:{port}", error=error)
                    continue
                listed = ListedVm(VmId(link.vm), "", "", host, port)
                self._shell.handle(VmsListed((listed,)))
            gevent.sleep(SEED_INTERVAL.total_seconds())


@handles(frames.Execute)
def serve_execute(shell: Shell, link: PeerLink, frame: Any) -> None:
    """Serve a stream that a peer opens."""
    serve_stream(shell.component(HolderExecutor), link, frame)
