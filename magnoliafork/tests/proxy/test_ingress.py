"""Ingress over real loopback sockets."""

import asyncio
import json
from collections.abc import Awaitable, Callable

import pytest

from magnoliafork.proxy.ingress import (
    IngressApp,
    IngressLimits,
    IngressRunner,
    build_app,
)
from magnoliafork.tests.proxy.test_sender_fleet import (
    Fleet,
    route,
    snapshot,
)

LIMITS = IngressLimits(
    max_connections=4,
    head_timeout_s=0.3,
    body_timeout_s=0.3,
    write_timeout_s=0.5,
)
MIB = 1024 * 1024
Reply = tuple[int, dict[str, str], bytes]


class Front:
    """A node's ingress in front of a fake fleet."""

    def __init__(self, limits: IngressLimits) -> None:
        self.fleet = Fleet(3, service_s=0.05)
        self.fleet.current = snapshot(
            route("/r/*", repeatable=True), route("/n/*")
        )
        self.requests = self.fleet.requests
        self.sender = self.fleet.sender()
        self.app: IngressApp = build_app(self.sender, limits)
        self.runner = IngressRunner(self.app, "127.0.0.1", 0)

    async def connect(self) -> "Caller":
        pair = await asyncio.open_connection("127.0.0.1", self.runner.port)
        return Caller(*pair)

    async def ask(self, text: str, body: bytes = b"") -> Reply:
        caller = await self.connect()
        try:
            return await caller.ask(text, body)
        finally:
            caller.writer.close()


class Caller:
    """Raw HTTP/1.1 connection."""

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.reader = reader
        self.writer = writer

    def send(self, text: str, body: bytes = b"") -> None:
        lines = [*text.split("\n"), "Host: Shop.Example:80"]
        if body and "Transfer-Encoding" not in text:
            lines.append(f"Content-Length: {len(body)}")
        head = "\r\n".join(lines).encode("latin-1")
        self.writer.write(head + b"\r\n\r\n" + body)

    async def ask(self, text: str, body: bytes = b"") -> Reply:
        self.send(text, body)
        return await self.reply()

    async def reply(self) -> Reply:
        head = (await self.reader.readuntil(b"\r\n\r\n")).decode()
        status_line, *lines = head.strip().split("\r\n")
        headers = {
            name.lower(): value
            for name, _, value in [line.partition(": ") for line in lines]
        }
        length = int(headers.get("content-length", 0))
        body = await self.reader.readexactly(length)
        return int(status_line.split()[1]), headers, body


def _with_front(
    case: Callable[[Front], Awaitable[None]], limits: IngressLimits = LIMITS
) -> Front:
    async def main() -> Front:
        front = Front(limits)
        await front.runner.start()
        try:
            async with asyncio.timeout(10):
                await case(front)
        finally:
            await front.runner.stop(1.0)
        return front

    return asyncio.run(main())


def test_an_answer_goes_through_whole() -> None:
    """Guards against lost headers, bodies, deadlines and trace contexts."""
    trace = f"00-{'a' * 32}-{'b' * 16}-01"
    text = (
        f"POST /n/a?x=%41 HTTP/1.1\nX-A: b\nMagnolia-Deadline-Ms: 700"
        f"\nMagnolia-Secret: s\nUpstream-Not-Run: 1\nConnection: X-Hop"
        f"\nX-Hop: 1\nIdempotency-Key: k\nMagnolia-Attempt: 1"
        f"\nContent-Encoding: gzip\ntraceparent: {trace}"
    )

    async def case(front: Front) -> None:
        status, headers, body = await front.ask(text, b"not gzip at all")
        assert (status, body) == (200, b"/n/a?x=%41")
        assert headers["magnolia-outcome"] == "answered"
        request_id = headers["magnolia-request-id"]
        assert request_id == front.requests[0].request_id

    request = _with_front(case).requests[0]
    assert request.body == b"not gzip at all"
    assert request.traceparent == trace
    assert request.is_keyed
    assert request.is_first_attempt
    assert 600 < request.remaining_ms <= 700
    names = {name.lower() for name in request.header_names}
    assert names == {"x-a", "host", "idempotency-key", "content-encoding"}


