"""Parser of the text: from YAML to typed values, reporting all errors at once."""

import hashlib
import ipaddress
import zlib
from collections.abc import Iterator
from datetime import timedelta
from importlib import resources

from returns.result import Failure, Result, Success

from bramleyrill_core._values import Rank, database_id, member_id
from bramleyrill_core.text._errors import TextError
from bramleyrill_core.text._model import (
    DatabaseSpec,
    DomainSpec,
    Durability,
    FailoverPolicy,
    FleetSpec,
    Limits,
    MemberSpec,
    RankPolicy,
    ServiceSpec,
    Text,
    UserSpec,
    build_text,
)
from bramleyrill_core.text._nodes import ErrorCollector, Section, compose

# The platform stores values of up to one megabyte; larger sources are stored compressed.
MAX_STORED_BYTES = 1_000_000
COMPRESS_ABOVE_BYTES = 256_000
# One connection for the locks of the holder, and one for the probes of each of three holders.
RESERVED_CONNECTIONS = 4
MAX_MEMBERS = 7
# A supervisor waits for this long after a fence whatever its text says, so no permit may be longer.
LONGEST_PERMIT = timedelta(seconds=1)

_DEFAULT_RANKS = {
    Rank.URGENT: RankPolicy(timedelta(milliseconds=250), 0.99, 0.4, timedelta(seconds=3)),
    Rank.EVERYDAY: RankPolicy(timedelta(seconds=1), 0.95, 0.2, timedelta(seconds=5)),
    Rank.LEAST_URGENT: RankPolicy(timedelta(seconds=5), 0.9, 0.1, timedelta(seconds=10)),
}


def parse_text(source: str, version: int = 0, identity: str = "") -> Result[Text, list[TextError]]:
    """Return the typed text, or all its errors ordered by line.

    `version` and `identity` are those of the platform's object that holds the source.

    Example: `parse_text("fleets: {}").failure()[0].line == 1`.
    """
    errors = ErrorCollector()
    root_node = compose(source, errors)
    if root_node is None:
        if not errors.collected:
            errors.collected.append(TextError(1, 1, "", "the text is empty", "add `fleets:`"))
        return Failure(errors.collected)
    root_section = Section(root_node, "", errors)
    failover = _read_failover(root_section.section("failover"))
    drain_timeout = root_section.duration(
        "drain_timeout", timedelta(seconds=30), minimum=timedelta(seconds=1)
    )
    fleets = _read_fleets(root_section.section("fleets", required=True))
    root_section.close()
    _check_addresses(fleets, root_section)
    if stored_size(source) > MAX_STORED_BYTES:
        root_section.fail(
            "fleets", "the text is over one megabyte when stored", "split off a fleet"
        )
    if errors.collected:
        return Failure(sorted(errors.collected))
    digest = hashlib.sha256(source.encode()).hexdigest()[:16]
    return Success(
        build_text(
            fleets,
            version=version,
            identity=identity,
            digest=digest,
            failover=failover,
            drain_timeout=drain_timeout,
        )
    )


def stored_size(source: str) -> int:
    """Return the size in bytes of `source` as it is stored on the platform."""
    encoded = source.encode()
    if len(encoded) <= COMPRESS_ABOVE_BYTES:
        return len(encoded)
    return len(zlib.compress(encoded)) * 4 // 3


def _read_failover(section: Section) -> FailoverPolicy:
    default = FailoverPolicy()
    min_duration = timedelta(milliseconds=50)
    policy = FailoverPolicy(
        probe_interval=section.duration(
            "probe_interval", default.probe_interval, minimum=min_duration
        ),
        suspect_after=section.duration(
            "suspect_after", default.suspect_after, minimum=min_duration
        ),
        permit=section.duration("permit", default.permit, minimum=min_duration),
    )
    section.close()
    if policy.permit > LONGEST_PERMIT:
        section.fail(
            "permit", "the permit is longer than the wait after a fence", "write at most 1s"
        )
    if policy.permit < 2 * policy.probe_interval:
        section.fail(
            "permit",
            "the permit must be at least two probe intervals long",
            "write at least twice `probe_interval`",
        )
    if policy.suspect_after < 2 * policy.probe_interval:
        section.fail(
            "suspect_after",
            "one late probe would start a failover",
            "write at least twice `probe_interval`",
        )
    return policy


