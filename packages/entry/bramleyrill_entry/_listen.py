"""Listening sockets, opened before the rest of the process is imported.

Callers that connect while the process starts wait in the backlog for a few hundred milliseconds.
Otherwise they would be refused, and a caller makes only a few attempts.
"""

import socket

from attrs import frozen

from bramleyrill_entry._settings import Address, EntrySettings

# With a full backlog the kernel drops the SYN packet, which is sent again only after a second.
BACKLOG = 1024


@frozen
class Listeners:
    """The listening sockets of the process."""

    callers: socket.socket
    ready: socket.socket
    peers: socket.socket
    metrics: socket.socket


def open_listeners(settings: EntrySettings) -> Listeners:
    """Bind and listen on all addresses; raise OSError if one cannot be used."""
    return Listeners(
        callers=_listen(settings.caller_listen),
        ready=_listen(settings.ready_listen),
        peers=_listen(settings.peer_listen),
        metrics=_listen(settings.metrics_listen),
    )


def _listen(address: Address) -> socket.socket:
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind(address)
    sock.listen(BACKLOG)
    sock.setblocking(False)
    return sock
