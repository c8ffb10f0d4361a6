"""Selects the route of a request and the service that serves it."""

import random
import re

from magnoliafork.mesh.model import MeshConfig, MeshRoute

_PORT = re.compile(r":[0-9]*$", re.ASCII)


class RouteIndex:
    """Finds routes of one configuration by host and path prefix."""

    def __init__(self, config: MeshConfig) -> None:
        """Indexes the routes of a configuration."""
        self.config = config
        self._by_host: dict[str, dict[str, MeshRoute]] = {}
        for route in config.routes:
            prefixes = self._by_host.setdefault(route.host, {})
            prefixes[route.prefix] = route

    def match(self, host: str, path: str) -> MeshRoute | None:
        """Returns the route whose prefix is the longest match of a path.

        Args:
            host: Value of the `Host` header.
            path: Path without the query.
        """
        prefixes = self._by_host.get(_PORT.sub("", host).lower())
        if prefixes is None:
            return None
        end = path.rfind("/")
        while end >= 0:
            route = prefixes.get(path[: end + 1])
            if route is not None:
                return route
            end = path.rfind("/", 0, end)
        return None


class WeightedSplit:
    """Splits the requests of each route among its services by weight.

    Uses smooth weighted round robin: after any number of requests, each
    service is at most one request off its share. Every node starts at a random
    point, so that the nodes do not all pick the same service at once.
    """

    def __init__(self, rng: random.Random) -> None:
        """Creates a split without state."""
        self._rng = rng
        self._states: dict[str, tuple[MeshRoute, list[float]]] = {}

    def pick(self, route: MeshRoute) -> str:
        """Returns the service for the next request of a route."""
        targets = route.targets
        if len(targets) == 1:
            return targets[0].service
        state = self._states.get(route.name)
        if state is None or state[0].targets != targets:
            start = [self._rng.random() * t.weight for t in targets]
            state = (route, start)
            self._states[route.name] = state
        scores = state[1]
        total = 0.0
        for index, target in enumerate(targets):
            scores[index] += target.weight
            total += target.weight
        best = max(range(len(targets)), key=scores.__getitem__)
        scores[best] -= total
        return targets[best].service

    def retain(self, config: MeshConfig) -> None:
        """Drops the state of routes that no longer exist."""
        names = {route.name for route in config.routes}
        for name in list(self._states):
            if name not in names:
                del self._states[name]
