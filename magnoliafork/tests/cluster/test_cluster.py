"""A dozen nodes in memory under the faults of the design page."""

import asyncio
from collections.abc import Awaitable, Callable

import pytest

from magnoliafork.model.instance import MemberState
from magnoliafork.model.version import Version
from magnoliafork.tests import virtual_time
from magnoliafork.tests.cluster.checker import problems
from magnoliafork.tests.cluster.fakes import (
    FLEET_READS_PER_S,
    FakeNetwork,
    contents_of,
    dozen,
)

# Promise of the design page: in force everywhere within 16 s.
CONVERGENCE_S = 16.0
FLEET = dozen()
FIRST = FLEET[0].instance_id


def run(
    scenario: Callable[[FakeNetwork], Awaitable[Version]], seed: int = 1
) -> None:
    """Runs a scenario and checks the history that it leaves."""

    async def main() -> None:
        network = FakeNetwork(seed)
        network.list_instances(FLEET)
        network.seed_ids = tuple(one.instance_id for one in FLEET[:2])
        expected = await scenario(network)
        assert problems(network, expected, FLEET_READS_PER_S) == []
        await network.stop()

    virtual_time.run(main())


async def started(network: FakeNetwork) -> Version:
    version = network.source.publish(1, contents_of(1))
    for instance in FLEET:
        network.start(instance)
    await network.converge(version, CONVERGENCE_S)
    await asyncio.sleep(10)
    return version


def states_of(network: FakeNetwork, instance_id: str) -> set[MemberState]:
    members = [
        node.control.table.get(instance_id)
        for node in network.nodes.values()
        if node.id != instance_id
    ]
    return {member.state for member in members if member is not None}


def all_joined(network: FakeNetwork) -> bool:
    return all(
        node.control.is_joined(network.now_s())
        for node in network.nodes.values()
    )


def test_a_change_reaches_all_nodes_while_the_source_fails() -> None:
    # Guards against versions that need the source on every node (I11).
    async def scenario(network: FakeNetwork) -> Version:
        await started(network)
        version = network.source.publish(2, contents_of(2))
        while len(network.versions()) == 1:
            await asyncio.sleep(0.01)
        network.source.is_down = True
        await network.converge(version, CONVERGENCE_S)
        # Longer than every period and timeout of the control plane.
        await asyncio.sleep(1200)
        assert all(len(n.neighbours()) > 3 for n in network.nodes.values())
        network.source.is_down = False
        version = network.source.publish(3, contents_of(3))
        await network.converge(version, CONVERGENCE_S)
        return version

    run(scenario)


def test_two_contents_of_one_version_converge_on_one() -> None:
    # Guards against a split fleet when operators publish a number twice.
    async def scenario(network: FakeNetwork) -> Version:
        await started(network)
        network.side = {one.instance_id: 1 for one in FLEET[:6]}
        left = network.source.publish(2, contents_of(2))
        await asyncio.sleep(5)
        right = network.source.publish(2, contents_of(3))
        await asyncio.sleep(30)
        network.side = {}
        await network.converge(max(left, right), CONVERGENCE_S)
        return max(left, right)

    run(scenario)


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_lost_doubled_and_crossed_messages_are_repaired(seed: int) -> None:
    # Guards against a node that misses a version for good.
    async def scenario(network: FakeNetwork) -> Version:
        version = await started(network)
        network.loss, network.duplication, network.crossing = 0.2, 0.2, 0.3
        for number in range(2, 12):
            version = network.source.publish(number, contents_of(number))
            await asyncio.sleep(2)
        network.source.is_down = True
        network.loss = network.duplication = network.crossing = 0.0
        await network.converge(version, CONVERGENCE_S)
        await asyncio.sleep(CONVERGENCE_S)
        digests = {n.control.table.digest() for n in network.nodes.values()}
        assert len(digests) == 1
        return version

    run(scenario, seed)


