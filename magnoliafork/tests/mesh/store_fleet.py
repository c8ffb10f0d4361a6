"""A simulated fleet whose nodes read one store and follow each other."""

import asyncio
import collections
import io
import math
import random
from collections.abc import Awaitable, Callable

from magnoliafork.mesh.model import StoredItem
from magnoliafork.mesh.published_store import HistoryGone, StoreUnavailable
from magnoliafork.mesh.reader_selection import rank_hosts, readers_per_zone
from magnoliafork.mesh.store_reader import StoreReader
from magnoliafork.mesh.upstream_table import UpstreamTable
from magnoliafork.mesh.view import MeshView, ViewDelta
from magnoliafork.mesh.view_freshness import ViewFreshness
from magnoliafork.mesh.view_sync import ViewSync
from magnoliafork.observe.logs import EventLog
from magnoliafork.platform.store import (
    MAX_READ_S,
    READ_TIMEOUT_S,
    watch_timeout_s,
)
from magnoliafork.tests import virtual_time
from magnoliafork.tests.mesh.builders import PublishedState, config, entry
from magnoliafork.wire import codec
from magnoliafork.wire.messages import ControlMessage

DRAIN_TIMEOUT_S = 2.0
# Longest time until an entry that expired in an outage is written again.
REWRITE_S = 2.0
TICK_S = 0.1
# Bytes of an answer of the store that are on their way to a node at a time.
WINDOW_BYTES = 16_384
# The store sends values as base64.
ANSWER_BYTES_PER_VALUE_BYTE = 4 / 3


class MachineLink:
    """The network link of one machine, which its connections share."""

    def __init__(self, bytes_per_s: float) -> None:
        self._bytes_per_s = bytes_per_s
        self._free_at_s = -math.inf
        self.carried_bytes = 0

    def carry(self, size_bytes: int, from_s: float) -> float:
        """Returns the time at which bytes have passed the link."""
        self.carried_bytes += size_bytes
        start_s = max(from_s, self._free_at_s)
        self._free_at_s = start_s + size_bytes / self._bytes_per_s
        return self._free_at_s


class Store:
    """A store that refuses the nodes that a test names.

    Attributes:
        refused: Hosts that are refused.
        silent: Hosts that get no answer.
        sequences: Number of writes by upstream.
    """

    def __init__(self) -> None:
        self.published = PublishedState()
        self.deltas: list[ViewDelta] = []
        self.refused: set[str] = set()
        self.silent: set[str] = set()
        self.era = 1
        self.sequences: collections.Counter[str] = collections.Counter()
        self.call_count = 0
        self.changed = asyncio.Event()

    def record(self, delta: ViewDelta) -> None:
        self.deltas.append(delta)
        self._notify()

    def _notify(self) -> None:
        self.changed.set()
        self.changed = asyncio.Event()

    def restore(self, revision: int) -> None:
        """Goes back to a revision; later ones are given out again."""
        self.era += 1
        self.deltas = [d for d in self.deltas if d.revision <= revision]
        self.published.revision = revision
        self._notify()

    def announce(self, *upstreams: str, is_ready: bool = True) -> None:
        for host in upstreams:
            self.sequences[host] += 1
            upstream = entry(
                host,
                host=host,
                zone=host[0],
                is_ready=is_ready,
                sequence=self.sequences[host],
            )
            self.record(self.published.put(f"servers/{host}", upstream))

    def withdraw(self, host: str) -> None:
        self.record(self.published.remove(f"servers/{host}"))

    def configure(self, version: int) -> None:
        self.record(self.published.put("config", config(version)))

    def publish(self, version: int, value: bytes) -> None:
        """Publishes the bytes of a configuration, which decode to a version."""
        self.published.revision += 1
        revision = self.published.revision
        self.published.item_codec.add(value, config(version))
        item = StoredItem("config", revision, value)
        self.record(ViewDelta(revision - 1, revision, (item,), self.era))

    def after(self, revision: int) -> ViewDelta:
        items = [
            item
            for delta in self.deltas
            if delta.revision > revision
            for item in delta.items
        ]
        if not revision:
            newest = {item.key: item for item in items}
            items = [item for item in newest.values() if item.value]
        return ViewDelta(
            revision, self.published.revision, tuple(items), self.era
        )


