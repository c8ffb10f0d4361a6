"""Answers of a faulty upstream are never passed on as valid ones."""

import asyncio
import contextlib
import dataclasses
import gc
import socket
import struct
import threading
import time
import tracemalloc
from collections.abc import Awaitable, Callable, Iterator

import pytest

from magnoliafork.mesh import http_exchange
from magnoliafork.mesh import upstream as upstream_module
from magnoliafork.mesh.header_codec import AnswerHeaders, RawHeaders
from magnoliafork.mesh.upstream import (
    UpstreamAnswered,
    UpstreamCall,
    UpstreamClient,
    UpstreamNotRun,
    UpstreamResult,
    UpstreamUnknown,
)
from magnoliafork.platform import names
from magnoliafork.platform.header_codec import PlatformHeaderCodec

Respond = Callable[[asyncio.StreamWriter, str, int], Awaitable[None]]

# Longest time that a consumer waits; a bound has to end a request before it.
DEADLINE_S = 5.0
# Each request may read one largest answer and as much again for the framing of
# chunks and for answers to other requests.
MAX_READ_BYTES = 2 * (
    http_exchange.MAX_ANSWER_HEADER_BYTES + http_exchange.MAX_ANSWER_BODY_BYTES
)
# What the transport may have read on top of it: one read before it pauses, and
# the bytes that wait for the parser.
READ_AHEAD_BYTES = 2 * 256 * 1024
# A body and its copy, a head, and what was read ahead. Twelve requests stay
# below a third of a node's 200 MB.
MAX_HELD_BYTES = (
    2 * http_exchange.MAX_ANSWER_BODY_BYTES
    + http_exchange.MAX_ANSWER_HEADER_BYTES
    + 2 * READ_AHEAD_BYTES
)
# Requests that run at a time on one upstream.
CONCURRENT_REQUESTS = 12
# Processor time of one turn of the loop. Peers' probes have to be answered
# within 0.7 s, which takes up to 7 turns, on under half of a core.
MAX_TURN_S = 0.05
# An upstream whose peer has not closed after this much counts as not closed.
MAX_SENT_BYTES = 64 * 1024 * 1024


def answer(attempt_id: str, body: str = "hello", head: str = "") -> bytes:
    return (
        f"HTTP/1.1 200 OK\r\n{names.ATTEMPT_ID}: {attempt_id}\r\n"
        f"{names.SEAL}: s\r\n{head}Content-Length: {len(body)}\r\n\r\n{body}"
    ).encode()


class FaultyUpstream:
    """Reads requests and lets a test write the answers."""

    def __init__(self, respond: Respond) -> None:
        self._respond = respond
        self.connections = 0
        self.requests: list[str] = []

    async def __call__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.connections += 1
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                self.requests.append(head)
                lines = dict(
                    line.split(": ", 1)
                    for line in head.split("\r\n")[1:]
                    if line
                )
                length = int(lines.get("Content-Length", "0"))
                await reader.readexactly(length)
                await self._respond(
                    writer, lines[names.ATTEMPT_ID], len(self.requests)
                )
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()


