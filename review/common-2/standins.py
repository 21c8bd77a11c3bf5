"""Small stand-ins for the scripts of review 2: the platform's store, members and clients.

They follow PROTOCOL.md and run in one asyncio loop. The entry processes are started as the deploy
file says, as separate processes.
"""

import asyncio
import itertools
import json
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
from urllib.parse import parse_qs, unquote, urlsplit

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
HOST = "127.0.0.1"
# More than the longest message of the wire.
STREAM_LIMIT = 2 * 1024 * 1024


class Record:
    """The file record.txt of a case: what was sent, answered and run, with the time in seconds."""

    def __init__(self, path):
        self._file = open(path, "w", encoding="utf-8")
        self.began = time.monotonic()

    def now(self):
        """Return the seconds since the start of the case."""
        return time.monotonic() - self.began

    def say(self, text):
        """Write one line."""
        self._file.write(f"{self.now():9.4f} {text}\n")

    def close(self):
        """Close the file."""
        self._file.close()


def free_ports(count):
    """Return ports that nothing listens on, outside the range of outgoing connections."""
    socks = []
    while len(socks) < count:
        sock = socket.socket()
        try:
            sock.bind((HOST, random.randrange(12_000, 30_000)))
        except OSError:
            sock.close()
            continue
        socks.append(sock)
    ports = [sock.getsockname()[1] for sock in socks]
    for sock in socks:
        sock.close()
    return ports


class Platform:
    """The metadata store (HTTP objects) and POST /failover.

    `promote_s` is how long a promotion takes. `revision` is the store's revision at the start.
    While `cloud_silent` is set, calls of /failover get no answer and are not carried out. `orders`
    has all calls of /failover that arrived, as (time, lease holder, fencing token, member). Without
    `checks_fences` an order with a lower token than an earlier one is carried out too.
    """

    def __init__(self, record, promote_s, revision=100):
        self.record = record
        self.promote_s = promote_s
        self.cloud_silent = False
        self.checks_fences = True
        self.orders = []
        self.groups = {}
        self.tokens = {}
        self.revision = revision
        self.objects = {}
        self.history = []
        self.changed = asyncio.Event()

    async def start(self):
        """Listen, and return the port."""
        self._server = await asyncio.start_server(self._serve, HOST, 0, limit=STREAM_LIMIT)
        return self._server.sockets[0].getsockname()[1]

    def put(self, kind, name, spec):
        """Store an object and return it, as the operator or a member does."""
        self.revision += 1
        created = self.objects.get((kind, name), {"meta": {"createdRev": self.revision}})
        body = {
            "meta": {
                "name": name,
                "revision": self.revision,
                "createdRev": created["meta"]["createdRev"],
                "finalizers": [],
                "deletionPending": False,
            },
            "spec": spec,
            "status": None,
        }
        self.objects[kind, name] = body
        self._note(kind, body, False)
        return body

    def remove(self, kind, name):
        """Remove an object."""
        body = self.objects.pop((kind, name), None)
        if body is not None:
            self.revision += 1
            body = body | {"meta": body["meta"] | {"revision": self.revision}}
            self._note(kind, body, True)

    def _note(self, kind, body, deleted):
        self.history.append((self.revision, kind, {"object": body, "deleted": deleted}))
        self.changed.set()
        self.changed = asyncio.Event()

    async def _serve(self, reader, writer):
        try:
            while True:
                line = (await reader.readline()).decode().split()
                if len(line) < 3:
                    return
                headers = {}
                while (text := (await reader.readline()).decode().strip()) != "":
                    name, _, value = text.partition(":")
                    headers[name.lower()] = value.strip()
                size = int(headers.get("content-length", "0"))
                data = await reader.readexactly(size) if size else b""
                status, body = await self._call(line[0], line[1], headers, data)
                out = json.dumps(body).encode()
                writer.write(
                    f"HTTP/1.1 {status} -\r\nContent-Type: application/json\r\n"
                    f"Content-Length: {len(out)}\r\n\r\n".encode() + out
                )
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def _call(self, method, target, headers, data):
        parts = urlsplit(target)
        query = {key: values[0] for key, values in parse_qs(parts.query).items()}
        path = [unquote(part) for part in parts.path.strip("/").split("/")]
        body = json.loads(data) if data else {}
        if path == ["failover"]:
            return await self._failover(headers, body)
        await asyncio.sleep(0.004)
        kind, name = path[1], "/".join(path[2:])
        if method == "GET" and not name:
            return await self._list(kind, query)
        stored = self.objects.get((kind, name or body.get("meta", {}).get("name")))
        if method == "POST":
            if stored is not None:
                return 409, stored
            return 200, self.put(kind, body["meta"]["name"], body["spec"])
        if stored is None:
            return 404, {}
        if method == "GET":
            return 200, stored
        if method == "DELETE":
            self.remove(kind, name)
            return 200, {}
        if body["meta"].get("revision", stored["meta"]["revision"]) != stored["meta"]["revision"]:
            return 409, stored
        if stored["spec"] == body["spec"]:
            return 200, stored
        return 200, self.put(kind, name, body["spec"])

    async def _list(self, kind, query):
        if "watch" not in query:
            items = [body for (k, _), body in sorted(self.objects.items()) if k == kind]
            return 200, {"items": items, "hasMore": False, "storeRevision": self.revision}
        since = int(query["watch"])
        end = time.monotonic() + int(query.get("waitMs", "0")) / 1000
        while True:
            events = [event for rev, k, event in self.history if rev > since and k == kind]
            left = end - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "storeRevision": self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except TimeoutError:
                pass

    async def _failover(self, headers, body):
        service, member = body["backend"], body["id"]
        token = int(headers["bramleyrill-fencing-token"])
        holder = headers["bramleyrill-lease-holder"]
        self.record.say(f"platform: failover {service} to {member} by {holder} token {token}")
        self.orders.append((self.record.now(), holder, token, member))
        if self.cloud_silent:
            self.record.say("platform: silent, the call gets no answer and is not carried out")
            await asyncio.sleep(30)
            raise ConnectionError
        if self.checks_fences and token < self.tokens.get(service, 0):
            return 409, {}
        self.tokens[service] = max(token, self.tokens.get(service, 0))
        group = self.groups[service]
        if not group.members[member].running:
            return 409, {}
        if group.primary is group.members[member]:
            return 200, {}
        await asyncio.sleep(self.promote_s)
        if not group.members[member].running:
            return 409, {}
        group.promote(member)
        return 200, {}


