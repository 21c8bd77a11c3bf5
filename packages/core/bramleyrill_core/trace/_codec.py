"""JSON codec of messages and effects: durations in ms, enums by name, marks as pairs."""

from datetime import timedelta
from enum import Enum
from types import NoneType, UnionType
from typing import Any, Union, get_args, get_origin

import attrs
import cattrs
from cattrs.gen import make_dict_structure_fn, make_dict_unstructure_fn, override

from bramleyrill_core._messages import class_by_name
from bramleyrill_core._values import Mark, TermStart
from bramleyrill_core.succession import Span

_PAIR_TYPES = (Mark, TermStart, Span)


def _is_duration(value_type: Any) -> bool:
    if get_origin(value_type) in (Union, UnionType):
        return any(arg is timedelta for arg in get_args(value_type) if arg is not NoneType)
    return value_type is timedelta


def _duration_overrides(cls: type) -> dict[str, Any]:
    attrs.resolve_types(cls)
    fields = attrs.fields(cls)
    return {f.name: override(rename=f"{f.name}_ms") for f in fields if _is_duration(f.type)}


def _build_converter() -> cattrs.Converter:
    converter = cattrs.Converter(forbid_extra_keys=True, prefer_attrib_converters=True)
    converter.register_structure_hook_factory(
        attrs.has,
        lambda cls: make_dict_structure_fn(
            cls, converter, _cattrs_forbid_extra_keys=True, **_duration_overrides(cls)
        ),
    )
    converter.register_unstructure_hook_factory(
        attrs.has, lambda cls: make_dict_unstructure_fn(cls, converter, **_duration_overrides(cls))
    )
    for value_type in _PAIR_TYPES:
        _register_pair(converter, value_type)
    converter.register_structure_hook(timedelta, lambda ms, _: timedelta(milliseconds=ms))
    converter.register_unstructure_hook(
        timedelta, lambda duration: duration / timedelta(milliseconds=1)
    )
    converter.register_structure_hook(bytes, lambda text, _: text.encode())
    converter.register_unstructure_hook(bytes, lambda raw: raw.decode())
    member_by_name = lambda name, value_type: value_type[name.upper()]  # noqa: E731
    converter.register_structure_hook_func(_is_enum, member_by_name)
    converter.register_unstructure_hook_func(_is_enum, lambda item: item.name.lower())
    return converter


def _is_enum(value_type: Any) -> bool:
    return isinstance(value_type, type) and issubclass(value_type, Enum)


def _register_pair(converter: cattrs.Converter, value_type: type) -> None:
    types = [field.type for field in attrs.fields(attrs.resolve_types(value_type))]

    def structure(pair: list, _: type) -> Any:
        return value_type(*(converter.structure(v, t) for v, t in zip(pair, types, strict=True)))

    converter.register_structure_hook(value_type, structure)
    converter.register_unstructure_hook(
        value_type,
        lambda item: [converter.unstructure(v) for v in attrs.astuple(item, recurse=False)],
    )


_converter = _build_converter()


def decode(name: str, fields: dict[str, Any]) -> Any:
    """Return the message or effect of class `name` with the given fields.

    Raise KeyError for an unknown class, and the errors of cattrs for invalid fields.
    """
    return _converter.structure(fields, class_by_name(name))


def encode(item: Any) -> dict[str, Any]:
    """Return the fields of a message or effect as plain JSON values."""
    return _converter.unstructure(item)
