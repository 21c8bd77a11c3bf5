"""All command modules, imported so that they register."""

from bramleyrill_cli import _apply, _check, _replay, _report, _show, _verifier, benches

__all__ = ["_apply", "_check", "_replay", "_report", "_show", "_verifier", "benches"]
