"""Commands that check and show a node's settings."""

import dataclasses
import json
import pathlib
from collections.abc import Mapping
from typing import TextIO

from magnoliafork.commands.exit_codes import ExitCode
from magnoliafork.commands.tables import format_table
from magnoliafork.model.result import Err, Result
from magnoliafork.settings.describe import describe
from magnoliafork.settings.errors import Place, SettingsError
from magnoliafork.settings.load import load
from magnoliafork.settings.model import NodeSettings


def read_settings(
    path: pathlib.Path, environment: Mapping[str, str]
) -> Result[NodeSettings, SettingsError]:
    """Loads a settings file; a file that cannot be read is an error."""
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        return Err((SettingsError("", f"cannot be read: {error}", Place()),))
    return load(text, environment)


def check_settings(
    path: pathlib.Path,
    environment: Mapping[str, str],
    output: TextIO,
    as_json: bool,
) -> int:
    """Writes all errors of a settings file."""
    result = read_settings(path, environment)
    errors = result.errors if isinstance(result, Err) else ()
    if as_json:
        value = [dataclasses.asdict(error) for error in errors]
        output.write(json.dumps({"errors": value}) + "\n")
    else:
        for error in errors:
            output.write(f"{path}: {error}\n")
    if errors:
        return ExitCode.PROBLEM
    if not as_json:
        output.write(f"{path}: ok\n")
    return ExitCode.OK


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
