"""Answers of a faulty store, over loopback sockets."""

import asyncio
import json
import tracemalloc
from collections.abc import Awaitable, Callable

import pytest

from magnoliafork.mesh.published_store import HistoryGone, StoreUnavailable
from magnoliafork.mesh.view import ViewDelta
from magnoliafork.platform import store
from magnoliafork.platform.store import PlatformStore
from magnoliafork.tests import virtual_time

TIMEOUT_S = 20.0
HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
FLOODS = {
    "header line": HEAD + b"A: ",
    "no length": HEAD + b"\r\n",
    "declared length": HEAD + b"Content-Length: 100000000000\r\n\r\n",
    "chunk": HEAD + b"Transfer-Encoding: chunked\r\n\r\nfffffffff\r\n",
}

Answer = Callable[[asyncio.StreamWriter], Awaitable[None]]


async def _with_store(
    answer: Answer, test: Callable[[PlatformStore], Awaitable[None]]
) -> None:
    async def serve(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while await reader.readuntil(b"\r\n\r\n"):
                await answer(writer)
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    client = PlatformStore(f"127.0.0.1:{port}")
    try:
        async with asyncio.timeout(TIMEOUT_S):
            await test(client)
    finally:
        await client.close()
        server.close()


def _endless(first: bytes) -> Answer:
    async def answer(writer: asyncio.StreamWriter) -> None:
        writer.write(first)
        while True:
            writer.write(b" " * 65_536)
            await writer.drain()

    return answer


@pytest.mark.parametrize("first", FLOODS.values(), ids=FLOODS)
def test_endless_answer_of_the_store_needs_little_memory(first: bytes) -> None:
    """A node kept all bytes that arrived until its read timed out."""

    async def test(client: PlatformStore) -> None:
        assert isinstance(await client.read_all(), StoreUnavailable)

    tracemalloc.start()
    try:
        asyncio.run(_with_store(_endless(first), test))
        _, peak_bytes = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    # The bytes, and their copy while the buffer grows.
    assert peak_bytes <= 3 * store.MAX_ANSWER_BYTES


def test_watch_over_the_limit_reads_the_whole_state_instead() -> None:
    """The same watch would be repeated for ever."""

    async def test(client: PlatformStore) -> None:
        assert isinstance(await client.watch(5, 1.0), HistoryGone)

    asyncio.run(_with_store(_endless(FLOODS["no length"]), test))


def test_pages_without_end_are_no_state() -> None:
    """A store that always has another page would fill the memory."""
    number = 0

    async def page(writer: asyncio.StreamWriter) -> None:
        nonlocal number
        number += 1
        item = {"key": f"k{number:09}", "revision": number, "value": "AAAA"}
        body = json.dumps({"items": [item], "as_of": 1, "has_more": True})
        length = f"Content-Length: {len(body)}\r\n\r\n"
        writer.write(HEAD + (length + body).encode())

    async def test(client: PlatformStore) -> None:
        assert isinstance(await client.read_all(), StoreUnavailable)

    asyncio.run(_with_store(page, test))
    assert number == store.MAX_PAGES


def test_page_is_read_whole() -> None:
    """Guards against a limit that cuts what the store may send."""
    body = json.dumps({"items": [], "as_of": 7, "has_more": False}).encode()

    async def page(writer: asyncio.StreamWriter) -> None:
        padding = b" " * (2 * 1024 * 1024)
        length = f"Content-Length: {len(body) + len(padding)}\r\n\r\n"
        writer.write(HEAD + length.encode() + body + padding)

    async def test(client: PlatformStore) -> None:
        state = await client.read_all()
        assert isinstance(state, ViewDelta)
        assert state.revision == 7

    asyncio.run(_with_store(page, test))


def _in_pieces(body: bytes, pieces: int, gap_s: float) -> Answer:
    async def answer(writer: asyncio.StreamWriter) -> None:
        length = f"Content-Length: {len(body)}\r\n\r\n".encode()
        writer.write(HEAD + length)
        size = -(-len(body) // pieces)
        for start in range(0, len(body), size):
            await asyncio.sleep(gap_s)
            writer.write(body[start : start + size])
        await writer.drain()

    return answer


STATE = json.dumps({"items": [], "has_more": False, "as_of": 7}).encode()


def test_answer_whose_bytes_keep_arriving_is_read() -> None:
    """A large answer over a slow link was dropped and asked for again."""

    async def test(client: PlatformStore) -> None:
        assert await client.read_all() == ViewDelta(0, 7, (), 0)

    gap_s = store.READ_TIMEOUT_S * 0.8
    virtual_time.run(_with_store(_in_pieces(STATE, 5, gap_s), test))


@pytest.mark.parametrize(
    "gap_s", [store.READ_TIMEOUT_S * 1.1, store.MAX_READ_S / 9]
)
def test_answer_that_stalls_or_never_ends_is_dropped(gap_s: float) -> None:
    """A reader would wait while others could take over."""

    async def test(client: PlatformStore) -> None:
        loop = asyncio.get_running_loop()
        begun_s = loop.time()
        assert isinstance(await client.read_all(), StoreUnavailable)
        assert loop.time() - begun_s <= store.MAX_READ_S + 0.1

    virtual_time.run(_with_store(_in_pieces(STATE, 12, gap_s), test))
