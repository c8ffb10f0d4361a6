"""Errors of a rules file, with their positions."""

import dataclasses
import difflib
from collections.abc import Iterable

# Longer words are not compared, which would be slow; names have at most 128
# characters.
_MAX_COMPARED_LENGTH = 160


@dataclasses.dataclass(frozen=True, order=True, slots=True)
class RuleError:
    """One error of a rules file.

    Attributes:
        line: Line number from 1, or 0 when the error concerns no line.
        column: Column number from 1, in characters, or 0 for the whole line.
        message: What is wrong.
        allowed: What is allowed instead.
        suggestion: Name that the author probably meant, or an empty string.
    """

    line: int
    column: int
    message: str
    allowed: str
    suggestion: str = ""

    def __str__(self) -> str:
        """Returns the error as one line of text."""
        text = f"{self.line}:{self.column}: {self.message}"
        if self.allowed:
            text += f"; allowed: {self.allowed}"
        if self.suggestion:
            text += f"; did you mean {self.suggestion!r}?"
        return text


def closest_name(given: str, candidates: Iterable[str]) -> str:
    """Returns the candidate most similar to the given name.

    >>> closest_name("commisions", ["patterns", "commissions"])
    'commissions'
    >>> closest_name("x", ["patterns"])
    ''
    """
    if len(given) > _MAX_COMPARED_LENGTH:
        return ""
    names = [name for name in candidates if len(name) <= _MAX_COMPARED_LENGTH]
    matches = difflib.get_close_matches(given, names, n=1)
    return matches[0] if matches else ""
