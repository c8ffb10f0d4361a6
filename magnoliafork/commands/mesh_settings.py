"""Commands that check and show the settings of a mesh node."""

import dataclasses
import inspect
import json
import pathlib
import re
from typing import TextIO

import pydantic

from magnoliafork.commands.exit_codes import ExitCode
from magnoliafork.commands.tables import format_table
from magnoliafork.mesh.settings import MeshSettings, load
from magnoliafork.model.result import Err, Result

_ATTRIBUTE = re.compile(r"^    (\w+): (.*(?:\n        .*)*)", re.MULTILINE)


@dataclasses.dataclass(frozen=True, slots=True)
class DescribedMeshSetting:
    """One setting in force.

    Attributes:
        name: Dotted name.
        value: Value as text.
        origin: `file` or `default`.
        meaning: What it is for.
    """

    name: str
    value: str
    origin: str
    meaning: str


def check_mesh_settings(
    path: pathlib.Path, output: TextIO, as_json: bool
) -> int:
    """Writes all errors of a settings file."""
    result = _read(path)
    errors = result.errors if isinstance(result, Err) else ()
    if as_json:
        output.write(json.dumps({"errors": errors}) + "\n")
    else:
        for text in errors or ("ok",):
            output.write(f"{path}: {text}\n")
    return ExitCode.PROBLEM if errors else ExitCode.OK


def show_mesh_settings(
    path: pathlib.Path, output: TextIO, as_json: bool
) -> int:
    """Writes every setting with its value, its origin and its meaning."""
    result = _read(path)
    if isinstance(result, Err):
        return check_mesh_settings(path, output, as_json)
    described = describe(result.value)
    if as_json:
        value = [dataclasses.asdict(setting) for setting in described]
        output.write(json.dumps(value) + "\n")
        return ExitCode.OK
    rows = [[s.name, s.value, s.origin, s.meaning] for s in described]
    output.write(format_table(["setting", "value", "from", "meaning"], rows))
    return ExitCode.OK


def describe(settings: MeshSettings) -> list[DescribedMeshSetting]:
    """Lists all settings in the order of the sections."""
    described = []
    for section_name in MeshSettings.model_fields:
        section: pydantic.BaseModel = getattr(settings, section_name)
        meanings = dict(_ATTRIBUTE.findall(inspect.getdoc(type(section)) or ""))
        for name in type(section).model_fields:
            is_given = name in section.model_fields_set
            described.append(
                DescribedMeshSetting(
                    f"{section_name}.{name}",
                    str(getattr(section, name)),
                    "file" if is_given else "default",
                    " ".join(meanings.get(name, "").split()),
                )
            )
    return described


def _read(path: pathlib.Path) -> Result[MeshSettings, str]:
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        return Err((f"cannot be read: {error}",))
    return load(text)
