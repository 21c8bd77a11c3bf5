"""Settings of one entry VM, read from YAML."""

import json
import os
import pathlib
from collections.abc import Iterable
from typing import Any

from attrs import field, frozen
from bramleyrill_core.placement import DEFAULT_READ_POLICY, read_policies

SETTINGS_VARIABLE = "BRAMLEYRILL_CONFIG"
SINGLE_DOMAIN_READ_POLICY = "last_wait"

# Larger shares, cores and links than any machine has; also excludes infinity.
MAX_MEASURE = 1e7

Address = tuple[str, int]


class SettingsError(Exception):
    """The settings are invalid; the message lists all errors, one per line."""


@frozen
class EntrySettings:
    """Settings of one VM.

    `region_by_domain` covers all failure domains. `grace_s` is how long the process may still run
    after a stop is requested. `fenced_orders` is whether the platform checks the fencing token of
    an order and the replaced primary stops at once; without that, a primary is used under a permit.
    The process has `cpu_share` of a core, which is `cores` times as fast as the usual one, and a
    link of `link_mbps`, and may use `memory_mb` of memory; None is unknown.
    `read_policy` names how the member that serves a read is chosen.
    In each window of `quota_window_s` a team may run (rate x window + burst) x (1 + `quota_over`) +
    `quota_slack` operations.
    """

    id: str
    domain: str
    region_by_domain: dict[str, str]
    caller_listen: Address
    ready_listen: Address
    peer_listen: Address
    metrics_listen: Address
    seed_peers: tuple[Address, ...]
    platform: Address
    duties: Address
    grace_s: float
    max_descriptors: int = field(default=4096)
    fenced_orders: bool = True
    cpu_share: float | None = None
    cores: float | None = 1.0
    link_mbps: float | None = None
    memory_mb: float | None = None
    read_policy: str = DEFAULT_READ_POLICY
    quota_window_s: float = 0.0
    quota_over: float = 0.0
    quota_slack: float = 0.0


def parse_address(text: Any) -> Address:
    """Return host and port of `host:port`; raise ValueError."""
    host, colon, port = str(text).rpartition(":")
    if not colon or not host or not port.isdecimal() or not 0 < int(port) < 65536:
        raise ValueError(f"{text!r} is not host:port")
    return host, int(port)


def load_settings(path: pathlib.Path) -> EntrySettings:
    """Read a settings file; raise SettingsError with all errors in it."""
    try:
        values = _parse(path.read_text("utf-8"))
    except (OSError, ValueError, RecursionError) as error:
        raise SettingsError(f"{path}: {error}") from error
    if not isinstance(values, dict):
        raise SettingsError(f"{path}: expected a mapping of setting names to values")
    return _SettingsReader(path, values).read()


def settings_from_environment() -> EntrySettings:
    """Read the settings file named by the environment; raise SettingsError."""
    return load_settings(pathlib.Path(os.environ.get(SETTINGS_VARIABLE, "")))


def _parse(text: str) -> Any:
    """Return the values in a YAML text; raise ValueError if it is invalid.

    JSON is a subset of YAML, and the platform renders the settings in it: a process that starts
    listens sooner without the import of the YAML library.
    """
    try:
        return json.loads(text)
    except ValueError:
        pass
    import yaml

    try:
        return yaml.safe_load(text)
    except yaml.YAMLError as error:
        raise ValueError(str(error)) from error