class Entry:
    """One commit: its number is its place in the log."""

    def __init__(self, term, writes):
        self.term = term
        self.writes = writes


class Group:
    """A service: members, the log of each, replication and promotions.

    `one_way_s(a, b)` is the delay of the network between two members. With `sync` a commit is
    acknowledged once one replica has received it.
    """

    def __init__(
        self,
        service,
        record,
        platform,
        sync=0,
        slots=5,
        max_conns=55,
        work_s=0.005,
        apply_s=0.02,
        one_way_s=lambda a, b: 0.0005,
    ):
        self.service, self.record, self.platform = service, record, platform
        self.sync, self.slots, self.max_conns, self.work_s = sync, slots, max_conns, work_s
        self.apply_s, self.one_way_s = apply_s, one_way_s
        self.term = 3
        self.members = {}
        self.primary = None
        # Called as promoted(member) right after a promotion.
        self.promoted = lambda member: None
        # Called as ran(member, statement id, text) when a member gets a client's statement.
        self.ran = lambda member, number, text: None
        platform.groups[service] = self

    def work_of(self, _text):
        """Return for how long a statement occupies a slot; a case may replace this."""
        return self.work_s

    async def add(self, name, zone):
        """Start a member; the first one leads."""
        is_first = not self.members
        member = self.members[name] = Member(self, name, zone)
        if is_first:
            self.primary = member
        await member.start()
        return member

    def promote(self, name):
        """Make a member the primary of the next term, with the log that it has."""
        member = self.members[name]
        if member is self.primary:
            return
        old, self.primary = self.primary, member
        self.term += 1
        member.term = self.term
        self.record.say(
            f"group: {name} is promoted, term {self.term}, with {len(member.log)} entries"
            + (f" (the old primary {old.name} has {len(old.log)})" if old else "")
        )
        self.promoted(member)
        if old is not None:
            old.lead_lost()
        for other in self.members.values():
            if other is not member and other.running:
                other.follow()
        for other in self.members.values():
            if other.running:
                other.publish()

    def replicate(self, member, entry_count):
        """Send the primary's log up to a length to all replicas."""
        for other in self.members.values():
            if other is not member:
                delay = self.one_way_s(member, other)
                loop = asyncio.get_running_loop()
                loop.call_later(delay, self._receive, member, other, entry_count, self.term)

    def _receive(self, source, replica, count, term):
        # What was sent before a promotion is of the earlier term and is not taken any more.
        if not replica.running or term != self.term or replica.paused_term:
            return
        replica.log.extend(source.log[len(replica.log) : count])
        replica.term = term
        loop = asyncio.get_running_loop()
        loop.call_later(self.apply_s, replica.apply, len(replica.log), term)
        loop.call_later(self.one_way_s(replica, source), source.received_by_replica, count, term)


