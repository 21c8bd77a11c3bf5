"""Run the demo; the exit code is 0 only if every step succeeded."""

import sys
import time

import psycopg

from bramleyrill_standins.demo import _steps
from bramleyrill_standins.demo._measures import Measures, format_table
from bramleyrill_standins.demo._roles import FLEETS
from bramleyrill_standins.processes import Behaviour, Deployment, ProcessError

# With one request each, the flood's callers together keep a member busy for 0.3 s. That is longer
# than the urgent targets: an urgent request that waits behind them is late.
BEHAVIOUR = Behaviour(capacity=200.0, latency_ms=0.5, lag_ms=20.0)


def main() -> int:
    """Run all steps and return the exit code."""
    started = time.monotonic()
    measures = {fleet.name: Measures() for fleet in FLEETS}
    try:
        with Deployment(behaviour=BEHAVIOUR) as deployment:
            _steps.print_line(
                f"started the platform, {len(deployment.groups)} groups of 3 members"
                f" and {len(deployment.proxies)} proxies"
            )
            _run(deployment, measures)
    except (_steps.StepError, ProcessError, TimeoutError, psycopg.Error) as problem:
        _steps.print_line(f"FAILED: {problem}")
        return 1
    _steps.print_line("\n" + format_table(measures))
    _steps.print_line(f"\neverything worked; the demo took {time.monotonic() - started:.0f} s")
    return 0


def _run(deployment: Deployment, measures: dict[str, Measures]) -> None:
    _steps.make_tables(deployment)
    for fleet in FLEETS:
        _steps.show_roaming(deployment, fleet)
    for fleet in FLEETS:
        _steps.measure_reads(deployment, fleet, measures[fleet.name])
    for fleet in FLEETS:
        histories = _steps.measure_flood(deployment, fleet, measures[fleet.name])
        histories.append(_steps.show_failover(deployment, fleet, measures[fleet.name]))
        _steps.check_histories(deployment, fleet, histories)
    _steps.show_shutdown(deployment)


if __name__ == "__main__":
    sys.exit(main())
