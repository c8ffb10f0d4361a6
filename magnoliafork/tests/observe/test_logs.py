"""Log lines must stay readable by machines and bounded in number."""

import io
import json
import logging

from magnoliafork.observe.events import Event
from magnoliafork.observe.logs import (
    BURST_INTERVAL_S,
    BURST_LINES,
    EventLog,
    capture_library_logs,
)


class Clock:
    def __init__(self) -> None:
        self.now_s = 0.0

    def __call__(self) -> float:
        return self.now_s


def lines_of(stream: io.StringIO) -> list[dict[str, object]]:
    return [json.loads(line) for line in stream.getvalue().splitlines()]


def test_line_is_json_with_event_and_fields() -> None:
    """Guards against lines that a log collector cannot parse."""
    stream = io.StringIO()
    log = EventLog(stream=stream)
    log.warning(
        Event.PEER_LOST, peer="a\n2", reason=OSError("gone"), event="x", msg=1
    )
    (line,) = lines_of(stream)
    assert line.pop("time")
    assert line == {
        "level": "warning",
        "event": "peer_lost",
        "peer": "a\n2",
        "reason": "OSError: gone",
        "event_": "x",
        "msg": 1,
    }


def test_repeated_event_is_limited_and_counted() -> None:
    """Guards against a fault that floods the log with every request."""
    stream, clock = io.StringIO(), Clock()
    log = EventLog(stream=stream, clock=clock)
    for _ in range(BURST_LINES + 7):
        log.error(Event.UPSTREAM_REFUSED)
    log.error(Event.CLOCK_JUMPED)
    assert len(lines_of(stream)) == BURST_LINES + 1
    clock.now_s += BURST_INTERVAL_S
    log.error(Event.UPSTREAM_REFUSED)
    assert lines_of(stream)[-1]["suppressed"] == 7


def test_level_changes_at_run_time() -> None:
    """Guards against a restart that is needed to see details."""
    stream = io.StringIO()
    log = EventLog(level="error", stream=stream)
    log.info(Event.NODE_READY)
    assert log.set_level("debug")
    log.debug(Event.NODE_READY)
    assert not log.set_level("loud")
    assert [line["level"] for line in lines_of(stream)] == ["debug"]


def test_records_of_other_loggers_become_events() -> None:
    """Guards against lines of libraries that break the JSON stream."""
    stream = io.StringIO()
    release = capture_library_logs(EventLog(stream=stream))
    logger = logging.getLogger("magnoliafork.wire")
    try:
        logger.warning("bad %s", "frame", extra={"event": "e", "peer": "a-1"})
        try:
            raise ValueError("cause")
        except ValueError:
            logging.getLogger("aiohttp.server").exception("failed")
        logger.debug("below the level")
    finally:
        release()
    named, failed = lines_of(stream)
    assert named.pop("time")
    assert named == {
        "level": "warning",
        "event": "e",
        "peer": "a-1",
        "logger": "magnoliafork.wire",
        "message": "bad frame",
    }
    assert failed["event"] == "library_message"
    assert "ValueError: cause" in str(failed["exception"])
