"""Fake source, store and network in memory with faults, in virtual time."""

import asyncio
import collections
import dataclasses
import itertools
import json
import math
import random
from collections.abc import Callable, Mapping

from magnoliafork.cluster.control import ClusterControl
from magnoliafork.cluster.failure_detector import LoadHint
from magnoliafork.cluster.overlay import READERS_PER_ZONE
from magnoliafork.model.instance import Instance, Member, MemberState
from magnoliafork.model.manifest import (
    SUPPORTED_FORMATS,
    Manifest,
    PartRef,
    sha256_hex,
)
from magnoliafork.model.result import Err, Ok, Result
from magnoliafork.model.rules import RuleSet
from magnoliafork.model.snapshot import Snapshot
from magnoliafork.model.version import NO_VERSION, Version
from magnoliafork.source import api
from magnoliafork.source.budget import READER_SHARE, ReadBudget
from magnoliafork.source.reader import SourceReader
from magnoliafork.wire import codec, messages

EMPTY_RULES = RuleSet({}, (), frozenset(), frozenset(), frozenset())
BAD_PART = b'"bad"'
Contents = Mapping[str, bytes]


def contents_of(number: int) -> dict[str, bytes]:
    """Contents in which one part is different for every number."""
    changing = json.dumps({"number": number}).encode()
    return {"operations": b"{}", "routes/a": b"[]", "service/a": changing}


def snapshot_of(number: int, contents: Contents) -> Snapshot:
    refs = (
        PartRef(name, sha256_hex(content), len(content))
        for name, content in sorted(contents.items())
    )
    manifest = Manifest(1, number, tuple(refs))
    parts = {sha256_hex(content): content for content in contents.values()}
    return Snapshot(manifest.version(), manifest, parts, EMPTY_RULES)


def parse_manifest(content: bytes) -> Result[Manifest, str]:
    try:
        value = json.loads(content)
        parts = tuple(PartRef(*row) for row in value["parts"])
        manifest = Manifest(value["format"], value["version_number"], parts)
    except (ValueError, KeyError, TypeError) as error:
        return Err((str(error),))
    if manifest.format not in SUPPORTED_FORMATS:
        return Err(("unknown format",))
    return Ok(manifest)


def assemble(manifest: Manifest, parts: Contents) -> Result[Snapshot, str]:
    for part in manifest.parts:
        assert sha256_hex(parts[part.digest]) == part.digest
    if BAD_PART in parts.values():
        return Err(("bad part",))
    return Ok(Snapshot(manifest.version(), manifest, parts, EMPTY_RULES))


class FakeStore:
    """Store with the version order of the design page.

    With `allows_older` it also accepts older versions, as an injected fault.
    """

    def __init__(self, allows_older: bool = False) -> None:
        self.current: Snapshot | None = None
        self.rejected: set[Version] = set()
        self.allows_older = allows_older
        self.callbacks: list[Callable[[Snapshot], None]] = []

    @property
    def version(self) -> Version:
        return NO_VERSION if self.current is None else self.current.version

    def is_wanted(self, version: Version) -> bool:
        if self.allows_older and version != NO_VERSION:
            return version != self.version
        return version > self.version and version not in self.rejected

    def offer(self, snapshot: Snapshot, now_s: float) -> None:
        if self.is_wanted(snapshot.version):
            self.current = snapshot
            for callback in self.callbacks:
                callback(snapshot)

    def reject(self, version: Version, errors: object, now_s: float) -> None:
        self.rejected.add(version)

    def subscribe(self, callback: Callable[[Snapshot], None]) -> None:
        self.callbacks.append(callback)


class FakeSource:
    """Configuration service; serves `stale_values` instead when set."""

    def __init__(self) -> None:
        self.values: dict[str, api.SourceValue] = {}
        self.stale_values: dict[str, api.SourceValue] | None = None
        self.is_down = False
        self.read_times: list[float] = []
        self.revisions = itertools.count(1)

    def put(self, key: str, content: bytes) -> None:
        self.values[key] = api.SourceValue(content, next(self.revisions))

    def publish(
        self, number: int, contents: Contents | None = None, missing: str = ""
    ) -> Version:
        """Publishes a version; leaves out the part named as missing, if any."""
        contents = contents_of(number) if contents is None else contents
        manifest = snapshot_of(number, contents).manifest
        for part in manifest.parts:
            if part.name != missing:
                self.put(api.part_key(part.digest), contents[part.name])
        self.put(api.MANIFEST_KEY, manifest.to_bytes())
        return manifest.version()

    async def read(self, key: str) -> api.ReadOutcome:
        self.read_times.append(asyncio.get_running_loop().time())
        await asyncio.sleep(0.005)
        return self.get(key)

    def get(self, key: str) -> api.ReadOutcome:
        if self.is_down:
            return api.SourceUnavailable("down")
        values = self.values if self.stale_values is None else self.stale_values
        return values.get(key, api.SourceValueMissing())

    async def watch(
        self, key: str, after: int, wait_s: float
    ) -> api.WatchOutcome:
        self.read_times.append(asyncio.get_running_loop().time())
        for _ in range(max(1, int(wait_s / 0.1))):
            await asyncio.sleep(0.1)
            match self.get(key):
                case api.SourceUnavailable() as outcome:
                    return outcome
                case api.SourceValue() as outcome if outcome.revision > after:
                    return outcome
        return api.SourceUnchanged()


