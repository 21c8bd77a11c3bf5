"""Requests, their classes, policies and outcomes."""

from collections.abc import Hashable
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
    """A request for a slot; `deadline` is on the queue's monotonic clock."""

    id: Hashable
    work_class: WorkClass
    deadline: timedelta


class Started(NamedTuple):
    """The request has a slot now."""

    id: Hashable


class Queued(NamedTuple):
    """The request waits; it comes back from `finish`, `pause` or `tick`."""

    id: Hashable


class Refused(NamedTuple):
    """The request did not run and is no longer known; the problem has a retry hint."""

    id: Hashable
    problem: Problem


@frozen
class ClassPolicy:
    """What a class keeps: `floor` is its share of all slot time, `queue_limit` bounds its queue.

    A queue in which requests keep waiting longer than `target` is cut to it.
    """

    floor: float = 0.0
    queue_limit: int = 256
    target: timedelta | None = None


@frozen
class AdmissionPolicy:
    """Slots and classes of a queue.

    `group_floors` gives the share of slot time of a fleet (key `(fleet,)`) or of a service (key
    `(fleet, service)`) as a whole. Classes that are not listed get `default`. `adaptive` lets
    the limit in force follow the measured service time; it never exceeds `slots`. `expected` is
    the service time that is assumed until one is measured.
    """

    slots: int
    classes: dict[WorkClass, ClassPolicy] = field(factory=dict)
    group_floors: dict[tuple[str, ...], float] = field(factory=dict)
    default: ClassPolicy = ClassPolicy()
    adaptive: bool = True
    expected: timedelta = timedelta(milliseconds=5)
    floors: bool = True
    urgent_first: bool = True
    predict: bool = True
