"""Opens connections to peers."""

import asyncio
import dataclasses
import ssl

from magnoliafork.wire import api, messages
from magnoliafork.wire.identity import NodeIdentity
from magnoliafork.wire.link import Link, LinkOwner, LinkTraffic


@dataclasses.dataclass(frozen=True, slots=True)
class Connector:
    """Creates and opens the outgoing connections of a node.

    Attributes:
        identity: Builds the Hello messages of this node.
        addresses: Addresses of the peers.
        traffic: Byte counters of all connections.
        ssl_context: TLS context, or None to connect without TLS.
    """

    identity: NodeIdentity
    addresses: api.AddressBook
    traffic: LinkTraffic
    ssl_context: ssl.SSLContext | None

    def create_link(self, owner: LinkOwner) -> Link:
        """Returns a link that is not connected yet."""
        return Link(owner, self.traffic, asyncio.get_running_loop())

    async def connect(
        self,
        link: Link,
        instance_id: str,
        purpose: messages.LinkPurpose,
        timeout_s: float,
    ) -> bool:
        """Connects a link to a peer and sends Hello.

        Returns:
            False when the address is unknown or the connection failed; the
            link is then closed.
        """
        address = self.addresses.address(instance_id)
        if address is None:
            link.close("unknown address")
            return False
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(timeout_s):
                await loop.create_connection(
                    lambda: link, *address, ssl=self.ssl_context
                )
        except (OSError, TimeoutError) as error:
            link.close(f"cannot connect: {error}")
            return False
        return link.send(self.identity.hello(purpose))
