"""Memory that the sessions of a process hold: their values and prepared statements.

This answers the load of many sessions that each prepare a few statements of the largest size. A
process that exceeds its memory is ended with all sessions, so the one that asks for too much is
refused instead.
"""

import sys

from attrs import define

# What each session may hold whatever the others hold: some dozens of usual statements.
FREE_SESSION_BYTES = 8 * 1024
# A name and its place in a table, beside the bytes of the texts.
ENTRY_BYTES = 150


class SessionFullError(Exception):
    """The sessions of the process hold all the memory that they may."""


@define(eq=False)
class SessionMemory:
    """Bytes that the sessions of a process hold together, beyond FREE_SESSION_BYTES each.

    Example:

        memory = SessionMemory(limit=1_000_000)
        memory.resize(0, 500_000)
    """

    limit: int = sys.maxsize
    used: int = 0

    def resize(self, held: int, wanted: int) -> None:
        """Let a session hold `wanted` bytes in place of `held`; raise SessionFullError.

        A session may always hold less than before.
        """
        growth = max(wanted - FREE_SESSION_BYTES, 0) - max(held - FREE_SESSION_BYTES, 0)
        if growth > 0 and self.used + growth > self.limit:
            raise SessionFullError
        self.used += growth


def entry_bytes(name: str, text: str) -> int:
    """Return the memory that a value or a prepared statement takes.

    A text with characters beyond Latin-1 takes up to four bytes for each.
    """
    return sys.getsizeof(name) + sys.getsizeof(text) + ENTRY_BYTES
