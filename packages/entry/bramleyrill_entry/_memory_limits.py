"""What the callers' sessions of a process may hold in memory, by the memory that it may use.

A quarter is for them; the rest is for the process itself, the members' answers and what the
allocator cannot give back.
"""

from datetime import timedelta

from attrs import define
from bramleyrill_core.statements import SessionMemory
from gevent.lock import BoundedSemaphore

# Assumed where the settings do not tell.
DEFAULT_MEMORY_MB = 256
BYTES_PER_MB = 1_000_000
# Parts of the memory: for values and prepared statements, and for large messages in progress.
SESSION_PART = 8
MESSAGE_PART = 8
# A message of 1 MiB is held as it was received, as text, and in parts.
LARGE_MESSAGE_COST = 3 * 1024 * 1024
# A message that is larger needs a turn before more of it is read.
SMALL_MESSAGE_BYTES = 16 * 1024
# How long a session waits for its turn, and how long its message may then take to arrive.
TURN_TIMEOUT = timedelta(seconds=10)
ARRIVAL_TIMEOUT = timedelta(seconds=10)


@define(eq=False)
class MemoryLimits:
    """The memory of all sessions, and the turns of those that receive a large message.

    A turn lasts until the message has been answered, as it waits in memory for its member.
    """

    sessions: SessionMemory
    turns: BoundedSemaphore

    @classmethod
    def of(cls, memory_mb: float | None) -> "MemoryLimits":
        """Return the limits of a process that may use `memory_mb`, or None if that is not known."""
        available = int((memory_mb or DEFAULT_MEMORY_MB) * BYTES_PER_MB)
        turns = max(available // MESSAGE_PART // LARGE_MESSAGE_COST, 1)
        return cls(SessionMemory(available // SESSION_PART), BoundedSemaphore(turns))
