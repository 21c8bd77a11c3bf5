"""Probes: what their answers mean for the primary, the permit and the staleness of replicas."""

from collections.abc import Iterable, Iterator
from datetime import timedelta

from bramleyrill_core._core import handles
from bramleyrill_core._messages import Effect
from bramleyrill_core._values import MemberRole, MemberStatus, database_of
from bramleyrill_core._world import World
from bramleyrill_core.routing import record_primary, record_sample, record_status
from bramleyrill_core.succession._change import Step
from bramleyrill_core.succession._messages import (
    PrimaryChanged,
    ProbeAnswered,
    ProbeFailed,
    SendProbe,
    SpansChanged,
)
from bramleyrill_core.succession._permit import LONGEST_PERMIT, Permit, permit_start
from bramleyrill_core.succession._tables import (
    Group,
    SuccessionTables,
    Watch,
    holds_primary,
    is_primary_watch,
    name_of,
    refresh_groups,
)
from bramleyrill_core.succession._terms import members_of

# While a planned change waits for a replica to catch up, writes are held.
CATCH_UP_INTERVAL = timedelta(milliseconds=50)
# Refusals in a row after which the primary is taken for lost.
REFUSALS = 3
# A majority of three is the primary and the holder's own member.
_SMALL_GROUP = 3


def due_probes(world: World, group: Group) -> Iterator[Effect]:
    """Yield a probe for each member that is due.

    A replica's holder probes the primary and its own members: in a group of three that is a
    majority, which proves when the sample of the primary was taken. The primary's holder, and
    everyone while the primary is in doubt, probes all members.
    """
    now = world.clock.monotonic()
    interval = world.text.failover.probe_interval
    in_doubt = group.change is not None or now - group.ok_at >= 2 * interval
    if group.change is not None and group.change.step is Step.HAND_OVER:
        interval = min(interval, CATCH_UP_INTERVAL)
    everyone = in_doubt or len(group.watches) > _SMALL_GROUP or holds_primary(world, group)
    for watch in group.watches.values():
        mine = group.holders.get(watch.name) == world.identity.id
        if not (everyone or mine or watch.name == group.primary):
            continue
        if watch.probed_at is None or now - watch.probed_at >= interval:
            watch.probed_at = now
            yield SendProbe(watch.id)


@handles(ProbeAnswered)
def note_probe(world: World, message: ProbeAnswered) -> Iterable[Effect]:
    """Take over a status, unless a probe sent later was answered before."""
    group = refresh_groups(world).get(database_of(message.member))
    watch = group.watches.get(name_of(message.member)) if group else None
    if watch is None or (watch.sent_at is not None and message.sent_at < watch.sent_at):
        return []
    watch.sent_at, watch.status = message.sent_at, message.status
    watch.refused, watch.refused_at = 0, None
    effects = note_status_seen(world, group, watch, message.status, message.sent_at)
    record_status(world, watch.id, message.status)
    update_permit(world, group)
    return effects


@handles(ProbeFailed)
def note_failed_probe(world: World, message: ProbeFailed) -> None:
    """Count refusals in a row; silence is measured by the last answer instead."""
    group = refresh_groups(world).get(database_of(message.member))
    watch = group.watches.get(name_of(message.member)) if group else None
    if watch is None or (watch.sent_at is not None and message.sent_at < watch.sent_at):
        return
    watch.refused = watch.refused + 1 if message.refused else 0
    watch.refused_at = world.clock.monotonic() if watch.refused == REFUSALS else watch.refused_at


@handles(SpansChanged)
def note_spans(world: World, message: SpansChanged) -> None:
    """Take over spans that extend the known ones; a shorter or other list is an old answer."""
    spans = world.tables(SuccessionTables).spans
    known = spans.get(message.database) or ()
    if message.spans[: len(known)] == known:
        spans.add(message.database, message.spans)


def note_status_seen(
    world: World, group: Group, watch: Watch, status: MemberStatus, sent_at: timedelta
) -> list[Effect]:
    """Note terms and the primary that a status shows; report a new primary."""
    group.highest = max(group.highest, status.term)
    if status.role is not MemberRole.PRIMARY or status.term < group.highest:
        return []
    group.ok_at = max(group.ok_at, sent_at)
    return note_new_primary(world, group, watch, status.term)


def note_new_primary(world: World, group: Group, watch: Watch, term: int) -> list[Effect]:
    """Remember the primary of a term that is higher than the known one's."""
    if term <= group.primary_term:
        return []
    group.primary, group.primary_term = watch.name, term
    group.ahead_since = None
    record_primary(world, group.id, term, watch.id)
    return [PrimaryChanged(group.id, term, watch.id)]


def update_permit(world: World, group: Group) -> None:
    """Derive the permit and a staleness sample from the last answers."""
    spans = world.tables(SuccessionTables).spans.get(group.id)
    watch = group.watches.get(group.primary)
    if not spans or watch is None or watch.status is None:
        return
    term = watch.status.term
    if not is_primary_watch(watch, group.primary_term) and world.rules.on("primary_answer"):
        group.permit = None
        return
    answers = {
        name: (other.sent_at, other.status)
        for name, other in group.watches.items()
        if other.status is not None
    }
    start = permit_start(members_of(spans, term), group.primary, answers, world.rules)
    if start is None:
        return
    known = group.permit
    if known is None or known.term != term or start > known.probe_sent:
        length = min(world.text.failover.permit, LONGEST_PERMIT)
        group.permit = Permit(term, start, length)
    if group.sampled_at is None or start > group.sampled_at:
        group.sampled_at = start
        record_sample(world, group.id, start, watch.status.mark)
