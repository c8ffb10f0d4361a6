"""Requests that meet a connection which the upstream has dropped."""

import asyncio
import dataclasses
from collections.abc import Callable

import pytest

from magnoliafork.mesh.header_codec import UpstreamNotice
from magnoliafork.mesh.upstream import (
    UpstreamCall,
    UpstreamResult,
    UpstreamUnknown,
)
from magnoliafork.platform import names
from magnoliafork.tests.mesh.builders import RETRY_LIMITS
from magnoliafork.tests.mesh.receiver_harness import (
    COLD_PER_S,
    COLD_RATE_FACTOR,
    OWN,
    FakeUpstream,
    ReceiverHarness,
    run,
)
from magnoliafork.wire import messages

STALE = UpstreamUnknown("reset", True, is_stale=True)
STALE_AFTER_S = 0.005


class DroppingUpstream(FakeUpstream):
    """Drops the connections of the first sendings of each request."""

    def __init__(self, drops: int = 1) -> None:
        super().__init__(work_s=0.02)
        self.drops = drops
        self.drop_after_s = STALE_AFTER_S
        self.on_dropped: Callable[[], object] = lambda: None
        self.remaining_ms: list[int] = []
        self._sendings: dict[str, int] = {}

    async def send(self, call: UpstreamCall) -> UpstreamResult:
        self.remaining_ms.append(int(dict(call.headers)[names.DEADLINE_MS]))
        count = self._sendings[call.target] = (
            self._sendings.get(call.target, 0) + 1
        )
        if count > self.drops:
            return await super().send(call)
        self.arrivals.append(asyncio.get_running_loop().time())
        await asyncio.sleep(self.drop_after_s)
        self.on_dropped()
        return STALE


async def announced(drops: int = 1) -> tuple[ReceiverHarness, DroppingUpstream]:
    upstream = DroppingUpstream(drops)
    return await ReceiverHarness(upstream).announced(), upstream


def test_request_on_a_dropped_connection_is_sent_once_more() -> None:
    """Callers would get errors from upstreams that forget connections."""

    async def test() -> None:
        harness, upstream = await announced()
        assert isinstance(await harness.call(), messages.CallAnswer)
        assert len(upstream.arrivals) == 2
        first_ms, second_ms = upstream.remaining_ms
        assert second_ms <= first_ms - STALE_AFTER_S * 1000

    run(test)


def test_request_is_not_sent_a_third_time() -> None:
    """An upstream that drops each connection would get requests for ever."""

    async def test() -> None:
        harness, upstream = await announced(drops=9)
        reply = await harness.call()
        assert isinstance(reply, messages.CallUnknown)
        assert len(upstream.arrivals) == 2

    run(test)


def test_unrepeatable_request_on_a_dropped_connection_is_unknown() -> None:
    """It may have run, and would run twice."""

    async def test() -> None:
        harness, upstream = await announced()
        reply = await harness.call(repeatable=False)
        assert isinstance(reply, messages.CallUnknown)
        assert len(upstream.arrivals) == 1

    run(test)


@pytest.mark.parametrize(
    "change", ["drains", "leaves", "zone out", "stops", "gone"]
)
def test_upstream_that_takes_no_work_any_more_gets_no_request_again(
    change: str,
) -> None:
    """Requests were sent again below all checks, to draining upstreams."""

    async def test() -> None:
        harness, upstream = await announced()
        published, receiver = harness.published, harness.receiver
        changes: dict[str, Callable[[], object]] = {
            "drains": lambda: published.announce(
                dataclasses.replace(OWN, is_ready=False, sequence=1)
            ),
            "leaves": lambda: receiver.notices.record_answer(
                OWN, UpstreamNotice(is_leaving=True), 0.0
            ),
            "zone out": lambda: published.evacuate_zone(OWN.zone),
            "stops": lambda: setattr(receiver, "is_stopping", True),
            "gone": lambda: published.withdraw(OWN),
        }
        upstream.on_dropped = changes[change]
        reply = await harness.call()
        # Not a refusal: it may have run.
        assert isinstance(reply, messages.CallUnknown)
        assert len(upstream.arrivals) == 1

    run(test)


def test_request_without_time_left_is_not_sent_again() -> None:
    """The upstream would run a request that nobody waits for."""

    async def test() -> None:
        harness, upstream = await announced()
        upstream.drop_after_s = 0.999
        reply = await harness.call(remaining_ms=1000)
        assert isinstance(reply, messages.CallUnknown)
        assert len(upstream.arrivals) == 1

    run(test)


@pytest.mark.parametrize("limit", ["cold", "stated"])
def test_requests_sent_again_count_for_the_limits(limit: str) -> None:
    """A cold upstream got up to twice the requests that it can handle."""

    async def test() -> None:
        harness, upstream = await announced()
        allowed = COLD_PER_S * COLD_RATE_FACTOR
        if limit == "cold":
            upstream.cold_left_s = 60.0
            harness.receiver.on_disconnected()
            await asyncio.sleep(0.5)
        else:
            notice = UpstreamNotice(rate_limit_per_s=COLD_PER_S)
            harness.receiver.notices.record_answer(OWN, notice, 0.0)
        tasks = [harness.call(f"r{n}", path=f"/{n}") for n in range(40)]
        await asyncio.gather(*tasks)
        arrivals = upstream.arrivals
        busiest = max(
            sum(start <= t < start + 1.0 for t in arrivals)
            for start in arrivals
        )
        assert len(arrivals) > 2
        assert busiest <= allowed

    run(test)


def test_requests_sent_again_stay_within_their_share_of_the_retry_budget() -> (
    None
):
    """An upstream that lost answers at once got each request twice."""

    async def test() -> None:
        harness, upstream = await announced()
        requests, begun_s = 300, asyncio.get_running_loop().time()
        for number in range(requests):
            await harness.call(f"r{number}", path=f"/{number}")
            await asyncio.sleep(0.01)
        lasted_s = asyncio.get_running_loop().time() - begun_s
        limits = RETRY_LIMITS
        allowed = limits.ratio * requests
        allowed += limits.slack * lasted_s / limits.window_s
        assert len(upstream.arrivals) - requests > 1
        # A token may have been saved before.
        assert len(upstream.arrivals) - requests <= 1 + allowed * 0.1

    run(test)
