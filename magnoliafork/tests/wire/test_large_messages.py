"""Large messages between two nodes over slow connections."""

import asyncio
import random
import socket

from magnoliafork.model.version import NO_VERSION
from magnoliafork.wire import messages
from magnoliafork.wire.connector import Connector
from magnoliafork.wire.control_links import ControlLinkManager
from magnoliafork.wire.identity import NodeIdentity
from magnoliafork.wire.link import LinkTraffic
from magnoliafork.wire.pool import PeerPool
from magnoliafork.wire.server import PeerServer

BODY_BYTES = 1_500_000
BUFFER_BYTES = 8192
SLOW_BYTES_PER_S = 600_000
TIMEOUT_S = 20.0
REQUEST = messages.CallRequest(
    0, "r1", "s", "GET", "/", (), (), b"", True, 1, "", 9000, False, False
)


class LargeAnswers:
    """Answers each call with a large body at once."""

    def __init__(self) -> None:
        self.has_answered = asyncio.Event()

    async def on_call(
        self, sender_id: str, request: messages.CallRequest
    ) -> messages.CallReply:
        self.has_answered.set()
        body = b"x" * (BODY_BYTES if not request.body else 1)
        return messages.CallAnswer(0, 200, (), (), body, 1, 2)

    async def on_fence(
        self, sender_id: str, fence: messages.CallFence
    ) -> messages.StreamReply:
        return messages.CallFenceReply(0, messages.FenceState.NEVER_RAN)


class OnePeer:
    """Address book with one peer."""

    def __init__(self, port: int) -> None:
        self.port = port

    def address(self, instance_id: str) -> tuple[str, int] | None:
        return "127.0.0.1", self.port


def identity(name: str) -> NodeIdentity:
    return NodeIdentity(name, 7, lambda: 7, lambda: NO_VERSION, lambda: (0, 1))


def connector(name: str, port: int) -> Connector:
    return Connector(identity(name), OnePeer(port), LinkTraffic(), None)


async def start_server(handler: LargeAnswers) -> tuple[PeerServer, int]:
    control = ControlLinkManager(connector("b", 0), random.Random(1))
    server = PeerServer(identity("b"), handler, control, LinkTraffic(), None)
    return server, await server.start("127.0.0.1", 0)


def test_written_reply_has_left_when_the_server_has_stopped() -> None:
    """The end of the process dropped replies of finished calls."""

    async def check() -> None:
        handler = LargeAnswers()
        server, port = await start_server(handler)
        listener = server._server
        assert listener is not None
        listener.sockets[0].setsockopt(
            socket.SOL_SOCKET, socket.SO_SNDBUF, BUFFER_BYTES
        )
        pool = PeerPool(connector("a", port), random.Random(1))
        call = asyncio.create_task(pool.call("b", REQUEST, TIMEOUT_S))
        await handler.has_answered.wait()
        await asyncio.sleep(0)
        links = list(server._inbound)
        await server.stop(TIMEOUT_S)
        assert [link.unsent_bytes for link in links] == [0]
        assert isinstance(await call, messages.CallAnswer)
        await pool.close()

    asyncio.run(asyncio.wait_for(check(), TIMEOUT_S))


def test_large_request_on_a_slow_path_is_not_cut() -> None:
    """A heartbeat behind the request's own bytes counted as unanswered."""

    async def check() -> None:
        server, port = await start_server(LargeAnswers())
        proxy_server = await asyncio.start_server(
            lambda r, w: forward_slowly(r, w, port), "127.0.0.1", 0, limit=4096
        )
        proxy_listener = proxy_server.sockets[0]
        proxy_listener.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, BUFFER_BYTES
        )
        proxy_port = proxy_listener.getsockname()[1]
        pool = PeerPool(connector("a", proxy_port), random.Random(1))
        small = messages.CallRequest(
            0, "r0", "s", "POST", "/", (), (), b"x", True, 1, "", 900, False,
            False,
        )  # fmt: skip
        await pool.call("b", small, TIMEOUT_S)
        (entry,) = pool._links.values()
        transport = entry.link._transport
        assert transport is not None
        transport.get_extra_info("socket").setsockopt(
            socket.SOL_SOCKET, socket.SO_SNDBUF, BUFFER_BYTES
        )
        large = messages.CallRequest(
            0, "r1", "s", "POST", "/", (), (), b"x" * BODY_BYTES, True, 1, "",
            9000, False, False,
        )  # fmt: skip
        reply = await pool.call("b", large, TIMEOUT_S)
        assert isinstance(reply, messages.CallAnswer)
        assert pool.silent_links == 0
        await pool.close()
        proxy_server.close()
        await server.stop()

    asyncio.run(asyncio.wait_for(check(), TIMEOUT_S))


async def forward_slowly(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter, port: int
) -> None:
    """Forwards requests at a limited rate, and replies at once."""
    up_reader, up_writer = await asyncio.open_connection("127.0.0.1", port)

    async def copy_replies() -> None:
        while data := await up_reader.read(65_536):
            writer.write(data)

    replies = asyncio.create_task(copy_replies())
    while data := await reader.read(4096):
        up_writer.write(data)
        await asyncio.sleep(len(data) / SLOW_BYTES_PER_S)
    replies.cancel()
    up_writer.close()
    writer.close()
