"""Traces: recorded messages with expected effects, replayed through the core."""

from bramleyrill_core.trace._codec import decode, encode
from bramleyrill_core.trace._format import TraceError, parse_lines
from bramleyrill_core.trace._replay import ReplayResult, replay, replay_lines

__all__ = [
    "ReplayResult",
    "TraceError",
    "decode",
    "encode",
    "parse_lines",
    "replay",
    "replay_lines",
]
