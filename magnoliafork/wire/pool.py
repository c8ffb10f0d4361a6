"""Connections for calls to peers and the calls in flight on them."""

import asyncio
import dataclasses
import itertools
import random
from typing import Any

from magnoliafork.wire import api, messages
from magnoliafork.wire.connector import Connector
from magnoliafork.wire.link import Link

CONNECT_TIMEOUT_S = 0.5
# Time that a call waits for the Hello of a peer; it may be free to ask another.
HELLO_WAIT_S = 0.5
# Time after which an attempt without a Hello is given up. A busy process
# accepts a connection before it answers. Lost packets are sent again after
# about 0.2, 0.6 and 1.4 s; later, a new connection is faster.
HELLO_TIMEOUT_S = 1.5
SILENCE_PROBE_S = 0.3
# Time without a reply to a heartbeat after which the path is checked by a new
# connection. A reply to the heartbeat may only be late: on a congested link or
# from a busy process, the reply on a new connection would be later still.
CALL_SILENCE_LIMIT_S = 0.7
# Time without a reply after which a peer counts as unreachable although no new
# connection has shown that the old one is dead.
UNREACHABLE_LIMIT_S = 2.0
# Mean pause after a failed connection attempt to a peer. Calls to it fail at
# once meanwhile; otherwise each one would cost its caller a connection timeout.
RECONNECT_PAUSE_S = 0.2
MAX_OUTSTANDING_PER_LINK = 4096

StreamFuture = asyncio.Future[messages.StreamReply | api.LinkFailure]


@dataclasses.dataclass(slots=True)
class _CallLink:
    """An outgoing connection with its outstanding calls."""

    link: Link
    incarnation: int
    ready: asyncio.Future[bool]
    streams: dict[int, StreamFuture] = dataclasses.field(default_factory=dict)
    probe_sent_s: float | None = None
    silence_timer: asyncio.TimerHandle | None = None
    path_check: asyncio.Task[None] | None = None
    unsent_bytes: int = 0
    is_going_away: bool = False


@dataclasses.dataclass(slots=True)
class _ConnectionAttempt:
    """A connection that is being opened.

    Attributes:
        task: Ends with the connection, or None if it cannot be opened.
        accepted: Gets the time at which the peer's machine has accepted it.
    """

    task: asyncio.Task[_CallLink | None]
    accepted: asyncio.Future[float]


