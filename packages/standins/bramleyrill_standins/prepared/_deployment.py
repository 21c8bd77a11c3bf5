"""A deployment with platform and members in this process, and entry VMs as child processes."""

import os
import signal
import subprocess
import sys
import tempfile
import time
from datetime import timedelta
from typing import Any

import gevent
import gevent.socket
import yaml

from bramleyrill_standins.prepared._group import LineGroup
from bramleyrill_standins.prepared._store import PreparedPlatform
from bramleyrill_standins.processes import free_ports

SERVICE = "pieces"
DATABASE = "pieces-db"
DOMAIN = "north-a"
HEARTBEAT = timedelta(milliseconds=200)
START_LIMIT_S = 30.0
STOP_LIMIT_S = 20.0
GRACE_S = 6


class DeploymentError(Exception):
    """A process failed to start or stop in time; the message ends with its last log output."""


class EntryVm:
    """One entry process; `kill`, `stop` and `send_signal` signal it by its process id."""

    def __init__(self, name: str, settings: dict[str, Any]) -> None:
        self.name = name
        self.caller_address = ("127.0.0.1", int(settings["caller_listen"].rpartition(":")[2]))
        self.peer_address = ("127.0.0.1", int(settings["peer_listen"].rpartition(":")[2]))
        self._ready = ("127.0.0.1", int(settings["ready_listen"].rpartition(":")[2]))
        self._settings = tempfile.NamedTemporaryFile("w", suffix=".yaml")  # noqa: SIM115
        yaml.safe_dump(settings, self._settings)
        self._settings.flush()
        self._log = tempfile.TemporaryFile()  # noqa: SIM115 (lives as long as the VM)
        self._child: subprocess.Popen | None = None

    def start(self) -> None:
        """Start the process and wait until it is ready; raise DeploymentError if it fails."""
        self._child = subprocess.Popen(
            [sys.executable, "-m", "bramleyrill_entry"],
            env=os.environ | {"BRAMLEYRILL_CONFIG": self._settings.name},
            stdin=subprocess.DEVNULL,
            stdout=self._log,
            stderr=subprocess.STDOUT,
        )
        end = time.monotonic() + START_LIMIT_S
        while not self.is_ready():
            if time.monotonic() > end or self._child.poll() is not None:
                raise DeploymentError(
                    f"{self.name} did not start; its log ends with: {self.log()[-2000:]}"
                )
            gevent.sleep(0.02)

    def is_ready(self) -> bool:
        """Return whether the process answers its readiness check, as a load balancer asks it."""
        try:
            with gevent.Timeout(2), gevent.socket.create_connection(self._ready) as sock:
                sock.sendall(b"GET /ready HTTP/1.1\r\nHost: vm\r\nConnection: close\r\n\r\n")
                return sock.recv(64).startswith(b"HTTP/1.1 200")
        except (OSError, gevent.Timeout):
            return False

    @property
    def running(self) -> bool:
        """Return whether the process runs."""
        return self._child is not None and self._child.poll() is None

    def send_signal(self, number: int) -> None:
        """Send a signal to the process if it runs."""
        if self.running:
            os.kill(self._child.pid, number)

    def kill(self) -> None:
        """End the process with SIGKILL."""
        self.send_signal(signal.SIGKILL)
        if self._child is not None:
            self.wait()

    def stop(self) -> int:
        """Stop the process with SIGTERM and return its exit code."""
        self.send_signal(signal.SIGCONT)
        self.send_signal(signal.SIGTERM)
        return self.wait()

    def wait(self) -> int:
        """Return the exit code once the process has ended; raise DeploymentError if it does not."""
        end = time.monotonic() + STOP_LIMIT_S
        while self._child.poll() is None:
            if time.monotonic() > end:
                raise DeploymentError(
                    f"{self.name} did not stop; its log ends with: {self.log()[-2000:]}"
                )
            gevent.sleep(0.02)
        return self._child.returncode

    def log(self) -> str:
        """Return the standard output and standard error of the process so far."""
        size = os.fstat(self._log.fileno()).st_size
        return os.pread(self._log.fileno(), size, 0).decode(errors="replace")