def _read_fleets(section: Section) -> dict[str, FleetSpec]:
    fleets = {name: _read_fleet(name, subsection) for name, subsection in section.sections()}
    if section.node is not None and not fleets:
        section.errors.add(
            section.node, section.path, "there is no fleet", "add one below `fleets:`"
        )
    _check_floors(section, [(name, fleet.floor) for name, fleet in fleets.items()])
    return fleets


def _read_fleet(name: str, section: Section) -> FleetSpec:
    floor = section.share("floor", 0.0)
    domains = {}
    for domain, subsection in section.section("domains", required=True).sections():
        domains[domain] = DomainSpec(domain, subsection.text("region", required=True))
        subsection.close()
    services = {}
    subsections = section.section("services", required=True)
    for service, subsection in subsections.sections():
        services[service] = _read_service(name, service, subsection, domains)
    _check_floors(subsections, [(key, service.floor) for key, service in services.items()])
    section.close()
    return FleetSpec(name, floor, domains, services)


def _read_service(
    fleet: str, name: str, section: Section, domains: dict[str, DomainSpec]
) -> ServiceSpec:
    limits = Limits(
        connections=section.integer("connections", 16, minimum=1, required=True),
        slots=section.integer("slots", 2, minimum=1, required=True),
        dial=section.duration("dial", timedelta(milliseconds=12)),
    )
    if limits.connections < RESERVED_CONNECTIONS + limits.slots:
        section.fail(
            "connections",
            "too few for the slots and for the proxy's own locks and probes",
            f"write at least slots + {RESERVED_CONNECTIONS}",
        )
    clear_text = section.flag("clear_text_passwords", False)
    service = ServiceSpec(
        fleet=fleet,
        name=name,
        limits=limits,
        ranks=_read_ranks(section.section("ranks")),
        databases=_read_databases(fleet, name, section.section("databases", True), domains),
        users=_read_users(section.section("users", True), clear_text),
        floor=section.share("floor", 0.0),
        clear_text_passwords=clear_text,
        caller_tls=section.flag("caller_tls", False),
        upstream_tls=section.flag("upstream_tls", False),
    )
    section.close()
    return service


def _read_ranks(section: Section) -> dict[Rank, RankPolicy]:
    ranks = {}
    for rank in Rank:
        ranks[rank] = _read_rank(section.section(rank.name.lower()), _DEFAULT_RANKS[rank])
    section.close()
    _check_floors(section, [(rank.name.lower(), policy.floor) for rank, policy in ranks.items()])
    return ranks


def _read_rank(section: Section, default: RankPolicy) -> RankPolicy:
    policy = RankPolicy(
        target=section.duration("target", default.target, minimum=timedelta(milliseconds=1)),
        objective=section.share("objective", default.objective),
        floor=section.share("floor", default.floor),
        deadline=section.duration("deadline", default.deadline, minimum=timedelta(milliseconds=1)),
        durability=section.choice("durability", Durability, default.durability),
    )
    section.close()
    if policy.deadline < policy.target:
        section.fail(
            "deadline", "the deadline is shorter than the target", "write a longer deadline"
        )
    return policy


def _check_floors(section: Section, floors: list[tuple[str, float]]) -> None:
    total = sum(floor for _, floor in floors)
    if total > 1.0 + 1e-9:
        section.fail(
            floors[-1][0],
            f"the floors add up to {total:g}",
            "lower them so that they add up to 1 or less",
        )


