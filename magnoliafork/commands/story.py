"""Finds the log lines of one request in the logs of several nodes."""

import json
from collections.abc import Iterable
from typing import Any, TextIO

from magnoliafork.commands.exit_codes import ExitCode

LogLine = dict[str, Any]

_ID_FIELD = "request_id"


def parse(line: str) -> LogLine | None:
    """Returns the JSON object of a log line; None if it holds none.

    A log collector may prefix a line, for example with the time and the host.

    >>> parse('7.5 node-1 {"event": "call_refused"}')
    {'event': 'call_refused', 'source': '7.5 node-1'}
    """
    start = line.find("{")
    if start < 0:
        return None
    try:
        fields = json.loads(line[start:])
    except ValueError:
        return None
    if not isinstance(fields, dict):
        return None
    source = line[:start].strip()
    return {**fields, "source": source} if source else fields


def find(request_id: str, lines: Iterable[str]) -> list[LogLine]:
    """Returns the lines of a request in the order of their time.

    Args:
        request_id: The caller's attempt id, or the whole id of a log line.
        lines: Lines of any number of nodes.
    """
    found = []
    for line in lines:
        if request_id not in line:
            continue
        fields = parse(line)
        if fields is None:
            continue
        known = str(fields.get(_ID_FIELD, ""))
        if known == request_id or known.startswith(f"{request_id}/"):
            found.append(fields)
    return sorted(found, key=lambda fields: str(fields.get("time", "")))


def write(
    request_id: str, lines: Iterable[str], output: TextIO, as_json: bool
) -> int:
    """Writes the lines of a request; returns the exit code."""
    found = find(request_id, lines)
    if as_json:
        output.write(json.dumps(found) + "\n")
    else:
        for fields in found:
            output.write(render(fields) + "\n")
    if found:
        return ExitCode.OK
    if not as_json:
        output.write(f"no log line names the request {request_id}\n")
    return ExitCode.PROBLEM


def render(fields: LogLine) -> str:
    """Returns one line of text.

    >>> render({"time": "t", "event": "call_refused", "reason": "leaving"})
    't call_refused reason=leaving'
    """
    first = [
        str(fields[name])
        for name in ("time", "source", "event")
        if name in fields
    ]
    shown = {"time", "source", "event", "level", _ID_FIELD}
    rest = [
        f"{name}={_text(value)}"
        for name, value in fields.items()
        if name not in shown
    ]
    return " ".join([*first, *rest])


def _text(value: Any) -> str:
    if isinstance(value, list):
        return ",".join(str(item) for item in value)
    return str(value)
