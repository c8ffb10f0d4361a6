"""Tests of the HTTP client against servers that fail at every stage."""

import asyncio
import re
from collections.abc import Awaitable, Callable

import pytest

from magnoliafork.model.request import NotRunReason, UnknownReason
from magnoliafork.proxy.upstream import (
    HttpUpstream,
    UpstreamAnswer,
    UpstreamNotRun,
    UpstreamRequest,
    UpstreamResult,
    UpstreamUnknown,
)

Script = Callable[[bytes, asyncio.StreamWriter], Awaitable[bool]]
WHOLE = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody"


class RawServer:
    """Reads requests and lets a script answer; counts runs."""

    def __init__(self, script: Script) -> None:
        self.script = script
        self.heads: list[bytes] = []
        self.bodies: list[bytes] = []
        self.connections = 0
        self.closed_by_client = 0

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.connections += 1
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                length = re.search(rb"content-length: (\d+)", head.lower())
                size = int(length[1]) if length else 0
                self.bodies.append(await reader.readexactly(size))
                self.heads.append(head)
                if not await self.script(head, writer):
                    break
            await writer.drain()
        except asyncio.IncompleteReadError:
            self.closed_by_client += 1
        except ConnectionError:
            pass
        finally:
            writer.close()


def answer_with(content: bytes, keep_open: bool = False) -> Script:
    async def script(head: bytes, writer: asyncio.StreamWriter) -> bool:
        writer.write(content)
        await writer.drain()
        return keep_open

    return script


def make_request(
    method: str = "POST", repeatable: bool = False
) -> UpstreamRequest:
    return UpstreamRequest(
        method=method,
        path="/orders/%2F?q=a%20b",
        headers=(
            ("Host", "shop.example"),
            ("Connection", "x-hop"),
            ("X-Hop", "1"),
            ("TE", "trailers"),
            ("Accept-Encoding", "gzip"),
            ("magnolia-deadline-ms", "99999"),
        ),
        body=b"pay" if method == "POST" else b"",
        remaining_ms=750,
        traceparent="00-aa-bb-01",
        repeatable=repeatable,
    )


def exchange(
    script: Script, *requests: UpstreamRequest
) -> tuple[list[UpstreamResult], RawServer]:
    async def main() -> tuple[list[UpstreamResult], RawServer]:
        raw = RawServer(script)
        server = await asyncio.start_server(raw.serve, "127.0.0.1", 0)
        upstream = HttpUpstream("127.0.0.1", server.sockets[0].getsockname()[1])
        results = [await upstream.send(request) for request in requests]
        await upstream.close()
        server.close()
        return results, raw

    return asyncio.run(asyncio.wait_for(main(), 10))


BROKEN = {
    "before the first byte, or after the run": b"",
    "in the status line": b"HTTP/1.1 20",
    "after the headers": b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n",
    "in the body": b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbod",
    "in a chunk": (
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nbody"
    ),
    "before the last chunk": (
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n"
    ),
    "without framing": b"HTTP/1.1 200 OK\r\n\r\nbody",
    "not HTTP": b"garbage\r\n\r\n",
}


@pytest.mark.parametrize("stage", BROKEN)
@pytest.mark.parametrize("method", ["POST", "GET", "PUT"])
def test_broken_exchange_is_unknown_and_never_repeated(
    stage: str, method: str
) -> None:
    # Guards against a second run by aiohttp's own retry of idempotent
    # methods, and against a truncated answer passed on as complete.
    results, raw = exchange(answer_with(BROKEN[stage]), make_request(method))
    assert isinstance(results[0], UpstreamUnknown)
    assert results[0].reason is UnknownReason.UPSTREAM_BROKE
    assert len(raw.heads) == 1


def test_answer_that_ends_within_its_head_is_not_complete() -> None:
    """Callers got a 200 with an empty or short body, framed as whole."""
    head_bytes = WHOLE.index(b"\r\n\r\n") + 4
    for size in range(head_bytes):
        results, _ = exchange(answer_with(WHOLE[:size]), make_request())
        assert isinstance(results[0], UpstreamUnknown), WHOLE[:size]


@pytest.mark.parametrize("status", ["000", "007", "099", "101"])
@pytest.mark.parametrize("method", ["POST", "GET"])
def test_status_that_ends_no_exchange_is_no_answer(
    status: str, method: str
) -> None:
    """Callers got an answer of an upstream in trouble with the status 000."""
    content = WHOLE.replace(b"200", status.encode())
    results, raw = exchange(answer_with(content), make_request(method))
    assert isinstance(results[0], UpstreamUnknown)
    assert results[0].reason is UnknownReason.UPSTREAM_BROKE
    assert len(raw.heads) == 1


def test_repeatable_request_is_not_repeated_on_a_broken_kept_connection() -> (
    None
):
    # Guards against attempts outside the retry budget: aiohttp repeated each
    # GET once when a kept-alive connection broke.
    answers = iter((WHOLE, b"", WHOLE))

    async def script(head: bytes, writer: asyncio.StreamWriter) -> bool:
        content = next(answers)
        writer.write(content)
        return bool(content)

    get = make_request("GET", True)
    results, raw = exchange(script, get, get, get)
    assert [type(result) for result in results] == [
        UpstreamAnswer,
        UpstreamUnknown,
        UpstreamAnswer,
    ]
    assert len(raw.heads) == 3


