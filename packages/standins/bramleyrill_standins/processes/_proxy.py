"""One entry VM: a process of the proxy daemon with its settings file."""

import os
import pathlib
import socket
import tempfile
from collections.abc import Sequence

from attrs import frozen

from bramleyrill_standins.processes._process import Process, ProcessError, free_ports, wait_until

MODULE = "bramleyrill_daemon"
SHARED_KEY = "key of the stand-ins only"
START_LIMIT_S = 30.0


@frozen
class VmLocation:
    """Id, failure domain and region of an entry VM."""

    id: str
    domain: str
    region: str


class Proxy:
    """An entry VM.

    `port` is for callers, `peer_port` for other VMs. After a kill, `start` starts the process
    again on the same ports. `seeds` are peer ports of VMs that it asks while the platform is down.
    """

    def __init__(self, location: VmLocation, platform_url: str, seeds: Sequence[int] = ()) -> None:
        self.location = location
        self._seeds = seeds
        self.port, self.peer_port = free_ports(2)
        self.process: Process | None = None
        self._settings = self._write_settings(platform_url)

    def start(self) -> None:
        """Start the process without waiting for it."""
        self.process = Process(MODULE, "--settings", str(self._settings), wait=False)

    def wait_until_listening(self) -> None:
        """Wait until callers can connect; raise ProcessError if the process ends before."""

        def listening() -> bool:
            if self.process.exit_code is not None:
                raise ProcessError(
                    f"{self.location.id} ended; its log ends with: {self.process.log_tail()}"
                )
            with socket.socket() as probe:
                probe.settimeout(1.0)
                return probe.connect_ex(("127.0.0.1", self.port)) == 0

        wait_until(listening, f"{self.location.id} listens", START_LIMIT_S)

    def log_lines(self, event: str) -> list[str]:
        """Return the log lines of an event so far."""
        event_pair = f" event={event} "
        return [line for line in self.process.log().splitlines() if event_pair in f"{line} "]

    def error_lines(self) -> list[str]:
        """Return the log lines of level error so far."""
        lines = self.process.log().splitlines() if self.process else []
        return [line for line in lines if " level=error " in line]

    def stop(self) -> int | None:
        """Stop the process and remove its settings file; return the exit code, if it ran."""
        code = self.process.stop() if self.process else None
        self._settings.unlink(missing_ok=True)
        return code

    def _write_settings(self, platform_url: str) -> pathlib.Path:
        values = {
            "id": self.location.id,
            "domain": self.location.domain,
            "region": self.location.region,
            "caller_listen": f"127.0.0.1:{self.port}",
            "peer_listen": f"127.0.0.1:{self.peer_port}",
            "platform": platform_url,
            "shared_key": SHARED_KEY,
        }
        handle, name = tempfile.mkstemp(suffix=".yaml")
        with os.fdopen(handle, "w", encoding="utf-8") as file:
            file.writelines(f'{key}: "{value}"\n' for key, value in values.items())
            file.write(f"seed_peers: {[f'127.0.0.1:{port}' for port in self._seeds]}\n")
        return pathlib.Path(name)
