"""An in-memory member with its executor, and a front that runs in its own thread."""

import random
import re
import threading
import time
from collections import deque
from datetime import timedelta

import gevent
from bramleyrill_base import ErrorKind, Problem, SystemClock
from bramleyrill_core import Mark, Rank, TermStart, VmId, VmIdentity, World
from bramleyrill_core.membership import VmState
from bramleyrill_core.membership._view import set_state, view_of
from bramleyrill_core.routing import record_primary
from bramleyrill_core.sessions import TokenKey, TokenKeysChanged
from bramleyrill_core.sessions._tokens import replace_keys
from bramleyrill_core.text import (
    DomainSpec,
    FleetSpec,
    Limits,
    RankPolicy,
    ServiceSpec,
    UserSpec,
    build_database,
    build_text,
)
from bramleyrill_daemon._transaction import Chunk, Outcome, TransactionClosed
from bramleyrill_daemon.front import Front, FrontLimits
from bramleyrill_wire import postgres as pg

SECOND = timedelta(seconds=1)
VERIFIER = pg.make_verifier("pencil", b"salt-of-16-bytes").text()


def build_world():
    """Return the world of one VM, with two fleets that have one service each."""
    policy = RankPolicy(SECOND, 0.99, 0.1, 2 * SECOND)
    fleets = {}
    for fleet, service, database in (
        ("kintsugi", "onarim-defteri", "pieces"),
        ("gatecare", "gatebook", "gates"),
    ):
        members = {"m1": ("d", "127.0.0.1", 1), "m2": ("d", "127.0.0.1", 2)}
        spec = build_database(fleet, service, database, members)
        users = {
            "aylin" if fleet == "kintsugi" else "obi": UserSpec("u", VERIFIER),
            "office": UserSpec("office", VERIFIER),
            "reader": UserSpec("reader", VERIFIER, writes=False),
            "plain": UserSpec("plain", password="pencil"),
        }
        services = {
            service: ServiceSpec(
                fleet,
                service,
                Limits(16, 2, SECOND),
                dict.fromkeys(Rank, policy),
                {database: spec},
                users,
                clear_text_passwords=fleet == "kintsugi",
            )
        }
        fleets[fleet] = FleetSpec(fleet, 0.5, {"d": DomainSpec("d", "r")}, services)
    text = build_text(fleets)
    world = World(VmIdentity(VmId("vm1"), "d", "r"), SystemClock(), random.Random(7), text)
    set_state(world, view_of(world).vms.by_id[world.identity.id], VmState.ALIVE, 1)
    for database in text.databases.values():
        record_primary(world, database.id, 1, database.members[0].id)
    replace_keys(world, TokenKeysChanged((TokenKey("k1", b"s" * 16),), "k1"))
    return world


class FakeMember:
    """Answers SQL; the next requests get `scripted_outcomes` instead, unless one is None."""

    def __init__(self):
        self.log_position = 0
        self.term = 1
        self.history = ()
        self.statement_log = []
        self.scripted_outcomes = []
        self.opened_requests = []
        self.open_count = 0
        self.cancel_count = 0
        self.hanging_statements = 0
        self.unread_parts = 0
        self.permit_length = timedelta(seconds=1)
        self.permit_age = timedelta()

    def lose_last_entry(self):
        """Start a new term that does not include the last entry of the log."""
        self.term += 1
        self.log_position -= 1
        self.history = (TermStart(1, 0), TermStart(self.term, self.log_position))

    def open(self, route, request):
        """Return a transaction."""
        self.opened_requests.append((route, request))
        self.open_count += 1
        return FakeTransaction(self)


