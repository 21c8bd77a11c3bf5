"""Stand-ins for members, the platform and clients, and the start of the project's processes.

One process holds the stand-ins: an object store with the failover call, the members of the
services, and the clients. The project's proxies run as separate processes with the command of the
deploy file. All addresses are on loopback, and all times are those of the real clock.
"""

import asyncio
import contextlib
import json
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
from urllib.parse import parse_qs, urlsplit

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, NOT_RUN = 0, 1, 2


class CouldNotRunError(Exception):
    """The case could not run, which says nothing about the rule."""


class Record:
    """Lines with the time since the start, written to `record.txt` in the folder of the case."""

    def __init__(self, folder):
        self._file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")
        self._started = time.monotonic()

    def now(self):
        return time.monotonic() - self._started

    def write(self, text):
        line = f"{self.now():9.4f} {text}\n"
        self._file.write(line.encode("utf-8", "backslashreplace").decode())

    def close(self):
        self._file.close()


# The platform's store and the failover call.


class Stored:
    def __init__(self, name, created, revision, spec, finalizers=()):
        self.name, self.created, self.revision = name, created, revision
        # The value as JSON text in bytes, so that an entry may also hold what is no JSON.
        self.spec, self.finalizers = spec, list(finalizers)

    def body(self):
        meta = {
            "name": self.name,
            "revision": self.revision,
            "createdRev": self.created,
            "finalizers": self.finalizers,
            "deletionPending": False,
        }
        return (
            b'{"meta":' + json.dumps(meta).encode() + b',"spec":' + self.spec + b',"status":null}'
        )


class Platform:
    """The store over HTTP/1.1, and `POST /failover`."""

    def __init__(self, record):
        self.record = record
        self.revision = 100
        self.objects = {}
        self.history = []
        self.services = {}
        self.tokens = {}
        # How long an answer takes.
        self.answer_s = 0.004
        self._changed = asyncio.Event()
        self._server = None

    async def start(self):
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        return self._server.sockets[0].getsockname()[1]

    def put(self, kind, name, spec):
        """Store an object; return the time of the acknowledgement."""
        if not isinstance(spec, bytes):
            spec = json.dumps(spec).encode()
        old = self.objects.get((kind, name))
        if old is not None and old.spec == spec:
            return self.record.now()
        self.revision += 1
        stored = Stored(name, old.created if old else self.revision, self.revision, spec)
        self.objects[kind, name] = stored
        self._note(kind, stored, False)
        return self.record.now()

    def remove(self, kind, name):
        stored = self.objects.pop((kind, name), None)
        if stored is not None:
            self.revision += 1
            gone = Stored(name, stored.created, self.revision, stored.spec)
            self._note(kind, gone, True)

    def _note(self, kind, stored, deleted):
        self.history.append((self.revision, kind, stored, deleted))
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    async def _serve(self, reader, writer):
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                first, *lines = head.decode("latin-1").split("\r\n")
                method, target, _ = first.split(" ")
                headers = {}
                for line in lines:
                    name, _, value = line.partition(":")
                    headers[name.strip().lower()] = value.strip()
                data = await reader.readexactly(int(headers.get("content-length", 0)))
                status, body = await self._call(method, target, headers, data)
                await asyncio.sleep(0.004 if target == "/failover" else self.answer_s)
                writer.write(
                    f"HTTP/1.1 {status} -\r\nContent-Type: application/json\r\n"
                    f"Content-Length: {len(body)}\r\n\r\n".encode() + body
                )
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def _call(self, method, target, headers, data):
        url = urlsplit(target)
        query = {key: values[0] for key, values in parse_qs(url.query).items()}
        path = url.path.strip("/").split("/")
        if path == ["failover"]:
            return await self._failover(headers, json.loads(data))
        kind, *name = path[1:]
        if method == "GET" and "watch" in query:
            return await self._watch(kind, int(query["watch"]), int(query.get("waitMs", 0)))
        if method == "GET" and not name:
            items = [
                stored.body()
                for (item_kind, item_name), stored in sorted(self.objects.items())
                if item_kind == kind and item_name > query.get("after", "")
            ]
            return 200, (
                b'{"items":['
                + b",".join(items)
                + b'],"hasMore":false,"storeRevision":%d}' % self.revision
            )
        return self._object(method, kind, name[0] if name else "", query, data)

    def _object(self, method, kind, name, query, data):
        body = json.loads(data) if data else {}
        name = name or body["meta"]["name"]
        stored = self.objects.get((kind, name))
        if method == "POST":
            if stored is not None:
                return 409, stored.body()
            self.put(kind, name, body["spec"])
            return 200, self.objects[kind, name].body()
        if stored is None:
            return 404, b"{}"
        if method == "GET":
            return 200, stored.body()
        wanted = body.get("meta", {}).get("revision", query.get("revision"))
        if wanted is not None and int(wanted) != stored.revision:
            return 409, stored.body()
        if method == "DELETE":
            self.remove(kind, name)
            return 200, b"{}"
        self.put(kind, name, body["spec"])
        return 200, self.objects[kind, name].body()

    async def _watch(self, kind, since, wait_ms):
        events = self._events(kind, since)
        end = time.monotonic() + wait_ms / 1000
        while not events and time.monotonic() < end:
            with contextlib.suppress(asyncio.TimeoutError):
                await asyncio.wait_for(self._changed.wait(), end - time.monotonic())
            events = self._events(kind, since)
        body = b'{"events":[' + b",".join(events) + b'],"storeRevision":%d}' % self.revision
        return 200, body

    def _events(self, kind, since):
        return [
            b'{"deleted":%s,"object":' % (b"true" if deleted else b"false") + stored.body() + b"}"
            for revision, each, stored, deleted in self.history
            if each == kind and revision > since
        ]

    async def _failover(self, headers, body):
        service, chosen = self.services[body["backend"]], body["id"]
        token = int(headers["bramleyrill-fencing-token"])
        holder = headers["bramleyrill-lease-holder"]
        self.record.write(f"failover {service.name} to {chosen} token {token} by {holder}")
        if service.fenced and token < self.tokens.get(service.name, 0):
            return 409, b"{}"
        self.tokens[service.name] = max(token, self.tokens.get(service.name, 0))
        member = service.members.get(chosen)
        if member is None or not member.running:
            return 409, b"{}"
        if service.primary is not member:
            service.promote_later(member)
        return 200, b"{}"