class Reads:
    """Reads with a latency and the client's timeouts; `PublishedStore`."""

    def __init__(self, fleet: "Fleet", host: str) -> None:
        self._fleet = fleet
        self._host = host

    async def read_all(self) -> ViewDelta | StoreUnavailable:
        result = await self._read(0, 0.0, READ_TIMEOUT_S)
        assert not isinstance(result, HistoryGone)
        return result

    async def watch(
        self, after_revision: int, wait_s: float
    ) -> ViewDelta | HistoryGone | StoreUnavailable:
        return await self._read(after_revision, wait_s, watch_timeout_s(wait_s))

    async def _read(
        self, after_revision: int, wait_s: float, timeout_s: float
    ) -> ViewDelta | HistoryGone | StoreUnavailable:
        self._fleet.store.call_count += 1
        end_s = asyncio.get_running_loop().time() + MAX_READ_S
        try:
            async with asyncio.timeout(timeout_s) as timeout:
                await asyncio.sleep(self._fleet.latency_s / 2)
                delta = await self._wait(after_revision, wait_s)
                await self._receive(delta, timeout, end_s)
                await asyncio.sleep(self._fleet.latency_s / 2)
                return delta
        except TimeoutError:
            return StoreUnavailable("no answer")

    async def _receive(
        self,
        delta: ViewDelta | HistoryGone | StoreUnavailable,
        timeout: asyncio.Timeout,
        end_s: float,
    ) -> None:
        """Waits until an answer has passed the link of the machine."""
        if not isinstance(delta, ViewDelta):
            return
        values_bytes = sum(len(item.value) for item in delta.items)
        left_bytes = int(values_bytes * ANSWER_BYTES_PER_VALUE_BYTE)
        link, loop = self._fleet.inbound[self._host], asyncio.get_running_loop()
        while left_bytes > 0:
            size_bytes = min(left_bytes, WINDOW_BYTES)
            left_bytes -= size_bytes
            arrival_s = link.carry(size_bytes, loop.time())
            await asyncio.sleep(arrival_s - loop.time())
            timeout.reschedule(min(loop.time() + READ_TIMEOUT_S, end_s))

    async def _wait(
        self, after_revision: int, wait_s: float
    ) -> ViewDelta | HistoryGone | StoreUnavailable:
        fleet = self._fleet
        end_s = asyncio.get_running_loop().time() + wait_s
        cut_count = fleet.cut_count
        while self._host not in fleet.store.refused:
            if self._host in fleet.store.silent:
                await asyncio.sleep(math.inf)
            if after_revision > fleet.store.published.revision:
                return HistoryGone(fleet.store.era)
            delta = fleet.store.after(after_revision)
            left_s = end_s - asyncio.get_running_loop().time()
            if fleet.cut_count != cut_count:
                return StoreUnavailable("connection reset")
            if delta.items or left_s <= 0:
                return delta
            try:
                async with asyncio.timeout(min(left_s, 0.02)):
                    await fleet.store.changed.wait()
            except TimeoutError:
                continue
        return StoreUnavailable("refused")


class Node:
    """The parts of a node that follow the store; implements `ControlLinks`."""

    def __init__(self, fleet: "Fleet", host: str, seed: int) -> None:
        clock = asyncio.get_running_loop().time
        self.log_output = io.StringIO()
        log = EventLog("info", self.log_output, clock)
        self._fleet = fleet
        self.host = host
        self.peers: set[str] = set()
        self.rng = random.Random(seed)
        self.view = MeshView(fleet.store.published.item_codec.decode)
        self.table = UpstreamTable(self.view, clock, DRAIN_TIMEOUT_S)
        self.freshness = ViewFreshness(
            self.view, clock, self.rng.getrandbits(62)
        )
        self.view_sync = ViewSync(
            host,
            host[0],
            self.view,
            self.table,
            self,
            clock,
            log,
            self.freshness,
        )
        self.reader = StoreReader(
            Reads(fleet, host),
            self.view,
            self.table,
            self.view_sync,
            self.rng,
            clock,
            log,
            self.freshness,
        )
        # Time from which each peer gets the next message, in order.
        self._sent_until_s: dict[str, float] = {}
        self.paused_until_s = 0.0

    def neighbours(self) -> tuple[str, ...]:
        return tuple(sorted(self.peers))

    def send(self, instance_id: str, message: ControlMessage) -> bool:
        loop = asyncio.get_running_loop()
        size_bytes = len(codec.encode(message))
        sent_s = self._fleet.outbound[self.host].carry(size_bytes, loop.time())
        loop.call_at(sent_s, self._arrive, instance_id, message, size_bytes)
        return True

    def _arrive(
        self, instance_id: str, message: ControlMessage, size_bytes: int
    ) -> None:
        loop = asyncio.get_running_loop()
        arrived_s = self._fleet.inbound[instance_id].carry(
            size_bytes, loop.time()
        )
        low_s, high_s = self._fleet.link_delay_s
        if self._fleet.slow_host in (self.host, instance_id):
            low_s = high_s = self._fleet.slow_host_delay_s
        at_s = max(
            arrived_s + self.rng.uniform(low_s, high_s),
            self._sent_until_s.get(instance_id, 0.0) + 1e-6,
        )
        self._sent_until_s[instance_id] = at_s
        loop.call_at(at_s, self._deliver, instance_id, message)

    def _deliver(self, instance_id: str, message: ControlMessage) -> None:
        target = self._fleet.nodes[instance_id]
        if self.host in self._fleet.dead or instance_id in self._fleet.dead:
            return
        loop = asyncio.get_running_loop()
        if loop.time() < target.paused_until_s:
            loop.call_at(
                target.paused_until_s, self._deliver, instance_id, message
            )
            return
        target.view_sync.on_control(self.host, message)

    def set_targets(self, instance_ids: tuple[str, ...]) -> None:
        for other in instance_ids:
            if other not in self._fleet.dead and other != self.host:
                self.peers.add(other)
                self._fleet.nodes[other].peers.add(self.host)

    async def run(self) -> None:
        await asyncio.sleep(self.rng.random())
        async with asyncio.TaskGroup() as group:
            group.create_task(self.tick())
            group.create_task(self.reader.run())

    async def tick(self) -> None:
        loop = asyncio.get_running_loop()
        while self.host not in self._fleet.dead:
            if loop.time() >= self.paused_until_s:
                self.table.tick(loop.time())
                self.view_sync.tick()
            late_s = self.rng.uniform(0.0, self._fleet.tick_delay_s)
            await asyncio.sleep(TICK_S + late_s)