async def exchange(
    respond: Respond,
    count: int = 1,
    is_repeatable: bool = True,
    method: str = "GET",
) -> tuple[list[UpstreamResult], FaultyUpstream]:
    upstream = FaultyUpstream(respond)
    server = await asyncio.start_server(upstream, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    loop = asyncio.get_running_loop()
    client = UpstreamClient("127.0.0.1", port, PlatformHeaderCodec(), loop.time)
    results = []
    for number in range(count):
        call = UpstreamCall(
            method,
            "/a?b=%20c",
            (("Host", "x.example"), (names.ATTEMPT_ID, f"id{number}")),
            b"body" if method == "POST" else b"",
            f"id{number}",
            is_repeatable,
        )
        async with asyncio.timeout(5):
            results.append(await client.send(call))
    await client.close()
    server.close()
    return results, upstream


def run(
    *args: object, **kwargs: object
) -> tuple[list[UpstreamResult], FaultyUpstream]:
    return asyncio.run(exchange(*args, **kwargs))  # type: ignore[arg-type]


async def answer_normally(
    writer: asyncio.StreamWriter, attempt: str, _: int
) -> None:
    writer.write(answer(attempt))


def test_connection_is_reused_and_the_target_is_sent_unchanged() -> None:
    """Each request would cost a connection, or reach another path."""
    results, upstream = run(answer_normally, count=3)
    assert all(isinstance(r, UpstreamAnswered) for r in results)
    assert upstream.connections == 1
    assert upstream.requests[0].startswith("GET /a?b=%20c HTTP/1.1\r\n")


def test_body_is_sent_with_its_content_length() -> None:
    """The upstream would wait for the end of the body."""
    results, upstream = run(answer_normally, method="POST")
    assert isinstance(results[0], UpstreamAnswered)
    assert "Content-Length: 4\r\n" in upstream.requests[0]


def test_answer_of_an_earlier_request_is_skipped() -> None:
    """An extra answer must not be taken for the answer to the next request."""

    async def stray_first(
        writer: asyncio.StreamWriter, attempt: str, count: int
    ) -> None:
        if count == 2:
            writer.write(answer("id0", "late answer of the first"))
        writer.write(answer(attempt, f"for {attempt}"))

    results, _ = run(stray_first, count=2, is_repeatable=False)
    assert isinstance(results[1], UpstreamAnswered)
    assert results[1].body == b"for id1"


def test_bytes_after_an_answer_close_the_connection() -> None:
    """They belong to no request and must not answer the next one."""

    async def twice(writer: asyncio.StreamWriter, attempt: str, _: int) -> None:
        writer.write(answer(attempt) + answer(attempt, "second"))

    results, upstream = run(twice, count=2)
    assert [getattr(r, "body", b"") for r in results] == [b"hello"] * 2
    assert upstream.connections == 2


@pytest.mark.parametrize(
    "head", ["", "Content-Encoding: gzip\r\n"], ids=["no seal", "encoded"]
)
def test_success_that_the_upstream_did_not_send_is_not_passed_on(
    head: str,
) -> None:
    """Callers would take an altered answer for a valid one."""

    async def forged(
        writer: asyncio.StreamWriter, attempt: str, _: int
    ) -> None:
        whole = answer(attempt, head=head).decode()
        if not head:
            whole = whole.replace(f"{names.SEAL}: s\r\n", "")
        writer.write(whole.encode())

    results, _ = run(forged)
    assert isinstance(results[0], UpstreamUnknown)


_CHUNKED_ANSWER = (
    f"HTTP/1.1 200 OK\r\n{names.ATTEMPT_ID}: ID\r\n{names.SEAL}: s\r\n"
    "Transfer-Encoding: chunked\r\n\r\n"
    "5;ext=1\r\nhello\r\nc \r\n, all of you\r\n0\r\nA: b\r\n\r\n"
)


@pytest.mark.parametrize("piece_bytes", [1, 7, 1000])
def test_chunks_are_joined_however_they_arrive(piece_bytes: int) -> None:
    """Callers would get parts of a body, or bytes of its framing."""

    async def chunks(
        writer: asyncio.StreamWriter, attempt: str, _: int
    ) -> None:
        whole = _CHUNKED_ANSWER.replace("ID", attempt).encode()
        for start in range(0, len(whole), piece_bytes):
            writer.write(whole[start : start + piece_bytes])
            await asyncio.sleep(0)

    results, upstream = run(chunks, count=2)
    assert [getattr(r, "body", b"") for r in results] == [
        b"hello, all of you"
    ] * 2
    assert upstream.connections == 1


@pytest.mark.parametrize(
    ("good", "bad"),
    [
        ("5;ext=1", "x"),
        ("5;ext=1", ""),
        ("5;ext=1", "-5"),
        ("5;ext=1", "5\n"),
        ("5;ext=1", "5\r"),
        ("hello\r\n", "hello!\r\n"),
        ("hello\r\n", "hello\n"),
        ("A: b", "no trailer"),
        ("chunked", "gzip"),
    ],
)
def test_malformed_chunks_have_an_unknown_outcome(good: str, bad: str) -> None:
    """Callers would get a body of the wrong length."""

    async def chunks(
        writer: asyncio.StreamWriter, attempt: str, _: int
    ) -> None:
        whole = _CHUNKED_ANSWER.replace("ID", attempt)
        writer.write(whole.replace(good, bad, 1).encode())

    results, _ = run(chunks)
    assert isinstance(results[0], UpstreamUnknown)
    assert not results[0].is_connection_lost


@pytest.mark.parametrize(
    ("good", "bad"),
    [("HTTP/1.1", "HTTP/1.0"), ("Content-L", "Connection: Close\r\nContent-L")],
)
def test_connection_of_a_last_answer_is_not_reused(good: str, bad: str) -> None:
    """The next request would fail on a connection that closes."""

    async def last(writer: asyncio.StreamWriter, attempt: str, _: int) -> None:
        writer.write(answer(attempt).decode().replace(good, bad, 1).encode())

    results, upstream = run(last, count=2)
    assert all(isinstance(r, UpstreamAnswered) for r in results)
    assert upstream.connections == 2


def test_answer_to_head_has_a_length_but_no_body() -> None:
    """The node would wait for a body that never comes."""

    async def head(writer: asyncio.StreamWriter, attempt: str, _: int) -> None:
        whole = answer(attempt, head="X: y\r\n").decode()
        whole = whole.replace("Length: 5", "Length: 5000000")
        writer.write(whole.removesuffix("hello").encode())

    results, upstream = run(head, count=2, method="HEAD")
    assert all(isinstance(r, UpstreamAnswered) for r in results)
    assert upstream.connections == 1


def test_interim_answer_precedes_the_answer() -> None:
    """Callers would get the interim answer as the final one."""

    async def interim(
        writer: asyncio.StreamWriter, attempt: str, _: int
    ) -> None:
        writer.write(b"HTTP/1.1 103 Hints\r\nA: b\r\n\r\n" + answer(attempt))

    results, _ = run(interim)
    assert isinstance(results[0], UpstreamAnswered)
    assert results[0].body == b"hello"


def test_truncated_answer_is_not_complete() -> None:
    """Callers would get a part of a body as the whole."""

    async def truncate(
        writer: asyncio.StreamWriter, attempt: str, _: int
    ) -> None:
        writer.write(answer(attempt, "0123456789")[:-4])
        writer.close()

    results, _ = run(truncate)
    assert isinstance(results[0], UpstreamUnknown)


def test_answer_without_length_ends_when_its_connection_closes() -> None:
    """Complete answers of simple upstreams would count as cut."""

    async def unframed(
        writer: asyncio.StreamWriter, attempt: str, _: int
    ) -> None:
        head = f"HTTP/1.1 200 OK\r\n{names.ATTEMPT_ID}: {attempt}\r\n"
        writer.write(f"{head}{names.SEAL}: s\r\n\r\nwhole".encode())
        writer.close()

    results, _ = run(unframed)
    assert isinstance(results[0], UpstreamAnswered)
    assert results[0].body == b"whole"


def test_answer_without_length_is_not_complete_after_a_reset() -> None:
    """Callers would get a part of a body as the whole."""

    async def reset(writer: asyncio.StreamWriter, attempt: str, _: int) -> None:
        head = f"HTTP/1.1 200 OK\r\n{names.ATTEMPT_ID}: {attempt}\r\n"
        writer.write(f"{head}{names.SEAL}: s\r\n\r\npart".encode())
        await writer.drain()
        # A socket with a linger time of 0 is reset when it closes.
        writer.get_extra_info("socket").setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
        )
        writer.transport.abort()

    results, _ = run(reset)
    assert isinstance(results[0], UpstreamUnknown)


