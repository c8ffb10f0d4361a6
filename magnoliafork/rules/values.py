"""Settings of rules and the readers of their values."""

import dataclasses
import re
from collections.abc import Callable, Mapping

from magnoliafork.model.rules import Priority

# The largest accepted value, 999,999,999 h in ms, is below 2**53, so that a
# float holds it exactly as well.
_NUMBER = re.compile(r"[0-9]{1,9}")
_DURATION = re.compile(r"([0-9]{1,9})(ms|s|m|h)")
_UNIT_MS = {"ms": 1, "s": 1_000, "m": 60_000, "h": 3_600_000}


@dataclasses.dataclass(frozen=True, slots=True)
class ValueReader:
    """Reads the value of a setting as an integer."""

    read: Callable[[str], int | None]
    allowed: str
    choices: tuple[str, ...] = ()


def read_number(text: str) -> int | None:
    """Reads a whole number, or returns None for any other text."""
    return int(text) if _NUMBER.fullmatch(text) else None


def _read_duration_ms(text: str) -> int | None:
    """Reads a duration in milliseconds.

    >>> _read_duration_ms("3s"), _read_duration_ms("3")
    (3000, None)
    """
    match = _DURATION.fullmatch(text)
    if match is None:
        return None
    return int(match.group(1)) * _UNIT_MS[match.group(2)]


def _choice_reader(choices: Mapping[str, int]) -> ValueReader:
    return ValueReader(choices.get, ", ".join(choices), tuple(choices))


_NUMBER_READER = ValueReader(read_number, "a whole number of at most 9 digits")
_DURATION_READER = ValueReader(
    _read_duration_ms, "a whole number with ms, s, m or h, such as 800ms"
)
_PRIORITY_READER = _choice_reader(
    {priority.name.lower(): priority for priority in Priority}
)

SERVICE_SETTINGS = {
    "slots": _NUMBER_READER,
    "connections": _NUMBER_READER,
    "queue": _NUMBER_READER,
    "priority": _PRIORITY_READER,
    "ramp": _DURATION_READER,
    "ramp-start": _NUMBER_READER,
}
ROUTE_SETTINGS = {
    "repeatable": _choice_reader({"yes": 1, "no": 0}),
    "deadline": _DURATION_READER,
    "retries": _NUMBER_READER,
    "hedge": _DURATION_READER,
    "priority": _PRIORITY_READER,
}
