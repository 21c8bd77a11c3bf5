"""Policies that order the members that may serve a read.

A policy gets each member with its fixed cost and its known load and returns them in the order in
which they are tried. `read_policies` holds them by name; the setting `read_policy` chooses one.
"""

import random
import zlib
from collections.abc import Callable
from datetime import timedelta

from attrs import define, frozen
from bramleyrill_base import Registry

from bramleyrill_core.catalog._model import MemberEntry
from bramleyrill_core.placement._load import MemberLoad

# The weight of a reported wait halves in this time.
WAIT_HALF_LIFE = timedelta(milliseconds=300)
# Added to the cost of the primary, whose slots are needed for work that only it can do.
PRIMARY_PENALTY = timedelta(milliseconds=40)


@define(eq=False)
class Candidate:
    """A member that may serve a read.

    `distance_s` is the time in seconds that it costs at no load: the round trips and its warm-up.
    It is made for one choice, so that what it has derived for the time of the choice is kept.
    An `avoided` member failed just now or lacks the data, and is tried last by all policies.
    """

    member: MemberEntry
    distance_s: float
    load: MemberLoad
    is_primary: bool = False
    avoided: bool = False
    _service_s: float | None = None
    _wait_s: float | None = None

    @property
    def fixed_s(self) -> float:
        """Return the distance plus the price of the primary's slots."""
        return self.distance_s + PRIMARY_PENALTY.total_seconds() * self.is_primary

    def service_s(self, now: timedelta) -> float:
        """Return the expected run of a statement at the member."""
        if self._service_s is None:
            self._service_s = self.load.expected_service_s(now)
        return self._service_s

    def wait_s(self, now: timedelta) -> float:
        """Return the expected wait in the queue of the member's holder."""
        if self._wait_s is None:
            self._wait_s = self.load.expected_wait_s(self.member.slots, now, self.service_s(now))
        return self._wait_s

    def cost_s(self, now: timedelta) -> float:
        """Return the expected time of a read at the member."""
        return self.fixed_s + self.wait_s(now) + self.service_s(now)


@frozen
class Choice:
    """What a policy may use beside the candidates.

    `key` identifies the chooser, for instance a team: equal choices are broken by a stable hash of
    it and the member, so that the reads of one team stay on few members. `choosers` is the number
    of VMs that choose at the same time.
    """

    now: timedelta
    random: random.Random
    key: str = ""
    choosers: int = 1


ReadPolicy = Callable[[list[Candidate], Choice], list[Candidate]]
read_policies: Registry[ReadPolicy] = Registry("read policy")


def tie_break(candidate: Candidate, choice: Choice) -> int:
    """Return a number that orders members of equal cost, stable for each key."""
    return zlib.crc32(f"{choice.key}/{candidate.member.id}".encode())


@read_policies.register("last_wait")
def order_by_last_wait(candidates: list[Candidate], choice: Choice) -> list[Candidate]:
    """Order by the fixed cost plus the last wait that an answer told, which decays."""

    def sort_key(candidate: Candidate) -> tuple[float, str]:
        load = candidate.load
        weight = 0.5 ** ((choice.now - load.wait_at) / WAIT_HALF_LIFE)
        return candidate.fixed_s + load.wait.total_seconds() * weight, candidate.member.id

    return sorted(candidates, key=sort_key)


def by_cost(candidates: list[Candidate], choice: Choice) -> list[Candidate]:
    """Return the candidates by expected time."""
    return sorted(
        candidates,
        key=lambda item: (round(item.cost_s(choice.now), 3), tie_break(item, choice)),
    )


@read_policies.register("least_load")
def order_by_least_load(candidates: list[Candidate], choice: Choice) -> list[Candidate]:
    """Order by expected time; all VMs with the same knowledge choose the same member."""
    return by_cost(candidates, choice)


@read_policies.register("two_choices")
def order_two_choices(candidates: list[Candidate], choice: Choice) -> list[Candidate]:
    """Take the better of two members drawn at random, then the others by expected time."""
    drawn = choice.random.sample(candidates, min(2, len(candidates)))
    others = [item for item in candidates if item not in drawn]
    return by_cost(drawn, choice) + by_cost(others, choice)


@read_policies.register("cubic")
def order_cubic(candidates: list[Candidate], choice: Choice) -> list[Candidate]:
    """Order by a cubic function of the queue, with own requests times the choosers (C3)."""

    def sort_key(item: Candidate) -> float:
        load, stamp = item.load, item.load.stamp
        queue = 1 + len(load.unanswered) * choice.choosers / item.member.slots
        if stamp is not None:
            queue += (stamp.in_flight + stamp.queued) / item.member.slots
        return item.fixed_s + queue**3 * item.service_s(choice.now) / item.member.slots

    return sorted(candidates, key=sort_key)


@read_policies.register("hot_cold")
def order_hot_cold(candidates: list[Candidate], choice: Choice) -> list[Candidate]:
    """Order the members that are not hot by latency, the hot ones by load (Prequal).

    A member is hot if more statements than it has slots are in flight or queued.
    """

    def sort_key(item: Candidate) -> tuple[bool, float]:
        backlog = item.load.expected_backlog(
            item.member.slots, choice.now, item.service_s(choice.now)
        )
        if backlog > item.member.slots:
            return True, backlog / item.member.slots
        return False, item.fixed_s + item.service_s(choice.now)

    return sorted(candidates, key=sort_key)


@read_policies.register("idle_tokens")
def order_idle_tokens(candidates: list[Candidate], choice: Choice) -> list[Candidate]:
    """Use distant members only with a token, of which a holder hands out one for each idle slot.

    The tokens of a stamp are shared by all choosers: each holds one with that probability.
    """

    def sort_key(item: Candidate) -> tuple[bool, float]:
        stamp = item.load.stamp
        idle = item.member.slots - stamp.in_flight if stamp is not None else 1
        chance = 0.0 if item.load.sent_since else idle * len(candidates) / choice.choosers
        return choice.random.random() >= chance, item.cost_s(choice.now)

    nearest = min(candidates, key=lambda item: item.fixed_s)
    if nearest.wait_s(choice.now) <= 0:
        return [nearest, *by_cost([item for item in candidates if item is not nearest], choice)]
    return sorted(candidates, key=sort_key)
