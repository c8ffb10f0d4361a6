"""Connections for calls to peers and the calls in flight on them."""

import asyncio
import dataclasses
import itertools
import random
from typing import Any

from magnoliafork.wire import api, messages
from magnoliafork.wire.connector import Connector
from magnoliafork.wire.link import Link
from magnoliafork.wire.path_check import responds_on_new_connection
from magnoliafork.wire.silence import SilenceDetector, Verdict

CONNECT_TIMEOUT_S = 0.5
# Time that a call waits for the Hello of a peer; it may be free to ask another.
HELLO_WAIT_S = 0.5
# Time after which an attempt without a Hello is given up. A busy process
# accepts a connection before it answers. Lost packets are sent again after
# about 0.2, 0.6 and 1.4 s; later, a new connection is faster.
HELLO_TIMEOUT_S = 1.5
# Mean pause after a failed connection attempt to a peer. Calls to it fail at
# once meanwhile; otherwise each one would cost its caller a connection timeout.
RECONNECT_PAUSE_S = 0.2
MAX_OUTSTANDING_PER_LINK = 4096
# Time after which a connection without calls is closed. In a fleet of
# thousands, each node calls every other one now and then, and would run out of
# descriptors.
IDLE_CLOSE_S = 30.0

Reply = messages.StreamReply | messages.QuotaReply | api.LinkFailure
StreamFuture = asyncio.Future[Reply]


