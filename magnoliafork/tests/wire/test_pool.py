"""Calls between two nodes over loopback connections that fail or stall."""

import asyncio
import dataclasses
import random
from collections.abc import Callable, Coroutine
from typing import Any

from magnoliafork.model.version import NO_VERSION
from magnoliafork.tests import virtual_time
from magnoliafork.wire import api, messages
from magnoliafork.wire.connector import Connector
from magnoliafork.wire.control_links import ControlLinkManager
from magnoliafork.wire.identity import NodeIdentity
from magnoliafork.wire.link import LinkTraffic
from magnoliafork.wire.pool import HELLO_WAIT_S, IDLE_CLOSE_S, PeerPool
from magnoliafork.wire.server import PeerServer

REQUEST = messages.CallRequest(
    0, "r1", "s", "GET", "/", (), (), b"", True, 1, "", 900, False, False
)

CALL_INTERVAL_S = 0.05


class _Handler:
    """Answers calls after a delay chosen by the request's path."""

    def __init__(self) -> None:
        self.called: list[str] = []
        self.cancelled: list[str] = []

    async def on_call(
        self, sender_id: str, request: messages.CallRequest
    ) -> messages.CallReply:
        self.called.append(request.request_id)
        try:
            await asyncio.sleep(float(request.path))
        except asyncio.CancelledError:
            self.cancelled.append(request.request_id)
            raise
        body = request.request_id.encode()
        return messages.CallAnswer(0, 200, (), (), body, 1, 2)

    async def on_fence(
        self, sender_id: str, fence: messages.CallFence
    ) -> messages.StreamReply:
        return messages.CallFenceReply(0, messages.FenceState.NEVER_RAN)


class _Addresses(dict[str, tuple[str, int]]):
    """Fixed addresses of the peers."""

    def address(self, instance_id: str) -> tuple[str, int] | None:
        return self.get(instance_id)


class _Proxy:
    """Forwards bytes to a server; can drop those of its first connection."""

    def __init__(self, server: PeerServer, port: int) -> None:
        self.server = server
        self.port = port
        self.is_silent = False
        self.delay_s = 0.0
        self.busy_until_s = 0.0
        self.connections = 0

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.connections += 1
        is_first = self.connections == 1
        up_reader, up_writer = await asyncio.open_connection(
            "127.0.0.1", self.port
        )
        try:
            await asyncio.gather(
                self._copy(reader, up_writer, is_first),
                self._copy(up_reader, writer, is_first),
            )
        finally:
            up_writer.close()
            writer.close()

    async def _copy(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        is_first: bool,
    ) -> None:
        while data := await reader.read(65536):
            now_s = asyncio.get_running_loop().time()
            await asyncio.sleep(max(self.delay_s, self.busy_until_s - now_s))
            if not (self.is_silent and is_first):
                writer.write(data)
        await asyncio.sleep(self.delay_s)
        writer.close()


def _identity(name: str) -> NodeIdentity:
    return NodeIdentity(name, 7, lambda: 7, lambda: NO_VERSION, lambda: (0, 1))


async def _with_pool(
    test: Callable[[PeerPool, _Handler, _Proxy], Coroutine[Any, Any, None]],
) -> None:
    handler = _Handler()
    addresses = _Addresses()
    traffic = LinkTraffic()
    control = ControlLinkManager(
        Connector(_identity("b"), addresses, traffic, None), random.Random(1)
    )
    server = PeerServer(_identity("b"), handler, control, traffic, None)
    proxy = _Proxy(server, await server.start("127.0.0.1", 0))
    proxy_server = await asyncio.start_server(proxy.serve, "127.0.0.1", 0)
    addresses["b"] = ("127.0.0.1", proxy_server.sockets[0].getsockname()[1])
    pool = PeerPool(
        Connector(_identity("a"), addresses, traffic, None), random.Random(1)
    )
    try:
        await test(pool, handler, proxy)
    finally:
        await pool.close()
        await server.stop()
        proxy_server.close()


@dataclasses.dataclass(frozen=True, slots=True)
class _SecondPeer:
    """Another peer of the pool, behind a proxy of its own."""

    name: str
    proxy: _Proxy
    server: PeerServer
    proxy_server: asyncio.Server

    async def close(self) -> None:
        await self.server.stop()
        self.proxy_server.close()


