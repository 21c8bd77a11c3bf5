"""Proofs of the shared key that both sides of a peer connection give."""

import hashlib
import hmac
import secrets

PROTOCOL = 1
_NONCE_BYTES = 16


def new_nonce() -> bytes:
    """Return a fresh nonce."""
    return secrets.token_bytes(_NONCE_BYTES)


def _proof(key: bytes, side: bytes, *parts: bytes) -> bytes:
    # Each part is preceded by its length, so that no two lists of parts sign the same bytes.
    signed = b"".join(len(part).to_bytes(4, "big") + part for part in (side, *parts))
    return hmac.new(key, signed, hashlib.sha256).digest()


def client_proof(key: bytes, challenge: bytes, nonce: bytes, vm: str) -> bytes:
    """Return the proof of the connecting side over both nonces and its VM id."""
    return _proof(key, b"client", challenge, nonce, vm.encode())


def server_proof(key: bytes, nonce: bytes, challenge: bytes, vm: str) -> bytes:
    """Return the proof of the accepting side over both nonces and its VM id."""
    return _proof(key, b"server", nonce, challenge, vm.encode())


def proof_matches(expected: bytes, given: bytes | None) -> bool:
    """Compare two proofs in constant time."""
    return hmac.compare_digest(expected, given or b"")
