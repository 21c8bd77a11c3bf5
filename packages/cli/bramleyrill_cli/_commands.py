"""All command modules, imported so that they register."""

from bramleyrill_cli import _check, _replay, _verifier, benches

__all__ = ["_check", "_replay", "_verifier", "benches"]