async def _second_peer(pool: PeerPool) -> _SecondPeer:
    """Starts another peer and adds its address to those of the pool."""
    addresses = pool._connector.addresses
    assert isinstance(addresses, _Addresses)
    traffic = LinkTraffic()
    control = ControlLinkManager(
        Connector(_identity("c"), addresses, traffic, None), random.Random(2)
    )
    server = PeerServer(_identity("c"), _Handler(), control, traffic, None)
    proxy = _Proxy(server, await server.start("127.0.0.1", 0))
    proxy_server = await asyncio.start_server(proxy.serve, "127.0.0.1", 0)
    addresses["c"] = ("127.0.0.1", proxy_server.sockets[0].getsockname()[1])
    return _SecondPeer("c", proxy, server, proxy_server)


def _call(request_id: str, delay_s: float) -> messages.CallRequest:
    changes = {"request_id": request_id, "path": str(delay_s)}
    return messages.CallRequest(
        **{
            name: changes.get(name, getattr(REQUEST, name))
            for name in messages.CallRequest.__slots__
        }
    )


def test_answers_out_of_order_are_matched_to_their_calls() -> None:
    """Guards against answers matched by order of arrival."""

    async def check(pool: PeerPool, handler: _Handler, proxy: _Proxy) -> None:
        delays_s = {f"r{n}": (10 - n) / 100 for n in range(10)}
        replies = await asyncio.gather(
            *[pool.call("b", _call(r, d), 2.0) for r, d in delays_s.items()]
        )
        for request_id, reply in zip(delays_s, replies, strict=True):
            assert isinstance(reply, messages.CallAnswer)
            assert reply.body == request_id.encode()

    virtual_time.run(_with_pool(check))


def test_silent_connection_is_closed_before_the_deadline() -> None:
    """Guards against waiting on a dead connection that was never closed."""

    async def check(pool: PeerPool, handler: _Handler, proxy: _Proxy) -> None:
        await pool.call("b", _call("r0", 0.0), 2.0)
        proxy.is_silent = True
        start_s = asyncio.get_running_loop().time()
        reply = await pool.call("b", _call("r1", 0.0), 30.0)
        took_s = asyncio.get_running_loop().time() - start_s
        assert isinstance(reply, api.LinkFailure)
        assert reply.was_sent
        assert took_s < 2.0
        assert pool.silent_links == 1
        fence = await pool.fence("b", "r1", 7, 2.0)
        assert isinstance(fence, messages.CallFenceReply)
        # The silent one, the check of the path, and the one of the fence.
        assert proxy.connections == 3

    virtual_time.run(_with_pool(check))


def test_silence_is_found_within_half_a_second_of_the_call() -> None:
    """Calls waited for 1.2 s; many callers wait no longer than that."""

    async def check(pool: PeerPool, handler: _Handler, proxy: _Proxy) -> None:
        await pool.call("b", _call("r0", 0.0), 2.0)
        # The connection is idle, as most are when they go silent.
        await asyncio.sleep(3.0)
        proxy.is_silent = True
        start_s = asyncio.get_running_loop().time()
        reply = await pool.call("b", _call("r1", 0.0), 30.0)
        assert isinstance(reply, api.LinkFailure)
        assert asyncio.get_running_loop().time() - start_s < 0.5
        fence = await pool.fence_repeatable("b", "r1", 7, 0.15)
        assert isinstance(fence, messages.CallFenceReply)

    virtual_time.run(_with_pool(check))


def test_other_connections_are_checked_once_one_was_silent() -> None:
    """Each idle connection failed the next call on it, one after the other."""

    async def check(pool: PeerPool, handler: _Handler, proxy: _Proxy) -> None:
        second = await _second_peer(pool)
        for peer in ("b", second.name):
            await pool.call(peer, _call("r0", 0.0), 2.0)
        await asyncio.sleep(3.0)
        proxy.is_silent = True
        second.proxy.is_silent = True
        await pool.call("b", _call("r1", 0.0), 30.0)
        await asyncio.sleep(0.5)
        assert pool.silent_links == 2
        reply = await pool.call(second.name, _call("r2", 0.0), 2.0)
        assert isinstance(reply, messages.CallAnswer)
        await second.close()

    virtual_time.run(_with_pool(check))


