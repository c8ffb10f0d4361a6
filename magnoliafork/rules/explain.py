"""Explains which route a request takes, why, and who asked for it."""

import dataclasses
from collections.abc import Iterator

from magnoliafork.model.rules import RouteRule, RuleSet
from magnoliafork.rules.matcher import (
    ANY,
    PREFIX_SUFFIX,
    RouteTable,
    normalize_host,
)


@dataclasses.dataclass(frozen=True, slots=True)
class Share:
    """Share of a route's requests that goes to one service.

    Attributes:
        service: Service name.
        percent: Share in percent.
        asked_by: Comment of the service rule.
    """

    service: str
    percent: float
    asked_by: str


@dataclasses.dataclass(frozen=True, slots=True)
class LowerPrecedenceRoute:
    """A route that matches but is less specific than the chosen one."""

    route: RouteRule
    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class Chosen:
    """The route that a request takes.

    Attributes:
        route: The route; its origin says who asked for it.
        reasons: How host, path and method match.
        shares: Services that share the requests.
        lesser: Other routes that match, the most specific first.
    """

    route: RouteRule
    reasons: tuple[str, ...]
    shares: tuple[Share, ...]
    lesser: tuple[LowerPrecedenceRoute, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class NoRoute:
    """No route matches the request.

    Attributes:
        methods: Methods that have a route for the same host and path.
        hosts: Hosts that have a route for the same method and path.
    """

    methods: tuple[str, ...]
    hosts: tuple[str, ...]


Explanation = Chosen | NoRoute


def explain(rules: RuleSet, method: str, host: str, path: str) -> Explanation:
    """Explains which route a request takes, if any."""
    table = RouteTable(rules)
    matches = tuple(table.matches(method, host, path))
    if not matches:
        return _no_route(table, rules, method, host, path)
    chosen = matches[0]
    return Chosen(
        route=chosen,
        reasons=tuple(_reasons(chosen)),
        shares=tuple(_shares(rules, chosen)),
        lesser=tuple(
            LowerPrecedenceRoute(route, _precedence_reason(chosen, route))
            for route in matches[1:]
        ),
    )


def _reasons(route: RouteRule) -> Iterator[str]:
    yield "any host" if route.host == ANY else f"exact host {route.host}"
    if route.path.endswith(PREFIX_SUFFIX):
        yield f"path prefix {route.path}"
    else:
        yield f"exact path {route.path}"
    if route.method == ANY:
        yield "any method"
    else:
        yield f"exact method {route.method}"


def _shares(rules: RuleSet, route: RouteRule) -> Iterator[Share]:
    total = sum(target.weight for target in route.targets)
    for target in route.targets:
        yield Share(
            target.service,
            100 * target.weight / total,
            rules.services[target.service].origin.asked_by,
        )


def _precedence_reason(chosen: RouteRule, other: RouteRule) -> str:
    if chosen.host != other.host:
        return "an exact host wins over *"
    if chosen.path != other.path:
        if chosen.path.endswith(PREFIX_SUFFIX):
            return "a longer prefix wins"
        return "an exact path wins over a prefix"
    return "an exact method wins over *"


def _no_route(
    table: RouteTable, rules: RuleSet, method: str, host: str, path: str
) -> NoRoute:
    request_host = normalize_host(host)
    hosts = {route.host for route in rules.routes} - {request_host, ANY}
    return NoRoute(
        methods=tuple(sorted(table.methods(host, path))),
        hosts=tuple(
            name
            for name in sorted(hosts)
            if table.match(method, name, path) is not None
        ),
    )
