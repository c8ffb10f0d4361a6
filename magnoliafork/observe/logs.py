"""Log lines as JSON with stable event names."""

import dataclasses
import logging
import sys
import time
from collections.abc import Callable
from typing import TextIO

from pythonjsonlogger.json import JsonFormatter

from magnoliafork.observe.events import Event

LEVELS = {
    "debug": logging.DEBUG,
    "info": logging.INFO,
    "warning": logging.WARNING,
    "error": logging.ERROR,
}
# A fault that repeats with every request must not fill the disk of the
# platform's log collector.
BURST_LINES = 10
BURST_INTERVAL_S = 10.0
RESERVED_FIELDS = frozenset({"time", "level", "event", "suppressed"})


@dataclasses.dataclass(slots=True)
class _Repetition:
    interval_start_s: float
    written: int = 0
    suppressed: int = 0


class EventLog:
    """Writes events with their fields, one JSON object per line.

    Each event writes at most `BURST_LINES` lines per `BURST_INTERVAL_S`. The
    first line after that tells how many were left out.
    """

    def __init__(
        self,
        level: str = "info",
        stream: TextIO | None = None,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        """Creates a log.

        Args:
            level: One of `LEVELS`.
            stream: Where lines go; standard error by default.
            clock: Clock of the repetition limit, in seconds.
        """
        self._clock = clock
        self._repetitions: dict[Event, _Repetition] = {}
        # Not in the logging module's registry, so that several nodes in one
        # process keep their own levels and streams.
        self._logger = logging.Logger("magnoliafork")
        self._logger.addHandler(_handler(stream or sys.stderr))
        self._level = "info"
        self.set_level(level)

    @property
    def level(self) -> str:
        """Lowest level that is written."""
        return self._level

    def set_level(self, level: str) -> bool:
        """Changes the level; returns False if there is no such level."""
        if level not in LEVELS:
            return False
        self._level = level
        self._logger.setLevel(LEVELS[level])
        return True

    def debug(self, event: Event, /, **fields: object) -> None:
        """Writes a detail that matters only while searching a fault."""
        self._write(logging.DEBUG, event, fields)

    def info(self, event: Event, /, **fields: object) -> None:
        """Writes a planned change."""
        self._write(logging.INFO, event, fields)

    def warning(self, event: Event, /, **fields: object) -> None:
        """Writes a fault that the node handles by itself."""
        self._write(logging.WARNING, event, fields)

    def error(self, event: Event, /, **fields: object) -> None:
        """Writes a fault that operators have to handle."""
        self._write(logging.ERROR, event, fields)

    def _write(
        self, level: int, event: Event, fields: dict[str, object]
    ) -> None:
        if not self._logger.isEnabledFor(level):
            return
        suppressed = self._admit(event)
        if suppressed is None:
            return
        line: dict[str, object] = {"event": event.value}
        for name, value in fields.items():
            key = f"{name}_" if name in RESERVED_FIELDS else name
            line[key] = value
        if suppressed:
            line["suppressed"] = suppressed
        self._logger.log(level, line)

    def _admit(self, event: Event) -> int | None:
        """Returns the lines left out before this one, or None to skip it."""
        now_s = self._clock()
        repetition = self._repetitions.get(event)
        if repetition is None:
            repetition = self._repetitions[event] = _Repetition(now_s)
        if now_s - repetition.interval_start_s >= BURST_INTERVAL_S:
            repetition.interval_start_s = now_s
            repetition.written = 0
        if repetition.written >= BURST_LINES:
            repetition.suppressed += 1
            return None
        repetition.written += 1
        suppressed = repetition.suppressed
        repetition.suppressed = 0
        return suppressed


class _LowerCaseLevelFormatter(JsonFormatter):
    def format(self, record: logging.LogRecord) -> str:
        record.levelname = record.levelname.lower()
        return super().format(record)


def _handler(stream: TextIO) -> logging.Handler:
    handler = logging.StreamHandler(stream)
    handler.setFormatter(
        _LowerCaseLevelFormatter(
            ["levelname"],
            rename_fields={"levelname": "level"},
            timestamp="time",
        )
    )
    return handler
