"""Errors of the text, with their place and what to write instead."""

from attrs import frozen


@frozen(order=True)
class TextError:
    """One error: line and column from 1, the path of the setting, what is wrong, what to write."""

    line: int
    column: int
    path: str
    message: str
    advice: str = ""

    def __str__(self) -> str:
        place = f"line {self.line}, column {self.column}: "
        where = f"{self.path}: " if self.path else ""
        advice = f"; {self.advice}" if self.advice else ""
        return f"{place}{where}{self.message}{advice}"
