"""The operator's command line: one function for each command."""

from bramleyrill_cli._app import app, main

__all__ = ["app", "main"]
