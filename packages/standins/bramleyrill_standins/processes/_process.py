"""One child process, ended by its own id."""

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
# Below the range that Linux gives to outgoing connections, which begins at 32768.
PORT_RANGE = (12_000, 32_000)
LOG_TAIL_BYTES = 4000


class ProcessError(Exception):
    """A process did not start or stop as expected; the message ends with the tail of its log."""


class Process:
    """A Python module run as a child process.

    The first line on standard output that is a JSON object is kept as `ready`; with `ready=False`
    nobody waits for it until `wait_ready`. Standard error goes to a temporary file without a name.

    Example: `process = Process("bramleyrill_standins.platform"); process.stop()`.
    """

    def __init__(self, module: str, *arguments: str, ready: bool = True) -> None:
        self.name = module
        self._log = tempfile.TemporaryFile()  # noqa: SIM115 (lives as long as the process)
        self._child = subprocess.Popen(
            [sys.executable, "-m", module, *arguments],
            stdin=subprocess.DEVNULL,
            stdout=subprocess.PIPE,
            stderr=self._log,
        )
        self.ready: dict[str, Any] = {}
        if ready:
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
        """Return the end of what the process wrote to standard error."""
        size = os.fstat(self._log.fileno()).st_size
        start = max(0, size - LOG_TAIL_BYTES)
        return os.pread(self._log.fileno(), LOG_TAIL_BYTES, start).decode(errors="replace")

    def log(self) -> str:
        """Return all that the process wrote to standard error."""
        size = os.fstat(self._log.fileno()).st_size
        return os.pread(self._log.fileno(), size, 0).decode(errors="replace")

    def terminate(self) -> None:
        """Ask the process to stop, without waiting."""
        if self.exit_code is None:
            os.kill(self.pid, signal.SIGTERM)

    def wait(self, limit: float = STOP_LIMIT_S) -> int:
        """Return the exit code once the process has ended; raise ProcessError after `limit` s."""
        try:
            return self._child.wait(limit)
        except subprocess.TimeoutExpired:
            raise ProcessError(
                f"{self.name} still runs after {limit} s: {self.log_tail()}"
            ) from None

    def stop(self, limit: float = STOP_LIMIT_S) -> int:
        """Stop the process with SIGTERM, or SIGKILL after `limit` seconds; return its exit code."""
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
        """Stop the process with SIGSTOP."""
        if self.exit_code is None:
            os.kill(self.pid, signal.SIGSTOP)

    def resume(self) -> None:
        """Continue the process after `pause`."""
        if self.exit_code is None:
            os.kill(self.pid, signal.SIGCONT)

    def wait_ready(self) -> None:
        """Wait for the first JSON object on standard output; raise ProcessError without it."""
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
                        self.ready = json.loads(line)
                        return
        self.kill()
        raise ProcessError(f"{self.name} did not start: {self.log_tail()}")


def free_ports(count: int) -> list[int]:
    """Return `count` ports that were free on loopback when asked for.

    They lie below those that the system gives to outgoing connections, which any process may be
    given before the port is listened on.
    """
    found: list[int] = []
    while len(found) < count:
        port = random.randrange(*PORT_RANGE)
        if port not in found and _is_free(port):
            found.append(port)
    return found


def _is_free(port: int) -> bool:
    with socket.socket() as sock:
        try:
            sock.bind(("127.0.0.1", port))
        except OSError:
            return False
        return True


def wait_until(condition: Callable[[], Any], what: str, limit: float = 30.0) -> Any:
    """Return the first true value of `condition`; raise TimeoutError after `limit` seconds."""
    end = time.monotonic() + limit
    while True:
        value = condition()
        if value:
            return value
        if time.monotonic() > end:
            raise TimeoutError(f"{what} did not happen within {limit} s")
        time.sleep(POLL_S)
