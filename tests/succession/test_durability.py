"""When a write with durability `second_member` may be acknowledged, by the size of the group."""

import itertools
import unittest
from datetime import timedelta
from types import SimpleNamespace

from bramleyrill_core import Mark, MemberRole, MemberStatus
from bramleyrill_core.succession import Span, is_on_second_member
from bramleyrill_core.succession._tables import Group, SuccessionTables, Watch
from bramleyrill_core.succession._terms import is_majority

DATABASE = "kintsugi/pieces/main"
TERM = 3
WRITTEN = Mark(TERM, 9)


class DurabilityTest(unittest.TestCase):
    def is_durable(self, names, replicas, term=TERM):
        """Return whether a write counts as durable once the replicas have it, of all members."""
        tables = SuccessionTables()
        watches = {}
        for name in names:
            position = 9 if name in replicas else 8
            status = MemberStatus(name, term, position, MemberRole.REPLICA, names[0], TERM)
            watches[name] = Watch(f"{DATABASE}/{name}", name, status=status)
        spec = SimpleNamespace(id=DATABASE)
        group = Group(spec, timedelta(), watches, {}, primary=names[0], primary_term=TERM)
        tables.groups.add(DATABASE, group)
        tables.spans.add(DATABASE, (Span(1, tuple(names)),))
        return is_on_second_member(SimpleNamespace(tables=lambda _: tables), DATABASE, WRITTEN)

    def test_every_majority_has_a_member_with_the_write(self):
        """In a group of five a change could find none of the two members, and lose the write."""
        for size in (1, 3, 5, 7):
            names = [f"m{number}" for number in range(size)]
            for count in range(size):
                for replicas in itertools.combinations(names[1:], count):
                    if not self.is_durable(names, replicas):
                        continue
                    holders = {names[0], *replicas}
                    for left in itertools.combinations(names, size // 2 + 1):
                        self.assertTrue(holders & set(left), (size, replicas, left))

    def test_a_majority_is_enough(self):
        """Waiting for more members would stop writes when one of them fails."""
        for size in (3, 5, 7):
            names = [f"m{number}" for number in range(size)]
            replicas = names[1 : size // 2 + 1]
            self.assertTrue(is_majority(names, {names[0], *replicas}))
            self.assertTrue(self.is_durable(names, replicas))
            self.assertFalse(self.is_durable(names, replicas[:-1]))

    def test_write_on_the_primary_alone_is_not_durable(self):
        self.assertFalse(self.is_durable(["m0"], []))

    def test_member_of_another_term_does_not_count(self):
        """It may have to drop the entry when it learns of the term."""
        self.assertFalse(self.is_durable(["m0", "m1", "m2"], ["m1", "m2"], term=TERM + 1))