class FakeTransaction:
    """A transaction at an upstream that understands a few statements."""

    def __init__(self, member):
        self._member = member
        self._splitter = pg.FrameSplitter()
        self._status = b"I"
        self._statements = {}
        self._portals = {}
        self._answers = deque()
        self._skipping = False
        self._canceled = False
        self._closed = False
        self._scripted = None

    def send(self, frames, may_commit=True, more=False):
        """Run the statements of the frames, or use up a scripted outcome."""
        if self._member.scripted_outcomes:
            scripted = self._member.scripted_outcomes.pop(0)
            if scripted is not None:
                self._scripted = scripted
                return
        for kind, frame in self._splitter.feed(frames):
            self._run(chr(kind), frame)

    def receive(self):
        """Return the next part of the answer, or the outcome at the end of a request."""
        if self._closed:
            raise TransactionClosed
        if self._scripted is not None:
            self._member.open_count -= 1
            return self._scripted
        item = self._answers.popleft()
        if item == "hang":
            self._member.hanging_statements += 1
            while not self._canceled and not self._closed:
                gevent.sleep(0.005)
            if self._closed:
                raise TransactionClosed
            tail = pg.error_response("57014", "canceled") + pg.ready_for_query(b"I")
            return self._outcome(tail)
        if item == "end":
            return self._outcome(pg.ready_for_query(self._status))
        if len(self._answers) == 1 and self._answers[0] == "end":
            self._answers.clear()
            return self._outcome(item + pg.ready_for_query(self._status))
        return Chunk(item)

    def _outcome(self, tail):
        member = self._member
        mark = Mark(member.term, member.log_position)
        permit_length = member.permit_length
        age = member.permit_age
        return Outcome(None, tail, self._status, mark, member.history, True, age, permit_length)

    def cancel(self):
        """Cancel a hanging statement."""
        self._member.cancel_count += 1
        self._canceled = True

    def close(self):
        """Close the transaction; an open block is rolled back."""
        if not self._closed:
            self._member.open_count -= 1
            self._member.unread_parts += len(self._answers)
            if self._status != b"I":
                self._member.statement_log.append("rolled back")
        self._closed = True

    def _run(self, kind, frame):
        if self._skipping and kind != "S":
            return
        if kind == "Q":
            for sql in pg.read_query(frame).split(";"):
                if sql.strip():
                    self._execute(sql.strip(), describe=True)
            self._skipping = False
            self._answers.append("end")
        elif kind == "S":
            self._skipping = False
            self._answers.append("end")
        elif kind == "P":
            name, sql = pg.read_parse(frame)
            if name and name in self._statements:
                self._fail("42P05", f"statement {name} exists")
                return
            self._statements[name] = sql
            self._answers.append(pg.PARSE_COMPLETE)
        elif kind == "B":
            portal, name = pg.read_bind(frame)
            if name not in self._statements:
                self._fail("26000", f"statement {name} does not exist")
                return
            self._portals[portal] = self._statements[name]
            self._answers.append(pg.BIND_COMPLETE)
        elif kind == "D":
            target, name = pg.read_target(frame)
            if target == b"S":
                self._answers.append(pg.NO_PARAMETERS)
            sql = (self._statements if target == b"S" else self._portals)[name]
            self._answers.append(_describe(sql))
        elif kind == "E":
            self._execute(self._portals[pg.read_portal(frame)], describe=False)
        elif kind == "C":
            target, name = pg.read_target(frame)
            (self._statements if target == b"S" else self._portals).pop(name, None)
            self._answers.append(pg.CLOSE_COMPLETE)

    def _fail(self, sqlstate, message):
        self._skipping = True
        if self._status == b"T":
            self._status = b"E"
        self._answers.append(pg.error_response(sqlstate, message))

    def _execute(self, sql, describe):
        word = sql.split()[0].upper()
        self._member.statement_log.append(sql)
        if self._status == b"E" and word not in ("ROLLBACK", "COMMIT"):
            self._fail("25P02", "transaction is aborted")
            return
        if sql == "SELECT hang":
            self._answers.append("hang")
            return
        if sql == "SELECT wrong":
            self._fail("42703", "no such column")
            return
        if word == "SELECT":
            big = re.fullmatch(r"SELECT big (\d+)", sql)
            if describe:
                self._answers.append(_describe(sql))
            row = pg.data_row([b"x" * 1000 if big else b"1"])
            count = int(big[1]) if big else 1
            while count > 0:
                self._answers.append(row * min(count, 50))
                count -= 50
            self._answers.append(pg.command_complete("SELECT 1"))
            return
        status = {"BEGIN": b"T", "COMMIT": b"I", "ROLLBACK": b"I"}.get(word)
        if word in ("INSERT", "COMMIT"):
            self._member.log_position += 1
        self._status = status or self._status
        self._answers.append(pg.command_complete("INSERT 0 1" if word == "INSERT" else word))


def _describe(sql):
    if sql.startswith("SELECT"):
        return pg.row_description([("a", 25)])
    return pg.NO_DATA


def refused_outcome(kind, retry_after=None):
    """Return an outcome with a problem of kind `ErrorKind[kind]`."""
    return Outcome(problem=Problem(ErrorKind[kind], "scripted", retry_after))


def wait_for(condition, seconds=20):
    """Wait until `condition()` is true; fail after `seconds`."""
    end = time.monotonic() + seconds
    while not condition():
        if time.monotonic() > end:
            raise AssertionError("condition did not become true in time")
        time.sleep(0.005)


class FrontThread:
    """Runs a front with a fake member in a thread with its own gevent hub."""

    def __init__(self, limits=None, tls=None):
        self.world = build_world()
        self.member = FakeMember()
        self.records = []
        self._limits = limits or FrontLimits(sweep_interval=timedelta(milliseconds=20))
        self._tls = tls
        self._ready = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)

    def __enter__(self):
        self._thread.start()
        self._ready.wait(10)
        return self

    def __exit__(self, *_):
        self.call(self._stopped.set)
        self._thread.join(10)

    def call(self, function):
        """Run a function in the front's thread."""
        self._hub.loop.run_callback_threadsafe(function)

    def call_when(self, condition, function):
        """Call `function` in another thread once `condition()` is true."""

        def run():
            wait_for(condition)
            function()

        threading.Thread(target=run, daemon=True).start()

    def _run(self):
        self._hub = gevent.get_hub()
        self._stopped = gevent.event.Event()
        self.front = Front(
            self.world,
            self.member,
            self._limits,
            self._tls,
            lambda *item: self.records.append(item),
        )
        self.host, self.port = self.front.start("127.0.0.1", 0)
        self._ready.set()
        self._stopped.wait()
        self.front.stop()
        self._hub.destroy()
