"""Settings commands must find every fault before a node starts."""

import io
import json
import pathlib

from magnoliafork.commands.node_settings import check_settings, show_settings

EXAMPLE = (
    pathlib.Path(__file__).parents[3] / "docs/user-guide/node.example.yaml"
)


def test_check_names_the_file_and_fails(tmp_path: pathlib.Path) -> None:
    """Guards against a broken file that a deployment script accepts."""
    path = tmp_path / "node.yaml"
    path.write_text(EXAMPLE.read_text().replace("host: 10.0.1.11", "host: x"))
    output = io.StringIO()
    assert check_settings(path, {}, output, as_json=False) == 1
    assert output.getvalue() == (
        f"{path}: line 16, column 9: listen.host: must be an IP address, not"
        " 'x'\n"
    )
    as_json = io.StringIO()
    assert check_settings(path, {}, as_json, as_json=True) == 1
    (error,) = json.loads(as_json.getvalue())["errors"]
    assert error["place"]["line"] == 16


def test_missing_or_binary_file_is_an_error(tmp_path: pathlib.Path) -> None:
    """Guards against a traceback for a wrong path."""
    binary = tmp_path / "node.yaml"
    binary.write_bytes(b"\xff\xfe\x00")
    for path in (tmp_path / "none.yaml", tmp_path, binary):
        output = io.StringIO()
        assert check_settings(path, {}, output, as_json=False) == 2
        assert "cannot be read" in output.getvalue()


def test_show_tells_where_values_come_from() -> None:
    """Guards against an override that operators cannot find."""
    output = io.StringIO()
    environment = {
        "MAGNOLIA_LOGS__LEVEL": "debug",
        "MAGNOLIA_ADMIN_TOKEN": "0123456789abcdef",
    }
    assert show_settings(EXAMPLE, environment, output, as_json=False) == 0
    lines = {
        line.split()[0]: line.split()[1:]
        for line in output.getvalue().splitlines()
    }
    assert lines["logs.level"] == [
        "debug",
        "environment",
        "MAGNOLIA_LOGS__LEVEL",
    ]
    assert lines["timeouts.stop_timeout_s"] == ["30.0", "default"]
    assert "0123456789abcdef" not in output.getvalue()
