"""Configurations in quick succession reach nodes whose links are slow."""

import asyncio

import pytest

from magnoliafork.mesh.store_reader import CATCH_UP_PAUSE_S
from magnoliafork.tests.mesh import store_fleet
from magnoliafork.tests.mesh.store_fleet import Fleet, MachineLink
from magnoliafork.tests.mesh.test_view_sync_bandwidth import PublishedRoutes
from magnoliafork.wire.messages import ViewAnnounce

NODES_PER_ZONE = 30
HOSTS = tuple(f"{z}{n}" for z in "xyz" for n in range(NODES_PER_ZONE))
# The slowest links of the grown deployments, 5 Mbit/s.
LINK_BYTES_PER_S = 625_000
# Time after which an accepted configuration must be in force.
APPLY_LIMIT_S = 2.5
# Time between two versions, and versions of a storm.
GAP_S = 0.27
VERSIONS = 24
# Entries of upstreams that change beside each version.
OTHER_CHANGES = 3


async def _late_nodes(fleet: Fleet, route_count: int) -> set[tuple[int, str]]:
    """Publishes a storm of versions.

    Returns:
        Versions that nodes did not have in time, with these nodes.
    """
    loop = asyncio.get_running_loop()
    routes = PublishedRoutes(route_count)
    late: set[tuple[int, str]] = set()
    published_at_s: dict[int, float] = {}

    def check() -> None:
        due = [
            version
            for version, at_s in published_at_s.items()
            if loop.time() - at_s > APPLY_LIMIT_S
        ]
        late.update(
            (version, node.host)
            for version in due[-1:]
            for node in fleet.live()
            if node.view.config_version < version
        )

    for version in range(2, VERSIONS + 2):
        routes.change_one()
        fleet.store.publish(version, routes.value(version))
        published_at_s[version] = loop.time()
        for number in range(OTHER_CHANGES):
            index = (version * OTHER_CHANGES + number) % len(HOSTS)
            fleet.store.announce(HOSTS[index])
        await asyncio.sleep(GAP_S)
        check()
    await asyncio.sleep(APPLY_LIMIT_S)
    check()
    return late


@pytest.mark.parametrize("route_count", [816, 2300])
def test_storm_of_large_configurations_is_in_force_in_time(
    route_count: int,
) -> None:
    """Nodes read every version that they had missed, and missed more of them.

    All nodes lagged, and their reads of the store took longer than they waited.
    """

    async def test(fleet: Fleet) -> None:
        assert await _late_nodes(fleet, route_count) == set()

    store_fleet.run(test, 0, HOSTS, LINK_BYTES_PER_S)


def test_node_that_lags_leaves_its_link_to_other_traffic() -> None:
    """Reads of the store, one after the other, filled the link of the node."""

    async def test(fleet: Fleet) -> None:
        readers = fleet.default_readers()
        node = next(n for h, n in fleet.nodes.items() if h not in readers)
        peer = next(h for h in sorted(node.peers) if h not in readers)
        routes = PublishedRoutes(816)
        fleet.store.publish(2, routes.value(2))
        await asyncio.sleep(APPLY_LIMIT_S)
        fleet.kill(peer)
        # A peer announces what it never delivers.
        missing = fleet.store.published.revision + 1000
        node.view_sync.on_control(peer, ViewAnnounce(missing, 0, 3_600_000))
        reads = node.reader.counters.reads
        await asyncio.sleep(10.0)
        # One read for each pause at most.
        assert 10 <= node.reader.counters.reads - reads <= 10 / CATCH_UP_PAUSE_S

    store_fleet.run(test, 0, HOSTS, LINK_BYTES_PER_S)


def test_reader_with_a_slow_link_lets_others_read() -> None:
    """Its zone waited for answers that took many seconds."""

    async def test(fleet: Fleet) -> None:
        readers = fleet.default_readers()
        fleet.store.publish(2, PublishedRoutes(816).value(2))
        await asyncio.sleep(APPLY_LIMIT_S)
        for host in readers:
            fleet.inbound[host] = MachineLink(LINK_BYTES_PER_S / 10)
        late = await _late_nodes(fleet, 816)
        assert not any(
            fleet.nodes[h].view_sync.has_store_access(h) for h in readers
        )
        assert any(
            n.view_sync.is_reader
            for h, n in fleet.nodes.items()
            if h not in readers
        )
        # Until others read: a watch, and the time until they have noticed.
        others_late = [v for v, host in late if host not in readers]
        assert max(others_late, default=0) * GAP_S < 4.0

    store_fleet.run(test, 0, HOSTS, LINK_BYTES_PER_S)
