"""Named safety rules, which a trace can switch off to show what they prevent."""


class Rules:
    """The safety rules that are switched off; every rule is on by default.

    Only traces and tests switch a rule off. A subsystem checks `world.rules.on("permit_wait")`
    where it applies the rule.
    """

    __slots__ = ("_off",)

    def __init__(self) -> None:
        self._off: set[str] = set()

    def on(self, name: str) -> bool:
        """Return whether the rule is on."""
        return name not in self._off

    def switch_off(self, name: str) -> None:
        """Switch the rule off for the life of this object."""
        self._off.add(name)
