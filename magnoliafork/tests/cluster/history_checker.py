"""Checks the recorded history of a run against the system's guarantees."""

from collections.abc import Iterable

from magnoliafork.model.version import NO_VERSION, Version
from magnoliafork.tests.cluster.fakes import FakeNetwork


def max_count_per_second(times: Iterable[float]) -> int:
    """Returns the largest number of events within any second."""
    ordered = sorted(times)
    max_count = first = 0
    for last, time_s in enumerate(ordered):
        while ordered[first] <= time_s - 1:
            first += 1
        max_count = max(max_count, last - first + 1)
    return max_count


def find_violations(network: FakeNetwork, expected: Version) -> list[str]:
    """Returns the guarantees that a finished run broke, empty when none."""
    found = []
    highest: dict[tuple[str, int], Version] = {}
    for node_id, start_number, version in network.history:
        if version <= highest.get((node_id, start_number), NO_VERSION):
            found.append(f"{node_id} went back to {version}")
        highest[node_id, start_number] = version
    for node in network.nodes.values():
        if node.store.version != expected:
            found.append(f"{node.id} has {node.store.version}")
    max_reads = max_count_per_second(network.source.read_times)
    if max_reads > network.reads_per_s:
        found.append(f"{max_reads} reads in one second")
    return found
