"""Changes reach every node over links that break and fall silent."""

import dataclasses
import io
import random
import zlib

import pytest

from magnoliafork.mesh.model import StoredItem
from magnoliafork.mesh.upstream_table import UpstreamTable
from magnoliafork.mesh.view import MeshView, ViewDelta
from magnoliafork.mesh.view_freshness import ViewFreshness
from magnoliafork.mesh.view_sync import (
    MAX_LAG_S,
    OTHER_ZONE_DELAY_S,
    ViewSync,
)
from magnoliafork.model.result import Ok
from magnoliafork.observe.logs import EventLog
from magnoliafork.tests.mesh.builders import FakeItemCodec, config, entry
from magnoliafork.wire import codec, messages
from magnoliafork.wire.messages import ControlMessage

ZONES = ("x", "y", "z")


def through_codec(message: ControlMessage) -> ControlMessage:
    """Encodes a message in the wire format and decodes it again."""
    frame = codec.encode(message)
    header = codec.decode_header(frame[: codec.HEADER_BYTES])
    assert isinstance(header, Ok)
    decoded = codec.decode_payload(header.value, frame[codec.HEADER_BYTES :])
    assert isinstance(decoded, Ok)
    assert isinstance(decoded.value, ControlMessage)
    return decoded.value


class FakeCluster:
    """Nodes with links that lose what a test isolates or lets them lose.

    Attributes:
        isolated: Hosts whose links lose everything.
        lost_share: Share of requests for changes, and of their replies, that
            the links lose.
    """

    def __init__(
        self, per_zone: int = 4, zones: tuple[str, ...] = ZONES
    ) -> None:
        self.now_s = 1000.0
        self.item_codec = FakeItemCodec()
        self.nodes: dict[str, FakeNode] = {}
        self.isolated: set[str] = set()
        self.lost_share = 0.0
        self.rng = random.Random(1)
        self.lost_updates = 0
        self.frames: list[tuple[str, str, ControlMessage]] = []
        self.replies: list[tuple[str, str]] = []
        self.revision = 0
        self.state: dict[str, ViewDelta] = {}
        for zone in zones:
            for number in range(per_zone):
                host = f"{zone}{number}"
                self.nodes[host] = FakeNode(self, host)
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
                node.view_sync.tick()
            self.deliver()

    def deliver(self) -> None:
        while self.frames:
            source, target, message = self.frames.pop(0)
            if source in self.isolated or target in self.isolated:
                continue
            if self.is_lost(message):
                self.lost_updates += 1
                continue
            self.nodes[target].view_sync.on_control(
                source, through_codec(message)
            )

    def is_lost(self, message: ControlMessage) -> bool:
        is_update = isinstance(
            message, messages.ViewRequest | messages.ViewReply
        )
        return is_update and self.rng.random() < self.lost_share

    def publish(self, version: int) -> ViewDelta:
        self.revision += 1
        item = self.item_codec.item("config", self.revision, config(version))
        return ViewDelta(self.revision - 1, self.revision, (item,))


class FakeNode:
    """One node with links that open at once; implements `ControlLinks`."""

    def __init__(self, cluster: FakeCluster, host: str) -> None:
        self.cluster = cluster
        self.host = host
        self.peers: set[str] = set()
        self.targets: tuple[str, ...] = ()
        self.reads_store = True
        self.view = MeshView(cluster.item_codec.decode)
        clock = lambda: cluster.now_s  # noqa: E731
        self.table = UpstreamTable(self.view, clock, 2.0)
        log = EventLog("error", io.StringIO())
        self.view_sync = ViewSync(
            host,
            host[0],
            self.view,
            self.table,
            self,
            clock,
            log,
            ViewFreshness(self.view, clock, hash(host) or 1),
        )

    def refresh_source(self) -> None:
        if self.view_sync.is_reader and self.reads_store:
            self.view_sync.last_store_answer_s = self.cluster.now_s

    def neighbours(self) -> tuple[str, ...]:
        return tuple(sorted(self.peers))

    def send(self, instance_id: str, message: ControlMessage) -> bool:
        self.cluster.frames.append((self.host, instance_id, message))
        if isinstance(message, messages.ViewReply):
            self.cluster.replies.append((self.host, instance_id))
        return True

    def set_targets(self, instance_ids: tuple[str, ...]) -> None:
        self.targets = instance_ids
        for other in instance_ids:
            self.peers.add(other)
            self.cluster.nodes[other].peers.add(self.host)


