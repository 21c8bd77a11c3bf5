"""A child process and its signals, free ports and waiting."""

import json
import os
import random
import selectors
import signal
import socket
import subprocess
import sys
import tempfile
import time
from collections.abc import Callable
from typing import Any

START_LIMIT_S = 30.0
STOP_LIMIT_S = 45.0
POLL_S = 0.02
# Below the range from which Linux assigns ports to outgoing connections, which begins at 32768.
PORT_RANGE = (12_000, 32_000)
# Ports that this process has given out. A server may listen long after it was given its port, so
# a port that is still free may belong to one that is starting.
_given_ports: set[int] = set()
LOG_TAIL_BYTES = 4000


class ProcessError(Exception):
    """A process failed to start or stop in time; the message ends with its last log output."""


class Process:
    """A Python module run as a child process.

    `ready_info` is the first JSON object that the process prints on a line of standard output. The
    constructor waits for it; with `wait=False` only `wait_ready` does. Standard error goes to an
    unnamed temporary file.

    Example: `process = Process("bramleyrill_standins.platform"); process.stop()`.
    """

    def __init__(self, module: str, *arguments: str, wait: bool = True) -> None:
        self.name = module
        self._log = tempfile.TemporaryFile()  # noqa: SIM115 (lives as long as the process)
        self._child = subprocess.Popen(
            [sys.executable, "-m", module, *arguments],
            stdin=subprocess.DEVNULL,
            stdout=subprocess.PIPE,
            stderr=self._log,
        )
        self.ready_info: dict[str, Any] = {}
        if wait:
            self.wait_ready()

    @property
    def pid(self) -> int:
        """Return the process id."""
        return self._child.pid

    @property
    def exit_code(self) -> int | None:
        """Return the exit code, or None while the process runs."""
        return self._child.poll()

    def log_tail(self) -> str:
        """Return the end of the standard error output."""
        size = os.fstat(self._log.fileno()).st_size
        start = max(0, size - LOG_TAIL_BYTES)
        return os.pread(self._log.fileno(), LOG_TAIL_BYTES, start).decode(errors="replace")

    def log(self) -> str:
        """Return the whole standard error output."""
        size = os.fstat(self._log.fileno()).st_size
        return os.pread(self._log.fileno(), size, 0).decode(errors="replace")

    def terminate(self) -> None:
        """Send SIGTERM without waiting for the end of the process."""
        if self.exit_code is None:
            os.kill(self.pid, signal.SIGTERM)

    def wait(self, limit: float = STOP_LIMIT_S) -> int:
        """Wait for the end of the process and return its exit code.

        Raises ProcessError after `limit` seconds.
        """
        try:
            return self._child.wait(limit)
        except subprocess.TimeoutExpired:
            raise ProcessError(
                f"{self.name} still runs after {limit} s; its log ends with: {self.log_tail()}"
            ) from None

    def stop(self, limit: float = STOP_LIMIT_S) -> int:
        """Stop the process with SIGTERM, or SIGKILL after `limit` seconds; return the exit code."""
        self.resume()
        self.terminate()
        try:
            return self.wait(limit)
        except ProcessError:
            self.kill()
            return self.wait()
        finally:
            self._child.stdout.close()

    def kill(self) -> None:
        """End the process with SIGKILL."""
        if self.exit_code is None:
            os.kill(self.pid, signal.SIGKILL)
            self._child.wait()

    def pause(self) -> None:
        """Suspend the process with SIGSTOP."""
        if self.exit_code is None:
            os.kill(self.pid, signal.SIGSTOP)

    def resume(self) -> None:
        """Continue the process after `pause`."""
        if self.exit_code is None:
            os.kill(self.pid, signal.SIGCONT)

    def wait_ready(self) -> None:
        """Wait for the first JSON object on standard output and keep it as `ready_info`.

        Kills the process and raises ProcessError if none appears in time.
        """
        end = time.monotonic() + START_LIMIT_S
        output = b""
        with selectors.DefaultSelector() as selector:
            selector.register(self._child.stdout, selectors.EVENT_READ)
            while time.monotonic() < end:
                if not selector.select(POLL_S):
                    continue
                chunk = os.read(self._child.stdout.fileno(), 65536)
                if not chunk:
                    break
                output += chunk
                for line in output.split(b"\n")[:-1]:
                    if line.startswith(b"{"):
                        self.ready_info = json.loads(line)
                        return
        self.kill()
        raise ProcessError(f"{self.name} did not start; its log ends with: {self.log_tail()}")


def free_ports(count: int) -> list[int]:
    """Return `count` different ports that are free on loopback at the time of the call.

    No port is returned twice. They lie outside the range of outgoing connections: a port of that
    range could be assigned to any process before its server listens on it.
    """
    ports: list[int] = []
    while len(ports) < count:
        port = random.randrange(*PORT_RANGE)
        if port not in _given_ports and _is_free(port):
            _given_ports.add(port)
            ports.append(port)
    return ports


def _is_free(port: int) -> bool:
    with socket.socket() as sock:
        try:
            sock.bind(("127.0.0.1", port))
        except OSError:
            return False
        return True


def wait_until(condition: Callable[[], Any], what: str, limit: float = 30.0) -> Any:
    """Poll `condition` and return its first true value.

    Raises TimeoutError after `limit` seconds; `what` describes the condition in its message.
    """
    end = time.monotonic() + limit
    while True:
        value = condition()
        if value:
            return value
        if time.monotonic() > end:
            raise TimeoutError(f"timed out after {limit} s while waiting for: {what}")
        time.sleep(POLL_S)
