"""Handshake of a peer connection: challenge, hello, acknowledgement."""

from typing import Any

from attrs import frozen
from bramleyrill_core import VmIdentity
from bramleyrill_wire.peers import (
    PROTOCOL,
    FrameBuffer,
    FrameError,
    client_proof,
    encode,
    frames,
    new_nonce,
    proof_matches,
    server_proof,
)
from gevent import socket

# Frames of the handshake are small; the limit bounds the memory that an unauthenticated peer uses.
HELLO_MAX_FRAME_BYTES = 4096


class HelloError(Exception):
    """The handshake failed: wrong key, another protocol version, or a malformed frame."""


@frozen
class PeerHello:
    """Identity and address that the connecting side reports."""

    vm: str
    host: str
    port: int
    domain: str
    region: str


def _receive_one(sock: socket.socket, expected: type) -> Any:
    """Receive exactly one frame of the expected type; raise HelloError for anything else."""
    buffer = FrameBuffer(HELLO_MAX_FRAME_BYTES)
    while True:
        data = sock.recv(HELLO_MAX_FRAME_BYTES)
        if not data:
            raise HelloError("peer closed the connection during the handshake")
        try:
            received = buffer.feed(data)
        except FrameError as error:
            raise HelloError(str(error)) from error
        if received:
            if len(received) > 1 or type(received[0]) is not expected:
                raise HelloError(f"expected one {expected.__name__} frame")
            return received[0]


def client_handshake(sock: socket.socket, identity: VmIdentity, key: bytes) -> str:
    """Run the connecting side and return the peer's VM id; raise HelloError or OSError."""
    challenge = _receive_one(sock, frames.Challenge)
    if challenge.protocol != PROTOCOL:
        raise HelloError(f"peer uses unsupported protocol {challenge.protocol}")
    nonce = new_nonce()
    hello = frames.Hello(
        protocol=PROTOCOL,
        vm=identity.id,
        nonce=nonce,
        proof=client_proof(key, challenge.nonce or b"", nonce, identity.id),
        host=identity.host,
        port=identity.port,
        domain=identity.domain,
        region=identity.region,
    )
    sock.sendall(encode(hello))
    answer = _receive_one(sock, frames.HelloAck)
    expected = server_proof(key, nonce, challenge.nonce or b"", answer.vm or "")
    if not proof_matches(expected, answer.proof):
        raise HelloError("wrong proof of the accepting side: the shared keys differ")
    return answer.vm


def server_handshake(sock: socket.socket, identity: VmIdentity, key: bytes) -> PeerHello:
    """Run the accepting side and return the peer's identity; raise HelloError or OSError."""
    nonce = new_nonce()
    sock.sendall(encode(frames.Challenge(protocol=PROTOCOL, nonce=nonce)))
    hello = _receive_one(sock, frames.Hello)
    expected = client_proof(key, nonce, hello.nonce or b"", hello.vm or "")
    if hello.protocol != PROTOCOL or not proof_matches(expected, hello.proof):
        raise HelloError("wrong proof of the connecting side: shared key or protocol differs")
    proof = server_proof(key, hello.nonce, nonce, identity.id)
    sock.sendall(encode(frames.HelloAck(vm=identity.id, proof=proof)))
    return PeerHello(hello.vm, hello.host, hello.port, hello.domain, hello.region)
