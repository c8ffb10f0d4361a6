"""What callers get, whatever becomes of single attempts."""

import asyncio
import io
import random
from collections.abc import Awaitable, Callable
from typing import Any

import pytest

from magnoliafork.mesh.model import WeightedService
from magnoliafork.mesh.sender import MeshRequest, MeshSender, RetryLimits
from magnoliafork.mesh.upstream_table import UpstreamTable
from magnoliafork.model.request import (
    Answered,
    NotRun,
    NotRunReason,
    Outcome,
    OutcomeUnknown,
)
from magnoliafork.observe.logs import EventLog
from magnoliafork.tests import virtual_time
from magnoliafork.tests.mesh.builders import (
    PublishedState,
    config,
    entry,
    route,
)
from magnoliafork.wire import messages
from magnoliafork.wire.api import LinkFailure

Reply = messages.CallReply | LinkFailure
Script = Callable[[str, messages.CallRequest], Awaitable[Reply]]


class FakePeers:
    """Implements `PeerCalls` by a script; counts the calls."""

    def __init__(self, script: Script) -> None:
        self._script = script
        self.calls: list[str] = []
        self.fences: list[str] = []
        self.fence_reply: messages.StreamReply | LinkFailure = (
            messages.CallFenceReply(0, messages.FenceState.NEVER_RAN)
        )

    async def call(
        self,
        instance_id: str,
        request: messages.CallRequest,
        timeout_s: float,
    ) -> Reply:
        self.calls.append(instance_id)
        async with asyncio.timeout(timeout_s):
            return await self._script(instance_id, request)

    async def fence(
        self,
        instance_id: str,
        request_id: str,
        incarnation: int,
        timeout_s: float,
        moved_to: str = "",
    ) -> messages.StreamReply | LinkFailure:
        self.fences.append(instance_id)
        return self.fence_reply


def answered(status: int = 200) -> messages.CallAnswer:
    return messages.CallAnswer(1, status, (), (), b"", 1, 4)


def refused(reason: str, retry_ms: int = 200) -> messages.CallRefused:
    return messages.CallRefused(1, reason, retry_ms, 4, 4, "")


def request(path: str = "/browse/1") -> MeshRequest:
    return MeshRequest(
        "r", "GET", "shop.example", path, (), b"", remaining_s=1.5
    )


class Bench:
    """A sender with three upstreams and scripted peers."""

    def __init__(self, script: Script, **changes: Any) -> None:
        loop = asyncio.get_running_loop()
        self.latencies: list[tuple[str, float]] = []
        self.published = PublishedState()
        table = UpstreamTable(self.published.view, loop.time)
        self.peers = FakePeers(script)
        self.sender = MeshSender(
            "joliette",
            self.published.view,
            table,
            self.peers,
            RetryLimits(0.2, 60.0, 10.0),
            random.Random(3),
            loop.time,
            EventLog("error", io.StringIO()),
            lambda service, seconds: self.latencies.append((service, seconds)),
        )
        self.published.configure(config(routes=(route(**changes),)))
        for name in "abc":
            self.published.announce(entry(name))

    async def send(self, path: str = "/browse/1") -> Outcome:
        return await self.sender.handle(request(path))


def run(test: Callable[[], Awaitable[None]]) -> None:
    async def main() -> None:
        await test()

    virtual_time.run(main())


def scripted(*replies: Reply) -> Script:
    left = list(replies)

    async def script(_: str, __: messages.CallRequest) -> Reply:
        return left.pop(0) if len(left) > 1 else left[0]

    return script


def test_refusal_by_a_node_is_taken_elsewhere_without_budget() -> None:
    async def test() -> None:
        bench = Bench(
            scripted(refused("drained"), refused("overloaded"), answered()),
            is_repeatable=False,
        )
        assert isinstance(await bench.send(), Answered)
        assert len(set(bench.peers.calls)) == 3

    run(test)


def test_latency_of_answers_is_recorded() -> None:
    async def test() -> None:
        bench = Bench(scripted(answered()))
        await bench.send()
        assert [service for service, _ in bench.latencies] == ["catalogue"]

    run(test)


def test_all_full_is_not_run_with_the_shortest_wait() -> None:
    async def test() -> None:
        bench = Bench(
            scripted(
                refused("overloaded", 900),
                refused("overloaded", 300),
                refused("overloaded", 700),
            )
        )
        outcome = await bench.send()
        assert isinstance(outcome, NotRun)
        assert outcome.retry_after_ms == 300

    run(test)


def test_lost_link_of_an_unrepeatable_request_is_settled_by_a_fence() -> None:
    async def test() -> None:
        bench = Bench(
            scripted(LinkFailure(True, 7, "reset"), answered()),
            is_repeatable=False,
        )
        assert isinstance(await bench.send(), Answered)
        assert len(bench.peers.fences) == 1
        assert len(bench.peers.calls) == 2

    run(test)


