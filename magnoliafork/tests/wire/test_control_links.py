"""Opening and reopening of control connections between two nodes."""

import asyncio
import random

from magnoliafork.model.version import NO_VERSION
from magnoliafork.tests import virtual_time
from magnoliafork.wire import messages
from magnoliafork.wire.connector import Connector
from magnoliafork.wire.control_links import ControlLinkManager
from magnoliafork.wire.identity import NodeIdentity
from magnoliafork.wire.link import LinkTraffic
from magnoliafork.wire.server import PeerServer

HEARTBEAT = messages.Heartbeat(True, 0, "", "", 0, 1, 1)


class _Addresses(dict[str, tuple[str, int]]):
    def address(self, instance_id: str) -> tuple[str, int] | None:
        return self.get(instance_id)


class _NoCalls:
    async def on_call(
        self, sender_id: str, request: messages.CallRequest
    ) -> messages.CallReply:
        raise AssertionError("no call is expected")

    async def on_fence(
        self, sender_id: str, fence: messages.CallFence
    ) -> messages.StreamReply:
        raise AssertionError("no fence is expected")


class _Peer:
    """A node that only has control connections."""

    def __init__(self, name: str, addresses: _Addresses) -> None:
        identity = NodeIdentity(
            name, 1, lambda: 1, lambda: NO_VERSION, lambda: (0, 1)
        )
        self.name = name
        self.addresses = addresses
        self.opened = 0
        self.lost = 0
        traffic = LinkTraffic()
        rng = random.Random(name)
        connector = Connector(identity, addresses, traffic, None)
        self.links = ControlLinkManager(connector, rng)
        self.links.set_handler(self)
        self.server = PeerServer(
            identity, _NoCalls(), self.links, traffic, None
        )

    def on_control(
        self, instance_id: str, message: messages.ControlMessage
    ) -> None:
        """Ignores heartbeats."""

    def on_link_up(self, hello: messages.Hello) -> None:
        self.opened += 1

    def on_link_down(self, instance_id: str) -> None:
        self.lost += 1

    async def start(self) -> None:
        port = await self.server.start("127.0.0.1", 0)
        self.addresses[self.name] = ("127.0.0.1", port)

    async def stop(self) -> None:
        self.links.close()
        await self.server.stop()


def test_two_nodes_keep_one_connection_open() -> None:
    """Guards against an unused second connection that keeps being reopened.

    Both nodes open a connection at the same time. With a second one kept, an
    idle fleet of 32 nodes sent 100 B/s of Hello messages and 150 B/s of
    membership rows for each node.
    """

    async def check() -> None:
        addresses = _Addresses()
        peers = [_Peer("a", addresses), _Peer("b", addresses)]
        for peer in peers:
            await peer.start()
        peers[0].links.set_targets(("b",))
        peers[1].links.set_targets(("a",))
        for _ in range(60):
            await asyncio.sleep(1.0)
            now_s = asyncio.get_running_loop().time()
            for peer, other in ((peers[0], "b"), (peers[1], "a")):
                peer.links.send(other, HEARTBEAT)
                peer.links.close_silent(now_s)
        assert [peer.lost for peer in peers] == [0, 0]
        assert all(peer.opened <= 2 for peer in peers)
        for peer in peers:
            await peer.stop()

    virtual_time.run(check())


def test_lost_connection_is_opened_again() -> None:
    """Guards against a neighbour that stays disconnected after a failure."""

    async def check() -> None:
        addresses = _Addresses()
        peers = [_Peer("a", addresses), _Peer("b", addresses)]
        for peer in peers:
            await peer.start()
        peers[0].links.set_targets(("b",))
        await asyncio.sleep(2.0)
        assert peers[1].links.neighbours() == ("a",)
        peers[1].links.close()
        await asyncio.sleep(10.0)
        assert peers[0].links.neighbours() == ("b",)
        assert peers[0].opened == 2
        for peer in peers:
            await peer.stop()

    virtual_time.run(check())