def test_bytes_that_are_not_http_have_an_unknown_outcome() -> None:
    """A request that may have run would be sent a second time."""

    async def garbage(
        writer: asyncio.StreamWriter, attempt: str, _: int
    ) -> None:
        writer.write(b"\x00\x01 this is not http\r\n\r\n")

    results, _ = run(garbage)
    assert isinstance(results[0], UpstreamUnknown)


@pytest.mark.parametrize("status", ["000", "007", "099", "101"])
def test_status_that_ends_no_exchange_is_no_answer(status: str) -> None:
    """Callers would get an answer with the status 000."""

    async def respond(
        writer: asyncio.StreamWriter, attempt: str, _: int
    ) -> None:
        content = answer(attempt).replace(b"200 OK", status.encode() + b" Odd")
        writer.write(content)
        writer.close()

    results, _ = run(respond, is_repeatable=False)
    assert isinstance(results[0], UpstreamUnknown)


def test_dropped_idle_connection_is_told_and_replaced() -> None:
    """Callers would get errors when the upstream closes idle connections.

    The receiver admits the request again; see `test_receiver_resend.py`.
    """

    async def drop(
        writer: asyncio.StreamWriter, attempt: str, count: int
    ) -> None:
        if count == 2:
            writer.transport.abort()
            return
        writer.write(answer(attempt))

    results, upstream = run(drop, count=3)
    assert isinstance(results[0], UpstreamAnswered)
    assert isinstance(results[1], UpstreamUnknown)
    assert results[1].is_stale
    assert isinstance(results[2], UpstreamAnswered)
    assert len(upstream.requests) == 3
    assert upstream.connections == 2