class PreparedDeployment:
    """A platform, a group of three members and entry VMs.

    Without `fenced_orders` the platform checks no fencing tokens, and a replaced primary goes on
    until it is demoted. `keys_by_team` are the teams of the configuration; it names none if that is
    empty.

    Example: `with PreparedDeployment(vms=2) as deployment: deployment.vms[0].caller_address`.
    """

    def __init__(self, vms: int, consistency: str = "primary", fenced_orders: bool = True) -> None:
        self.group = LineGroup(SERVICE, ["m1", "m2", "m3"])
        self.group.split = not fenced_orders
        self.platform = PreparedPlatform({SERVICE: self.group}, checks_tokens=fenced_orders)
        self._fenced_orders = fenced_orders
        self._consistency = consistency
        self._unlisted: set[str] = set()
        self._vm_count = vms
        self.vms: list[EntryVm] = []
        self.keys_by_team: dict[str, list[str]] = {}

    def __enter__(self) -> "PreparedDeployment":
        address = self.platform.start()
        self.put_configuration(1)
        self._heartbeats = gevent.spawn(self._publish_members)
        ports = free_ports(4 * self._vm_count)
        peers = [f"127.0.0.1:{port}" for port in ports[: self._vm_count]]
        for number in range(self._vm_count):
            others = ports[self._vm_count + 3 * number :][:3]
            store = self.store_address(number, address)
            settings = self._vm_settings(number, peers, others, store)
            self.vms.append(EntryVm(settings["id"], settings))
        try:
            for vm in self.vms:
                vm.start()
        except DeploymentError:
            self.__exit__()
            raise
        return self

    def __exit__(self, *_: object) -> None:
        for vm in self.vms:
            vm.kill()
        self._heartbeats.kill()
        self.group.close()
        self.platform.stop()

    def put_configuration(self, version: int, *more_databases: str) -> None:
        """Store a version of the configuration, as an operator does.

        `more_databases` get routes in addition to those of `types_by_database`.
        """
        types = self.types_by_database() | dict.fromkeys(more_databases, self._consistency)
        routes = [
            {
                "name": f"r-{database}",
                "host": database,
                "type": consistency,
                "timeoutMs": 1000,
                "targetLatencyMs": 2000,
                "priority": 0,
                "backend": SERVICE,
                "maxStalenessMs": 2000,
            }
            for database, consistency in types.items()
        ]
        service = {
            "name": SERVICE,
            "maxConns": self.group.max_connections,
            "syncReplicas": self.group.sync_replicas,
        }
        value = {"version": version, "routes": routes, "backends": [service]}
        if self.keys_by_team:
            value["tenants"] = [
                {"name": team, "apiKeys": keys} for team, keys in self.keys_by_team.items()
            ]
        self.platform.put("config", "main", value | {"limits": {"txIdleMs": 3000}})

    def stop_member(self, name: str) -> None:
        """Stop a member as a crash does; its store object is removed at the next heartbeat."""
        self.group.members_by_name[name].stop()
        self._unlisted.add(name)

    def start_member(self, name: str) -> None:
        """Start a stopped member again."""
        self.group.members_by_name[name].start()
        self._unlisted.discard(name)

    def hide_member(self, name: str) -> None:
        """Remove a member's store object, as when it loses its path to the store."""
        self._unlisted.add(name)

    def show_member(self, name: str) -> None:
        """Let a member write its store object again."""
        self._unlisted.discard(name)

    # Overridden by deployments that put proxies in between.

    def member_port(self, name: str) -> int:
        """Return the port under which a member is listed in the store."""
        return self.group.members_by_name[name].address[1]

    def store_address(self, number: int, platform: tuple[str, int]) -> tuple[str, int]:
        """Return the address at which the VM with this number reaches the platform."""
        return platform

    def types_by_database(self) -> dict[str, str]:
        """Return the consistency of each database in the default configuration."""
        return {DATABASE: self._consistency}

    def _publish_members(self) -> None:
        """Keep the members' objects in the store up to date, as heartbeats of real members do."""
        while True:
            for name, member in self.group.members_by_name.items():
                value = {
                    "backend": SERVICE,
                    "address": f"127.0.0.1:{self.member_port(name)}",
                    "zone": DOMAIN,
                    "version": "v1",
                    "slots": 2,
                    "state": "ready",
                    "warmupLeftMs": 0,
                    "dbRole": "primary" if member.is_primary else "replica",
                    # Left as it is, so that an entry changes with the member only.
                    "seq": 1,
                    "born": 1,
                }
                if name in self._unlisted:
                    self.platform.remove("servers", name)
                elif self.platform.value("servers", name) != value:
                    self.platform.put("servers", name, value)
            gevent.sleep(HEARTBEAT.total_seconds())

    def _vm_settings(
        self, number: int, peers: list[str], ports: list[int], platform: tuple[str, int]
    ) -> dict[str, Any]:
        return {
            "id": f"vm{number + 1}",
            "domain": DOMAIN,
            "region": "north",
            "domains": {DOMAIN: "north"},
            "caller_listen": f"127.0.0.1:{ports[0]}",
            "ready_listen": f"127.0.0.1:{ports[1]}",
            "metrics_listen": f"127.0.0.1:{ports[2]}",
            "peer_listen": peers[number],
            "seed_peers": peers[:3],
            "platform": f"{platform[0]}:{platform[1]}",
            "duties": f"{platform[0]}:{platform[1]}",
            "grace_s": GRACE_S,
            "fenced_orders": self._fenced_orders,
            "max_descriptors": 1024,
        }


class LineCaller:
    """A caller's session at an entry VM.

    `key` identifies the caller's team, where the configuration names teams.

    Example: `LineCaller(vm.caller_address).ask("READ a")` returns the lines of the answer.
    """

    def __init__(
        self, address: tuple[str, int], database: str = DATABASE, key: str = "any"
    ) -> None:
        self._sock = gevent.socket.create_connection(address, timeout=15)
        self._reader = self._sock.makefile("rb")
        self._number = 0
        self.send(f"OPEN {database} {key}")
        self.opening_answer = self.line()

    def send(self, line: str) -> None:
        """Send one message."""
        self._sock.sendall(line.encode() + b"\r\n")

    def line(self) -> str:
        """Return the next message, or an empty string at the end of the connection."""
        return self._reader.readline().decode().rstrip("\r\n")

    def ask(self, text: str, number: str = "") -> list[str]:
        """Send a statement and return the messages of its answer.

        `number` is the statement id; without it the statements are numbered from 1.
        """
        self._number += 1
        self.send(f"QUERY {number or self._number} {text}")
        answer = [self.line()]
        while answer[-1] and not answer[-1].startswith("READY"):
            answer.append(self.line())
        return answer

    def close(self) -> None:
        """Close the connection."""
        self._reader.close()
        self._sock.close()
