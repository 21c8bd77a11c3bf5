"""An old primary that went another way is promoted again: reads in between lacked its commits."""

import itertools
import pathlib
import time

import gevent
from bramleyrill_standins.prepared._group import Entry, LineMember, LineSession
from world import DATABASE, LineCaller, World, finish

DEAF_S = 6.5
SECOND_AFTER_S = 6.35
CRASH_AFTER_S = 3.2
# A crashed primary is back this long after the start of its replica_lag, as on the bench.
BACK_AFTER_S = 10.5


def position(member):
    """Return the term and number of the log's end; a leader's term is the one that it leads."""
    group = member.group
    if group.primary is member:
        return group.term, len(member.log)
    return (member.log[-1].term if member.log else 1), len(member.log)


LineMember.position = property(position)


def promote(group, name):
    """Let a member lead the next term with what it has.

    A member that is down keeps its log. One that receives nothing only loses what it has too much.
    """
    member = group.members_by_name[name]
    if member is group.primary:
        return
    group.term += 1
    group.primary = member
    group.deaf.discard(name)
    for other in group.members_by_name.values():
        if other is member or other.silent:
            continue
        if other.name in group.deaf:
            kept = [a for a, b in zip(other.log, member.log) if a is b]
            other.log = kept
        else:
            other.log = list(member.log)
    group.record.add(f"platform: {name} leads term {group.term} with {len(member.log)} entries")
    group.promotions.append(name)


def commit(group, data, member=None):
    """Append an entry to the primary's log, and to those of the replicas that receive."""
    member = member or group.primary
    entry = Entry(group.term, data)
    member.log.append(entry)
    for other in group.members_by_name.values():
        if other is not member and not other.silent and other.name not in group.deaf:
            gevent.spawn_later(0.02, replicate, group, member, other)
    return True


def replicate(group, source, replica):
    if group.primary is source and not (replica.silent or source.silent):
        if replica.name not in group.deaf:
            replica.log = list(source.log)


class DarkWorld(World):
    """A member that is dark writes nothing to the store."""

    def _beat(self, name, now):
        member = self.group.members_by_name[name]
        (self.cut_from_store.add if member.silent else self.cut_from_store.discard)(name)
        super()._beat(name, now)


def client(vm, verb, name, record, sent, acknowledged):
    caller = None
    for number in itertools.count(1):
        item = f"{name}-{number}"
        text = f"WRITE {item} v" if verb == "WRITE" else f"READ {name}"
        statement = f"{name}x{number}"
        sent[statement] = time.monotonic()
        try:
            with gevent.Timeout(9):
                caller = caller or LineCaller(vm.caller_address, DATABASE)
                answer = " | ".join(caller.ask(text, statement))
        except (OSError, gevent.Timeout) as error:
            answer = f"no answer: {error!r}"
        if verb == "WRITE" and answer.startswith("COMPLETE s"):
            acknowledged[item] = time.monotonic()
        if "COMPLETE s" not in answer:
            caller = None
            gevent.sleep(0.1)
        record.add(f"{vm.name}: {statement} {text} -> {answer}")
        gevent.sleep(0.05)


def go_dark(world, name, until):
    member = world.group.members_by_name[name]
    world.record.add(f"{name}, the primary, goes dark")
    member.silent = True
    gevent.sleep(until - time.monotonic())
    member.silent = False
    world.born[name] = int(time.time() * 1000)
    # A member that starts registers at once.
    world.next_beat[name] = 0.0
    leader = world.group.primary
    if leader is not member and not leader.silent:
        member.log = list(leader.log)
    world.record.add(f"{name} is back with {len(member.log)} entries; {leader.name} leads")


def deaf_crash(world):
    """One replica_lag with how = "deaf crash": the replicas receive nothing, the primary crashes."""
    group, began = world.group, time.monotonic()
    replicas = [m.name for m in group.members_by_name.values() if m is not group.primary]
    world.record.add(f"{', '.join(replicas)} receive nothing for {DEAF_S} s")
    group.deaf.update(replicas)
    gevent.spawn_later(DEAF_S, hear_again, group, replicas)
    gevent.sleep(CRASH_AFTER_S)
    gevent.spawn(go_dark, world, group.primary.name, began + BACK_AFTER_S)


def hear_again(group, replicas):
    if not group.second_lasts:
        group.deaf.difference_update(replicas)


def main(record, trouble):
    sent, acknowledged, reads = {}, {}, []
    original = LineSession._read

    def read(session, words):
        lines = original(session, words)
        if lines[-1].startswith("COMPLETE"):
            reads.append((session.statement, session.member.name, list(session.member.log)))
        return lines

    run = LineSession._run

    def run_with_id(session, statement_id, text):
        statements[id(session)] = statement_id
        return run(session, statement_id, text)

    statements = {}
    LineSession.statement = property(lambda session: statements.get(id(session), ""))
    LineSession._run, LineSession._read = run_with_id, read
    with DarkWorld(record, vms=3) as world:
        group = world.group
        group.second_lasts = False
        type(group).promote, type(group).commit = promote, commit
        gevent.sleep(4.0)
        for vm in world.vms:
            for verb in ("WRITE", "READ"):
                name = f"{vm.name}{verb[0].lower()}"
                gevent.spawn(client, vm, verb, name, record, sent, acknowledged)
        gevent.sleep(5.0)
        if trouble:
            first = gevent.spawn(deaf_crash, world)
            gevent.sleep(SECOND_AFTER_S)
            first.join()
            # The second one begins before the first ends, so that its replicas stay deaf.
            group.second_lasts = True
            deaf_crash(world)
            gevent.sleep(DEAF_S - CRASH_AFTER_S)
            group.second_lasts = False
            group.deaf.clear()
        gevent.sleep(12.0)
        final = {item for entry in group.primary.log for item in entry.data}
        record.add(f"at the end {group.primary.name} leads term {group.term}")
        stale = 0
        for statement, member, log in reads:
            items = {item for entry in log for item in entry.data}
            began = sent.get(statement)
            lacking = [
                item
                for item, at in acknowledged.items()
                if began is not None and at < began and item in final and item not in items
            ]
            if lacking:
                stale += 1
                if stale <= 50:
                    record.add(f"stale: {statement} at {member} lacks {lacking[:5]} ({len(lacking)})")
        record.add(f"{len(acknowledged)} commits, {len(reads)} reads, {stale} of them stale")
        if len(reads) < 100 or len(acknowledged) < 100:
            raise RuntimeError("too little was served")
    return stale > 0


finish(main, pathlib.Path(__file__).parent)
