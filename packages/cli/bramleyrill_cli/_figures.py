"""Percentiles, processor time and the machine, as benchmarks print them."""

import os
import platform
import statistics
from pathlib import Path

from attrs import frozen

TICKS_PER_S = os.sysconf("SC_CLK_TCK")


@frozen
class Latencies:
    """Percentiles of latencies, in milliseconds."""

    count: int
    p50: float
    p95: float
    p99: float
    worst: float


def summarize(seconds: list[float]) -> Latencies:
    """Return the percentiles of latencies given in seconds."""
    if len(seconds) < 2:
        only = seconds[0] * 1000 if seconds else 0.0
        return Latencies(len(seconds), only, only, only, only)
    cuts = statistics.quantiles(seconds, n=100, method="inclusive")
    ms = [cut * 1000 for cut in (cuts[49], cuts[94], cuts[98], max(seconds))]
    return Latencies(len(seconds), *ms)


def processor_seconds(pid: int) -> float:
    """Return the processor time that a process has used, user and system."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_S


def resident_bytes(pid: int) -> int:
    """Return the resident memory of a process."""
    pages = int(Path(f"/proc/{pid}/statm").read_text().split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE")


def machine() -> str:
    """Return what the figures were measured on."""
    model = platform.processor() or platform.machine()
    for line in Path("/proc/cpuinfo").read_text().splitlines():
        if line.startswith("model name"):
            model = line.partition(":")[2].strip()
            break
    return f"{os.cpu_count()} cores, {model}, Python {platform.python_version()}"
