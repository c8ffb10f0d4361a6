"""Requests that crash every upstream which runs them, in a whole fleet."""

import asyncio
import random
from collections.abc import Awaitable, Callable

import pytest

from magnoliafork.mesh.crash_suspects import FIRST_REFUSAL_S
from magnoliafork.model.request import (
    Answered,
    NotRun,
    NotRunReason,
    Outcome,
    OutcomeUnknown,
)
from magnoliafork.tests import virtual_time
from magnoliafork.tests.mesh.crash_fleet import DOWN_S, CrashFleet

SOUND_PER_S = 40
DEADLY_PER_S = 2
DURATION_S = 20.0


def run(
    test: Callable[[CrashFleet], Awaitable[None]], size: int = 4, seed: int = 0
) -> None:
    async def main() -> None:
        fleet = CrashFleet(size, seed)
        await fleet.start()
        try:
            await test(fleet)
        finally:
            await fleet.stop()

    virtual_time.run(main())


async def send_evenly(
    fleet: CrashFleet, per_s: float, path: Callable[[int], str]
) -> list[Outcome]:
    """Sends requests for `DURATION_S` and returns their outcomes."""
    tasks = []
    for number in range(int(per_s * DURATION_S)):
        tasks.append(asyncio.create_task(fleet.request(path(number))))
        await asyncio.sleep(1 / per_s)
    return list(await asyncio.gather(*tasks))


@pytest.mark.parametrize("seed", range(4))
@pytest.mark.parametrize("size", [4, 12])
def test_request_that_crashes_its_upstream_ends_few_of_them(
    size: int, seed: int
) -> None:
    """One request ended all upstreams of its service again and again."""

    async def test(fleet: CrashFleet) -> None:
        sound, deadly = await asyncio.gather(
            send_evenly(fleet, SOUND_PER_S, str),
            send_evenly(fleet, DEADLY_PER_S, lambda _: "deadly"),
        )
        assert 2 <= fleet.crashes <= 3
        assert not any(isinstance(outcome, Answered) for outcome in deadly)
        answered = sum(isinstance(outcome, Answered) for outcome in sound)
        assert answered >= 0.95 * len(sound)

    run(test, size, seed)


@pytest.mark.parametrize("seed", range(4))
def test_requests_beside_a_deadly_one_are_answered(seed: int) -> None:
    """Requests that ran beside the cause of a crash were refused with it."""

    async def test(fleet: CrashFleet) -> None:
        rng = random.Random(seed)
        paths = [str(number) for number in range(8)] + ["deadly"]
        rng.shuffle(paths)
        tasks = [asyncio.create_task(fleet.request(path)) for path in paths]
        await asyncio.gather(*tasks)
        await asyncio.sleep(2 * DOWN_S)
        for number in range(8):
            outcome = await fleet.request(str(number))
            assert isinstance(outcome, Answered)

    run(test, seed=seed)


def test_refused_caller_learns_when_to_come_back() -> None:
    """Callers would repeat a request at once that is refused for a time."""

    async def test(fleet: CrashFleet) -> None:
        first = await fleet.request("deadly")
        assert isinstance(first, OutcomeUnknown)
        assert fleet.crashes == 2
        await asyncio.sleep(0.1)
        started_s = asyncio.get_running_loop().time()
        second = await fleet.request("deadly")
        assert asyncio.get_running_loop().time() == started_s
        assert isinstance(second, NotRun)
        assert second.reason is NotRunReason.CRASHES_UPSTREAM
        retry_after_s = second.retry_after_ms / 1000
        assert retry_after_s == pytest.approx(FIRST_REFUSAL_S, abs=1.0)
        assert fleet.crashes == 2

    run(test)


def test_request_whose_fault_is_repaired_runs_again() -> None:
    """A request that was refused once would be refused for ever."""

    async def test(fleet: CrashFleet) -> None:
        await fleet.request("deadly")
        await asyncio.sleep(FIRST_REFUSAL_S + 0.1)
        for node in fleet.nodes.values():
            node.upstream.crash = lambda: None  # type: ignore[method-assign]
        tasks = [asyncio.create_task(fleet.request("deadly")) for _ in range(3)]
        await asyncio.sleep(0.01)
        runs = sum(
            node.upstream.runs["/browse/deadly"]
            for node in fleet.nodes.values()
        )
        # Two before the refusal, and one attempt at a time after it.
        assert runs == 3
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    run(test)


def test_node_that_starts_later_learns_of_the_suspects() -> None:
    """A restarted node would let its upstream be crashed."""

    async def test(fleet: CrashFleet) -> None:
        await fleet.request("deadly")
        await asyncio.sleep(0.1)
        host, node = next(iter(fleet.nodes.items()))
        before = len(node.suspects)
        assert before
        node.suspects._suspects.clear()
        node.reports.on_link_down("10.0.1.1")
        other = fleet.nodes["10.0.1.1"]
        other.reports.on_link_down(host)
        announce = fleet.announce()
        other.reports.on_control(host, announce)
        await asyncio.sleep(0.1)
        assert len(node.suspects) == before

    run(test)
