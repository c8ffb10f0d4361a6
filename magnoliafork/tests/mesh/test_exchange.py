"""News reaches every node over links that break and fall silent."""

import io
import random

import pytest

from magnoliafork.mesh.exchange import (
    BEHIND_LIMIT_S,
    OTHER_ZONE_PATIENCE_S,
    ViewExchange,
)
from magnoliafork.mesh.upstream_table import UpstreamTable
from magnoliafork.mesh.view import MeshView, ViewDelta
from magnoliafork.model.result import Ok
from magnoliafork.observe.logs import EventLog
from magnoliafork.tests.mesh.builders import FakeItemCodec, config, entry
from magnoliafork.wire import codec, messages
from magnoliafork.wire.messages import ControlMessage

ZONES = ("x", "y", "z")


def resent(message: ControlMessage) -> ControlMessage:
    """Passes a message through the wire format."""
    frame = codec.encode(message)
    header = codec.decode_header(frame[: codec.HEADER_BYTES])
    assert isinstance(header, Ok)
    decoded = codec.decode_payload(header.value, frame[codec.HEADER_BYTES :])
    assert isinstance(decoded, Ok)
    assert isinstance(decoded.value, ControlMessage)
    return decoded.value


class World:
    """Nodes whose links lose nothing unless a test cuts them."""

    def __init__(
        self, per_zone: int = 4, zones: tuple[str, ...] = ZONES
    ) -> None:
        self.now_s = 1000.0
        self.item_codec = FakeItemCodec()
        self.nodes: dict[str, WorldNode] = {}
        self.cut: set[str] = set()
        self.frames: list[tuple[str, str, ControlMessage]] = []
        self.revision = 0
        self.state: dict[str, ViewDelta] = {}
        for zone in zones:
            for number in range(per_zone):
                host = f"{zone}{number}"
                self.nodes[host] = WorldNode(self, host)
        items = [
            self.item_codec.item(
                f"servers/{host}",
                n + 1,
                entry(host, host=host, zone=host[0]),
            )
            for n, host in enumerate(self.nodes)
        ]
        self.revision = len(items)
        self.base = ViewDelta(0, self.revision, tuple(items))
        for node in self.nodes.values():
            node.view.apply(self.base)
        self.run(3.0)

    def run(self, seconds: float, step_s: float = 0.05) -> None:
        end_s = self.now_s + seconds
        while self.now_s < end_s - 1e-9:
            self.now_s += step_s
            for node in self.nodes.values():
                node.refresh_source()
                node.exchange.tick()
            self.deliver()

    def deliver(self) -> None:
        while self.frames:
            source, target, message = self.frames.pop(0)
            if source in self.cut or target in self.cut:
                continue
            self.nodes[target].exchange.on_control(source, resent(message))

    def publish(self, version: int) -> ViewDelta:
        self.revision += 1
        item = self.item_codec.item("config", self.revision, config(version))
        return ViewDelta(self.revision - 1, self.revision, (item,))


class WorldNode:
    """One node with links that open at once; implements `ControlLinks`."""

    def __init__(self, world: World, host: str) -> None:
        self.world = world
        self.host = host
        self.peers: set[str] = set()
        self.reads_store = True
        self.view = MeshView(world.item_codec.decode)
        clock = lambda: world.now_s  # noqa: E731
        self.table = UpstreamTable(self.view, clock)
        log = EventLog("error", io.StringIO())
        self.exchange = ViewExchange(
            host, host[0], self.view, self.table, self, clock, log
        )

    def refresh_source(self) -> None:
        if self.exchange.is_reader and self.reads_store:
            self.exchange.source_answered_s = self.world.now_s

    def neighbours(self) -> tuple[str, ...]:
        return tuple(sorted(self.peers))

    def send(self, instance_id: str, message: ControlMessage) -> bool:
        self.world.frames.append((self.host, instance_id, message))
        return True

    def set_targets(self, instance_ids: tuple[str, ...]) -> None:
        for other in instance_ids:
            self.peers.add(other)
            self.world.nodes[other].peers.add(self.host)


def readers_of(world: World) -> list[str]:
    return [h for h, n in world.nodes.items() if n.exchange.is_reader]


def behind(world: World) -> list[str]:
    return [
        host
        for host, node in world.nodes.items()
        if node.view.revision < world.revision and host not in world.cut
    ]


