"""Change of primary: permits, failure detection, fencing, the wait after it, and promotion."""

from bramleyrill_core.permits import LONGEST_PERMIT, Permit, entry_expiry
from bramleyrill_core.succession._answers import PrimaryAnswer, check_answer
from bramleyrill_core.succession._grants import (
    is_on_second_member,
    needs_second_member,
    pauses_writes,
    permit_for,
    primary_seen,
    probe_replicas,
)
from bramleyrill_core.succession._messages import (
    AppendSpan,
    AskPrimarySeen,
    FenceAnswered,
    FenceFailed,
    PlannedChangeRequested,
    PrimaryChanged,
    PrimarySeenAnswered,
    ProbeAnswered,
    ProbeFailed,
    PromoteAnswered,
    PromoteFailed,
    SendFence,
    SendFollow,
    SendProbe,
    SendPromote,
    SpansChanged,
)
from bramleyrill_core.succession._supervise import run_succession
from bramleyrill_core.succession._tables import Group, SuccessionTables
from bramleyrill_core.succession._terms import Span, leader_of, next_span

__all__ = [
    "LONGEST_PERMIT",
    "AppendSpan",
    "AskPrimarySeen",
    "FenceAnswered",
    "FenceFailed",
    "Group",
    "Permit",
    "PlannedChangeRequested",
    "PrimaryAnswer",
    "PrimaryChanged",
    "PrimarySeenAnswered",
    "ProbeAnswered",
    "ProbeFailed",
    "PromoteAnswered",
    "PromoteFailed",
    "SendFence",
    "SendFollow",
    "SendProbe",
    "SendPromote",
    "Span",
    "SpansChanged",
    "SuccessionTables",
    "check_answer",
    "entry_expiry",
    "is_on_second_member",
    "leader_of",
    "needs_second_member",
    "next_span",
    "pauses_writes",
    "permit_for",
    "primary_seen",
    "probe_replicas",
    "run_succession",
]