class Member:
    """A member: serves the line protocol, reports itself in the store."""

    def __init__(self, group, name, zone):
        self.group, self.name, self.zone = group, name, zone
        self.log, self.applied, self.term = [], 0, group.term
        self.running, self.state, self.paused_term = False, "ready", 0
        self.port = 0
        self.connections = set()
        self.busy = 0
        self._waiting = []
        self._slots = asyncio.Semaphore(group.slots)

    @property
    def leads(self):
        """Return whether the member is the primary and runs."""
        return self.group.primary is self and self.running

    async def start(self):
        """Listen, on the same port as before if there was one."""
        self._server = await asyncio.start_server(self._serve, HOST, self.port, limit=STREAM_LIMIT)
        self.port = self._server.sockets[0].getsockname()[1]
        self.running, self.born, self.seq = True, int(time.time() * 1000), 1
        self._slots = asyncio.Semaphore(self.group.slots)
        self.busy = 0
        self.publish()
        if self.group.primary is self:
            self.group.replicate(self, len(self.log))
        elif self.group.primary is not None:
            self.follow()

    def crash(self):
        """End at once: connections are reset, and new ones are refused. The log is kept."""
        self.group.record.say(f"member {self.name}: ends with {len(self.log)} entries")
        self.running = False
        self._server.close()
        for writer in list(self.connections):
            writer.transport.abort()
        self._fail_waiting()

    def follow(self):
        """Take over the log of the primary: what is ahead of it is rolled back."""
        primary = self.group.primary
        self.paused_term = 0
        self.log = list(primary.log)
        self.applied, self.term = len(self.log), self.group.term

    def lead_lost(self):
        """End the commits that wait for a replica, without an answer."""
        self._fail_waiting()

    def _fail_waiting(self):
        waiting, self._waiting = self._waiting, []
        for _, future in waiting:
            if not future.done():
                future.set_result(False)

    def received_by_replica(self, count, term):
        """Acknowledge the commits up to a number."""
        if not self.leads or term != self.group.term:
            return
        for number, future in list(self._waiting):
            if number <= count and not future.done():
                future.set_result(True)
        self._waiting = [item for item in self._waiting if not item[1].done()]

    def apply(self, count, term):
        """Make entries of the log visible to reads at a replica."""
        if term == self.group.term:
            self.applied = max(self.applied, min(count, len(self.log)))

    def publish(self):
        """Write the entry of the member to the store if it changed."""
        spec = {
            "backend": self.group.service,
            "address": f"{HOST}:{self.port}",
            "zone": self.zone,
            "version": "v1",
            "slots": self.group.slots,
            "state": self.state,
            "warmupLeftMs": 0,
            "seq": self.seq,
            "born": self.born,
            "dbRole": "primary" if self.leads else "replica",
        }
        if self.group.platform.objects.get(("servers", self.name), {}).get("spec") != spec:
            self.group.platform.put("servers", self.name, spec)
            self.group.record.say(
                f"store: acknowledged {self.name} state {spec['state']} role {spec['dbRole']}"
            )

    async def _serve(self, reader, writer):
        self.connections.add(writer)
        session = Session(self, writer)
        try:
            if not await session.open((await reader.readline()).decode().split()):
                return
            while line := (await reader.readline()).decode().rstrip("\r\n"):
                if line == "BYE":
                    return
                _, number, text = line.split(" ", 2)
                answer = await session.run(number, text)
                if answer is None:
                    return
                session.send(*answer, f"READY {session.state} {session.position()}")
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()

    async def commit(self, writes):
        """Append a commit; return whether it may be acknowledged."""
        self.log.append(Entry(self.group.term, writes))
        number = self.applied = len(self.log)
        if not self.group.sync:
            self.group.replicate(self, number)
            return True
        future = asyncio.get_running_loop().create_future()
        self._waiting.append((number, future))
        self.group.replicate(self, number)
        return await future


