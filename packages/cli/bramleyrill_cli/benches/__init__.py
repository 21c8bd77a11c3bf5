"""Benchmarks; each measures its own baseline in the same run."""

from bramleyrill_cli.benches import _config, _drain, _failover, _flood, _path, _slopes

__all__ = ["_config", "_drain", "_failover", "_flood", "_path", "_slopes"]
