"""Nodes must accept the versions that `build` accepts, and none in part."""

import dataclasses
import json

import hypothesis
import pytest
from hypothesis import strategies as st

from magnoliafork.model.manifest import (
    Manifest,
    PartRef,
    canonical_json,
    sha256_hex,
)
from magnoliafork.model.result import Err, Ok
from magnoliafork.rules.build import build
from magnoliafork.rules.document import RuleDocument
from magnoliafork.rules.format1.encode import encode
from magnoliafork.snapshot.assemble import (
    Assembler,
    assemble,
    parse_manifest,
)
from magnoliafork.snapshot.errors import ConfigErrorKind, is_incomplete
from magnoliafork.tests.rules.examples import (
    DOCUMENTS,
    EXAMPLE,
    INVALID_EDITS,
    SAMPLE,
    Edit,
    build_text,
    to_text,
    unwrap,
)

BUILT = build_text(EXAMPLE)
CONTENTS = {ref.name: BUILT.parts[ref.digest] for ref in BUILT.manifest.parts}


def _replace_part(
    name: str, content: bytes
) -> tuple[Manifest, dict[str, bytes]]:
    """Publishes other content under a part name, with correct digests."""
    ref = PartRef(name, sha256_hex(content), len(content))
    others = [part for part in BUILT.manifest.parts if part.name != name]
    refs = sorted([*others, ref], key=lambda part: part.name)
    manifest = dataclasses.replace(BUILT.manifest, parts=tuple(refs))
    return manifest, {**BUILT.parts, ref.digest: content}


@hypothesis.settings(max_examples=500, derandomize=True, deadline=None)
@hypothesis.given(document=DOCUMENTS)
def test_build_and_assemble_agree(document: RuleDocument) -> None:
    """Guards against content that only one of the two rejects."""
    built = build(to_text(document), 1)
    try:
        manifest, parts = encode(document, 1)
    except UnicodeEncodeError:
        # A lone surrogate cannot be published at all.
        assert isinstance(built, Err)
        return
    assembled = assemble(manifest, parts)
    assert isinstance(assembled, Ok) == isinstance(built, Ok)
    if isinstance(built, Ok):
        assert built.value.manifest == manifest


@pytest.mark.parametrize("edit", INVALID_EDITS, ids=str)
def test_each_invalid_edit_is_rejected_by_both(edit: Edit) -> None:
    """Guards against an error that is only found next to other errors."""
    document = edit.apply(SAMPLE)
    assert isinstance(build(to_text(SAMPLE), 1), Ok)
    assert isinstance(build(to_text(document), 1), Err)
    if "\ud800" in str(edit.value):
        return
    assert isinstance(assemble(*encode(document, 1)), Err)


def test_snapshot_holds_the_rules_of_the_file() -> None:
    """Guards against parts that lose rules on the way to a node."""
    manifest = unwrap(parse_manifest(BUILT.manifest.to_bytes()))
    snapshot = unwrap(assemble(manifest, {**BUILT.parts, "other": b"x"}))
    assert snapshot.version == BUILT.manifest.version()
    assert snapshot.parts == BUILT.parts
    rules = snapshot.rules
    assert set(rules.services) == {"commissions", "patterns", "patterns-next"}
    assert rules.services["commissions"].queue == 6
    assert rules.zones == {"joliette", "rawdon"}
    assert rules.zones_out == {"rawdon"}
    assert rules.drained == {"commissions-2"}
    asked_by = {route.path: route.origin.asked_by for route in rules.routes}
    assert asked_by == {"/commissions": "Marie", "/patterns/*": "Shops"}


def test_incomplete_publication_is_not_an_invalid_version() -> None:
    """Guards against rejecting a version for good whose parts come late."""
    first, second, *_ = BUILT.manifest.parts
    parts = dict(BUILT.parts)
    del parts[first.digest]
    parts[second.digest] += b" "
    result = assemble(BUILT.manifest, parts)
    assert isinstance(result, Err)
    assert is_incomplete(result.errors)
    kinds = [(error.part, error.kind) for error in result.errors]
    assert kinds == [
        (first.name, ConfigErrorKind.MISSING_PART),
        (second.name, ConfigErrorKind.DIGEST_MISMATCH),
    ]


_SERVICE = json.loads(CONTENTS["service/patterns"])


