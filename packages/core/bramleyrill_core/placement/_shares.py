"""Policy that gives each member the share of a VM's reads that it can serve.

This answers the load of many VMs with much the same, slightly old knowledge. If each took the
member that seems best, all would leave a busy member together and come back together. Here each
changes by itself only the share that it gives, once for each observation that shows the effect of
the last change. The nearest members get what they can serve, and the rest goes to the next ones.
"""

import math
import zlib
from datetime import timedelta
from itertools import groupby

from attrs import frozen

from bramleyrill_core.placement._load import MemberLoad
from bramleyrill_core.placement._policies import Candidate, Choice, by_cost, read_policies

# Part of a member's slot time that reads may bring it to. Beyond it the queue grows quickly.
MAX_USE = 0.93
# The same for the primary, whose slots are needed for work that only it can do.
MAX_PRIMARY_USE = 0.8
# Replicas that are this much farther than the primary go before it.
PRIMARY_DETOUR_S = 0.01
# A member counts as slow, and as farther away by the difference, above this multiple of the fastest
# member's run of a statement.
SLOW_FACTOR = 2.0
# A queue is to be gone after this time.
DRAIN_S = 0.5
# Time until a changed share shows in a holder's rate of arrivals.
SETTLING_TIME = timedelta(milliseconds=250)
# A smaller change of a share need not settle.
SMALL_CHANGE = 0.02
# Every member keeps a little, which shows whether it can take more.
MIN_LIMIT = 0.02
# A distant member of which nothing is known gets at most this share.
UNKNOWN_LIMIT = 0.5
# Bounds of a single change of a share, as factors.
MAX_GROWTH = 1.5
MAX_REDUCTION = 0.1
# A read that is drawn for a nearest member with a long queue goes elsewhere with a chance that
# grows with the gain above MIN_GAIN_S. It reaches 1 at CERTAIN_GAIN_S plus the age of what is
# known, since a wait may have changed by as much.
MIN_GAIN_S = 0.02
CERTAIN_GAIN_S = 0.1


@frozen
class _Tier:
    """Members that cost the same at no load."""

    items: list[Candidate]
    share: float

    def draw(self, choice: Choice) -> Candidate:
        """Return one of the members in proportion to their limits, always the same for a key."""
        if len(self.items) == 1:
            return self.items[0]
        return max(self.items, key=lambda item: _draw_weight(item, choice))


@read_policies.register("shares")
def order_by_shares(candidates: list[Candidate], choice: Choice) -> list[Candidate]:
    """Return the member drawn by the shares first, then the others by expected time."""
    usable = [item for item in candidates if not item.avoided] or candidates
    by_distance = sorted(usable, key=lambda item: item.distance_s)
    if not usable[0].avoided and _has_room(by_distance, choice.now):
        return [*by_distance, *(item for item in candidates if item.avoided)]
    tiers = _give_shares(usable, choice.now)
    for item in candidates:
        if item not in usable:
            _set_share(item.load, 0.0, choice.now)
    first = _draw_shorter_queue(usable, tiers, choice) or _draw(tiers, choice)
    return [first, *by_cost([item for item in candidates if item is not first], choice)]


def _has_room(by_distance: list[Candidate], now: timedelta) -> bool:
    """Return whether the nearest member serves all reads anyway.

    This spares the whole calculation at light load: the member is alone within its distance, has
    no limit, no failures and no queue, and no difference of runs outweighs the way to the next.
    """
    nearest = by_distance[0]
    load, stamp = nearest.load, nearest.load.stamp
    if load.limit != 1.0 or load.wait or load.rate.lower_bound(now) > 0 or load.overdue_s(now):
        return False
    service_s = nearest.service_s(now)
    if len(by_distance) > 1:
        gap_s = by_distance[1].distance_s - nearest.distance_s
        if gap_s - PRIMARY_DETOUR_S * nearest.is_primary < service_s:
            return False
    if len(load.unanswered) >= nearest.member.slots or load.share < 1 - SMALL_CHANGE:
        return False
    if stamp is None or load.age(now) is None:
        return True
    use = MAX_PRIMARY_USE if nearest.is_primary else MAX_USE
    return not stamp.queued and stamp.arrivals_per_s * service_s < use * nearest.member.slots


