"""Commands that check and show a node's settings."""

import dataclasses
import json
import pathlib
from collections.abc import Mapping, Sequence
from typing import TextIO

from magnoliafork.commands.exit_codes import ExitCode
from magnoliafork.commands.tables import format_table
from magnoliafork.model.result import Err, Ok, Result
from magnoliafork.settings.describe import describe
from magnoliafork.settings.errors import Place, SettingsError
from magnoliafork.settings.load import load
from magnoliafork.settings.model import NodeSettings


def read_settings(
    path: pathlib.Path, environment: Mapping[str, str]
) -> Result[NodeSettings, SettingsError]:
    """Loads a settings file; a file that cannot be read is an error."""
    text = _read_text(path)
    if isinstance(text, Err):
        return Err(text.errors)
    return load(text.value, environment)


def check_settings(
    path: pathlib.Path,
    environment: Mapping[str, str],
    output: TextIO,
    as_json: bool,
) -> int:
    """Writes all errors of a settings file."""
    text = _read_text(path)
    if isinstance(text, Err):
        _write_errors(path, text.errors, output, as_json)
        return ExitCode.USAGE
    result = load(text.value, environment)
    errors = result.errors if isinstance(result, Err) else ()
    _write_errors(path, errors, output, as_json)
    return ExitCode.PROBLEM if errors else ExitCode.OK


def show_settings(
    path: pathlib.Path,
    environment: Mapping[str, str],
    output: TextIO,
    as_json: bool,
) -> int:
    """Writes every setting with its value and where it comes from."""
    result = read_settings(path, environment)
    if isinstance(result, Err):
        return check_settings(path, environment, output, as_json)
    described = describe(result.value)
    if as_json:
        value = [dataclasses.asdict(setting) for setting in described]
        output.write(json.dumps(value) + "\n")
        return ExitCode.OK
    rows = [[s.name, s.value, s.origin] for s in described]
    output.write(format_table(["setting", "value", "from"], rows))
    return ExitCode.OK


def _read_text(path: pathlib.Path) -> Result[str, SettingsError]:
    try:
        return Ok(path.read_text(encoding="utf-8"))
    except (OSError, UnicodeDecodeError) as error:
        return Err((SettingsError("", f"cannot be read: {error}", Place()),))


def _write_errors(
    path: pathlib.Path,
    errors: Sequence[SettingsError],
    output: TextIO,
    as_json: bool,
) -> None:
    if as_json:
        value = [dataclasses.asdict(error) for error in errors]
        output.write(json.dumps({"errors": value}) + "\n")
        return
    for error in errors:
        output.write(f"{path}: {error}\n")
    if not errors:
        output.write(f"{path}: ok\n")
