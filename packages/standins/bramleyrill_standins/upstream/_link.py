"""Replication between members: a follower connects to its leader and receives log entries."""

import json
import struct
import time
from typing import TYPE_CHECKING, Any

import gevent
from bramleyrill_base import log_event
from gevent import socket

from bramleyrill_standins.upstream._frames import LINK_REQUEST, ConnectionClosedError, FrameReader
from bramleyrill_standins.upstream._log import PRIMARY, decode_entry, encode_entry

if TYPE_CHECKING:
    from bramleyrill_standins.upstream._member import Member

BATCH_ENTRIES = 200
# Without new entries, an empty message shows the follower that its leader is alive.
HEARTBEAT_S = 0.3
SILENCE_LIMIT_S = 2.0
RECONNECT_DELAY_S = 0.1


def _send(sock: socket.socket, value: Any) -> None:
    body = json.dumps(value).encode()
    sock.sendall(struct.pack("!i", len(body)) + body)


def _receive(reader: FrameReader) -> Any:
    return json.loads(reader.read_exactly(struct.unpack("!i", reader.read_exactly(4))[0]))


def serve_link(member: "Member", sock: socket.socket, hello: dict[str, Any]) -> None:
    """Send entries to a follower while this member is the primary of the follower's term.

    A primary of a lower term than the follower's is fenced at the follower's term first.
    """
    log = member.log
    names = (hello["member"],)
    member.wait_until_reachable(names)
    if hello["term"] > log.term and log.role == PRIMARY:
        member.fence(hello["term"])
    term = hello["term"]
    if log.role != PRIMARY or log.term != term:
        _send(sock, {"refused": f"{log.role} at term {log.term}"})
        return
    cursor = log.common_position([tuple(pair) for pair in hello["history"]], hello["position"])
    _send(sock, {"history": log.history, "common": cursor})
    while log.role == PRIMARY and log.term == term:
        entries = log.entries[cursor : cursor + BATCH_ENTRIES]
        if not entries and not member.entry_appended.wait(HEARTBEAT_S):
            entries = []
        elif not entries:
            continue
        member.wait_until_reachable(names)
        if log.role != PRIMARY or log.term != term:
            return
        _send(sock, {"entries": [encode_entry(entry) for entry in entries]})
        cursor += len(entries)


def follow(member: "Member", term: int, leader: str) -> None:
    """Follow a leader, with reconnects, until this member's term or leader changes."""
    log = member.log

    def is_current() -> bool:
        return log.term == term and log.leader == leader and log.role != PRIMARY

    while is_current():
        try:
            _follow_once(member, leader, is_current)
        except (OSError, ConnectionClosedError, TimeoutError) as problem:
            log_event("link_lost", member=log.member, leader=leader, problem=type(problem).__name__)
        gevent.sleep(RECONNECT_DELAY_S)


def _follow_once(member: "Member", leader: str, is_current: Any) -> None:
    log = member.log
    address = member.peers.get(leader)
    if address is None:
        return
    member.wait_until_reachable((leader,))
    with socket.create_connection(address, timeout=SILENCE_LIMIT_S) as sock:
        hello = {
            "member": log.member,
            "term": log.term,
            "position": log.position,
            "history": log.history,
        }
        body = json.dumps(hello).encode()
        sock.sendall(struct.pack("!ii", len(body) + 8, LINK_REQUEST) + body)
        reader = FrameReader(sock)
        answer = _receive(reader)
        member.wait_until_reachable((leader,))
        if "refused" in answer or not is_current():
            return
        member.rewind([tuple(pair) for pair in answer["history"]], answer["common"])
        while is_current():
            for values in _receive(reader)["entries"]:
                entry = decode_entry(values)
                _wait_for_lag(member, entry.committed_at)
                member.wait_until_reachable((leader,))
                if not is_current():
                    return
                member.apply(entry)


def _wait_for_lag(member: "Member", committed_at: float) -> None:
    """Wait until the entry is `lag` old, in short steps since the lag can change meanwhile."""
    while (remaining_s := committed_at + member.settings.lag - time.monotonic()) > 0:
        gevent.sleep(min(remaining_s, 0.05))