BAD_REQUESTS = [
    "OPTIONS * HTTP/1.1",
    "GET http://other/r/a HTTP/1.1",
    "POST /n/../r/a HTTP/1.1",
    "POST /r/%2e%2E/n/a HTTP/1.1",
    "GET /r/a HTTP/1.1\nX-A: \xff",
    "BROKEN",
    "GET /r/a HTTP/1.1\nX-A: " + "x" * 9000,
    "POST /n/a HTTP/1.1\nMagnolia-Deadline-Ms: soon",
    "POST /n/a HTTP/1.1\nMagnolia-Deadline-Ms: -1",
    "POST /n/a HTTP/1.1\nMagnolia-Deadline-Ms: 5\nMagnolia-Deadline-Ms: 6",
    "POST /n/a HTTP/1.1\nMagnolia-Deadline-Ms: 99999999",
    "POST /n/a HTTP/1.1\nIdempotency-Key: a b",
    "POST /n/a HTTP/1.1\nIdempotency-Key: ",
    "POST /n/a HTTP/1.1\nIdempotency-Key: a\nIdempotency-Key: b",
    "POST /n/a HTTP/1.1\nIdempotency-Key: " + "k" * 256,
    "POST /n/a HTTP/1.1\nMagnolia-Attempt: 0",
]
REFUSED = [
    *[(400, "bad_request", text) for text in BAD_REQUESTS],
    (404, "no_route", "GET /nowhere HTTP/1.1"),
    (413, "body_too_large", f"PUT /n/a HTTP/1.1\nContent-Length: {MIB + 1}"),
    (431, "bad_request", "GET /r/a HTTP/1.1" + f"\nX-A: {'x' * 7000}" * 5),
    (503, "deadline", "POST /n/a HTTP/1.1\nMagnolia-Deadline-Ms: 0"),
]


@pytest.mark.parametrize(("status", "reason", "text"), REFUSED)
def test_a_refused_request_says_not_run(
    status: int, reason: str, text: str
) -> None:
    """Guards against refusals that a caller cannot tell from a run."""

    async def case(front: Front) -> None:
        got, headers, content = await front.ask(text)
        assert got == status
        assert headers["magnolia-outcome"] == "not-run"
        request_id = headers["magnolia-request-id"]
        expected = {"outcome": "not-run", "reason": reason}
        assert json.loads(content) == expected | {"request_id": request_id}
        assert ("retry-after" in headers) == (status == 503)

    assert not _with_front(case).requests


@pytest.mark.parametrize(("size", "status"), [(MIB, 200), (MIB + 1, 413)])
def test_the_limit_of_a_chunked_body(size: int, status: int) -> None:
    """Guards against a limit that is off by one or trusts the headers."""
    body = b"%x\r\n%s\r\n0\r\n\r\n" % (size, b"x" * size)

    async def case(front: Front) -> None:
        text = "POST /n/a HTTP/1.1\nTransfer-Encoding: chunked"
        assert (await front.ask(text, body))[0] == status

    got = [len(request.body) for request in _with_front(case).requests]
    assert got == ([size] if status == 200 else [])


def test_an_unknown_outcome_is_a_504() -> None:
    """Guards against an unknown outcome that looks like "not run"."""

    async def case(front: Front) -> None:
        front.fleet.nodes["orders-0"].faults = ["unknown"]
        status, headers, content = await front.ask("POST /n/a HTTP/1.1")
        assert (status, headers["magnolia-outcome"]) == (504, "unknown")
        assert json.loads(content)["reason"] == "upstream_broke"

    _with_front(case)


