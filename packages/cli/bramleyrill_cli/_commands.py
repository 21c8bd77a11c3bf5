"""Imports all command modules, which registers their commands."""

from bramleyrill_cli import _apply, _check, _replay, _report, _show, _verifier, benches

__all__ = ["_apply", "_check", "_replay", "_report", "_show", "_verifier", "benches"]
