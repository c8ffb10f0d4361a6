"""Parses YAML text and records the position of every key and value."""

import dataclasses
from collections.abc import Iterator
from typing import Protocol

import yaml

from magnoliafork.model.result import Err, Ok, Result
from magnoliafork.settings.errors import Place, SettingsError

KeyPath = tuple[str | int, ...]


class _Mark(Protocol):
    line: int
    column: int


@dataclasses.dataclass(frozen=True, slots=True)
class Document:
    """A parsed settings file.

    Attributes:
        values: Content of the file.
        keys: Position of each key by its path.
        places: Position of each value by its path.
    """

    values: dict[str, object]
    keys: dict[KeyPath, Place]
    places: dict[KeyPath, Place]


def parse(text: str) -> Result[Document, SettingsError]:
    """Parses a settings file."""
    loader = yaml.SafeLoader(text)
    try:
        # Nested aliases can expand a small file to an enormous value.
        for event in yaml.parse(text, yaml.SafeLoader):
            if isinstance(event, yaml.AliasEvent):
                return _failure("aliases are not supported", event.start_mark)
        root = loader.get_single_node()
        values = {} if root is None else loader.construct_document(root)
    except yaml.MarkedYAMLError as error:
        return _failure(error.problem or "invalid YAML", error.problem_mark)
    except (yaml.YAMLError, ValueError, RecursionError) as error:
        return _failure(f"invalid YAML: {error}", None)
    finally:
        loader.dispose()
    if root is None:
        return Ok(Document({}, {}, {}))
    if not isinstance(values, dict):
        return _failure("must be a mapping of sections", root.start_mark)
    return _locate(root, values)


def _locate(
    root: yaml.Node, values: dict[str, object]
) -> Result[Document, SettingsError]:
    keys: dict[KeyPath, Place] = {}
    places: dict[KeyPath, Place] = {}
    duplicates: list[SettingsError] = []
    for path, key, value in _walk(root, ()):
        if path in keys:
            name = ".".join(str(step) for step in path)
            message = f"given twice, first at {keys[path]}"
            duplicates.append(SettingsError(name, message, _place(key)))
        keys[path] = _place(key)
        places[path] = _place(value)
    if duplicates:
        return Err(tuple(duplicates))
    return Ok(Document(values, keys, places))


def _walk(
    node: yaml.Node, path: KeyPath
) -> Iterator[tuple[KeyPath, yaml.Node, yaml.Node]]:
    if isinstance(node, yaml.MappingNode):
        for key, value in node.value:
            child: KeyPath = (*path, str(key.value))
            yield child, key, value
            yield from _walk(value, child)
    if isinstance(node, yaml.SequenceNode):
        for index, value in enumerate(node.value):
            yield (*path, index), value, value
            yield from _walk(value, (*path, index))


def _place(node: yaml.Node) -> Place:
    return Place(node.start_mark.line + 1, node.start_mark.column + 1)


def _failure(
    message: str, mark: _Mark | None
) -> Result[Document, SettingsError]:
    place = Place() if mark is None else Place(mark.line + 1, mark.column + 1)
    return Err((SettingsError("", message, place),))