class FakeNode:
    """One node process; a restart creates a new object."""

    def __init__(self, network: "FakeNetwork", own: Instance) -> None:
        self.network = network
        self.id = own.instance_id
        self.start_number = next(network.start_numbers)
        self.targets: tuple[str, ...] = ()
        self.is_paused = False
        self.inbox: list[tuple[str, messages.ControlMessage]] = []
        self.sent_bytes = collections.Counter[str]()
        rng = random.Random(f"{network.seed}/{self.id}/{self.start_number}")
        now_s = network.now_s()
        self.store = FakeStore(network.allows_older)
        self.store.subscribe(self.record)
        self.control = ClusterControl(
            Member(own, int(now_s * 1000), MemberState.ALIVE),
            self.store,
            assemble,
            self,
            clock=network.now_s,
            rng=rng,
            load=lambda: LoadHint(0, 12),
            seed_ids=network.seed_ids,
        )
        self.reader = SourceReader(
            self,
            ReadBudget(network.source_limit, len(network.ids), rng, now_s),
            parse_manifest,
            self.control,
            self.control,
            is_zone_reader=lambda: self.control.is_zone_reader,
            reader_count=lambda: self.control.reader_share_count,
            fleet_size=lambda: self.control.fleet_size,
            background_reads_per_s=1.0,
            rng=rng,
        )
        self.reader.start()
        self.tick_task = asyncio.create_task(self.tick_loop(rng.random() / 4))

    def record(self, snapshot: Snapshot) -> None:
        self.network.history.append(
            (self.id, self.start_number, snapshot.version)
        )

    async def tick_loop(self, start_delay_s: float) -> None:
        await asyncio.sleep(start_delay_s)
        while True:
            if not self.is_paused:
                self.network.connect(self)
                self.control.tick(self.network.now_s())
            await asyncio.sleep(0.25)

    def neighbours(self) -> tuple[str, ...]:
        return tuple(sorted(self.network.links.get(self.id, ())))

    def send(self, instance_id: str, message: messages.ControlMessage) -> bool:
        kind = type(message).__name__
        self.sent_bytes[kind] += len(codec.encode(message))
        return self.network.transmit(self.id, instance_id, message)

    def set_targets(self, instance_ids: tuple[str, ...]) -> None:
        self.targets = instance_ids

    async def read(self, key: str) -> api.ReadOutcome:
        outcome = await self.network.source.read(key)
        await self.wait_while_paused()
        return outcome

    async def watch(
        self, key: str, after: int, wait_s: float
    ) -> api.WatchOutcome:
        outcome = await self.network.source.watch(key, after, wait_s)
        await self.wait_while_paused()
        return outcome

    async def wait_while_paused(self) -> None:
        while self.is_paused:
            await asyncio.sleep(0.1)

    def resume(self) -> None:
        self.is_paused = False
        inbox, self.inbox = self.inbox, []
        for sender_id, message in inbox:
            self.control.on_control(sender_id, message)

    async def kill(self) -> None:
        del self.network.nodes[self.id]
        for peer_id in self.neighbours():
            self.network.disconnect(self.id, peer_id)
        self.tick_task.cancel()
        await self.reader.stop()

    @property
    def is_joined(self) -> bool:
        return self.control.is_joined(self.network.now_s())


def worst_case_reads(fleet: list[Instance], mean: float) -> float:
    """Returns the most reads that the nodes' budgets allow in one second."""
    zones = collections.Counter(instance.zone for instance in fleet)
    readers = sum(min(READERS_PER_ZONE, size) for size in zones.values())
    base_rate = mean * (1 - READER_SHARE) / len(fleet)
    reader_rate = base_rate + mean * READER_SHARE / (
        READERS_PER_ZONE * len(zones)
    )
    others = len(fleet) - readers
    return readers * math.floor(reader_rate + 1) + others * math.floor(
        base_rate + 1
    )