def _give_shares(candidates: list[Candidate], now: timedelta) -> list[_Tier]:
    """Update the limits and shares of all members; return the tiers, the nearest one first."""
    fastest_s = min(item.service_s(now) for item in candidates)

    def rank(item: Candidate) -> float:
        slowness_s = max(item.service_s(now) - SLOW_FACTOR * fastest_s, 0.0)
        return round(item.distance_s + PRIMARY_DETOUR_S * item.is_primary + slowness_s, 3)

    groups = [list(group) for _, group in groupby(sorted(candidates, key=rank), rank)]
    total_per_s = sum(item.load.arrivals_per_s for item in candidates)
    limits = []
    for index, group in enumerate(groups):
        for item in group:
            _update_limit(item, index == 0, total_per_s, now)
        limits.append(sum(_limit_of(item, now) for item in group))
    # If the members can't serve everything, what is too much is spread in proportion.
    scale = max(1 / sum(limits), 1.0)
    left, tiers = 1.0, []
    for group, limit in zip(groups, limits, strict=True):
        share = min(left, limit * scale)
        left -= share
        tiers.append(_Tier(group, share))
        for item in group:
            _set_share(item.load, share * _limit_of(item, now) / limit, now)
    return tiers


def _limit_of(item: Candidate, now: timedelta) -> float:
    return item.load.limit * item.load.rate.trust(now)


def _set_share(load: MemberLoad, share: float, now: timedelta) -> None:
    if abs(share - load.share) > SMALL_CHANGE:
        load.share_changed_at = now
    load.share = share


def _update_limit(item: Candidate, nearest: bool, total_per_s: float, now: timedelta) -> None:
    """Change the limit by an observation made after the last change took effect."""
    load = item.load
    if load.limit is None:
        load.limit = 1.0 if nearest else UNKNOWN_LIMIT
        load.limit_set_at = now
    settled_at = max(load.limit_set_at, load.share_changed_at + SETTLING_TIME)
    if load.stamp is not None and load.taken_at > settled_at:
        limit = _limit_by_stamp(item, nearest, total_per_s, now)
    elif load.wait_at > max(settled_at, load.taken_at + SETTLING_TIME) and not load.wait:
        # The last answer met a free slot, and its holder saw no load worth a stamp.
        limit = load.limit * MAX_GROWTH
    else:
        return
    load.limit = min(max(limit, MIN_LIMIT), 1.0)
    load.limit_set_at = now


def _limit_by_stamp(item: Candidate, nearest: bool, total_per_s: float, now: timedelta) -> float:
    """Return the share of a member at which it is used as much as it should be.

    Most of the arrivals at a nearest member come from VMs that change their shares alike, so its
    share changes by the ratio. At another member each VM takes its part of the room that is left.
    """
    load, stamp, slots = item.load, item.load.stamp, item.member.slots
    rate = max(stamp.arrivals_per_s, 1.0)
    queue = max(stamp.in_flight + stamp.queued - slots, 0)
    use = MAX_PRIMARY_USE if item.is_primary else MAX_USE
    room = use * slots / item.service_s(now) - queue / DRAIN_S - rate
    if nearest:
        limit = load.share * min(max(1 + room / rate, MAX_REDUCTION), MAX_GROWTH) + MIN_LIMIT
        # A share below the limit shows nothing against the limit while there is room.
        return limit if room < 0 else max(limit, load.limit)
    if room > 0:
        return load.share + room / max(total_per_s, rate)
    return load.share * max(1 + room / rate, MAX_REDUCTION)


def _draw(tiers: list[_Tier], choice: Choice) -> Candidate:
    point = choice.random.random()
    for tier in tiers:
        point -= tier.share
        if point < 0:
            return tier.draw(choice)
    return tiers[0].draw(choice)


def _draw_shorter_queue(
    candidates: list[Candidate], tiers: list[_Tier], choice: Choice
) -> Candidate | None:
    """Return a member with a shorter queue than the nearest one, or None to keep the shares."""
    nearest = tiers[0].draw(choice)
    best = min(candidates, key=lambda item: item.cost_s(choice.now))
    gain_s = nearest.cost_s(choice.now) - best.cost_s(choice.now) - MIN_GAIN_S
    if best is nearest or gain_s <= 0:
        return None
    age_s = nearest.load.observation_age(choice.now).total_seconds()
    return best if choice.random.random() * (CERTAIN_GAIN_S + age_s) < gain_s else None


def _draw_weight(item: Candidate, choice: Choice) -> float:
    """Return a number whose maximum falls on each member in proportion to its limit."""
    if choice.key:
        # Between 0 and 1, both exclusive.
        point = (zlib.crc32(f"{choice.key}/{item.member.id}".encode()) + 1) / (2**32 + 1)
    else:
        point = 1 - choice.random.random()
    return -_limit_of(item, choice.now) / math.log(point) if point < 1 else math.inf
