"""Which log position a replica must have for a read of a stated age."""

from bramleyrill_core.freshness._proofs import STALENESS_MARGIN, Proof, ProofHistory, ProofTable

__all__ = ["STALENESS_MARGIN", "Proof", "ProofHistory", "ProofTable"]
