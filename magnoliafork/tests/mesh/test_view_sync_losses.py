"""Changes reach the rest of a grown fleet whichever nodes are lost."""

import random
from collections.abc import Callable, Iterable

import pytest

from magnoliafork.mesh.reader_selection import rank_hosts
from magnoliafork.mesh.view import ViewDelta
from magnoliafork.mesh.view_sync import PEER_TIMEOUT_S
from magnoliafork.tests.mesh.test_view_sync import (
    ZONES,
    FakeCluster,
    lagging_hosts,
    readers_of,
)

NODES_PER_ZONE = 30
STEP_S = 0.1
# Detection of lost neighbours, takeover of reading, and some hops.
CATCH_UP_S = 14.0


class ReadingCluster(FakeCluster):
    """Nodes whose readers get all changes from the store."""

    def __init__(self) -> None:
        self.without_store: set[str] = set()
        self.published: list[ViewDelta] = []
        super().__init__(NODES_PER_ZONE, ZONES)

    def ranked(self, zone: str) -> list[str]:
        return rank_hosts(zone, {h for h in self.nodes if h[0] == zone})

    def lose(self, hosts: Iterable[str]) -> None:
        self.isolated |= set(hosts)

    def deliver(self) -> None:
        for host in readers_of(self):
            if host in self.isolated or host in self.without_store:
                continue
            for delta in self.published:
                self.nodes[host].view.apply(delta)
        super().deliver()

    def publish_and_run(self, seconds: float) -> None:
        self.published.append(self.publish(2))
        self.run(seconds, STEP_S)


def first_three(cluster: ReadingCluster) -> list[str]:
    return [h for zone in ZONES for h in cluster.ranked(zone)[:3]]


def second_tier(cluster: ReadingCluster) -> list[str]:
    return [h for zone in ZONES for h in cluster.ranked(zone)[2:10]]


def zone_and_first_three(cluster: ReadingCluster) -> list[str]:
    return [*cluster.ranked("x"), *first_three(cluster)]


@pytest.mark.parametrize(
    "lost", [first_three, second_tier, zone_and_first_three]
)
def test_rest_of_the_fleet_gets_changes_after_a_loss(
    lost: Callable[[ReadingCluster], list[str]],
) -> None:
    """Neighbours that were cut off as well counted as a source of changes."""
    cluster = ReadingCluster()
    cluster.lose(lost(cluster))
    cluster.publish_and_run(CATCH_UP_S)
    assert lagging_hosts(cluster) == []


@pytest.mark.parametrize("seed", range(4))
def test_rest_of_the_fleet_gets_changes_after_random_losses(seed: int) -> None:
    """A node whose peers were all lost kept its old view."""
    cluster = ReadingCluster()
    hosts = sorted(cluster.nodes)
    cluster.lose(random.Random(seed).sample(hosts, len(hosts) * 7 // 10))
    cluster.publish_and_run(CATCH_UP_S)
    assert lagging_hosts(cluster) == []


def substitutes_of(cluster: ReadingCluster, host: str) -> list[str]:
    """Loses the peers of a node in its zone and the first three nodes."""
    node = cluster.nodes[host]
    in_zone = [peer for peer in node.targets if peer[0] == host[0]]
    cluster.lose([*in_zone, *cluster.ranked(host[0])[:3]])
    # Silence of the peers, and the time until they are substituted.
    cluster.run(3 * PEER_TIMEOUT_S, STEP_S)
    return [
        peer
        for peer in node.targets
        if peer[0] == host[0] and peer not in cluster.isolated
    ]


def test_substitute_peers_that_respond_are_kept() -> None:
    """Guards against new connections every few seconds without a need."""
    cluster = ReadingCluster()
    host = cluster.ranked("x")[20]
    substitutes = substitutes_of(cluster, host)
    assert substitutes
    for _ in range(10):
        cluster.run(PEER_TIMEOUT_S, STEP_S)
        assert set(substitutes) <= set(cluster.nodes[host].targets)


def test_substitute_peers_that_are_lost_are_replaced() -> None:
    """Guards against a node that stays with peers which do not respond."""
    cluster = ReadingCluster()
    host = cluster.ranked("x")[20]
    cluster.lose(substitutes_of(cluster, host))
    cluster.run(6 * PEER_TIMEOUT_S, STEP_S)
    targets = cluster.nodes[host].targets
    assert [p for p in targets if p[0] == "x" and p not in cluster.isolated]


def test_other_nodes_read_if_the_first_of_all_zones_cannot() -> None:
    """Nobody read although most machines reached the store."""
    cluster = ReadingCluster()
    cluster.without_store = set(first_three(cluster))
    for host in cluster.without_store:
        cluster.nodes[host].reads_store = False
    cluster.publish_and_run(CATCH_UP_S)
    assert lagging_hosts(cluster) == []


def test_few_nodes_take_over_while_the_store_is_away() -> None:
    """Every call to the store has a cost, also while it does not answer."""
    cluster = ReadingCluster()
    for node in cluster.nodes.values():
        node.reads_store = False
    cluster.run(6.0, STEP_S)
    assert len(readers_of(cluster)) <= 3 * len(ZONES)
