"""The text: its typed form, its checks, its way to every VM."""

from bramleyrill_core.configuration._text import (
    EMPTY_TEXT,
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
    build_database,
    build_text,
)

__all__ = [
    "EMPTY_TEXT",
    "DatabaseSpec",
    "DomainSpec",
    "Durability",
    "FailoverPolicy",
    "FleetSpec",
    "Limits",
    "MemberSpec",
    "RankPolicy",
    "ServiceSpec",
    "Text",
    "UserSpec",
    "build_database",
    "build_text",
]