_signatures = itertools.count(1)


class Session:
    """One connection to a member."""

    def __init__(self, member, writer):
        self.member, self.writer = member, writer
        self.state, self.plain, self.term, self.pending = "I", False, 0, []
        self.prepared = {}

    def send(self, *lines):
        """Write lines to the connection."""
        self.writer.write("".join(f"{line}\r\n" for line in lines).encode())

    def position(self):
        """Return the position as it stands in READY."""
        member = self.member
        count = len(member.log) if member.leads else member.applied
        return f"{member.term}.{count}"

    async def open(self, fields):
        """Answer OPEN; return whether the session goes on."""
        member = self.member
        if len(fields) < 3 or fields[0] != "OPEN":
            return False
        if fields[1] != member.group.service or (len(fields) > 3 and fields[3] != member.name):
            self.send("ERROR WRONGNODE other")
            return False
        if len(member.connections) > member.group.max_conns:
            self.send("ERROR MAXCONN full")
            return False
        self.send(f"READY I {self.position()}")
        return True

    async def run(self, number, text):
        """Run a query and return the lines before READY, or None to close the connection."""
        member, words = self.member, text.split(" ")
        if words[0] == "SYNCPOS":
            term, _, count = words[1].partition(".")
            own = len(member.log) if member.leads else member.applied
            if (int(term), int(count)) > (member.term, own):
                return [f"ERROR LAGGING {self.position()}"]
            words = words[2:]
        verb = words[0]
        if number != "-":
            member.group.ran(member, number, text)
        if verb == "BEGIN":
            if len(words) == 1 and not member.leads:
                return ["ERROR READONLY replica"]
            self.state, self.plain, self.term = "T", len(words) == 1, member.group.term
            return ["COMPLETE -"]
        if verb == "ROLLBACK":
            self.state, self.pending = "I", []
            return ["COMPLETE -"]
        if verb in ("SET", "DEALLOC"):
            return ["COMPLETE -"]
        if verb == "RESET":
            self.prepared.clear()
            return ["COMPLETE -"]
        if verb == "PREPARE":
            self.prepared[words[1]] = words[2]
            return ["COMPLETE -"]
        if verb in ("STATUS", "PAUSE", "DEMOTE"):
            return self._command(words)
        if verb == "EXECUTE":
            if words[1] not in self.prepared:
                return ["ERROR NOSTMT unknown"]
            verb, words = self.prepared[words[1]], words[1:]
        if self.state == "E":
            return ["ERROR MALFORMED the transaction failed"] if verb != "COMMIT" else self._end()
        async with member._slots:
            member.busy += 1
            try:
                await asyncio.sleep(member.group.work_of(text))
                return await self._work(verb, words)
            finally:
                member.busy -= 1

    def _end(self):
        self.state, self.pending = "I", []
        return ["ERROR ABORTED the transaction failed"]

    async def _work(self, verb, words):
        member = self.member
        if not member.running:
            return None
        in_transaction = self.state == "T"
        lost = (
            in_transaction and self.plain and (not member.leads or self.term != member.group.term)
        )
        if verb == "COMMIT":
            writes, self.pending, self.state = self.pending, [], "I"
            if writes and lost:
                return ["ERROR READONLY replaced"]
            if writes and not await member.commit(writes):
                return None
            return [f"COMPLETE s{next(_signatures)}"]
        if lost:
            self.state, self.pending = "E", []
            return ["ERROR READONLY replaced"]
        if verb == "READ":
            for entry in reversed(member.log if member.leads else member.log[: member.applied]):
                for item, data in entry.writes:
                    if item == words[1]:
                        return [f"ROW {data}", f"COMPLETE s{next(_signatures)}"]
            return [f"COMPLETE s{next(_signatures)}"]
        if not member.leads:
            return ["ERROR READONLY replica"]
        write = (words[1], " ".join(words[2:]))
        if in_transaction:
            self.pending.append(write)
        elif not await member.commit([write]):
            return None
        return [f"COMPLETE s{next(_signatures)}"]

    def _command(self, words):
        member = self.member
        if member.busy >= member.group.slots:
            return ["ERROR BUSY no slot is free"]
        if words[0] == "PAUSE":
            if member.leads or int(words[1]) <= member.group.term:
                return ["ERROR MALFORMED not a replica, or not a newer term"]
            member.paused_term = int(words[1])
        if words[0] == "DEMOTE" and member.leads and int(words[1]) > member.group.term:
            member.group.primary = None
            member.lead_lost()
            member.group.record.say(f"member {member.name}: demoted")
            member.publish()
        role = "primary" if member.leads else "replica"
        fields = f"{role} {member.term} {member.term}.{len(member.log)} {member.paused_term} 0"
        return [f"ROW {fields} {member.busy} {len(member.connections)}", "COMPLETE -"]


