"""Simulation of three members, the three VMs that hold them, and faults, in simulated time."""

import heapq
import itertools
from random import Random

from attrs import define, field
from bramleyrill_core import Core, Mark, MemberRole, MemberStatus, TermStart
from bramleyrill_core.membership import HeartbeatAcked, SendHeartbeat
from bramleyrill_core.succession import (
    AskPrimarySeen,
    FenceAnswered,
    FenceFailed,
    PrimarySeenAnswered,
    ProbeAnswered,
    ProbeFailed,
    PromoteAnswered,
    PromoteFailed,
    SendFence,
    SendFollow,
    SendProbe,
    SendPromote,
    Span,
    SpansChanged,
    primary_seen,
)

from tests.worlds import DATABASE, MEMBERS, VMS, build_world, ms

NAMES = ("m1", "m2", "m3")
TICK_MS = 20
REPLICATION_MS = 10


@define
class Member:
    """A server with the four functions of the group interface.

    `log` holds the entries as (term, payload), `history` the start of each term in the log.
    """

    name: str
    term: int = 1
    role: MemberRole = MemberRole.REPLICA
    leader: str = "m1"
    log: list = field(factory=list)
    history: list = field(factory=lambda: [(1, 0)])
    up: bool = True

    def status(self):
        starts = tuple(TermStart(*pair) for pair in self.history)
        last = max((term for term, start in self.history if start < len(self.log)), default=0)
        return MemberStatus(
            self.name, self.term, len(self.log), self.role, self.leader, last, starts
        )

    def fence(self, term):
        if term < self.term or (
            term == self.term and (self.role.value, self.leader) != ("fenced", "")
        ):
            return False
        self.term, self.role, self.leader = term, MemberRole.FENCED, ""
        return True

    def promote(self, term):
        if (self.term, self.role) == (term, MemberRole.PRIMARY):
            return True
        if (self.term, self.role, self.leader) != (term, MemberRole.FENCED, ""):
            return False
        self.role, self.leader = MemberRole.PRIMARY, self.name
        self.history.append((term, len(self.log)))
        return True

    def follow(self, term, leader):
        if term < self.term or self.role is MemberRole.PRIMARY and term == self.term:
            return
        if (term, leader) != (self.term, self.leader):
            self.term, self.leader, self.role = term, leader, MemberRole.FENCED