def test_slow_callers_are_cut_and_counted() -> None:
    """Guards against callers that hold connections for ever."""

    async def case(front: Front) -> None:
        slow_head = await front.connect()
        slow_head.writer.write(b"GET /r/a HTT")
        slow_body = await front.connect()
        slow_body.send("POST /n/a HTTP/1.1\nContent-Length: 5")
        assert (await slow_body.reply())[0] == 408
        assert await slow_head.reader.read() == b""
        assert front.app.counters.slow_bodies == 1
        assert not front.requests
        front.fleet.answer_to = lambda path: b"x" * MIB
        slow_reader = await front.connect()
        for _ in range(20):
            slow_reader.send("GET /r/big HTTP/1.1")
        while not front.app.counters.slow_readers:
            await asyncio.sleep(0.05)

    _with_front(case)


def test_connections_above_the_cap_are_refused() -> None:
    """Guards against callers that use up the node's descriptors."""

    async def case(front: Front) -> None:
        callers = [await front.connect() for _ in range(5)]
        status, headers, _ = await callers[4].reply()
        assert (status, headers["magnolia-outcome"]) == (503, "not-run")
        assert (await callers[0].ask("GET /r/a HTTP/1.1"))[0] == 200
        assert front.app.counters.refused_connections == 1

    _with_front(case)


@pytest.mark.parametrize(
    ("path", "cancelled"), [("/r/a", ["/r/a"]), ("/n/a", [])]
)
def test_a_caller_disconnects(path: str, cancelled: list[str]) -> None:
    """Guards against repeatable work that nobody waits for."""

    async def case(front: Front) -> None:
        caller = await front.connect()
        caller.send(f"POST {path} HTTP/1.1")
        await asyncio.sleep(0.02)
        caller.writer.close()
        await asyncio.sleep(0.02)
        assert await front.sender.drained(1.0) == 0

    front = _with_front(case)
    assert front.fleet.cancelled == cancelled
    assert [run_path for _, run_path in front.fleet.runs] == [path]


def test_a_truncated_body_is_never_passed_on() -> None:
    """Guards against a part of a body that looks complete."""

    async def case(front: Front) -> None:
        caller = await front.connect()
        caller.writer.write(
            b"POST /n/a HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nab"
        )
        await asyncio.sleep(0.02)
        caller.writer.close()
        await asyncio.sleep(0.05)

    assert not _with_front(case).requests


def test_stop_cuts_no_answer() -> None:
    """Guards against a planned stop that cuts requests (I10)."""

    async def case(front: Front) -> None:
        running, idle = await front.connect(), await front.connect()
        assert (await idle.ask("GET /r/a HTTP/1.1"))[0] == 200
        running.send("POST /n/a HTTP/1.1")
        await asyncio.sleep(0.02)
        front.sender.begin_stop()
        front.runner.begin_stop()
        status, headers, _ = await idle.ask("POST /n/b HTTP/1.1")
        assert (status, headers["magnolia-outcome"]) == (503, "not-run")
        assert headers["connection"] == "close"
        late = await front.ask("POST /n/c HTTP/1.1")
        assert late[0] == 503
        stop = asyncio.create_task(front.runner.stop(1.0))
        status, headers, body = await running.reply()
        assert (status, body) == (200, b"/n/a")
        assert headers["connection"] == "close"
        assert await stop == 0
        assert front.runner.connection_count == 0
        with pytest.raises(OSError, match="Connect"):
            await front.connect()

    assert [path for _, path in _with_front(case).fleet.runs[1:]] == ["/n/a"]


def test_a_stop_counts_the_requests_that_it_cuts() -> None:
    """Guards against a stop that hides cut requests or never ends."""

    async def case(front: Front) -> None:
        front.fleet.service_s = 1.5
        caller = await front.connect()
        caller.send("POST /n/a HTTP/1.1")
        await asyncio.sleep(0.02)
        assert await front.runner.stop(0.1) == 1
        await front.sender.drained(2.0)

    _with_front(case)
