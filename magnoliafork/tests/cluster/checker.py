"""Reads a recorded history and reports what breaks a promise."""

from collections.abc import Iterable

from magnoliafork.model.version import NO_VERSION, Version
from magnoliafork.tests.cluster.fakes import FakeNetwork


def worst_second(times: Iterable[float]) -> int:
    """Returns the largest number of events within any second."""
    ordered = sorted(times)
    worst = first = 0
    for last, time_s in enumerate(ordered):
        while ordered[first] <= time_s - 1:
            first += 1
        worst = max(worst, last - first + 1)
    return worst


def problems(network: FakeNetwork, expected: Version) -> list[str]:
    """Returns the broken promises of a finished run, empty when none."""
    found = []
    highest: dict[tuple[str, int], Version] = {}
    for node_id, life, version in network.history:
        if version <= highest.get((node_id, life), NO_VERSION):
            found.append(f"{node_id} went back to {version}")
        highest[node_id, life] = version
    for node in network.nodes.values():
        if node.store.version != expected:
            found.append(f"{node.id} has {node.store.version}")
    worst = worst_second(network.source.read_times)
    if worst > network.reads_per_s:
        found.append(f"{worst} reads in one second")
    return found
