"""A log pipe that nothing reads must not block or end the process."""

import fcntl
import io
import json
import os
from collections.abc import Iterator

import pytest

from magnoliafork.observe.events import Event
from magnoliafork.observe.logs import EventLog
from magnoliafork.observe.output import MAX_PENDING_BYTES, LineOutput


@pytest.fixture
def pipe() -> Iterator[tuple[int, int]]:
    read_end, write_end = os.pipe()
    # A small pipe fills quickly.
    fcntl.fcntl(write_end, fcntl.F_SETPIPE_SZ, 4096)
    yield read_end, write_end
    os.close(read_end)
    os.close(write_end)


def read_all(read_end: int, output: LineOutput) -> bytes:
    os.set_blocking(read_end, False)
    data = b""
    while True:
        try:
            data += os.read(read_end, 65536)
        except BlockingIOError:
            return data
        output.flush()


def test_lines_wait_while_nobody_reads(pipe: tuple[int, int]) -> None:
    """Guards against a full pipe that blocks the event loop, or lost lines."""
    read_end, write_end = pipe
    output = LineOutput(write_end)
    log = EventLog("info", output, burst_lines=10_000)
    for number in range(500):
        log.info(Event.CALL_REFUSED, number=number, detail="x" * 40)
    lines = read_all(read_end, output).decode().splitlines()
    assert [json.loads(line)["number"] for line in lines] == list(range(500))
    assert log.dropped_lines == 0


def test_memory_of_waiting_lines_is_bounded(pipe: tuple[int, int]) -> None:
    """Guards against memory that grows while nothing reads the pipe."""
    read_end, write_end = pipe
    output = LineOutput(write_end)
    line = "y" * 999 + "\n"
    count = 2 * MAX_PENDING_BYTES // len(line)
    for _ in range(count):
        output.write(line)
        output.flush()
    written = read_all(read_end, output).count(b"\n")
    assert output.dropped_lines > 0
    assert written + output.dropped_lines == count


def test_line_longer_than_a_chunk_is_whole(pipe: tuple[int, int]) -> None:
    """Guards against a long line that is cut at the limit of one write."""
    read_end, write_end = pipe
    output = LineOutput(write_end)
    text = "z" * 20_000 + "\n"
    output.write(text)
    output.flush()
    assert read_all(read_end, output) == text.encode()


def test_closed_pipe_does_not_end_the_process() -> None:
    """Guards against a crash when the log collector closes the pipe."""
    read_end, write_end = os.pipe()
    os.close(read_end)
    log = EventLog("info", LineOutput(write_end))
    for _ in range(5):
        log.info(Event.CALL_REFUSED)
    log.flush()
    assert log.dropped_lines == 5
    os.close(write_end)


def test_plain_streams_drop_nothing() -> None:
    """Guards against a count of dropped lines that fails without a pipe."""
    assert EventLog("info", io.StringIO()).dropped_lines == 0
