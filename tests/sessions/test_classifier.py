"""Tests of the statement classifier."""

import unittest

from bramleyrill_core import StatementClass
from bramleyrill_core.sessions import classify

READS = [
    "SELECT 1",
    "/* a */ select p.id, count(*) from pieces p where n = 'it''s' and y=$1 group by 1 -- end",
    "SELECT x::numeric(10,2), a->>'b' FROM t AS u(a) WHERE a IN (1,2) AND b BETWEEN 1 AND -3.5;",
    "VALUES (1, 'a')",
    "SHOW server_version",
]

# Each hides a write or a possible write from a lexer that differs from PostgreSQL's.
WRITES = [
    "SELECT '\\'; DELETE FROM x; --'",
    "SELECT nextval('s')",
    "SELECT ARRAY [nextval('s')]",
    'SELECT "count"(1)',
    "SELECT own.count(1)",
    "SELECT x\u00a0count(1)",
    "SELECT \u017fum(1)",
    "SELECT \u0663(1)",
    "SELECT 1 +-- '\n; DELETE FROM x --'",
    "SELECT 1 +/* '*/ ; DELETE FROM x --'",
    "SELECT 1 # '\n; DELETE FROM x --'",
    "SELECT 1 ` ; DELETE FROM x ` ",
    "SELECT /* /* */ '*/ ; DELETE FROM x --'",
    "SELECT $$ ' $$; DELETE FROM x --'",
    "SELECT 1; DELETE FROM x",
    "SELECT * FROM t FOR NO KEY UPDATE",
    "SELECT * INTO t FROM u",
    "WITH d AS (DELETE FROM t RETURNING id) SELECT * FROM d",
    "SELECT 'unterminated",
    "COMMIT PREPARED 'x'",
    "ROLLBACK TO a",
    "SELECT 1" + " " * 20_000 + "; DELETE FROM x",
]


class ClassTest(unittest.TestCase):
    def test_plain_reads(self):
        """Guards against sending reads to the primary that replicas could serve."""
        for sql in READS:
            self.assertIs(classify(sql).kind, StatementClass.READ, sql)
            self.assertFalse(classify(sql).alters_session, sql)

    def test_statement_not_provably_a_read_is_a_write(self):
        """Guards against sending a write to a replica, or sending it twice."""
        for sql in WRITES:
            self.assertIs(classify(sql).kind, StatementClass.WRITE, sql)

    def test_shape_cache_keeps_structure(self):
        """Guards against a literal that changes the class of a cached statement."""
        self.assertIs(classify("SELECT a FROM t WHERE b = 'x'").kind, StatementClass.READ)
        hidden = "SELECT a FROM t WHERE b = ''; DELETE FROM t WHERE b = 'x'"
        self.assertIs(classify(hidden).kind, StatementClass.WRITE)

    def test_transactions_and_settings(self):
        """Guards against an unpinned transaction and an unnoticed setting."""
        self.assertIs(classify("start transaction read only").kind, StatementClass.BEGIN)
        self.assertIs(classify("END").kind, StatementClass.COMMIT)
        self.assertIs(classify("ABORT").kind, StatementClass.ROLLBACK)
        classified = classify("SET bramleyrill.token TO 'a''B'")
        self.assertEqual(classified.setting, ("bramleyrill.token", "a'B"))
        self.assertTrue(classified.alters_session)

    def test_reset_is_skipped_only_for_plain_changes(self):
        """Guards against session state that leaks to the next user of a connection."""
        self.assertFalse(classify("INSERT INTO t (a) VALUES (now())").alters_session)
        self.assertTrue(
            classify("INSERT INTO t VALUES (set_config('a', 'b', false))").alters_session
        )
        self.assertTrue(classify("CREATE TEMP TABLE t (a int)").alters_session)

    def test_unsupported_features_are_named(self):
        """Guards against forwarding a command such as COPY, which cannot be proxied."""
        self.assertEqual(classify("copy t from stdin").feature, "COPY")
        self.assertEqual(classify("SELECT 1; LISTEN x").feature, "LISTEN")