class _SettingsReader:
    """Read the values of a settings file and collect all errors."""

    def __init__(self, path: pathlib.Path, values: dict[str, Any]) -> None:
        self._path = path
        self._values = values
        self._errors: list[str] = []

    def read(self) -> EntrySettings:
        settings = EntrySettings(
            id=self._text("id"),
            domain=self._text("domain"),
            region_by_domain=self._mapping("domains"),
            caller_listen=self._address("caller_listen"),
            ready_listen=self._address("ready_listen"),
            peer_listen=self._address("peer_listen"),
            metrics_listen=self._address("metrics_listen"),
            seed_peers=self._addresses("seed_peers"),
            platform=self._address("platform"),
            duties=self._address("duties"),
            grace_s=self._number("grace_s"),
            max_descriptors=int(self._number("max_descriptors")),
            fenced_orders=self._flag("fenced_orders"),
            cpu_share=self._measure("cpu_share"),
            cores=self._measure("cores", 1.0),
            link_mbps=self._measure("link_mbps"),
            memory_mb=self._measure("memory_mb"),
            read_policy=self._choice(
                "read_policy", self._default_read_policy(), read_policies.by_name
            ),
            quota_window_s=self._optional_number("quota_window_s"),
            quota_over=self._optional_number("quota_over"),
            quota_slack=self._optional_number("quota_slack"),
        )
        if self._errors:
            raise SettingsError("\n".join(f"{self._path}: {error}" for error in self._errors))
        return settings

    def _text(self, name: str) -> str:
        value = self._values.get(name)
        if not isinstance(value, str) or not value:
            self._errors.append(f"{name}: expected a non-empty string")
            return ""
        return value

    def _number(self, name: str) -> float:
        value = self._values.get(name)
        if isinstance(value, bool) or not isinstance(value, int | float) or value <= 0:
            self._errors.append(f"{name}: expected a number greater than 0")
            return 0.0
        return float(value)

    def _measure(self, name: str, default: float | None = None) -> float | None:
        """Return a number above 0 that the process can do without, or None if it is not one.

        A missing one is `default`. Only the placement of work and the memory of sessions depend on
        it, so that a wrong one must not keep the process from its start.
        """
        value = self._values.get(name)
        if value is None:
            return default
        is_number = isinstance(value, int | float) and not isinstance(value, bool)
        return float(value) if is_number and 0 < value <= MAX_MEASURE else None

    def _optional_number(self, name: str) -> float:
        """Return a number that is 0 if it is missing or null: what is not stated is not allowed."""
        value = self._values.get(name)
        if value is None:
            return 0.0
        if isinstance(value, bool) or not isinstance(value, int | float) or not 0 <= value < 1e9:
            self._errors.append(f"{name}: expected a number from 0 to 1000000000")
            return 0.0
        return float(value)

    def _flag(self, name: str) -> bool:
        """Return a boolean; a missing one is False, the safe value of all flags."""
        value = self._values.get(name)
        if value is not None and not isinstance(value, bool):
            self._errors.append(f"{name}: expected true or false")
        return value is True

    def _choice(self, name: str, default: str, choices: Iterable[str]) -> str:
        """Return one of the choices; a missing one is the default."""
        value = self._values.get(name, default)
        if value not in choices:
            self._errors.append(f"{name}: expected one of {', '.join(sorted(choices))}")
            return default
        return value

    def _default_read_policy(self) -> str:
        """Return the read policy of a deployment that names none.

        Shares even the load of the members of a region; with one failure domain in each, all other
        members are in other regions, and the last wait decides.
        """
        domains = self._values.get("domains")
        regions = list(map(str, domains.values())) if isinstance(domains, dict) else []
        return (
            DEFAULT_READ_POLICY if len(set(regions)) < len(regions) else SINGLE_DOMAIN_READ_POLICY
        )

    def _mapping(self, name: str) -> dict[str, str]:
        value = self._values.get(name)
        if not isinstance(value, dict):
            self._errors.append(f"{name}: expected a mapping of failure domains to regions")
            return {}
        return {str(key): str(item) for key, item in value.items()}

    def _address(self, name: str) -> Address:
        try:
            return parse_address(self._values.get(name))
        except ValueError as error:
            self._errors.append(f"{name}: {error}")
            return "", 0

    def _addresses(self, name: str) -> tuple[Address, ...]:
        value = self._values.get(name) or []
        if not isinstance(value, list):
            self._errors.append(f"{name}: expected a list")
            return ()
        addresses = []
        for item in value:
            try:
                addresses.append(parse_address(item))
            except ValueError as error:
                self._errors.append(f"{name}: {error}")
        return tuple(addresses)
