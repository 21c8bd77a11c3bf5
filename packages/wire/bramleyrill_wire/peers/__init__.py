"""Protocol between VMs: thrift structs, their encoding and the shared-key handshake."""

from bramleyrill_wire.peers._codec import (
    MAX_FRAME,
    FrameBuffer,
    FrameError,
    FrameKind,
    encode,
    frames,
)
from bramleyrill_wire.peers._hello import (
    PROTOCOL,
    client_proof,
    new_nonce,
    proof_matches,
    server_proof,
)

__all__ = [
    "MAX_FRAME",
    "PROTOCOL",
    "FrameBuffer",
    "FrameError",
    "FrameKind",
    "client_proof",
    "encode",
    "frames",
    "new_nonce",
    "proof_matches",
    "server_proof",
]
