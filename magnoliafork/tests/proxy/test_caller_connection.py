"""A connection of a caller knows whether it has an unanswered request."""

import asyncio
import dataclasses
from collections.abc import Awaitable, Callable

from aiohttp import web

from magnoliafork.proxy.caller_connection import CallerConnection

HOST = "127.0.0.1"
TIMEOUT_S = 10.0
REQUEST = b"GET / HTTP/1.1\r\nHost: shop.example\r\n\r\n"


class RecordingConnection(CallerConnection):
    """Notes whether it is idle right after it has read bytes."""

    idle_after_read: list[bool]

    def data_received(self, data: bytes) -> None:
        super().data_received(data)
        self.idle_after_read.append(self.is_idle)


@dataclasses.dataclass
class Setup:
    """A server whose handler waits, and one connection to it."""

    connection: RecordingConnection
    may_answer: asyncio.Semaphore
    has_begun: asyncio.Event
    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter

    async def receive(self) -> bytes:
        """Returns the head of the next answer, which has no body."""
        return await self.reader.readuntil(b"\r\n\r\n")


async def _with_connection(test: Callable[[Setup], Awaitable[None]]) -> None:
    loop = asyncio.get_running_loop()
    may_answer, has_begun = asyncio.Semaphore(0), asyncio.Event()
    opened: list[RecordingConnection] = []

    async def handle(request: web.BaseRequest) -> web.Response:
        del request
        has_begun.set()
        await may_answer.acquire()
        return web.Response()

    server = web.Server(handle)

    def new_connection() -> RecordingConnection:
        connection = RecordingConnection(server, loop=loop)
        connection.idle_after_read = []
        opened.append(connection)
        return connection

    listener = await loop.create_server(new_connection, HOST, 0)
    port = listener.sockets[0].getsockname()[1]
    reader, writer = await asyncio.open_connection(HOST, port)
    while not opened:
        await asyncio.sleep(0)
    try:
        await test(Setup(opened[0], may_answer, has_begun, reader, writer))
    finally:
        writer.close()
        listener.close()
        await server.shutdown(0.1)


def run(test: Callable[[Setup], Awaitable[None]]) -> None:
    async def main() -> None:
        async with asyncio.timeout(TIMEOUT_S):
            await _with_connection(test)

    asyncio.run(main())


def test_connection_without_a_request_is_idle() -> None:
    """Guards against a library that no longer tells when it waits."""

    async def test(setup: Setup) -> None:
        assert setup.connection.is_idle
        for _ in range(2):
            setup.may_answer.release()
            setup.writer.write(REQUEST)
            await setup.receive()
            await asyncio.sleep(0.01)
            assert setup.connection.is_idle

    run(test)


def test_connection_that_has_just_read_a_request_is_not_idle() -> None:
    """Guards against a close that drops a request before its handler runs."""

    async def test(setup: Setup) -> None:
        for _ in range(2):
            setup.may_answer.release()
            setup.writer.write(REQUEST)
            await setup.receive()
        assert setup.connection.idle_after_read == [False, False]

    run(test)


def test_connection_whose_request_is_unanswered_is_not_idle() -> None:
    """Guards against a close that cuts a request at which a handler works."""

    async def test(setup: Setup) -> None:
        setup.writer.write(REQUEST)
        await setup.has_begun.wait()
        await asyncio.sleep(0.01)
        assert not setup.connection.is_idle

    run(test)


def test_connection_with_a_pipelined_request_is_not_idle() -> None:
    """Guards against a close that drops a request behind an answered one."""

    async def test(setup: Setup) -> None:
        setup.writer.write(REQUEST + REQUEST)
        await setup.has_begun.wait()
        setup.has_begun.clear()
        setup.may_answer.release()
        await setup.receive()
        await setup.has_begun.wait()
        await asyncio.sleep(0.01)
        assert not setup.connection.is_idle

    run(test)
