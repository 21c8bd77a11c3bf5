"""Named rules that a trace can switch off to show what they prevent."""


class Rules:
    """Hold the names of the rules that are switched off; all are on by default.

    Only traces and tests switch a rule off. A subsystem asks `world.rules.on("permit_wait")` at
    the place where the rule applies.
    """

    __slots__ = ("_off",)

    def __init__(self) -> None:
        self._off: set[str] = set()

    def on(self, name: str) -> bool:
        """Tell whether the rule applies."""
        return name not in self._off

    def switch_off(self, name: str) -> None:
        """Stop applying the rule."""
        self._off.add(name)
