"""Names of prepared statements on a connection that many sessions share."""

import unittest

from bramleyrill_core.statements import ConnectionState, Prepared

# Shapes that are alike once blanks, cases or separators are replaced or dropped.
SIMILAR_SHAPES = ("lot by", "lot_by", "lot-by", "lot  by", "lotby", "Lot by", "lot by ", "p1", "")


class PreparedNameTest(unittest.TestCase):
    def setUp(self):
        self.state = ConnectionState()

    def test_no_two_statements_share_a_name(self):
        """With one name for two shapes, the later one replaced the earlier one at the member."""
        statements = [Prepared(writes, shape) for shape in SIMILAR_SHAPES for writes in (0, 1)]
        names = [self.state.add_prepared(prepared) for prepared in statements]
        self.assertEqual(len(set(names)), len(statements))
        self.assertEqual(self.state.name_by_prepared, dict(zip(statements, names, strict=True)))

    def test_name_is_one_word(self):
        """A blank in the name would shift the other fields of the message."""
        for shape in SIMILAR_SHAPES:
            self.assertRegex(self.state.add_prepared(Prepared(True, shape)), r"^\w+$")

    def test_name_is_not_used_again(self):
        """A member that still has the statement would run the earlier shape under the name."""
        first = self.state.add_prepared(Prepared(True, "a"))
        self.state.forget_prepared(Prepared(True, "a"))
        second = self.state.add_prepared(Prepared(True, "b"))
        self.state.reset()
        self.assertEqual(self.state.name_by_prepared, {})
        third = self.state.add_prepared(Prepared(True, "a"))
        self.assertEqual(len({first, second, third}), 3)
