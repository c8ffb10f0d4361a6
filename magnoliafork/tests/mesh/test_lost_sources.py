"""Changes reach nodes whose sources of changes are lost at once."""

import asyncio
import random
from collections.abc import Awaitable, Callable, Collection, Coroutine

import pytest

from magnoliafork.tests.mesh import change_history
from magnoliafork.tests.mesh.change_history import HOSTS, Watcher
from magnoliafork.tests.mesh.link_fleet import LinkedFleet

STORM_S = 8.0
REFUSAL_S = 9.0

Loss = Callable[[Watcher, Collection[str], float], Coroutine[None, None, None]]
losses = pytest.mark.parametrize("loss", [Watcher.lose_power, Watcher.cut])


def run(
    test: Callable[[LinkedFleet, Watcher], Awaitable[None]], seed: int
) -> None:
    """Runs a test; no node may get a configuration late."""
    assert change_history.late_nodes(test, seed, 816) == []


@losses
@pytest.mark.parametrize("pause_s", [0.05, 0.7])
def test_change_reaches_a_node_whose_sources_are_lost_at_once(
    loss: Loss, pause_s: float
) -> None:
    """The node took the silence of its peers for calm for 3.8 s."""

    async def test(fleet: LinkedFleet, watcher: Watcher) -> None:
        readers = fleet.default_readers()
        host = next(h for h in HOSTS if h not in readers)
        lost = fleet.linked(host).neighbours()
        async with asyncio.TaskGroup() as group:
            group.create_task(loss(watcher, lost, 6.0))
            await watcher.wait(pause_s)
            watcher.publish()
            await watcher.wait(8.0)

    run(test, 0)


def test_change_is_in_force_after_all_readers_lose_power() -> None:
    """Nobody read the store until the readers had been silent for 3.8 s."""

    async def test(fleet: LinkedFleet, watcher: Watcher) -> None:
        async with asyncio.TaskGroup() as group:
            readers = fleet.default_readers()
            group.create_task(watcher.lose_power(readers, 6.0))
            await watcher.wait(0.05)
            watcher.publish()
            await watcher.wait(8.0)

    run(test, 0)


@pytest.mark.parametrize("seed", range(3))
@pytest.mark.parametrize(
    ("loss", "share", "for_s"),
    [
        pytest.param(Watcher.lose_power, 0.55, 2.0, id="power"),
        pytest.param(Watcher.cut, 0.35, 6.0, id="cut"),
    ],
)
def test_storm_is_in_force_in_time_beside_random_losses(
    loss: Loss, share: float, for_s: float, seed: int
) -> None:
    """Single nodes kept an older configuration beside a loss of many others."""

    async def test(fleet: LinkedFleet, watcher: Watcher) -> None:
        rng = random.Random(seed)
        lost = rng.sample(HOSTS, int(share * len(HOSTS)))
        async with asyncio.TaskGroup() as group:
            group.create_task(watcher.storm(STORM_S))
            await watcher.wait(2.0 + rng.random())
            group.create_task(loss(watcher, lost, for_s))
            await watcher.wait(for_s + 4.0)

    run(test, seed)


@pytest.mark.parametrize("seed", range(3))
def test_storm_is_in_force_in_time_beside_refusals_and_losses(
    seed: int,
) -> None:
    """A node that starts while the store refuses it depends on its callers."""

    async def test(fleet: LinkedFleet, watcher: Watcher) -> None:
        rng = random.Random(seed)
        refused = rng.sample(HOSTS, len(HOSTS) // 3)
        lost = rng.sample(HOSTS, int(0.55 * len(HOSTS)))
        async with asyncio.TaskGroup() as group:
            group.create_task(watcher.storm(STORM_S))
            await watcher.wait(1.0)
            group.create_task(watcher.refuse(refused, REFUSAL_S))
            await watcher.wait(1.0 + rng.random())
            group.create_task(watcher.lose_power(lost, 2.0))
            await watcher.wait(REFUSAL_S + 4.0)

    run(test, seed)


@pytest.mark.parametrize("seed", [0, 1, 13])
def test_storm_is_in_force_in_time_in_random_histories(seed: int) -> None:
    """Losses that overlap, and nodes that start while others are lost."""
    assert change_history.play(seed) == []


def check_reads(fleet: LinkedFleet) -> int:
    return sum(node.reader.counters.check_reads for node in fleet.running())


def test_connected_nodes_do_not_check_the_store() -> None:
    """Every call to the store has a cost, which grows with the fleet."""

    async def test(fleet: LinkedFleet, watcher: Watcher) -> None:
        before = check_reads(fleet)
        await watcher.wait(20.0)
        await watcher.storm(3.0)
        assert check_reads(fleet) == before

    run(test, 0)


def test_store_that_is_away_is_not_called_by_all_nodes() -> None:
    """Readers run and get no answers; calls of others would get none either."""

    async def test(fleet: LinkedFleet, watcher: Watcher) -> None:
        before = check_reads(fleet)
        await watcher.refuse(HOSTS, 8.0)
        assert check_reads(fleet) == before

    run(test, 0)


def test_nodes_that_are_cut_off_together_share_their_reads() -> None:
    """Each of them would read the store as often as a node that is alone."""

    async def test(fleet: LinkedFleet, watcher: Watcher) -> None:
        before = check_reads(fleet)
        await watcher.lose_power(fleet.default_readers(), 3.0)
        # About one read for each time-out, and a few at the same moment.
        assert 1 <= check_reads(fleet) - before <= len(HOSTS) / 2

    run(test, 0)
