"""Tests of the login at an upstream."""

import struct
import unittest
from datetime import timedelta

import gevent
from bramleyrill_daemon._peer_net import listen_on
from bramleyrill_daemon._upstream import UpstreamConnection, UpstreamError, UpstreamLogin
from bramleyrill_wire import postgres as pg


class LoginTest(unittest.TestCase):
    def dial(self, serve, timeout=timedelta(seconds=5)):
        listener = listen_on("127.0.0.1", 0)
        self.addCleanup(listener.close)

        def accept():
            sock, _ = listener.accept()
            (length,) = struct.unpack("!i", sock.recv(4))
            sock.recv(length - 4)
            serve(sock)

        greenlet = gevent.spawn(accept)
        self.addCleanup(greenlet.kill)
        port = listener.getsockname()[1]
        login = UpstreamLogin("127.0.0.1", port, "main", "proxy", "secret")
        return UpstreamConnection.dial(login, timeout)

    def test_upstream_that_skips_its_own_proof_is_refused(self):
        """Guards against a server without the password that accepts any login."""

        def serve(sock):
            sock.sendall(pg.authentication_sasl())
            sock.recv(1000)
            sock.sendall(pg.AUTHENTICATION_OK + pg.ready_for_query(b"I"))

        with self.assertRaises(UpstreamError):
            self.dial(serve)

    def test_silent_log_in_ends_in_time(self):
        """Guards against a dial that waits forever for a server that does not answer."""
        with self.assertRaises(TimeoutError):
            self.dial(lambda sock: gevent.sleep(5), timedelta(milliseconds=50))
