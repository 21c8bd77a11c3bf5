"""A small deployment of the whole system: platform, replication groups and entry VMs."""

import contextlib
import secrets
import uuid
from typing import Any

from attrs import frozen

from bramleyrill_standins.processes._group import Group
from bramleyrill_standins.processes._platform import Platform
from bramleyrill_standins.processes._proxy import Proxy, VmLocation
from bramleyrill_standins.processes._text import (
    example_text,
    extend_members,
    services_of,
    set_addresses,
    to_source,
)

UPSTREAM_USER = "proxy"


@frozen
class Behaviour:
    """Performance of the members of every group; times are in milliseconds.

    `capacity` is the number of statements per second that a member's slots serve together; 0
    serves each without delay.
    """

    capacity: float = 0.0
    latency_ms: float = 0.0
    lag_ms: float = 20.0

    def options(self, limits: dict[str, Any], password: str) -> list[str]:
        """Return the command line options of the upstream stand-in for a service."""
        dial = str(limits["dial"]).removesuffix("ms")
        values = {
            "connections": limits["connections"],
            "slots": limits["slots"],
            "dial-ms": dial,
            "service-ms": 1000 * limits["slots"] / self.capacity if self.capacity else 0,
            "latency-ms": self.latency_ms,
            "lag-ms": self.lag_ms,
            "user": f"{UPSTREAM_USER}:{password}",
        }
        return [part for name, value in values.items() for part in (f"--{name}", str(value))]


class Deployment:
    """Start all processes, put the text into force, and stop the processes at the end.

    `groups` is keyed by `fleet/service/database`. `passwords`, keyed by `fleet/service`, holds the
    passwords with which proxies log in to members. `one_process` runs all members of a group in
    one process; otherwise each has its own, so that a test can kill or pause it alone. `limits`
    replaces settings of every service, such as its slots. `members` is the size of every group.

    Example: `with Deployment(databases=1) as deployment: connect(deployment.proxies[0].port)`.
    """

    def __init__(
        self,
        *,
        databases: int = 1,
        proxies: int = 3,
        fleets: tuple[str, ...] = (),
        behaviour: Behaviour | None = None,
        one_process: bool = False,
        journal: str = "",
        limits: dict[str, Any] | None = None,
        members: int = 3,
    ) -> None:
        self._stack = contextlib.ExitStack()
        self.text = example_text(databases, fleets)
        for _, _, service in services_of(self.text):
            service.update(limits or {})
            for database in service["databases"].values():
                extend_members(database, members)
        self.groups: dict[str, Group] = {}
        self.passwords: dict[str, str] = {}
        self.proxies: list[Proxy] = []
        self._text_version = 0
        with contextlib.ExitStack() as stack:
            self.platform = Platform()
            stack.callback(self.platform.stop)
            self._start_groups(stack, behaviour or Behaviour(), one_process, journal)
            self._store_secrets()
            self.apply()
            self._start_proxies(stack, proxies)
            self._stack = stack.pop_all()

    def __enter__(self) -> "Deployment":
        return self

    def __exit__(self, *details: object) -> None:
        self.stop()

    def error_lines(self) -> list[str]:
        """Return the error lines of all proxies' logs.

        These are faults of the proxies; failures of upstreams have a lower level.
        """
        return [line for proxy in self.proxies for line in proxy.error_lines()]

    def stop(self) -> None:
        """Stop every process, proxies first."""
        self._stack.close()

    def apply(self) -> int:
        """Store the current text on the platform and return its version."""
        value = {"identity": str(uuid.uuid4()), "source": to_source(self.text)}
        self._text_version = self.platform.put("text", "current", value, self._text_version)
        return self._text_version

    def _start_groups(
        self, stack: contextlib.ExitStack, behaviour: Behaviour, one_process: bool, journal: str
    ) -> None:
        for fleet, name, service in services_of(self.text):
            password = secrets.token_hex(8)
            self.passwords[f"{fleet}/{name}"] = password
            for database, values in service["databases"].items():
                key = f"{fleet}/{name}/{database}"
                options = behaviour.options(service, password)
                if journal:
                    options += ["--journal", f"{journal}/{key.replace('/', '.')}"]
                group = Group(list(values["members"]), *options, one_process=one_process)
                stack.callback(group.stop)
                self.groups[key] = group
                set_addresses(values, group.ports)

    def _store_secrets(self) -> None:
        accounts = {
            service: {"user": UPSTREAM_USER, "password": password}
            for service, password in self.passwords.items()
        }
        self.platform.put("secrets", "upstreams", accounts)
        keys = {"keys": {"k1": secrets.token_hex(32)}, "signing": "k1"}
        self.platform.put("secrets", "keys", keys)

    def _start_proxies(self, stack: contextlib.ExitStack, count: int) -> None:
        locations = [
            (domain, values["region"])
            for fleet in self.text["fleets"].values()
            for domain, values in fleet["domains"].items()
        ]
        # Alternates between the fleets, so that a few VMs already cover both.
        per_fleet = len(locations) // len(self.text["fleets"])
        indexes = sorted(range(len(locations)), key=lambda index: index % per_fleet)
        for number in range(count):
            domain, region = locations[indexes[number % len(locations)]]
            proxy = Proxy(VmLocation(f"vm-{number + 1}", domain, region), self.platform.url)
            stack.callback(proxy.stop)
            self.proxies.append(proxy)
            vm = {"domain": domain, "region": region, "host": "127.0.0.1", "state": "live"}
            self.platform.set_vms(**{proxy.location.id: {**vm, "port": proxy.peer_port}})
        for proxy in self.proxies:
            proxy.start()
        for proxy in self.proxies:
            proxy.wait_until_listening()
