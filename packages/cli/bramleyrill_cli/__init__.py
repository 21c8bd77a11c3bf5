"""Command-line interface for operators, with one function per command."""

from bramleyrill_cli._app import app, main

__all__ = ["app", "main"]
