"""Tests of the HTTP client against a local server."""

import asyncio
from collections.abc import Awaitable, Callable

import aiohttp
from aiohttp import web

from magnoliafork.source.api import (
    SourceUnavailable,
    SourceUnchanged,
    SourceValue,
    SourceValueMissing,
    WatchOutcome,
)
from magnoliafork.source.http import HttpConfigSource

SourceCall = Callable[[HttpConfigSource], Awaitable[WatchOutcome]]


def call_source(
    answer: web.Response | None, call: SourceCall
) -> tuple[object, str]:
    """Calls a server with one fixed answer; with None it never answers."""
    seen: list[str] = []

    async def handle(request: web.Request) -> web.Response:
        seen.append(request.path_qs)
        if answer is None:
            await asyncio.sleep(30)
            raise web.HTTPServiceUnavailable
        return answer

    async def main() -> object:
        app = web.Application()
        app.router.add_get("/{path:.*}", handle)
        runner = web.AppRunner(app, shutdown_timeout=0.1)
        await runner.setup()
        site = web.TCPSite(runner, "127.0.0.1", 0)
        await site.start()
        host, port = runner.addresses[0][:2]
        async with aiohttp.ClientSession() as session:
            base_url = f"http://{host}:{port}/"
            source = HttpConfigSource(base_url, session, 0.3)
            outcome = await call(source)
        await runner.cleanup()
        return outcome

    outcome = asyncio.run(main())
    return outcome, "".join(seen)


def value(body: bytes, revision: str = "7") -> web.Response:
    return web.Response(body=body, headers={"X-Revision": revision})


def test_read_and_watch_use_the_paths_of_the_platform() -> None:
    # Guards against a client that does not follow the published protocol.
    outcome, path = call_source(value(b"x"), lambda s: s.read("parts/ab"))
    assert (outcome, path) == (SourceValue(b"x", 7), "/v1/values/parts/ab")
    outcome, path = call_source(
        value(b"x"), lambda s: s.watch("manifest", 6, 0.5)
    )
    assert outcome == SourceValue(b"x", 7)
    assert path == "/v1/watch/manifest?after=6&wait_s=0.5"


def test_statuses_become_typed_outcomes() -> None:
    # Guards against an error page that is taken for a value.
    for status, expected in ((404, SourceValueMissing), (304, SourceUnchanged)):
        answer = web.Response(status=status)
        outcome, _ = call_source(answer, lambda s: s.watch("manifest", 0, 0.1))
        assert isinstance(outcome, expected)
    for answer in (
        web.Response(status=500),
        web.Response(status=302, headers={"Location": "/elsewhere"}),
        web.Response(body=b"no revision"),
        value(b"x", "-1"),
    ):
        outcome, _ = call_source(answer, lambda s: s.read("manifest"))
        assert isinstance(outcome, SourceUnavailable)


def test_a_value_above_the_limit_is_unavailable() -> None:
    # Guards against memory exhaustion by an oversized value.
    outcome, _ = call_source(
        value(b"x" * 1_000_000), lambda s: s.read("manifest")
    )
    assert isinstance(outcome, SourceValue)
    outcome, _ = call_source(
        value(b"x" * 1_000_001), lambda s: s.read("manifest")
    )
    assert isinstance(outcome, SourceUnavailable)


def test_a_silent_or_absent_server_is_unavailable() -> None:
    # Guards against a reader that waits for ever.
    outcome, _ = call_source(None, lambda s: s.read("manifest"))
    assert isinstance(outcome, SourceUnavailable)

    async def absent() -> WatchOutcome:
        async with aiohttp.ClientSession() as session:
            source = HttpConfigSource("http://127.0.0.1:1", session, 0.3)
            return await source.read("manifest")

    assert isinstance(asyncio.run(absent()), SourceUnavailable)
