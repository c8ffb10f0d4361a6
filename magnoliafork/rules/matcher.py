"""Finds the route of a request by the precedence of routes.

An exact host wins over `*`, then an exact path over a prefix, then a longer
prefix, then an exact method over `*`.
"""

from collections.abc import Iterator

from magnoliafork.model.rules import RouteRule, RuleSet

ANY = "*"
PREFIX_SUFFIX = "/*"

RouteKey = tuple[str, str, str]
_ByMethod = dict[str, RouteRule]


def route_key(route: RouteRule) -> RouteKey:
    """Returns the key of a route, which is unique within a version."""
    return (route.host, route.path, route.method)


def normalize_host(host: str) -> str:
    """Returns a Host header without port and trailing dot, in lower case.

    >>> normalize_host("Shop.Example.:8080")
    'shop.example'
    >>> normalize_host("[::1]:80")
    '[::1]'
    """
    if host.startswith("["):
        name = host.partition("]")[0] + "]"
    else:
        name = host.partition(":")[0]
    return name.lower().removesuffix(".")


class _HostRoutes:
    """Routes of one host, indexed by path and method."""

    def __init__(self) -> None:
        self._exact: dict[str, _ByMethod] = {}
        self._prefixes: dict[str, _ByMethod] = {}
        self._max_slashes = 0

    def add(self, route: RouteRule) -> None:
        if route.path.endswith(PREFIX_SUFFIX):
            prefix = route.path.removesuffix(PREFIX_SUFFIX)
            by_method = self._prefixes.setdefault(prefix, {})
            self._max_slashes = max(self._max_slashes, prefix.count("/"))
        else:
            by_method = self._exact.setdefault(route.path, {})
        by_method.setdefault(route.method, route)

    def matching_routes(self, path: str) -> Iterator[_ByMethod]:
        """Yields the routes that match the path, the most specific first."""
        exact = self._exact.get(path)
        if exact is not None:
            yield exact
        if not self._prefixes:
            return
        prefix = self._longest_prefix(path)
        while True:
            by_method = self._prefixes.get(prefix)
            if by_method is not None:
                yield by_method
            if not prefix:
                return
            prefix = prefix.rpartition("/")[0]

    def _longest_prefix(self, path: str) -> str:
        """Cuts the path to as many segments as the longest prefix route."""
        segments = path.split("/", self._max_slashes + 1)
        return "/".join(segments[: self._max_slashes + 1])


class RouteTable:
    """Index over the routes of one configuration version.

    A lookup costs two dictionary accesses per host and path segment,
    independently of the number of routes. Hosts are compared without port
    and regardless of case; paths are compared literally, without the query.
    """

    def __init__(self, rules: RuleSet) -> None:
        """Indexes the routes; of several with the same key the first wins."""
        self._hosts: dict[str, _HostRoutes] = {}
        for route in rules.routes:
            self._hosts.setdefault(route.host, _HostRoutes()).add(route)

    def match(self, method: str, host: str, path: str) -> RouteRule | None:
        """Returns the route that a request takes, or None."""
        return next(self.matches(method, host, path), None)

    def matches(self, method: str, host: str, path: str) -> Iterator[RouteRule]:
        """Yields every route that matches, in order of precedence."""
        for by_method in self._matching_routes(host, path):
            for key in (method, ANY):
                route = by_method.get(key)
                if route is not None:
                    yield route

    def methods(self, host: str, path: str) -> frozenset[str]:
        """Returns the methods for which the host and path have a route."""
        return frozenset(
            method
            for by_method in self._matching_routes(host, path)
            for method in by_method
        )

    def _matching_routes(self, host: str, path: str) -> Iterator[_ByMethod]:
        if not path.startswith("/"):
            # `OPTIONS *` and absolute URLs are not paths of a service, so
            # not even `/*` matches them.
            return
        bare_path = path.partition("?")[0]
        for key in (normalize_host(host), ANY):
            routes = self._hosts.get(key)
            if routes is not None:
                yield from routes.matching_routes(bare_path)