class Fleet:
    """Nodes that read one store; the first letter of a host is its zone."""

    def __init__(
        self,
        hosts: tuple[str, ...],
        seed: int,
        link_bytes_per_s: float = math.inf,
    ) -> None:
        self.hosts = hosts
        self.outbound = {host: MachineLink(link_bytes_per_s) for host in hosts}
        self.inbound = {host: MachineLink(link_bytes_per_s) for host in hosts}
        self.store = Store()
        self.latency_s = 0.004
        self.link_delay_s = (0.0005, 0.005)
        self.tick_delay_s = 0.01
        self.slow_host = ""
        self.slow_host_delay_s = 0.0
        self.cut_count = 0
        self.dead: set[str] = set()
        self.store.configure(1)
        self.store.announce(*hosts)
        self.nodes = {
            host: Node(self, host, seed * len(hosts) + number)
            for number, host in enumerate(hosts)
        }
        self.tasks: dict[str, asyncio.Task[None]] = {}
        self.warm_at_s = 0.0

    def default_readers(self) -> list[str]:
        found: list[str] = []
        first = self.nodes[self.hosts[0]]
        for zone in sorted({host[0] for host in self.hosts}):
            hosts = {host for host in self.hosts if host[0] == zone}
            count = readers_per_zone(first.view_sync._fleet)
            found += rank_hosts(zone, hosts)[:count]
        return found

    def kill(self, *hosts: str) -> None:
        self.dead |= set(hosts)
        for host in hosts:
            self.tasks[host].cancel()
        for node in self.live():
            for host in sorted(node.peers & self.dead):
                node.peers.discard(host)
                node.view_sync.on_link_down(host)

    def restart(self, host: str, peer: str, seed: int) -> Node:
        """Starts a killed node, which is called by one peer."""
        self.dead.discard(host)
        node = self.nodes[host] = Node(self, host, seed)
        self.nodes[peer].peers.add(host)
        node.peers.add(peer)
        node.view_sync.add_bootstrap_peer(peer)
        self.tasks[host] = asyncio.create_task(node.run())
        return node

    def live(self) -> list[Node]:
        return [n for h, n in self.nodes.items() if h not in self.dead]

    def users_of(self, host: str) -> list[str]:
        """Returns the live nodes that may send requests to an upstream."""
        return [
            node.host
            for node in self.live()
            if any(e.host == host for e in node.table.of_service("catalogue"))
        ]


def run(
    test: Callable[[Fleet], Awaitable[None]],
    seed: int,
    hosts: tuple[str, ...],
    link_bytes_per_s: float = math.inf,
) -> None:
    """Runs a test on a fleet whose nodes have read the store."""

    async def main() -> None:
        fleet = Fleet(hosts, seed, link_bytes_per_s)
        for host, node in fleet.nodes.items():
            fleet.tasks[host] = asyncio.create_task(node.run())
        await asyncio.sleep(10 + seed / 4)
        assert sorted(fleet.users_of("x1")) == sorted(hosts)
        fleet.warm_at_s = asyncio.get_running_loop().time()
        try:
            await test(fleet)
        finally:
            for task in fleet.tasks.values():
                task.cancel()
            await asyncio.gather(*fleet.tasks.values(), return_exceptions=True)

    virtual_time.run(main())