def test_refused_connection_is_not_run() -> None:
    # Guards against "unknown" for requests that never left this node.
    async def main() -> UpstreamResult:
        server = await asyncio.start_server(lambda r, w: None, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        server.close()
        await server.wait_closed()
        upstream = HttpUpstream("127.0.0.1", port)
        result = await upstream.send(make_request())
        await upstream.close()
        return result

    result = asyncio.run(main())
    assert isinstance(result, UpstreamNotRun)
    assert result.reason is NotRunReason.UNREACHABLE


def test_load_shedding_is_not_run_only_with_the_header() -> None:
    # Guards against repeating a request that failed with a plain 503.
    shed = (
        b"HTTP/1.1 503 Busy\r\nUpstream-Not-Run: 1\r\nRetry-After: 2\r\n"
        b"Upstream-Boot-Id: b7\r\nContent-Length: 0\r\n\r\n"
    )
    plain = b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"
    results, _ = exchange(answer_with(shed), make_request())
    assert isinstance(results[0], UpstreamNotRun)
    assert results[0].reason is NotRunReason.UPSTREAM_REFUSED
    assert (results[0].retry_after_ms, results[0].boot_id) == (2000, "b7")
    results, _ = exchange(answer_with(plain), make_request())
    assert isinstance(results[0], UpstreamAnswer)


def test_complete_answer_is_passed_on_unchanged() -> None:
    # Guards against followed redirects, decoded bodies, leaked hop-by-hop
    # headers and deadlines that callers set themselves.
    content = (
        b"HTTP/1.1 302 Found\r\nLocation: /elsewhere\r\n"
        b"Content-Encoding: gzip\r\nConnection: x-tmp\r\nX-Tmp: 1\r\n"
        b"Upstream-Boot-Id: b7\r\nContent-Length: 3\r\n\r\n\x1f\x8bz"
    )
    results, raw = exchange(answer_with(content), make_request())
    assert results == [
        UpstreamAnswer(
            302,
            (("Location", "/elsewhere"), ("Content-Encoding", "gzip")),
            b"\x1f\x8bz",
            "b7",
        )
    ]
    assert raw.bodies == [b"pay"]
    head = raw.heads[0].decode().lower()
    assert head.startswith("post /orders/%2f?q=a%20b http/1.1")
    assert head.count("magnolia-deadline-ms") == 1
    for expected in ("magnolia-deadline-ms: 750", "traceparent: 00-aa-bb-01"):
        assert expected in head
    for stripped in ("x-hop", "\nte:", "user-agent"):
        assert stripped not in head


@pytest.mark.parametrize(("repeatable", "connections"), [(True, 1), (False, 3)])
def test_only_repeatable_requests_share_a_connection(
    repeatable: bool, connections: int
) -> None:
    # Guards against a non-repeatable request on a connection that the
    # upstream is about to close.
    request = make_request("GET", repeatable)
    results, raw = exchange(answer_with(WHOLE, True), *[request] * 3)
    assert all(isinstance(result, UpstreamAnswer) for result in results)
    assert raw.connections == connections


def test_head_answer_keeps_its_length() -> None:
    # Guards against waiting for a body that never comes.
    content = b"HTTP/1.1 200 OK\r\nContent-Length: 12\r\n\r\n"
    results, _ = exchange(answer_with(content), make_request("HEAD", True))
    assert isinstance(results[0], UpstreamAnswer)
    assert results[0].headers == (("Content-Length", "12"),)


def test_oversized_answer_is_unknown() -> None:
    # Guards against unbounded memory use and against a truncated answer.
    content = b"HTTP/1.1 200 OK\r\nContent-Length: 1048577\r\n\r\n"
    content += bytes(1048577)
    results, _ = exchange(answer_with(content), make_request())
    assert isinstance(results[0], UpstreamUnknown)


def test_cancelling_closes_the_connection() -> None:
    # Guards against upstream work without a waiting caller.
    async def main() -> RawServer:
        async def script(head: bytes, writer: asyncio.StreamWriter) -> bool:
            return True

        raw = RawServer(script)
        server = await asyncio.start_server(raw.serve, "127.0.0.1", 0)
        upstream = HttpUpstream("127.0.0.1", server.sockets[0].getsockname()[1])
        send = asyncio.create_task(upstream.send(make_request("GET", True)))
        while not raw.heads:
            await asyncio.sleep(0.001)
        send.cancel()
        while not raw.closed_by_client:
            await asyncio.sleep(0.001)
        await upstream.close()
        server.close()
        return raw

    raw = asyncio.run(asyncio.wait_for(main(), 5))
    assert len(raw.heads) == 1


def test_invalid_header_is_not_run() -> None:
    # Guards against header injection, and against an exception instead of an
    # outcome.
    request = UpstreamRequest(
        "POST", "/", (("X-A", "1\r\nX-B: 2"),), b"", 100, "", False
    )
    results, raw = exchange(answer_with(WHOLE), request)
    assert isinstance(results[0], UpstreamNotRun)
    assert results[0].reason is NotRunReason.BAD_REQUEST
    assert raw.heads == []