def test_restarted_peer_makes_an_unrepeatable_request_unknown() -> None:
    """The new process cannot know what the old one ran."""

    async def test() -> None:
        bench = Bench(
            scripted(LinkFailure(True, 7, "reset"), answered()),
            is_repeatable=False,
        )
        bench.peers.fence_reply = messages.CallFenceReply(
            0, messages.FenceState.OTHER_INCARNATION
        )
        assert isinstance(await bench.send(), OutcomeUnknown)
        assert len(bench.peers.calls) == 1

    run(test)


def test_unknown_outcome_of_an_idempotent_request_is_repeated() -> None:
    async def test() -> None:
        bench = Bench(
            scripted(messages.CallUnknown(1, "upstream_broke"), answered())
        )
        assert isinstance(await bench.send(), Answered)

    run(test)


def test_unknown_outcome_is_never_turned_into_not_run() -> None:
    """The later refusals say nothing of the first attempt."""

    async def test() -> None:
        bench = Bench(
            scripted(
                messages.CallUnknown(1, "upstream_broke"),
                refused("overloaded"),
            )
        )
        assert isinstance(await bench.send(), OutcomeUnknown)

    run(test)


def test_requests_reach_no_more_upstreams_than_the_route_allows() -> None:
    async def test() -> None:
        bench = Bench(
            scripted(messages.CallUnknown(1, "upstream_broke")),
            max_attempts=2,
        )
        await bench.send()
        assert len(bench.peers.calls) == 2

    run(test)


def test_retries_of_a_failing_service_keep_the_budget() -> None:
    async def test() -> None:
        bench = Bench(
            scripted(messages.CallUnknown(1, "upstream_broke")),
            max_attempts=3,
        )
        for _ in range(200):
            await bench.send()
            await asyncio.sleep(0.02)
        extra = len(bench.peers.calls) - 200
        # Ratio and slack of the fleet, for one node of three and half the
        # budget, over 4 s.
        assert extra <= 200 * 0.1 + 60 / 2 / 3

    run(test)


def test_slow_upstream_is_overtaken_by_a_second_attempt() -> None:
    async def test() -> None:
        first: list[str] = []

        async def script(host: str, _: messages.CallRequest) -> Reply:
            first.append(host)
            if host == first[0]:
                await asyncio.sleep(30)
            return answered()

        bench = Bench(script)
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        assert isinstance(await bench.send(), Answered)
        assert loop.time() - started_s < 0.5

    run(test)


def test_unrepeatable_request_has_one_attempt_however_slow() -> None:
    async def test() -> None:
        async def script(_: str, __: messages.CallRequest) -> Reply:
            await asyncio.sleep(1.0)
            return answered()

        bench = Bench(script, is_repeatable=False)
        assert isinstance(await bench.send(), Answered)
        assert len(bench.peers.calls) == 1

    run(test)


def test_answer_is_final_at_the_routes_timeout() -> None:
    async def test() -> None:
        async def script(_: str, __: messages.CallRequest) -> Reply:
            await asyncio.sleep(60)
            return answered()

        bench = Bench(script, timeout_s=1.0)
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        assert isinstance(await bench.send(), OutcomeUnknown)
        assert loop.time() - started_s <= 1.25

    run(test)


def test_unknown_route_and_missing_configuration_differ() -> None:
    """A node that knows no configuration must not deny a route."""

    async def test() -> None:
        bench = Bench(scripted(answered()))
        outcome = await bench.send("/other/")
        assert outcome == NotRun(NotRunReason.NO_ROUTE)
        bench.published.view.config = None
        fresh = await bench.send("/other/")
        assert isinstance(fresh, NotRun)
        assert fresh.reason is NotRunReason.NOT_READY

    run(test)


def test_part_of_a_split_that_is_full_is_not_moved_to_another_part() -> None:
    async def test() -> None:
        asked: list[str] = []

        async def script(_: str, call: messages.CallRequest) -> Reply:
            asked.append(call.service_name)
            return refused("overloaded")

        targets = (
            WeightedService("catalogue", 50),
            WeightedService("orders", 50),
        )
        bench = Bench(script, targets=targets)
        await bench.send()
        await bench.send()
        assert set(asked) <= {"catalogue"}

    run(test)


@pytest.mark.parametrize("is_repeatable", [True, False])
def test_caller_that_leaves_ends_the_attempt(is_repeatable: bool) -> None:
    async def test() -> None:
        ended = asyncio.Event()

        async def script(_: str, __: messages.CallRequest) -> Reply:
            try:
                await asyncio.sleep(60)
            finally:
                ended.set()
            return answered()

        bench = Bench(script, is_repeatable=is_repeatable)
        task = asyncio.create_task(bench.send())
        await asyncio.sleep(0.1)
        task.cancel()
        await asyncio.sleep(0.01)
        assert ended.is_set()
        assert bench.sender.counters.in_flight == 0

    run(test)
