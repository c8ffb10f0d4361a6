"""Checks by a new connection whether a peer responds."""

import asyncio

from magnoliafork.wire import messages
from magnoliafork.wire.connector import Connector
from magnoliafork.wire.link import Link


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


async def responds_on_new_connection(
    connector: Connector, instance_id: str, timeout_s: float
) -> bool:
    """Opens a connection to a peer and returns whether its Hello arrives.

    Args:
        connector: Opens the connection.
        instance_id: The peer.
        timeout_s: Longest time to connect, and then to wait for the Hello.
    """
    probe = _PathProbe(asyncio.get_running_loop())
    link = connector.create_link(probe)
    try:
        is_connected = await connector.connect(
            link, instance_id, messages.LinkPurpose.PROBE, timeout_s
        )
        async with asyncio.timeout(timeout_s):
            return is_connected and await probe.is_reachable
    except TimeoutError:
        return False
    finally:
        link.close("path checked")
