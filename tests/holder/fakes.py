"""A fake upstream member: login without password, scripted answers."""

import struct

import gevent
from bramleyrill_daemon._answers import STATUS_SQL
from bramleyrill_daemon._locks import HOLDER_LOCK_KEY
from bramleyrill_daemon._peer_net import listen_on
from bramleyrill_wire import postgres as pg


def answer(tag, status=b"I"):
    return pg.command_complete(tag) + pg.ready_for_query(status)


def status_answer(position=7, term=1, role="primary"):
    values = ("m1", term, position, role, "m1", term, "[[1, 0]]")
    row = pg.data_row([str(value).encode() for value in values])
    return row + answer("SELECT 1")


class FakeUpstream:
    """Answer statements with the bytes that the function `run` returns for their SQL.

    If `run` returns None, the connection is closed; a status query gets `status_answer()` instead.
    All lock queries succeed. `lock_owner` is the number of the connection that asked for the holder
    lock last. `statements` records the others, as (connection number, sql); `open` is the number of
    open connections.
    """

    def __init__(self, run):
        self.run = run
        self.statements = []
        self.open = 0
        self.lock_owner = 0
        self._listener = listen_on("127.0.0.1", 0)
        self.port = self._listener.getsockname()[1]
        self._greenlet = gevent.spawn(self._accept)

    def close(self):
        self._greenlet.kill()
        self._listener.close()

    def _accept(self):
        number = 0
        while True:
            sock, _ = self._listener.accept()
            number += 1
            gevent.spawn(self._serve, sock, number)

    def _serve(self, sock, number):
        self.open += 1
        try:
            reader = sock.makefile("rb")
            start = reader.read(4)
            if len(start) < 4:
                return
            reader.read(struct.unpack("!i", start)[0] - 4)
            key = pg.backend_key_data(number, 1)
            sock.sendall(pg.AUTHENTICATION_OK + key + pg.ready_for_query(b"I"))
            while header := reader.read(5):
                body = reader.read(struct.unpack_from("!i", header, 1)[0] - 4)
                if header[:1] != b"Q":
                    continue
                data = self._answer(number, body[:-1].decode())
                if data is None:
                    return
                sock.sendall(data)
        except OSError:
            pass
        finally:
            self.open -= 1
            reader.close()
            sock.close()

    def _answer(self, number, sql):
        if "pg_locks" in sql:
            return pg.data_row([b"%d" % self.lock_owner]) + answer("SELECT 1")
        if sql == f"SELECT pg_try_advisory_lock({HOLDER_LOCK_KEY})":
            self.lock_owner = number
        if "advisory" in sql:
            return pg.data_row([b"t"]) + answer("SELECT 1")
        self.statements.append((number, sql))
        if sql == STATUS_SQL:
            return self.run(sql) or status_answer()
        return self.run(sql)
