"""The `story` command must find a request in the logs of several nodes."""

import json
import pathlib

from typer.testing import CliRunner

from magnoliafork.cli import app
from magnoliafork.commands import story

ID = "3bd8ec09144058aa"


def line(time: str, node: str, event: str, **fields: object) -> str:
    values = {
        "level": "info",
        "event": event,
        "request_id": f"{ID}/10.1.0.19-312",
        "time": time,
        **fields,
    }
    return f"{node} {json.dumps(values)}"


LOG = [
    line("2026-08-09T09:07:32.89", "a-2", "request_failed", reached=1),
    "not json",
    line("2026-08-09T09:07:32.76", "a-2", "request_retried", upstream="i-1"),
    line("2026-08-09T09:07:32.88", "c-1", "call_broken", detail="reset"),
    line("2026-08-09T09:07:32.70", "c-1", "x", request_id=f"{ID}f/9"),
    '{"request_id": "3bd8ec',
]


def test_lines_of_all_nodes_are_in_the_order_of_time() -> None:
    """Guards against lines of other requests and lines out of order."""
    found = story.find(ID, LOG)
    assert [fields["event"] for fields in found] == [
        "request_retried",
        "call_broken",
        "request_failed",
    ]
    assert [fields["source"] for fields in found] == ["a-2", "c-1", "a-2"]


def test_command_reads_several_files(tmp_path: pathlib.Path) -> None:
    """Guards against a command that reads only one of its log files."""
    first, second = tmp_path / "a.log", tmp_path / "c.log"
    first.write_text("\n".join(LOG[:3]))
    second.write_text("\n".join(LOG[3:]))
    result = CliRunner().invoke(app, ["story", ID, str(first), str(second)])
    assert result.exit_code == 0
    assert "call_broken detail=reset" in result.output


def test_unknown_request_is_reported(tmp_path: pathlib.Path) -> None:
    """Guards against empty output that looks like success."""
    path = tmp_path / "a.log"
    path.write_text("\n".join(LOG))
    result = CliRunner().invoke(app, ["story", "ffff", str(path)])
    assert result.exit_code == 1
    assert "no log line" in result.output
