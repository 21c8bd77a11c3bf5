"""Public interface to the peer network, for the operator's command line."""

from bramleyrill_daemon._peer_hello import HelloError
from bramleyrill_daemon._peer_link import PeerLink, PeerLostError
from bramleyrill_daemon._peer_net import PeerNet

__all__ = ["HelloError", "PeerLink", "PeerLostError", "PeerNet"]
