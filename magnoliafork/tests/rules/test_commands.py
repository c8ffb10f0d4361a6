"""Tests of the rules commands: output, exit codes and written folders."""

import io
import json
import pathlib
from collections.abc import Callable
from typing import Any

import pytest

from magnoliafork.commands import rules
from magnoliafork.tests.rules.examples import EXAMPLE


@pytest.fixture
def rules_file(tmp_path: pathlib.Path) -> pathlib.Path:
    path = tmp_path / "mesh.rules"
    path.write_text(EXAMPLE)
    return path


def _run(command: Callable[..., int], *args: Any, **options: Any) -> Any:
    out = io.StringIO()
    code = command(*args, out, **options)
    if options.get("as_json"):
        return code, json.loads(out.getvalue())
    return code, out.getvalue()


def test_check_names_file_line_and_suggestion(tmp_path: pathlib.Path) -> None:
    """Guards against errors without the file and line to open in an editor."""
    path = tmp_path / "bad.rules"
    path.write_text("service wool slots=1 connections=1 # A\ndran x # B\n")
    code, text = _run(rules.check, path)
    assert code == 1
    assert text == (
        f"{path}:2:1: unknown rule 'dran'; allowed: zone, service, route, "
        "drain; did you mean 'drain'?\n"
    )
    code, value = _run(rules.check, path, as_json=True)
    assert (code, value["ok"]) == (1, False)
    [error] = value["errors"]
    assert (error["line"], error["suggestion"]) == (2, "drain")


def test_unreadable_files_have_another_exit_code_than_bad_rules(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against a missing file that looks like an invalid rule."""
    assert _run(rules.check, tmp_path / "none")[0] == 2
    binary = tmp_path / "binary"
    binary.write_bytes(b"\xff\xfe")
    assert _run(rules.check, binary)[0] == 2


def test_built_folder_equals_its_rules_file(
    rules_file: pathlib.Path, tmp_path: pathlib.Path
) -> None:
    """Guards against a published folder whose rules differ from the file."""
    folder = tmp_path / "published"
    code, text = _run(rules.build, rules_file, folder, version_number=4)
    assert (code, text.startswith("version 4 (")) == (0, True)
    assert _run(rules.check, folder)[0] == 0
    assert _run(rules.diff, rules_file, folder) == (0, "")
    assert not list(folder.rglob("*.tmp"))


def test_build_never_lowers_the_version_of_a_folder(
    rules_file: pathlib.Path, tmp_path: pathlib.Path
) -> None:
    """Guards against publishing a version that every node ignores."""
    folder = tmp_path / "published"
    manifest = folder / "manifest"
    _run(rules.build, rules_file, folder, version_number=4)
    code, value = _run(
        rules.build, rules_file, folder, after=manifest, as_json=True
    )
    assert (code, value["version_number"], value["new_parts"]) == (0, 5, 0)
    before = manifest.read_bytes()
    rules_file.write_text(EXAMPLE + "drain wool-1 # Luc\n")
    for number in (4, 5):
        options = {"version_number": number}
        assert _run(rules.build, rules_file, folder, **options)[0] == 2
    assert manifest.read_bytes() == before
    assert _run(rules.build, rules_file, folder)[0] == 2


def test_damaged_folder_is_reported(
    rules_file: pathlib.Path, tmp_path: pathlib.Path
) -> None:
    """Guards against a check that reads the manifest but not the parts."""
    folder = tmp_path / "published"
    _run(rules.build, rules_file, folder, version_number=4)
    first, second, *_ = sorted((folder / "parts").iterdir())
    first.unlink()
    second.write_bytes(b"{}")
    code, value = _run(rules.check, folder, as_json=True)
    assert code == 1
    kinds = {error["kind"] for error in value["errors"]}
    assert kinds == {"missing_part", "digest_mismatch"}


def test_diff_shows_rules_and_who_asked(
    rules_file: pathlib.Path, tmp_path: pathlib.Path
) -> None:
    """Guards against a changed setting that a reviewer is not shown."""
    new = tmp_path / "new.rules"
    text = EXAMPLE.replace("deadline=3s   # Marie", "deadline=5s # Luc")
    text = text.replace("zone joliette ", "zone berthier ")
    new.write_text(text)
    code, shown = _run(rules.diff, rules_file, new)
    assert code == 1
    assert shown == (
        "- zone joliette  # Ops: first hall\n"
        "+ zone berthier  # Ops: first hall\n"
        "~ route POST * /commissions  # Luc\n"
        "    deadline: 3s -> 5s\n"
        "    asked by: Marie -> Luc\n"
    )
    _, value = _run(rules.diff, rules_file, new, as_json=True)
    kinds = [change["change"] for change in value["changes"]]
    assert kinds == ["removed", "added", "changed"]


def test_explain_names_route_reason_and_who_asked(
    rules_file: pathlib.Path,
) -> None:
    """Guards against explaining another route than the one taken."""
    text = EXAMPLE + "route GET * /patterns/* -> patterns # Fallback\n"
    rules_file.write_text(text)
    request = ("GET", "shop.example:80", "/patterns/7")
    code, value = _run(rules.explain, rules_file, *request, as_json=True)
    assert code == 0
    assert (value["line"], value["asked_by"]) == (9, "Shops")
    assert value["reasons"][0] == "exact host shop.example"
    assert [share["percent"] for share in value["shares"]] == [90, 10]
    [other] = value["not_taken"]
    assert other["asked_by"] == "Fallback"
    assert other["reason"] == "an exact host wins over *"


def test_explain_without_route_lists_matching_methods_and_hosts(
    rules_file: pathlib.Path,
) -> None:
    """Guards against a 'no route' that does not hint at the wrong part.

    With a wrong method or host, the ones that have a route are listed.
    """
    code, text = _run(rules.explain, rules_file, "PUT", "x", "/commissions")
    assert code == 1
    assert "this host and path have a route for: POST" in text
    code, text = _run(rules.explain, rules_file, "GET", "x", "/patterns/1")
    assert "this method and path have a route on: shop.example" in text
