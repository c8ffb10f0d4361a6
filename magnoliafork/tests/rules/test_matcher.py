"""Tests of the precedence of routes and of the cost of a lookup."""

import sys

import hypothesis
import pytest
from hypothesis import strategies as st

from magnoliafork.model.rules import Origin, Priority, RouteRule, RuleSet
from magnoliafork.rules.matcher import RouteTable, route_key


def _route(method: str, host: str, path: str) -> RouteRule:
    return RouteRule(
        method=method,
        host=host,
        path=path,
        targets=(),
        repeatable=False,
        deadline_ms=1,
        retries=0,
        hedge_ms=0,
        priority=Priority.NORMAL,
        origin=Origin(1, "Ops"),
    )


def _rules(routes: list[RouteRule]) -> RuleSet:
    empty: frozenset[str] = frozenset()
    return RuleSet({}, tuple(routes), empty, empty, empty)


def _scan(
    routes: list[RouteRule], method: str, host: str, path: str
) -> RouteRule | None:
    """Finds the route by a linear scan, as a reference for the index."""

    def matches(route: RouteRule) -> bool:
        if route.path.endswith("/*"):
            prefix = route.path[:-2]
            on_path = path == prefix or path.startswith(prefix + "/")
        else:
            on_path = path == route.path
        on_host = route.host in ("*", host)
        return on_path and on_host and route.method in ("*", method)

    def rank(route: RouteRule) -> tuple[bool, bool, int, bool]:
        is_exact = not route.path.endswith("/*")
        length = len(route.path)
        return (route.host != "*", is_exact, length, route.method != "*")

    return max(filter(matches, routes), key=rank, default=None)


_METHODS = st.sampled_from(["GET", "POST", "*"])
_HOSTS = st.sampled_from(["*", "a.example", "b.example"])
_PATHS = st.lists(st.sampled_from(["x", "y", "xy"]), max_size=4).map(
    lambda segments: "/" + "/".join(segments)
)
_ROUTE_PATHS = st.one_of(
    _PATHS, _PATHS.map(lambda path: path.rstrip("/") + "/*")
)


@hypothesis.settings(max_examples=400, derandomize=True, deadline=None)
@hypothesis.given(
    routes=st.lists(
        st.builds(_route, _METHODS, _HOSTS, _ROUTE_PATHS),
        max_size=25,
        unique_by=route_key,
    ),
    method=st.sampled_from(["GET", "POST"]),
    host=st.sampled_from(["a.example", "c.example"]),
    path=_PATHS,
)
def test_table_agrees_with_a_scan(
    routes: list[RouteRule], method: str, host: str, path: str
) -> None:
    """Guards against an index that breaks the precedence."""
    expected = _scan(routes, method, host, path)
    assert RouteTable(_rules(routes)).match(method, host, path) == expected


@pytest.mark.parametrize(
    ("host", "path", "expected"),
    [
        ("Shop.Example.:8080", "/p/x?next=/q", "/p/*"),
        ("shop.example", "/p", "/p/*"),
        ("shop.example", "/px", None),
        ("shop.example", "*", None),
        ("other", "/p/x", None),
    ],
)
def test_host_and_path_are_normalized(
    host: str, path: str, expected: str | None
) -> None:
    """Guards against ports, queries and `OPTIONS *` changing the route."""
    table = RouteTable(_rules([_route("*", "shop.example", "/p/*")]))
    route = table.match("GET", host, path)
    assert (route.path if route else None) == expected


def _calls_of_lookup(route_count: int, path: str) -> int:
    routes = [_route("GET", "*", f"/r{i}/*") for i in range(route_count)]
    table = RouteTable(_rules(routes))
    calls = 0

    def count(*_: object) -> None:
        nonlocal calls
        calls += 1

    sys.setprofile(count)
    try:
        table.match("GET", "shop.example", path)
    finally:
        sys.setprofile(None)
    return calls


def test_lookup_cost_does_not_grow_with_routes_or_path_depth() -> None:
    """Guards against a scan over 2,000 routes, or over a path of any depth.

    A caller could otherwise use up processor time with very deep paths.
    """
    small = _calls_of_lookup(10, "/r5/x")
    assert _calls_of_lookup(2_000, "/r5/x") == small
    assert _calls_of_lookup(2_000, "/r5" + "/x" * 1_000) == small
