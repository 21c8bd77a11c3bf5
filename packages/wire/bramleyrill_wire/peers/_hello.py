"""Handshake proofs that both sides of a peer connection know the shared key."""

import hashlib
import hmac
import secrets

PROTOCOL = 1
_NONCE_BYTES = 16


def new_nonce() -> bytes:
    """Return a new random nonce."""
    return secrets.token_bytes(_NONCE_BYTES)


def _compute_proof(key: bytes, role: bytes, *parts: bytes) -> bytes:
    # Each part is prefixed with its length, so that different lists of parts never give the same
    # signed bytes.
    message = b"".join(len(part).to_bytes(4, "big") + part for part in (role, *parts))
    return hmac.new(key, message, hashlib.sha256).digest()


def client_proof(key: bytes, challenge: bytes, nonce: bytes, vm: str) -> bytes:
    """Return the proof of the connecting side over both nonces and its VM id."""
    return _compute_proof(key, b"client", challenge, nonce, vm.encode())


def server_proof(key: bytes, nonce: bytes, challenge: bytes, vm: str) -> bytes:
    """Return the proof of the accepting side over both nonces and its VM id."""
    return _compute_proof(key, b"server", nonce, challenge, vm.encode())


def proof_matches(expected: bytes, given: bytes | None) -> bool:
    """Return whether the proofs are equal, comparing them in constant time."""
    return hmac.compare_digest(expected, given or b"")
