"""A small deployment for the cases of this review: store, one service of three members, entry VMs.

The members and the store are the project's own stand-ins. What differs follows the users' pages:
members write to the store every HEARTBEAT_S, and an entry is removed after three intervals of
silence; a replica can be made to receive nothing for a while; the store tells no era.
"""

import json
import os
import pathlib
import subprocess
import sys
import tempfile
import time

import gevent
import gevent.socket
from bramleyrill_standins.prepared import (
    DATABASE,
    SERVICE,
    DeploymentError,
    EntryVm,
    LineCaller,
    LineGroup,
    PreparedDeployment,
    PreparedPlatform,
)

HEARTBEAT_S = 1.2
BEATS_UNTIL_REMOVED = 3
DOMAIN = "north-a"
ROOT = pathlib.Path(__file__).resolve().parents[2]
SETTLE_S = 3.0

__all__ = ["DATABASE", "SERVICE", "DeploymentError", "LineCaller", "Record", "World", "finish"]


class Record:
    """The lines of record.txt: seconds since the start, and what was seen."""

    def __init__(self, folder):
        self._file = open(pathlib.Path(folder) / "record.txt", "w", buffering=1)
        self._began = time.monotonic()

    def now(self):
        return time.monotonic() - self._began

    def add(self, text):
        self._file.write(f"{self.now():8.3f} {text}\n")


class Group(LineGroup):
    """A group of members; those named in `deaf` receive nothing, and catch up afterwards."""

    def __init__(self, service, names, record):
        super().__init__(service, names, max_connections=55)
        self.record = record
        self.deaf = set()
        self.promotions = []
        self.on_promotion = lambda member: None

    def _replicate(self, source, replica, length):
        if replica.name not in self.deaf and replica.running:
            super()._replicate(source, replica, length)

    def promote(self, name):
        if self.members_by_name[name] is self.primary:
            return
        self.deaf.discard(name)
        super().promote(name)
        member = self.members_by_name[name]
        self.record.add(f"platform: {name} leads term {self.term} with {len(member.log)} entries")
        self.promotions.append(member)
        self.on_promotion(member)


class Vm(EntryVm):
    """An entry VM, started with the command of the deploy file."""

    def start(self):
        self._child = subprocess.Popen(
            ["python3", "-m", "bramleyrill_entry"],
            cwd=ROOT,
            env={
                "PATH": os.environ["PATH"],
                "HOME": os.environ.get("HOME", "/"),
                "PYTHONPATH": str(ROOT / "target" / "deps"),
                "BRAMLEYRILL_CONFIG": self._settings.name,
            },
            stdin=subprocess.DEVNULL,
            stdout=self._log,
            stderr=subprocess.STDOUT,
        )
        end = time.monotonic() + 30
        while not self.is_ready():
            if time.monotonic() > end or self._child.poll() is not None:
                raise DeploymentError(f"{self.name} did not start: {self.log()[-1500:]}")
            gevent.sleep(0.05)


class World(PreparedDeployment):
    """Use as a context manager, like the project's own deployment."""

    def __init__(self, record, vms=3, consistency="primary", sync_replicas=0):
        super().__init__(vms, consistency)
        self.record = record
        self.group = Group(SERVICE, ["m1", "m2", "m3"], record)
        self.group.sync_replicas = sync_replicas
        self.platform = PreparedPlatform({SERVICE: self.group})
        self.platform.era = None
        self.cut_from_store = set()
        self.states = dict.fromkeys(self.group.members_by_name, "ready")
        self.born = dict.fromkeys(self.group.members_by_name, int(time.time() * 1000))
        self.last_beat = {}
        self.next_beat = {}

    def __enter__(self):
        super().__enter__()
        return self

    def _publish_members(self):
        """Write each member's entry every HEARTBEAT_S and at each change of its role or state."""
        while True:
            now = time.monotonic()
            for name in list(self.group.members_by_name):
                self._beat(name, now)
            gevent.sleep(0.02)

    def _beat(self, name, now):
        member = self.group.members_by_name[name]
        known = self.platform.value("servers", name)
        if member.running:
            value = self.entry(name, member)
            is_due = now >= self.next_beat.get(name, 0.0)
            if is_due:
                self.next_beat[name] = now + HEARTBEAT_S
            reaches_store = name not in self.cut_from_store
            if reaches_store and (is_due or known not in (None, value)):
                self.last_beat[name] = now
                if known != value:
                    self.platform.put("servers", name, value)
                    self.record.add(f"store: {name} wrote its entry: {value['dbRole']}")
        silent_s = now - self.last_beat.get(name, now)
        if known is not None and silent_s >= BEATS_UNTIL_REMOVED * HEARTBEAT_S:
            self.record.add(f"store: the entry of {name} is removed")
            self.platform.remove("servers", name)

    def entry(self, name, member):
        return {
            "backend": SERVICE,
            "address": f"127.0.0.1:{self.member_port(name)}",
            "zone": DOMAIN,
            "version": "v1",
            "slots": 5,
            "state": self.states[name],
            "warmupLeftMs": 0,
            "dbRole": "primary" if member.is_primary else "replica",
            "seq": 1,
            "born": self.born[name],
        }

    def _vm_settings(self, number, peers, ports, platform):
        settings = super()._vm_settings(number, peers, ports, platform)
        return settings | {"memory_mb": 300, "max_descriptors": 4200, "cpu_share": 0.537, "cores": 2}

    def __exit__(self, *_):
        folder = os.environ.get("KEEP_LOGS")
        if folder:
            for vm in self.vms:
                pathlib.Path(folder, f"{vm.name}.log").write_text(vm.log())
        super().__exit__()


def use_vm_class():
    """Let the project's deployment start the VMs with the command of the deploy file."""
    import bramleyrill_standins.prepared._deployment as deployment

    deployment.EntryVm = Vm


use_vm_class()


def finish(main, folder):
    """Run a case: exit with 1 if the rule was broken, 0 if it held, 2 if it could not run."""
    record = Record(folder)
    trouble = os.environ.get("TROUBLE", "1") != "0"
    try:
        with gevent.Timeout(110):
            broken = main(record, trouble)
    except BaseException as error:
        record.add(f"could not run: {type(error).__name__}: {error}")
        print(f"could not run: {error!r}", file=sys.stderr)
        sys.exit(2)
    record.add("the rule was broken" if broken else "the rule held")
    print("broken" if broken else "held")
    sys.exit(1 if broken else 0)
