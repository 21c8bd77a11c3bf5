"""A prepared deployment with proxies on its links, and the parts that faults affect."""

from datetime import timedelta

import gevent
from attrs import define, field
from bramleyrill_standins.prepared import EntryVm, LineMember, PreparedDeployment

from bramleyrill_soak._proxy import LoopbackProxy

PRIMARY, OWN_WRITES, BOUNDED = "primary-db", "own-db", "bounded-db"
MAX_STALENESS_S = 2.0
# Kind of objects of another writer, which use up revisions.
OTHER_KIND = "soak-other"
# Teams of the callers, each with the key that its callers use.
KEY_BY_TEAM = {"harbour": "harbour-key", "mill": "mill-key"}
# A further key of the first team, which the last configuration withdraws.
WITHDRAWN_KEY = "withdrawn-key"
# How long a promotion takes where replicas are synchronous; a primary may come back meanwhile.
PROMOTE_TIME = timedelta(seconds=0.8)
# There, one member is in another region, and confirms commits later than the others.
FAR_MEMBER, FAR_LAG = "m3", timedelta(milliseconds=30)
# Time for the watches to continue behind a change.
WATCH_DELAY_S = 0.5
_TYPES_BY_DATABASE = {
    PRIMARY: "primary",
    OWN_WRITES: "read_your_writes",
    BOUNDED: "bounded_staleness",
}


class SoakDeployment(PreparedDeployment):
    """A prepared deployment whose members, store and caller ports are reached through proxies."""

    def __init__(self, vms: int, fenced_orders: bool = True, sync_replicas: int = 0) -> None:
        super().__init__(vms, fenced_orders=fenced_orders)
        if sync_replicas:
            self.group.sync_replicas = sync_replicas
            self.group.promote_time = PROMOTE_TIME
            self.group.members_by_name[FAR_MEMBER].lag = FAR_LAG
        self.keys_by_team = {team: [key] for team, key in KEY_BY_TEAM.items()}
        self.keys_by_team["harbour"].append(WITHDRAWN_KEY)
        self.member_proxies = {
            name: LoopbackProxy(member.address)
            for name, member in self.group.members_by_name.items()
        }
        self.store_proxies: list[LoopbackProxy] = []
        self.caller_proxies: list[LoopbackProxy] = []
        self.caller_addresses: list[tuple[str, int]] = []
        self.ports_by_member = {
            name: proxy.start()[1] for name, proxy in self.member_proxies.items()
        }

    def member_port(self, name: str) -> int:
        """Return the port under which a member is listed in the store."""
        return self.ports_by_member[name]

    def store_address(self, number: int, platform: tuple[str, int]) -> tuple[str, int]:
        """Return the address at which a VM reaches the platform."""
        proxy = LoopbackProxy(platform)
        self.store_proxies.append(proxy)
        return proxy.start()

    def types_by_database(self) -> dict[str, str]:
        """Return the consistency of each database of the soak."""
        return _TYPES_BY_DATABASE

    def __enter__(self) -> "SoakDeployment":
        super().__enter__()
        self.caller_proxies = [LoopbackProxy(vm.caller_address) for vm in self.vms]
        self.caller_addresses = [proxy.start() for proxy in self.caller_proxies]
        return self

    def __exit__(self, *reason: object) -> None:
        super().__exit__(*reason)
        members = self.member_proxies.values()
        for proxy in (*members, *self.store_proxies, *self.caller_proxies):
            proxy.stop()


@define(eq=False)
class SoakWorld:
    """The deployment, and the VMs and members that are reserved for faults.

    `writers` has the names of the writing callers, `exit_codes` the exit codes of processes that
    a fault stopped in order. `version` and `more_databases` are those of the configuration that the
    operator wrote last.
    """

    deployment: SoakDeployment
    writers: list[str] = field(factory=list)
    reserved: set[object] = field(factory=set)
    exit_codes: list[int] = field(factory=list)
    version: int = 1
    more_databases: tuple[str, ...] = ()

    def put_next_configuration(self, *more_databases: str) -> None:
        """Store the next version of the configuration, with routes to `more_databases` added."""
        self.version += 1
        self.more_databases = more_databases
        self.put_configuration_again()

    def put_configuration_again(self) -> None:
        """Store the configuration that the operator wrote last."""
        self.deployment.put_configuration(self.version, *self.more_databases)

    def withdraw_key(self) -> None:
        """Leave the spare key out of all further configurations."""
        self.deployment.keys_by_team["harbour"].remove(WITHDRAWN_KEY)

    def change_configuration_in_restore(self, *more_databases: str) -> None:
        """Restore the store and store the next configuration among revisions given out again."""
        platform = self.deployment.platform
        copy = platform.copy()
        self.put_configuration_again()
        gevent.sleep(WATCH_DELAY_S)
        earlier_revision = platform.revision
        platform.restore(copy)
        self.put_next_configuration(*more_databases)
        while platform.revision <= earlier_revision:
            platform.put(OTHER_KIND, "object", platform.revision)

    def unreserved_vms(self) -> list[EntryVm]:
        """Return the VMs that no fault has reserved."""
        return [vm for vm in self.deployment.vms if vm not in self.reserved]

    def unreserved_members(self) -> list[LineMember]:
        """Return the members that no fault has reserved."""
        members = self.deployment.group.members_by_name.values()
        return [member for member in members if member not in self.reserved]
