"""Callers of the simulated group, which check what they were promised after every answer."""

from attrs import define, field
from bramleyrill_base import ErrorKind, Problem
from bramleyrill_core import Mark, MemberRole, StatementClass
from bramleyrill_core.routing import check_read, confirm_read, next_route, record_primary, route
from bramleyrill_core.sessions import (
    SessionTables,
    TokenKey,
    TokenKeysChanged,
    apply_setting,
    open_session,
)
from bramleyrill_core.succession import (
    Group,
    PrimaryAnswer,
    PrimaryChanged,
    SuccessionTables,
    judge_answer,
    permit_for,
    probe_replicas,
    second_member_has,
)
from returns.result import Failure, Success

from tests.succession.simulation import DATABASE, VMS, Simulation, ms

KEYS = TokenKeysChanged((TokenKey("k", b"k" * 16),), "k")
AGE_MS = 1500


@define
class Caller:
    """A caller: the VM it is on, its token, what it was told is written, what it read fresh.

    `met` is the log that the last answer of a primary came from.

    `forgetful` ones roam without their token, so that a loss cannot be told to them.
    """

    id: int
    forgetful: bool = False
    vm: int = 0
    token: str = ""
    written: list = field(factory=list)
    read: set = field(factory=set)
    met: set = field(factory=set)
    busy: bool = False


class BrokenPromiseError(AssertionError):
    """A promise was broken."""


