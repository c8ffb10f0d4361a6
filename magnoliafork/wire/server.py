"""Accepts connections of peers and serves their calls."""

import asyncio
import dataclasses
import logging
import ssl
from collections.abc import Callable, Coroutine
from typing import Any

from magnoliafork.model.request import UnknownReason
from magnoliafork.wire import api, messages
from magnoliafork.wire.control_links import ControlLinkManager
from magnoliafork.wire.identity import NodeIdentity
from magnoliafork.wire.link import Link, LinkTraffic

logger = logging.getLogger("magnoliafork")

ServeStream = Callable[[], Coroutine[Any, Any, messages.StreamReply]]

MAX_INBOUND_LINKS = 8192
HELLO_TIMEOUT_S = 2.0
# Part of the time between the close of callers' connections and the kill.
STOP_TIMEOUT_S = 0.15
STOP_POLL_S = 0.01


@dataclasses.dataclass(slots=True)
class _InboundLink:
    """One accepted connection with the calls that run on it."""

    tasks: dict[int, asyncio.Task[None]] = dataclasses.field(
        default_factory=dict
    )
    last_stream_id: int = 0
    hello_timer: asyncio.TimerHandle | None = None


class PeerServer:
    """Manages the accepted connections.

    When a sender opens a newer connection for calls, its older ones are
    closed before the new one is read. A copy of a request that is still in a
    buffer of an old connection can therefore never run after the sender has
    fenced the request on the new one.
    """

    def __init__(
        self,
        identity: NodeIdentity,
        calls: api.CallHandler,
        control: ControlLinkManager,
        traffic: LinkTraffic,
        ssl_context: ssl.SSLContext | None,
        quotas: api.QuotaHandler | None = None,
    ) -> None:
        """Creates a server that does not listen yet.

        Without `quotas`, peers that ask for tokens of quotas are disconnected.
        """
        self._identity = identity
        self._calls = calls
        self._control = control
        self._traffic = traffic
        self._ssl_context = ssl_context
        self._quotas = quotas
        self._inbound: dict[Link, _InboundLink] = {}
        self._call_links: dict[str, Link] = {}
        self._server: asyncio.Server | None = None
        self._is_stopping = False

    async def start(self, host: str, port: int) -> int:
        """Listens and returns the port in use; port 0 picks a free one."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            self._accept, host, port, ssl=self._ssl_context
        )
        port_in_use: int = self._server.sockets[0].getsockname()[1]
        return port_in_use

    async def stop(self, timeout_s: float = STOP_TIMEOUT_S) -> None:
        """Stops listening and closes all accepted connections.

        Senders are told which calls were accepted, and close their connections.
        A call that is on its way would otherwise have an unknown outcome.

        Args:
            timeout_s: How long to wait until senders have closed their
                connections and written replies have left.
        """
        if self._server is not None:
            self._server.close()
        self._is_stopping = True
        links = list(self._inbound)
        call_links = set(self._call_links.values())
        for link in links:
            if link in call_links:
                link.send(messages.GoAway(self._inbound[link].last_stream_id))
            else:
                link.close_after_flush("server stopped")
        loop = asyncio.get_running_loop()
        end_s = loop.time() + timeout_s
        while loop.time() < end_s and any(
            link.is_open or link.unsent_bytes for link in links
        ):
            await asyncio.sleep(STOP_POLL_S)
        for link in links:
            link.close_after_flush("server stopped")

    def on_hello(self, link: Link, hello: messages.Hello) -> None:
        """Answers a peer's Hello and hands control connections over."""
        entry = self._inbound[link]
        if entry.hello_timer is not None:
            entry.hello_timer.cancel()
            entry.hello_timer = None
        if hello.purpose == messages.LinkPurpose.CONTROL:
            link.send(self._identity.hello(messages.LinkPurpose.CONTROL))
            self._control.adopt(link, hello)
            return
        if hello.purpose == messages.LinkPurpose.PROBE:
            link.send(self._identity.hello(messages.LinkPurpose.PROBE))
            return
        if not self._supersede(link, hello):
            link.close("older than another connection of the sender")
            return
        link.send(self._identity.hello(messages.LinkPurpose.CALLS))

    def on_message(self, link: Link, message: messages.Message) -> None:
        """Serves one message of a peer."""
        hello = link.peer_hello
        assert hello is not None
        if hello.purpose == messages.LinkPurpose.CONTROL:
            self._control.on_message(link, message)
            return
        match message:
            case messages.CallRequest():
                self._run(
                    link,
                    message.stream_id,
                    lambda: self._calls.on_call(hello.instance_id, message),
                )
            case messages.CallFence():
                self._run(
                    link,
                    message.stream_id,
                    lambda: self._calls.on_fence(hello.instance_id, message),
                )
            case messages.QuotaRequest() if self._quotas is not None:
                link.send(self._quotas.on_quota_request(message))
            case messages.CallCancel():
                self._cancel(link, message.stream_id)
            case messages.Heartbeat():
                if not message.is_reply:
                    link.send(self._identity.heartbeat_reply(message.sequence))
            case _:
                link.close(f"unexpected {type(message).__name__}")

    def on_closed(self, link: Link) -> None:
        """Cancels the calls of a connection that has ended."""
        entry = self._inbound.pop(link, None)
        if entry is None:
            return
        if entry.hello_timer is not None:
            entry.hello_timer.cancel()
        hello = link.peer_hello
        if hello is None:
            return
        if hello.purpose == messages.LinkPurpose.CONTROL:
            self._control.on_closed(link)
            return
        if self._call_links.get(hello.instance_id) is link:
            del self._call_links[hello.instance_id]
        for task in entry.tasks.values():
            task.cancel()

    def _accept(self) -> Link:
        loop = asyncio.get_running_loop()
        link = Link(self, self._traffic, loop)
        entry = _InboundLink()
        self._inbound[link] = entry
        if len(self._inbound) > MAX_INBOUND_LINKS:
            loop.call_soon(link.close, "too many connections")
            return link
        entry.hello_timer = loop.call_later(
            HELLO_TIMEOUT_S, link.close, "no Hello in time"
        )
        return link

    def _supersede(self, link: Link, hello: messages.Hello) -> bool:
        """Closes older call connections of the same sender.

        Returns:
            False when the new connection is itself the older one.
        """
        older = self._call_links.get(hello.instance_id)
        if older is not None and older.peer_hello is not None:
            older_hello = older.peer_hello
            # Incarnations have no order: a process that follows another one may
            # have started at an earlier time of day.
            if (
                hello.incarnation == older_hello.incarnation
                and hello.link_generation < older_hello.link_generation
            ):
                return False
            older.close("superseded by a newer connection")
        self._call_links[hello.instance_id] = link
        return True

    def _run(
        self,
        link: Link,
        stream_id: int,
        serve: ServeStream,
    ) -> None:
        entry = self._inbound.get(link)
        if entry is None or self._is_stopping:
            return
        if stream_id in entry.tasks:
            link.close(f"stream {stream_id} used twice")
            return
        entry.last_stream_id = max(entry.last_stream_id, stream_id)
        loop = asyncio.get_running_loop()
        task = loop.create_task(self._serve(link, stream_id, serve))
        entry.tasks[stream_id] = task
        task.add_done_callback(lambda _: entry.tasks.pop(stream_id, None))

    async def _serve(
        self,
        link: Link,
        stream_id: int,
        serve: ServeStream,
    ) -> None:
        reply: messages.StreamReply
        try:
            reply = await serve()
        except Exception:
            # Without a reply, the sender would wait until its deadline.
            logger.exception("call failed", extra={"event": "internal_error"})
            reply = messages.CallUnknown(0, UnknownReason.NO_REPLY.value)
        if not link.send(dataclasses.replace(reply, stream_id=stream_id)):
            # Without a reply, the sender would wait until its deadline.
            link.close("reply could not be sent")

    def _cancel(self, link: Link, stream_id: int) -> None:
        entry = self._inbound.get(link)
        task = entry.tasks.get(stream_id) if entry is not None else None
        if task is not None:
            task.cancel()
