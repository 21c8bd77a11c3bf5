"""A prepared platform with members in this process, and entry VMs as processes of their own."""

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
    """A process did not start or stop as expected; the message ends with its last log lines."""


class EntryVm:
    """One entry process; `kill`, `pause` and `terminate` send it signals by its id."""

    def __init__(self, name: str, settings: dict[str, Any]) -> None:
        self.name = name
        self.callers = ("127.0.0.1", int(settings["caller_listen"].rpartition(":")[2]))
        self._ready = ("127.0.0.1", int(settings["ready_listen"].rpartition(":")[2]))
        self._settings = tempfile.NamedTemporaryFile("w", suffix=".yaml")  # noqa: SIM115
        yaml.safe_dump(settings, self._settings)
        self._settings.flush()
        self._log = tempfile.TemporaryFile()  # noqa: SIM115 (lives as long as the VM)
        self._child: subprocess.Popen | None = None

    def start(self) -> None:
        """Start the process and wait until it is ready."""
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
                raise DeploymentError(f"{self.name} did not start: {self.log()[-2000:]}")
            gevent.sleep(0.02)

    def is_ready(self) -> bool:
        """Ask the process as the balancer does."""
        try:
            with gevent.Timeout(2), gevent.socket.create_connection(self._ready) as sock:
                sock.sendall(b"GET /ready HTTP/1.1\r\nHost: vm\r\nConnection: close\r\n\r\n")
                return sock.recv(64).startswith(b"HTTP/1.1 200")
        except (OSError, gevent.Timeout):
            return False

    @property
    def running(self) -> bool:
        """Tell whether the process runs."""
        return self._child is not None and self._child.poll() is None

    def send_signal(self, number: int) -> None:
        """Send a signal if the process runs."""
        if self.running:
            os.kill(self._child.pid, number)

    def kill(self) -> None:
        """End the process at once."""
        self.send_signal(signal.SIGKILL)
        if self._child is not None:
            self.wait()

    def stop(self) -> int:
        """Ask the process to stop; return its exit code."""
        self.send_signal(signal.SIGCONT)
        self.send_signal(signal.SIGTERM)
        return self.wait()

    def wait(self) -> int:
        """Return the exit code once the process has ended."""
        end = time.monotonic() + STOP_LIMIT_S
        while self._child.poll() is None:
            if time.monotonic() > end:
                raise DeploymentError(f"{self.name} did not stop: {self.log()[-2000:]}")
            gevent.sleep(0.02)
        return self._child.returncode

    def log(self) -> str:
        """Return what the process wrote."""
        size = os.fstat(self._log.fileno()).st_size
        return os.pread(self._log.fileno(), size, 0).decode(errors="replace")


class PreparedDeployment:
    """A platform, a group of three members and entry VMs.

    Example: `with PreparedDeployment(vms=2) as deployment: deployment.vms[0].callers`.
    """

    def __init__(self, vms: int, consistency: str = "primary") -> None:
        self.group = LineGroup(SERVICE, ["m1", "m2", "m3"])
        self.platform = PreparedPlatform({SERVICE: self.group})
        self._consistency = consistency
        self._hidden: set[str] = set()
        self._count = vms
        self.vms: list[EntryVm] = []

    def __enter__(self) -> "PreparedDeployment":
        address = self.platform.start()
        self.put_configuration(1)
        self._heartbeats = gevent.spawn(self._beat)
        ports = free_ports(4 * self._count)
        peers = [f"127.0.0.1:{port}" for port in ports[: self._count]]
        for number in range(self._count):
            others = ports[self._count + 3 * number :][:3]
            store = self.store_address(number, address)
            settings = self._settings_of(number, peers, others, store)
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
        """Write a configuration as the operator does."""
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
        backends = [{"name": SERVICE, "maxConns": self.group.max_connections}]
        value = {"version": version, "routes": routes, "backends": backends}
        self.platform.put("config", "main", value | {"limits": {"txIdleMs": 3000}})

    def stop_member(self, name: str) -> None:
        """End a member as a crash does; its entry disappears a little later."""
        self.group.members_by_name[name].stop()
        self._hidden.add(name)

    def start_member(self, name: str) -> None:
        """Start a member again that was stopped."""
        self.group.members_by_name[name].start()
        self._hidden.discard(name)

    # Overridden by deployments that put proxies in between.

    def member_port(self, name: str) -> int:
        """Return the port that a member's entry names."""
        return self.group.members_by_name[name].address[1]

    def store_address(self, number: int, platform: tuple[str, int]) -> tuple[str, int]:
        """Return where the VM with this number finds the platform."""
        return platform

    def types_by_database(self) -> dict[str, str]:
        """Return the consistency of each database that the configuration has by default."""
        return {DATABASE: self._consistency}

    def _beat(self) -> None:
        """Write the members' entries whenever they change."""
        while True:
            for name, member in self.group.members_by_name.items():
                value = {
                    "backend": SERVICE,
                    "address": f"127.0.0.1:{self.member_port(name)}",
                    "zone": DOMAIN,
                    "slots": 2,
                    "state": "ready",
                    "warmupLeftMs": 0,
                    "dbRole": "primary" if member.leads else "replica",
                    "born": 1,
                }
                if name in self._hidden:
                    self.platform.remove("servers", name)
                elif self.platform.value("servers", name) != value:
                    self.platform.put("servers", name, value)
            gevent.sleep(HEARTBEAT.total_seconds())

    def _settings_of(
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
            "max_descriptors": 1024,
        }


class LineCaller:
    """A caller's session at an entry VM.

    Example: `LineCaller(vm.callers).ask("READ a")` returns the lines of the answer.
    """

    def __init__(self, address: tuple[str, int], database: str = DATABASE) -> None:
        self._sock = gevent.socket.create_connection(address, timeout=15)
        self._reader = self._sock.makefile("rb")
        self._number = 0
        self.send(f"OPEN {database}")
        self.greeting = self.line()

    def send(self, line: str) -> None:
        """Send one message."""
        self._sock.sendall(line.encode() + b"\r\n")

    def line(self) -> str:
        """Return the next message, empty at the end of the connection."""
        return self._reader.readline().decode().rstrip("\r\n")

    def ask(self, text: str, number: str = "") -> list[str]:
        """Send a statement and return the messages of its answer."""
        self._number += 1
        self.send(f"QUERY {number or self._number} {text}")
        found = [self.line()]
        while found[-1] and not found[-1].startswith("READY"):
            found.append(self.line())
        return found

    def close(self) -> None:
        """Close the connection."""
        self._reader.close()
        self._sock.close()
