"""Tests of the history checker: it finds each kind of injected fault, and no other."""

import unittest

from bramleyrill_standins.callers import (
    Caller,
    Endpoint,
    History,
    Load,
    Login,
    LossNotice,
    Outcome,
    Read,
    Write,
    check,
    connect,
    create_ledger,
    read_ledger,
)
from bramleyrill_standins.processes import Group, wait_until

LOGIN = Login("app", "", "d")


def write(entry, ended, outcome=Outcome.ACKNOWLEDGED, caller="a", key="k"):
    return Write(caller, key, entry, ended - 0.5, ended, outcome)


def read(entries, started, **fields):
    count = len(entries)
    values = {
        "caller": "a",
        "key": "k",
        "started": started,
        "ended": started + 0.5,
        "nonce": "n",
        "nonces": ("n",) * count,
        "keys": ("k",) * count,
        "entries": tuple(entries),
        "row_count": count,
        **fields,
    }
    return Read(**values)


def kinds(events, final):
    history = History()
    for event in events:
        history.add(event)
    return {fault.kind for fault in check(history, final)}


class RecordedFaultTest(unittest.TestCase):
    def test_clean_history_has_no_fault(self):
        events = [
            write("e1", 1),
            write("e2", 2, Outcome.UNKNOWN),
            write("e3", 3, Outcome.NOT_RUN),
            read(["e1"], 4),
            read([], 1.5, caller="b", age=1.0),
        ]
        self.assertEqual(kinds(events, ["e1", "e2"]), set())

    def test_acknowledged_entry_that_is_missing_is_lost(self):
        self.assertEqual(kinds([write("e1", 1)], []), {"lost"})

    def test_lost_entry_is_excused_only_if_its_caller_was_told_afterwards(self):
        self.assertEqual(kinds([write("e1", 1), LossNotice("a", 2)], []), set())
        self.assertEqual(kinds([write("e1", 1), LossNotice("a", 0.5)], []), {"lost"})
        self.assertEqual(kinds([write("e1", 1), LossNotice("b", 2)], []), {"lost"})

    def test_entry_that_is_there_twice_is_doubled(self):
        for outcome in (Outcome.ACKNOWLEDGED, Outcome.UNKNOWN):
            self.assertEqual(kinds([write("e1", 1, outcome)], ["e1", "e1"]), {"doubled"})

    def test_entry_answered_not_run_must_not_be_there(self):
        self.assertEqual(kinds([write("e1", 1, Outcome.NOT_RUN)], ["e1"]), {"ran"})

    def test_answer_to_another_request_is_crossed(self):
        base = [write("e1", 1), write("x1", 1, key="x", caller="b")]
        final = ["e1", "x1"]
        for fields in ({"nonces": ("m",)}, {"keys": ("x",)}):
            self.assertEqual(kinds([*base, read(["e1"], 2, **fields)], final), {"crossed"})
        self.assertEqual(kinds([*base, read(["e1", "x1"], 2)], final), {"crossed"})
        self.assertEqual(kinds([*base, read(["e1", "never written"], 2)], final), {"crossed"})

    def test_answer_with_missing_rows_is_incomplete(self):
        self.assertEqual(
            kinds([write("e1", 1), read(["e1"], 2, row_count=2)], ["e1"]), {"incomplete"}
        )

    def test_read_without_an_own_earlier_entry_is_stale_whatever_its_age(self):
        self.assertEqual(kinds([write("e1", 1), read([], 1, age=60.0)], ["e1"]), {"stale"})

    def test_read_of_others_entries_may_be_as_old_as_its_age(self):
        for age, expected in ((0.0, {"stale"}), (1.0, {"stale"}), (1.5, set())):
            events = [write("e1", 1), read([], 2, caller="b", age=age)]
            self.assertEqual(kinds(events, ["e1"]), expected, age)