class CallerSimulation(Simulation):
    """A simulated group with callers that write, read and roam."""

    def __init__(self, seed, rules_off=()):
        super().__init__(seed, rules_off)
        self.callers = [Caller(n, n % 3 == 0) for n in range(4)]
        self.payloads = 0
        self.acknowledged = []
        self.durable = []
        self.told_lost = 0
        self.reads = {"replica": 0, "primary": 0}
        for core in self.cores:
            core.handle(KEYS)
        for caller in self.callers:
            self.roam(caller)
            self.at(self.random.randrange(100), self.act, caller)

    def carry_out(self, index, effects):
        super().carry_out(index, effects)
        for effect in effects:
            if isinstance(effect, PrimaryChanged):
                for other in range(3):
                    if self.reaches(index, other) and other not in self.paused:
                        record_primary(self.world(other), DATABASE, effect.term, effect.member)

    def execute(self, effect, member, sent):
        answer = super().execute(effect, member, sent)
        if self.promotions and self.promotions[-1][0] == self.now:
            self.check_leader(self.members[self.promotions[-1][2]])
        return answer

    def check_leader(self, leader):
        primaries = [m.term for m in self.members.values() if m.role is MemberRole.PRIMARY]
        if len(primaries) != len(set(primaries)):
            raise BrokenPromiseError("two primaries of one term")
        missing = set(self.durable) - {payload for _, payload in leader.log}
        if missing and leader.term == self.newest_term():
            raise BrokenPromiseError(f"{leader.name} leads without durable entries {missing}")

    def newest_term(self):
        return max((term for _, term, _ in self.promotions), default=1)

    def roam(self, caller):
        caller.vm = self.random.randrange(3)
        world = self.world(caller.vm)
        session = open_session(world, caller.id, "kintsugi", "pieces", "main", "ada")
        session.age = ms(self.random.choice((0, AGE_MS)))
        if caller.token and not caller.forgetful:
            token = apply_setting(world, session, "bramleyrill.token", caller.token)
            if token != Success(None):
                raise BrokenPromiseError("a genuine token was refused")

    def session(self, caller):
        return self.world(caller.vm).tables(SessionTables).sessions.by_id[caller.id]

    def act(self, caller):
        self.at(self.random.randrange(20, 120), self.act, caller)
        if caller.busy or caller.vm in self.paused:
            return
        if self.random.random() < 0.2:
            self.roam(caller)
            if caller.vm in self.paused:
                return
        kind = StatementClass.READ if self.random.random() < 0.6 else StatementClass.WRITE
        found = route(self.world(caller.vm), self.session(caller), kind, False)
        if isinstance(found, Failure):
            self.refuse(caller, found.failure().kind)
            return
        caller.busy = True
        visible = self.visible_now(caller)
        self.go(caller, kind, found.unwrap(), visible)

    def visible_now(self, caller):
        """Return the payloads that the caller must see: for forgetful ones, those not lost."""
        if not caller.forgetful:
            return list(caller.written)
        kept = self.kept()
        return [payload for payload in caller.written if payload in kept]

    def kept(self):
        """Return the payloads in the log that started the highest term: those not lost."""
        newest = max(self.members.values(), key=lambda m: (m.history[-1][0], len(m.log)))
        return {payload for _, payload in newest.log}

    def refuse(self, caller, kind):
        if kind is ErrorKind.LOST_ENTRY:
            if not caller.read.union(caller.written) - caller.met:
                raise BrokenPromiseError(
                    f"caller {caller.id} told of a loss although nothing is lost"
                )
            self.told_lost += 1
            caller.written.clear()
            caller.read.clear()
            # The token still names the lost entry; presenting it again would be told again.
            caller.token = ""
        caller.busy = False

    def go(self, caller, kind, path, visible):
        sent = self.now
        holder = VMS.index(path.vm)
        self.at(self.delay(), self.arrive, caller, kind, path, holder, sent, visible)

    def end(self, caller):
        caller.busy = False

    def arrive(self, caller, kind, path, holder, sent, visible):
        if holder in self.paused or not self.reaches(caller.vm, holder):
            self.at(300, self.end, caller)
            return
        world = self.world(holder)
        name = path.member.rpartition("/")[2]
        if path.at_primary:
            group: Group = world.tables(SuccessionTables).groups.by_id.get(DATABASE)
            if permit_for(world, DATABASE) is None or group.primary != name:
                record_primary(
                    self.world(caller.vm),
                    DATABASE,
                    group.primary_term,
                    path.member.rpartition("/")[0] + "/" + (group.primary or "m1"),
                )
                self.at(self.delay(), self.end, caller)
                return
        elif isinstance(check_read(world, path.member, path.required_mark, path.age), Failure):
            self.at(self.delay(), self.fall_back, caller, kind, path, visible)
            return
        due = [p for at, p in self.acknowledged if at <= self.now - AGE_MS]
        step = (caller, kind, path, holder, sent, visible, self.now, due)
        self.at(self.delay(), self.run_statement, *step)

    def fall_back(self, caller, kind, path, visible):
        found = next_route(
            self.world(caller.vm), self.session(caller), path, Problem(ErrorKind.TOO_STALE)
        )
        if isinstance(found, Failure):
            caller.busy = False
        else:
            self.go(caller, kind, found.unwrap(), visible)

    def run_statement(self, caller, kind, path, holder, sent, visible, received, due):
        member = self.members[path.member.rpartition("/")[2]]
        wrote = kind is StatementClass.WRITE
        reachable = member.up and self.reaches(holder, member.name)
        if not reachable or (wrote and member.role is not MemberRole.PRIMARY):
            self.at(300, self.end, caller)
            return
        payload = None
        if wrote:
            self.payloads += 1
            payload = self.payloads
            self.write(member, payload)
        snapshot = {p for _, p in member.log}
        status = member.status()
        step = (caller, path, holder, sent, visible, received, due, payload, snapshot, status)
        durable = wrote and self.random.random() < 0.3
        self.at(self.delay(), self.finish_at_holder, step, durable, 0)

    def finish_at_holder(self, step, durable, tries):
        _, path, holder, _, _, received, _, payload, _, status = step
        if holder in self.paused:
            self.at(50, self.finish_at_holder, step, durable, tries)
            return
        world = self.world(holder)
        if durable and not second_member_has(world, DATABASE, status.mark):
            if tries < 20:
                self.carry_out(holder, probe_replicas(world, DATABASE))
                self.at(20, self.finish_at_holder, step, durable, tries + 1)
            else:
                self.at(1, self.end, step[0])
            return
        permit = permit_for(world, DATABASE)
        if payload is None or (permit and permit.term == status.term):
            age = ms(received) - permit.probe_sent if permit else ms(0)
            length = permit.length if permit else ms(0)
            late = self.delay() + (self.random.random() < 0.1) * self.random.choice((400, 1200))
            self.at(late, self.finish, step, durable, age, length)
        else:
            self.at(1, self.end, step[0])

    def finish(self, step, durable, age, length):
        caller, path, _, sent, visible, _, due, payload, snapshot, status = step
        if caller.vm in self.paused:
            self.at(50, self.finish, step, durable, age, length)
            return
        caller.busy = False
        world, session = self.world(caller.vm), self.session(caller)
        if not path.at_primary:
            confirmed = confirm_read(path.required_mark, status)
            if isinstance(confirmed, Success) or not world.rules.on("read_confirmed"):
                self.check_read_answer(caller, visible, due, snapshot, "replica")
            return
        mark = Mark(status.last_term, status.position)
        answer = PrimaryAnswer(ms(sent), age, length, mark, status.history, payload is not None)
        caller.met = snapshot
        judged = judge_answer(world, session, answer)
        if isinstance(judged, Failure):
            self.refuse(caller, judged.failure().kind)
        elif payload is None:
            self.check_read_answer(caller, visible, due, snapshot, "primary")
        else:
            if status.term < self.newest_term():
                raise BrokenPromiseError(
                    f"term {status.term} acknowledged after {self.promotions[-1]}"
                )
            caller.token = judged.unwrap()
            caller.written.append(payload)
            self.acknowledged.append((self.now, payload))
            if durable:
                self.durable.append(payload)

    def check_read_answer(self, caller, visible, due, snapshot, where):
        self.reads[where] += 1
        if where == "primary":
            caller.read |= snapshot
        missing = set(visible) - snapshot
        if missing:
            raise BrokenPromiseError(
                f"caller {caller.id} does not see its writes {missing} at a {where}"
            )
        stale = (set(due) & self.kept()) - snapshot
        if stale:
            raise BrokenPromiseError(
                f"read at a {where} lacks {stale}, acknowledged before its age"
            )
