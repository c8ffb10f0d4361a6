"""Commands must check and show mesh settings without starting a node."""

import io
import json
import pathlib

from magnoliafork.commands.exit_codes import ExitCode
from magnoliafork.commands.mesh_settings import (
    check_mesh_settings,
    show_mesh_settings,
)

GOOD = """
node: {host: 10.1.0.8, zone: joliette, service: shop}
addresses:
  callers: 10.1.0.8:8304
  peers: 10.1.0.8:8300
  ready: 10.1.0.8:8302
  metrics: 10.1.0.8:7620
  upstream: 10.1.0.8:8301
  store: 10.2.0.7:8309
bounds: {grace_period_s: 4}
"""


def written(folder: pathlib.Path, text: str) -> pathlib.Path:
    path = folder / "node.yaml"
    path.write_text(text, encoding="utf-8")
    return path


def test_every_setting_has_a_value_an_origin_and_a_meaning(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against a setting without a description or a wrong origin."""
    output = io.StringIO()
    path = written(tmp_path, GOOD)
    assert show_mesh_settings(path, output, as_json=True) == ExitCode.OK
    shown = {s["name"]: s for s in json.loads(output.getvalue())}
    assert shown["bounds.grace_period_s"]["value"] == "4.0"
    assert shown["bounds.grace_period_s"]["origin"] == "file"
    assert shown["bounds.cold_rate_factor"]["origin"] == "default"
    assert all(s["meaning"].endswith(".") for s in shown.values())


def test_all_errors_are_reported_at_once(tmp_path: pathlib.Path) -> None:
    """Guards against a check that stops at the first error."""
    output = io.StringIO()
    path = written(
        tmp_path, GOOD.replace(":8304", "").replace("host: 10.1.0.8, ", "")
    )
    assert check_mesh_settings(path, output, as_json=False) == ExitCode.PROBLEM
    assert "node.host" in output.getvalue()
    assert "addresses.callers" in output.getvalue()


def test_missing_file_is_an_error(tmp_path: pathlib.Path) -> None:
    """Guards against a traceback for a wrong path."""
    output = io.StringIO()
    path = tmp_path / "none.yaml"
    assert show_mesh_settings(path, output, as_json=False) == ExitCode.PROBLEM
    assert "cannot be read" in output.getvalue()


def test_table_has_a_line_for_each_setting(tmp_path: pathlib.Path) -> None:
    """Guards against a table that leaves out a section."""
    output = io.StringIO()
    path = written(tmp_path, GOOD)
    assert show_mesh_settings(path, output, as_json=False) == ExitCode.OK
    assert "logs.level" in output.getvalue()