class _PathProbe:
    """Owns a connection that only shows whether a peer still responds."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self.is_reachable: asyncio.Future[bool] = loop.create_future()

    def on_hello(self, link: Link, hello: messages.Hello) -> None:
        """Notes that the peer responds."""
        del link, hello
        if not self.is_reachable.done():
            self.is_reachable.set_result(True)

    def on_message(self, link: Link, message: messages.Message) -> None:
        """Ignores messages; a peer sends only its Hello."""

    def on_closed(self, link: Link) -> None:
        """Notes that the connection has failed."""
        del link
        if not self.is_reachable.done():
            self.is_reachable.set_result(False)


class PeerPool:
    """Implements `PeerCalls` over one connection for each peer.

    Replies are matched by stream id, never by order; a reply to an unknown
    stream is late or duplicated and is dropped and counted.
    """

    def __init__(self, connector: Connector, rng: random.Random) -> None:
        """Creates a pool without connections."""
        self._connector = connector
        self._rng = rng
        self._links: dict[str, _CallLink] = {}
        self._by_link: dict[Link, tuple[str, _CallLink]] = {}
        self._connecting: dict[str, _ConnectionAttempt] = {}
        self._blocked_until_s: dict[str, float] = {}
        self._stream_ids = itertools.count(1)
        self._is_closed = False
        self.late_replies = 0
        self.silent_links = 0

    async def call(
        self,
        instance_id: str,
        request: messages.CallRequest,
        timeout_s: float,
    ) -> messages.CallReply | api.LinkFailure:
        """Sends one request and waits for its reply."""
        loop = asyncio.get_running_loop()
        deadline_s = loop.time() + timeout_s
        entry = self._links.get(instance_id)
        if entry is None:
            entry = await self._connect_for_call(instance_id, timeout_s)
        if entry is None:
            return api.LinkFailure(False, 0, "cannot connect")
        remaining_s = deadline_s - loop.time()
        stream_id = next(self._stream_ids)
        request = dataclasses.replace(request, stream_id=stream_id)
        reply = await self._exchange(entry, stream_id, request, remaining_s)
        if isinstance(reply, messages.CallFenceReply):
            return api.LinkFailure(True, entry.incarnation, "wrong reply kind")
        return reply

    async def fence(
        self,
        instance_id: str,
        request_id: str,
        incarnation: int,
        timeout_s: float,
        moved_to: str = "",
    ) -> messages.StreamReply | api.LinkFailure:
        """Asks for the outcome of a request; see `PeerCalls.fence`."""
        entry = self._links.get(instance_id)
        if entry is None:
            self._blocked_until_s.pop(instance_id, None)
            entry = await self._connect(instance_id, timeout_s)
        if entry is None:
            return api.LinkFailure(False, 0, "cannot connect")
        stream_id = next(self._stream_ids)
        fence = messages.CallFence(
            stream_id=stream_id,
            request_id=request_id,
            incarnation=incarnation,
            remaining_ms=max(0, int(timeout_s * 1000)),
            moved_to=moved_to,
        )
        return await self._exchange(entry, stream_id, fence, timeout_s)

    async def probe(self, instance_id: str, timeout_s: float) -> bool:
        """Returns whether a peer responds; opens a connection if needed."""
        entry = self._links.get(instance_id)
        if entry is None:
            return await self._connect(instance_id, timeout_s) is not None
        sent_s = asyncio.get_running_loop().time()
        entry.link.send(self._heartbeat())
        await asyncio.sleep(timeout_s)
        return entry.link.last_received_s >= sent_s

    async def close(self) -> None:
        """Closes all connections; outstanding calls fail with `was_sent`."""
        self._is_closed = True
        for attempt in list(self._connecting.values()):
            attempt.task.cancel()
        for link in list(self._by_link):
            link.close("pool closed")

    def on_hello(self, link: Link, hello: messages.Hello) -> None:
        """Marks a connection as ready once the peer's Hello is in."""
        registered = self._by_link.get(link)
        if registered is None:
            link.close("unknown connection")
            return
        instance_id, entry = registered
        if hello.instance_id != instance_id:
            link.close(f"unexpected instance id {hello.instance_id}")
            return
        entry.incarnation = hello.incarnation
        if not entry.ready.done():
            entry.ready.set_result(True)

    def on_message(self, link: Link, message: messages.Message) -> None:
        """Delivers a reply to the call that waits for it."""
        registered = self._by_link.get(link)
        if registered is None or isinstance(message, messages.Heartbeat):
            return
        if isinstance(message, messages.GoAway):
            self._on_go_away(*registered, message.last_stream_id)
            return
        if not isinstance(
            message,
            (
                messages.CallAnswer,
                messages.CallRefused,
                messages.CallUnknown,
                messages.CallFenceReply,
            ),
        ):
            link.close(f"unexpected {type(message).__name__}")
            return
        future = registered[1].streams.get(message.stream_id)
        if future is None or future.done():
            self.late_replies += 1
            return
        future.set_result(message)

    def _on_go_away(
        self, instance_id: str, entry: _CallLink, last_stream_id: int
    ) -> None:
        """Fails the calls that a stopping peer has not accepted."""
        entry.is_going_away = True
        if self._links.get(instance_id) is entry:
            del self._links[instance_id]
        failure = api.LinkFailure(False, entry.incarnation, "peer stopped")
        for stream_id, future in entry.streams.items():
            if stream_id > last_stream_id and not future.done():
                future.set_result(failure)
        self._close_if_unused(entry)

    def _close_if_unused(self, entry: _CallLink) -> None:
        is_used = any(not future.done() for future in entry.streams.values())
        if entry.is_going_away and not is_used:
            entry.link.close("peer stopped")

    def on_closed(self, link: Link) -> None:
        """Fails all calls on a connection that has ended."""
        registered = self._by_link.pop(link, None)
        if registered is None:
            return
        instance_id, entry = registered
        if self._links.get(instance_id) is entry:
            del self._links[instance_id]
        if not entry.ready.done():
            entry.ready.set_result(False)
        if entry.silence_timer is not None:
            entry.silence_timer.cancel()
        if entry.path_check is not None:
            entry.path_check.cancel()
        failure = api.LinkFailure(True, entry.incarnation, link.close_reason)
        for future in entry.streams.values():
            if not future.done():
                future.set_result(failure)

    async def _exchange(
        self,
        entry: _CallLink,
        stream_id: int,
        message: messages.CallRequest | messages.CallFence,
        timeout_s: float,
    ) -> messages.StreamReply | api.LinkFailure:
        loop = asyncio.get_running_loop()
        if timeout_s <= 0:
            return api.LinkFailure(False, entry.incarnation, "deadline passed")
        if entry.is_going_away:
            return api.LinkFailure(False, entry.incarnation, "peer stopped")
        if len(entry.streams) >= MAX_OUTSTANDING_PER_LINK:
            return api.LinkFailure(
                False, entry.incarnation, "too many outstanding calls"
            )
        if not entry.link.send(message):
            return api.LinkFailure(
                False, entry.incarnation, "link closed or send buffer full"
            )
        future: StreamFuture = loop.create_future()
        entry.streams[stream_id] = future
        self._schedule_silence_check(entry)
        timer = loop.call_later(
            timeout_s, self._expire, entry, stream_id, future
        )
        try:
            return await future
        except asyncio.CancelledError:
            entry.link.send(messages.CallCancel(stream_id))
            raise
        finally:
            timer.cancel()
            entry.streams.pop(stream_id, None)
            self._close_if_unused(entry)

    def _expire(
        self, entry: _CallLink, stream_id: int, future: StreamFuture
    ) -> None:
        if not future.done():
            entry.link.send(messages.CallCancel(stream_id))
            future.set_result(
                api.LinkFailure(True, entry.incarnation, "no reply in time")
            )

    async def _connect(
        self, instance_id: str, timeout_s: float
    ) -> _CallLink | None:
        """Waits until an attempt to connect has ended."""
        attempt = self._join_attempt(instance_id)
        if attempt is None:
            return None
        return await self._result(attempt, timeout_s)

    async def _connect_for_call(
        self, instance_id: str, timeout_s: float
    ) -> _CallLink | None:
        """Waits for a connection while the peer may be about to respond.

        The attempt goes on if its Hello is late. Calls fail at once meanwhile.
        """
        attempt = self._join_attempt(instance_id)
        if attempt is None:
            return None
        loop = asyncio.get_running_loop()
        deadline_s = loop.time() + timeout_s
        either: set[asyncio.Future[Any]] = {attempt.task, attempt.accepted}
        await asyncio.wait(
            either,
            timeout=max(0.0, timeout_s),
            return_when=asyncio.FIRST_COMPLETED,
        )
        now_s = loop.time()
        wait_s = min(deadline_s - now_s, HELLO_WAIT_S)
        if attempt.accepted.done() and (
            now_s - attempt.accepted.result() >= HELLO_WAIT_S
        ):
            wait_s = 0.0
        return await self._result(attempt, wait_s)

    def _join_attempt(self, instance_id: str) -> _ConnectionAttempt | None:
        """Returns the attempt to connect to a peer; begins one if needed."""
        loop = asyncio.get_running_loop()
        if self._is_closed:
            return None
        if loop.time() < self._blocked_until_s.get(instance_id, 0.0):
            return None
        attempt = self._connecting.get(instance_id)
        if attempt is None:
            accepted: asyncio.Future[float] = loop.create_future()
            task = loop.create_task(self._open(instance_id, accepted))
            attempt = _ConnectionAttempt(task, accepted)
            self._connecting[instance_id] = attempt
            task.add_done_callback(
                lambda _: self._connecting.pop(instance_id, None)
            )
        return attempt

    @staticmethod
    async def _result(
        attempt: _ConnectionAttempt, timeout_s: float
    ) -> _CallLink | None:
        task = attempt.task
        done, _ = await asyncio.wait({task}, timeout=max(0.0, timeout_s))
        if not done or task.cancelled():
            return None
        return task.result()

    async def _open(
        self, instance_id: str, accepted: asyncio.Future[float]
    ) -> _CallLink | None:
        loop = asyncio.get_running_loop()
        link = self._connector.create_link(self)
        entry = _CallLink(link, 0, loop.create_future())
        self._by_link[link] = (instance_id, entry)
        is_connected = await self._connector.connect(
            link, instance_id, messages.LinkPurpose.CALLS, CONNECT_TIMEOUT_S
        )
        if is_connected:
            accepted.set_result(loop.time())
            timer = loop.call_later(HELLO_TIMEOUT_S, link.close, "no Hello")
            is_connected = await entry.ready
            timer.cancel()
        if not is_connected or not link.is_open:
            self._by_link.pop(link, None)
            pause_s = RECONNECT_PAUSE_S * (0.5 + self._rng.random())
            self._blocked_until_s[instance_id] = loop.time() + pause_s
            return None
        self._blocked_until_s.pop(instance_id, None)
        self._links[instance_id] = entry
        return entry

    def _schedule_silence_check(self, entry: _CallLink) -> None:
        if entry.silence_timer is None:
            loop = asyncio.get_running_loop()
            entry.silence_timer = loop.call_later(
                SILENCE_PROBE_S, self._check_silence, entry
            )

    def _check_silence(self, entry: _CallLink) -> None:
        entry.silence_timer = None
        if not entry.streams or not entry.link.is_open:
            entry.probe_sent_s = None
            return
        now_s = asyncio.get_running_loop().time()
        if (
            entry.probe_sent_s is not None
            and entry.link.last_received_s >= entry.probe_sent_s
        ):
            entry.probe_sent_s = None
        unsent_bytes = entry.link.unsent_bytes
        if entry.probe_sent_s is not None and unsent_bytes < entry.unsent_bytes:
            # The heartbeat waits behind a large request that is being sent.
            entry.probe_sent_s = now_s
        entry.unsent_bytes = unsent_bytes
        silent_s = now_s - entry.link.last_received_s
        if entry.probe_sent_s is None and silent_s >= SILENCE_PROBE_S:
            entry.probe_sent_s = now_s
            entry.link.send(self._heartbeat())
        elif entry.probe_sent_s is not None:
            unanswered_s = now_s - entry.probe_sent_s
            if unanswered_s >= UNREACHABLE_LIMIT_S:
                self._close_silent(entry)
                return
            if unanswered_s >= CALL_SILENCE_LIMIT_S and (
                entry.path_check is None or entry.path_check.done()
            ):
                entry.path_check = asyncio.get_running_loop().create_task(
                    self._check_path(entry)
                )
        self._schedule_silence_check(entry)

    async def _check_path(self, entry: _CallLink) -> None:
        """Closes a connection if the peer responds only on a new one."""
        hello = entry.link.peer_hello
        assert hello is not None
        probe_sent_s = entry.probe_sent_s
        probe = _PathProbe(asyncio.get_running_loop())
        link = self._connector.create_link(probe)
        try:
            is_connected = await self._connector.connect(
                link,
                hello.instance_id,
                messages.LinkPurpose.PROBE,
                CONNECT_TIMEOUT_S,
            )
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                is_reachable = is_connected and await probe.is_reachable
        except TimeoutError:
            is_reachable = False
        finally:
            link.close("path checked")
        is_silent = entry.probe_sent_s == probe_sent_s and (
            probe_sent_s is not None
            and entry.link.last_received_s < probe_sent_s
        )
        if is_reachable and is_silent:
            self._close_silent(entry)

    def _close_silent(self, entry: _CallLink) -> None:
        self.silent_links += 1
        # The check of the path may be the caller.
        entry.path_check = None
        entry.link.close("silent")

    def _heartbeat(self) -> messages.Heartbeat:
        heartbeat = self._connector.identity.heartbeat_reply(0)
        return dataclasses.replace(heartbeat, is_reply=False)
