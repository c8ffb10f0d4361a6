"""Random faults, and a checker that reads the recorded history."""

import asyncio
import random
from collections.abc import Awaitable, Callable, Sequence

import pytest

from magnoliafork.model.version import Version
from magnoliafork.tests import virtual_time
from magnoliafork.tests.cluster.checker import problems
from magnoliafork.tests.cluster.fakes import (
    BAD_PART,
    FLEET_READS_PER_S,
    FakeNetwork,
    contents_of,
    dozen,
    manifest_of,
)
from magnoliafork.tests.cluster.test_cluster import CONVERGENCE_S

FLEET = dozen()
STEPS = 40
# A killed process needs this long to start again.
RESTART_S = 1.5


class History:
    """Draws faults from a seed and applies them to a network."""

    def __init__(self, seed: int, allows_older: bool = False) -> None:
        self.network = FakeNetwork(seed, allows_older)
        self.rng = random.Random(seed)
        self.number = 1
        self.newest = Version(0, "")

    async def run(self) -> list[str]:
        network = self.network
        network.list_instances(FLEET)
        network.seed_ids = tuple(one.instance_id for one in FLEET[:2])
        self.publish()
        for instance in FLEET:
            network.start(instance)
        for _ in range(STEPS):
            await asyncio.sleep(self.rng.uniform(0, 6))
            await self.rng.choice(self.faults())()
        await self.end_faults()
        # A publication after the faults counts as accepted at that time.
        self.publish()
        await asyncio.sleep(CONVERGENCE_S)
        found = problems(network, self.newest, FLEET_READS_PER_S)
        await network.stop()
        return found

    def faults(self) -> Sequence[Callable[[], Awaitable[None]]]:
        return (
            self.change,
            self.change,
            self.torn_or_bad,
            self.source_state,
            self.kill_some,
            self.restart_all,
            self.pause,
            self.partition,
            self.messages,
        )

    def publish(self) -> None:
        contents = contents_of(self.number)
        version = self.network.source.publish(self.number, contents)
        self.newest = max(self.newest, version)
        self.number += 1

    async def change(self) -> None:
        for _ in range(self.rng.randrange(1, 4)):
            self.publish()
            await asyncio.sleep(self.rng.uniform(0, 0.5))

    async def torn_or_bad(self) -> None:
        source = self.network.source
        if self.rng.random() < 0.5:
            contents = contents_of(self.number) | {"service/bad": BAD_PART}
            source.publish(self.number, contents)
        else:
            contents = contents_of(self.number) | {
                "service/torn": b"%d" % self.number
            }
            source.publish(self.number, contents, missing="service/torn")
        self.number += 1

    async def source_state(self) -> None:
        source = self.network.source
        source.is_down = self.rng.random() < 0.3
        source.frozen = None
        if self.rng.random() < 0.3:
            source.frozen = dict(source.values)

    async def kill_some(self) -> None:
        count = self.rng.randrange(1, 5)
        for instance in self.rng.sample(FLEET, count):
            node = self.network.nodes.get(instance.instance_id)
            if node is not None:
                await node.kill()
        await asyncio.sleep(RESTART_S)
        if self.rng.random() < 0.7:
            self.start_missing()

    async def restart_all(self) -> None:
        for node in list(self.network.nodes.values()):
            await node.kill()
        await asyncio.sleep(RESTART_S)
        self.start_missing()

    def start_missing(self) -> None:
        for instance in FLEET:
            if instance.instance_id not in self.network.nodes:
                self.network.start(instance)

    async def pause(self) -> None:
        names = sorted(self.network.nodes)
        for name in self.rng.sample(names, min(2, len(names))):
            self.network.nodes[name].is_paused = True
        await asyncio.sleep(self.rng.uniform(1, 25))
        if self.rng.random() < 0.8:
            self.resume_all()

    def resume_all(self) -> None:
        for node in self.network.nodes.values():
            if node.is_paused:
                node.resume()

    async def partition(self) -> None:
        self.network.side = {
            one.instance_id: self.rng.randrange(2) for one in FLEET
        }
        await asyncio.sleep(self.rng.uniform(1, 30))
        if self.rng.random() < 0.8:
            self.network.side = {}

    async def messages(self) -> None:
        network = self.network
        network.loss = self.rng.choice([0.0, 0.1, 0.3])
        network.duplication = self.rng.choice([0.0, 0.3])
        network.crossing = self.rng.choice([0.0, 0.3])

    async def end_faults(self) -> None:
        network = self.network
        network.side = {}
        network.loss = network.duplication = network.crossing = 0.0
        network.source.is_down, network.source.frozen = False, None
        self.resume_all()
        await asyncio.sleep(RESTART_S)
        self.start_missing()


@pytest.mark.parametrize("seed", range(12))
def test_random_faults_break_no_promise(seed: int) -> None:
    # Guards against combinations of faults that no single scenario covers:
    # a version that goes back, a node left behind, too many reads.
    assert virtual_time.run(History(seed).run()) == []


def test_the_checker_catches_a_node_that_goes_back() -> None:
    # Guards against a checker that passes everything: the store of this run
    # accepts older versions.
    found = virtual_time.run(History(1, allows_older=True).run())
    assert any("went back" in problem for problem in found)


def test_the_checker_catches_a_node_that_is_left_behind() -> None:
    # Guards against a checker that does not look at every node.
    async def main() -> list[str]:
        network = FakeNetwork()
        network.list_instances(FLEET)
        version = network.source.publish(1, contents_of(1))
        for instance in FLEET:
            network.start(instance)
        await network.converge(version, CONVERGENCE_S)
        network.nodes[FLEET[3].instance_id].is_paused = True
        newer = network.source.publish(2, contents_of(2))
        assert newer == manifest_of(2, contents_of(2)).version()
        await asyncio.sleep(CONVERGENCE_S)
        found = problems(network, newer, 1)
        await network.stop()
        return found

    found = virtual_time.run(main())
    assert any(FLEET[3].instance_id in problem for problem in found)
    assert any("reads in one second" in problem for problem in found)
