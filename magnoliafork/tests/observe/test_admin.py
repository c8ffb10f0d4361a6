"""The admin listener must show the node's state and protect its controls."""

import asyncio
import json
from collections.abc import Awaitable, Callable

import aiohttp
import pytest

from magnoliafork.tests.observe.fake_node import TOKEN, FakeNode, admin_of

BEARER = {"Authorization": f"Bearer {TOKEN}"}


def run(
    node: FakeNode,
    scenario: Callable[[aiohttp.ClientSession], Awaitable[None]],
    token: str | None = TOKEN,
) -> None:
    async def main() -> None:
        server = admin_of(node, token)
        port = await server.start("127.0.0.1", 0)
        try:
            base = f"http://127.0.0.1:{port}"
            async with aiohttp.ClientSession(base) as session:
                await scenario(session)
        finally:
            await server.stop()

    asyncio.run(main())


async def get(
    session: aiohttp.ClientSession, path: str, accept: str = "*/*"
) -> tuple[int, str]:
    async with session.get(path, headers={"Accept": accept}) as answer:
        return answer.status, await answer.text()


async def post(
    session: aiohttp.ClientSession,
    path: str,
    headers: dict[str, str],
    body: object = None,
) -> int:
    async with session.post(path, headers=headers, json=body) as answer:
        return answer.status


def test_readiness_follows_the_node() -> None:
    """Guards against callers that reach a node without configuration."""
    node = FakeNode(ready=False)

    async def scenario(session: aiohttp.ClientSession) -> None:
        assert (await get(session, "/readyz"))[0] == 503
        assert (await get(session, "/healthz"))[0] == 200
        node.ready = True
        assert (await get(session, "/readyz"))[0] == 200

    run(node, scenario)


def test_status_history_routes_and_metrics_are_readable() -> None:
    """Guards against a state that cannot be written as JSON."""

    async def scenario(session: aiohttp.ClientSession) -> None:
        status = json.loads((await get(session, "/status"))[1])
        assert status["version"]["number"] == 7
        assert status["rejected"][0]["errors"] == ["bad zone"]
        assert status["members"] == {"ALIVE": 3, "DEAD": 1}
        (entry,) = json.loads((await get(session, "/history"))[1])
        assert entry["event"] == "config_applied"
        routes = json.loads((await get(session, "/routes"))[1])["routes"]
        assert routes[0]["asked_by"] == "Marie"
        assert routes[0]["priority"] == "high"
        assert (
            "magnolia_version_number 7.0" in (await get(session, "/metrics"))[1]
        )
        as_json = await get(session, "/metrics", "application/json")
        assert json.loads(as_json[1])["counters"] == {}

    run(FakeNode(), scenario)


def test_routes_before_the_first_configuration_are_empty() -> None:
    """Guards against a failing command on a node that still joins."""

    async def scenario(session: aiohttp.ClientSession) -> None:
        routes = json.loads((await get(session, "/routes"))[1])
        assert routes == {"version_number": 0, "routes": []}

    run(FakeNode(current=None), scenario)


@pytest.mark.parametrize(
    ("token", "headers", "status"),
    [
        (TOKEN, {}, 401),
        (TOKEN, {"Authorization": f"Bearer {TOKEN}x"}, 401),
        (TOKEN, {"Authorization": TOKEN}, 401),
        (None, {"Authorization": "Bearer None"}, 403),
        (None, {"Authorization": "Bearer "}, 403),
    ],
)
def test_controls_need_the_token(
    token: str | None, headers: dict[str, str], status: int
) -> None:
    """Guards against a drain by anybody who reaches the port."""
    node = FakeNode()

    async def scenario(session: aiohttp.ClientSession) -> None:
        assert await post(session, "/drain", headers) == status
        body = {"level": "debug"}
        assert await post(session, "/log-level", headers, body) == status
        assert (await get(session, "/drain"))[0] == 405

    run(node, scenario, token)
    assert node.drains == 0


def test_controls_work_with_the_token() -> None:
    """Guards against a node that cannot be drained remotely."""
    node = FakeNode()

    async def scenario(session: aiohttp.ClientSession) -> None:
        assert await post(session, "/drain", BEARER) == 200
        level = {"level": "debug"}
        assert await post(session, "/log-level", BEARER, level) == 200
        for bad in ({"level": "loud"}, {"level": 1}, ["debug"], None):
            assert await post(session, "/log-level", BEARER, bad) == 400

    run(node, scenario)
    assert node.drains == 1
