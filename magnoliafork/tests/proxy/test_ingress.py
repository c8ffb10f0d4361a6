"""Tests of the ingress over real loopback sockets."""

import asyncio
import dataclasses
import functools
import inspect
import json
from collections.abc import Callable, Coroutine
from typing import Any, Concatenate, ParamSpec

import pytest
from aiohttp import web

from magnoliafork.proxy.ingress import IngressLimits, build_app
from magnoliafork.proxy.ingress_runner import IngressRunner
from magnoliafork.tests.proxy.test_sender_fleet import (
    Fleet,
    route,
    snapshot,
)

P = ParamSpec("P")
LIMITS = IngressLimits(
    max_connections=4,
    head_timeout_s=0.3,
    body_timeout_s=0.3,
    write_timeout_s=0.5,
)
MIB = 1024 * 1024
Reply = tuple[int, dict[str, str], bytes]


class IngressFixture:
    """The ingress of a node whose sender calls a fake fleet."""

    def __init__(self) -> None:
        self.fleet = Fleet(3, service_s=0.05)
        self.fleet.current = snapshot(
            route("/r/*", repeatable=True), route("/n/*")
        )
        self.requests = self.fleet.requests
        self.sender = self.fleet.sender()
        self.app = build_app(self.sender, LIMITS)
        self.runner = IngressRunner(self.app, "127.0.0.1", 0)

    async def connect(self) -> "Caller":
        pair = await asyncio.open_connection("127.0.0.1", self.runner.port)
        return Caller(*pair)

    async def exchange(self, text: str, body: bytes = b"") -> Reply:
        caller = await self.connect()
        try:
            return await caller.exchange(text, body)
        finally:
            caller.writer.close()

    async def runs(self, count: int) -> None:
        """Waits until a number of requests have started to run."""
        while len(self.fleet.runs) < count:
            await asyncio.sleep(0.001)


@dataclasses.dataclass
class Caller:
    """Raw HTTP/1.1 connection."""

    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter

    def send(self, text: str, body: bytes = b"") -> None:
        lines = [*text.split("\n"), "Host: Shop.Example:80"]
        if body and "Transfer-Encoding" not in text:
            lines.append(f"Content-Length: {len(body)}")
        head = "\r\n".join(lines).encode("latin-1")
        self.writer.write(head + b"\r\n\r\n" + body)

    async def exchange(self, text: str, body: bytes = b"") -> Reply:
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


def with_ingress(
    test: Callable[Concatenate[IngressFixture, P], Coroutine[Any, Any, None]],
) -> Callable[P, None]:
    """Turns a coroutine function into a test that gets a running ingress."""

    async def main(*args: P.args, **kwargs: P.kwargs) -> None:
        ingress = IngressFixture()
        await ingress.runner.start()
        try:
            async with asyncio.timeout(10):
                await test(ingress, *args, **kwargs)
        finally:
            await ingress.runner.stop(1.0)

    def run(*args: P.args, **kwargs: P.kwargs) -> None:
        asyncio.run(main(*args, **kwargs))

    # Hides the first parameter from pytest, which would look for a fixture.
    signature = inspect.signature(test)
    parameters = list(signature.parameters.values())[1:]
    wrapped = functools.wraps(test)(run)
    vars(wrapped)["__signature__"] = signature.replace(parameters=parameters)
    return wrapped


@with_ingress
async def test_request_and_answer_are_passed_on_complete(
    ingress: IngressFixture,
) -> None:
    """Guards against lost headers, bodies, deadlines and trace contexts."""
    trace = f"00-{'a' * 32}-{'b' * 16}-01"
    text = (
        f"POST /n/a?x=%41 HTTP/1.1\nX-A: b\nMagnolia-Deadline-Ms: 700"
        f"\nMagnolia-Secret: s\nUpstream-Not-Run: 1\nConnection: X-Hop"
        f"\nX-Hop: 1\nIdempotency-Key: k\nMagnolia-Attempt: 1"
        f"\nContent-Encoding: gzip\ntraceparent: {trace}"
    )
    status, headers, body = await ingress.exchange(text, b"not gzip at all")
    assert (status, body) == (200, b"/n/a?x=%41")
    assert headers["magnolia-outcome"] == "answered"
    request_id = headers["magnolia-request-id"]
    assert request_id == ingress.requests[0].request_id
    request = ingress.requests[0]
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
    "CONNECT /r/a HTTP/1.1",
    "CONNECT shop.example:443 HTTP/1.1",
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
@with_ingress
async def test_a_refused_request_says_not_run(
    ingress: IngressFixture, status: int, reason: str, text: str
) -> None:
    """Guards against refusals that a caller cannot distinguish from a run."""
    got, headers, content = await ingress.exchange(text)
    assert got == status
    assert headers["magnolia-outcome"] == "not-run"
    request_id = headers["magnolia-request-id"]
    expected = {"outcome": "not-run", "reason": reason}
    assert json.loads(content) == expected | {"request_id": request_id}
    assert ("retry-after" in headers) == (status == 503)
    assert not ingress.requests


@pytest.mark.parametrize(("size", "status"), [(MIB, 200), (MIB + 1, 413)])
@with_ingress
async def test_the_limit_of_a_chunked_body(
    ingress: IngressFixture, size: int, status: int
) -> None:
    """Guards against a limit that is off by one or trusts the headers."""
    body = b"%x\r\n%s\r\n0\r\n\r\n" % (size, b"x" * size)
    text = "POST /n/a HTTP/1.1\nTransfer-Encoding: chunked"
    assert (await ingress.exchange(text, body))[0] == status
    got = [len(request.body) for request in ingress.requests]
    assert got == ([size] if status == 200 else [])


