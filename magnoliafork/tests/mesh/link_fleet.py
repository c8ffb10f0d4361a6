"""A simulated fleet whose control links break as connections over TCP do.

The nodes of `store_fleet` have links that are always open. Here, a machine that
loses power says nothing, connections to it hang, and peers learn of its return
only by a reset of what they send.
"""

import asyncio
import collections
import random
from collections.abc import Awaitable, Callable, Iterable, Iterator

from magnoliafork.model.version import NO_VERSION
from magnoliafork.tests import virtual_time
from magnoliafork.tests.mesh import store_fleet
from magnoliafork.wire import codec, messages
from magnoliafork.wire.control_links import ControlLinkManager
from magnoliafork.wire.identity import NodeIdentity
from magnoliafork.wire.link import Link, LinkOwner

# Times after which an unanswered connection request is sent again.
CONNECT_RETRIES_S = (0.0, 1.0, 3.0)
# Time after which unacknowledged data is sent again, doubled each time.
RETRANSMISSION_S = 0.2
# Time from the start of a process until it listens, on small machines.
PROCESS_START_S = 1.0
# Longest time between two requests of other nodes to a node that has started.
CALL_INTERVAL_S = 0.2


class SimulatedLink:
    """One end of a connection; has the interface of `Link`."""

    def __init__(self, owner: LinkOwner, node: "LinkedNode") -> None:
        self._owner = owner
        self._loop = asyncio.get_running_loop()
        self.node = node
        self.other: SimulatedLink | None = None
        self.is_open = False
        self.is_closed = False
        self.peer_hello: messages.Hello | None = None
        self.last_received_s = self._loop.time()
        self.unsent_bytes = 0
        self.close_reason = ""
        self._queue: collections.deque[messages.Message] = collections.deque()
        self._timeout_s = RETRANSMISSION_S
        self._is_stalled = False

    def open(self, other: "SimulatedLink") -> None:
        self.other = other
        self.is_open = True

    def send(self, message: messages.Message) -> bool:
        if not self.is_open:
            return False
        fleet = self.node.linked_fleet
        size_bytes = len(codec.encode(message))
        sent_s = fleet.outbound[self.node.host].carry(
            size_bytes, self._loop.time()
        )
        self._loop.call_at(sent_s, self._pass_inbound_link, message, size_bytes)
        return True

    def _pass_inbound_link(
        self, message: messages.Message, size_bytes: int
    ) -> None:
        assert self.other is not None
        fleet = self.node.linked_fleet
        arrived_s = fleet.inbound[self.other.node.host].carry(
            size_bytes, self._loop.time()
        )
        self._queue.append(message)
        self._loop.call_at(arrived_s + fleet.delay_s(), self._deliver)

    def _deliver(self) -> None:
        """Delivers the oldest message, unless the path does not carry it."""
        other, fleet = self.other, self.node.linked_fleet
        assert other is not None
        if not self.node.is_running:
            self._queue.clear()
        if not self._queue or self._is_stalled:
            return
        if not fleet.is_reachable(self.node.host, other.node.host):
            self._is_stalled = True
            self._loop.call_later(self._timeout_s, self._retransmit)
            self._timeout_s *= 2
            return
        if other.is_closed or not other.node.is_running:
            self._queue.clear()
            self.lose("reset")
            return
        self._timeout_s = RETRANSMISSION_S
        other.receive(self._queue.popleft())

    def _retransmit(self) -> None:
        self._is_stalled = False
        for _ in range(len(self._queue)):
            self._deliver()

    def receive(self, message: messages.Message) -> None:
        self.last_received_s = self._loop.time()
        if self.peer_hello is not None:
            self._owner.on_message(self, message)  # type: ignore[arg-type]
            return
        assert isinstance(message, messages.Hello)
        self.peer_hello = message
        self._owner.on_hello(self, message)  # type: ignore[arg-type]

    def close(self, reason: str) -> None:
        other = self.other
        self.lose(reason)
        if other is not None and self.node.is_running:
            fleet = self.node.linked_fleet
            if fleet.is_reachable(self.node.host, other.node.host):
                self._loop.call_later(fleet.delay_s(), other.lose, "closed")

    close_after_flush = close

    def lose(self, reason: str) -> None:
        """Ends this side of the connection only."""
        if self.is_closed:
            return
        self.is_closed, self.is_open = True, False
        self.close_reason = reason
        if self.node.is_running:
            self._owner.on_closed(self)  # type: ignore[arg-type]


class SimulatedConnector:
    """Opens simulated links; has the interface of `Connector`."""

    def __init__(self, node: "LinkedNode") -> None:
        self._node = node
        self.identity = NodeIdentity(
            node.host, 1, lambda: 1, lambda: NO_VERSION, lambda: (0, 1)
        )

    def create_link(self, owner: LinkOwner) -> SimulatedLink:
        return SimulatedLink(owner, self._node)

    async def connect(
        self,
        link: SimulatedLink,
        instance_id: str,
        purpose: messages.LinkPurpose,
        timeout_s: float,
    ) -> bool:
        fleet, loop = self._node.linked_fleet, asyncio.get_running_loop()
        end_s = loop.time() + timeout_s
        for retry_s in CONNECT_RETRIES_S:
            arrives_s = end_s - timeout_s + retry_s + fleet.delay_s()
            if arrives_s > end_s:
                break
            await asyncio.sleep(arrives_s - loop.time())
            if not fleet.is_reachable(self._node.host, instance_id):
                continue
            target = fleet.linked(instance_id)
            if not target.is_running:
                link.close("refused")
                return False
            accepted = SimulatedLink(target, target)
            accepted.open(link)
            link.open(accepted)
            return link.send(self.identity.hello(purpose))
        await asyncio.sleep(end_s - loop.time())
        link.close("no answer")
        return False


