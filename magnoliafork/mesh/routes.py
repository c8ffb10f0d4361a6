"""Selects the route of a request and the service that serves it."""

import random
import re

from magnoliafork.mesh.model import MeshConfig, MeshRoute

_PORT = re.compile(r":[0-9]*$", re.ASCII)


class RouteIndex:
    """Routes of one configuration by host and prefix."""

    def __init__(self, config: MeshConfig) -> None:
        """Builds the index."""
        self.config = config
        self._by_host: dict[str, dict[str, MeshRoute]] = {}
        for route in config.routes:
            prefixes = self._by_host.setdefault(route.host, {})
            prefixes[route.prefix] = route

    def match(self, host: str, path: str) -> MeshRoute | None:
        """Returns the route with the longest prefix of a path.

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
    """Divides the requests of each route among its services.

    Services take turns in proportion to their weights; after any number of
    requests, each is at most one request off its share. Every node starts at
    another point, so that the fleet does not choose in step.
    """

    def __init__(self, rng: random.Random) -> None:
        """Starts without turns."""
        self._rng = rng
        self._turns: dict[str, tuple[MeshRoute, list[float]]] = {}

    def pick(self, route: MeshRoute) -> str:
        """Returns the service for the next request of a route."""
        targets = route.targets
        if len(targets) == 1:
            return targets[0].service
        known = self._turns.get(route.name)
        if known is None or known[0].targets != targets:
            start = [self._rng.random() * t.weight for t in targets]
            known = (route, start)
            self._turns[route.name] = known
        current = known[1]
        total = 0.0
        for index, target in enumerate(targets):
            current[index] += target.weight
            total += target.weight
        best = max(range(len(targets)), key=current.__getitem__)
        current[best] -= total
        return targets[best].service

    def retain(self, config: MeshConfig) -> None:
        """Drops the turns of routes that no longer exist."""
        names = {route.name for route in config.routes}
        for name in list(self._turns):
            if name not in names:
                del self._turns[name]