@pytest.mark.parametrize("lost", [1, 2])
def test_request_whose_answer_is_lost_is_not_sent_again(lost: int) -> None:
    """Draining upstreams got requests once more, past all limits.

    The first request of a connection is lost, or one on a used connection.
    """

    async def lose(
        writer: asyncio.StreamWriter, attempt: str, count: int
    ) -> None:
        if count == lost:
            await asyncio.sleep(2 * upstream_module.STALE_END_S)
            writer.transport.abort()
            return
        writer.write(answer(attempt))

    results, upstream = run(lose, count=lost)
    assert isinstance(results[-1], UpstreamUnknown)
    assert results[-1].is_connection_lost
    assert not results[-1].is_stale
    assert len(upstream.requests) == lost


def test_new_connection_that_ends_at_once_is_not_stale() -> None:
    """An upstream with too many connections resets new ones."""

    async def reset(writer: asyncio.StreamWriter, _: str, __: int) -> None:
        writer.transport.abort()

    results, upstream = run(reset)
    assert isinstance(results[0], UpstreamUnknown)
    assert not results[0].is_stale
    assert len(upstream.requests) == 1


def test_dropped_idle_connection_is_an_unknown_outcome_otherwise() -> None:
    """A request that is not idempotent could run twice if it were resent."""

    async def drop(
        writer: asyncio.StreamWriter, attempt: str, count: int
    ) -> None:
        if count == 2:
            writer.transport.abort()
            return
        writer.write(answer(attempt))

    results, upstream = run(drop, count=2, is_repeatable=False, method="POST")
    assert isinstance(results[1], UpstreamUnknown)
    assert len(upstream.requests) == 2


def test_request_that_the_upstream_refused_has_not_run() -> None:
    """A request that may run elsewhere would fail."""

    async def refuse(
        writer: asyncio.StreamWriter, attempt: str, _: int
    ) -> None:
        writer.write(
            f"HTTP/1.1 503 No\r\n{names.NOT_EXECUTED}: 1\r\n"
            "Content-Length: 0\r\n\r\n".encode()
        )

    results, _ = run(refuse)
    assert isinstance(results[0], UpstreamNotRun)
    assert results[0].was_sent


@pytest.mark.parametrize("echoed", ["", f"{names.ATTEMPT_ID}: id0\r\n"])
@pytest.mark.parametrize("is_repeatable", [False, True])
def test_refusal_of_an_earlier_request_that_is_sent_once_more(
    echoed: str, is_repeatable: bool
) -> None:
    """Callers were told "not run" of requests that ran, or they ran twice."""
    runs: list[str] = []

    async def refuse_twice(
        writer: asyncio.StreamWriter, attempt: str, count: int
    ) -> None:
        refusal = (
            f"HTTP/1.1 503 No\r\n{names.NOT_EXECUTED}: 1\r\n{echoed}"
            "Content-Length: 0\r\n\r\n"
        ).encode()
        if count <= 2:
            writer.write(refusal)
        if count > 1:
            runs.append(attempt)
            await asyncio.sleep(0.02)
            writer.write(answer(attempt))

    results, _ = run(refuse_twice, count=2, is_repeatable=is_repeatable)
    assert isinstance(results[0], UpstreamNotRun)
    assert runs == ["id1"]
    assert isinstance(results[1], (UpstreamAnswered, UpstreamUnknown))


def test_answer_that_ends_within_its_head_is_not_complete() -> None:
    """Callers got a 200 with an empty or short body, framed as whole."""
    whole = answer("id0", "hello", "X-Long: a b\r\n")
    head_bytes = whole.index(b"\r\n\r\n") + 4

    for size in range(head_bytes + len("hello")):

        async def cut(
            writer: asyncio.StreamWriter, _: str, __: int, size: int = size
        ) -> None:
            writer.write(whole[:size])
            await writer.drain()
            writer.close()

        results, _ = run(cut, is_repeatable=False)
        assert isinstance(results[0], UpstreamUnknown), whole[:size]


def test_error_without_a_not_executed_header_may_have_run() -> None:
    """A request that may have run would be sent a second time."""

    async def fail(writer: asyncio.StreamWriter, attempt: str, _: int) -> None:
        writer.write(
            f"HTTP/1.1 503 No\r\n{names.ATTEMPT_ID}: {attempt}\r\n"
            f"{names.SEAL}: s\r\nContent-Length: 0\r\n\r\n".encode()
        )

    results, _ = run(fail)
    assert isinstance(results[0], UpstreamAnswered)
    assert results[0].status == 503