# Members.


class Commit:
    def __init__(self, term, number, statement, writes):
        self.term, self.number, self.statement, self.writes = term, number, statement, writes
        # Released by each replica that receives the commit.
        self.received = asyncio.Semaphore(0)


class Service:
    """A primary and its replicas; a commit is acknowledged once `sync` replicas received it."""

    def __init__(self, name, platform, sync=0, slots=5, connections=55, promote_s=0.6):
        self.name, self.platform, self.record = name, platform, platform.record
        self.sync, self.slots, self.connections = sync, slots, connections
        # Without `fenced` the platform checks no tokens, and a replaced primary goes on until it is
        # demoted, or for a second after it can reach the new one.
        self.promote_s, self.fenced = promote_s, True
        self.members = {}
        self.primary = None
        self.term = 3
        self.promotions, self._promotions = [], set()
        # Commits at a replaced primary.
        self.stale = []
        # Times at which members acknowledged commits, by the id of the statement.
        self.acknowledged = {}
        platform.services[name] = self

    async def add(self, zone, receive_s=0.0, apply_s=0.02, identity=None, work_s=0.004):
        """Start a member with the log that the primary has now."""
        identity = identity or f"i-{random.randrange(16**8):08x}"
        member = Member(self, identity, zone, receive_s, apply_s, work_s)
        if self.primary is None:
            self.primary = member
        else:
            member.log = list(self.primary.log)
            member.applied = len(member.log)
        await member.start()
        self.members[identity] = member
        return member

    def promote_later(self, member):
        async def promote():
            await asyncio.sleep(self.promote_s)
            if member.running and self.primary is not member:
                self.promote(member)

        self._promotions.add(asyncio.ensure_future(promote()))

    def promote(self, member):
        """Let a member lead the next term with what it has received."""
        old = self.primary
        held = set(member.log)
        lost = [commit for commit in old.log if commit not in held]
        self.term += 1
        self.primary = member
        member.applied = len(member.log)
        self.record.write(f"promoted {self.name} {member.id} term {self.term} lost {len(lost)}")
        self.promotions.append((self.record.now(), member.id, lost))
        demoted, old.demoted, member.demoted = old.demoted, False, False
        if not self.fenced and old.running and not demoted:
            old.deposed_term = self.term - 1
            asyncio.ensure_future(old.follow_later(self.term))
        for other in self.members.values():
            other.fenced_term = 0
            if other is not member and not other.deposed_term:
                other.follow()
        for each in (old, member):
            if each.running:
                each.beat()

    async def commit(self, member, statement, writes):
        """Append to the primary's log, and wait until enough replicas have received it."""
        commit = Commit(member.term, len(member.log) + 1, statement, writes)
        member.log.append(commit)
        member.applied = len(member.log)
        if member is not self.primary:
            # A replaced primary that goes on: nobody receives this commit.
            self.stale.append((self.record.now(), member.id, commit))
            self.record.write(f"commit {statement} at the replaced primary {member.id}")
            return commit
        for other in self.members.values():
            if other is not member and other.running:
                asyncio.ensure_future(other.receive(member, commit, self.term))
        for _ in range(self.sync):
            await commit.received.acquire()
        return commit