@with_ingress
async def test_an_unknown_outcome_is_a_504(ingress: IngressFixture) -> None:
    """Guards against an unknown outcome that looks like "not run"."""
    ingress.fleet.nodes["orders-0"].faults = ["unknown"]
    status, headers, content = await ingress.exchange("POST /n/a HTTP/1.1")
    assert (status, headers["magnolia-outcome"]) == (504, "unknown")
    assert json.loads(content)["reason"] == "upstream_broke"


@with_ingress
async def test_slow_callers_are_disconnected_and_counted(
    ingress: IngressFixture,
) -> None:
    """Guards against slow callers that keep connections open for ever."""
    slow_head = await ingress.connect()
    slow_head.writer.write(b"GET /r/a HTT")
    slow_body = await ingress.connect()
    slow_body.send("POST /n/a HTTP/1.1\nContent-Length: 5")
    assert (await slow_body.reply())[0] == 408
    assert await slow_head.reader.read() == b""
    assert ingress.app.counters.slow_bodies == 1
    assert not ingress.requests
    ingress.fleet.answer_to = lambda path: b"x" * MIB
    slow_reader = await ingress.connect()
    for _ in range(20):
        slow_reader.send("GET /r/big HTTP/1.1")
    while not ingress.app.counters.slow_readers:
        await asyncio.sleep(0.05)


@with_ingress
async def test_connections_above_the_cap_are_refused(
    ingress: IngressFixture,
) -> None:
    """Guards against callers that use up the node's file descriptors."""
    callers = [await ingress.connect() for _ in range(5)]
    status, headers, _ = await callers[4].reply()
    assert (status, headers["magnolia-outcome"]) == (503, "not-run")
    assert (await callers[0].exchange("GET /r/a HTTP/1.1"))[0] == 200
    assert ingress.app.counters.refused_connections == 1


@pytest.mark.parametrize(
    ("path", "cancelled"), [("/r/a", ["/r/a"]), ("/n/a", [])]
)
@with_ingress
async def test_a_caller_disconnects(
    ingress: IngressFixture, path: str, cancelled: list[str]
) -> None:
    """Guards against repeatable work without a waiting caller."""
    ingress.fleet.service_s = 0.5
    caller = await ingress.connect()
    caller.send(f"POST {path} HTTP/1.1")
    await ingress.runs(1)
    caller.writer.close()
    while ingress.app.counters.in_flight:
        await asyncio.sleep(0.01)
    assert await ingress.sender.drained(5.0) == 0
    assert ingress.fleet.cancelled == cancelled
    assert [run_path for _, run_path in ingress.fleet.runs] == [path]


@with_ingress
async def test_a_truncated_body_is_never_passed_on(
    ingress: IngressFixture,
) -> None:
    """Guards against a truncated body that looks complete."""
    caller = await ingress.connect()
    caller.send("POST /n/a HTTP/1.1\nContent-Length: 5")
    caller.writer.write(b"ab")
    await asyncio.sleep(0.05)
    caller.writer.close()
    await ingress.runner.stop(5.0)
    assert not ingress.requests


@with_ingress
async def test_stop_waits_for_answers_in_flight(
    ingress: IngressFixture,
) -> None:
    """Guards against a planned stop that cancels requests (I10)."""
    running, idle = await ingress.connect(), await ingress.connect()
    assert (await idle.exchange("GET /r/a HTTP/1.1"))[0] == 200
    ingress.fleet.service_s = 0.5
    running.send("POST /n/a HTTP/1.1")
    await ingress.runs(2)
    ingress.sender.begin_stop()
    ingress.runner.begin_stop()
    status, headers, _ = await idle.exchange("POST /n/b HTTP/1.1")
    assert (status, headers["magnolia-outcome"]) == (503, "not-run")
    assert headers["connection"] == "close"
    assert (await ingress.exchange("POST /n/c HTTP/1.1"))[0] == 503
    stop = asyncio.create_task(ingress.runner.stop(5.0))
    status, headers, body = await running.reply()
    assert (status, body) == (200, b"/n/a")
    assert headers["connection"] == "close"
    assert await stop == 0
    assert ingress.runner.connection_count == 0
    with pytest.raises(OSError, match="Connect"):
        await ingress.connect()
    assert [path for _, path in ingress.fleet.runs[1:]] == ["/n/a"]


@with_ingress
async def test_a_stop_counts_the_requests_that_it_cancels(
    ingress: IngressFixture,
) -> None:
    """Guards against a stop that hides cancelled requests or never ends."""
    ingress.fleet.service_s = 1.5
    caller = await ingress.connect()
    caller.send("POST /n/a HTTP/1.1")
    await ingress.runs(1)
    assert await ingress.runner.stop(0.1) == 1
    await ingress.sender.drained(2.0)


@with_ingress
async def test_request_read_just_before_connections_close_is_answered(
    ingress: IngressFixture,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a stop that drops a request before its handler runs."""
    caller = await ingress.connect()
    await caller.exchange("GET /r/a HTTP/1.1")
    ingress.runner.begin_stop()
    server = ingress.runner._web_server
    assert server is not None
    closes = []
    read = web.RequestHandler.data_received

    def read_and_close(handler: web.RequestHandler, data: bytes) -> None:
        read(handler, data)
        close = ingress.runner._close_connections(server)
        closes.append(asyncio.create_task(close))

    monkeypatch.setattr(web.RequestHandler, "data_received", read_and_close)
    status, headers, _ = await caller.exchange("GET /r/a HTTP/1.1")
    assert status == 200
    assert headers["connection"] == "close"
    await asyncio.gather(*closes)
