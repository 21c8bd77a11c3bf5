"""The configuration text: typed form, parser and checks."""

from bramleyrill_core.text._errors import TextError
from bramleyrill_core.text._model import (
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
from bramleyrill_core.text._nodes import parse_duration
from bramleyrill_core.text._parse import (
    COMPRESS_ABOVE_BYTES,
    example_source,
    parse_text,
    stored_size,
)

__all__ = [
    "COMPRESS_ABOVE_BYTES",
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
    "TextError",
    "UserSpec",
    "build_database",
    "build_text",
    "example_source",
    "parse_duration",
    "parse_text",
    "stored_size",
]
