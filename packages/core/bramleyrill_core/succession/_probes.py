"""Probes of members, and the primary, permit and staleness sample that follow from them."""

from collections.abc import Iterable, Iterator
from datetime import timedelta

from bramleyrill_core._core import handles
from bramleyrill_core._messages import Effect
from bramleyrill_core._values import MemberRole, MemberStatus, database_of
from bramleyrill_core._world import World
from bramleyrill_core.permits import LONGEST_PERMIT, Permit, permit_start
from bramleyrill_core.routing import record_primary, record_sample, record_status
from bramleyrill_core.succession._change import Step
from bramleyrill_core.succession._messages import (
    PrimaryChanged,
    ProbeAnswered,
    ProbeFailed,
    SendProbe,
    SpansChanged,
)
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

# Shorter than the usual interval: writes are paused while a planned change waits for a replica.
CATCH_UP_INTERVAL = timedelta(milliseconds=50)
# Number of refused probes in a row after which the primary is considered lost.
REFUSAL_LIMIT = 3
# In a group of up to three the primary and the holder's own member form a majority.
_SMALL_GROUP = 3


def due_probes(world: World, group: Group) -> Iterator[Effect]:
    """Yield a probe for each member that is due.

    A replica's holder probes the primary and its own members. In a group of three these are a
    majority, which proves when the primary's staleness sample was taken. The primary's holder, and
    every holder while the primary is in doubt, probes all members.
    """
    now = world.clock.monotonic()
    interval = world.text.failover.probe_interval
    in_doubt = group.change is not None or now - group.primary_seen_at >= 2 * interval
    if group.change is not None and group.change.step is Step.HAND_OVER:
        interval = min(interval, CATCH_UP_INTERVAL)
    probes_all = in_doubt or len(group.watches) > _SMALL_GROUP or holds_primary(world, group)
    for watch in group.watches.values():
        is_own = group.holders.get(watch.name) == world.identity.id
        if not (probes_all or is_own or watch.name == group.primary):
            continue
        if watch.probed_at is None or now - watch.probed_at >= interval:
            watch.probed_at = now
            yield SendProbe(watch.id)


@handles(ProbeAnswered)
def handle_probe_answer(world: World, message: ProbeAnswered) -> Iterable[Effect]:
    """Record a status and update the permit, unless a later probe has been answered already."""
    group = refresh_groups(world).get(database_of(message.member))
    watch = group.watches.get(name_of(message.member)) if group else None
    if watch is None or (watch.sent_at is not None and message.sent_at < watch.sent_at):
        return []
    watch.sent_at, watch.status = message.sent_at, message.status
    watch.refusals, watch.refusal_limit_at = 0, None
    effects = record_member_status(world, group, watch, message.status, message.sent_at)
    record_status(world, watch.id, message.status)
    update_permit(world, group)
    return effects


@handles(ProbeFailed)
def handle_probe_failure(world: World, message: ProbeFailed) -> None:
    """Count refusals in a row; timeouts are judged by the age of the last answer instead."""
    group = refresh_groups(world).get(database_of(message.member))
    watch = group.watches.get(name_of(message.member)) if group else None
    if watch is None or (watch.sent_at is not None and message.sent_at < watch.sent_at):
        return
    watch.refusals = watch.refusals + 1 if message.refused else 0
    watch.refusal_limit_at = (
        world.clock.monotonic() if watch.refusals == REFUSAL_LIMIT else watch.refusal_limit_at
    )


@handles(SpansChanged)
def handle_spans(world: World, message: SpansChanged) -> None:
    """Store spans that extend the known ones; any other list is an outdated answer."""
    spans = world.tables(SuccessionTables).spans
    known_spans = spans.get(message.database) or ()
    if message.spans[: len(known_spans)] == known_spans:
        spans.add(message.database, message.spans)


def record_member_status(
    world: World, group: Group, watch: Watch, status: MemberStatus, sent_at: timedelta
) -> list[Effect]:
    """Record the term and the primary that a status shows; return effects for a new primary."""
    group.highest_term = max(group.highest_term, status.term)
    if status.role is not MemberRole.PRIMARY or status.term < group.highest_term:
        return []
    group.primary_seen_at = max(group.primary_seen_at, sent_at)
    return record_new_primary(world, group, watch, status.term)


def record_new_primary(world: World, group: Group, watch: Watch, term: int) -> list[Effect]:
    """Record a primary whose term is higher than the known primary's, and report the change."""
    if term <= group.primary_term:
        return []
    group.primary, group.primary_term = watch.name, term
    group.ahead_since = None
    record_primary(world, group.id, term, watch.id)
    return [PrimaryChanged(group.id, term, watch.id)]


def update_permit(world: World, group: Group) -> None:
    """Compute the permit and a staleness sample from the last statuses.

    Without a majority the current permit stays until it expires; it is revoked at once if the
    member's last answer does not show it as primary.
    """
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
    current = group.permit
    if current is None or current.term != term or start > current.probe_sent:
        length = min(world.text.failover.permit, LONGEST_PERMIT)
        group.permit = Permit(term, start, length)
    if group.sampled_at is None or start > group.sampled_at:
        group.sampled_at = start
        record_sample(world, group.id, start, watch.status.mark)
