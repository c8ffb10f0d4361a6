"""Random faults; the recorded history is checked for broken guarantees."""

import asyncio
import random

import pytest

from magnoliafork.model.version import Version
from magnoliafork.tests import virtual_time
from magnoliafork.tests.cluster.fakes import (
    BAD_PART,
    FakeNetwork,
    contents_of,
)
from magnoliafork.tests.cluster.history_checker import find_violations
from magnoliafork.tests.cluster.test_cluster import CONVERGENCE_S

STEPS = 40
# Time that a killed process needs to start again.
RESTART_S = 1.5


class RandomFaultRun:
    """Applies random faults to a network; the seed determines them."""

    def __init__(self, seed: int, allows_older: bool = False) -> None:
        self.network = FakeNetwork(12, seed, allows_older)
        self.source = self.network.source
        self.rng = random.Random(seed)
        self.number = 0

    async def run(self) -> list[str]:
        self.publish()
        self.network.start_missing_nodes()
        faults = (
            self.publish_several,
            self.publish_incomplete_or_invalid,
            self.change_source_state,
            self.kill_nodes,
            self.pause_nodes,
            self.partition_network,
            self.disturb_messages,
        )
        for _ in range(STEPS):
            await asyncio.sleep(self.rng.uniform(0, 6))
            await self.rng.choice(faults)()
        await self.end_faults()
        # A version published after the faults must be in force within the
        # guaranteed time.
        newest = self.publish()
        await asyncio.sleep(CONVERGENCE_S)
        found = find_violations(self.network, newest)
        await self.network.kill_all()
        return found

    def publish(self) -> Version:
        self.number += 1
        return self.source.publish(self.number)

    async def publish_several(self) -> None:
        for _ in range(self.rng.randrange(1, 4)):
            self.publish()
            await asyncio.sleep(self.rng.uniform(0, 0.5))

    async def publish_incomplete_or_invalid(self) -> None:
        self.number += 1
        content = self.rng.choice([BAD_PART, b"%d" % self.number])
        contents = contents_of(self.number) | {"service/b": content}
        missing = "" if content == BAD_PART else "service/b"
        self.source.publish(self.number, contents, missing)

    async def change_source_state(self) -> None:
        self.source.is_down = self.rng.random() < 0.3
        self.source.stale_values = None
        if self.rng.random() < 0.3:
            self.source.stale_values = dict(self.source.values)

    async def kill_nodes(self) -> None:
        nodes = list(self.network.nodes.values())
        count = self.rng.choice([1, 4, len(nodes)])
        for node in self.rng.sample(nodes, min(count, len(nodes))):
            await node.kill()
        await asyncio.sleep(RESTART_S)
        if self.rng.random() < 0.7:
            self.network.start_missing_nodes()

    async def pause_nodes(self) -> None:
        nodes = list(self.network.nodes.values())
        for node in self.rng.sample(nodes, min(2, len(nodes))):
            node.is_paused = True
        await asyncio.sleep(self.rng.uniform(1, 25))
        if self.rng.random() < 0.8:
            self.resume_all()

    def resume_all(self) -> None:
        for node in self.network.nodes.values():
            if node.is_paused:
                node.resume()

    async def partition_network(self) -> None:
        ids = self.network.ids
        self.network.sides = {node_id: self.rng.randrange(2) for node_id in ids}
        await asyncio.sleep(self.rng.uniform(1, 30))
        if self.rng.random() < 0.8:
            self.network.sides = {}

    async def disturb_messages(self) -> None:
        self.network.loss = self.rng.choice([0.0, 0.1, 0.3])
        self.network.duplication = self.rng.choice([0.0, 0.3])
        self.network.reordering = self.rng.choice([0.0, 0.3])

    async def end_faults(self) -> None:
        network = self.network
        network.sides = {}
        network.loss = network.duplication = network.reordering = 0.0
        self.source.is_down, self.source.stale_values = False, None
        self.resume_all()
        await asyncio.sleep(RESTART_S)
        network.start_missing_nodes()


@pytest.mark.parametrize("seed", range(12))
def test_random_faults_break_no_guarantee(seed: int) -> None:
    # Guards against failures under combinations of faults that no single
    # scenario covers: a node that goes back to an older version or misses the
    # newest one, and too many reads.
    assert virtual_time.run(RandomFaultRun(seed).run()) == []


def test_find_violations_finds_injected_faults() -> None:
    # Guards against a checker that passes every run: the stores of this run
    # accept older versions, and 100 reads are made at once.
    fault_run = RandomFaultRun(1, allows_older=True)
    fault_run.source.read_times += [0.0] * 100
    found = " ".join(virtual_time.run(fault_run.run()))
    assert "went back" in found
    assert "100 reads in one second" in found