def test_idle_connection_is_closed_and_opened_again() -> None:
    """In a large fleet, idle connections used up the descriptors."""

    async def check(pool: PeerPool, handler: _Handler, proxy: _Proxy) -> None:
        await pool.call("b", _call("r0", 0.0), 2.0)
        await asyncio.sleep(IDLE_CLOSE_S - 1.0)
        await pool.call("b", _call("r1", 0.0), 2.0)
        await asyncio.sleep(IDLE_CLOSE_S - 1.0)
        assert proxy.connections == 1
        await asyncio.sleep(2.0)
        assert pool._by_link == {}
        reply = await pool.call("b", _call("r2", 0.0), 2.0)
        assert isinstance(reply, messages.CallAnswer)
        assert proxy.connections == 2

    virtual_time.run(_with_pool(check))


def test_connection_with_a_long_call_is_not_idle() -> None:
    """Guards against cutting a call that takes longer than the limit."""

    async def check(pool: PeerPool, handler: _Handler, proxy: _Proxy) -> None:
        duration_s = 2.5 * IDLE_CLOSE_S
        reply = await pool.call("b", _call("r0", duration_s), 2 * duration_s)
        assert isinstance(reply, messages.CallAnswer)
        assert proxy.connections == 1

    virtual_time.run(_with_pool(check))


def test_call_over_a_congested_path_is_not_cut() -> None:
    """Late heartbeat replies ended calls whose upstreams were at work."""

    async def check(pool: PeerPool, handler: _Handler, proxy: _Proxy) -> None:
        await pool.call("b", _call("r0", 0.0), 2.0)
        proxy.delay_s = 0.6
        reply = await pool.call("b", _call("r1", 2.0), 30.0)
        assert isinstance(reply, messages.CallAnswer)
        assert handler.cancelled == []
        assert pool.silent_links == 0

    virtual_time.run(_with_pool(check))


def test_call_whose_handler_fails_gets_a_reply() -> None:
    """The caller waited until its deadline for a call that had ended."""

    async def check(pool: PeerPool, handler: _Handler, proxy: _Proxy) -> None:
        start_s = asyncio.get_running_loop().time()
        call = dataclasses.replace(REQUEST, path="not a number")
        reply = await pool.call("b", call, 30.0)
        assert isinstance(reply, messages.CallUnknown)
        assert asyncio.get_running_loop().time() - start_s < 1.0

    virtual_time.run(_with_pool(check))


def test_slow_answer_on_a_live_connection_is_waited_for() -> None:
    """Guards against taking a slow upstream for a silent connection."""

    async def check(pool: PeerPool, handler: _Handler, proxy: _Proxy) -> None:
        reply = await pool.call("b", _call("r1", 5.0), 10.0)
        assert isinstance(reply, messages.CallAnswer)
        assert pool.silent_links == 0

    virtual_time.run(_with_pool(check))


def test_timed_out_call_is_cancelled_at_the_receiver() -> None:
    """Guards against a timed-out call that goes on at the receiver."""

    async def check(pool: PeerPool, handler: _Handler, proxy: _Proxy) -> None:
        reply = await pool.call("b", _call("r1", 5.0), 0.2)
        assert isinstance(reply, api.LinkFailure)
        await asyncio.sleep(0.1)
        assert handler.cancelled == ["r1"]

    virtual_time.run(_with_pool(check))


def test_call_to_an_unknown_peer_counts_as_not_sent() -> None:
    """Guards against an unknown outcome when no byte has left this node."""

    async def check(pool: PeerPool, handler: _Handler, proxy: _Proxy) -> None:
        reply = await pool.call("nobody", _call("r1", 0.0), 1.0)
        assert reply == api.LinkFailure(False, 0, "cannot connect")

    virtual_time.run(_with_pool(check))


async def _failed_calls(pool: PeerPool, span_s: float) -> list[int]:
    """Sends a call every 50 ms and returns the numbers of those that fail."""
    calls = []
    for number in range(round(span_s / CALL_INTERVAL_S)):
        call = pool.call("b", _call(f"r{number}", 0.0), 2.0)
        calls.append(asyncio.create_task(call))
        await asyncio.sleep(CALL_INTERVAL_S)
    replies = await asyncio.gather(*calls)
    return [n for n, r in enumerate(replies) if isinstance(r, api.LinkFailure)]