class Simulation:
    """Execute effects with random delays and deliver the answers.

    `loss` is the probability that a message is lost, `lag` that a replication step is skipped.
    `cut` holds pairs of VMs (by index) or members (by name) that cannot reach each other, and
    `paused` the indexes of VMs that do nothing.
    """

    def __init__(self, seed, rules_off=()):
        self.random = Random(seed)
        self.now = 0
        self.queue = []
        self.order = itertools.count()
        self.members = {name: Member(name) for name in NAMES}
        self.members["m1"].role = MemberRole.PRIMARY
        self.cores = [Core(build_world(index)) for index in range(3)]
        self.paused = set()
        self.cut = set()
        self.loss = 0.0
        self.lag = 0.0
        self.max_delay = 5
        self.promotions = []
        self.effects = []
        for core in self.cores:
            for rule in rules_off:
                core.world.rules.switch_off(rule)
            core.handle(SpansChanged(DATABASE, (Span(1, NAMES),)))
        for index in range(3):
            self.at(self.random.randrange(TICK_MS), self.tick, index)
        self.at(0, self.replicate)

    def at(self, delay, action, *arguments):
        heapq.heappush(self.queue, (self.now + delay, next(self.order), action, arguments))

    def run(self, duration):
        end = self.now + duration
        while self.queue and self.queue[0][0] <= end:
            self.now, _, action, arguments = heapq.heappop(self.queue)
            action(*arguments)
        self.now = end

    def world(self, index):
        world = self.cores[index].world
        world.clock.advance_to(ms(self.now))
        return world

    def reaches(self, first, second):
        return (first, second) not in self.cut and (second, first) not in self.cut

    def delivered(self, first, second):
        return self.reaches(first, second) and self.random.random() >= self.loss

    def delay(self):
        return self.random.uniform(0.5, self.max_delay)

    def tick(self, index):
        self.at(TICK_MS, self.tick, index)
        if index not in self.paused:
            self.world(index)
            self.execute_effects(index, self.cores[index].tick())

    def deliver(self, index, message):
        if index in self.paused:
            self.at(50, self.deliver, index, message)
            return
        self.world(index)
        self.execute_effects(index, self.cores[index].handle(message))

    def execute_effects(self, index, effects):
        for effect in effects:
            self.effects.append((self.now, index, effect))
            kind = type(effect)
            if kind in (SendProbe, SendFence, SendPromote, SendFollow):
                self.at(self.delay(), self.send_call, index, effect, self.now)
            elif kind is AskPrimarySeen:
                self.at(self.delay(), self.answer_primary_seen, index, VMS.index(effect.vm))
            elif kind is SendHeartbeat:
                peer = VMS.index(effect.vm)
                if self.reaches(index, peer) and peer not in self.paused:
                    self.at(1, self.deliver, index, HeartbeatAcked(effect.vm, ()))

    def answer_primary_seen(self, index, peer):
        if self.delivered(index, peer) and peer not in self.paused:
            valid = primary_seen(self.world(peer), DATABASE)
            message = PrimarySeenAnswered(DATABASE, VMS[peer], valid)
            self.at(self.delay(), self.deliver, index, message)

    def send_call(self, index, effect, sent):
        name = effect.member.rpartition("/")[2]
        member = self.members[name]
        if not self.delivered(index, name):
            return
        if not member.up:
            failures = {
                SendProbe: lambda: ProbeFailed(effect.member, ms(sent), True),
                SendFence: lambda: FenceFailed(effect.member, effect.term),
                SendPromote: lambda: PromoteFailed(effect.member, effect.term),
            }
            if type(effect) in failures:
                self.at(self.delay(), self.deliver, index, failures[type(effect)]())
            return
        answer = self.call_member(effect, member, sent)
        if answer is not None and self.delivered(index, name):
            self.at(self.delay(), self.deliver, index, answer)

    def call_member(self, effect, member, sent):
        if isinstance(effect, SendProbe):
            return ProbeAnswered(effect.member, ms(sent), member.status())
        if isinstance(effect, SendFence):
            if member.fence(effect.term):
                return FenceAnswered(effect.member, effect.term, member.status())
            return FenceFailed(effect.member, effect.term, True)
        if isinstance(effect, SendPromote):
            previous_role = member.role
            if not member.promote(effect.term):
                return PromoteFailed(effect.member, effect.term, True)
            if previous_role is not MemberRole.PRIMARY:
                self.promotions.append((self.now, effect.term, member.name))
            return PromoteAnswered(effect.member, effect.term, member.status())
        member.follow(effect.term, effect.leader)
        return None

    def replicate(self):
        """Replicate the leader's log to its followers, rewinding them where the logs diverge."""
        self.at(REPLICATION_MS, self.replicate)
        for member in self.members.values():
            leader = self.members.get(member.leader)
            if leader in (None, member) or not (member.up and leader.up):
                continue
            if leader.term != member.term or leader.role is not MemberRole.PRIMARY:
                continue
            lags = self.lag and self.random.random() < self.lag
            if self.delivered(member.name, leader.name) and not lags:
                member.role = MemberRole.REPLICA
                member.history = list(leader.history)
                common = 0
                for own_entry, leader_entry in zip(member.log, leader.log, strict=False):
                    if own_entry != leader_entry:
                        break
                    common += 1
                member.log = leader.log[: common + self.random.randint(1, 3)]
                member.history = [p for p in member.history if p[1] <= len(member.log)]

    def primary(self, term=None):
        """Return the member that is primary of the highest term, or None."""
        leaders = [m for m in self.members.values() if m.role is MemberRole.PRIMARY and m.up]
        return max(leaders, key=lambda m: m.term, default=None)

    def write(self, member, payload):
        """Append an entry and return its mark; entries are (term, payload)."""
        member.log.append((member.term, payload))
        return Mark(member.term, len(member.log))


__all__ = ["DATABASE", "MEMBERS", "NAMES", "VMS", "Simulation", "ms"]
