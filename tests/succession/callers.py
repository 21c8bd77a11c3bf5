"""Callers of the simulated group, which check the consistency guarantees on every answer."""

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
    check_answer,
    is_on_second_member,
    permit_for,
    probe_replicas,
)
from returns.result import Failure, Success

from tests.succession.simulation import DATABASE, VMS, Simulation, ms

KEYS = TokenKeysChanged((TokenKey("k", b"k" * 16),), "k")
AGE_MS = 1500


@define
class Caller:
    """A caller, with the VM that it is connected to and its token.

    `written` are the payloads whose writes were acknowledged, `read` those read at a primary, and
    `seen_at_primary` the log behind the last answer of a primary. A caller with `drops_token`
    moves between VMs without its token, so that a loss cannot be reported to it.
    """

    id: int
    drops_token: bool = False
    vm: int = 0
    token: str = ""
    written: list = field(factory=list)
    read: set = field(factory=set)
    seen_at_primary: set = field(factory=set)
    busy: bool = False


class GuaranteeViolationError(AssertionError):
    """A consistency guarantee was violated."""


class CallerSimulation(Simulation):
    """A simulated group with callers that write, read and move between VMs."""

    def __init__(self, seed, rules_off=()):
        super().__init__(seed, rules_off)
        self.callers = [Caller(n, n % 3 == 0) for n in range(4)]
        self.payload_count = 0
        self.acknowledged = []
        self.durable = []
        self.losses_reported = 0
        self.reads = {"replica": 0, "primary": 0}
        for core in self.cores:
            core.handle(KEYS)
        for caller in self.callers:
            self.move_to_random_vm(caller)
            self.at(self.random.randrange(100), self.act, caller)

    def execute_effects(self, index, effects):
        super().execute_effects(index, effects)
        for effect in effects:
            if isinstance(effect, PrimaryChanged):
                for other in range(3):
                    if self.reaches(index, other) and other not in self.paused:
                        record_primary(self.world(other), DATABASE, effect.term, effect.member)

    def call_member(self, effect, member, sent):
        answer = super().call_member(effect, member, sent)
        if self.promotions and self.promotions[-1][0] == self.now:
            self.check_leader(self.members[self.promotions[-1][2]])
        return answer

    def check_leader(self, leader):
        primaries = [m.term for m in self.members.values() if m.role is MemberRole.PRIMARY]
        if len(primaries) != len(set(primaries)):
            raise GuaranteeViolationError("two primaries of one term")
        missing = set(self.durable) - {payload for _, payload in leader.log}
        if missing and leader.term == self.newest_term():
            raise GuaranteeViolationError(f"{leader.name} leads without durable entries {missing}")

    def newest_term(self):
        return max((term for _, term, _ in self.promotions), default=1)

    def move_to_random_vm(self, caller):
        caller.vm = self.random.randrange(3)
        world = self.world(caller.vm)
        session = open_session(world, caller.id, "kintsugi", "pieces", "main", "ada")
        session.age = ms(self.random.choice((0, AGE_MS)))
        if caller.token and not caller.drops_token:
            token = apply_setting(world, session, "bramleyrill.token", caller.token)
            if token != Success(None):
                raise GuaranteeViolationError("a genuine token was refused")

    def session(self, caller):
        return self.world(caller.vm).tables(SessionTables).sessions.by_id[caller.id]

    def act(self, caller):
        self.at(self.random.randrange(20, 120), self.act, caller)
        if caller.busy or caller.vm in self.paused:
            return
        if self.random.random() < 0.2:
            self.move_to_random_vm(caller)
            if caller.vm in self.paused:
                return
        kind = StatementClass.READ if self.random.random() < 0.6 else StatementClass.WRITE
        chosen = route(self.world(caller.vm), self.session(caller), kind, False)
        if isinstance(chosen, Failure):
            self.handle_refusal(caller, chosen.failure().kind)
            return
        caller.busy = True
        visible = self.visible_now(caller)
        self.send_request(caller, kind, chosen.unwrap(), visible)

    def visible_now(self, caller):
        """Return the payloads that the caller must see; without a token, only surviving ones."""
        if not caller.drops_token:
            return list(caller.written)
        surviving_payloads = self.surviving_payloads()
        return [payload for payload in caller.written if payload in surviving_payloads]

    def surviving_payloads(self):
        """Return the payloads in the log of the highest term, which are those not lost."""
        newest = max(self.members.values(), key=lambda m: (m.history[-1][0], len(m.log)))
        return {payload for _, payload in newest.log}

    def handle_refusal(self, caller, kind):
        if kind is ErrorKind.LOST_ENTRY:
            if not caller.read.union(caller.written) - caller.seen_at_primary:
                raise GuaranteeViolationError(
                    f"caller {caller.id} told of a loss although nothing is lost"
                )
            self.losses_reported += 1
            caller.written.clear()
            caller.read.clear()
            # The token still contains the lost entry and would have the loss reported again.
            caller.token = ""
        caller.busy = False

    def send_request(self, caller, kind, path, visible):
        sent = self.now
        holder = VMS.index(path.vm)
        self.at(self.delay(), self.handle_at_holder, caller, kind, path, holder, sent, visible)

    def end_request(self, caller):
        caller.busy = False

    def handle_at_holder(self, caller, kind, path, holder, sent, visible):
        if holder in self.paused or not self.reaches(caller.vm, holder):
            self.at(300, self.end_request, caller)
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
                self.at(self.delay(), self.end_request, caller)
                return
        elif isinstance(check_read(world, path.member, path.required_mark, path.age), Failure):
            self.at(self.delay(), self.try_next_route, caller, kind, path, visible)
            return
        expected_by_age = [p for at, p in self.acknowledged if at <= self.now - AGE_MS]
        context = (caller, kind, path, holder, sent, visible, self.now, expected_by_age)
        self.at(self.delay(), self.run_statement, *context)

    def try_next_route(self, caller, kind, path, visible):
        chosen = next_route(
            self.world(caller.vm), self.session(caller), path, Problem(ErrorKind.TOO_STALE)
        )
        if isinstance(chosen, Failure):
            caller.busy = False
        else:
            self.send_request(caller, kind, chosen.unwrap(), visible)

    def run_statement(self, caller, kind, path, holder, sent, visible, received, expected_by_age):
        member = self.members[path.member.rpartition("/")[2]]
        wrote = kind is StatementClass.WRITE
        reachable = member.up and self.reaches(holder, member.name)
        if not reachable or (wrote and member.role is not MemberRole.PRIMARY):
            self.at(300, self.end_request, caller)
            return
        payload = None
        if wrote:
            self.payload_count += 1
            payload = self.payload_count
            self.write(member, payload)
        snapshot = {p for _, p in member.log}
        status = member.status()
        context = (
            caller,
            path,
            holder,
            sent,
            visible,
            received,
            expected_by_age,
            payload,
            snapshot,
            status,
        )
        durable = wrote and self.random.random() < 0.3
        self.at(self.delay(), self.finish_at_holder, context, durable, 0)

    def finish_at_holder(self, context, durable, tries):
        _, path, holder, _, _, received, _, payload, _, status = context
        if holder in self.paused:
            self.at(50, self.finish_at_holder, context, durable, tries)
            return
        world = self.world(holder)
        if durable and not is_on_second_member(world, DATABASE, status.mark):
            if tries < 20:
                self.execute_effects(holder, probe_replicas(world, DATABASE))
                self.at(20, self.finish_at_holder, context, durable, tries + 1)
            else:
                self.at(1, self.end_request, context[0])
            return
        permit = permit_for(world, DATABASE)
        if payload is None or (permit and permit.term == status.term):
            age = ms(received) - permit.probe_sent if permit else ms(0)
            length = permit.length if permit else ms(0)
            delay = self.delay() + (self.random.random() < 0.1) * self.random.choice((400, 1200))
            self.at(delay, self.finish, context, durable, age, length)
        else:
            self.at(1, self.end_request, context[0])

    def finish(self, context, durable, age, length):
        caller, path, _, sent, visible, _, expected_by_age, payload, snapshot, status = context
        if caller.vm in self.paused:
            self.at(50, self.finish, context, durable, age, length)
            return
        caller.busy = False
        world, session = self.world(caller.vm), self.session(caller)
        if not path.at_primary:
            confirmed = confirm_read(path.required_mark, status)
            if isinstance(confirmed, Success) or not world.rules.on("read_confirmed"):
                self.check_read_answer(caller, visible, expected_by_age, snapshot, "replica")
            return
        mark = Mark(status.last_term, status.position)
        answer = PrimaryAnswer(ms(sent), age, length, mark, status.history, payload is not None)
        caller.seen_at_primary = snapshot
        checked = check_answer(world, session, answer)
        if isinstance(checked, Failure):
            self.handle_refusal(caller, checked.failure().kind)
        elif payload is None:
            self.check_read_answer(caller, visible, expected_by_age, snapshot, "primary")
        else:
            if status.term < self.newest_term():
                raise GuaranteeViolationError(
                    f"term {status.term} acknowledged after {self.promotions[-1]}"
                )
            caller.token = checked.unwrap()
            caller.written.append(payload)
            self.acknowledged.append((self.now, payload))
            if durable:
                self.durable.append(payload)

    def check_read_answer(self, caller, visible, expected_by_age, snapshot, where):
        self.reads[where] += 1
        if where == "primary":
            caller.read |= snapshot
        missing = set(visible) - snapshot
        if missing:
            raise GuaranteeViolationError(
                f"caller {caller.id} does not see its writes {missing} at a {where}"
            )
        stale = (set(expected_by_age) & self.surviving_payloads()) - snapshot
        if stale:
            raise GuaranteeViolationError(
                f"read at a {where} lacks {stale}, acknowledged before its age"
            )
