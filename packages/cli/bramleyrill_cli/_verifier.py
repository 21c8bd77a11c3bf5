"""The command `verifier`."""

import base64
import getpass
import sys

import scramp

from bramleyrill_cli._app import app


@app.command
def verifier() -> int:
    """Read a password from standard input and print its SCRAM verifier, for use in the text.

    The password is read without echo from a terminal, or as one line from a pipe, so that it
    appears neither in the process list nor in the shell's history.
    """
    if sys.stdin.isatty():
        password = getpass.getpass("password: ")
    else:
        password = sys.stdin.readline().rstrip("\n")
    if not password:
        print("no password was given")
        return 2
    print(make_verifier(password))
    return 0


def make_verifier(password: str) -> str:
    """Return the SCRAM-SHA-256 verifier of `password` in the format that PostgreSQL stores."""
    mechanism = scramp.ScramMechanism("SCRAM-SHA-256")
    salt, stored_key, server_key, iterations = mechanism.make_auth_info(password)
    parts = [base64.b64encode(part).decode() for part in (salt, stored_key, server_key)]
    return f"SCRAM-SHA-256${iterations}:{parts[0]}${parts[1]}:{parts[2]}"
