"""Distribution of the text to every VM: each pulls the newest version from a peer that has it."""

from collections.abc import Iterator
from datetime import timedelta

from attrs import Factory, define
from returns.pipeline import is_successful

from bramleyrill_core._core import handles, system
from bramleyrill_core._messages import Effect
from bramleyrill_core._values import VmId
from bramleyrill_core._world import World
from bramleyrill_core.configuration._messages import (
    PeerVersionSeen,
    PullFailed,
    PullText,
    TextInForce,
    TextOffered,
    TextRejected,
)
from bramleyrill_core.text import parse_text

# Another peer is asked after this time; the goal is 5 s until every VM has a new text.
PULL_TIMEOUT = timedelta(milliseconds=800)
# Errors of a rejected text that are stored for `bramleyrill show`.
MAX_ERRORS_KEPT = 20


@define
class ConfigurationTables:
    """Text in force on this VM, versions of its peers, rejected versions and the pending pull.

    `failed_vms` are the peers whose pull failed; they are skipped until all peers with a newer
    text have failed or a newer text is applied.
    """

    source: str = ""
    identity: str = ""
    in_force_since: timedelta | None = None
    version_by_vm: dict[VmId, int] = Factory(dict)
    rejected_by_version: dict[int, tuple[str, ...]] = Factory(dict)
    pulling_from: VmId | None = None
    pull_deadline: timedelta = timedelta()
    failed_vms: set[VmId] = Factory(set)


@handles(TextOffered)
def handle_text_offer(world: World, offer: TextOffered) -> Iterator[Effect]:
    """Apply a newer text, or report why this VM cannot use it."""
    tables = world.tables(ConfigurationTables)
    tables.pulling_from = None
    if offer.version in tables.rejected_by_version:
        return
    if offer.version <= world.text.version and world.rules.on("text_version_rises"):
        return
    parsed = parse_text(offer.source, offer.version, offer.identity)
    if not is_successful(parsed):
        errors = tuple(str(error) for error in parsed.failure()[:MAX_ERRORS_KEPT])
        tables.rejected_by_version[offer.version] = errors
        yield TextRejected(offer.version, errors)
        return
    world.text = parsed.unwrap()
    tables.source = offer.source
    tables.identity = offer.identity
    tables.in_force_since = world.clock.monotonic()
    tables.failed_vms.clear()
    for version in [old for old in tables.rejected_by_version if old < offer.version]:
        del tables.rejected_by_version[version]
    yield TextInForce(offer.version, world.text.digest)


@handles(PeerVersionSeen)
def handle_peer_version(world: World, message: PeerVersionSeen) -> Iterator[Effect]:
    """Record a peer's version and pull the text at once if it is newer."""
    tables = world.tables(ConfigurationTables)
    tables.version_by_vm[message.vm] = message.version
    yield from _pull_newer(world, tables)


@handles(PullFailed)
def handle_pull_failure(world: World, message: PullFailed) -> Iterator[Effect]:
    """Pull from another peer after a failed pull."""
    tables = world.tables(ConfigurationTables)
    if tables.pulling_from == message.vm:
        tables.pulling_from = None
    tables.failed_vms.add(message.vm)
    yield from _pull_newer(world, tables)


@system("configuration", order=40)
def retry_pull(world: World) -> Iterator[Effect]:
    """Pull from another peer if the pending pull has timed out."""
    tables = world.tables(ConfigurationTables)
    if tables.pulling_from is None or world.clock.monotonic() < tables.pull_deadline:
        return
    tables.failed_vms.add(tables.pulling_from)
    tables.pulling_from = None
    yield from _pull_newer(world, tables)


def _pull_newer(world: World, tables: ConfigurationTables) -> Iterator[Effect]:
    if tables.pulling_from is not None:
        return
    newest_version = max([world.text.version, *tables.rejected_by_version])
    newer_versions = {
        vm: version for vm, version in tables.version_by_vm.items() if version > newest_version
    }
    if not newer_versions:
        return
    # Once every peer with a newer text has failed, all of them may be tried again.
    if not newer_versions.keys() - tables.failed_vms:
        tables.failed_vms.clear()
        return
    highest_version = max(
        version for vm, version in newer_versions.items() if vm not in tables.failed_vms
    )
    candidates = sorted(
        vm
        for vm, version in newer_versions.items()
        if version == highest_version and vm not in tables.failed_vms
    )
    tables.pulling_from = world.random.choice(candidates)
    tables.pull_deadline = world.clock.monotonic() + PULL_TIMEOUT
    yield PullText(tables.pulling_from)
