"""Health checks and ends of the upstream over a loopback connection."""

import asyncio

import pytest

from magnoliafork.mesh import upstream as upstream_module
from magnoliafork.mesh.header_codec import HealthHeaders, UpstreamNotice
from magnoliafork.mesh.upstream import (
    UpstreamAnswered,
    UpstreamCall,
    UpstreamClient,
    UpstreamResult,
    UpstreamUnknown,
)
from magnoliafork.platform import names
from magnoliafork.platform.header_codec import PlatformHeaderCodec

HOST = "127.0.0.1"
TIMEOUT_S = 10.0
ID = f"{names.INSTANCE_ID}: i-1"
COLD = f"{names.COLD_MS}: 1500"
NOT_EXECUTED = f"{names.NOT_EXECUTED}: 1"
LEAVING = f"{names.SERVER_LEAVING}: 1"


async def _health(
    status: int, headers: tuple[str, ...]
) -> HealthHeaders | None:
    async def respond(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await reader.readuntil(b"\r\n\r\n")
        lines = (f"HTTP/1.1 {status} X", *headers, "Content-Length: 0", "", "")
        writer.write("\r\n".join(lines).encode())
        writer.close()

    server = await asyncio.start_server(respond, HOST, 0)
    port = server.sockets[0].getsockname()[1]
    loop = asyncio.get_running_loop()
    client = UpstreamClient(HOST, port, PlatformHeaderCodec(), loop.time)
    try:
        async with asyncio.timeout(TIMEOUT_S):
            return await client.health("/health")
    finally:
        await client.close()
        server.close()


@pytest.mark.parametrize("status", [202, 301, 400, 404, 421, 429, 500, 504])
def test_answer_with_another_status_does_not_tell_the_cold_state(
    status: int,
) -> None:
    """Guards against full load on a cold upstream that reports an error."""
    assert asyncio.run(_health(status, (ID,))) is None
    assert asyncio.run(_health(status, (ID, COLD))) is None


def test_refused_health_check_does_not_tell_the_cold_state() -> None:
    """Guards against full load on a cold upstream without a free slot."""
    result = asyncio.run(_health(503, (ID, NOT_EXECUTED)))
    assert result == HealthHeaders("i-1", None)


def test_unhealthy_upstream_tells_that_it_leaves() -> None:
    """A health check of a leaving upstream fails and states no cold time."""
    result = asyncio.run(_health(503, (ID, LEAVING)))
    assert result is not None
    assert result.notice == UpstreamNotice(is_leaving=True)


@pytest.mark.parametrize(
    ("status", "headers", "cold_left_s"),
    [(200, (ID,), 0.0), (200, (ID, COLD), 1.5), (503, (ID, COLD), 1.5)],
    ids=["healthy", "healthy and cold", "unhealthy and cold"],
)
def test_health_check_tells_the_cold_state(
    status: int, headers: tuple[str, ...], cold_left_s: float
) -> None:
    """Guards against an upstream that counts as cold without an end."""
    result = asyncio.run(_health(status, headers))
    assert result == HealthHeaders("i-1", cold_left_s)


def _call(number: int, *, is_repeatable: bool) -> UpstreamCall:
    attempt_id = f"id{number}"
    headers = (("Host", HOST), (names.ATTEMPT_ID, attempt_id))
    return UpstreamCall("GET", "/", headers, b"", attempt_id, is_repeatable)


async def _last_result(
    answers: int, *, is_repeatable: bool, crashes: bool
) -> UpstreamResult:
    """Sends requests on one connection; the last one gets no answer.

    The upstream ends with it, or closes the connection only.
    """

    async def respond(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        for number in range(answers):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(
                f"HTTP/1.1 200 OK\r\n{names.SEAL}: s\r\nContent-Length: 0\r\n"
                f"{names.ATTEMPT_ID}: id{number}\r\n\r\n".encode()
            )
        # A connection of the check for a crash carries no request.
        await reader.read(1)
        if crashes:
            server.close()
        writer.transport.abort()

    server = await asyncio.start_server(respond, HOST, 0)
    port = server.sockets[0].getsockname()[1]
    loop = asyncio.get_running_loop()
    client = UpstreamClient(HOST, port, PlatformHeaderCodec(), loop.time)
    try:
        async with asyncio.timeout(TIMEOUT_S):
            for number in range(answers):
                call = _call(number, is_repeatable=is_repeatable)
                answered = await client.send(call)
                assert isinstance(answered, UpstreamAnswered)
            call = _call(answers, is_repeatable=is_repeatable)
            return await client.send(call)
    finally:
        await client.close()
        server.close()
        # The upstream's side of the connections ends too.
        await asyncio.sleep(0.01)


@pytest.mark.parametrize("is_repeatable", [False, True])
@pytest.mark.parametrize("answers", [0, 1])
def test_end_of_the_upstream_under_a_request_is_a_crash(
    answers: int, is_repeatable: bool
) -> None:
    """A request that had run was told as not run, and ran elsewhere freely."""
    result = asyncio.run(
        _last_result(answers, is_repeatable=is_repeatable, crashes=True)
    )
    assert isinstance(result, UpstreamUnknown)
    assert result.has_crashed


@pytest.mark.parametrize("is_repeatable", [False, True])
def test_lost_answer_is_no_crash(is_repeatable: bool) -> None:
    """Each lost answer would make its request a suspect."""
    result = asyncio.run(
        _last_result(0, is_repeatable=is_repeatable, crashes=False)
    )
    assert isinstance(result, UpstreamUnknown)
    assert result.is_connection_lost
    assert not result.has_crashed


def test_connections_that_were_idle_as_long_as_a_dropped_one_are_not_reused(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Each of the connections that an upstream forgot cost a request."""
    monkeypatch.setattr(upstream_module, "MIN_IDLE_LIMIT_S", 0.0)
    first_connections = 4
    answer = (
        f"HTTP/1.1 200 OK\r\n{names.SEAL}: s\r\nContent-Length: 0\r\n"
        f"{names.ATTEMPT_ID}: id1\r\n\r\n"
    ).encode()

    async def test() -> list[UpstreamResult]:
        opened = 0
        has_forgotten = False

        async def respond(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            nonlocal opened
            opened += 1
            is_first = opened <= first_connections
            try:
                while await reader.readuntil(b"\r\n\r\n"):
                    if is_first and has_forgotten:
                        break
                    writer.write(answer)
            except asyncio.IncompleteReadError:
                pass
            writer.transport.abort()

        server = await asyncio.start_server(respond, HOST, 0)
        port = server.sockets[0].getsockname()[1]
        loop = asyncio.get_running_loop()
        client = UpstreamClient(HOST, port, PlatformHeaderCodec(), loop.time)
        call = _call(1, is_repeatable=True)
        try:
            async with asyncio.timeout(TIMEOUT_S):
                sends = [client.send(call) for _ in range(first_connections)]
                await asyncio.gather(*sends)
                await asyncio.sleep(0.02)
                has_forgotten = True
                dropped = await client.send(call)
                sends = [client.send(call) for _ in range(first_connections)]
                return [dropped, *await asyncio.gather(*sends)]
        finally:
            await client.close()
            server.close()
            await asyncio.sleep(0.01)

    dropped, *later = asyncio.run(test())
    assert isinstance(dropped, UpstreamUnknown)
    assert dropped.is_stale
    assert all(isinstance(result, UpstreamAnswered) for result in later)