@pytest.mark.parametrize(
    ("name", "content"),
    [
        ("service/patterns", CONTENTS["service/patterns"] + b"\n"),
        ("service/patterns", b'{"slots":1,' + CONTENTS["service/patterns"][1:]),
        ("service/patterns", canonical_json({**_SERVICE, "slots": 8.0})),
        ("service/patterns", canonical_json({**_SERVICE, "slots": True})),
        ("service/patterns", canonical_json({**_SERVICE, "slots": "8"})),
        ("service/patterns", canonical_json({**_SERVICE, "slots": 10**400})),
        ("service/patterns", canonical_json({**_SERVICE, "extra": 1})),
        ("service/patterns", canonical_json({**_SERVICE, "name": "other"})),
        ("service/patterns", canonical_json({**_SERVICE, "priority": "top"})),
        ("service/patterns", b'{"name":"\\ud800"}'),
        ("service/patterns", b"[" * 100_000),
        ("service/patterns", b"\xff"),
        ("service/other", CONTENTS["service/patterns"]),
        ("service/../x", CONTENTS["service/patterns"]),
        ("routes/commissions", b'{"routes":[]}'),
        ("routes/commissions", CONTENTS["routes/patterns"]),
        ("operations", b'{"drains":[],"zones":null}'),
    ],
)
def test_invalid_part_is_rejected_for_good(name: str, content: bytes) -> None:
    """Guards against nodes that decode unusual JSON in different ways."""
    result = assemble(*_replace_part(name, content))
    assert isinstance(result, Err)
    assert not is_incomplete(result.errors)


def test_removed_service_with_routes_is_rejected() -> None:
    """Guards against a route to a service that the node does not have."""
    refs = BUILT.manifest.parts
    kept = tuple(ref for ref in refs if ref.name != "service/patterns-next")
    manifest = dataclasses.replace(BUILT.manifest, parts=kept)
    result = assemble(manifest, BUILT.parts)
    assert isinstance(result, Err)
    assert [error.part for error in result.errors] == ["routes/patterns"]
    assert "unknown service 'patterns-next'" in result.errors[0].message


_FIRST, *_REST = BUILT.manifest.parts


@pytest.mark.parametrize(
    "change",
    [
        {"parts": (*_REST[::-1], _FIRST)},
        {"parts": tuple(_REST)},
        {"parts": (_FIRST, _FIRST, *_REST)},
        {"parts": (dataclasses.replace(_FIRST, size_bytes=9), *_REST)},
        {"version_number": 0},
    ],
)
def test_faulty_manifest_is_rejected_for_good(
    change: dict[str, object],
) -> None:
    """Guards against fetching a version again that can never be valid."""
    manifest = dataclasses.replace(BUILT.manifest, **change)  # type: ignore[arg-type]
    result = assemble(manifest, BUILT.parts)
    assert isinstance(result, Err)
    assert not is_incomplete(result.errors)


def test_unknown_format_is_reported_as_such() -> None:
    """Guards against taking a newer format for a damaged manifest."""
    content = b'{"format":2,"sections":{}}'
    result = parse_manifest(content)
    assert isinstance(result, Err)
    assert result.errors[0].kind is ConfigErrorKind.UNKNOWN_FORMAT


@hypothesis.settings(max_examples=300, derandomize=True, deadline=None)
@hypothesis.given(
    position=st.integers(0, len(BUILT.manifest.to_bytes())),
    cut=st.integers(0, 9),
    inserted=st.binary(max_size=9),
)
def test_damaged_manifest_is_never_repaired(
    position: int, cut: int, inserted: bytes
) -> None:
    """Guards against a parser that crashes on or repairs damaged bytes."""
    content = BUILT.manifest.to_bytes()
    damaged = content[:position] + inserted + content[position + cut :]
    result = parse_manifest(damaged)
    if isinstance(result, Ok):
        assert result.value.to_bytes() == damaged


@hypothesis.settings(max_examples=100, derandomize=True, deadline=None)
@hypothesis.given(sequence=st.lists(DOCUMENTS, max_size=4))
def test_reused_parts_give_the_same_result(
    sequence: list[RuleDocument],
) -> None:
    """Guards against a result that depends on earlier versions."""
    assembler = Assembler()
    for number, document in enumerate(sequence, start=1):
        try:
            manifest, parts = encode(document, number)
        except UnicodeEncodeError:
            continue
        expected = assemble(manifest, parts)
        assert assembler.assemble(manifest, parts) == expected