def test_peer_is_reachable_as_soon_as_its_late_hello_arrives() -> None:
    """Guards against a pause and a new connection after a late Hello."""

    async def check(pool: PeerPool, handler: _Handler, proxy: _Proxy) -> None:
        proxy.busy_until_s = asyncio.get_running_loop().time() + 0.625
        failed = await _failed_calls(pool, 1.0)
        assert [n for n in failed if n * CALL_INTERVAL_S > 0.625] == []
        assert proxy.connections == 1

    virtual_time.run(_with_pool(check))


def test_call_that_arrives_after_the_peer_has_stopped_did_not_run() -> None:
    """Guards against an unknown outcome of a call that was never accepted."""

    async def check(pool: PeerPool, handler: _Handler, proxy: _Proxy) -> None:
        await pool.call("b", _call("r0", 0.0), 2.0)
        proxy.delay_s = 0.05
        stop = asyncio.create_task(proxy.server.stop())
        await asyncio.sleep(0.02)
        reply = await pool.call("b", _call("r1", 0.0), 2.0)
        await stop
        assert isinstance(reply, api.LinkFailure)
        assert not reply.was_sent
        assert handler.called == ["r0"]

    virtual_time.run(_with_pool(check))


def test_call_waits_for_a_hello_no_shorter_than_earlier_calls() -> None:
    """Guards against calls that fail with the wait of an earlier one."""

    async def check(pool: PeerPool, handler: _Handler, proxy: _Proxy) -> None:
        proxy.busy_until_s = asyncio.get_running_loop().time() + 0.625
        failed = await _failed_calls(pool, HELLO_WAIT_S - CALL_INTERVAL_S)
        waits_s = [0.625 - n * CALL_INTERVAL_S for n in failed]
        assert [w for w in waits_s if w < HELLO_WAIT_S] == []

    virtual_time.run(_with_pool(check))


def test_call_accepted_before_the_peer_stops_gets_its_answer() -> None:
    """Guards against a stop that cuts calls that are almost answered."""

    async def check(pool: PeerPool, handler: _Handler, proxy: _Proxy) -> None:
        await pool.call("b", _call("r0", 0.0), 2.0)
        accepted = asyncio.create_task(pool.call("b", _call("r1", 0.1), 2.0))
        await asyncio.sleep(0.05)
        await proxy.server.stop()
        reply = await accepted
        assert isinstance(reply, messages.CallAnswer)
        assert reply.body == b"r1"

    virtual_time.run(_with_pool(check))


def test_peer_whose_hello_is_always_late_is_reachable() -> None:
    """Guards against a congested path over which no connection opens."""

    async def check(pool: PeerPool, handler: _Handler, proxy: _Proxy) -> None:
        proxy.delay_s = 0.3
        failed = await _failed_calls(pool, 3.0)
        assert [n for n in failed if n * CALL_INTERVAL_S > 0.65] == []

    virtual_time.run(_with_pool(check))


def test_call_to_a_peer_without_a_hello_fails_in_time() -> None:
    """Guards against calls that wait for a peer which does not respond."""

    async def check(pool: PeerPool, handler: _Handler, proxy: _Proxy) -> None:
        loop = asyncio.get_running_loop()
        proxy.busy_until_s = loop.time() + 100.0
        for number in range(100):
            start_s = loop.time()
            reply = await pool.call("b", _call(f"r{number}", 0.0), 2.0)
            assert isinstance(reply, api.LinkFailure)
            assert loop.time() - start_s < HELLO_WAIT_S + 0.01
            await asyncio.sleep(CALL_INTERVAL_S)

    virtual_time.run(_with_pool(check))


def test_fence_waits_for_a_late_hello() -> None:
    """Guards against an unknown outcome while the peer is about to respond."""

    async def check(pool: PeerPool, handler: _Handler, proxy: _Proxy) -> None:
        proxy.busy_until_s = asyncio.get_running_loop().time() + 0.9
        fence = await pool.fence("b", "r1", 7, 2.0)
        assert isinstance(fence, messages.CallFenceReply)

    virtual_time.run(_with_pool(check))


def test_call_that_a_stopped_peer_had_accepted_may_have_run() -> None:
    """Guards against a false refusal of a call that runs at its end."""

    async def check(pool: PeerPool, handler: _Handler, proxy: _Proxy) -> None:
        accepted = asyncio.create_task(pool.call("b", _call("r1", 1.0), 2.0))
        await asyncio.sleep(0.05)
        await proxy.server.stop()
        reply = await accepted
        assert isinstance(reply, api.LinkFailure)
        assert reply.was_sent

    virtual_time.run(_with_pool(check))
