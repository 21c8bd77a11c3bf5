"""Loading of the text and secrets: watch of the platform, pulls from peers, change of text."""

from datetime import timedelta
from typing import Any

import gevent
from absl import logging
from bramleyrill_base import log_event
from bramleyrill_core import VmId
from bramleyrill_core.configuration import (
    ConfigurationTables,
    PullFailed,
    PullText,
    TextInForce,
    TextOffered,
    TextRejected,
    decode_value,
    is_watcher,
    pack_source,
    unpack_source,
)
from bramleyrill_core.membership import gossip_soon
from bramleyrill_core.sessions import TokenKey, TokenKeysChanged
from bramleyrill_wire.peers import frames

from bramleyrill_daemon._credentials import Credentials
from bramleyrill_daemon._frames import handles
from bramleyrill_daemon._membership import handle_vm_list
from bramleyrill_daemon._objects import ObjectReader
from bramleyrill_daemon._peer_link import PeerLink, PeerLostError
from bramleyrill_daemon._peer_net import PeerNet
from bramleyrill_daemon._platform import PlatformClient, PlatformError, StoredObject
from bramleyrill_daemon._shell import Shell, effect_handler

# The core tries another peer after 800 ms; the call may end a little later.
PULL_TIMEOUT = timedelta(seconds=1)
LIST_INTERVAL = timedelta(seconds=5)
# Secrets are polled, not watched: they change rarely, and old and new ones overlap for a long time.
SECRETS_INTERVAL = timedelta(seconds=30)
# The list of 1,200 VMs has about 144 KB. Read every 5 s, it would take 29 KB/s, while a VM may use
# 11 KB/s. The interval grows with the list beyond this length, so the bandwidth stays constant.
LIST_VMS_PER_INTERVAL = 100
# Delay after failed calls, doubled up to the maximum and jittered: 1,200 VMs that all call once a
# second would overload a platform that has just come back.
RETRY_DELAY_FIRST = timedelta(seconds=1)
RETRY_DELAY_MAX = timedelta(seconds=16)


def _sleep_jittered(shell: Shell, duration: timedelta) -> None:
    gevent.sleep(duration.total_seconds() * shell.world.random.uniform(0.7, 1.3))


class _Backoff:
    """Exponential delay after consecutive failed calls."""

    def __init__(self) -> None:
        self._delay = RETRY_DELAY_FIRST

    def reset(self) -> None:
        self._delay = RETRY_DELAY_FIRST

    def next_delay(self) -> timedelta:
        delay, self._delay = self._delay, min(self._delay * 2, RETRY_DELAY_MAX)
        return delay


@effect_handler(PullText)
def pull_text(shell: Shell, effect: PullText) -> None:
    """Ask a peer for its text in a greenlet; a failure is reported to the core."""
    gevent.spawn(_pull_text, shell, effect.vm)


def _pull_text(shell: Shell, vm: VmId) -> None:
    own_version = shell.world.text.version
    try:
        link = shell.component(PeerNet).link(vm)
        answer = link.call(
            lambda call: frames.TextPull(call=call, have_version=own_version), PULL_TIMEOUT
        )
        source = unpack_source(answer.source) if answer.source else ""
    except (PeerLostError, ValueError):
        shell.handle(PullFailed(vm))
        return
    if not source or (answer.version or 0) <= own_version:
        shell.handle(PullFailed(vm))
        return
    shell.handle(TextOffered(answer.version, answer.identity or "", source))


@handles(frames.TextPull)
def push_text(shell: Shell, link: PeerLink, frame: Any) -> None:
    """Answer a peer with the text in force; without the source if the peer's is not older."""
    tables = shell.world.tables(ConfigurationTables)
    version = shell.world.text.version
    send_source = version > (frame.have_version or 0) and tables.source
    link.send(
        frames.TextPush(
            call=frame.call,
            version=version,
            identity=tables.identity,
            source=pack_source(tables.source) if send_source else b"",
        )
    )


