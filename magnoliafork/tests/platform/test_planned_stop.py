"""Requests of callers around a planned stop of a node."""

import asyncio

from magnoliafork.mesh.graceful_shutdown import ShutdownPlan
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
