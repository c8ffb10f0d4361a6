"""Rate limits that upstreams state in their answers."""

import asyncio
import bisect
import dataclasses

import pytest

from magnoliafork.mesh.header_codec import UpstreamNotice
from magnoliafork.mesh.stated_rate_limiter import (
    BURST_S,
    StatedRateLimiter,
    to_milli,
)
from magnoliafork.mesh.upstream import UpstreamNotRun
from magnoliafork.model.request import NotRunReason
from magnoliafork.tests.mesh.receiver_harness import (
    OWN,
    FakeUpstream,
    ReceiverHarness,
    run,
)
from magnoliafork.wire import messages

WINDOW_S = 4.0
LIMIT_PER_S = 12.0


def most_in_window(arrivals_s: list[float]) -> int:
    """Returns the most arrivals in any window."""
    return max(
        bisect.bisect_left(arrivals_s, start_s + WINDOW_S) - index
        for index, start_s in enumerate(arrivals_s)
    )


def allowed_in_window(limit_per_s: float) -> float:
    """Returns the requests of a window and the burst, with one at its edge."""
    return limit_per_s * (WINDOW_S + BURST_S) + 1


async def send_for(
    harness: ReceiverHarness, duration_s: float, **changes: object
) -> list["asyncio.Task[messages.CallReply]"]:
    """Sends 50 requests a second, more than the upstream takes."""
    calls = []
    for number in range(int(duration_s * 50)):
        calls.append(
            harness.call(f"{id(harness)}-{number}", upstream_id="a", **changes)
        )
        await asyncio.sleep(0.02)
    return calls


@pytest.mark.parametrize("limit_per_s", [0.0, 0.5, 3.0, 12.0, 30.0])
def test_upstream_gets_more_requests_than_the_limit_that_it_states(
    limit_per_s: float,
) -> None:
    """An upstream got requests as long as a slot was free."""

    async def test() -> None:
        upstream = FakeUpstream(work_s=0.05)
        upstream.notice = UpstreamNotice(limit_per_s)
        harness = await ReceiverHarness(upstream).announced()
        await harness.call("first")
        upstream.arrivals.clear()
        await send_for(harness, 12.0)
        most = most_in_window(upstream.arrivals)
        assert most <= allowed_in_window(max(limit_per_s, 0.2))
        assert most >= limit_per_s * WINDOW_S * 0.9

    run(test)


def test_what_the_limit_does_not_allow_is_refused_at_once() -> None:
    """Callers would wait until their deadline for an upstream in need."""

    async def test() -> None:
        upstream = FakeUpstream(work_s=0.05)
        upstream.notice = UpstreamNotice(1.0)
        harness = await ReceiverHarness(upstream).announced()
        await harness.call("first")
        calls = [harness.call(f"r{n}") for n in range(10)]
        started_s = asyncio.get_running_loop().time()
        replies = [await call for call in reversed(calls)]
        refused = [r for r in replies if isinstance(r, messages.CallRefused)]
        assert len(refused) >= 8
        assert all(r.reason == NotRunReason.OVERLOADED for r in refused)
        assert all(r.retry_after_ms > 0 for r in refused)
        assert asyncio.get_running_loop().time() - started_s < 2.0

    run(test)


def test_queued_requests_that_a_new_limit_leaves_no_time_are_refused() -> None:
    """They waited until their time was up before another upstream was tried."""

    async def test() -> None:
        loop = asyncio.get_running_loop()
        upstream = FakeUpstream(work_s=0.2)
        harness = await ReceiverHarness(upstream).announced()
        patient = {"remaining_ms": 4000, "target_latency_ms": 4000}
        calls = [harness.call(f"r{n}", **patient) for n in range(16)]
        await asyncio.sleep(0.1)
        assert harness.receiver.queued == 12
        upstream.notice = UpstreamNotice(1.0)
        started_s = loop.time()
        refused_s = []
        answered = 0
        for call in asyncio.as_completed(calls):
            if isinstance(await call, messages.CallRefused):
                refused_s.append(loop.time() - started_s)
            else:
                answered += 1
        assert max(refused_s) < 0.2
        assert answered + len(refused_s) == 16
        # Those in the slots, and those that the limit allows in their time.
        assert answered >= OWN.slots + 2

    run(test)


def test_limit_ends_with_an_answer_that_states_none() -> None:
    """An upstream that has recovered would stay at its lowest rate."""

    async def test() -> None:
        upstream = FakeUpstream(work_s=0.02)
        upstream.notice = UpstreamNotice(2.0)
        harness = await ReceiverHarness(upstream).announced()
        await send_for(harness, 2.0)
        upstream.notice = UpstreamNotice()
        await send_for(harness, 2.0)
        upstream.arrivals.clear()
        await send_for(harness, 2.0)
        assert len(upstream.arrivals) > 80

    run(test)


