"""Base classes of the messages and effects of the core, which are registered by class name."""


class _Named:
    """Registers each subclass by its name, which the trace format stores."""

    by_name: dict[str, type] = {}

    def __init_subclass__(cls, **options: object) -> None:
        super().__init_subclass__(**options)
        # attrs creates a second class when it adds slots. That class may replace the first one
        # under the same name, but only from the same module.
        registered = _Named.by_name.get(cls.__name__)
        if registered is not None and registered.__module__ != cls.__module__:
            raise TypeError(f"message or effect {cls.__name__} is defined in two modules")
        _Named.by_name[cls.__name__] = cls


class Message(_Named):
    """Input of the core. Subclasses are `attrs.frozen` classes."""

    __slots__ = ()


class Effect(_Named):
    """Output of the core, which the process around it executes.

    Subclasses are `attrs.frozen` classes.
    """

    __slots__ = ()


def class_by_name(name: str) -> type:
    """Return the message or effect class called `name`; raise KeyError if there is none."""
    return _Named.by_name[name]
