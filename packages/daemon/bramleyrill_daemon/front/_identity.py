"""Who a caller is: fleet, service, database and user, from the text."""

from attrs import frozen
from bramleyrill_base import ErrorKind, Problem
from bramleyrill_core import World
from bramleyrill_core.text import FleetSpec, ServiceSpec, Text, UserSpec
from returns.result import Failure, Result, Success


@frozen
class Identity:
    """What a startup packet names.

    `user` is None when the text does not have it. `database` is None when it is unknown or
    ambiguous; `unknown_database` then says what to write, and `service` is one that has the user.
    """

    fleet: FleetSpec
    name: str
    service: ServiceSpec | None = None
    user: UserSpec | None = None
    database: str | None = None
    unknown_database: str = ""


def resolve(world: World, user: str, database: str) -> Result[Identity | None, Problem]:
    """Return who `user` and `database` stand for, None for a user that no fleet has.

    Fails with BAD_IDENTITY when the fleet is unknown, or when several fleets have the user.
    """
    text = world.text
    name, at, fleet_name = user.rpartition("@")
    if not at:
        name = user
        fleets = [fleet for fleet in text.fleets.values() if _services_of(fleet, name)]
        if len(fleets) > 1:
            known = " or ".join(f"{name}@{fleet.name}" for fleet in fleets)
            detail = f"user {name!r} is in several fleets: write {known}"
            return Failure(Problem(ErrorKind.BAD_IDENTITY, detail))
        return Success(_in_fleet(fleets[0], name, database) if fleets else None)
    if fleet_name not in text.fleets:
        detail = f"no fleet {fleet_name!r}: {_write_fleet(text)}"
        return Failure(Problem(ErrorKind.BAD_IDENTITY, detail))
    return Success(_in_fleet(text.fleets[fleet_name], name, database))


def _write_fleet(text: Text) -> str:
    return "write " + " or ".join(f"user@{name}" for name in text.fleets)


def _services_of(fleet: FleetSpec, user: str) -> list[ServiceSpec]:
    return [service for service in fleet.services.values() if user in service.users]


def _in_fleet(fleet: FleetSpec, name: str, database: str) -> Identity:
    service_name, dot, plain = database.partition(".")
    if dot and service_name in fleet.services:
        found = [fleet.services[service_name]]
    else:
        plain = database
        found = list(fleet.services.values())
    found = [service for service in found if plain in service.databases]
    with_user = [service for service in found if name in service.users]
    if len(with_user) == 1 or len(found) == 1:
        service = (with_user or found)[0]
        return Identity(fleet, name, service, service.users.get(name), plain)
    if with_user:
        names = " or ".join(f"{service.name}.{plain}" for service in with_user)
        advice = f"database {plain!r} is in several services: write {names}"
    else:
        advice = f"fleet {fleet.name!r} has no database {database!r}"
    services = with_user or _services_of(fleet, name)
    service = services[0] if services else None
    user = service.users[name] if service else None
    return Identity(fleet, name, service, user, None, advice)
