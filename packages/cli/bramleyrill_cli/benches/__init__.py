"""Benchmarks: each compares the product with its own baselines in the same run."""

from bramleyrill_cli.benches import _failover, _path

__all__ = ["_failover", "_path"]
