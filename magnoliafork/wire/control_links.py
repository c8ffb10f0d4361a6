"""Control connections to the neighbours in the overlay."""

import asyncio
import dataclasses
import random

from magnoliafork.wire import api, messages
from magnoliafork.wire.connector import Connector
from magnoliafork.wire.link import Link

CONNECT_TIMEOUT_S = 2.0
RETRY_MIN_S = 0.25
RETRY_MAX_S = 15.0
HELLO_WAIT_S = 0.5
MAX_CONTROL_LINKS = 512
# Three heartbeat intervals. A connection on which nothing arrives for longer is
# taken to be dead and replaced.
SILENCE_LIMIT_S = 6.0

_CONTROL_TYPES = (
    messages.Heartbeat,
    messages.Announce,
    messages.DeltaRequest,
    messages.DeltaReply,
    messages.MembershipUpdate,
    messages.MembershipRequest,
    messages.ProbeRequest,
    messages.ProbeReply,
    messages.ViewAnnounce,
    messages.ViewRequest,
    messages.ViewReply,
    messages.CrashReports,
)


@dataclasses.dataclass(frozen=True, slots=True)
class LinkStatus:
    """State of the open control connection to a peer.

    Attributes:
        instance_id: Id of the peer.
        silent_s: Time since the last bytes from the peer.
    """

    instance_id: str
    silent_s: float


class ControlLinkManager:
    """Implements `ControlLinks`; keeps connections to the targets open.

    A connection that a peer has opened is used as well. When two nodes have
    connected to each other at the same time, they keep the connection opened
    by the node with the lower instance id: an unused second connection would
    look silent and be closed and reopened again and again.
    """

    def __init__(self, connector: Connector, rng: random.Random) -> None:
        """Creates a manager without connections."""
        self._connector = connector
        self._self_id = connector.identity.instance_id
        self._rng = rng
        self._handler: api.ControlHandler | None = None
        self._links: dict[str, list[Link]] = {}
        self._targets: dict[str, asyncio.Task[None]] = {}
        self._outgoing: dict[str, Link] = {}
        self._down_events: dict[str, asyncio.Event] = {}

    def set_handler(self, handler: api.ControlHandler) -> None:
        """Sets the handler; call it before any connection is opened."""
        self._handler = handler

    def neighbours(self) -> tuple[str, ...]:
        """Returns the ids of the peers with an open control connection."""
        return tuple(self._links)

    def link_statuses(self) -> tuple[LinkStatus, ...]:
        """Returns the state of each connection, for the node status."""
        now_s = asyncio.get_running_loop().time()
        return tuple(
            LinkStatus(peer_id, now_s - links[-1].last_received_s)
            for peer_id, links in self._links.items()
        )

    def send(self, instance_id: str, message: messages.ControlMessage) -> bool:
        """Queues a message; false if not connected or the buffer is full."""
        links = self._links.get(instance_id)
        return links is not None and links[-1].send(message)

    def set_targets(self, instance_ids: tuple[str, ...]) -> None:
        """Sets the peers to which control connections are kept open."""
        wanted = set(instance_ids) - {self._self_id}
        for instance_id in sorted(set(self._targets) - wanted):
            self._targets.pop(instance_id).cancel()
        for instance_id in sorted(wanted - set(self._targets)):
            task = asyncio.get_running_loop().create_task(
                self._keep_open(instance_id)
            )
            self._targets[instance_id] = task

    def close_silent(self, now_s: float) -> int:
        """Closes connections that received nothing for `SILENCE_LIMIT_S`.

        Returns:
            The number of connections closed.
        """
        silent = [
            link
            for links in self._links.values()
            for link in links
            if now_s - link.last_received_s > SILENCE_LIMIT_S
        ]
        for link in silent:
            link.close("silent")
        return len(silent)

    def close(self) -> None:
        """Closes all control connections."""
        self.set_targets(())
        for links in list(self._links.values()):
            for link in list(links):
                link.close_after_flush("control connections closed")

    def adopt(self, link: Link, hello: messages.Hello) -> None:
        """Takes over a connection that a peer has opened."""
        if len(self._links) >= MAX_CONTROL_LINKS:
            link.close("too many control connections")
            return
        self._add(link, hello)
        own_link = self._outgoing.get(hello.instance_id)
        if own_link is not None and hello.instance_id < self._self_id:
            own_link.close_after_flush(
                "the peer has opened a connection as well"
            )

    def on_hello(self, link: Link, hello: messages.Hello) -> None:
        """Registers a connection opened here once the peer's Hello is in."""
        self._add(link, hello)

    def on_message(self, link: Link, message: messages.Message) -> None:
        """Passes a control message to the handler."""
        hello = link.peer_hello
        assert hello is not None
        if not isinstance(message, _CONTROL_TYPES):
            link.close(f"unexpected {type(message).__name__}")
            return
        if self._handler is not None:
            self._handler.on_control(hello.instance_id, message)

    def on_closed(self, link: Link) -> None:
        """Removes a connection that has ended."""
        hello = link.peer_hello
        if hello is None:
            return
        links = self._links.get(hello.instance_id, [])
        if link not in links:
            return
        links.remove(link)
        if links:
            return
        del self._links[hello.instance_id]
        event = self._down_events.pop(hello.instance_id, None)
        if event is not None:
            event.set()
        if self._handler is not None:
            self._handler.on_link_down(hello.instance_id)

    def _add(self, link: Link, hello: messages.Hello) -> None:
        self._links.setdefault(hello.instance_id, []).append(link)
        if self._handler is not None:
            self._handler.on_link_up(hello)

    async def _keep_open(self, instance_id: str) -> None:
        pause_s = RETRY_MIN_S
        try:
            while True:
                if instance_id not in self._links:
                    await self._open(instance_id)
                if await self._wait_for_hello(instance_id):
                    pause_s = RETRY_MIN_S
                    await self._wait_until_down(instance_id)
                else:
                    pause_s = min(RETRY_MAX_S, pause_s * 2)
                await asyncio.sleep(pause_s * self._rng.random())
        finally:
            own_link = self._outgoing.pop(instance_id, None)
            if own_link is not None:
                own_link.close_after_flush("no longer a neighbour")

    async def _wait_for_hello(self, instance_id: str) -> bool:
        """Waits for the peer's Hello; returns whether it has arrived."""
        own_link = self._outgoing.get(instance_id)
        if instance_id not in self._links and own_link is not None:
            await asyncio.sleep(HELLO_WAIT_S)
        return instance_id in self._links

    async def _wait_until_down(self, instance_id: str) -> None:
        event = self._down_events.setdefault(instance_id, asyncio.Event())
        await event.wait()

    async def _open(self, instance_id: str) -> None:
        link = self._connector.create_link(self)
        is_connected = await self._connector.connect(
            link, instance_id, messages.LinkPurpose.CONTROL, CONNECT_TIMEOUT_S
        )
        if is_connected:
            self._outgoing[instance_id] = link