def _read_databases(
    fleet: str, service: str, section: Section, domains: dict[str, DomainSpec]
) -> dict[str, DatabaseSpec]:
    databases = {}
    for name, subsection in section.sections():
        qualified_id = database_id(fleet, service, name)
        subsections = subsection.section("members", required=True)
        members = tuple(
            _read_member(qualified_id, member, member_section, domains)
            for member, member_section in subsections.sections()
        )
        subsection.close()
        if len(members) % 2 == 0 or len(members) > MAX_MEMBERS:
            subsections.errors.add(
                subsections.node or subsection.node,
                subsections.path,
                f"{len(members)} members cannot form a clear majority",
                "write 1, 3, 5 or 7 members",
            )
        databases[name] = DatabaseSpec(qualified_id, name, members)
    return databases


def _read_member(
    database: str, name: str, section: Section, domains: dict[str, DomainSpec]
) -> MemberSpec:
    domain = section.text("domain", required=True)
    if domain and domain not in domains:
        known_domains = ", ".join(domains) or "none"
        section.fail(
            "domain", f"{domain!r} is not a domain of the fleet", f"known: {known_domains}"
        )
    host, port = _read_address(section)
    leaving = section.flag("leaving", False)
    section.close()
    return MemberSpec(member_id(database, name), name, domain, host, port, leaving)


def _read_address(section: Section) -> tuple[str, int]:
    address = section.text("address", required=True)
    host, _, port = address.rpartition(":")
    try:
        ipaddress.ip_address(host.strip("[]"))
        if not 0 < int(port) < 65536:
            raise ValueError
    except ValueError:
        if address:
            section.fail(
                "address", f"{address!r} is not valid", "write IP:PORT, as in 10.0.0.7:5432"
            )
        return "", 0
    return host.strip("[]"), int(port)


def _read_users(section: Section, clear_text: bool) -> dict[str, UserSpec]:
    users = {}
    for name, subsection in section.sections():
        if "@" in name:
            section.fail(
                name,
                "the name of a user must not contain @",
                "remove it; callers add the fleet at login",
            )
        user = UserSpec(
            name=name,
            verifier=subsection.text("verifier"),
            password=subsection.text("password"),
            rank=subsection.choice("rank", Rank, Rank.EVERYDAY),
            age=subsection.duration("age", timedelta()),
            writes=subsection.flag("writes", True),
            repeatable=subsection.flag("repeatable", False),
        )
        subsection.close()
        _check_secret(subsection, user, clear_text)
        users[name] = user
    return users


def _check_secret(section: Section, user: UserSpec, clear_text: bool) -> None:
    if bool(user.verifier) == bool(user.password):
        section.fail(
            "verifier", "a user needs either a verifier or a password", "write exactly one of them"
        )
    elif user.verifier and not user.verifier.startswith("SCRAM-SHA-256$"):
        section.fail("verifier", "not a SCRAM verifier", "make one with `bramleyrill verifier`")
    elif user.password and not clear_text:
        section.fail(
            "password",
            "clear-text passwords are not allowed in this service",
            "write a verifier, or set `clear_text_passwords: true`",
        )


def _all_members(fleets: dict[str, FleetSpec]) -> Iterator[MemberSpec]:
    for fleet in fleets.values():
        for service in fleet.services.values():
            for database in service.databases.values():
                yield from database.members


def _check_addresses(fleets: dict[str, FleetSpec], root_section: Section) -> None:
    member_by_address: dict[tuple[str, int], str] = {}
    for member in _all_members(fleets):
        key = (member.host, member.port)
        if member.port and key in member_by_address:
            root_section.fail(
                "fleets",
                f"{member.id} and {member_by_address[key]} have the same address "
                f"{member.host}:{member.port}",
                "give each member its own address",
            )
        member_by_address[key] = member.id


def example_source() -> str:
    """Return the source of the example text that is part of the package."""
    return resources.files("bramleyrill_core.text").joinpath("example.yaml").read_text("utf-8")
