"""The steps of the demo; each raises StepError if it does not show what it should."""

import signal
import time
from datetime import timedelta

import psycopg
from bramleyrill_core import Rank
from bramleyrill_core.text import parse_text

from bramleyrill_standins.callers import (
    Endpoint,
    History,
    Load,
    Login,
    check,
    connect,
    create_ledger,
    is_not_run,
    read_ledger,
)
from bramleyrill_standins.demo._measures import (
    Measures,
    answered_since,
    reads_by_member,
    replica_share,
    share_within,
)
from bramleyrill_standins.demo._roles import FLEETS, RANKS, Fleet, endpoints, start_load
from bramleyrill_standins.processes import UPSTREAM_USER, Deployment, to_source, wait_until

TOKEN = "bramleyrill.token"
READERS = 4
MEASURE_READS_S = 4.0
BASELINE_S = 4.0
FLOOD_S = 6.0
# Time for all callers to connect before answers are counted.
WARM_UP_S = 1.0
FLOOD_CALLERS = 60
# At this interval the rate stays the same as long as each request is answered within it.
PACED_CALLERS = 6
PACED_INTERVAL_S = 0.25
RECOVERY_LIMIT_S = 20.0
AFTER_FAILOVER_S = 2.0


class StepError(Exception):
    """A step of the demo did not have the expected result."""


def print_line(text: str) -> None:
    """Print one line and flush it."""
    print(text, flush=True)


def make_tables(deployment: Deployment) -> None:
    """Create the callers' table of each fleet through a proxy, as soon as writes are served."""
    for fleet in FLEETS:
        _retry(lambda fleet=fleet: _make_table(deployment, fleet), f"{fleet.name}: the first write")
    print_line("the proxies apply the text; both fleets accept writes")


def _make_table(deployment: Deployment, fleet: Fleet) -> bool:
    with connect(endpoints(deployment)[0], fleet.login(fleet.writer), {}) as connection:
        try:
            create_ledger(connection)
        except psycopg.errors.DuplicateTable:
            pass
    return True


def _retry(action, what: str) -> None:
    last_error = []

    def attempt() -> bool:
        try:
            return action()
        except psycopg.Error as problem:
            last_error[:] = [str(problem).strip()]
            return False

    try:
        wait_until(attempt, what, RECOVERY_LIMIT_S)
    except TimeoutError as problem:
        raise StepError(f"{problem}; last error: {last_error}") from None


def show_roaming(deployment: Deployment, fleet: Fleet) -> None:
    """Write through one proxy, reconnect to another with the token, and read the write there."""
    first, second = endpoints(deployment)[:2]
    login = fleet.login(fleet.writer)
    with connect(first, login, {}) as connection:
        connection.execute("insert into ledger values (%s, %s)", ("roam", "seen"))
        token = connection.info.parameter_status(TOKEN) or ""
    settings = {TOKEN: token, "bramleyrill.age": "30000"}
    with connect(second, login, settings) as connection:
        rows = connection.execute("select entry from ledger where key = %s", ("roam",)).fetchall()
    if rows != [("seen",)] or not token:
        raise StepError(f"{fleet.name}: the caller got no token or did not read its write: {rows}")
    print_line(
        f"{fleet.name}: {fleet.writer} wrote through one proxy and read the write through another"
    )


def measure_reads(deployment: Deployment, fleet: Fleet, measures: Measures) -> None:
    """Run readers that accept stale data and measure which members serve them."""
    group = deployment.groups[fleet.key]
    before = reads_by_member(group)
    role = fleet.roles[-1]
    load = start_load(deployment, fleet, role, callers=READERS, age_ms=30_000)
    time.sleep(MEASURE_READS_S)
    history = load.stop()
    _check_only_refusals(fleet, history)
    measures.replica_share = replica_share(group, before)
    if not history.reads:
        raise StepError(f"{fleet.name}: no read was answered: {dict(history.failed_reads)}")
    print_line(
        f"{fleet.name}: {len(history.reads)} reads by user {role.user},"
        f" {measures.replica_share:.0%} of them served by replicas"
    )


def show_failover(deployment: Deployment, fleet: Fleet, measures: Measures) -> History:
    """Kill the primary while callers write, and wait until writes succeed again."""
    group = deployment.groups[fleet.key]
    writer = next(role for role in fleet.roles if role.user == fleet.writer)
    load = start_load(deployment, fleet, writer, callers=3, interval=0.02)
    _wait_for_writes(load, 20)
    primary = group.primary()
    killed = time.monotonic()
    group.processes[primary].kill()
    print_line(f"{fleet.name}: killed the process of primary {primary}")
    wait_until(
        lambda: any(write.started > killed for write in load.history.acknowledged_writes()),
        f"{fleet.name}: writes after the failover",
        RECOVERY_LIMIT_S,
    )
    time.sleep(AFTER_FAILOVER_S)
    ended = time.monotonic()
    history = load.stop()
    measures.failover_gap = history.longest_gap(killed, ended)
    print_line(
        f"{fleet.name}: {group.primary()} is the new primary; writes stopped for at most"
        f" {measures.failover_gap:.1f} s"
    )
    return history


