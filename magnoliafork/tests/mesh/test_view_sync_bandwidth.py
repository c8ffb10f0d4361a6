"""Large configurations reach a grown fleet over links of limited bandwidth."""

import heapq
import json
import random

import pytest

from magnoliafork.mesh.model import StoredItem
from magnoliafork.mesh.view import ViewDelta
from magnoliafork.tests.mesh.builders import config
from magnoliafork.tests.mesh.test_view_sync import (
    ZONES,
    FakeCluster,
    lagging_hosts,
    readers_of,
)
from magnoliafork.wire import codec
from magnoliafork.wire.messages import ControlMessage

NODES_PER_ZONE = 30
# 2,300 nodes in 16 zones.
TARGET_NODES_PER_ZONE = 144
# Links of the slowest machines of the grown deployments: 5 and 10 Mbit/s.
LINK_BYTES_PER_S = [625_000, 1_250_000]
# Time after which an accepted configuration must be in force.
APPLY_LIMIT_S = 2.5
STEP_S = 0.02


class PublishedRoutes:
    """A configuration item as operators write it, whole at each version."""

    def __init__(self, routes: int) -> None:
        self._rng = random.Random(5)
        self._rows: list[list[object]] = []
        self.grow(routes)

    def grow(self, routes: int) -> None:
        for _ in range(routes):
            name, host, prefix = (
                f"{self._rng.getrandbits(40):010x}" for _ in range(3)
            )
            row = [name, f"{host}.example", f"/{prefix}/", "safe", 1500, 400]
            self._rows.append(row)

    def change_one(self) -> None:
        self._rng.choice(self._rows)[4] = self._rng.randint(1000, 3000)

    def value(self, version: int) -> bytes:
        return json.dumps(
            {"version": f"r{version}", "routes": {"rows": self._rows}}
        ).encode()


class LimitedCluster(FakeCluster):
    """Nodes that send all their frames over one link of limited bandwidth."""

    def __init__(
        self,
        bytes_per_s: float,
        per_zone: int = NODES_PER_ZONE,
        zones: tuple[str, ...] = ZONES,
    ) -> None:
        self._bytes_per_s = bytes_per_s
        self._link_free_at_s: dict[str, float] = {}
        self._in_flight: list[tuple[float, int, str, str, ControlMessage]] = []
        self._sequence = 0
        self.sent_bytes = 0
        super().__init__(per_zone, zones)

    def deliver(self) -> None:
        self._send_frames()
        while self._in_flight and self._in_flight[0][0] <= self.now_s:
            _, _, source, target, message = heapq.heappop(self._in_flight)
            if target not in self.isolated and source not in self.isolated:
                self.nodes[target].view_sync.on_control(source, message)
            self._send_frames()

    def _send_frames(self) -> None:
        for source, target, message in self.frames:
            frame = codec.encode(message)
            self.sent_bytes += len(frame)
            start_s = max(self.now_s, self._link_free_at_s.get(source, 0.0))
            arrival_s = start_s + len(frame) / self._bytes_per_s
            self._link_free_at_s[source] = arrival_s
            self._sequence += 1
            heapq.heappush(
                self._in_flight,
                (arrival_s, self._sequence, source, target, message),
            )
        self.frames.clear()

    def publish_routes(self, version: int, routes: PublishedRoutes) -> None:
        """Lets the readers of all zones read the next version at once."""
        self.revision += 1
        value = routes.value(version)
        self.item_codec.add(value, config(version))
        item = StoredItem("config", self.revision, value)
        delta = ViewDelta(self.revision - 1, self.revision, (item,))
        for host in readers_of(self):
            self.nodes[host].view.apply(delta)

    def versions(self) -> dict[str, int]:
        return {
            host: node.view.config.version if node.view.config else 0
            for host, node in self.nodes.items()
        }


@pytest.mark.parametrize("bytes_per_s", LINK_BYTES_PER_S)
def test_grown_configuration_is_in_force_everywhere_in_time(
    bytes_per_s: float,
) -> None:
    """One node of a zone sent each version, whole, to all other nodes."""
    cluster = LimitedCluster(bytes_per_s, TARGET_NODES_PER_ZONE, ("x", "y"))
    routes = PublishedRoutes(800)
    cluster.publish_routes(1, routes)
    cluster.run(3.0, STEP_S)
    routes.grow(1480)
    cluster.publish_routes(2, routes)
    cluster.run(APPLY_LIMIT_S, STEP_S)
    late = {h: v for h, v in cluster.versions().items() if v < 2}
    assert late == {}
    assert lagging_hosts(cluster) == []


@pytest.mark.parametrize("bytes_per_s", LINK_BYTES_PER_S)
def test_configurations_in_quick_succession_are_in_force_in_time(
    bytes_per_s: float,
) -> None:
    """Updates that queued on a link were requested again and again."""
    cluster = LimitedCluster(bytes_per_s)
    routes = PublishedRoutes(2300)
    cluster.publish_routes(1, routes)
    cluster.run(6.0, STEP_S)
    published_at_s: dict[int, float] = {}
    late: list[tuple[int, str]] = []
    for version in range(2, 22):
        routes.change_one()
        cluster.publish_routes(version, routes)
        published_at_s[version] = cluster.now_s
        cluster.run(0.24, STEP_S)
        due = [
            v
            for v, at_s in published_at_s.items()
            if cluster.now_s - at_s > APPLY_LIMIT_S
        ]
        late += [
            (v, host)
            for host, in_force in cluster.versions().items()
            for v in due[-1:]
            if in_force < v
        ]
    assert late == []
    cluster.run(APPLY_LIMIT_S, STEP_S)
    assert set(cluster.versions().values()) == {21}
