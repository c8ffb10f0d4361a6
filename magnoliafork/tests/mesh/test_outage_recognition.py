"""Nodes recognise outages of the store, and nothing else as one."""

import asyncio
from collections.abc import Awaitable, Callable

import pytest

from magnoliafork.tests.mesh import store_fleet
from magnoliafork.tests.mesh.store_fleet import (
    DRAIN_TIMEOUT_S,
    REWRITE_S,
    Fleet,
)

HOSTS = tuple(f"{zone}{number}" for zone in "xyz" for number in range(4))
seeds = pytest.mark.parametrize("seed", range(2))


def run(test: Callable[[Fleet], Awaitable[None]], seed: int) -> None:
    store_fleet.run(test, seed, HOSTS)


def outages(fleet: Fleet) -> list[str]:
    """Returns the live nodes that saw an outage end since the warm-up."""
    return [
        node.host
        for node in fleet.live()
        if node.table._outage_ended_at_s > fleet.warm_at_s
    ]


async def use_after_removal_s(fleet: Fleet, host: str) -> float:
    """Removes an upstream; returns for how long nodes still use it."""
    now_s = asyncio.get_running_loop().time
    fleet.store.withdraw(host)
    removed_at_s, last_used_s = now_s(), now_s()
    while now_s() < removed_at_s + 8:
        await asyncio.sleep(0.02)
        if fleet.users_of(host):
            last_used_s = now_s()
    return last_used_s - removed_at_s


@seeds
def test_loss_of_all_readers_is_no_outage(seed: int) -> None:
    """Survivors used a removed upstream though the store was available."""

    async def test(fleet: Fleet) -> None:
        fleet.kill(*fleet.default_readers())
        await asyncio.sleep(0.2)
        gone = next(n.host for n in fleet.live())
        assert await use_after_removal_s(fleet, gone) < DRAIN_TIMEOUT_S

    run(test, seed)


@seeds
def test_watches_that_are_cut_are_no_outage(seed: int) -> None:
    """An answer that was not announced before the next failure was lost."""

    async def test(fleet: Fleet) -> None:
        for number in range(10):
            await asyncio.sleep(1.0 + seed / 8 + 0.27 * number)
            fleet.cut_count += 1
            await asyncio.sleep(0.3)
            removed = HOSTS[number]
            fleet.store.withdraw(removed)
            await asyncio.sleep(0.5)
            assert fleet.users_of(removed) == []
            fleet.store.announce(removed)

    run(test, seed)


@seeds
@pytest.mark.parametrize("latency_s", [0.3, 0.5, 0.7])
def test_slow_store_is_no_outage(latency_s: float, seed: int) -> None:
    """Each answer of a slow store ended an outage."""

    async def test(fleet: Fleet) -> None:
        fleet.latency_s = latency_s
        await asyncio.sleep(20)
        assert outages(fleet) == []

    run(test, seed)


@seeds
@pytest.mark.parametrize("latency_s", [0.9, 1.4])
def test_changes_arrive_from_a_slow_store(latency_s: float, seed: int) -> None:
    """Reads without a wait time out sooner than a store's answers arrive."""

    async def test(fleet: Fleet) -> None:
        fleet.latency_s = latency_s
        await asyncio.sleep(15)
        fleet.store.configure(2)
        await asyncio.sleep(10)
        configs = [node.view.config for node in fleet.live()]
        assert all(c is not None and c.version == 2 for c in configs)

    run(test, seed)


@seeds
def test_entries_that_come_back_within_two_seconds_stay_in_use(
    seed: int,
) -> None:
    """A service had no upstream before its entries were written again."""

    async def test(fleet: Fleet) -> None:
        fleet.store.refused = set(HOSTS)
        await asyncio.sleep(9)
        for host in HOSTS:
            fleet.store.withdraw(host)
        fleet.store.refused = set()
        unused = 0
        for step in range(150):
            if step == round(REWRITE_S / 0.02):
                fleet.store.announce(*HOSTS)
            unused += len(fleet.users_of("x1")) < len(HOSTS)
            await asyncio.sleep(0.02)
        assert unused == 0, f"{unused * 0.02} s without"

    run(test, seed)


