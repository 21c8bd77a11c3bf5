"""Show the statement path at work: `python -m bramleyrill_standins.prepared`."""

import time

from bramleyrill_standins.prepared import LineCaller, PreparedDeployment


def main() -> None:
    """Start a platform, members and three entry VMs; write, read elsewhere, lose the primary."""
    with PreparedDeployment(vms=3) as deployment:
        print("started: a platform, three members, three entry VMs")
        first, second = (LineCaller(vm.callers) for vm in deployment.vms[:2])
        print("write through vm1:", first.ask("WRITE bowl lacquer-2")[0])
        print("read through vm2:", second.ask("READ bowl")[0])
        lost = deployment.group.primary.name
        lost_at = time.monotonic()
        deployment.stop_member(lost)
        while not first.ask("WRITE bowl gold-1")[0].startswith("COMPLETE"):
            pass
        gap = time.monotonic() - lost_at
        print(
            f"primary {lost} stopped; {deployment.group.primary.name} took over after {gap:.1f} s"
        )
        print("read through vm2:", second.ask("READ bowl")[0])
        print("planned stop of vm3: exit code", deployment.vms[2].stop())


if __name__ == "__main__":
    main()
