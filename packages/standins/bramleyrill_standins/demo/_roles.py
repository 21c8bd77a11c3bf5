"""Fleets, roles and loads of callers that the demo runs."""

from typing import Any

from attrs import frozen

from bramleyrill_standins.callers import Endpoint, Load, Login
from bramleyrill_standins.processes import Deployment

RANKS = ("urgent", "everyday", "least_urgent")


@frozen
class Role:
    """A user of the example text with its rank and the share of writes among its requests."""

    user: str
    rank: str
    writes: float


@frozen
class Fleet:
    """A fleet of the example text: the database that the demo uses, its roles by rank, a writer."""

    name: str
    service: str
    database: str
    roles: tuple[Role, ...]
    writer: str

    @property
    def key(self) -> str:
        """Return the full id of the database, `fleet/service/database`."""
        return f"{self.name}/{self.service}/{self.database}"

    def login(self, user: str) -> Login:
        """Return the login of a user; in the example, passwords equal user names."""
        return Login(f"{user}@{self.name}", user, self.database)


FLEETS = (
    Fleet(
        "kintsugi",
        "onarim-defteri",
        "records",
        (
            Role("restorer", "urgent", 0.7),
            Role("courier", "everyday", 0.5),
            Role("collector", "least_urgent", 0.0),
        ),
        writer="restorer",
    ),
    Fleet(
        "gatecare",
        "gatebook",
        "records",
        (
            Role("engineer", "urgent", 0.0),
            Role("crew", "everyday", 0.5),
            Role("reports", "least_urgent", 0.0),
        ),
        writer="crew",
    ),
)


def endpoints(deployment: Deployment) -> list[Endpoint]:
    """Return the caller addresses of all running proxies."""
    return [
        Endpoint("127.0.0.1", proxy.port)
        for proxy in deployment.proxies
        if proxy.process.exit_code is None
    ]


def start_load(
    deployment: Deployment,
    fleet: Fleet,
    role: Role,
    *,
    callers: int,
    label: str = "",
    **options: Any,
) -> Load:
    """Start callers of one role on all proxies; `label` makes their names unique."""
    load = Load(
        endpoints(deployment),
        fleet.login(role.user),
        name=f"{fleet.name}-{role.user}{label}",
        callers=callers,
        writes=role.writes,
        **options,
    )
    load.start()
    return load
