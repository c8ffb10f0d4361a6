"""Loads the settings of a node from YAML text and the environment."""

import copy
from collections.abc import Mapping
from typing import Any

import pydantic
from pydantic.fields import FieldInfo

from magnoliafork.model.result import Err, Ok, Result
from magnoliafork.settings import yaml_document
from magnoliafork.settings.errors import Place, SettingsError, suggest
from magnoliafork.settings.model import NodeSettings, Section

VARIABLE_PREFIX = "MAGNOLIA_"
SECTION_SEPARATOR = "__"
# Names the settings file, so it is not the override of a setting.
SETTINGS_FILE_VARIABLE = "MAGNOLIA_SETTINGS"

_Input = dict[str, object]


def load(
    text: str, environment: Mapping[str, str]
) -> Result[NodeSettings, SettingsError]:
    """Loads settings and reports all errors at once.

    Args:
        text: Content of the settings file.
        environment: Environment variables; `MAGNOLIA_SECTION__KEY` overrides
            the key of a section, and `MAGNOLIA_ADMIN_TOKEN` the token.
    """
    parsed = yaml_document.parse(text)
    if isinstance(parsed, Err):
        return Err(parsed.errors)
    document = parsed.value
    values = copy.deepcopy(document.values)
    places = dict(document.places)
    errors = _apply_environment(values, places, environment)
    try:
        settings = NodeSettings.model_validate(values)
    except pydantic.ValidationError as failure:
        errors += [
            _to_error(detail, document.keys, places)
            for detail in failure.errors(include_url=False)
        ]
    if errors:
        return Err(tuple(sorted(errors, key=_report_order)))
    named = {_dotted(path): place for path, place in places.items()}
    return Ok(settings.with_places(named))


def known_settings() -> dict[str, FieldInfo]:
    """Returns every setting by its dotted name."""
    known: dict[str, FieldInfo] = {}
    for section_name, section in NodeSettings.model_fields.items():
        model = section.annotation
        if isinstance(model, type) and issubclass(model, Section):
            for key, field in model.model_fields.items():
                known[f"{section_name}.{key}"] = field
        else:
            known[section_name] = section
    return known


def variable_of(name: str) -> str:
    """Returns the environment variable that overrides a setting.

    >>> variable_of("listen.peer_port")
    'MAGNOLIA_LISTEN__PEER_PORT'
    """
    return VARIABLE_PREFIX + name.replace(".", SECTION_SEPARATOR).upper()


def _apply_environment(
    values: _Input,
    places: dict[yaml_document.KeyPath, Place],
    environment: Mapping[str, str],
) -> list[SettingsError]:
    by_variable = {variable_of(name): name for name in known_settings()}
    errors: list[SettingsError] = []
    for variable, text in sorted(environment.items()):
        if not variable.startswith(VARIABLE_PREFIX):
            continue
        if variable == SETTINGS_FILE_VARIABLE:
            continue
        place = Place(variable=variable)
        name = by_variable.get(variable)
        if name is None:
            hint = suggest(variable, by_variable)
            errors.append(SettingsError("", "unknown setting", place, hint))
            continue
        path = tuple(name.split("."))
        _set(values, path, text)
        for old in [old for old in places if old[: len(path)] == path]:
            del places[old]
        places[path] = place
    return errors


def _set(values: _Input, path: tuple[str, ...], text: str) -> None:
    if len(path) == 1:
        values[path[0]] = text
        return
    section = values.get(path[0])
    if section is None:
        section = values[path[0]] = {}
    if isinstance(section, dict):
        section[path[1]] = text


def _to_error(
    detail: Any,
    keys: Mapping[yaml_document.KeyPath, Place],
    places: Mapping[yaml_document.KeyPath, Place],
) -> SettingsError:
    path: yaml_document.KeyPath = detail["loc"]
    kind: str = detail["type"]
    name = _dotted(path)
    if kind in ("extra_forbidden", "invalid_key"):
        key = str(path[-1])
        path = (*path[:-1], key)
        hint = suggest(key, _siblings(path))
        place = keys.get(path, Place())
        return SettingsError(name, "unknown setting", place, hint)
    if kind == "missing":
        message = f"required; set it here or with {variable_of(name)}"
        place = _enclosing_place(path[:-1], keys)
        return SettingsError(name, message, place)
    place = _enclosing_place(path, places)
    return SettingsError(name, _message(detail), place)


def _message(detail: Any) -> str:
    if detail["type"] == "string_pattern_mismatch":
        return (
            "must be 1 to 63 small letters, digits or '-', and start with a"
            " letter"
        )
    if detail["type"] == "string_type":
        return "must be text; put quotes around a number"
    if detail["type"] in ("model_type", "model_attributes_type"):
        return "must be a mapping of settings"
    message = str(detail["msg"])
    if message.startswith("Input should be "):
        message = "must be " + message.removeprefix("Input should be ")
    return message


def _siblings(path: yaml_document.KeyPath) -> list[str]:
    if len(path) == 1:
        return list(NodeSettings.model_fields)
    prefix = f"{path[0]}."
    return [
        name.removeprefix(prefix)
        for name in known_settings()
        if name.startswith(prefix)
    ]


def _enclosing_place(
    path: yaml_document.KeyPath, places: Mapping[yaml_document.KeyPath, Place]
) -> Place:
    while path:
        if path in places:
            return places[path]
        path = path[:-1]
    return Place()


def _dotted(path: yaml_document.KeyPath) -> str:
    return ".".join(str(step) for step in path)


def _report_order(error: SettingsError) -> tuple[int, int, str, str]:
    place = error.place
    return (place.line, place.column, place.variable, error.name)
