"""Commands on rules files: check, build, diff and explain.

Each function writes its result to a text stream and returns an exit code.
A path names a rules file or a folder that `build` has written.
"""

import dataclasses
import json
import os
import pathlib
from collections.abc import Mapping, Sequence
from typing import TextIO

from magnoliafork.model.manifest import Manifest
from magnoliafork.model.result import Err
from magnoliafork.rules import build as building
from magnoliafork.rules import diff as differ
from magnoliafork.rules import explain as explaining
from magnoliafork.rules import report
from magnoliafork.rules.document import RuleDocument
from magnoliafork.rules.errors import RuleError
from magnoliafork.snapshot.assemble import (
    assemble,
    parse_manifest,
    read_document,
)
from magnoliafork.snapshot.errors import ConfigError

EXIT_OK = 0
# Errors in the rules, differences found, or no route found.
EXIT_PROBLEM = 1
# A file cannot be read or written, or the arguments contradict each other.
EXIT_USAGE = 2

MANIFEST_FILE = "manifest"
PARTS_FOLDER = "parts"
BUNDLES_FOLDER = "bundles"


@dataclasses.dataclass(frozen=True, slots=True)
class _Failure:
    """A command that ends early."""

    exit_code: int
    errors: tuple[Mapping[str, object], ...]


def check(path: pathlib.Path, out: TextIO, *, as_json: bool = False) -> int:
    """Reports all errors of a rules file or a built folder."""
    document = _load(path)
    if isinstance(document, _Failure):
        return _report_failure(document, out, as_json)
    counts = {
        "zones": len(document.zones),
        "services": len(document.services),
        "routes": len(document.routes),
        "drains": len(document.drains),
    }
    if as_json:
        _write_json(out, {"ok": True, "counts": counts})
    else:
        listed = ", ".join(f"{count} {name}" for name, count in counts.items())
        out.write(f"{path}: no errors ({listed})\n")
    return EXIT_OK


def build(
    path: pathlib.Path,
    folder: pathlib.Path,
    out: TextIO,
    *,
    version_number: int | None = None,
    after: pathlib.Path | None = None,
    as_json: bool = False,
) -> int:
    """Writes the manifest and the parts of a rules file into a folder.

    Args:
        path: Rules file.
        folder: Folder for `manifest`, `parts/<digest>` and
            `bundles/<version digest>/<index>`; the manifest is written last,
            and one of a higher version is not replaced.
        out: Stream for the result.
        version_number: Version number to use.
        after: Manifest of the previous version, as an alternative to
            `version_number`.
        as_json: Whether to write JSON.
    """
    built = _build(path, folder, version_number, after)
    if isinstance(built, _Failure):
        return _report_failure(built, out, as_json)
    try:
        written = _write_build(built, folder)
    except OSError as error:
        failure = _usage_failure(folder, f"cannot write: {error.strerror}")
        return _report_failure(failure, out, as_json)
    version = built.manifest.version()
    if as_json:
        _write_json(
            out,
            {
                "ok": True,
                "version_number": version.number,
                "digest": version.digest,
                "parts": len(built.parts),
                "new_parts": written,
            },
        )
    else:
        out.write(
            f"version {version.number} ({version.digest}): "
            f"{len(built.parts)} parts, {written} of them new\n"
        )
    return EXIT_OK


def diff(
    old: pathlib.Path,
    new: pathlib.Path,
    out: TextIO,
    *,
    as_json: bool = False,
) -> int:
    """Reports the rules that differ between two versions."""
    old_document = _load(old)
    if isinstance(old_document, _Failure):
        return _report_failure(old_document, out, as_json)
    new_document = _load(new)
    if isinstance(new_document, _Failure):
        return _report_failure(new_document, out, as_json)
    changes = differ.diff(old_document, new_document)
    if as_json:
        values = [report.change_value(change) for change in changes]
        _write_json(out, {"ok": True, "changes": values})
    else:
        for change in changes:
            out.writelines(f"{line}\n" for line in report.change_lines(change))
    return EXIT_PROBLEM if changes else EXIT_OK


def explain(
    path: pathlib.Path,
    method: str,
    host: str,
    request_path: str,
    out: TextIO,
    *,
    as_json: bool = False,
) -> int:
    """Reports the route that a request takes, why, and who asked for it."""
    document = _load(path)
    if isinstance(document, _Failure):
        return _report_failure(document, out, as_json)
    explanation = explaining.explain(
        document.to_rule_set(), method, host, request_path
    )
    if as_json:
        _write_json(out, report.explanation_value(explanation))
    else:
        lines = report.explanation_lines(explanation)
        out.writelines(f"{line}\n" for line in lines)
    if isinstance(explanation, explaining.NoRoute):
        return EXIT_PROBLEM
    return EXIT_OK


def _load(path: pathlib.Path) -> RuleDocument | _Failure:
    if path.is_dir():
        return _load_folder(path)
    text = _read_text(path)
    if isinstance(text, _Failure):
        return text
    loaded = building.load(text)
    if isinstance(loaded, Err):
        return _rule_failure(path, loaded.errors)
    return loaded.value.document


