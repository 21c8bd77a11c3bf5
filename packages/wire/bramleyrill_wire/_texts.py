"""Check that the texts of a decoded struct are texts; the decoder leaves others as bytes."""

from functools import cache
from typing import Any

from attrs import frozen

# Numbers of the types in the specifications of the generated classes. Fields of bytes have another.
_STRING, _STRUCT, _LIST = 11, 12, 15


@frozen
class _TextFields:
    """Names of the fields of a struct that are texts, structs, and lists of structs."""

    texts: tuple[str, ...]
    structs: tuple[str, ...]
    struct_lists: tuple[str, ...]


def check_texts(value: Any) -> None:
    """Raise ValueError if a text in a struct, or in a struct in it, is not UTF-8."""
    fields = _text_fields(type(value))
    for name in fields.texts:
        if type(getattr(value, name)) is bytes:
            raise ValueError(f"{name} is not UTF-8")
    for name in fields.structs:
        nested = getattr(value, name)
        if nested is not None:
            check_texts(nested)
    for name in fields.struct_lists:
        for item in getattr(value, name) or ():
            check_texts(item)


@cache
def _text_fields(cls: type) -> _TextFields:
    texts, structs, struct_lists = [], [], []
    for kind, name, *details in cls.thrift_spec.values():
        if kind == _STRING:
            texts.append(name)
        elif kind == _STRUCT:
            structs.append(name)
        elif kind == _LIST and isinstance(details[0], tuple):
            struct_lists.append(name)
    return _TextFields(tuple(texts), tuple(structs), tuple(struct_lists))
