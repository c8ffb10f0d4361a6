"""A rules file and generated documents that several tests use."""

import dataclasses
from typing import Any, TypeVar

from hypothesis import strategies as st

from magnoliafork.model.result import Ok, Result
from magnoliafork.model.rules import (
    Origin,
    Priority,
    RouteRule,
    ServiceRule,
    WeightedTarget,
)
from magnoliafork.rules import render
from magnoliafork.rules.build import Build, build
from magnoliafork.rules.document import DrainRule, RuleDocument, ZoneRule

T = TypeVar("T")
E = TypeVar("E")

EXAMPLE = """\
# Rules of the rug weavers
zone joliette                                      # Ops: first hall
zone rawdon out                                    # Luc: power works

service commissions slots=12 connections=120 queue=6 priority=high   # Marie
service patterns slots=8 connections=120           # Shops
service patterns-next slots=8 connections=120      # Shops
route POST * /commissions -> commissions deadline=3s   # Marie
route GET shop.example /patterns/* -> patterns:90 patterns-next:10 hedge=40ms # Shops
drain commissions-2                                # Luc: new disk shelf
"""  # noqa: E501


def unwrap(result: Result[T, E]) -> T:
    """Returns the value of a result that must be a success."""
    assert isinstance(result, Ok), result
    return result.value


def build_text(text: str, version_number: int = 1) -> Build:
    """Builds a rules file that must be valid."""
    return unwrap(build(text, version_number))


def to_text(document: RuleDocument) -> str:
    """Writes a document as a rules file."""
    return "\n".join(render.line(rule) for rule in render.all_rules(document))


_ORIGIN = Origin(0, "Marie")
_SERVICE = ServiceRule("a", 10, 10_000, 10, Priority.HIGH, 10.0, 1, _ORIGIN)
_ROUTE = RouteRule(
    method="GET",
    host="*",
    path="/a",
    targets=(WeightedTarget("b", 1), WeightedTarget("c", 1)),
    repeatable=True,
    deadline_ms=100,
    retries=2,
    hedge_ms=10,
    priority=Priority.LOW,
    origin=_ORIGIN,
)
SAMPLE = RuleDocument(
    (ZoneRule("y", True, _ORIGIN), ZoneRule("z", False, _ORIGIN)),
    tuple(dataclasses.replace(_SERVICE, name=name) for name in "abc"),
    (_ROUTE, dataclasses.replace(_ROUTE, host="b.example", path="/*")),
    (DrainRule("a-1", _ORIGIN), DrainRule("a-2", _ORIGIN)),
)


@dataclasses.dataclass(frozen=True)
class Edit:
    """A change of one field of the first rule of a kind.

    The pseudo-fields `count` and `asked_by` repeat the rule and change its
    comment.
    """

    rules: str
    field: str
    value: Any

    def apply(self, document: RuleDocument) -> RuleDocument:
        """Returns the document with the value, if it has such a rule."""
        rules = getattr(document, self.rules)
        if not rules:
            return document
        if self.field == "count":
            edited = rules[:1] * self.value
        else:
            change = {self.field: self.value}
            if self.field == "asked_by":
                change = {"origin": Origin(0, self.value)}
            edited = (dataclasses.replace(rules[0], **change),)
        change = {self.rules: (*edited, *rules[1:])}
        return dataclasses.replace(document, **change)


def _edits(*values: tuple[str, str, tuple[object, ...]]) -> list[Edit]:
    return [
        Edit(rules, field, value)
        for rules, field, items in values
        for value in items
    ]


def _targets(*targets: tuple[str, int]) -> tuple[WeightedTarget, ...]:
    return tuple(WeightedTarget(*target) for target in targets)


_KINDS = ("zones", "services", "routes", "drains")
_BAD_COMMENTS = ("x" * 201, "\x07b", "a\u2028b", "a\ud800", "")
_BAD_PATHS = (
    *("/a//b", "/../a", "/a/./*", "a", "/*/b", "/a?q", "/é", "//*", "/%2"),
    "/" + "x" * 1024,
)
_BAD_TARGETS = (
    _targets(("b", 0), ("c", 0)),
    _targets(("b", 10_001)),
    _targets(("b", 1), ("missing", 1)),
    _targets(("missing", 1)),
    _targets(("b", 1), ("b", 1)),
    _targets(("b", 1)) * 17,
)
INVALID_EDITS = _edits(
    ("zones", "name", ("Z", "x" * 64, "a_b", "1a", "é")),
    *((kind, "asked_by", _BAD_COMMENTS) for kind in _KINDS),
    *((kind, "count", (2,)) for kind in ("zones", "routes", "drains")),
    ("services", "name", ("A", "x" * 64, "a_b", "1a", "é")),
    ("services", "slots", (0, 10_001)),
    ("services", "connections", (0, 9, 100_001)),
    ("services", "queue", (100_001, 10**9)),
    ("services", "ramp_s", (0.0, 3600.001)),
    ("services", "ramp_start", (0, 11)),
    ("routes", "method", ("get", "TRACE")),
    ("routes", "host", ("Shop", "a..b", "a:80", "-a", "x" * 64)),
    ("routes", "path", _BAD_PATHS),
    ("routes", "targets", _BAD_TARGETS),
    ("routes", "repeatable", (False,)),
    ("routes", "deadline_ms", (0, 10, 600_001)),
    ("routes", "retries", (11,)),
    ("routes", "hedge_ms", (100, 600_001)),
    ("drains", "instance_id", ("-a", "é", "x" * 129)),
)
_VALID_EDITS = _edits(
    ("zones", "name", ("b-1", "x" * 63)),
    ("zones", "is_out", (False,)),
    *((kind, "count", (0,)) for kind in ("zones", "routes", "drains")),
    ("services", "name", ("b-1", "x" * 63)),
    ("services", "slots", (1, 10_000)),
    ("services", "connections", (100_000,)),
    ("services", "queue", (0, 100_000)),
    ("services", "ramp_s", (0.001, 1.5, 3600.0)),
    ("services", "asked_by", ("Luc: é, #2", "x" * 200)),
    ("routes", "method", ("POST", "*")),
    ("routes", "host", ("shop.example", "10.0.0.1")),
    ("routes", "path", ("/", "/*", "/a/b", "/a/*", "/a/", "/%2f~=:")),
    ("routes", "targets", (_targets(("c", 10_000), ("b", 0)),)),
    ("routes", "deadline_ms", (11, 1_500, 600_000)),
    ("routes", "retries", (0, 10)),
    ("routes", "hedge_ms", (0,)),
    ("drains", "instance_id", ("B_2.c:3", "x" * 128)),
)


def _edited(edits: list[Edit]) -> st.SearchStrategy[RuleDocument]:
    def apply(chosen: list[Edit]) -> RuleDocument:
        document = SAMPLE
        for edit in chosen:
            document = edit.apply(document)
        return document

    return st.lists(st.sampled_from(edits), max_size=8).map(apply)


# Valid documents, with values up to their limits.
VALID_DOCUMENTS = _edited(_VALID_EDITS)
# Valid and invalid documents, with any number of errors.
DOCUMENTS = st.one_of(
    VALID_DOCUMENTS,
    st.builds(Edit.apply, st.sampled_from(INVALID_EDITS), VALID_DOCUMENTS),
    _edited(_VALID_EDITS + INVALID_EDITS),
)
