"""Answers, refusals, runs, crashes and health of the upstream stand-in."""

import asyncio
import dataclasses
from collections.abc import Awaitable, Callable, Mapping

import aiohttp
import pytest

from magnoliafork.standins.upstream_model import RunEnd, UpstreamBehaviour
from magnoliafork.standins.upstream_server import (
    MAX_BODY_BYTES,
    UpstreamServer,
    is_answer_to,
)

Scenario = Callable[[UpstreamServer, aiohttp.ClientSession], Awaitable[None]]


@dataclasses.dataclass(frozen=True)
class Reply:
    status: int
    headers: Mapping[str, str]
    body: bytes


def run(behaviour: UpstreamBehaviour, scenario: Scenario) -> None:
    async def main() -> None:
        server = UpstreamServer(behaviour)
        port = await server.start("127.0.0.1", 0)
        base = f"http://127.0.0.1:{port}"
        try:
            async with aiohttp.ClientSession(base) as session:
                await scenario(server, session)
        finally:
            await server.stop()

    asyncio.run(main())


async def _post(
    session: aiohttp.ClientSession, key: str = "", deadline_ms: str = ""
) -> Reply:
    headers = {"Idempotency-Key": key} if key else {}
    if deadline_ms:
        headers["Magnolia-Deadline-Ms"] = deadline_ms
    async with session.post("/x", data=b"body", headers=headers) as answer:
        return Reply(answer.status, answer.headers, await answer.read())


def test_answer_belongs_to_its_request() -> None:
    """Guards against undetected wrong answers, and refusals without boot id."""

    async def scenario(
        server: UpstreamServer, session: aiohttp.ClientSession
    ) -> None:
        answer = await _post(session, key="k1")
        content = answer.body
        assert answer.headers["Upstream-Boot-Id"] == server.boot_id
        assert is_answer_to(content, b"body", "k1")
        assert not is_answer_to(content, b"other body", "k1")
        assert not is_answer_to(content, b"body", "k2")
        assert not is_answer_to(content[:-1], b"body", "k1")
        await _post(session, key="k1")
        too_large = b"x" * (MAX_BODY_BYTES + 1)
        async with session.post("/x", data=too_large) as refused:
            assert refused.status == 413
            assert refused.headers["Upstream-Boot-Id"] == server.boot_id
        assert len(server.runs_by_key()["k1"]) == 2

    run(UpstreamBehaviour(answer_padding_bytes=100_000), scenario)


def test_full_or_draining_upstream_refuses_as_not_run() -> None:
    """Guards against a refusal that leaves a run behind."""

    async def scenario(
        server: UpstreamServer, session: aiohttp.ClientSession
    ) -> None:
        answers = await asyncio.gather(*(_post(session) for _ in range(5)))
        refused = [answer for answer in answers if answer.status == 503]
        assert len(refused) == 3
        assert {r.headers["Upstream-Not-Run"] for r in refused} == {"1"}
        async with session.post("/drain") as answer:
            assert answer.status == 200
        assert (await _post(session)).headers["Upstream-Not-Run"] == "1"
        assert len(server.runs) == 2

    run(UpstreamBehaviour(slots=2, service_time_s=0.1), scenario)


def test_deadline_and_closed_connection_end_a_run() -> None:
    """Guards against runs that go on, or begin, after the deadline.

    A run must also end when the caller closes its connection.
    """

    async def scenario(
        server: UpstreamServer, session: aiohttp.ClientSession
    ) -> None:
        assert (await _post(session, "late", deadline_ms="50")).status == 504
        expired = await _post(session, "expired", deadline_ms="0")
        assert expired.headers["Upstream-Not-Run"] == "1"
        call = asyncio.create_task(_post(session, "cancelled"))
        await asyncio.sleep(0.1)
        call.cancel()
        await asyncio.sleep(0.1)
        ends = {run.key: run.end for run in server.runs}
        assert ends == {
            "late": RunEnd.DEADLINE,
            "cancelled": RunEnd.CANCELLED,
        }
        assert server.active == 0

    run(UpstreamBehaviour(service_time_s=5), scenario)


def test_overload_in_cold_start_crashes_the_upstream() -> None:
    """Guards against overload without a crash and a new start after it."""
    behaviour = UpstreamBehaviour(
        slots=4,
        cold_start_s=30,
        service_time_s=0.3,
        overload_grace_s=0.1,
        restart_s=0.2,
    )

    async def scenario(
        server: UpstreamServer, session: aiohttp.ClientSession
    ) -> None:
        boot_id = server.boot_id
        overload = [_post(session) for _ in range(3)]
        results = await asyncio.gather(*overload, return_exceptions=True)
        assert all(isinstance(r, aiohttp.ClientError) for r in results)
        assert server.crash_count == 1
        assert server.peak_cold_excess == 2
        with pytest.raises(aiohttp.ClientConnectorError):
            await _post(session)
        await asyncio.sleep(0.4)
        answer = await _post(session)
        assert answer.status == 200
        assert answer.headers["Upstream-Boot-Id"] != boot_id
        assert [run.end for run in server.runs[:3]] == [RunEnd.CUT] * 3

    run(behaviour, scenario)


def test_load_within_the_cold_capacity_causes_no_crash() -> None:
    """Guards against an upstream that crashes without overload."""

    async def scenario(
        server: UpstreamServer, session: aiohttp.ClientSession
    ) -> None:
        for _ in range(10):
            assert (await _post(session)).status == 200
        assert server.crash_count == 0
        assert server.peak_cold_excess == 0

    run(UpstreamBehaviour(cold_start_s=30, overload_grace_s=0), scenario)


def test_health_lags_behind_a_drain() -> None:
    """Guards against health that shows a drain before the configured lag."""

    async def scenario(
        server: UpstreamServer, session: aiohttp.ClientSession
    ) -> None:
        server.drain()
        async with session.get("/health") as answer:
            assert await answer.json() == {"health": "ok"}
        await asyncio.sleep(0.3)
        async with session.get("/health") as answer:
            assert answer.status == 503
        async with session.get("/load") as answer:
            assert await answer.json() == {"active": 0, "limit": 12}

    run(UpstreamBehaviour(hint_lag_s=0.2), scenario)