@dataclasses.dataclass(slots=True)
class _CallLink:
    """An outgoing connection with its outstanding calls."""

    link: Link
    incarnation: int
    ready: asyncio.Future[bool]
    streams: dict[int, StreamFuture] = dataclasses.field(default_factory=dict)
    silence: SilenceDetector = dataclasses.field(
        default_factory=SilenceDetector
    )
    silence_timer: asyncio.TimerHandle | None = None
    path_check: asyncio.Task[None] | None = None
    used_s: float = 0.0
    idle_timer: asyncio.TimerHandle | None = None
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
        self._sequences = itertools.count(1)
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
        if isinstance(reply, (messages.CallFenceReply, messages.QuotaReply)):
            return api.LinkFailure(True, entry.incarnation, "wrong reply kind")
        return reply

    async def request_quota(
        self, instance_id: str, name: str, wanted: int, timeout_s: float
    ) -> messages.QuotaReply | api.LinkFailure:
        """Asks a peer for tokens of a tenant's quota."""
        deadline_s = asyncio.get_running_loop().time() + timeout_s
        entry = self._links.get(instance_id)
        if entry is None:
            entry = await self._connect_for_call(instance_id, timeout_s)
        if entry is None:
            return api.LinkFailure(False, 0, "cannot connect")
        request = messages.QuotaRequest(next(self._stream_ids), name, wanted)
        left_s = deadline_s - asyncio.get_running_loop().time()
        reply = await self._exchange(entry, request.stream_id, request, left_s)
        if not isinstance(reply, (messages.QuotaReply, api.LinkFailure)):
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
        fence = messages.CallFence(
            stream_id=next(self._stream_ids),
            request_id=request_id,
            incarnation=incarnation,
            remaining_ms=max(0, int(timeout_s * 1000)),
            moved_to=moved_to,
        )
        return await self._send_fence(instance_id, fence, timeout_s)

    async def fence_repeatable(
        self,
        instance_id: str,
        request_id: str,
        incarnation: int,
        timeout_s: float,
    ) -> messages.StreamReply | api.LinkFailure:
        """Asks whether an upstream got a request; see `RepeatableFences`."""
        fence = messages.CallFence(
            stream_id=next(self._stream_ids),
            request_id=request_id,
            incarnation=incarnation,
            remaining_ms=max(0, int(timeout_s * 1000)),
            moved_to="",
            is_repeatable=True,
        )
        return await self._send_fence(instance_id, fence, timeout_s)

    async def _send_fence(
        self, instance_id: str, fence: messages.CallFence, timeout_s: float
    ) -> messages.StreamReply | api.LinkFailure:
        deadline_s = asyncio.get_running_loop().time() + timeout_s
        entry = self._links.get(instance_id)
        if entry is None:
            self._blocked_until_s.pop(instance_id, None)
            entry = await self._connect(instance_id, timeout_s)
        if entry is None:
            return api.LinkFailure(False, 0, "cannot connect")
        remaining_s = deadline_s - asyncio.get_running_loop().time()
        reply = await self._exchange(entry, fence.stream_id, fence, remaining_s)
        if isinstance(reply, messages.QuotaReply):
            return api.LinkFailure(True, entry.incarnation, "wrong reply kind")
        return reply

    async def probe(self, instance_id: str, timeout_s: float) -> bool:
        """Returns whether a peer responds; opens a connection if needed."""
        entry = self._links.get(instance_id)
        if entry is None:
            return await self._connect(instance_id, timeout_s) is not None
        sent_s = asyncio.get_running_loop().time()
        entry.link.send(self._heartbeat(next(self._sequences)))
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
        if registered is None:
            return
        if isinstance(message, messages.Heartbeat):
            registered[1].silence.record_reply(
                message.sequence, asyncio.get_running_loop().time()
            )
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
                messages.QuotaReply,
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
        if entry.idle_timer is not None:
            entry.idle_timer.cancel()
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
        message: messages.CallRequest
        | messages.CallFence
        | messages.QuotaRequest,
        timeout_s: float,
    ) -> Reply:
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
        entry.used_s = loop.time()
        self._observe_silence(entry)
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
        entry.used_s = loop.time()
        self._schedule_idle_check(entry, IDLE_CLOSE_S)
        return entry

    def _schedule_idle_check(self, entry: _CallLink, after_s: float) -> None:
        entry.idle_timer = asyncio.get_running_loop().call_later(
            after_s, self._close_if_idle, entry
        )

    def _close_if_idle(self, entry: _CallLink) -> None:
        idle_s = asyncio.get_running_loop().time() - entry.used_s
        if entry.streams or idle_s < IDLE_CLOSE_S:
            left_s = IDLE_CLOSE_S if entry.streams else IDLE_CLOSE_S - idle_s
            self._schedule_idle_check(entry, left_s)
            return
        entry.link.close_after_flush("idle")

    # Silence.

    def _probe(self, entry: _CallLink) -> None:
        sequence = next(self._sequences)
        now_s = asyncio.get_running_loop().time()
        if entry.link.send(self._heartbeat(sequence)):
            entry.silence.record_probe(sequence, now_s)

    def _observe_silence(self, entry: _CallLink) -> None:
        """Sends a heartbeat after a silence and schedules the next check."""
        loop = asyncio.get_running_loop()
        if entry.silence.wants_probe(loop.time(), entry.link.last_received_s):
            self._probe(entry)
            if entry.silence_timer is not None:
                entry.silence_timer.cancel()
                entry.silence_timer = None
        if entry.silence_timer is None:
            entry.silence_timer = loop.call_later(
                entry.silence.next_check_s(loop.time()),
                self._check_silence,
                entry,
            )

    def _check_silence(self, entry: _CallLink) -> None:
        entry.silence_timer = None
        if not entry.link.is_open:
            return
        last_received_s = entry.link.last_received_s
        if not entry.streams and not entry.silence.is_silent(last_received_s):
            return
        verdict = entry.silence.check(
            asyncio.get_running_loop().time(),
            last_received_s,
            entry.link.unsent_bytes,
        )
        if verdict is Verdict.UNREACHABLE:
            self._close_silent(entry)
            return
        if verdict is Verdict.CHECK_PATH and (
            entry.path_check is None or entry.path_check.done()
        ):
            entry.path_check = asyncio.get_running_loop().create_task(
                self._check_path(entry)
            )
        self._observe_silence(entry)

    async def _check_path(self, entry: _CallLink) -> None:
        """Closes a connection if the peer responds only on a new one."""
        hello = entry.link.peer_hello
        assert hello is not None
        loop = asyncio.get_running_loop()
        probe_sent_s = entry.silence.probe_sent_s
        begun_s = loop.time()
        is_reachable = await responds_on_new_connection(
            self._connector, hello.instance_id, CONNECT_TIMEOUT_S
        )
        # The reply of a busy peer may be on its way on both connections.
        await asyncio.sleep(loop.time() - begun_s)
        is_silent = entry.silence.is_silent(entry.link.last_received_s)
        if (
            is_reachable
            and is_silent
            and entry.silence.probe_sent_s == probe_sent_s
        ):
            self._close_silent(entry)
            self._probe_all()

    def _probe_all(self) -> None:
        """Sends a heartbeat on all connections that wait for none.

        What has lost track of one connection may have lost others.
        """
        for entry in list(self._links.values()):
            if not entry.silence.is_silent(entry.link.last_received_s):
                self._probe(entry)
                self._observe_silence(entry)

    def _close_silent(self, entry: _CallLink) -> None:
        self.silent_links += 1
        # The check of the path may be the caller.
        entry.path_check = None
        entry.link.close("silent")

    def _heartbeat(self, sequence: int) -> messages.Heartbeat:
        heartbeat = self._connector.identity.heartbeat_reply(sequence)
        return dataclasses.replace(heartbeat, is_reply=False)
