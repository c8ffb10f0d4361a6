"""Requests of callers around a planned stop of a node."""

import asyncio

import pytest

from magnoliafork.mesh.graceful_shutdown import ShutdownPlan
from magnoliafork.mesh.settings import Bounds
from magnoliafork.platform import names
from magnoliafork.tests.platform.standins import CALLER_PORT, configuration
from magnoliafork.tests.platform.test_end_to_end import ROUTES, Fleet, run
from magnoliafork.tests.platform.test_kept_connections import post_head

HOST = "127.0.7.1"
GRACE_S = 2.0
LATE_REQUESTS = 40


def test_request_after_the_accept_time_is_refused_before_the_next_tick() -> (
    None
):
    """Guards against accepting requests until a poll notices the time."""

    async def test(fleet: Fleet) -> None:
        node = fleet.nodes[HOST]
        now_s = asyncio.get_running_loop().time()
        node.shutdown_plan = ShutdownPlan(now_s - 2.9, grace_period_s=6.0)
        answer = await fleet.request(HOST, "/a/", "POST")
        assert answer.status == 503
        assert float(answer.headers["Retry-After"]) > 0
        assert not any(server.runs for server in fleet.servers.values())

    run(test)


def test_request_pending_at_the_end_of_a_stop_gets_an_answer() -> None:
    """Guards against a stop that closes connections of pending requests."""

    async def test(fleet: Fleet) -> None:
        node = fleet.nodes[HOST]
        node._settings = node._settings.model_copy(
            update={"bounds": Bounds(grace_period_s=1.2)}
        )
        for server in fleet.servers.values():
            server.work_s = 1.5
        pending = asyncio.create_task(fleet.request(HOST, "/pay/", "POST"))
        await fleet.wait_until(lambda: node.sender.counters.in_flight)
        started_s = asyncio.get_running_loop().time()
        await node.stop()
        assert asyncio.get_running_loop().time() - started_s < 1.2
        answer = await pending
        assert answer.status == 504
        assert answer.headers["Connection"] == "close"
        assert node.ingress.cut == 0

    run(test)


def test_late_requests_of_a_planned_stop_are_refused_and_none_is_cut() -> None:
    """Requests that came late in the grace were passed on and then cut."""

    async def test(fleet: Fleet) -> None:
        node, loop = fleet.nodes[HOST], asyncio.get_running_loop()
        node._settings = node._settings.model_copy(
            update={"bounds": Bounds(grace_period_s=GRACE_S)}
        )
        for server in fleet.servers.values():
            server.work_s = 0.5
        connections = [
            await asyncio.open_connection(HOST, CALLER_PORT)
            for _ in range(LATE_REQUESTS)
        ]
        stopping = asyncio.create_task(node.stop())
        stopped_s = loop.time()

        async def send_at(number: int) -> None:
            reader, writer = connections[number]
            after_s = GRACE_S * number / LATE_REQUESTS
            await asyncio.sleep(after_s)
            attempt_id = f"late-{number}"
            sent_s = loop.time() - stopped_s
            writer.write(post_head(attempt_id, "/pay/") + b"10")
            try:
                answer = await reader.readuntil(b"\r\n\r\n")
            except (asyncio.IncompleteReadError, ConnectionError):
                answer = b""
            was_sent_on = any(
                server.runs[attempt_id] for server in fleet.servers.values()
            )
            if was_sent_on:
                assert answer.startswith((b"HTTP/1.1 200", b"HTTP/1.1 504"))
                assert sent_s < GRACE_S / 2
            elif answer:
                assert answer.startswith(b"HTTP/1.1 503")
                assert b"Retry-After" in answer
            writer.transport.abort()

        await asyncio.gather(*map(send_at, range(LATE_REQUESTS)))
        await stopping
        assert node.ingress.cut == 0

    run(test)


LONG_TIMEOUT_MS = 8000
LATE_S = 3.4


@pytest.mark.parametrize("grace_s", [8.0, 10.0])
@pytest.mark.parametrize(
    ("method", "path", "body"),
    [("GET", "/a/", b""), ("POST", "/pay/", b"10"), ("POST", "/a/", b"10")],
    ids=["safe", "unsafe", "safe with a body"],
)
def test_late_request_that_may_outlast_the_grace_period_is_refused_at_once(
    method: str, path: str, body: bytes, grace_s: float
) -> None:
    """Long requests were accepted with 6 s left and broken off unanswered."""

    async def test(fleet: Fleet) -> None:
        node, loop = fleet.nodes[HOST], asyncio.get_running_loop()
        fleet.store.put(
            "op/config", configuration(2, ROUTES, timeout_ms=LONG_TIMEOUT_MS)
        )
        await fleet.wait_until(lambda: node.view.config_version == 2)
        node._settings = node._settings.model_copy(
            update={"bounds": Bounds(grace_period_s=grace_s)}
        )
        # The node closes once it is idle.
        running = asyncio.create_task(fleet.request(HOST, "/a/?work_ms=1000"))
        await fleet.wait_until(lambda: node.sender.counters.in_flight)
        node._stop_requested_s = loop.time() - LATE_S
        stopping = asyncio.create_task(node.stop())
        await fleet.wait_until(lambda: node.shutdown_plan)
        sent_s = loop.time()
        long_headers = {names.DEADLINE_MS: "15000", names.ATTEMPT_ID: "long"}
        refused = await fleet.request(
            HOST, f"{path}?work_ms=7000", method, body, long_headers
        )
        assert refused.status == 503
        assert float(refused.headers["Retry-After"]) > 0
        assert loop.time() - sent_s < 0.5
        assert not any(s.runs["long"] for s in fleet.servers.values())
        # The time that its caller leaves ends within the grace period.
        short = await fleet.request(HOST, path, method, body)
        assert short.status == 200
        assert (await running).status == 200
        await stopping

    run(test)