@effect_handler(TextInForce)
def handle_text_in_force(shell: Shell, effect: TextInForce) -> None:
    """Log that a text came into force, and propagate its version to two peers at once."""
    gossip_soon(shell.world)
    log_event("text_in_force", version=effect.version, digest=effect.digest)


@effect_handler(TextRejected)
def log_text_rejected(shell: Shell, effect: TextRejected) -> None:
    """Log why a text was rejected."""
    log_event(
        "text_rejected",
        level=logging.ERROR,
        version=effect.version,
        errors=len(effect.errors),
        first=effect.errors[0] if effect.errors else "",
    )


def offer_stored_text(shell: Shell, stored: StoredObject) -> None:
    """Offer a text object of the platform to the core; a malformed one is only logged."""
    if stored.version <= shell.world.text.version:
        return
    try:
        identity, source = decode_value(stored.value)
    except ValueError as error:
        log_event("text_malformed", version=stored.version, error=repr(error))
        return
    shell.handle(TextOffered(stored.version, identity, source))


def _log_failed_poll(during: str, error: Exception) -> None:
    """Log an object that a handler failed at, which must not end the poll.

    Only the type is logged, as the text could contain a part of a secret.
    """
    log_event("poll_failed", level=logging.ERROR, during=during, error=type(error).__name__)


def watch_text(shell: Shell) -> None:
    """Watch the platform's text; never returns. VMs that are not watchers read it only once."""
    platform = shell.component(PlatformClient)
    seen_version = 0
    backoff = _Backoff()
    while True:
        try:
            if shell.world.text.version == 0:
                stored = platform.get("text", "current")
                if stored is not None:
                    offer_stored_text(shell, stored)
            if not is_watcher(shell.world):
                _sleep_jittered(shell, RETRY_DELAY_FIRST)
                continue
            seen_version, objects = platform.watch("text", seen_version)
            backoff.reset()
            for stored in objects:
                if stored.name == "current":
                    offer_stored_text(shell, stored)
        except PlatformError as error:
            log_event("platform_down", during="watch_text", error=error)
            _sleep_jittered(shell, backoff.next_delay())
        except Exception as error:
            _log_failed_poll("watch_text", error)
            _sleep_jittered(shell, backoff.next_delay())


def poll_vm_list(shell: Shell) -> None:
    """Poll the platform's list of VMs; never returns."""
    platform = shell.component(PlatformClient)
    while True:
        vm_count = 0
        try:
            vms = platform.list_vms()
            vm_count = len(vms)
            handle_vm_list(shell, vms)
        except PlatformError as error:
            log_event("platform_down", during="list_vms", error=error)
        except Exception as error:
            _log_failed_poll("list_vms", error)
        _sleep_jittered(shell, LIST_INTERVAL * max(1.0, vm_count / LIST_VMS_PER_INTERVAL))


def poll_secrets(shell: Shell) -> None:
    """Poll token keys and upstream credentials; never returns."""
    backoff = _Backoff()
    while True:
        interval = SECRETS_INTERVAL
        try:
            _read_secrets(shell)
            backoff.reset()
        except PlatformError as error:
            log_event("platform_down", during="secrets", error=error)
            interval = backoff.next_delay()
        except Exception as error:
            _log_failed_poll("secrets", error)
        _sleep_jittered(shell, interval)


def _read_secrets(shell: Shell) -> None:
    objects = shell.component(ObjectReader)
    keys = objects.read("secrets", "keys")
    if keys is not None:
        try:
            token_keys = tuple(
                TokenKey(str(name), bytes.fromhex(secret))
                for name, secret in keys.value["keys"].items()
            )
            shell.handle(TokenKeysChanged(token_keys, str(keys.value["signing"])))
        except (KeyError, TypeError, ValueError, AttributeError):
            # The error is not logged, as its text could contain a part of a secret.
            log_event("secrets_malformed", level=logging.ERROR, name="keys")
    upstreams = objects.read("secrets", "upstreams")
    if upstreams is not None:
        shell.component(Credentials).replace(upstreams.value)