def test_restarted_node_exceeds_the_limit_of_its_upstream() -> None:
    """A restarted node filled all slots before the first answer came."""

    async def test() -> None:
        limit_per_s = 2.0
        wide = dataclasses.replace(OWN, slots=40)
        upstream = FakeUpstream(work_s=0.5)
        upstream.notice = UpstreamNotice(limit_per_s)
        harness = ReceiverHarness(upstream)
        harness.published.announce(wide)
        await asyncio.sleep(1.0)
        await harness.call("first")
        upstream.arrivals.clear()
        await send_for(harness, 4.0)
        harness.receiver.is_stopping = True
        harness.receiver.tick()
        restarted = ReceiverHarness(upstream)
        restarted.published.announce(wide)
        await send_for(restarted, 4.0, rate_limit_milli=to_milli(limit_per_s))
        assert most_in_window(upstream.arrivals) <= allowed_in_window(
            limit_per_s
        )

    run(test)


def test_health_check_tells_a_restarted_node_of_the_limit() -> None:
    """A restarted node would exceed the limit until a request is answered."""

    async def test() -> None:
        upstream = FakeUpstream(work_s=10.0)
        upstream.health_notice = UpstreamNotice(1.0)
        harness = await ReceiverHarness(upstream).announced()
        for call in await send_for(harness, 2.0):
            call.cancel()
        assert len(upstream.arrivals) <= 3

    run(test)


def test_copy_does_not_outlast_the_answer_of_the_upstream() -> None:
    """A sender's old copy would hold down an upstream that has recovered."""

    async def test() -> None:
        upstream = FakeUpstream(work_s=0.02)
        harness = await ReceiverHarness(upstream).announced()
        upstream.arrivals.clear()
        await send_for(harness, 4.0, rate_limit_milli=1000)
        assert len(upstream.arrivals) > 160

    run(test)


def test_limit_of_an_earlier_incarnation_is_forgotten() -> None:
    """A replacement at the same address would be held down."""

    async def test() -> None:
        upstream = FakeUpstream(work_s=0.02)
        upstream.notice = UpstreamNotice(1.0)
        harness = await ReceiverHarness(upstream).announced()
        await send_for(harness, 2.0)
        upstream.notice = UpstreamNotice()
        harness.published.announce(dataclasses.replace(OWN, started_unix_ms=2))
        await asyncio.sleep(1.0)
        upstream.arrivals.clear()
        await send_for(harness, 2.0)
        assert len(upstream.arrivals) > 80

    run(test)


def test_refusal_of_the_upstream_does_not_end_its_limit() -> None:
    """An overloaded upstream would get full load after each refusal."""

    async def test() -> None:
        upstream = FakeUpstream(work_s=0.02)
        upstream.notice = UpstreamNotice(LIMIT_PER_S)
        harness = await ReceiverHarness(upstream).announced()
        await send_for(harness, 2.0)
        upstream.arrivals.clear()
        upstream.result = UpstreamNotRun("full", True, 503, UpstreamNotice())
        await send_for(harness, 6.0)
        assert most_in_window(upstream.arrivals) <= allowed_in_window(
            LIMIT_PER_S
        )

    run(test)


def test_late_answer_does_not_end_a_limit_that_was_stated_since() -> None:
    """Answers on different connections arrive in another order."""
    limiter = StatedRateLimiter()
    limiter.record_statement(5.0, sent_s=10.0, now_s=10.1)
    limiter.record_statement(None, sent_s=10.05, now_s=10.2)
    assert limiter.limit_per_s == 5.0
    limiter.record_statement(None, sent_s=10.15, now_s=10.3)
    assert limiter.limit_per_s is None


def test_replies_state_the_limit_and_when_it_is_free() -> None:
    """Senders would go on to choose an upstream that is used up."""

    async def test() -> None:
        upstream = FakeUpstream(work_s=0.02)
        upstream.notice = UpstreamNotice(2.0)
        harness = await ReceiverHarness(upstream).announced()
        await harness.call("first")
        reply = await harness.call("second")
        assert isinstance(reply, messages.CallAnswer)
        assert (reply.upstream_id, reply.upstream_started_ms) == ("a", 1)
        assert reply.rate_limit_milli == 2000
        assert 0 < reply.rate_wait_ms <= 1000

    run(test)
