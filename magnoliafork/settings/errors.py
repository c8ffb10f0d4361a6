"""Errors in the settings of a node."""

import dataclasses
import difflib
from collections.abc import Iterable


@dataclasses.dataclass(frozen=True, slots=True)
class Place:
    """Where a setting was given.

    Attributes:
        line: Line in the settings file, from 1, or 0 if it is not there.
        column: Column in the settings file, from 1, or 0.
        variable: Name of the environment variable, or an empty string.
    """

    line: int = 0
    column: int = 0
    variable: str = ""

    def __str__(self) -> str:
        """Formats the place for operators."""
        if self.variable:
            return f"environment {self.variable}"
        if self.line:
            return f"line {self.line}, column {self.column}"
        return "default"


@dataclasses.dataclass(frozen=True, slots=True)
class SettingsError:
    """One error in the settings.

    Attributes:
        name: Dotted name of the setting, such as `listen.peer_port`.
        message: What is wrong and what is allowed.
        place: Where the setting was given.
        suggestion: Known name that is most similar to an unknown one, or an
            empty string.
    """

    name: str
    message: str
    place: Place
    suggestion: str = ""

    def __str__(self) -> str:
        """Formats the error in one line.

        >>> str(SettingsError("logs.levle", "unknown", Place(3, 2), "level"))
        'line 3, column 2: logs.levle: unknown (did you mean level?)'
        """
        where = "settings" if self.place == Place() else str(self.place)
        hint = f" (did you mean {self.suggestion}?)" if self.suggestion else ""
        subject = f"{self.name}: " if self.name else ""
        return f"{where}: {subject}{self.message}{hint}"


def suggest(name: str, known: Iterable[str]) -> str:
    """Returns the known name that is most similar to the given one.

    >>> suggest("peer_prot", ["peer_port", "admin_port"])
    'peer_port'
    """
    matches = difflib.get_close_matches(name, list(known), n=1)
    return matches[0] if matches else ""
