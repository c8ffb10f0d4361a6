"""Tests of building a version: stable parts, or all errors with positions."""

import dataclasses

import hypothesis
from hypothesis import strategies as st

from magnoliafork.model.result import Err, Ok
from magnoliafork.model.rules import Origin, Priority, ServiceRule
from magnoliafork.rules.build import build, load
from magnoliafork.rules.document import RuleDocument
from magnoliafork.rules.render import all_rules
from magnoliafork.snapshot.assemble import assemble
from magnoliafork.tests.rules.examples import (
    EXAMPLE,
    VALID_DOCUMENTS,
    build_text,
    to_text,
    unwrap,
)


def _digests(text: str) -> dict[str, str]:
    parts = build_text(text).manifest.parts
    return {part.name: part.digest for part in parts}


def _errors(text: str) -> list[tuple[int, int, str, str]]:
    result = build(text, 1)
    assert isinstance(result, Err)
    return [
        (error.line, error.column, error.message, error.suggestion)
        for error in result.errors
    ]


def test_format_1_encoding_is_frozen() -> None:
    """Guards against releases that build or accept different encodings.

    Nodes of both releases would disagree on the same version.
    """
    version = build_text(EXAMPLE, 7).manifest.version()
    assert (version.number, version.digest) == (
        7,
        "34ed2d59571e3a03016af3ceb677f01e8b7421e775b0587be64b12a293b63e65",
    )


def test_defaults_match_the_documentation() -> None:
    """Guards against defaults that differ from the documented ones."""
    text = (
        "service s slots=3 connections=4 # A\n"
        "service t slots=3 connections=4 priority=low # A\n"
        "route GET * /r -> s # B\n"
        "route * * /w -> t s # B\n"
    )
    document = unwrap(load(text)).document
    assert document.services[0] == ServiceRule(
        "s", 3, 4, 3, Priority.NORMAL, 10.0, 1, Origin(1, "A")
    )
    read, write = document.routes
    assert (read.repeatable, write.repeatable) == (True, False)
    assert (read.deadline_ms, read.retries, read.hedge_ms) == (1000, 2, 0)
    assert (read.priority, write.priority) == (Priority.NORMAL, Priority.LOW)


def test_one_inserted_route_changes_one_part() -> None:
    """Guards against re-sending all parts after a change of one route."""
    inserted = "route GET * /x -> commissions # Ops\n"
    before = _digests(EXAMPLE)
    after = _digests(inserted + EXAMPLE)
    changed = {name for name in after if before.get(name) != after[name]}
    assert changed == {"routes/commissions"}


def test_order_of_lines_does_not_change_the_version() -> None:
    """Guards against a different digest after lines were only moved."""
    moved = "\n".join(reversed(EXAMPLE.splitlines()))
    assert _digests(moved) == _digests(EXAMPLE)


def test_all_errors_of_a_file_are_reported_at_once() -> None:
    """Guards against a check that stops at the first error.

    The author would have to check the file once for each error.
    """
    text = (
        "zone joliette\n"
        "servce wool slots=3 connections=9 # Ops\n"
        "service patterns slots=x conections=9 ramp-start=5 # Ops\n"
        "service dyes slots=0 connections=9 queue=1 queue=2 # Ops\n"
        "service loom slots=10 connections=9 # Ops\n"
        "route GET * /p -> paterns:5 loom:x hedge=2s deadline=3 # Marie\n"
        "route GET * /q -> lom wool retries=11 priority=hi # Marie\n"
        "route PST * p => loom # Marie\n"
        "route GET * /q -> loom # Marie\n"
    )
    assert _errors(text) == [
        (1, 14, "the comment is missing", ""),
        (2, 1, "unknown rule 'servce'", "service"),
        (3, 24, "bad value 'x' for slots", ""),
        (3, 26, "unknown setting 'conections'", "connections"),
        (3, 51, "connections is missing", ""),
        (4, 20, "slots 0 is out of range", ""),
        (4, 44, "queue is repeated", ""),
        (5, 35, "9 connections for 10 slots", ""),
        (6, 19, "unknown service 'paterns'", "patterns"),
        (6, 29, "bad weight 'x'", ""),
        (6, 54, "bad value '3' for deadline", ""),
        (7, 19, "unknown service 'lom'", "loom"),
        (7, 36, "retries 11 is out of range", ""),
        (7, 48, "bad value 'hi' for priority", "high"),
        (8, 15, "unexpected '=>'", ""),
        (9, 13, "route 'GET * /q' is already defined on line 7", ""),
    ]


def test_empty_file_is_rejected() -> None:
    """Guards against a truncated file that removes every service."""
    assert _errors("# nothing\n\n") == [(0, 0, "no service is defined", "")]


def test_version_number_out_of_range_is_rejected() -> None:
    """Guards against building a version that nodes would reject."""
    for number in (0, -1, 2**53):
        assert isinstance(build(EXAMPLE, number), Err)


@hypothesis.settings(max_examples=200, derandomize=True, deadline=None)
@hypothesis.given(document=VALID_DOCUMENTS)
def test_rendered_rules_parse_back_unchanged(document: RuleDocument) -> None:
    """Guards against values that the parser changes or drops."""
    loaded = unwrap(load(to_text(document)))
    assert [
        dataclasses.replace(rule, origin=Origin(0, rule.origin.asked_by))
        for rule in all_rules(loaded.document)
    ] == list(all_rules(document))


_WORDS = st.sampled_from(
    [
        *EXAMPLE.split(),
        *("#", "=", ":", "->", "/*", "\n", "\r\n", "\t", "\x00", "\ud800"),
        *("slots=-1", "ramp=10", "a:b:c", "priority=", "٣", "zone"),
    ]
)


@hypothesis.settings(max_examples=400, derandomize=True, deadline=None)
@hypothesis.given(
    text=st.one_of(st.text(), st.lists(_WORDS, max_size=30).map(" ".join)),
    position=st.integers(0, len(EXAMPLE)),
    cut=st.integers(0, 20),
)
def test_any_text_builds_or_gives_errors_with_positions(
    text: str, position: int, cut: int
) -> None:
    """Guards against a parser that crashes or accepts what nodes reject."""
    mutated = EXAMPLE[:position] + text + EXAMPLE[position + cut :]
    result = build(mutated, 1)
    if isinstance(result, Ok):
        built = result.value
        assert isinstance(assemble(built.manifest, built.parts), Ok)
        return
    lines = mutated.split("\n")
    for error in result.errors:
        if error.line:
            assert 1 <= error.column <= len(lines[error.line - 1]) + 1
        assert error.message
