"""Demo of the prepared platform: `python -m bramleyrill_standins.prepared`."""

import time

from bramleyrill_standins.prepared import LineCaller, PreparedDeployment


def main() -> None:
    """Start a small deployment, write, read through another VM, and stop the primary."""
    with PreparedDeployment(vms=3) as deployment:
        print("started a platform, three members and three entry VMs")
        first, second = (LineCaller(vm.caller_address) for vm in deployment.vms[:2])
        print("answer to a write through vm1:", first.ask("WRITE bowl lacquer-2")[0])
        print("answer to a read through vm2:", second.ask("READ bowl")[0])
        stopped = deployment.group.primary.name
        stopped_at = time.monotonic()
        deployment.stop_member(stopped)
        while not first.ask("WRITE bowl gold-1")[0].startswith("COMPLETE"):
            pass
        gap = time.monotonic() - stopped_at
        print(
            f"stopped primary {stopped}; {deployment.group.primary.name} took over in {gap:.1f} s"
        )
        print("answer to a read through vm2:", second.ask("READ bowl")[0])
        print("stopped vm3 with SIGTERM; its exit code is", deployment.vms[2].stop())


if __name__ == "__main__":
    main()
