"""Fleets of up to 60 nodes in memory under the faults of the design page.

Labels such as I3 refer to the design page.
"""

import asyncio
from collections.abc import Awaitable, Callable

import pytest

from magnoliafork.model.manifest import sha256_hex
from magnoliafork.model.version import Version
from magnoliafork.source.api import MANIFEST_KEY, part_key
from magnoliafork.tests import virtual_time
from magnoliafork.tests.cluster.fakes import FakeNetwork, contents_of
from magnoliafork.tests.cluster.history_checker import find_violations

# The design page guarantees that a version is in force on all nodes within
# 16 s.
CONVERGENCE_S = 16.0
CONTROL_BYTES_PER_S = 3_000
Scenario = Callable[[FakeNetwork], Awaitable[Version]]
SEEDS = pytest.mark.parametrize("seed", [1, 2, 3])


def run(scenario: Scenario, count: int = 12, seed: int = 1) -> None:
    """Runs a scenario and checks the guarantees.

    The version that the scenario returns must be in force on all nodes within
    `CONVERGENCE_S` of its end.
    """

    async def main() -> None:
        network = FakeNetwork(count, seed)
        network.source.publish(1)
        network.start_missing_nodes()
        await asyncio.sleep(CONVERGENCE_S)
        assert all(node.is_joined for node in network.nodes.values())
        expected = await scenario(network)
        await asyncio.sleep(CONVERGENCE_S)
        assert find_violations(network, expected) == []
        everyone_alive = [{"ALIVE"}] * (count if count > 1 else 0)
        if len(network.nodes) == count:
            states = [network.states(node_id) for node_id in network.ids]
            assert states[: len(everyone_alive)] == everyone_alive
        await network.kill_all()

    virtual_time.run(main())


async def wait_for_first_change(network: FakeNetwork) -> None:
    while len(network.versions()) == 1:
        await asyncio.sleep(0.001)


@pytest.mark.parametrize("count", [1, 12])
def test_an_incomplete_publication_is_not_applied(count: int) -> None:
    # Guards against a version in force with a missing or wrong part (I3).
    async def scenario(network: FakeNetwork) -> Version:
        contents = contents_of(2) | {"service/b": b"[1]"}
        version = network.source.publish(2, contents, missing="service/b")
        await asyncio.sleep(30)
        key = part_key(sha256_hex(b"[1]"))
        network.source.put(key, b"[2]")
        await asyncio.sleep(30)
        assert {version.number for version in network.versions()} == {1}
        network.source.put(key, b"[1]")
        return version

    run(scenario, count)


@pytest.mark.parametrize("count", [1, 12])
def test_a_stale_flapping_source_never_lowers_the_version(count: int) -> None:
    # Guards against going back to an older version when an outdated replica
    # of the source answers (I1).
    async def scenario(network: FakeNetwork) -> Version:
        source = network.source
        old = dict(source.values)
        source.publish(5)
        for second in range(60):
            await asyncio.sleep(1)
            source.stale_values = old if second % 2 else None
            source.is_down = second % 3 == 0
        source.is_down, source.stale_values = False, None
        return source.publish(6)

    run(scenario, count)


def test_an_hour_without_the_source_costs_few_reads() -> None:
    # Guards against a node that gets stuck, or floods the source with reads,
    # during or after a long outage.
    async def scenario(network: FakeNetwork) -> Version:
        network.source.is_down = True
        await asyncio.sleep(3600)
        # Mean delays are 4 s for the manifest and 30 s for the list.
        assert network.nodes[network.ids[0]].reader.counters.reads < 1200
        network.source.is_down = False
        return network.source.publish(2)

    run(scenario, 1)


def test_a_change_reaches_all_nodes_while_the_source_fails() -> None:
    # Guards against a distribution in which every node has to read the source
    # (I11).
    async def scenario(network: FakeNetwork) -> Version:
        version = network.source.publish(2)
        await wait_for_first_change(network)
        network.source.is_down = True
        return version

    run(scenario)


def test_a_bad_manifest_is_reported_once_and_skipped() -> None:
    # Guards against a reader that stops, or reports the same manifest at each
    # read.
    async def scenario(network: FakeNetwork) -> Version:
        network.source.put(MANIFEST_KEY, b"{")
        await asyncio.sleep(300)
        counters = network.nodes[network.ids[0]].reader.counters
        assert counters.bad_manifests == 1
        return network.source.publish(2)

    run(scenario, 1)


@pytest.mark.parametrize("number_of_first", [2, 3])
def test_nodes_agree_when_a_number_is_used_twice(number_of_first: int) -> None:
    # Guards against a fleet that stays split between two contents that were
    # published under the same version number.
    async def scenario(network: FakeNetwork) -> Version:
        network.sides = dict.fromkeys(network.ids[:6], 1)
        first = network.source.publish(2, contents_of(number_of_first))
        await wait_for_first_change(network)
        second = network.source.publish(2, contents_of(5 - number_of_first))
        await asyncio.sleep(30)
        network.sides = {}
        await asyncio.sleep(CONVERGENCE_S)
        return max(first, second)

    run(scenario)


