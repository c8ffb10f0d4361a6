"""Route matching, weighted targets and request ids."""

import hashlib
from typing import Protocol

from magnoliafork.model.rules import RouteRule, WeightedTarget

REQUEST_ID_BITS = 128
REQUEST_ID_DIGITS = REQUEST_ID_BITS // 4


class RouteMatcher(Protocol):
    """Finds the route of a request."""

    def match(self, method: str, host: str, path: str) -> RouteRule | None:
        """Returns the most specific route, or None if there is none."""
        ...


def keyed_request_id(service: str, key: str) -> str:
    """Derives the 128-bit request id of a caller's key.

    >>> keyed_request_id("a", "k") == keyed_request_id("b", "k")
    False
    >>> len(keyed_request_id("a", "k"))
    32
    """
    digest = hashlib.sha256(f"{service}\0{key}".encode())
    return digest.hexdigest()[:REQUEST_ID_DIGITS]


def key_fraction(key: str) -> float:
    """Maps a key to a number in [0, 1), evenly distributed over all keys."""
    digest = hashlib.sha256(key.encode()).digest()
    return int.from_bytes(digest[:6], "big") / 2**48


def pick_weighted(targets: tuple[WeightedTarget, ...], fraction: float) -> str:
    """Picks a service by its share of the weights.

    >>> targets = (WeightedTarget("a", 90), WeightedTarget("b", 10))
    >>> pick_weighted(targets, 0.89), pick_weighted(targets, 0.91)
    ('a', 'b')
    """
    point = fraction * sum(target.weight for target in targets)
    for target in targets:
        point -= target.weight
        if point < 0:
            return target.service
    return targets[-1].service
