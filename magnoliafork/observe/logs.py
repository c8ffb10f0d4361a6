"""Log lines as JSON with stable event names."""

import dataclasses
import logging
import sys
import time
from collections.abc import Callable, Mapping
from typing import Protocol

from pythonjsonlogger.json import JsonFormatter

from magnoliafork.observe.events import Event
from magnoliafork.observe.output import LineOutput

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
MAX_LIMITED_EVENTS = 256
OTHER_EVENT = "other"
RESERVED_FIELDS = frozenset({"time", "level", "event", "suppressed"})
# Loggers of other modules and libraries, with the lowest level to take.
CAPTURED_LOGGERS = {
    "magnoliafork": logging.DEBUG,
    "aiohttp": logging.WARNING,
    "asyncio": logging.WARNING,
}
_RECORD_ATTRIBUTES = frozenset(
    logging.LogRecord("", 0, "", 0, "", None, None).__dict__
) | {"message", "asctime", "taskName"}


@dataclasses.dataclass(slots=True)
class _Repetition:
    interval_start_s: float
    written: int = 0
    suppressed: int = 0


class LogStream(Protocol):
    """Where lines go: a text file or a `LineOutput`."""

    def write(self, text: str, /) -> int:
        """Takes one line."""
        ...

    def flush(self) -> None:
        """Writes out what is still buffered."""
        ...


class EventLog:
    """Writes events with their fields, one JSON object per line.

    Each event writes at most `burst_lines` lines per `BURST_INTERVAL_S`. The
    first line after that tells how many were left out.
    """

    def __init__(
        self,
        level: str = "info",
        stream: LogStream | None = None,
        clock: Callable[[], float] = time.monotonic,
        burst_lines: int = BURST_LINES,
    ) -> None:
        """Creates a log.

        Args:
            level: One of `LEVELS`.
            stream: Where lines go; standard error by default.
            clock: Clock of the repetition limit, in seconds.
            burst_lines: Lines of one event in `BURST_INTERVAL_S`.
        """
        self._clock = clock
        self._burst_lines = burst_lines
        self._repetitions: dict[str, _Repetition] = {}
        # Not in the logging module's registry, so that several nodes in one
        # process keep their own levels and streams.
        self._logger = logging.Logger("magnoliafork")
        self._stream = stream or sys.stderr
        self._logger.addHandler(_handler(self._stream))
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

    @property
    def dropped_lines(self) -> int:
        """Lines that the output could not take."""
        if isinstance(self._stream, LineOutput):
            return self._stream.dropped_lines
        return 0

    def flush(self) -> None:
        """Writes lines that are still queued; called several times a second."""
        self._stream.flush()

    def debug(self, event: Event, /, **fields: object) -> None:
        """Writes a detail that matters only for debugging."""
        self.write(logging.DEBUG, event, fields)

    def info(self, event: Event, /, **fields: object) -> None:
        """Writes a planned change."""
        self.write(logging.INFO, event, fields)

    def warning(self, event: Event, /, **fields: object) -> None:
        """Writes a fault that the node handles by itself."""
        self.write(logging.WARNING, event, fields)

    def error(self, event: Event, /, **fields: object) -> None:
        """Writes a fault that operators have to handle."""
        self.write(logging.ERROR, event, fields)

    def write(
        self, level: int, event: str, fields: Mapping[str, object]
    ) -> None:
        """Writes an event with a level of the logging module."""
        if not self._logger.isEnabledFor(level):
            return
        suppressed = self._admit(event)
        if suppressed is None:
            return
        line: dict[str, object] = {"event": str(event)}
        for name, value in fields.items():
            key = f"{name}_" if name in RESERVED_FIELDS else name
            line[key] = value
        if suppressed:
            line["suppressed"] = suppressed
        self._logger.log(level, line)

    def _admit(self, event: str) -> int | None:
        """Returns the count of lines left out before, or None to skip this."""
        now_s = self._clock()
        is_new = event not in self._repetitions
        if is_new and len(self._repetitions) >= MAX_LIMITED_EVENTS:
            event = OTHER_EVENT
        repetition = self._repetitions.get(event)
        if repetition is None:
            repetition = self._repetitions[event] = _Repetition(now_s)
        if now_s - repetition.interval_start_s >= BURST_INTERVAL_S:
            repetition.interval_start_s = now_s
            repetition.written = 0
        if repetition.written >= self._burst_lines:
            repetition.suppressed += 1
            return None
        repetition.written += 1
        suppressed = repetition.suppressed
        repetition.suppressed = 0
        return suppressed


def capture_library_logs(log: EventLog) -> Callable[[], None]:
    """Writes the records of the logging module's loggers as events.

    A record may name its event and fields with `extra`; others become
    `library_message`.

    Args:
        log: Log that receives the records.

    Returns:
        A function that ends the capture.
    """
    handler = _ForwardingHandler(log)
    for name, level in CAPTURED_LOGGERS.items():
        logger = logging.getLogger(name)
        logger.setLevel(level)
        logger.addHandler(handler)

    def release() -> None:
        for name in CAPTURED_LOGGERS:
            logging.getLogger(name).removeHandler(handler)

    return release


class _ForwardingHandler(logging.Handler):
    def __init__(self, log: EventLog) -> None:
        super().__init__()
        self._log = log

    def emit(self, record: logging.LogRecord) -> None:
        fields: dict[str, object] = {
            name: value
            for name, value in record.__dict__.items()
            if name not in _RECORD_ATTRIBUTES
        }
        event = str(fields.pop("event", Event.LIBRARY_MESSAGE))
        fields["logger"] = record.name
        fields["message"] = record.getMessage()
        if record.exc_info:
            formatter = logging.Formatter()
            fields["exception"] = formatter.formatException(record.exc_info)
        self._log.write(record.levelno, event, fields)


class _LowerCaseLevelFormatter(JsonFormatter):
    def format(self, record: logging.LogRecord) -> str:
        record.levelname = record.levelname.lower()
        return super().format(record)


def _handler(stream: LogStream) -> logging.Handler:
    handler = logging.StreamHandler(stream)
    handler.setFormatter(
        _LowerCaseLevelFormatter(
            ["levelname"],
            rename_fields={"levelname": "level"},
            timestamp="time",
        )
    )
    return handler