@SEEDS
def test_nodes_recover_from_lost_and_reordered_messages(seed: int) -> None:
    # Guards against a node that never learns of a version or a member after
    # messages were lost, duplicated or reordered.
    async def scenario(network: FakeNetwork) -> Version:
        network.loss, network.duplication, network.reordering = 0.2, 0.2, 0.3
        for number in range(2, 12):
            version = network.source.publish(number)
            await asyncio.sleep(2)
        network.source.is_down = True
        network.loss = network.duplication = network.reordering = 0.0
        return version

    run(scenario, seed=seed)


def test_a_node_paused_during_ten_versions_catches_up() -> None:
    # Guards against a resumed node that acts on its outdated view.
    async def scenario(network: FakeNetwork) -> Version:
        node = network.nodes[network.ids[0]]
        node.is_paused = True
        for number in range(2, 12):
            version = network.source.publish(number)
            await asyncio.sleep(3)
        assert network.states(node.id) == {"DEAD"}
        incarnation = node.control.incarnation
        node.resume()
        assert node.control.is_view_stale
        await asyncio.sleep(CONVERGENCE_S)
        assert not node.control.is_view_stale
        assert node.control.incarnation > incarnation
        return version

    run(scenario)


@SEEDS
def test_a_partition_heals(seed: int) -> None:
    # Guards against two halves that never reconnect after each has marked the
    # other as DEAD.
    async def scenario(network: FakeNetwork) -> Version:
        network.sides = dict.fromkeys(network.ids[::2], 1)
        await asyncio.sleep(600)
        assert network.states(network.ids[0]) == {"ALIVE", "DEAD"}
        version = network.source.publish(2)
        await wait_for_first_change(network)
        # Only one side may have the version when the source fails.
        network.source.is_down = True
        network.sides = {}
        return version

    run(scenario, seed=seed)


def test_an_isolated_node_and_broken_paths_suspect_no_other_node() -> None:
    # Guards against live instances that are reported as suspect or dead by a
    # single node that cannot reach them.
    async def scenario(network: FakeNetwork) -> Version:
        isolated, *others = network.ids
        network.sides = {isolated: 1}
        network.blocked_pairs = {
            frozenset((others[0], peer))
            for peer in network.nodes[others[0]].neighbours()[:2]
        }
        await asyncio.sleep(60)
        assert network.states(isolated) == {"DEAD"}
        table = network.nodes[isolated].control.table
        assert {member.state.name for member in table} == {"ALIVE"}
        assert all(network.states(peer) == {"ALIVE"} for peer in others)
        network.sides = {}
        await asyncio.sleep(CONVERGENCE_S)
        return network.source.publish(2)

    run(scenario)


def test_links_closed_after_a_start_cause_no_probes() -> None:
    # Guards against probes and refutations when the seed peers close the
    # links of the whole fleet.
    async def scenario(network: FakeNetwork) -> Version:
        await asyncio.sleep(15)
        for node in network.nodes.values():
            assert node.sent_bytes["ProbeRequest"] == 0
            assert node.control.incarnation == 1_000_000
        return network.source.publish(2)

    run(scenario, 60)


@SEEDS
def test_all_nodes_restart_at_once(seed: int) -> None:
    # Guards against too many reads of the source in any one second, which
    # find_violations checks, and against a fleet that never joins again.
    async def scenario(network: FakeNetwork) -> Version:
        for number in (2, 3, 4):
            version = network.source.publish(number)
            await network.kill_all()
            await asyncio.sleep(1.5)
            network.start_missing_nodes()
            await asyncio.sleep(CONVERGENCE_S)
            assert all(node.is_joined for node in network.nodes.values())
        return version

    run(scenario, seed=seed)


def test_a_restart_with_a_stale_source_waits_for_newer_peers() -> None:
    # Guards against a restarted node that serves an older version (I11).
    async def scenario(network: FakeNetwork) -> Version:
        old = dict(network.source.values)
        version = network.source.publish(2)
        await asyncio.sleep(CONVERGENCE_S)
        network.source.stale_values = old
        await network.nodes[network.ids[0]].kill()
        await asyncio.sleep(30)
        network.start_missing_nodes()
        node = network.nodes[network.ids[0]]
        while not node.is_joined:
            await asyncio.sleep(0.01)
        assert node.store.version == version
        assert len(node.control.reached_peers) >= 3
        return version

    run(scenario)


def test_leaving_is_known_within_seconds_and_becomes_dead() -> None:
    # Guards against new work for a leaving instance (I9: 3 s).
    async def scenario(network: FakeNetwork) -> Version:
        node = network.nodes[network.ids[0]]
        node.control.announce_leaving()
        await asyncio.sleep(3)
        assert network.states(node.id) == {"LEAVING"}
        await node.kill()
        await asyncio.sleep(30)
        assert network.states(node.id) == {"DEAD"}
        return network.source.publish(2)

    run(scenario)


def test_control_bytes_stay_within_their_budget() -> None:
    # Guards against heartbeats, deltas and syncs that exceed 3 KB/s.
    async def scenario(network: FakeNetwork) -> Version:
        for node in network.nodes.values():
            node.sent_bytes.clear()
        for number in range(2, 13):
            version = network.source.publish(number)
            await asyncio.sleep(9)
        sent = [node.sent_bytes.total() for node in network.nodes.values()]
        assert max(sent) / 99 < CONTROL_BYTES_PER_S / 2
        return version

    run(scenario)