class LinkedNode(store_fleet.Node):
    """A node with the control links of the product; owns accepted ones."""

    def __init__(self, fleet: "LinkedFleet", host: str, seed: int) -> None:
        super().__init__(fleet, host, seed)
        self.linked_fleet = fleet
        self.is_running = False
        self._connector = SimulatedConnector(self)
        self.links = ControlLinkManager(
            self._connector,  # type: ignore[arg-type]
            random.Random(seed),
        )
        self.links.set_handler(self.view_sync)

    def neighbours(self) -> tuple[str, ...]:
        return self.links.neighbours()

    def send(self, instance_id: str, message: messages.ControlMessage) -> bool:
        return self.links.send(instance_id, message)

    def set_targets(self, instance_ids: tuple[str, ...]) -> None:
        self.links.set_targets(instance_ids)

    def on_hello(self, link: Link, hello: messages.Hello) -> None:
        link.send(self._connector.identity.hello(messages.LinkPurpose.CONTROL))
        self.links.adopt(link, hello)

    def on_message(self, link: Link, message: messages.Message) -> None:
        self.links.on_message(link, message)

    def on_closed(self, link: Link) -> None:
        self.links.on_closed(link)

    async def tick(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            self.table.tick(loop.time())
            self.view_sync.tick()
            self.links.close_silent(loop.time())
            late_s = self.rng.uniform(0.0, self.linked_fleet.tick_delay_s)
            await asyncio.sleep(store_fleet.TICK_S + late_s)

    async def run(self) -> None:
        await asyncio.sleep(PROCESS_START_S + self.rng.uniform(0.0, 0.3))
        self.is_running = True
        async with asyncio.TaskGroup() as group:
            group.create_task(self.tick())
            group.create_task(self.reader.run())
            group.create_task(self._be_called())

    async def _be_called(self) -> None:
        """Gets requests of other nodes as long as it knows none."""
        fleet = self.linked_fleet
        while not self.view.revision:
            await asyncio.sleep(self.rng.uniform(0.0, CALL_INTERVAL_S))
            callers = [
                node.host
                for node in fleet.running()
                if node.view.revision
                and fleet.is_reachable(self.host, node.host)
            ]
            if callers:
                self.view_sync.add_bootstrap_peer(self.rng.choice(callers))

    def end(self) -> None:
        """Ends the process; its machine closes the connections."""
        links = list(self.links._links.values())
        for link in [link for of_peer in links for link in of_peer]:
            link.close("process ended")
        self._drop()

    def lose_power(self) -> None:
        """Ends the process without a word to its peers."""
        self._drop()

    def _drop(self) -> None:
        self.is_running = False
        self.links.set_targets(())


class LinkedFleet(store_fleet.Fleet):
    """Nodes whose machines lose power, restart, or are cut off.

    Attributes:
        dark: Hosts without power.
        isolated: Hosts that no other host reaches.
    """

    def __init__(
        self,
        hosts: tuple[str, ...],
        seed: int,
        link_bytes_per_s: float,
    ) -> None:
        super().__init__(hosts, seed, link_bytes_per_s)
        self.rng = random.Random(seed)
        self.dark: set[str] = set()
        self.isolated: set[str] = set()
        self.started_s: dict[str, float] = {}
        for number, host in enumerate(hosts):
            self.nodes[host] = LinkedNode(
                self, host, seed * len(hosts) + number
            )

    def linked(self, host: str) -> LinkedNode:
        node = self.nodes[host]
        assert isinstance(node, LinkedNode)
        return node

    def running(self) -> Iterator[LinkedNode]:
        return (n for n in map(self.linked, self.hosts) if n.is_running)

    def delay_s(self) -> float:
        return self.rng.uniform(*self.link_delay_s)

    def is_reachable(self, host: str, other: str) -> bool:
        return not {host, other} & (self.dark | self.isolated)

    def start(self, *hosts: str) -> None:
        """Starts processes; those that ended before have an empty memory."""
        for host in hosts:
            self.dark.discard(host)
            seed = self.rng.randrange(2**32)
            node = self.nodes[host] = LinkedNode(self, host, seed)
            self.started_s[host] = asyncio.get_running_loop().time()
            self.tasks[host] = asyncio.create_task(node.run())

    def power_off(self, hosts: Iterable[str]) -> None:
        for host in hosts:
            self.tasks[host].cancel()
            self.dark.add(host)
            self.linked(host).lose_power()

    def end(self, hosts: Iterable[str]) -> None:
        for host in hosts:
            self.tasks[host].cancel()
            self.linked(host).end()


def run(
    test: Callable[[LinkedFleet], Awaitable[None]],
    seed: int,
    hosts: tuple[str, ...],
    link_bytes_per_s: float,
) -> None:
    """Runs a test on a fleet whose nodes have read the store."""

    async def main() -> None:
        fleet = LinkedFleet(hosts, seed, link_bytes_per_s)
        fleet.start(*hosts)
        await asyncio.sleep(10 + seed / 4 % 1)
        try:
            await test(fleet)
        finally:
            for task in fleet.tasks.values():
                task.cancel()
            await asyncio.gather(*fleet.tasks.values(), return_exceptions=True)
            for node in fleet.running():
                node.links.set_targets(())
            await asyncio.sleep(0)

    virtual_time.run(main())
