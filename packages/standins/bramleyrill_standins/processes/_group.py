"""A replication group of stand-ins, with one process per member or one for all."""

from typing import Any

from bramleyrill_standins.processes._admin import AdminClient
from bramleyrill_standins.processes._process import Process

MODULE = "bramleyrill_standins.upstream"


class Group:
    """Members of one group by name, with their ports, processes and admin clients.

    `one_process` runs all members in one process. `options` are further command line
    options of the upstream stand-in.

    Example: `group = Group(["a", "b", "c"]); group.switch("a", freeze=True); group.stop()`.
    """

    def __init__(self, names: list[str], *options: str, one_process: bool = True) -> None:
        self.names = names
        self._options = options
        self.processes: dict[str, Process] = {}
        self.ports: dict[str, int] = {}
        self._admins: dict[str, AdminClient] = {}
        try:
            for batch in [names] if one_process else [[name] for name in names]:
                self._start(batch)
            self._connect_members()
        except BaseException:
            self.stop()
            raise

    def switch(self, name: str, **changes: Any) -> dict[str, Any]:
        """Change switches or settings of a member and return its state."""
        return self._admins[name].post(f"members/{name}", **changes)

    def state(self, name: str) -> dict[str, Any]:
        """Return status, switches, settings and counters of a member."""
        return self._admins[name].get("members")[name]

    def reset(self, name: str) -> None:
        """Reset the counters of a member."""
        self._admins[name].post(f"members/{name}/reset")

    def applied(self, name: str) -> dict[str, int]:
        """Return how often each write id occurs in a member's log."""
        return self._admins[name].get(f"members/{name}/applied")

    def primary(self) -> str:
        """Return the primary of the highest term among running members, or an empty string."""
        running = [name for name in self.names if self.processes[name].exit_code is None]
        statuses = [self.state(name)["status"] for name in running]
        primaries = [status for status in statuses if status["role"] == "primary"]
        return max(primaries, key=lambda status: status["term"])["member"] if primaries else ""

    def restart(self, name: str) -> None:
        """Start a member's process again on its port after it ended.

        Without the `--journal` option the member has lost its log and term.
        """
        self._start([name], port=self.ports[name])
        self._connect_members()

    def stop(self) -> None:
        """Stop every process of the group."""
        processes = {process.pid: process for process in self.processes.values()}
        for process in processes.values():
            process.resume()
            process.terminate()
        for process in processes.values():
            process.stop()

    def _start(self, names: list[str], port: int = 0) -> None:
        arguments = []
        for name in names:
            arguments += ["--member", f"{name}={port}"]
        leader = ("--leader", self.names[0])
        process = Process(MODULE, *arguments, *leader, *self._options, wait=False)
        self.processes.update(dict.fromkeys(names, process))

    def _connect_members(self) -> None:
        running = {
            name: process for name, process in self.processes.items() if process.exit_code is None
        }
        for name, process in running.items():
            if not process.ready_info:
                process.wait_ready()
            self._admins[name] = AdminClient(process.ready_info["admin_port"])
            self.ports.update(process.ready_info["ports"])
        peers = {name: ["127.0.0.1", port] for name, port in self.ports.items()}
        for name in running:
            self._admins[name].post("peers", **peers)