class Member:
    def __init__(self, service, identity, zone, receive_s, apply_s, work_s):
        self.service, self.id, self.zone = service, identity, zone
        self.receive_s, self.apply_s, self.work_s = receive_s, apply_s, work_s
        self.record = service.record
        self.log, self.applied = [], 0
        # A deaf replica receives nothing; nor does one that was paused with `fenced_term`.
        self.deaf, self.fenced_term, self.deposed_term = False, 0, 0
        self.demoted = False
        self.running, self.state = False, "ready"
        self.connections = 0
        self.writers, self.sessions = set(), set()
        self.slots = asyncio.Semaphore(service.slots)
        self.runs = []
        self.seq = 0
        self._server = None
        self.address = None
        self.born = int(time.time() * 1000)

    async def start(self):
        """Listen; a member that starts again has the address and the id that it had."""
        self.born, self.seq = int(time.time() * 1000), 0
        host, port = self.address or ("127.0.0.1", 0)
        self._server = await asyncio.start_server(self._serve, host, port, limit=2**21)
        self.address = self._server.sockets[0].getsockname()
        self.running = True

    async def stop(self):
        self.running = False
        self._server.close()
        for writer in list(self.writers):
            writer.close()

    @property
    def leads(self):
        """Whether the member leads in its own view."""
        return (self.service.primary is self and not self.demoted) or bool(self.deposed_term)

    @property
    def term(self):
        return self.deposed_term or self.service.term

    @property
    def position(self):
        return f"{self.term}.{len(self.log)}"

    def follow(self):
        """Follow the primary: what is ahead is rolled back, and what is behind is received."""
        self.deposed_term = 0
        if self.service.primary is not self:
            self.log = list(self.service.primary.log)
            self.applied = len(self.log)

    async def follow_later(self, term):
        await asyncio.sleep(1.0)
        if self.deposed_term and self.service.term == term:
            self.follow()
            self.beat()

    def beat(self):
        """Write the entry in the store; return the time of the acknowledgement."""
        self.seq += 1
        host, port = self.address
        return self.service.platform.put(
            "servers",
            self.id,
            {
                "backend": self.service.name,
                "address": f"{host}:{port}",
                "zone": self.zone,
                "version": "v1",
                "slots": self.service.slots,
                "state": self.state,
                "warmupLeftMs": 0,
                "dbRole": "primary" if self.leads else "replica",
                "seq": self.seq,
                "born": self.born,
            },
        )

    async def receive(self, source, commit, term):
        """Receive a commit over the network with all that come before it, and apply it later."""
        await asyncio.sleep(self.receive_s)
        if not self.running or self.deaf or self.fenced_term or self.service.term != term:
            return
        missing = source.log[len(self.log) : commit.number]
        self.log.extend(missing)
        for each in missing:
            each.received.release()
        await asyncio.sleep(self.apply_s)
        if self.service.term == term:
            self.applied = max(self.applied, commit.number)

    async def _serve(self, reader, writer):
        self.connections += 1
        self.writers.add(writer)
        self.sessions.add(asyncio.current_task())
        try:
            await MemberSession(self, reader, writer).serve()
        except (OSError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            self.connections -= 1
            self.writers.discard(writer)
            self.sessions.discard(asyncio.current_task())
            writer.close()


class MemberSession:
    """One connection to a member."""

    def __init__(self, member, reader, writer):
        self.member, self.reader, self.writer = member, reader, writer
        self.state, self.plain, self.term = "I", False, 0
        self.pending, self.values, self.prepared = [], {}, {}
        self.transaction = []

    async def serve(self):
        member = self.member
        word, service, _who, *identity = (await self._line()).split(" ")
        if word != "OPEN" or service != member.service.name or identity not in ([], [member.id]):
            return self._send("ERROR WRONGNODE other")
        if member.connections > member.service.connections:
            return self._send("ERROR MAXCONN full")
        async with member.slots:
            await asyncio.sleep(0.005)
        self._send(f"READY I {member.position}")
        while True:
            _, number, text = (await self._line()).split(" ", 2)
            lines = await self._run(number, text)
            self._send(*lines, f"READY {self.state} {member.position}")

    async def _line(self):
        return (await self.reader.readuntil(b"\r\n"))[:-2].decode("utf-8", "surrogateescape")

    def _send(self, *lines):
        data = "".join(f"{line}\r\n" for line in lines)
        self.writer.write(data.encode("utf-8", "surrogateescape"))

    async def _run(self, number, text):
        member = self.member
        words = text.split(" ")
        if words[0] == "SYNCPOS":
            _, _, least = words[1].partition(".")
            if int(least) > member.applied:
                return ["ERROR LAGGING behind"]
            words = words[2:]
        handler = getattr(self, "do_" + words[0].lower(), None)
        if handler is None or (self.state == "E" and words[0] not in ("ROLLBACK", "COMMIT")):
            return ["ERROR MALFORMED unknown"]
        if words[0] in ("READ", "WRITE", "EXECUTE", "COMMIT"):
            member.record.write(f"run {member.id} {number} {text} state {self.state}")
            member.runs.append((member.record.now(), number, text))
            async with member.slots:
                await asyncio.sleep(member.work_s)
        lines = handler(number, words[1:])
        return await lines if asyncio.iscoroutine(lines) else lines

    def _lost_lead(self):
        return self.plain and (not self.member.leads or self.term != self.member.term)

    def _refuse(self):
        self.state = "E" if self.state == "T" else self.state
        return [f"ERROR READONLY {self.member.id}"]

    def _sign(self):
        return f"COMPLETE {random.randrange(16**16):x}"

    def do_begin(self, _number, words):
        if not words and not self.member.leads:
            return self._refuse()
        self.state, self.plain, self.term = "T", not words, self.member.term
        return ["COMPLETE -"]

    def do_rollback(self, _number, _words):
        self.state, self.plain, self.pending = "I", False, []
        return ["COMPLETE -"]

    async def do_commit(self, number, _words):
        pending, state = self.pending, self.state
        lost_lead = bool(pending) and self._lost_lead()
        self.state, self.plain, self.pending = "I", False, []
        if state == "E":
            return ["ERROR ABORTED failed"]
        if lost_lead:
            return self._refuse()
        if pending:
            await self._commit(number, pending)
        return [self._sign()]

    async def _commit(self, number, writes):
        """Commit; a primary that is replaced meanwhile closes the connection, and does not answer."""
        service = self.member.service
        term = self.member.term
        await service.commit(self.member, number, writes)
        if self.member.term != term or not self.member.leads:
            raise ConnectionError("replaced")
        service.acknowledged[number] = self.member.record.now()

    def do_read(self, _number, words):
        if self.state == "T" and self._lost_lead():
            return self._refuse()
        member = self.member
        for commit in reversed(member.log[: member.applied]):
            for item, data in commit.writes:
                if item == words[0]:
                    return [f"ROW {data}", self._sign()]
        return [self._sign()]

    async def do_write(self, number, words):
        if not self.member.leads or (self.state == "T" and self._lost_lead()):
            return self._refuse()
        write = (words[0], " ".join(words[1:]))
        if self.state == "T":
            self.pending.append(write)
        else:
            await self._commit(number, [write])
        return [self._sign()]

    def do_prepare(self, _number, words):
        self.prepared[words[0]] = (words[1], " ".join(words[2:]))
        return ["COMPLETE -"]

    async def do_execute(self, number, words):
        prepared = self.prepared.get(words[0])
        if prepared is None:
            return ["ERROR NOSTMT unknown"]
        kind, shape = prepared
        self.member.record.write(f"shape {number} ran {kind} {shape}")
        self.member.service.platform.record.shapes[number] = prepared
        if kind == "WRITE":
            return await self.do_write(number, words[1:])
        return self.do_read(number, words[1:])

    def do_dealloc(self, _number, words):
        self.prepared.pop(words[0], None)
        return ["COMPLETE -"]

    def do_set(self, _number, words):
        self.values[words[0]] = " ".join(words[1:])
        return ["COMPLETE -"]

    def do_reset(self, _number, _words):
        self.values, self.prepared = {}, {}
        return ["COMPLETE -"]

    def do_status(self, number, _words):
        member = self.member
        if member.slots.locked():
            member.record.write(f"status {member.id} busy")
            return ["ERROR BUSY no slot is free"]
        member.record.write(f"status {member.id} {member.position}")
        role = "primary" if member.leads else "replica"
        lag = round(member.apply_s * 1000)
        return [
            f"ROW {role} {member.term} {member.position} {member.fenced_term} {lag} 0 "
            f"{member.connections}",
            "COMPLETE -",
        ]

    def do_pause(self, number, words):
        member = self.member
        if member.leads or int(words[0]) <= member.service.term:
            return ["ERROR MALFORMED not a replica of a lower term"]
        member.fenced_term = int(words[0])
        return self.do_status(number, [])

    def do_resume(self, number, _words):
        self.member.fenced_term = 0
        return self.do_status(number, [])

    def do_demote(self, number, words):
        member = self.member
        if member.leads and int(words[0]) > member.term:
            member.demoted = not member.deposed_term
            member.follow()
            member.beat()
            member.record.write(f"demoted {member.id}")
        return self.do_status(number, [])


# The project's processes.


def free_ports(count):
    sockets = [socket.socket() for _ in range(count)]
    for each in sockets:
        each.bind(("127.0.0.1", 0))
    ports = [each.getsockname()[1] for each in sockets]
    for each in sockets:
        each.close()
    return ports


class Proxy:
    """One of the project's processes, started as the deploy file says."""

    def __init__(self, folder, settings):
        self.id = settings["id"]
        self.settings = settings
        self.path = os.path.join(folder, self.id + ".json")
        with open(self.path, "w", encoding="utf-8") as file:
            json.dump(settings, file)
        self.log = open(os.path.join(folder, self.id + ".log"), "wb")
        self.child = None
        self.port = int(settings["caller_listen"].rpartition(":")[2])
        self.ready_port = int(settings["ready_listen"].rpartition(":")[2])

    def start(self):
        names = ("PATH", "HOME", "LANG")
        env = {name: os.environ[name] for name in names if name in os.environ}
        env |= {
            "PYTHONPATH": os.path.join(ROOT, "target", "deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
            "BRAMLEYRILL_CONFIG": self.path,
        }
        self.child = subprocess.Popen(
            ["python3", "-m", "bramleyrill_entry"],
            cwd=ROOT,
            env=env,
            stdin=subprocess.DEVNULL,
            stdout=self.log,
            stderr=subprocess.STDOUT,
        )

    @property
    def running(self):
        return self.child is not None and self.child.poll() is None

    def signal(self, number):
        if self.running:
            self.child.send_signal(number)

    async def is_ready(self):
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", self.ready_port)
            writer.write(b"GET /ready HTTP/1.1\r\nHost: node\r\nConnection: close\r\n\r\n")
            line = await asyncio.wait_for(reader.readline(), 2)
            writer.close()
            return b" 200" in line
        except (OSError, asyncio.TimeoutError):
            return False

    async def wait_ready(self, limit_s=20):
        end = time.monotonic() + limit_s
        while not await self.is_ready():
            if time.monotonic() > end or not self.running:
                raise CouldNotRunError(f"{self.id} does not get ready")
            await asyncio.sleep(0.1)


class World:
    """A small deployment: the platform, services, and proxies in three zones."""

    ZONES = {"zone-a": "region-a", "zone-b": "region-b", "zone-c": "region-c"}

    def __init__(self, folder):
        self.folder = folder
        self.record = Record(folder)
        self.record.shapes = {}
        self.platform = Platform(self.record)
        self.proxies = []
        self.version = 0
        self.routes = []
        self._temporary = tempfile.TemporaryDirectory()
        self._tasks = []

    async def start_proxies(self, count, fenced=True, grace_s=6):
        store = await self.platform.start()
        self.put_configuration()
        self._tasks.append(asyncio.ensure_future(self._beat()))
        ports = free_ports(5 * count)
        peers = [f"127.0.0.1:{port}" for port in ports[:count]]
        zones = list(self.ZONES)
        for number in range(count):
            others = ports[count + 4 * number :]
            settings = {
                "id": f"edge-{zones[number % 3]}-{number // 3 + 1}",
                "domain": zones[number % 3],
                "region": self.ZONES[zones[number % 3]],
                "domains": self.ZONES,
                "caller_listen": f"127.0.0.1:{others[0]}",
                "ready_listen": f"127.0.0.1:{others[1]}",
                "peer_listen": peers[number],
                "metrics_listen": f"127.0.0.1:{others[2]}",
                "seed_peers": peers[:3],
                "platform": f"127.0.0.1:{store}",
                "duties": f"127.0.0.1:{store}",
                "fenced_orders": fenced,
                "quota_window_s": None,
                "quota_over": None,
                "quota_slack": None,
                "grace_s": grace_s,
                "memory_mb": 300,
                "cpu_share": 0.537,
                "cores": 2,
                "link_mbps": 1000.0,
                "max_descriptors": 4200,
            }
            self.proxies.append(Proxy(self._temporary.name, settings))
        for proxy in self.proxies:
            proxy.start()
        for proxy in self.proxies:
            await proxy.wait_ready()
        await asyncio.sleep(1.5)

    def put_configuration(self):
        self.version += 3
        backends = [
            {
                "name": service.name,
                "healthCheck": "/health",
                "maxConns": service.connections,
                "protocol": "h1",
                "tls": False,
                "syncReplicas": service.sync,
            }
            for service in self.platform.services.values()
        ]
        value = {
            "version": self.version,
            "routes": self.routes,
            "backends": backends,
            "limits": {"idleTimeoutMs": 15000, "txIdleMs": 3000},
        }
        return self.platform.put("config", "main", value)

    def add_route(self, database, service, kind, timeout_ms=1000, target_ms=1500, priority=0):
        self.routes.append(
            {
                "name": f"r-{database}",
                "host": database,
                "pathPrefix": "/",
                "type": kind,
                "timeoutMs": timeout_ms,
                "targetLatencyMs": target_ms,
                "priority": priority,
                "backend": service.name,
                "attempts": 2,
                "maxStalenessMs": 2500,
            }
        )

    async def _beat(self):
        """Write the entries of all members now and then, as their heartbeats do."""
        while True:
            for service in self.platform.services.values():
                for member in service.members.values():
                    if member.running:
                        member.beat()
            await asyncio.sleep(1.2)

    def spawn(self, coroutine):
        task = asyncio.ensure_future(coroutine)
        self._tasks.append(task)
        return task

    async def stop(self):
        for task in self._tasks:
            task.cancel()
        for proxy in self.proxies:
            if proxy.running:
                proxy.child.kill()
                proxy.child.wait()
        logs = os.environ.get("LOGS")
        if logs:
            subprocess.run(["cp", "-r", self._temporary.name, logs], check=False)
        self._temporary.cleanup()
        self.record.close()


class Answer:
    def __init__(self, rows, word, rest, state, mark):
        self.rows, self.word, self.rest, self.state, self.mark = rows, word, rest, state, mark

    @property
    def succeeded(self):
        return self.word == "COMPLETE"

    @property
    def code(self):
        return "OK" if self.succeeded else self.rest.split(" ")[0]


class Client:
    """One session of a client; `ask` raises OSError if the connection ends."""

    _numbers = 0

    def __init__(self, world, reader, writer, name):
        self.world, self.reader, self.writer, self.name = world, reader, writer, name
        self.sent_at = 0.0

    @classmethod
    async def open(cls, world, proxy, database, name="client"):
        reader, writer = await asyncio.open_connection("127.0.0.1", proxy.port, limit=2**21)
        client = cls(world, reader, writer, name)
        writer.write(f"OPEN {database} key-{name}\r\n".encode())
        line = await asyncio.wait_for(client._line(), 5)
        if not line.startswith("READY"):
            writer.close()
            raise ConnectionError(line)
        return client

    async def _line(self):
        try:
            return (await self.reader.readuntil(b"\r\n"))[:-2].decode("utf-8", "surrogateescape")
        except asyncio.IncompleteReadError as error:
            raise ConnectionError("the connection ended") from error

    @classmethod
    def new_number(cls):
        cls._numbers += 1
        return f"{cls._numbers:08x}{random.randrange(16**8):08x}"

    async def ask(self, text, number=None, limit_s=20):
        number = number or self.new_number()
        record = self.world.record
        record.write(f"sent {self.name} {number} {text}")
        self.sent_at = record.now()
        self.writer.write(f"QUERY {number} {text}\r\n".encode("utf-8", "surrogateescape"))
        try:
            answer = await asyncio.wait_for(self._answer(), limit_s)
        except (OSError, asyncio.TimeoutError) as error:
            record.write(f"ended {self.name} {number} without an answer: {error!r}")
            raise ConnectionError("no answer") from error
        record.write(f"answered {self.name} {number} {answer.word} {answer.rest} {answer.state}")
        return answer

    async def _answer(self):
        rows, word, rest = [], "", ""
        while True:
            line = await self._line()
            head, _, tail = line.partition(" ")
            if head == "ROW":
                rows.append(tail)
            elif head == "READY":
                state, _, mark = tail.partition(" ")
                return Answer(rows, word, rest, state, mark)
            else:
                word, rest = head, tail

    def close(self):
        self.writer.close()


def main(case, file):
    """Run a case and exit with its result; `case(world)` returns HELD or BROKEN."""
    random.seed(int(os.environ.get("SEED", "0")) or time.time_ns())
    folder = os.path.dirname(os.path.abspath(file))

    async def run():
        world = World(folder)
        try:
            return await asyncio.wait_for(case(world), 110)
        except (CouldNotRunError, asyncio.TimeoutError) as error:
            world.record.write(f"could not run: {error!r}")
            return NOT_RUN
        finally:
            await world.stop()

    signal.signal(signal.SIGTERM, lambda *_: sys.exit(NOT_RUN))
    result = asyncio.new_event_loop().run_until_complete(run())
    print({HELD: "held", BROKEN: "broken", NOT_RUN: "could not run"}[result], flush=True)
    # The clients' sessions that are still open need no orderly end.
    os._exit(result)