def _wait_for_writes(load: Load, count: int) -> None:
    wait_until(
        lambda: len(load.history.acknowledged_writes()) >= count,
        "acknowledged writes",
        RECOVERY_LIMIT_S,
    )


def measure_flood(deployment: Deployment, fleet: Fleet, measures: Measures) -> list[History]:
    """Run all ranks at a low rate, then again with a flood of the least urgent rank."""
    baseline, baseline_rates = _run_ranks(deployment, fleet, "baseline", BASELINE_S, flood=0)
    flood, flood_rates = _run_ranks(deployment, fleet, "flood", FLOOD_S, flood=FLOOD_CALLERS)
    targets = _targets(deployment, fleet)
    for rank in RANKS:
        measures.within_target[rank] = share_within(flood[rank], targets[rank])
    for rank in RANKS[:-1]:
        rate = baseline_rates[rank]
        measures.rate_kept[rank] = flood_rates[rank] / rate if rate else 0.0
    print_line(
        f"{fleet.name}: during a flood by {FLOOD_CALLERS} callers as user {fleet.roles[-1].user},"
        f" {sum(flood_rates.values()):.0f} requests per second were answered; urgent requests"
        f" answered within their target: {measures.within_target['urgent']:.0%}"
    )
    if not flood_rates["urgent"]:
        raise StepError(f"{fleet.name}: no urgent request was answered during the flood")
    return [*baseline.values(), *flood.values()]


def _run_ranks(
    deployment: Deployment, fleet: Fleet, phase: str, duration: float, flood: int
) -> tuple[dict[str, History], dict[str, float]]:
    """Run all ranks and return their histories and, after a warm-up, their answers per second."""
    loads = {}
    for role in fleet.roles:
        last = role.rank == RANKS[-1]
        # Reads of age 0 go to the primary, where they compete with urgent requests.
        loads[role.rank] = start_load(
            deployment,
            fleet,
            role,
            callers=flood if last and flood else PACED_CALLERS,
            interval=0.0 if last and flood else PACED_INTERVAL_S,
            roam=0.0,
            label=phase,
        )
    time.sleep(WARM_UP_S)
    since = time.monotonic()
    time.sleep(duration)
    rates = {rank: answered_since(load.history, since) / duration for rank, load in loads.items()}
    histories = {rank: load.stop() for rank, load in loads.items()}
    for history in histories.values():
        _check_only_refusals(fleet, history)
    return histories, rates


def _check_only_refusals(fleet: Fleet, history: History) -> None:
    """Raise StepError for any failure other than "not run"; no fault is injected in this phase."""
    others = {state: n for state, n in history.failures().items() if not is_not_run(state)}
    if others:
        raise StepError(
            f"{fleet.name}: requests failed without an injected fault, by SQLSTATE: {others}"
        )


def _targets(deployment: Deployment, fleet: Fleet) -> dict[str, timedelta]:
    text = parse_text(to_source(deployment.text)).unwrap()
    ranks = text.service_of(fleet.key).ranks
    return {name: ranks[Rank[name.upper()]].target for name in RANKS}


def check_histories(deployment: Deployment, fleet: Fleet, histories: list[History]) -> None:
    """Check every answer to the fleet's callers against the entries in the database."""
    group = deployment.groups[fleet.key]
    combined = History()
    for history in histories:
        combined.writes += history.writes
        combined.reads += history.reads
        combined.loss_notices += history.loss_notices
    login = Login(
        UPSTREAM_USER, deployment.passwords[f"{fleet.name}/{fleet.service}"], fleet.database
    )
    primary = Endpoint("127.0.0.1", group.ports[group.primary()])
    with connect(primary, login, {}) as connection:
        violations = check(combined, read_ledger(connection))
    print_line(
        f"{fleet.name}: checked {len(combined.writes)} writes and {len(combined.reads)} reads"
    )
    if violations:
        raise StepError(
            f"{fleet.name}: {len(violations)} promises were broken, the first: {violations[0]}"
        )


def show_shutdown(deployment: Deployment) -> None:
    """Stop all proxies with SIGTERM; each must exit with code 0 and without logged errors."""
    for proxy in deployment.proxies:
        proxy.process.terminate()
    codes = [proxy.process.wait() for proxy in deployment.proxies]
    errors = deployment.error_lines()
    if errors:
        raise StepError(f"the proxies logged {len(errors)} errors, first: {errors[0]}")
    if any(codes):
        raise StepError(f"the proxies ended with exit codes {codes}")
    print_line(
        f"stopped {len(codes)} proxies with {signal.SIGTERM.name}; all ended with exit code 0"
    )