def test_request_on_a_refused_connection_has_not_run() -> None:
    """A request that ran nowhere would fail as if it might have run."""

    async def refused() -> UpstreamResult:
        loop = asyncio.get_running_loop()
        client = UpstreamClient(
            "127.0.0.1", 1, PlatformHeaderCodec(), loop.time
        )
        call = UpstreamCall("GET", "/", (("Host", "x"),), b"", "id", False)
        return await client.send(call)

    result = asyncio.run(refused())
    assert isinstance(result, UpstreamNotRun)
    assert not result.was_sent


def test_cancelling_closes_the_connection() -> None:
    """The upstream stops a request only when its connection closes."""

    async def cancelled() -> bool:
        ended = asyncio.Event()

        async def hang(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            await reader.readuntil(b"\r\n\r\n")
            with contextlib.suppress(ConnectionError):
                await reader.read()
            ended.set()
            writer.close()

        server = await asyncio.start_server(hang, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        loop = asyncio.get_running_loop()
        client = UpstreamClient(
            "127.0.0.1", port, PlatformHeaderCodec(), loop.time
        )
        call = UpstreamCall("GET", "/", (("Host", "x"),), b"", "id", True)
        with pytest.raises(TimeoutError):
            async with asyncio.timeout(0.05):
                await client.send(call)
        async with asyncio.timeout(2):
            await ended.wait()
        server.close()
        return ended.is_set()

    assert asyncio.run(cancelled())


@dataclasses.dataclass(frozen=True, slots=True)
class Flood:
    """Bytes that an upstream sends until its peer closes.

    Attributes:
        first: Sent once; `ID` stands for the id of the attempt.
        repeated: Sent over and over.
        pause_s: Time between two sends.
    """

    first: str
    repeated: bytes
    pause_s: float = 0.0


class FloodingUpstream:
    """Sends without end, in threads, so that the loop runs only the client.

    Attributes:
        sent_bytes: Bytes sent on each connection.
        closed: Set for each connection whose peer has closed it.
    """

    def __init__(self, flood: Flood) -> None:
        self._flood = flood
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.port = self._listener.getsockname()[1]
        self.connections = 0
        self.sent_bytes = 0
        self.closed = threading.Semaphore(0)
        threading.Thread(target=self._accept, daemon=True).start()

    def close(self) -> None:
        # A blocked accept ends only when the socket is shut down.
        self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()

    def has_seen_ends(self, count: int) -> bool:
        """Waits until the peer has closed so many connections."""
        return all(
            self.closed.acquire(timeout=DEADLINE_S) for _ in range(count)
        )

    def _accept(self) -> None:
        with contextlib.suppress(OSError):
            while True:
                peer, _ = self._listener.accept()
                self.connections += 1
                threading.Thread(
                    target=self._send, args=(peer,), daemon=True
                ).start()

    def _send(self, peer: socket.socket) -> None:
        with peer:
            head = b""
            while b"\r\n\r\n" not in head:
                head += peer.recv(65_536)
            attempt = ""
            for line in head.decode().split("\r\n"):
                if line.startswith(names.ATTEMPT_ID):
                    attempt = line.split(": ")[1]
            sent = 0
            try:
                peer.sendall(self._flood.first.replace("ID", attempt).encode())
                while sent < MAX_SENT_BYTES:
                    peer.sendall(self._flood.repeated)
                    sent += len(self._flood.repeated)
                    self.sent_bytes += len(self._flood.repeated)
                    if self._flood.pause_s:
                        time.sleep(self._flood.pause_s)
            except OSError:
                self.closed.release()


_STATUS = "HTTP/1.1 200 OK\r\n"
_HEAD = f"{_STATUS}{names.ATTEMPT_ID}: ID\r\n{names.SEAL}: s\r\n"
_CHUNKED = f"{_HEAD}Transfer-Encoding: chunked\r\n\r\n"
_FILL = b"x" * 65_536

FLOODS = {
    "first line": Flood("", _FILL),
    "header line": Flood(f"{_HEAD}A: ", _FILL),
    "header lines": Flood(_HEAD, b"a:b\r\n" * 10_000),
    "empty lines": Flood("", b"\r\n" * 30_000),
    "interim": Flood("", b"HTTP/1.1 100 Continue\r\n\r\n" * 2_000),
    "large interim": Flood(
        "", b"HTTP/1.1 103 Hints\r\n" + b"a:b\r\n" * 13_000 + b"\r\n"
    ),
    "interim with long lines": Flood(
        "",
        b"HTTP/1.1 103 Hints\r\n" + b"a:" + b"b" * 65_000 + b"\r\n\r\n",
    ),
    "interim with most lines": Flood(
        "", b"HTTP/1.1 103 Hints\r\n" + b"a:b\r\n" * 990 + b"\r\n"
    ),
    "declared length": Flood(
        f"{_HEAD}Content-Length: 1000000000000\r\n\r\n", _FILL
    ),
    "large chunks": Flood(_CHUNKED, b"10000\r\n" + _FILL + b"\r\n"),
    "one chunk": Flood(f"{_CHUNKED}ffffffffff\r\n", _FILL),
    "1-byte chunks": Flood(_CHUNKED, b"1\r\nx\r\n" * 10_000),
    "chunk extension": Flood(f"{_CHUNKED}1;", _FILL),
    "trailers": Flood(f"{_CHUNKED}0\r\n", b"a:b\r\n" * 10_000),
    "no length": Flood(f"{_HEAD}\r\n", _FILL),
    "other answers": Flood("", answer("other") * 500),
    "large other answers": Flood("", answer("other", "x" * 1_800_000)),
}
floods = pytest.mark.parametrize("flood", FLOODS.values(), ids=FLOODS)


@dataclasses.dataclass(slots=True)
class ReadCounter:
    """Bytes that all connections have read from their sockets."""

    read_bytes: int = 0


@pytest.fixture
def counter(monkeypatch: pytest.MonkeyPatch) -> ReadCounter:
    counter = ReadCounter()
    receive = http_exchange.HttpConnection.data_received

    def count(connection: http_exchange.HttpConnection, data: bytes) -> None:
        counter.read_bytes += len(data)
        receive(connection, data)

    monkeypatch.setattr(http_exchange.HttpConnection, "data_received", count)
    return counter


def client_of(port: int) -> UpstreamClient:
    loop = asyncio.get_running_loop()
    return UpstreamClient("127.0.0.1", port, PlatformHeaderCodec(), loop.time)


async def send_to(
    port: int, deadline_s: float = DEADLINE_S, method: str = "GET"
) -> UpstreamResult | None:
    """Sends a request; returns None if it had to be cancelled."""
    return await send_with(client_of(port), deadline_s, method)


async def send_with(
    client: UpstreamClient, deadline_s: float, method: str = "GET"
) -> UpstreamResult | None:
    headers = (("Host", "x.example"), (names.ATTEMPT_ID, "id0"))
    call = UpstreamCall(method, "/a", headers, b"", "id0", True)
    try:
        async with asyncio.timeout(deadline_s):
            return await client.send(call)
    except TimeoutError:
        return None
    finally:
        await client.close()


@contextlib.contextmanager
def flooding(flood: Flood) -> Iterator[FloodingUpstream]:
    upstream = FloodingUpstream(flood)
    try:
        yield upstream
    finally:
        upstream.close()


@floods
def test_endless_bytes_end_at_a_bound(
    flood: Flood, counter: ReadCounter
) -> None:
    """A request must not read until its deadline what can be no answer."""
    with flooding(flood) as upstream:
        result = asyncio.run(send_to(upstream.port))
        assert isinstance(result, UpstreamUnknown)
        assert not result.is_connection_lost
        assert upstream.has_seen_ends(1)
    assert upstream.connections == 1
    assert counter.read_bytes <= MAX_READ_BYTES + READ_AHEAD_BYTES


@floods
def test_endless_bytes_need_little_memory(flood: Flood) -> None:
    """Twelve such requests must fit into the memory of a node."""
    with flooding(flood) as upstream:
        tracemalloc.start()
        try:
            asyncio.run(send_to(upstream.port, deadline_s=2))
            _, peak_bytes = tracemalloc.get_traced_memory()
        finally:
            tracemalloc.stop()
    assert peak_bytes <= MAX_HELD_BYTES


MANY_REQUESTS = 80
# What each one may hold beside those that read a large answer: what it has
# read ahead, as bytes and as a part of its body.
SMALL_HELD_BYTES = 2 * 256 * 1024


def test_many_endless_answers_share_a_bound() -> None:
    """Each answer had a limit, and 80 of them had more than the machine."""
    # Nearly a whole body, and then a trickle.
    flood = Flood(f"{_HEAD}\r\n{'x' * 1_800_000}", b"x", pause_s=0.2)

    async def send_all(port: int) -> None:
        client = client_of(port)
        await asyncio.gather(
            *[send_with(client, deadline_s=4) for _ in range(MANY_REQUESTS)]
        )

    with flooding(flood) as upstream:
        tracemalloc.start()
        try:
            asyncio.run(send_all(upstream.port))
            _, peak_bytes = tracemalloc.get_traced_memory()
        finally:
            tracemalloc.stop()
    assert peak_bytes <= (
        http_exchange.MAX_LARGE_ANSWERS * MAX_HELD_BYTES
        + MANY_REQUESTS * SMALL_HELD_BYTES
    )


def test_large_answers_beyond_the_limit_are_read_later(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A limit that never frees its places would block all large answers."""
    monkeypatch.setattr(upstream_module, "MAX_LARGE_ANSWERS", 2)
    body = "x" * 300_000

    async def respond(
        writer: asyncio.StreamWriter, attempt_id: str, _: int
    ) -> None:
        writer.write(answer(attempt_id, body))

    async def send_all() -> list[UpstreamResult]:
        server = await asyncio.start_server(
            FaultyUpstream(respond), "127.0.0.1", 0
        )
        client = client_of(server.sockets[0].getsockname()[1])
        calls = [
            UpstreamCall(
                "GET",
                "/",
                (("Host", "x"), (names.ATTEMPT_ID, f"id{number}")),
                b"",
                f"id{number}",
                True,
            )
            for number in range(20)
        ]
        async with asyncio.timeout(10):
            results = await asyncio.gather(*[client.send(c) for c in calls])
        await client.close()
        server.close()
        return results

    for result in asyncio.run(send_all()):
        assert isinstance(result, UpstreamAnswered)
        assert len(result.body) == len(body)


@contextlib.contextmanager
def objects_of_other_tests_kept_from_collection() -> Iterator[None]:
    """Keeps the objects that exist before out of garbage collections.

    The process that runs all tests has about 200,000 of them, and traversing
    them takes 0.1 to 0.25 s.
    """
    gc.freeze()
    try:
        yield
    finally:
        gc.unfreeze()


def longest_turn_s(port: int) -> float:
    """Returns the most processor time of the loop between two turns."""
    with objects_of_other_tests_kept_from_collection():
        return asyncio.run(_longest_turn_s(port))


async def _longest_turn_s(port: int) -> float:
    client = client_of(port)
    requests = [
        asyncio.create_task(send_with(client, deadline_s=2))
        for _ in range(CONCURRENT_REQUESTS)
    ]
    longest_s = 0.0
    before_s = time.thread_time()
    while not all(request.done() for request in requests):
        await asyncio.sleep(0)
        now_s = time.thread_time()
        longest_s = max(longest_s, now_s - before_s)
        before_s = now_s
    return longest_s


@floods
def test_parsing_endless_bytes_leaves_turns_to_other_tasks(
    flood: Flood,
) -> None:
    """Readiness checks and peers' probes must be answered meanwhile."""
    with flooding(flood) as upstream:
        assert longest_turn_s(upstream.port) <= MAX_TURN_S


@floods
def test_health_check_of_an_endless_answer_has_no_result(
    flood: Flood, counter: ReadCounter
) -> None:
    """The check would read without end, or its result would be made up."""

    async def health(upstream: FloodingUpstream) -> object:
        async with asyncio.timeout(DEADLINE_S):
            result = await client_of(upstream.port).health("/health")
        assert await asyncio.to_thread(upstream.has_seen_ends, 1)
        return result

    is_answer = flood.repeated.startswith(_STATUS.encode())
    with flooding(flood) as upstream:
        # A health check carries no id, so that any complete answer is its own.
        assert (asyncio.run(health(upstream)) is not None) == is_answer
    assert counter.read_bytes <= MAX_READ_BYTES + READ_AHEAD_BYTES


def test_endless_bytes_after_an_answer_close_the_connection(
    counter: ReadCounter,
) -> None:
    """The node would read bytes that belong to no request."""

    async def send(upstream: FloodingUpstream) -> UpstreamResult | None:
        result = await send_to(upstream.port)
        assert await asyncio.to_thread(upstream.has_seen_ends, 1)
        return result

    flood = Flood(f"{_HEAD}Content-Length: 5\r\n\r\nhello", _FILL)
    with flooding(flood) as upstream:
        result = asyncio.run(send(upstream))
    assert isinstance(result, UpstreamAnswered)
    assert result.body == b"hello"
    assert counter.read_bytes <= READ_AHEAD_BYTES


@pytest.mark.parametrize(
    "flood",
    [
        Flood("", b"HTT", 0.02),
        Flood(f"{_HEAD}A: ", b"abc", 0.02),
        Flood("", b"HTTP/1.1 100 Continue\r\n\r\n", 0.02),
        Flood(f"{_HEAD}\r\n", b"abc", 0.02),
        Flood(_CHUNKED, b"1\r\nx\r\n", 0.02),
    ],
    ids=["first line", "header line", "interim", "no length", "chunks"],
)
def test_trickle_ends_at_the_deadline(flood: Flood) -> None:
    """An upstream goes on with a request until its connection closes."""
    with flooding(flood) as upstream:
        assert asyncio.run(send_to(upstream.port, deadline_s=0.3)) is None
        assert upstream.has_seen_ends(1)


@pytest.mark.parametrize(
    ("name", "bound"),
    [
        ("header line", http_exchange.MAX_ANSWER_HEADER_BYTES),
        ("interim", MAX_READ_BYTES),
        ("other answers", MAX_READ_BYTES),
        ("declared length", http_exchange.MAX_ANSWER_BODY_BYTES),
        ("large chunks", http_exchange.MAX_ANSWER_BODY_BYTES),
        ("no length", http_exchange.MAX_ANSWER_BODY_BYTES),
    ],
)
def test_failure_names_the_bound_and_its_number(name: str, bound: int) -> None:
    """Logs would not tell which limit an upstream exceeded."""
    with flooding(FLOODS[name]) as upstream:
        result = asyncio.run(send_to(upstream.port))
    assert isinstance(result, UpstreamUnknown)
    assert "over" in result.detail
    assert str(bound) in result.detail


def test_failure_of_a_long_line_has_a_short_detail() -> None:
    """The detail goes into a log line."""
    line = b"not a header " * 4_000 + b"\r\n\r\n"
    with flooding(Flood(_STATUS, line)) as upstream:
        result = asyncio.run(send_to(upstream.port))
    assert isinstance(result, UpstreamUnknown)
    assert len(result.detail) <= 200


@pytest.mark.parametrize(
    "head",
    [
        f"{_STATUS}A:{' ' * 60_000}\0\r\n\r\n",
        f"{_CHUNKED}1;{' ' * 60_000}\nx\r\n",
        f"{_CHUNKED}0\r\nA:{' ' * 60_000}\0\r\n\r\n",
    ],
    ids=["header line", "chunk extension", "trailer"],
)
def test_long_run_of_blanks_does_not_block_the_loop(head: str) -> None:
    """The library's time for a line grows with the square of its blanks."""
    with flooding(Flood(head, _FILL)) as upstream:
        assert longest_turn_s(upstream.port) <= MAX_TURN_S


def test_keep_alive_that_is_no_number_is_ignored() -> None:
    """An exception would leave the caller without a reply."""

    async def state_timeout(
        writer: asyncio.StreamWriter, attempt: str, _: int
    ) -> None:
        head = "Keep-Alive: timeout=\u00b2\r\n"
        writer.write(answer(attempt, head=head).decode().encode("latin-1"))

    results, _ = run(state_timeout)
    assert isinstance(results[0], UpstreamAnswered)


def test_exception_in_an_exchange_closes_the_connection() -> None:
    """A connection that stays busy would buffer all further bytes."""

    class FailingCodec(PlatformHeaderCodec):
        def parse_answer_headers(
            self, status: int, headers: RawHeaders
        ) -> AnswerHeaders:
            raise RuntimeError("no headers")

    async def send(upstream: FloodingUpstream) -> bool:
        loop = asyncio.get_running_loop()
        client = UpstreamClient(
            "127.0.0.1", upstream.port, FailingCodec(), loop.time
        )
        with pytest.raises(RuntimeError, match="no headers"):
            await send_with(client, DEADLINE_S)
        return await asyncio.to_thread(upstream.has_seen_ends, 1)

    with flooding(FLOODS["other answers"]) as upstream:
        assert asyncio.run(send(upstream))


def test_answer_to_connect_has_an_unknown_outcome() -> None:
    """The library pauses after it, and the loop must not wait for that."""
    with flooding(Flood(f"{_STATUS}\r\n", _FILL)) as upstream:
        result = asyncio.run(send_to(upstream.port, method="CONNECT"))
    assert isinstance(result, UpstreamUnknown)