class FakeNetwork:
    """Nodes, links between them, and the source."""

    def __init__(
        self, count: int = 12, seed: int = 1, allows_older: bool = False
    ) -> None:
        self.seed = seed
        self.allows_older = allows_older
        self.rng = random.Random(seed)
        self.source = FakeSource()
        self.fleet = fleet_of(count)
        self.ids = [instance.instance_id for instance in self.fleet]
        # Leaves each node a mean of 1.8 reads/s after the budget's margin. A
        # token bucket that holds one read allows at most rate + 1 reads in any
        # second.
        mean = 1.8 * count
        self.source_limit = mean + 5 * math.sqrt(mean)
        self.reads_per_s = min(
            worst_case_reads(self.fleet, mean), self.source_limit
        )
        self.seed_ids = tuple(self.ids[:2])
        self.nodes: dict[str, FakeNode] = {}
        self.links: dict[str, set[str]] = {}
        self.history: list[tuple[str, int, Version]] = []
        self.start_numbers = itertools.count(1)
        # Side of the partition by instance id; unlisted ids are on side 0.
        self.sides: dict[str, int] = {}
        self.blocked_pairs: set[frozenset[str]] = set()
        self.loss = self.duplication = self.reordering = 0.0
        rows = [
            dataclasses.asdict(instance) | {"state": ""}
            for instance in self.fleet
        ]
        self.source.put(api.INSTANCES_KEY, json.dumps(rows).encode())

    def now_s(self) -> float:
        return asyncio.get_running_loop().time()

    def start_missing_nodes(self) -> None:
        for instance in self.fleet:
            if instance.instance_id not in self.nodes:
                self.nodes[instance.instance_id] = FakeNode(self, instance)

    async def kill_all(self) -> None:
        for node in list(self.nodes.values()):
            await node.kill()

    def can_reach(self, first: str, second: str) -> bool:
        is_same_side = self.sides.get(first, 0) == self.sides.get(second, 0)
        return (
            is_same_side
            and frozenset((first, second)) not in self.blocked_pairs
        )

    def connect(self, node: FakeNode) -> None:
        """Opens missing links of a node, closes those neither end wants."""
        for peer_id in node.targets:
            peer = self.nodes.get(peer_id)
            is_linked = peer_id in self.links.setdefault(node.id, set())
            if peer is None or peer.is_paused or is_linked:
                continue
            if self.can_reach(node.id, peer_id):
                self.links[node.id].add(peer_id)
                self.links.setdefault(peer_id, set()).add(node.id)
                node.control.on_link_up(hello_of(peer))
                peer.control.on_link_up(hello_of(node))
        for peer_id in node.neighbours():
            is_wanted = node.id in self.nodes[peer_id].targets
            if not is_wanted and peer_id not in node.targets:
                self.disconnect(node.id, peer_id)

    def disconnect(self, first: str, second: str) -> None:
        for node_id, peer_id in ((first, second), (second, first)):
            self.links[node_id].discard(peer_id)
        for node_id, peer_id in ((first, second), (second, first)):
            if node_id in self.nodes:
                self.nodes[node_id].control.on_link_down(peer_id)

    def transmit(
        self, sender: str, receiver: str, message: messages.ControlMessage
    ) -> bool:
        if receiver not in self.links.get(sender, ()):
            return False
        for _ in range(1 + (self.rng.random() < self.duplication)):
            delay_s = 0.001
            if self.rng.random() < self.reordering:
                delay_s += self.rng.uniform(0, 3)
            if self.rng.random() >= self.loss:
                asyncio.get_running_loop().call_later(
                    delay_s, self.deliver, sender, receiver, message
                )
        return True

    def deliver(
        self, sender: str, receiver: str, message: messages.ControlMessage
    ) -> None:
        node = self.nodes.get(receiver)
        is_linked = sender in self.links.get(receiver, ())
        if (
            node is None
            or not is_linked
            or not self.can_reach(sender, receiver)
        ):
            return
        if node.is_paused:
            node.inbox.append((sender, message))
        else:
            node.control.on_control(sender, message)

    def versions(self) -> set[Version]:
        return {node.store.version for node in self.nodes.values()}

    def states(self, instance_id: str) -> set[str]:
        """States of an instance in the tables of all other nodes."""
        members = [
            node.control.table.get(instance_id)
            for node in self.nodes.values()
            if node.id != instance_id
        ]
        return {member.state.name for member in members if member is not None}


def hello_of(node: FakeNode) -> messages.Hello:
    version = (node.store.version.number, node.store.version.digest)
    incarnation = node.control.incarnation
    return messages.Hello(1, node.id, incarnation, 1, *version, "control")


def fleet_of(count: int, zones: int = 3) -> list[Instance]:
    return [
        Instance(f"a-{i:04}", "a", f"zone-{i % zones}", "r", "::1", 7000 + i)
        for i in range(count)
    ]
