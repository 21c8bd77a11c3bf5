"""Latency percentiles, CPU time, memory and machine description for benchmarks."""

import os
import platform
import statistics
from pathlib import Path

from attrs import frozen

TICKS_PER_S = os.sysconf("SC_CLK_TCK")


@frozen
class Latencies:
    """Latency percentiles and maximum, in milliseconds."""

    count: int
    p50: float
    p95: float
    p99: float
    worst: float


def summarize(seconds: list[float]) -> Latencies:
    """Return percentiles, in milliseconds, of latencies given in seconds."""
    if len(seconds) < 2:
        latency_ms = seconds[0] * 1000 if seconds else 0.0
        return Latencies(len(seconds), latency_ms, latency_ms, latency_ms, latency_ms)
    percentiles = statistics.quantiles(seconds, n=100, method="inclusive")
    ms = [
        latency * 1000
        for latency in (percentiles[49], percentiles[94], percentiles[98], max(seconds))
    ]
    return Latencies(len(seconds), *ms)


def cpu_seconds(pid: int) -> float:
    """Return the user and system CPU time that a process has used, in seconds."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_S


def resident_bytes(pid: int) -> int:
    """Return the resident memory of a process, in bytes."""
    pages = int(Path(f"/proc/{pid}/statm").read_text().split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE")


def describe_machine() -> str:
    """Return cores, CPU model and Python version of the machine that runs the benchmark."""
    model = platform.processor() or platform.machine()
    for line in Path("/proc/cpuinfo").read_text().splitlines():
        if line.startswith("model name"):
            model = line.partition(":")[2].strip()
            break
    return f"{os.cpu_count()} cores, {model}, Python {platform.python_version()}"