def _load_folder(folder: pathlib.Path) -> RuleDocument | _Failure:
    manifest = _read_manifest(folder / MANIFEST_FILE)
    if isinstance(manifest, _Failure):
        return manifest
    parts: dict[str, bytes] = {}
    for ref in manifest.parts:
        try:
            content = (folder / PARTS_FOLDER / ref.digest).read_bytes()
        except FileNotFoundError:
            # The assembly reports it with other missing or damaged parts.
            continue
        except OSError as error:
            return _usage_failure(folder, f"cannot read: {error.strerror}")
        parts[ref.digest] = content
    document = read_document(manifest, parts)
    if isinstance(document, Err):
        return _config_failure(folder, document.errors)
    return document.value


def _build(
    path: pathlib.Path,
    folder: pathlib.Path,
    version_number: int | None,
    after: pathlib.Path | None,
) -> building.Build | _Failure:
    number = _next_number(path, version_number, after)
    if isinstance(number, _Failure):
        return number
    text = _read_text(path)
    if isinstance(text, _Failure):
        return text
    built = building.build(text, number)
    if isinstance(built, Err):
        return _rule_failure(path, built.errors)
    checked = assemble(built.value.manifest, built.value.parts)
    if isinstance(checked, Err):
        raise AssertionError(f"nodes would reject the build: {checked.errors}")
    return _refuse_lower(built.value, folder)


def _next_number(
    path: pathlib.Path,
    version_number: int | None,
    after: pathlib.Path | None,
) -> int | _Failure:
    if version_number is not None and after is None:
        return version_number
    if after is not None and version_number is None:
        previous = _read_manifest(after)
        if isinstance(previous, _Failure):
            return previous
        return previous.version_number + 1
    return _usage_failure(
        path, "give either a version number or the previous manifest"
    )


def _refuse_lower(
    built: building.Build, folder: pathlib.Path
) -> building.Build | _Failure:
    """Refuses a lower version, or another one with the same number."""
    path = folder / MANIFEST_FILE
    if not path.exists():
        return built
    present = _read_manifest(path)
    if isinstance(present, _Failure):
        return present
    old = present.version()
    new = built.manifest.version()
    if new == old or new.number > old.number:
        return built
    return _usage_failure(
        path, f"version {new.number} is not above version {old.number}"
    )


def _read_manifest(path: pathlib.Path) -> Manifest | _Failure:
    try:
        content = path.read_bytes()
    except OSError as error:
        return _usage_failure(path, f"cannot read: {error.strerror}")
    manifest = parse_manifest(content)
    if isinstance(manifest, Err):
        return _config_failure(path, manifest.errors)
    return manifest.value


def _read_text(path: pathlib.Path) -> str | _Failure:
    try:
        # Some editors on Windows write a byte order mark.
        return path.read_bytes().decode("utf-8-sig")
    except OSError as error:
        return _usage_failure(path, f"cannot read: {error.strerror}")
    except UnicodeDecodeError as error:
        return _usage_failure(path, f"not UTF-8 at byte {error.start}")


def _write_build(built: building.Build, folder: pathlib.Path) -> int:
    """Writes the files and returns the number of parts that were new."""
    parts_folder = folder / PARTS_FOLDER
    parts_folder.mkdir(parents=True, exist_ok=True)
    written = 0
    for digest, content in built.parts.items():
        path = parts_folder / digest
        if path.exists() and path.read_bytes() == content:
            continue
        _write_file(path, content)
        written += 1
    version = built.manifest.version()
    bundles_folder = folder / BUNDLES_FOLDER / version.digest
    bundles_folder.mkdir(parents=True, exist_ok=True)
    for index, content in enumerate(built.bundles()):
        _write_file(bundles_folder / str(index), content)
    _write_file(folder / MANIFEST_FILE, built.manifest.to_bytes())
    return written


def _write_file(path: pathlib.Path, content: bytes) -> None:
    """Replaces a file atomically, so that no reader sees half of it."""
    temporary = path.with_name(f".{path.name}.tmp")
    temporary.write_bytes(content)
    os.replace(temporary, path)


def _rule_failure(path: pathlib.Path, errors: Sequence[RuleError]) -> _Failure:
    return _Failure(
        EXIT_PROBLEM,
        tuple(
            {"file": str(path), **dataclasses.asdict(error)} for error in errors
        ),
    )


def _config_failure(
    path: pathlib.Path, errors: Sequence[ConfigError]
) -> _Failure:
    return _Failure(
        EXIT_PROBLEM,
        tuple(
            {"file": str(path), **dataclasses.asdict(error)} for error in errors
        ),
    )


def _usage_failure(path: pathlib.Path, message: str) -> _Failure:
    return _Failure(EXIT_USAGE, ({"file": str(path), "message": message},))


def _report_failure(failure: _Failure, out: TextIO, as_json: bool) -> int:
    if as_json:
        _write_json(out, {"ok": False, "errors": failure.errors})
    else:
        for error in failure.errors:
            out.write(f"{_error_line(error)}\n")
    return failure.exit_code


def _error_line(error: Mapping[str, object]) -> str:
    place = str(error["file"])
    if error.get("line"):
        place += f":{error['line']}:{error['column']}"
    if error.get("part"):
        place += f": {error['part']}"
    text = f"{place}: {error['message']}"
    if error.get("allowed"):
        text += f"; allowed: {error['allowed']}"
    if error.get("suggestion"):
        text += f"; did you mean {error['suggestion']!r}?"
    return text


def _write_json(out: TextIO, value: Mapping[str, object]) -> None:
    json.dump(value, out, indent=2)
    out.write("\n")
