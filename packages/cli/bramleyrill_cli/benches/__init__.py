"""Benchmarks: each compares the product with its own baselines in the same run."""

from bramleyrill_cli.benches import _config, _drain, _failover, _flood, _path, _slopes

__all__ = ["_config", "_drain", "_failover", "_flood", "_path", "_slopes"]
