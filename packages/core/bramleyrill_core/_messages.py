"""Base classes of what goes into the core and what comes out, known by class name."""


class _Named:
    """Register each subclass by its name for the trace format."""

    by_name: dict[str, type] = {}

    def __init_subclass__(cls, **options: object) -> None:
        super().__init_subclass__(**options)
        # attrs makes a second class when it adds slots, so a name may be registered again by
        # the class that replaces it, but only from the same module.
        known = _Named.by_name.get(cls.__name__)
        if known is not None and known.__module__ != cls.__module__:
            raise TypeError(f"message {cls.__name__} is defined twice")
        _Named.by_name[cls.__name__] = cls


class Message(_Named):
    """Input of the core. Subclasses are `attrs.frozen` classes."""

    __slots__ = ()


class Effect(_Named):
    """Output of the core, for the shell to carry out. Subclasses are `attrs.frozen` classes."""

    __slots__ = ()


def kind_by_name(name: str) -> type:
    """Return the message or effect class called `name`; raise KeyError if there is none."""
    return _Named.by_name[name]