@seeds
@pytest.mark.parametrize("outage_s", [3.2, 9.0])
@pytest.mark.parametrize("link_delay_s", [0.01, 0.3])
def test_outage_is_recognised_over_slow_links(
    link_delay_s: float, outage_s: float, seed: int
) -> None:
    """Each transfer of an answer's age made the answer look newer."""

    async def test(fleet: Fleet) -> None:
        fleet.link_delay_s = (0.0, link_delay_s)
        await asyncio.sleep(5)
        before = set(outages(fleet))
        assert before == set()
        fleet.store.refused = set(HOSTS)
        await asyncio.sleep(outage_s)
        fleet.store.refused = set()
        await asyncio.sleep(5)
        assert sorted(outages(fleet)) == sorted(HOSTS)

    run(test, seed)


@seeds
@pytest.mark.parametrize("outage_s", [4.5, 9.0])
@pytest.mark.parametrize("delay_s", [0.25, 1.0])
def test_outage_is_recognised_if_the_link_of_one_machine_is_slow(
    delay_s: float, outage_s: float, seed: int
) -> None:
    """One machine made the last answer look newer at all the others."""

    async def test(fleet: Fleet) -> None:
        fleet.slow_host = HOSTS[seed]
        fleet.slow_host_delay_s = delay_s
        await asyncio.sleep(5)
        fleet.store.refused = set(HOSTS)
        await asyncio.sleep(outage_s)
        fleet.store.refused = set()
        await asyncio.sleep(5)
        others = set(HOSTS) - {fleet.slow_host}
        assert others <= set(outages(fleet))

    run(test, seed)


@seeds
@pytest.mark.parametrize("tick_delay_s", [0.01, 0.3])
@pytest.mark.parametrize("link_delay_s", [0.005, 0.3])
def test_available_store_has_no_outage(
    link_delay_s: float, tick_delay_s: float, seed: int
) -> None:
    """Nodes missed an answer between two announcements."""

    async def test(fleet: Fleet) -> None:
        fleet.link_delay_s = (0.0, link_delay_s)
        fleet.tick_delay_s = tick_delay_s
        await asyncio.sleep(120)
        assert outages(fleet) == []

    run(test, seed)


@seeds
def test_pause_of_a_process_is_no_outage(seed: int) -> None:
    """A process that wakes up took its own pause for an outage."""

    async def test(fleet: Fleet) -> None:
        reading = fleet.default_readers()
        paused = next(n for n in fleet.live() if n.host not in reading)
        gone = "x1" if paused.host != "x1" else "x2"
        now_s = asyncio.get_running_loop().time
        paused.paused_until_s = now_s() + 5
        await asyncio.sleep(1)
        fleet.store.withdraw(gone)
        await asyncio.sleep(5)
        assert fleet.users_of(gone) == []

    run(test, seed)


@seeds
def test_refusal_of_all_readers_is_no_outage(seed: int) -> None:
    """The time until others take over reading counted as an outage."""

    async def test(fleet: Fleet) -> None:
        fleet.store.refused = set(fleet.default_readers())
        await asyncio.sleep(0.2 + seed / 8)
        others = [n.host for n in fleet.live()]
        gone = next(h for h in others if h not in fleet.store.refused)
        assert await use_after_removal_s(fleet, gone) < DRAIN_TIMEOUT_S

    run(test, seed)


@seeds
def test_outage_that_a_starting_node_did_not_see_is_recognised(
    seed: int,
) -> None:
    """A service had no upstream at nodes that started in an outage."""

    async def test(fleet: Fleet) -> None:
        reading = fleet.default_readers()
        host = next(h for h in HOSTS if h not in reading)
        fleet.store.refused = set(HOSTS)
        fleet.kill(host)
        await asyncio.sleep(4)
        node = fleet.restart(host, reading[0], seed)
        await asyncio.sleep(5)
        assert node.view.revision
        fleet.store.withdraw("x1")
        fleet.store.refused = set()
        await asyncio.sleep(3)
        assert host in outages(fleet)

    run(test, seed)