class EntryVm:
    """One entry process, started with the command of the deploy file."""

    def __init__(self, name, zone, zones, ports, seeds, platform_port, grace_s=6, fenced=True):
        self.name = name
        self.front, self.ready = ports[1], ports[2]
        self.settings = {
            "id": name,
            "domain": zone,
            "region": zones[zone],
            "domains": zones,
            "caller_listen": f"{HOST}:{ports[1]}",
            "ready_listen": f"{HOST}:{ports[2]}",
            "peer_listen": f"{HOST}:{ports[0]}",
            "metrics_listen": f"{HOST}:{ports[3]}",
            "seed_peers": seeds,
            "platform": f"{HOST}:{platform_port}",
            "duties": f"{HOST}:{platform_port}",
            "fenced_orders": fenced,
            "grace_s": grace_s,
            "memory_mb": 300,
            "cpu_share": 0.537,
            "cores": 2,
            "link_mbps": 1000.0,
            "max_descriptors": 4200,
        }
        self.process = None

    def start(self, folder):
        """Start the process with its settings in a folder."""
        path = os.path.join(folder, f"{self.name}.json")
        with open(path, "w", encoding="utf-8") as file:
            json.dump(self.settings, file)
        self.log = open(os.path.join(folder, f"{self.name}.log"), "ab")
        kept = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        self.process = subprocess.Popen(
            [sys.executable, "-m", "bramleyrill_entry"],
            cwd=ROOT,
            env=kept
            | {
                "BRAMLEYRILL_CONFIG": path,
                "PYTHONPATH": os.path.join(ROOT, "target", "deps"),
                "PYTHONDONTWRITEBYTECODE": "1",
            },
            stdin=subprocess.DEVNULL,
            stdout=self.log,
            stderr=subprocess.STDOUT,
        )

    async def wait_ready(self, limit_s=30):
        """Wait until the process answers GET /ready with 200."""
        end = time.monotonic() + limit_s
        while time.monotonic() < end:
            try:
                reader, writer = await asyncio.open_connection(HOST, self.ready)
                writer.write(b"GET /ready HTTP/1.1\r\nHost: vm\r\nConnection: close\r\n\r\n")
                line = await asyncio.wait_for(reader.readline(), 2)
                writer.close()
                if b" 200 " in line:
                    return
            except (OSError, TimeoutError):
                pass
            await asyncio.sleep(0.05)
        raise CannotRunError(f"{self.name} is not ready")

    def end(self):
        """Kill the process."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()


class CannotRunError(Exception):
    """The case could not run."""


class Client:
    """A session at an entry process."""

    def __init__(self, port, database):
        self.port, self.database = port, database
        self.reader = self.writer = None

    async def open(self):
        """Connect and open the session; return whether it was accepted."""
        self.reader, self.writer = await asyncio.open_connection(
            HOST, self.port, limit=STREAM_LIMIT
        )
        self.writer.write(f"OPEN {self.database} c1\r\n".encode())
        answer = (await asyncio.wait_for(self.reader.readline(), 5)).decode().rstrip("\r\n")
        return answer.startswith("READY")

    async def ask(self, number, text, limit_s=15):
        """Return the lines of the answer; the last one is empty if the connection ended."""
        self.writer.write(f"QUERY {number} {text}\r\n".encode())
        lines = []
        while not lines or (lines[-1] and not lines[-1].startswith("READY")):
            line = await asyncio.wait_for(self.reader.readline(), limit_s)
            lines.append(line.decode().rstrip("\r\n"))
        return lines

    def close(self):
        """Close the connection."""
        if self.writer is not None:
            self.writer.close()


def route(host, kind, service, timeout_ms=1000, target_ms=800, priority=0, stale_ms=0):
    """Return a route of the configuration."""
    return {
        "name": f"r-{host}",
        "host": host,
        "type": kind,
        "timeoutMs": timeout_ms,
        "targetLatencyMs": target_ms,
        "priority": priority,
        "backend": service,
        "maxStalenessMs": stale_ms,
    }


def configuration(version, routes, backends, idle_ms=3000):
    """Return the value of config/main."""
    return {
        "version": version,
        "routes": routes,
        "backends": backends,
        "limits": {"txIdleMs": idle_ms},
    }


async def _run(case):
    """Return the result of a case, and end what its stand-ins still do."""
    try:
        return await asyncio.wait_for(case, 110)
    finally:
        others = [task for task in asyncio.all_tasks() if task is not asyncio.current_task()]
        for task in others:
            task.cancel()
        await asyncio.gather(*others, return_exceptions=True)


def run_case(case_folder, main):
    """Run `main(record, folder, trouble, vms)`, which returns the breaches; exit with 0, 1 or 2."""
    record = Record(os.path.join(case_folder, "record.txt"))
    trouble = os.environ.get("TROUBLE", "1") != "0"
    with tempfile.TemporaryDirectory() as folder:
        vms = []
        try:
            breaches = asyncio.run(_run(main(record, folder, trouble, vms)))
        except (CannotRunError, TimeoutError, OSError) as error:
            record.say(f"the case could not run: {error!r}")
            breaches = None
        finally:
            for vm in vms:
                vm.end()
                record.say(f"ended {vm.name}")
            if os.environ.get("KEEP_LOGS"):
                for vm in vms:
                    with open(os.path.join(folder, f"{vm.name}.log"), errors="replace") as log:
                        path = os.path.join(os.environ["KEEP_LOGS"], f"{vm.name}.log")
                        with open(path, "w") as kept:
                            kept.write(log.read())
    if breaches is None:
        code = 2
    else:
        for breach in breaches:
            record.say(f"BREACH {breach}")
        code = 1 if breaches else 0
    record.say(
        f"result {code}: trouble {'on' if trouble else 'off'}, {len(breaches or [])} breaches"
    )
    record.close()
    print(f"result {code}; breaches: {breaches[:3] if breaches else breaches}")
    sys.exit(code)
