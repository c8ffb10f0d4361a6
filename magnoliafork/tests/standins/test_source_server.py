"""Values, watches, outages and read limit of the configuration stand-in."""

import asyncio
import json
from collections.abc import Awaitable, Callable

import aiohttp
import pytest

from magnoliafork.model.instance import Instance
from magnoliafork.model.manifest import Manifest, PartRef, sha256_hex
from magnoliafork.standins.publish import publish, publish_instances
from magnoliafork.standins.source_server import ReadMeter, SourceServer

Scenario = Callable[[SourceServer, aiohttp.ClientSession], Awaitable[None]]


def run(scenario: Scenario, reads_per_s_limit: int = 2000) -> None:
    async def main() -> None:
        server = SourceServer(reads_per_s_limit)
        port = await server.start("127.0.0.1", 0)
        base = f"http://127.0.0.1:{port}"
        try:
            async with aiohttp.ClientSession(base) as session:
                await scenario(server, session)
        finally:
            await server.stop()

    asyncio.run(main())


def test_published_parts_and_manifest_are_readable() -> None:
    """Guards against a manifest published before its parts are readable."""

    async def scenario(
        server: SourceServer, session: aiohttp.ClientSession
    ) -> None:
        part = b"{}"
        digest = sha256_hex(part)
        manifest = Manifest(1, 7, (PartRef("operations", digest, 2),))
        revision = publish(server, manifest, {digest: part})
        async with session.get("/v1/values/manifest") as answer:
            assert await answer.read() == manifest.to_bytes()
            assert answer.headers["X-Revision"] == str(revision)
        async with session.get(f"/v1/values/parts/{digest}") as answer:
            assert await answer.read() == part
            assert int(answer.headers["X-Revision"]) < revision
        async with session.get("/v1/values/parts/none") as answer:
            assert answer.status == 404

    run(scenario)


def test_instance_list_names_leaving_instances() -> None:
    """Guards against an instance list without ids or the leaving state."""

    async def scenario(
        server: SourceServer, session: aiohttp.ClientSession
    ) -> None:
        instance = Instance("a-1", "a", "z", "r", "127.0.0.1", 7001)
        publish_instances(server, [instance], frozenset({"a-1"}))
        async with session.get("/v1/values/instances") as answer:
            entries = json.loads(await answer.read())
        assert entries[0]["instance_id"] == "a-1"
        assert entries[0]["state"] == "leaving"

    run(scenario)


def test_watch_returns_on_change_and_304_without_one() -> None:
    """Guards against a watch that misses a change or never ends."""

    async def scenario(
        server: SourceServer, session: aiohttp.ClientSession
    ) -> None:
        first = server.put("manifest", b"one")
        url = f"/v1/watch/manifest?after={first}"
        async with session.get(f"{url}&wait_s=0.05") as answer:
            assert answer.status == 304
        asyncio.get_running_loop().call_later(
            0.05, server.put, "manifest", b"two"
        )
        async with session.get(f"{url}&wait_s=5") as answer:
            assert await answer.read() == b"two"

    run(scenario)


def test_down_server_cuts_watches_and_returns_on_the_same_port() -> None:
    """Guards against an outage that leaves watches waiting, or never ends."""

    async def scenario(
        server: SourceServer, session: aiohttp.ClientSession
    ) -> None:
        server.put("manifest", b"one")
        watch = asyncio.create_task(
            _status(session, "/v1/watch/manifest?after=9&wait_s=9")
        )
        await asyncio.sleep(0.05)
        assert server.meter.waiting_watches == 1
        await server.set_down(True)
        with pytest.raises(aiohttp.ClientError):
            await watch
        with pytest.raises(aiohttp.ClientError):
            await _status(session, "/v1/values/manifest")
        await server.set_down(False)
        assert await _status(session, "/v1/values/manifest") == 200
        assert server.meter.waiting_watches == 0

    run(scenario)


def test_stale_server_serves_the_older_value() -> None:
    """Guards against a set_stale that has no effect or cannot be undone."""

    async def scenario(
        server: SourceServer, session: aiohttp.ClientSession
    ) -> None:
        old = server.put("manifest", b"old")
        server.put("manifest", b"new")
        server.set_stale(old)
        async with session.get("/v1/values/manifest") as answer:
            assert await answer.read() == b"old"
        server.set_stale(None)
        async with session.get("/v1/values/manifest") as answer:
            assert await answer.read() == b"new"

    run(scenario)


def test_reads_above_the_limit_are_refused() -> None:
    """Guards against a stand-in that allows more reads than the limit."""

    async def scenario(
        server: SourceServer, session: aiohttp.ClientSession
    ) -> None:
        server.put("manifest", b"one")
        statuses = [
            await _status(session, "/v1/values/manifest") for _ in range(30)
        ]
        # 30 reads can touch two clock seconds, each with its own limit.
        assert 200 in statuses
        assert server.refused_reads == statuses.count(429) >= 20

    run(scenario, reads_per_s_limit=5)


def test_waiting_watch_counts_in_every_second() -> None:
    """Guards against a count that treats a long watch as a single read."""
    meter = ReadMeter()
    token = meter.begin_watch(10.2)
    meter.add_read(11.5)
    assert meter.by_second(10, 12) == [1, 2, 1]
    meter.end_watch(token, 12.1)
    assert meter.by_second(10, 13) == [1, 2, 1, 0]


async def _status(session: aiohttp.ClientSession, url: str) -> int:
    async with session.get(url) as answer:
        return answer.status
