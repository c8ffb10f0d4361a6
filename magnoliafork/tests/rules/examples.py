"""Rules files and generated documents that several tests use."""

import dataclasses
from collections.abc import Callable
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


def documents(*, valid: bool) -> st.SearchStrategy[RuleDocument]:
    """Generates rules, with values at and beyond the limits unless valid.

    Service names are unique, because parts cannot express two services of
    one name.
    """

    def pick(good: list[T], bad: list[T]) -> st.SearchStrategy[T]:
        return st.sampled_from(good * (1 if valid else 4) + bad * (not valid))

    name = pick(["a", "b-1", "x" * 63], ["X", "x" * 64, "a_b", "1a", "é"])
    comment = pick(
        ["Marie", "Luc: é, #2", "x" * 200],
        ["x" * 201, "\x07b", "a\u2028b", "a\ud800", ""],
    )
    origin = st.builds(Origin, st.just(0), comment)
    service = st.builds(
        ServiceRule,
        name=name,
        slots=pick([1, 12, 10_000], [0, 10_001]),
        connections=pick([10_000, 100_000], [0, 5, 100_001]),
        queue=pick([0, 100_000], [100_001, 10**9]),
        priority=st.sampled_from(Priority),
        ramp_s=pick([0.001, 10.0, 3600.0], [0.0, 3600.001]),
        ramp_start=pick([1], [0, 13]),
        origin=origin,
    )
    target = st.builds(
        WeightedTarget,
        pick(["a"], ["b-1", "missing", "A"]),
        pick([1, 10_000], [0, 10_001]),
    )
    route = st.builds(
        RouteRule,
        method=pick(["GET", "POST", "*"], ["get", "TRACE"]),
        host=pick(["*", "shop.example", "10.0.0.1"], ["Shop", "a..b", "a:80"]),
        path=pick(
            ["/", "/*", "/a/b", "/a/*", "/a/", "/%2f~"],
            ["/a//b", "/../a", "/a/./*", "a", "/*/b", "/a?q", "/é", "//*"],
        ),
        targets=st.lists(
            target, min_size=1, max_size=3, unique_by=lambda item: item.service
        ).map(tuple),
        repeatable=pick([True], [False]),
        deadline_ms=pick([2, 1_500, 600_000], [0, 1, 600_001]),
        retries=pick([0, 10], [11]),
        hedge_ms=pick([0, 1], [2, 1_500]),
        priority=st.sampled_from(Priority),
        origin=origin,
    )
    zone = st.builds(ZoneRule, name, st.booleans(), origin)
    drain = st.builds(
        DrainRule, pick(["a-1", "B_2.c:3"], ["-a", "é", "x" * 129]), origin
    )

    def unique(item: st.SearchStrategy[T]) -> st.SearchStrategy[list[T]]:
        key: Callable[[Any], str] = render.key if valid else repr
        return st.lists(item, max_size=4, unique_by=key)

    return st.builds(
        lambda zones, first, services, routes, drains: RuleDocument(
            tuple(zones), (first, *services), tuple(routes), tuple(drains)
        ),
        zones=unique(zone),
        first=service.map(lambda item: dataclasses.replace(item, name="a")),
        services=st.lists(
            service.filter(lambda item: item.name != "a"),
            max_size=2,
            unique_by=lambda item: item.name,
        ),
        routes=unique(route),
        drains=unique(drain),
    )