def readers_of(cluster: FakeCluster) -> list[str]:
    return [h for h, n in cluster.nodes.items() if n.view_sync.is_reader]


def lagging_hosts(cluster: FakeCluster) -> list[str]:
    return [
        host
        for host, node in cluster.nodes.items()
        if node.view.revision < cluster.revision
        and host not in cluster.isolated
    ]


def test_fleet_converges_on_one_reader_per_zone() -> None:
    """A zone would have no reader, or make more store calls than allowed."""
    cluster = FakeCluster()
    assert sorted(h[0] for h in readers_of(cluster)) == sorted(ZONES)


@pytest.mark.parametrize("zones", [("x",), ("x", "y")])
def test_fleet_of_few_zones_has_another_reader_after_the_loss_of_one(
    zones: tuple[str, ...],
) -> None:
    """If the only reader lost power, a change was missed for seconds."""
    cluster = FakeCluster(per_zone=6, zones=zones)
    first = readers_of(cluster)[0]
    cluster.isolated.add(first)
    delta = cluster.publish(2)
    for host in readers_of(cluster):
        if host not in cluster.isolated:
            cluster.nodes[host].view.apply(delta)
    cluster.run(1.0)
    assert lagging_hosts(cluster) == []


def test_nodes_that_start_together_do_not_all_watch_the_store() -> None:
    """After a power loss, every node read the store until its links were up."""
    cluster = FakeCluster(per_zone=8)
    for host in list(cluster.nodes):
        cluster.nodes[host] = FakeNode(cluster, host)
        cluster.nodes[host].view.apply(cluster.base)
    max_readers = len(readers_of(cluster))
    for _ in range(40):
        cluster.run(0.05)
        max_readers = max(max_readers, len(readers_of(cluster)))
    assert max_readers == len(ZONES)


def test_change_read_by_one_reader_reaches_all_nodes() -> None:
    """One reader with a connection to the store is enough."""
    cluster = FakeCluster()
    delta = cluster.publish(2)
    cluster.nodes[readers_of(cluster)[0]].view.apply(delta)
    cluster.run(OTHER_ZONE_DELAY_S + 0.5)
    assert lagging_hosts(cluster) == []


def test_other_zones_send_no_changes_that_the_own_reader_delivers() -> None:
    """Changes would cross the zones twice, and that traffic has a cost."""
    cluster = FakeCluster()
    cluster.replies.clear()
    for version in range(2, 12):
        delta = cluster.publish(version)
        for host in readers_of(cluster):
            cluster.nodes[host].view.apply(delta)
        cluster.run(0.3)
    is_between_zones = [
        source[0] != target[0] for source, target in cluster.replies
    ]
    assert is_between_zones.count(True) == 0
    assert is_between_zones.count(False) == 10 * (
        len(cluster.nodes) - len(ZONES)
    )
    assert lagging_hosts(cluster) == []


def test_dead_reader_is_replaced() -> None:
    """A zone whose reader died would depend on the readers of other zones."""
    cluster = FakeCluster()
    reader = next(h for h in readers_of(cluster) if h[0] == "x")
    cluster.isolated.add(reader)
    cluster.run(6.0)
    assert any(
        h[0] == "x" and h != reader and h not in cluster.isolated
        for h in readers_of(cluster)
    )


def test_late_reply_with_patches_causes_no_request() -> None:
    """Guards against fetching the whole state for a reply with nothing new."""
    cluster = FakeCluster()
    late = messages.ViewReply(
        cluster.revision - 2,
        cluster.revision,
        ("config",),
        (cluster.revision,),
        (zlib.compress(b"patch"),),
        (cluster.revision - 2,),
    )
    cluster.nodes["x1"].view_sync.on_control("x2", late)
    assert cluster.frames == []


def test_node_that_lags_for_too_long_reads_the_store() -> None:
    """A peer may announce a revision and never deliver it."""
    cluster = FakeCluster()
    node = cluster.nodes["x1"]
    node.view_sync.on_control(
        "y0", messages.ViewAnnounce(cluster.revision + 5, 0, 3_600_000)
    )
    cluster.now_s += MAX_LAG_S + 0.1
    assert node.view_sync.is_behind


