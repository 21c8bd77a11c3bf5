"""Settings of one VM: a YAML file that overrides the values of defaults.yaml."""

import pathlib
import ssl
from typing import Any

import yaml
from absl import logging
from attrs import field, frozen
from bramleyrill_core import VmId, VmIdentity

DEFAULTS = pathlib.Path(__file__).with_name("defaults.yaml")
MIN_KEY_LENGTH = 16
LOG_LEVELS = {
    "debug": logging.DEBUG,
    "info": logging.INFO,
    "warning": logging.WARNING,
    "error": logging.ERROR,
}

Address = tuple[str, int]


class SettingsError(Exception):
    """The settings are invalid; the message lists all errors, one per line."""


@frozen
class TlsFiles:
    """Paths of PEM files: certificate, key and certificate authority; empty means none."""

    certificate: str = ""
    key: str = ""
    authority: str = ""


@frozen
class Settings:
    """Settings of one VM; defaults.yaml describes each."""

    id: str
    domain: str
    region: str
    caller_listen: Address
    peer_listen: Address
    peer_address: Address
    platform: str
    seed_peers: tuple[Address, ...]
    shared_key: bytes = field(repr=False)
    statsd: Address | None
    caller_tls: TlsFiles
    peer_tls: TlsFiles
    upstream_authority: str
    log_level: str

    def identity(self, peer_port: int) -> VmIdentity:
        """Return this VM's identity; `peer_port` replaces an advertised port of 0."""
        host, port = self.peer_address
        return VmIdentity(VmId(self.id), self.domain, self.region, host, port or peer_port)


def parse_address(text: str) -> Address:
    """Return host and port of `host:port` or `[v6]:port`; raise ValueError if malformed."""
    host, colon, port = str(text).rpartition(":")
    host = host.removeprefix("[").removesuffix("]")
    if not colon or not host or not port.isdigit() or int(port) > 65535:
        raise ValueError(f"{text!r} is not host:port")
    return host, int(port)


def load_settings(path: pathlib.Path) -> Settings:
    """Read a settings file; raise a SettingsError that lists all errors.

    Example: `load_settings(pathlib.Path("vm.yaml")).peer_listen`.
    """
    values = yaml.safe_load(DEFAULTS.read_text("utf-8"))
    try:
        overrides = yaml.safe_load(path.read_text("utf-8")) or {}
    except (OSError, ValueError, RecursionError, yaml.YAMLError) as error:
        raise SettingsError(f"{path}: {error}") from error
    if not isinstance(overrides, dict):
        raise SettingsError(f"{path}: expected a mapping of setting names to values")
    errors = [f"{name}: unknown setting" for name in overrides if name not in values]
    values.update({name: value for name, value in overrides.items() if name in values})
    settings = _build_settings(values, errors)
    if errors:
        raise SettingsError("\n".join(f"{path}: {error}" for error in errors))
    return settings


def _build_settings(values: dict[str, Any], errors: list[str]) -> Settings | None:
    """Return the settings, or None after appending messages to `errors`."""

    def read_address(name: str, text: Any) -> Address | None:
        if not text:
            return None
        try:
            return parse_address(text)
        except ValueError as error:
            errors.append(f"{name}: {error}")
            return None

    def read_tls_files(name: str) -> TlsFiles:
        try:
            return TlsFiles(**(values[name] or {}))
        except TypeError:
            errors.append(f"{name}: expected a mapping with certificate, key and authority")
            return TlsFiles()

    if str(values["log_level"]) not in LOG_LEVELS:
        errors.append(f"log_level: expected one of {', '.join(LOG_LEVELS)}")
    if not isinstance(values["seed_peers"] or [], list):
        errors.append("seed_peers: expected a list")
        values["seed_peers"] = []
    for name in ("id", "domain", "region", "platform", "caller_listen", "peer_listen"):
        if not values[name]:
            errors.append(f"{name}: required setting is missing")
    caller = read_address("caller_listen", values["caller_listen"])
    peer = read_address("peer_listen", values["peer_listen"])
    seeds = [read_address("seed_peers", text) for text in values["seed_peers"] or ()]
    advertised = read_address("peer_address", values["peer_address"]) or peer
    statsd = read_address("statsd", values["statsd"])
    key = _read_key(values, errors)
    if errors:
        return None
    return Settings(
        id=str(values["id"]),
        domain=str(values["domain"]),
        region=str(values["region"]),
        caller_listen=caller,
        peer_listen=peer,
        peer_address=advertised,
        platform=str(values["platform"]).rstrip("/"),
        seed_peers=tuple(seeds),
        shared_key=key,
        statsd=statsd,
        caller_tls=read_tls_files("caller_tls"),
        peer_tls=read_tls_files("peer_tls"),
        upstream_authority=str(values["upstream_authority"] or ""),
        log_level=str(values["log_level"]),
    )


def _read_key(values: dict[str, Any], errors: list[str]) -> bytes:
    key = str(values["shared_key"] or "")
    if values["shared_key_file"]:
        try:
            key = pathlib.Path(values["shared_key_file"]).read_text().strip()
        except (OSError, TypeError, ValueError) as error:
            errors.append(f"shared_key_file: {error}")
            return b""
    if len(key) < MIN_KEY_LENGTH:
        errors.append(f"shared_key: needs at least {MIN_KEY_LENGTH} characters")
    return key.encode()


def server_context(files: TlsFiles) -> ssl.SSLContext | None:
    """Return a TLS context for accepted connections, or None without a certificate."""
    if not files.certificate:
        return None
    context = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
    context.load_cert_chain(files.certificate, files.key or None)
    return context


def client_context(files: TlsFiles) -> ssl.SSLContext | None:
    """Return a TLS context for dialing peers, or None without an authority.

    Host names are not checked, since peers are dialed by address. The certificate only has to be
    signed by the authority; peers authenticate with the shared key.
    """
    if not files.authority:
        return None
    context = ssl.create_default_context(cafile=files.authority)
    context.check_hostname = False
    return context
