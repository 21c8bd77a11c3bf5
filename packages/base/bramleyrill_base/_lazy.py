"""Attributes of a package that are imported on first use."""

import importlib
from collections.abc import Callable
from typing import Any


def lazy_attributes(
    namespace: dict[str, Any], module_by_name: dict[str, str]
) -> Callable[[str], Any]:
    """Return a `__getattr__` for a package that imports each name from its module on first use.

    A process that starts on a small share of a core then loads only what it needs. Example:
    `__getattr__ = lazy_attributes(globals(), {"World": "bramleyrill_core._world"})`.
    """

    def load(name: str) -> Any:
        module = module_by_name.get(name)
        if module is None:
            raise AttributeError(f"module {namespace['__name__']!r} has no attribute {name!r}")
        value = namespace[name] = getattr(importlib.import_module(module), name)
        return value

    return load