def test_restarted_node_takes_the_view_of_a_peer_that_calls() -> None:
    """A node that knows no peer must recover during a store outage."""
    cluster = FakeCluster()
    old = cluster.nodes["x2"]
    cluster.nodes["x2"] = FakeNode(cluster, "x2")
    for node in cluster.nodes.values():
        node.peers.discard("x2")
    del old
    restarted = cluster.nodes["x2"]
    restarted.reads_store = False
    restarted.view_sync.add_bootstrap_peer("y1")
    cluster.run(2.0)
    assert restarted.view.revision == cluster.revision


def _grow_state(cluster: FakeCluster, count: int) -> None:
    """Gives every node a state of about a kilobyte for each entry."""
    rng = random.Random(3)
    items = list(cluster.base.items)
    for number in range(count):
        cluster.revision += 1
        fact = entry(f"big{number}", host="x0", port=number, zone="x")
        item = StoredItem(
            f"servers/big{number}", cluster.revision, rng.randbytes(1000)
        )
        cluster.item_codec.add(item.value, fact)
        items.append(item)
    state = ViewDelta(0, cluster.revision, tuple(items))
    for node in cluster.nodes.values():
        node.view.apply(state)


def test_restarted_node_takes_a_state_that_needs_several_frames() -> None:
    """No peer could send the whole state of a fleet of thousands of nodes."""
    cluster = FakeCluster()
    _grow_state(cluster, 3000)
    cluster.nodes["x2"] = FakeNode(cluster, "x2")
    for node in cluster.nodes.values():
        node.peers.discard("x2")
    restarted = cluster.nodes["x2"]
    restarted.reads_store = False
    restarted.view_sync.add_bootstrap_peer("y1")
    cluster.run(2.0)
    assert restarted.view.revision == cluster.revision
    assert len(restarted.view.upstreams) == 3000 + len(cluster.nodes)


def test_peer_that_knows_no_parts_gets_none() -> None:
    """A node of an earlier release would take a part for the whole state."""
    cluster = FakeCluster()
    _grow_state(cluster, 3000)
    cluster.replies.clear()
    cluster.nodes["x1"].view_sync.on_control("x2", messages.ViewRequest(0))
    assert cluster.replies == []


@pytest.mark.parametrize(("lost_share", "seeds"), [(0.0, 8), (0.5, 3)])
def test_random_isolation_never_leaves_a_connected_node_lagging(
    lost_share: float, seeds: int
) -> None:
    """A node would keep an old view although its neighbour has the new one."""
    for seed in range(seeds):
        rng = random.Random(seed)
        cluster = FakeCluster()
        cluster.rng = random.Random(seed)
        for version in range(2, 12):
            cluster.isolated = set(rng.sample(sorted(cluster.nodes), 4))
            cluster.run(6.0)
            delta = cluster.publish(version)
            cluster.lost_share = lost_share
            for host in readers_of(cluster):
                if host not in cluster.isolated:
                    cluster.nodes[host].view.apply(delta)
            cluster.run(0.3)
            cluster.lost_share = 0.0
            cluster.run(1.2)
            live = [h for h in readers_of(cluster) if h not in cluster.isolated]
            assert live, f"seed {seed}: nobody reads"
            late = [
                h
                for h in lagging_hosts(cluster)
                if not cluster.nodes[h].view_sync.is_behind
                and not cluster.nodes[h].view_sync.is_reader
                and _has_live_link(cluster, h)
            ]
            assert late == [], f"seed {seed}"
            cluster.isolated = set()
            cluster.run(3.0)
            assert lagging_hosts(cluster) == [], f"seed {seed}"
        assert bool(cluster.lost_updates) == bool(lost_share)


def _has_live_link(cluster: FakeCluster, host: str) -> bool:
    return any(
        peer not in cluster.isolated
        and cluster.nodes[peer].view.revision == cluster.revision
        for peer in cluster.nodes[host].peers
    )


def test_outage_cannot_have_begun_before_the_last_answer_to_this_node() -> None:
    """A refusal of one node for a second passed for an outage."""
    cluster = FakeCluster()
    view_sync = cluster.nodes["x0"].view_sync
    view_sync.last_store_answer_s = cluster.now_s
    view_sync.announce()
    # No announcement tells of the next answer.
    cluster.now_s += 2.2
    view_sync.last_store_answer_s = cluster.now_s
    cluster.now_s += 1.0
    assert view_sync.earliest_outage_start_s() == cluster.now_s