def test_fleet_settles_on_one_reader_for_each_zone() -> None:
    world = World()
    assert sorted(h[0] for h in readers_of(world)) == sorted(ZONES)


@pytest.mark.parametrize("zones", [("x",), ("x", "y")])
def test_fleet_of_few_zones_has_a_reader_that_brings_news_after_a_loss(
    zones: tuple[str, ...],
) -> None:
    """A change was missed for seconds when the only reader lost power."""
    world = World(per_zone=6, zones=zones)
    first = readers_of(world)[0]
    world.cut.add(first)
    delta = world.publish(2)
    for host in readers_of(world):
        if host not in world.cut:
            world.nodes[host].view.apply(delta)
    world.run(1.0)
    assert behind(world) == []


def test_nodes_that_start_together_do_not_all_watch_the_store() -> None:
    """After a power loss every node read until its links were up."""
    world = World(per_zone=8)
    for host in list(world.nodes):
        world.nodes[host] = WorldNode(world, host)
        world.nodes[host].view.apply(world.base)
    most = len(readers_of(world))
    for _ in range(40):
        world.run(0.05)
        most = max(most, len(readers_of(world)))
    assert most == len(ZONES)


def test_news_of_one_reader_reaches_all_nodes() -> None:
    """The other readers may be cut from the store."""
    world = World()
    delta = world.publish(2)
    world.nodes[readers_of(world)[0]].view.apply(delta)
    world.run(OTHER_ZONE_PATIENCE_S + 0.5)
    assert behind(world) == []


def test_other_zones_send_no_news_while_the_own_reader_brings_it() -> None:
    """Bytes between zones have a price; a storm of versions shows it."""
    world = World()
    sent: list[ControlMessage] = []
    deliver = world.deliver

    def count() -> None:
        sent.extend(
            message
            for source, target, message in world.frames
            if isinstance(message, messages.ViewReply)
            and source[0] != target[0]
        )
        deliver()

    world.deliver = count  # type: ignore[method-assign]
    for version in range(2, 12):
        delta = world.publish(version)
        for host in readers_of(world):
            world.nodes[host].view.apply(delta)
        world.run(0.3)
    assert sent == []
    assert behind(world) == []


def test_dead_reader_is_replaced() -> None:
    world = World()
    reader = next(h for h in readers_of(world) if h[0] == "x")
    world.cut.add(reader)
    world.run(6.0)
    assert any(
        h[0] == "x" and h != reader and h not in world.cut
        for h in readers_of(world)
    )


def test_node_that_stays_behind_asks_to_read_the_store() -> None:
    """Peers may hold news and never deliver it."""
    world = World()
    node = world.nodes["x1"]
    node.exchange.on_control(
        "y0", messages.ViewAnnounce(world.revision + 5, 0, 3_600_000)
    )
    world.now_s += BEHIND_LIMIT_S + 0.1
    assert node.exchange.is_behind


def test_restarted_node_takes_the_view_of_a_peer_that_calls() -> None:
    """While the store is away a node that knows nobody must still recover."""
    world = World()
    old = world.nodes["x2"]
    world.nodes["x2"] = WorldNode(world, "x2")
    for node in world.nodes.values():
        node.peers.discard("x2")
    del old
    fresh = world.nodes["x2"]
    fresh.reads_store = False
    fresh.exchange.meet("y1")
    world.run(2.0)
    assert fresh.view.revision == world.revision


def test_random_cuts_never_leave_a_connected_node_behind() -> None:
    for seed in range(8):
        rng = random.Random(seed)
        world = World()
        for version in range(2, 12):
            world.cut = set(rng.sample(sorted(world.nodes), 4))
            world.run(6.0)
            delta = world.publish(version)
            for host in readers_of(world):
                if host not in world.cut:
                    world.nodes[host].view.apply(delta)
            world.run(1.5)
            live = [h for h in readers_of(world) if h not in world.cut]
            assert live, f"seed {seed}: nobody reads"
            late = [
                h
                for h in behind(world)
                if not world.nodes[h].exchange.is_behind
                and not world.nodes[h].exchange.is_reader
                and _has_live_link(world, h)
            ]
            assert late == [], f"seed {seed}"
            world.cut = set()
            world.run(3.0)
            assert behind(world) == [], f"seed {seed}"


def _has_live_link(world: World, host: str) -> bool:
    return any(
        peer not in world.cut
        and world.nodes[peer].view.revision == world.revision
        for peer in world.nodes[host].peers
    )
