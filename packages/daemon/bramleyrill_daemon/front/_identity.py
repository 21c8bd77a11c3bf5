"""Resolves the names in a startup packet to fleet, service, database and user of the text."""

from attrs import frozen
from bramleyrill_base import ErrorKind, Problem
from bramleyrill_core import World
from bramleyrill_core.text import FleetSpec, ServiceSpec, Text, UserSpec
from returns.result import Failure, Result, Success


@frozen
class Identity:
    """What the names in a startup packet stand for.

    `user` is None if the text does not have the user. `database` is None if it is unknown or
    ambiguous; then `database_hint` says what to write, and `service` is one that has the user.
    """

    fleet: FleetSpec
    name: str
    service: ServiceSpec | None = None
    user: UserSpec | None = None
    database: str | None = None
    database_hint: str = ""


def resolve_identity(world: World, user: str, database: str) -> Result[Identity | None, Problem]:
    """Return the identity for `user` and `database`, or None if no fleet has the user.

    Fail with BAD_IDENTITY if the fleet is unknown, or if several fleets have the user.
    """
    text = world.text
    name, at, fleet_name = user.rpartition("@")
    if not at:
        name = user
        fleets = [fleet for fleet in text.fleets.values() if _services_of(fleet, name)]
        if len(fleets) > 1:
            full_names = " or ".join(f"{name}@{fleet.name}" for fleet in fleets)
            detail = f"user {name!r} is in several fleets: write {full_names}"
            return Failure(Problem(ErrorKind.BAD_IDENTITY, detail))
        return Success(_identity_in_fleet(fleets[0], name, database) if fleets else None)
    if fleet_name not in text.fleets:
        detail = f"no fleet {fleet_name!r}: {_fleet_hint(text)}"
        return Failure(Problem(ErrorKind.BAD_IDENTITY, detail))
    return Success(_identity_in_fleet(text.fleets[fleet_name], name, database))


def _fleet_hint(text: Text) -> str:
    return "write " + " or ".join(f"user@{name}" for name in text.fleets)


def _services_of(fleet: FleetSpec, user: str) -> list[ServiceSpec]:
    return [service for service in fleet.services.values() if user in service.users]


def _identity_in_fleet(fleet: FleetSpec, name: str, database: str) -> Identity:
    service_name, dot, database_name = database.partition(".")
    if dot and service_name in fleet.services:
        candidates = [fleet.services[service_name]]
    else:
        database_name = database
        candidates = list(fleet.services.values())
    candidates = [service for service in candidates if database_name in service.databases]
    with_user = [service for service in candidates if name in service.users]
    if len(with_user) == 1 or len(candidates) == 1:
        service = (with_user or candidates)[0]
        return Identity(fleet, name, service, service.users.get(name), database_name)
    if with_user:
        names = " or ".join(f"{service.name}.{database_name}" for service in with_user)
        hint = f"database {database_name!r} is in several services: write {names}"
    else:
        hint = f"fleet {fleet.name!r} has no database {database!r}"
    services = with_user or _services_of(fleet, name)
    service = services[0] if services else None
    user = service.users[name] if service else None
    return Identity(fleet, name, service, user, None, hint)
