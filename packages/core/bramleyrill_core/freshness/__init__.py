"""The log position that a replica must have reached to serve a read of bounded staleness."""

from bramleyrill_core.freshness._proofs import STALENESS_MARGIN, Proof, ProofHistory, ProofTable

__all__ = ["STALENESS_MARGIN", "Proof", "ProofHistory", "ProofTable"]
