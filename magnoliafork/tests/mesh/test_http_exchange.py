"""Answers of a faulty upstream are never passed on as valid ones."""

import asyncio
import contextlib
import socket
import struct
from collections.abc import Awaitable, Callable

import pytest

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
    results, upstream = run(answer_normally, count=3)
    assert all(isinstance(r, UpstreamAnswered) for r in results)
    assert upstream.connections == 1
    assert upstream.requests[0].startswith("GET /a?b=%20c HTTP/1.1\r\n")


def test_body_is_sent_with_its_content_length() -> None:
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
    async def forged(
        writer: asyncio.StreamWriter, attempt: str, _: int
    ) -> None:
        whole = answer(attempt, head=head).decode()
        if not head:
            whole = whole.replace(f"{names.SEAL}: s\r\n", "")
        writer.write(whole.encode())

    results, _ = run(forged)
    assert isinstance(results[0], UpstreamUnknown)


def test_truncated_answer_is_not_complete() -> None:
    async def truncate(
        writer: asyncio.StreamWriter, attempt: str, _: int
    ) -> None:
        writer.write(answer(attempt, "0123456789")[:-4])
        writer.close()

    results, _ = run(truncate)
    assert isinstance(results[0], UpstreamUnknown)


def test_answer_without_length_ends_when_its_connection_closes() -> None:
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
    async def garbage(
        writer: asyncio.StreamWriter, attempt: str, _: int
    ) -> None:
        writer.write(b"\x00\x01 this is not http\r\n\r\n")

    results, _ = run(garbage)
    assert isinstance(results[0], UpstreamUnknown)


def test_dropped_idle_connection_is_replaced_for_idempotent_requests() -> None:
    async def drop(
        writer: asyncio.StreamWriter, attempt: str, count: int
    ) -> None:
        if count == 2:
            writer.transport.abort()
            return
        writer.write(answer(attempt))

    results, upstream = run(drop, count=2)
    assert all(isinstance(r, UpstreamAnswered) for r in results)
    assert upstream.connections == 2


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


def test_error_without_a_not_executed_header_may_have_run() -> None:
    async def fail(writer: asyncio.StreamWriter, attempt: str, _: int) -> None:
        writer.write(
            f"HTTP/1.1 503 No\r\n{names.ATTEMPT_ID}: {attempt}\r\n"
            f"{names.SEAL}: s\r\nContent-Length: 0\r\n\r\n".encode()
        )

    results, _ = run(fail)
    assert isinstance(results[0], UpstreamAnswered)
    assert results[0].status == 503


def test_request_on_a_refused_connection_has_not_run() -> None:
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


def test_keep_alive_that_is_no_number_is_ignored() -> None:
    """An exception would leave the caller without a reply."""

    async def state_timeout(
        writer: asyncio.StreamWriter, attempt: str, _: int
    ) -> None:
        head = "Keep-Alive: timeout=\u00b2\r\n"
        writer.write(answer(attempt, head=head).decode().encode("latin-1"))

    results, _ = run(state_timeout)
    assert isinstance(results[0], UpstreamAnswered)
