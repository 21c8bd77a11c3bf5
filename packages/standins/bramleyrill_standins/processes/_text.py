"""The example text, reduced in size and with the addresses of running groups."""

from typing import Any

import yaml
from bramleyrill_core.text import example_source


def example_text(databases: int, fleets: tuple[str, ...] = ()) -> dict[str, Any]:
    """Return the example text as plain values, with the first `databases` of each service.

    `fleets` selects fleets by name; all are kept if it is empty.
    """
    text = yaml.safe_load(example_source())
    if fleets:
        text["fleets"] = {name: text["fleets"][name] for name in fleets}
    for _, _, service in services_of(text):
        kept = list(service["databases"].items())[:databases]
        service["databases"] = dict(kept)
    return text


def services_of(text: dict[str, Any]) -> list[tuple[str, str, dict[str, Any]]]:
    """Return (fleet name, service name, values) of every service in a text."""
    return [
        (fleet, name, service)
        for fleet, values in text["fleets"].items()
        for name, service in values["services"].items()
    ]


def extend_members(database: dict[str, Any], count: int) -> None:
    """Add members to a database, in the domains of its first ones, until it has `count`."""
    members = database["members"]
    first = list(members.items())
    stem = first[0][0].rpartition("-")[0]
    for number in range(len(members), count):
        _, member = first[number % len(first)]
        members[f"{stem}-{number + 1}"] = dict(member)


def set_addresses(database: dict[str, Any], ports: dict[str, int]) -> None:
    """Set the addresses of a database's members to the ports of a running group."""
    for name, member in database["members"].items():
        member["address"] = f"127.0.0.1:{ports[name]}"


def to_source(text: dict[str, Any]) -> str:
    """Return the YAML source of plain values."""
    # The order of members determines which member is the primary of which term.
    return yaml.safe_dump(text, sort_keys=False, allow_unicode=True)