class InjectedFaultTest(unittest.TestCase):
    """Injects faults between callers and a group of members, without a proxy."""

    def setUp(self):
        self.group = Group(["a", "b", "c"])
        self.addCleanup(self.group.stop)
        self.endpoints = {
            name: Endpoint("127.0.0.1", port) for name, port in self.group.ports.items()
        }
        self.primary = connect(self.endpoints["a"], LOGIN, {})
        self.addCleanup(self.primary.close)
        create_ledger(self.primary)
        for name in "bc":
            wait_until(lambda name=name: self.group.state(name)["status"]["position"], name)

    def run_load(self, inject_fault, requests=40, **options):
        load = Load([self.endpoints["a"]], LOGIN, callers=4, keys=2, **options)
        load.start()

        def enough_requests(earlier_requests):
            return len(load.history.writes) + len(load.history.reads) >= earlier_requests + requests

        wait_until(lambda: enough_requests(0), "requests before the fault")
        inject_fault(load)
        earlier_requests = len(load.history.writes) + len(load.history.reads)
        wait_until(lambda: enough_requests(earlier_requests), "requests after the fault")
        return load.stop()

    def kinds(self, history, endpoint="a"):
        with connect(self.endpoints[endpoint], LOGIN, {}) as connection:
            return {fault.kind for fault in check(history, read_ledger(connection))}

    def test_no_fault_without_an_injected_one(self):
        self.assertEqual(self.kinds(self.run_load(lambda load: None)), set())

    def test_change_of_primary_without_replication_loses_entries(self):
        for name in "bc":
            self.group.switch(name, lag=3600)

        def promote(load):
            for name in "bca":
                connect(self.endpoints[name], LOGIN, {}).execute("select * from group_fence(2)")
            connect(self.endpoints["b"], LOGIN, {}).execute("select * from group_promote(2)")
            for caller in load.callers:
                caller.endpoints[:] = [self.endpoints["b"]]

        history = self.run_load(promote, roam=1.0)
        self.assertIn("lost", self.kinds(history, "b"))

    def test_repeated_write_is_doubled(self):
        def repeat(load):
            wait_until(load.history.acknowledged_writes, "a write")
            done = load.history.acknowledged_writes()[0]
            self.primary.execute("insert into ledger values (%s, %s)", (done.key, done.entry))

        self.assertIn("doubled", self.kinds(self.run_load(repeat)))

    def test_read_of_a_lagging_replica_is_stale(self):
        self.group.switch("b", lag=3600)

        def redirect(load):
            for caller in load.callers:
                caller.endpoints[:] = [self.endpoints["b"]]

        history = self.run_load(redirect, roam=1.0)
        self.assertEqual(self.kinds(history), {"stale"})

    def test_swapped_answers_are_crossed(self):
        load = Load([self.endpoints["a"]], LOGIN, callers=2)
        first, second = load.callers
        for caller in (first, second):
            caller._connect()
            caller.write()
        first._connection, second._connection = (
            SwappedAnswers(first._connection, second._connection),
            SwappedAnswers(second._connection, first._connection),
        )
        for caller in (first, second):
            caller.read()
        self.assertEqual(self.kinds(load.history), {"crossed", "stale"})

    def test_write_repeated_after_not_run_has_run(self):
        history = History()
        caller = Caller("x", [self.endpoints["a"]], LOGIN, history, seed=1)
        caller._connect()
        caller.write()
        done = history.writes.pop()
        history.add(
            Write(done.caller, done.key, done.entry, done.started, done.ended, Outcome.NOT_RUN)
        )
        caller._disconnect()
        self.assertEqual(self.kinds(history), {"ran"})


class SwappedAnswers:
    """Connection that runs each statement on another one, with the key of the other's caller."""

    closed = broken = False

    def __init__(self, connection, other):
        self._connection, self._other = connection, other
        self.info = connection.info

    def execute(self, sql, parameters):
        nonce, key = parameters
        swapped = {"caller-key0": "caller-key1", "caller-key1": "caller-key0"}[key]
        return self._other.execute(sql, (nonce[::-1], swapped))
