"""Change of primary: permits, failure detection, fencing, the wait after it, and promotion."""

from bramleyrill_core.succession._answers import PrimaryAnswer, judge_answer
from bramleyrill_core.succession._grants import (
    holds_writes,
    needs_second_member,
    permit_for,
    primary_seen,
    probe_replicas,
    second_member_has,
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
from bramleyrill_core.succession._permit import LONGEST_PERMIT, Permit, entry_expiry
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
    "entry_expiry",
    "holds_writes",
    "judge_answer",
    "leader_of",
    "needs_second_member",
    "next_span",
    "permit_for",
    "primary_seen",
    "probe_replicas",
    "run_succession",
    "second_member_has",
]
