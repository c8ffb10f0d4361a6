"""Reads a recorded history and reports what breaks an invariant."""

from collections.abc import Iterable

from magnoliafork.model.version import NO_VERSION, Version
from magnoliafork.tests.cluster.fakes import FakeNetwork, InForce


def lowered_versions(history: Iterable[InForce]) -> list[InForce]:
    """Returns the records that do not rise within one process life (I1)."""
    highest: dict[tuple[str, int], Version] = {}
    found = []
    for record in history:
        key = (record.node, record.life)
        if record.version <= highest.get(key, NO_VERSION):
            found.append(record)
        highest[key] = max(record.version, highest.get(key, NO_VERSION))
    return found


def worst_second(times: Iterable[float]) -> int:
    """Returns the largest number of events within any second."""
    ordered = sorted(times)
    worst = first = 0
    for last, time_s in enumerate(ordered):
        while ordered[first] <= time_s - 1:
            first += 1
        worst = max(worst, last - first + 1)
    return worst


def problems(
    network: FakeNetwork, expected: Version, fleet_reads_per_s: float
) -> list[str]:
    """Returns the broken promises of a finished run, empty when none."""
    found = [
        f"{one.node} went back to {one.version.number} at {one.time_s:.2f}"
        for one in lowered_versions(network.history)
    ]
    found += [
        f"{node.id} has {node.store.version}, not {expected}"
        for node in network.nodes.values()
        if node.store.version != expected
    ]
    worst = worst_second(time_s for time_s, _ in network.source.reads)
    if worst > fleet_reads_per_s:
        found.append(f"{worst} reads in one second")
    return found
