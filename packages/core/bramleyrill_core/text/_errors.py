"""Errors of the text, with their positions and corrections."""

from attrs import frozen


@frozen(order=True)
class TextError:
    """One error in the text.

    `line` and `column` count from 1. `path` is the dotted path of the setting, `message` says what
    is wrong, and `advice` what to write instead.
    """

    line: int
    column: int
    path: str
    message: str
    advice: str = ""

    def __str__(self) -> str:
        position = f"line {self.line}, column {self.column}: "
        path = f"{self.path}: " if self.path else ""
        advice = f"; {self.advice}" if self.advice else ""
        return f"{position}{path}{self.message}{advice}"
