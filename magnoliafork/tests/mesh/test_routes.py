"""Routes are matched by the longest prefix, services picked by weight."""

import collections
import random

import pytest

from magnoliafork.mesh.model import WeightedService
from magnoliafork.mesh.routes import RouteIndex, WeightedSplit
from magnoliafork.tests.mesh.builders import config, route

INDEX = RouteIndex(
    config(
        routes=(
            route("all", prefix="/"),
            route("a", prefix="/a/"),
            route("ab", prefix="/a/b/"),
        )
    )
)


@pytest.mark.parametrize(
    ("path", "name"),
    [
        ("/a/b/c", "ab"),
        ("/a/b", "a"),
        ("/a/", "a"),
        ("/a", "all"),
        ("/ab/c", "all"),
    ],
)
def test_longest_prefix_wins(path: str, name: str) -> None:
    """Requests would go to the service of a more general route."""
    found = INDEX.match("Shop.example:80", path)
    assert found is not None
    assert found.name == name


def test_unknown_host_has_no_route() -> None:
    """A request for an unknown host would reach another host's service."""
    assert INDEX.match("other.example", "/a/") is None


def test_split_matches_the_weights_over_any_span_of_requests() -> None:
    """Random picks would miss the weights over a short span."""
    split = WeightedSplit(random.Random(3))
    divided = route(
        targets=(WeightedService("x", 70), WeightedService("y", 30))
    )
    picks = [split.pick(divided) for _ in range(500)]
    for start in range(0, 400, 7):
        counted = collections.Counter(picks[start : start + 100])
        assert abs(counted["x"] - 70) <= 2


def test_changed_targets_apply_to_the_next_request() -> None:
    """Requests would reach a service that was removed from the split."""
    split = WeightedSplit(random.Random(3))
    old = route(targets=(WeightedService("x", 1), WeightedService("y", 1)))
    new = route(targets=(WeightedService("y", 1), WeightedService("z", 1)))
    split.pick(old)
    assert {split.pick(new) for _ in range(10)} == {"y", "z"}


@pytest.mark.parametrize(
    "target", ["http://shop.example/browse/x", "shop.example:443", "*"]
)
def test_target_that_is_no_path_matches_no_route(target: str) -> None:
    """Guards against targets for a proxy that are passed to an upstream."""
    routes = (route(), route("all", prefix="/"))
    index = RouteIndex(config(routes=routes))
    assert index.match("shop.example", target) is None
