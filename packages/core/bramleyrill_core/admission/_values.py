"""Requests, work classes, policies and outcomes of admission."""

from collections.abc import Callable, Hashable
from datetime import timedelta
from typing import NamedTuple

from attrs import field, frozen
from bramleyrill_base import Problem

from bramleyrill_core._values import Rank


class WorkClass(NamedTuple):
    """Fleet, service and rank of a request."""

    fleet: str
    service: str
    rank: Rank


class Request(NamedTuple):
    """A request for a slot; `deadline` is on the queue's monotonic clock.

    `team` is on whose behalf it runs, and `item` the item of the primary's data that it uses; both
    are empty if unknown.
    """

    id: Hashable
    work_class: WorkClass
    deadline: timedelta
    team: str = ""
    item: str = ""


class Started(NamedTuple):
    """The request has a slot and may run."""

    id: Hashable


class Queued(NamedTuple):
    """The request waits; a later call that returns a list of outcomes starts or refuses it."""

    id: Hashable


class Refused(NamedTuple):
    """The request was not run and has been removed; `problem` carries a retry hint."""

    id: Hashable
    problem: Problem


@frozen
class ClassPolicy:
    """Guarantees and limits of a class.

    `floor` is its guaranteed share of all slot time, and `queue_limit` the longest queue of new
    requests. When waits exceed `target` for a while, requests with a longer expected wait are
    refused.
    """

    floor: float = 0.0
    queue_limit: int = 256
    target: timedelta | None = None


def equal_weight(_team: str) -> float:
    """Return the weight of a team where the configuration states none."""
    return 1.0


@frozen
class AdmissionPolicy:
    """Slots and classes of a queue.

    `group_floors` gives the guaranteed share of slot time of a whole fleet (key `(fleet,)`) or
    service (key `(fleet, service)`). Classes that are not listed get `default`. With `adaptive`
    the limit of requests in progress follows the measured service time; it never exceeds
    `slots`. `expected_service_time` is assumed until one is measured. `floors`, `urgent_first`
    and `predict` enable floors, priority by rank, and refusal by predicted wait. Teams share the
    slots of a class by their `weight_of`, in the registered order `team_order`.
    """

    slots: int
    classes: dict[WorkClass, ClassPolicy] = field(factory=dict)
    group_floors: dict[tuple[str, ...], float] = field(factory=dict)
    default: ClassPolicy = ClassPolicy()
    adaptive: bool = True
    expected_service_time: timedelta = timedelta(milliseconds=5)
    floors: bool = True
    urgent_first: bool = True
    predict: bool = True
    weight_of: Callable[[str], float] = equal_weight
    team_order: str = "start_time"
