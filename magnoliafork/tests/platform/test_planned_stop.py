"""Requests of callers around a planned stop of a node."""

import asyncio

from magnoliafork.mesh.graceful_shutdown import ShutdownPlan
from magnoliafork.mesh.settings import Bounds
from magnoliafork.tests.platform.test_end_to_end import Fleet, run

HOST = "127.0.7.1"


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