def test_a_node_paused_over_ten_versions_catches_up() -> None:
    # Guards against a resumed node that acts on its old view, and against
    # one that stays dead for its peers.
    async def scenario(network: FakeNetwork) -> Version:
        await started(network)
        node = network.nodes[FIRST]
        node.is_paused = True
        for number in range(2, 12):
            version = network.source.publish(number, contents_of(number))
            await asyncio.sleep(3)
        assert states_of(network, FIRST) == {MemberState.DEAD}
        assert node.store.version.number == 1
        incarnation = node.control.incarnation
        node.resume()
        assert node.control.is_view_stale
        await network.converge(version, CONVERGENCE_S)
        await asyncio.sleep(CONVERGENCE_S)
        assert not node.control.is_view_stale
        assert states_of(network, FIRST) == {MemberState.ALIVE}
        assert node.control.incarnation > incarnation
        assert all(
            states_of(network, one.instance_id) == {MemberState.ALIVE}
            for one in FLEET
        )
        return version

    run(scenario)


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_a_partition_heals(seed: int) -> None:
    # Guards against halves that never meet again after declaring each other
    # dead.
    async def scenario(network: FakeNetwork) -> Version:
        await started(network)
        network.side = {one.instance_id: 1 for one in FLEET[::2]}
        await asyncio.sleep(600)
        assert states_of(network, FIRST) == {
            MemberState.ALIVE,
            MemberState.DEAD,
        }
        version = network.source.publish(2, contents_of(2))
        while len(network.versions()) == 1:
            await asyncio.sleep(0.01)
        # Only the side that read it has the version when the source fails.
        network.source.is_down = True
        network.side = {}
        await network.converge(version, CONVERGENCE_S)
        await asyncio.sleep(CONVERGENCE_S)
        assert all(
            states_of(network, one.instance_id) == {MemberState.ALIVE}
            for one in FLEET
        )
        return version

    run(scenario, seed)


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_all_nodes_restart_at_once(seed: int) -> None:
    # Guards against a storm on the source and a fleet that never joins. The
    # read budget is checked over every second of the run.
    async def scenario(network: FakeNetwork) -> Version:
        version = await started(network)
        for _ in range(3):
            await asyncio.gather(
                *(node.kill() for node in list(network.nodes.values()))
            )
            await asyncio.sleep(1.5)
            for instance in FLEET:
                network.start(instance)
            await network.converge(version, CONVERGENCE_S)
            await asyncio.sleep(5)
            assert all_joined(network)
        return version

    run(scenario, seed)


def test_a_restart_with_a_stale_source_waits_for_the_newer_peers() -> None:
    # Guards against a restarted node that serves an older version (I11).
    async def scenario(network: FakeNetwork) -> Version:
        await started(network)
        old = dict(network.source.values)
        version = network.source.publish(2, contents_of(2))
        await network.converge(version, CONVERGENCE_S)
        network.source.frozen = old
        await network.nodes[FIRST].kill()
        await asyncio.sleep(30)
        node = network.start(FLEET[0])
        started_s = network.now_s()
        while not node.control.is_joined(network.now_s()):
            assert network.now_s() - started_s < CONVERGENCE_S
            await asyncio.sleep(0.05)
        assert node.store.version == version
        assert len(node.control.reached_peers) >= 3
        return version

    run(scenario)


def test_a_leaving_node_is_known_everywhere_within_seconds() -> None:
    # Guards against new work for a leaving instance (I9: 3 s).
    async def scenario(network: FakeNetwork) -> Version:
        version = await started(network)
        network.nodes[FIRST].control.announce_leaving()
        await asyncio.sleep(1)
        assert states_of(network, FIRST) == {MemberState.LEAVING}
        await network.nodes[FIRST].kill()
        await asyncio.sleep(30)
        assert states_of(network, FIRST) == {MemberState.DEAD}
        return version

    run(scenario)


def test_a_first_node_alone_joins_from_the_source() -> None:
    # Guards against a mesh that cannot start because it has no peers.
    async def scenario(network: FakeNetwork) -> Version:
        version = network.source.publish(1, contents_of(1))
        network.list_instances(FLEET[:1])
        node = network.start(FLEET[0])
        assert not node.control.is_joined(network.now_s())
        await asyncio.sleep(8)
        assert node.control.is_joined(network.now_s())
        return version

    run(scenario)