def test_earlier_release_is_followed_until_the_store_is_restored() -> None:
    """It tells no era, and its revisions are then of another history."""
    cluster = FakeCluster()
    node = cluster.nodes["x0"]
    whole = dataclasses.replace(cluster.base, revision=20, era=3)
    node.view.apply(whole)
    node.view.is_restored = False
    node.view_sync.on_control("y0", messages.ViewAnnounce(25, 0, 3_600_000))
    cluster.run(0.1)
    assert node.view_sync.lag_s > 0
    node.view.apply(dataclasses.replace(whole, revision=12, era=4))
    node.view_sync.on_control("y0", messages.ViewAnnounce(25, 0, 3_600_000))
    assert node.view_sync.lag_s == 0


def test_peer_without_the_configuration_it_announces_is_not_asked_again() -> (
    None
):
    """Two nodes exchanged their whole state without pause."""
    cluster = FakeCluster()
    node = cluster.nodes["x0"]
    announce = messages.ViewAnnounce(
        node.view.revision, 0, 3_600_000, config_version=7
    )
    node.view_sync.on_control("x1", announce)
    whole = messages.ViewReply(0, node.view.revision, (), (), ())
    for _ in range(20):
        node.view_sync.on_control("x1", whole)
    requests = [
        frame
        for frame in cluster.frames
        if isinstance(frame[2], messages.ViewRequest)
    ]
    assert len(requests) == 1


def test_node_that_gets_each_change_in_time_does_not_lag() -> None:
    """In a storm of changes, all nodes read the store beside their readers."""
    cluster = FakeCluster()
    node = cluster.nodes["x1"]
    get_s, gap_s = 0.3, 0.2
    first = cluster.revision + 1
    start_s = cluster.now_s
    deltas = [cluster.publish(version) for version in range(2, 22)]
    announced = applied = 0
    while applied < len(deltas):
        cluster.now_s += 0.05
        elapsed_s = cluster.now_s - start_s
        while announced < min(len(deltas), elapsed_s // gap_s):
            node.view_sync.on_control(
                "x2", messages.ViewAnnounce(first + announced, 0, 3_600_000)
            )
            announced += 1
        while applied < min(len(deltas), (elapsed_s - get_s) // gap_s):
            node.view.apply(deltas[applied])
            applied += 1
        assert node.view_sync.lag_s <= get_s + 0.11
    assert node.view_sync.lag_s == 0


def test_lag_counts_from_the_oldest_missing_change() -> None:
    """A node that gets old changes only would seem to keep up."""
    cluster = FakeCluster()
    node = cluster.nodes["x1"]
    deltas = [cluster.publish(version) for version in (2, 3)]
    for delta in deltas:
        node.view_sync.on_control(
            "x2", messages.ViewAnnounce(delta.revision, 0, 3_600_000)
        )
        cluster.now_s += 0.5
    assert node.view_sync.lag_s == pytest.approx(1.0)
    node.view.apply(deltas[0])
    assert node.view_sync.applied_lag_s == pytest.approx(1.0)
    assert node.view_sync.lag_s == pytest.approx(0.5)
    cluster.now_s += MAX_LAG_S
    assert node.view_sync.is_behind


def test_change_that_a_lost_peer_has_announced_is_still_missing() -> None:
    """A node forgot that it was behind when the link of its peer closed."""
    cluster = FakeCluster()
    node = cluster.nodes["x1"]
    delta = cluster.publish(2)
    node.view_sync.on_control(
        "x2", messages.ViewAnnounce(delta.revision, 0, 3_600_000)
    )
    node.view_sync.on_link_down("x2")
    cluster.now_s += MAX_LAG_S + 0.1
    assert node.view_sync.is_behind
    # The store does not have it: the peer lost power before it was restored.
    node.view_sync.drop_orphaned()
    assert not node.view_sync.is_behind


def test_node_without_a_state_is_not_heard_as_a_reader() -> None:
    """A node that starts kept its peers from checking the store."""
    cluster = FakeCluster()
    starting = FakeNode(cluster, "x9")
    starting.peers.add("x0")
    starting.view_sync.tick()
    announced = [
        message
        for source, _, message in cluster.frames
        if source == "x9" and isinstance(message, messages.ViewAnnounce)
    ]
    assert announced
    assert all(message.heartbeat_id == 0 for message in announced)
