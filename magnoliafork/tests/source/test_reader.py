"""Source reader against a source in memory."""

import asyncio
import json
import random
from collections.abc import Awaitable, Callable, Mapping

from magnoliafork.model.manifest import Manifest, sha256_hex
from magnoliafork.model.version import NO_VERSION, Version
from magnoliafork.source.api import INSTANCES_KEY, MANIFEST_KEY, part_key
from magnoliafork.source.budget import ReadBudget
from magnoliafork.source.reader import (
    ListedInstance,
    SourceReader,
    parse_instances,
)
from magnoliafork.tests import virtual_time
from magnoliafork.tests.cluster.fakes import (
    FakeSource,
    contents_of,
    dozen,
    manifest_of,
    parse_manifest,
)


class Harness:
    """A reader, and the version order that its results go through."""

    def __init__(self, is_zone_reader: bool) -> None:
        self.source = FakeSource()
        self.version = NO_VERSION
        self.parts: dict[str, bytes] = {}
        self.applied: list[Version] = []
        self.errors: list[tuple[str, ...]] = []
        self.listed: tuple[ListedInstance, ...] = ()
        rng = random.Random(8)
        now_s = asyncio.get_running_loop().time()
        self.reader = SourceReader(
            self.source,
            ReadBudget(10.0, 1, rng, now_s),
            parse_manifest,
            self,
            self,
            is_zone_reader=lambda: is_zone_reader,
            fleet_size=lambda: 12,
            background_reads_per_s=1.0,
            rng=rng,
        )

    def is_wanted(self, version: Version) -> bool:
        return version > self.version

    def held_part(self, digest: str) -> bytes | None:
        return self.parts.get(digest)

    def on_source_answer(self) -> None:
        pass

    def on_publication(
        self, manifest: Manifest, parts: Mapping[str, bytes]
    ) -> None:
        assert {part.digest for part in manifest.parts} == set(parts)
        assert all(sha256_hex(parts[key]) == key for key in parts)
        self.version = manifest.version()
        self.parts = dict(parts)
        self.applied.append(self.version)

    def on_bad_manifest(self, errors: tuple[str, ...]) -> None:
        self.errors.append(errors)

    def on_instances(self, listed: tuple[ListedInstance, ...]) -> None:
        self.listed = listed


def run(
    scenario: Callable[[Harness], Awaitable[None]], is_zone_reader: bool = True
) -> Harness:
    async def main() -> Harness:
        harness = Harness(is_zone_reader)
        harness.reader.start()
        await scenario(harness)
        await harness.reader.stop()
        return harness

    return virtual_time.run(main())


def test_a_watching_node_fetches_only_the_changed_part() -> None:
    # Guards against a full set of reads for every change.
    async def scenario(harness: Harness) -> None:
        harness.source.publish(1, contents_of(1))
        await asyncio.sleep(20)
        before = harness.reader.counters.reads
        version = harness.source.publish(2, contents_of(2))
        await asyncio.sleep(0.5)
        assert harness.version == version
        assert harness.reader.counters.reads - before <= 3

    run(scenario)


def test_a_node_that_does_not_watch_still_converges() -> None:
    # Guards against an isolated node that never learns of a change.
    async def scenario(harness: Harness) -> None:
        harness.source.publish(1, contents_of(1))
        await asyncio.sleep(60)
        before = harness.reader.counters.reads
        harness.source.publish(2, contents_of(2))
        await asyncio.sleep(60)
        assert harness.version.number == 2
        assert harness.reader.counters.reads - before < 20

    run(scenario, is_zone_reader=False)


def test_a_torn_publication_is_applied_once_it_is_complete() -> None:
    # Guards against a version in force with a missing or wrong part (I3).
    async def scenario(harness: Harness) -> None:
        harness.source.publish(1, contents_of(1))
        await asyncio.sleep(10)
        contents = contents_of(2) | {"service/new": b"[1]"}
        harness.source.publish(2, contents, missing="service/new")
        await asyncio.sleep(30)
        key = part_key(sha256_hex(b"[1]"))
        harness.source.put(key, b"[2]")
        await asyncio.sleep(30)
        assert harness.version.number == 1
        assert harness.reader.counters.torn_publications > 2
        harness.source.put(key, b"[1]")
        await asyncio.sleep(9)
        assert harness.version.number == 2

    run(scenario)


def test_a_newer_version_replaces_a_torn_one() -> None:
    # Guards against a reader stuck on a version that is never completed.
    async def scenario(harness: Harness) -> None:
        harness.source.publish(1, contents_of(1), missing="operations")
        await asyncio.sleep(60)
        contents = contents_of(2) | {"operations": b"[]"}
        harness.source.publish(2, contents)
        await asyncio.sleep(9)
        assert [one.number for one in harness.applied] == [2]

    run(scenario)


def test_a_stale_and_flapping_source_takes_nothing_back() -> None:
    # Guards against a lower version from an old replica (I1).
    async def scenario(harness: Harness) -> None:
        source = harness.source
        source.publish(1, contents_of(1))
        old = dict(source.values)
        source.publish(5, contents_of(5))
        await asyncio.sleep(20)
        for second in range(60):
            source.frozen = old if second % 2 else None
            source.is_down = second % 3 == 0
            await asyncio.sleep(1)
        assert [one.number for one in harness.applied] == [5]
        source.is_down, source.frozen = False, None
        source.publish(6, contents_of(6))
        await asyncio.sleep(16)
        assert harness.version.number == 6

    run(scenario)


def test_an_hour_without_the_source_costs_few_reads() -> None:
    # Guards against a node that is stuck, or storms, after a long outage.
    async def scenario(harness: Harness) -> None:
        harness.source.publish(1, contents_of(1))
        await asyncio.sleep(20)
        harness.source.is_down = True
        await asyncio.sleep(3600)
        assert harness.version.number == 1
        # Mean delay of 4 s for the manifest and 30 s for the list.
        assert harness.reader.counters.unavailable < 3600 / 3
        harness.source.is_down = False
        harness.source.publish(2, contents_of(2))
        await asyncio.sleep(16)
        assert harness.version.number == 2

    run(scenario)


def test_two_contents_of_one_version_end_with_the_higher_digest() -> None:
    # Guards against a fleet that is split over one version number.
    async def scenario(harness: Harness) -> None:
        contents = [contents_of(n) for n in (1, 2, 3)]
        digests = [manifest_of(7, one).version().digest for one in contents]
        for one in contents:
            harness.source.publish(7, one)
            await asyncio.sleep(5)
        assert harness.version == Version(7, max(digests))
        assert sorted(harness.applied) == harness.applied

    run(scenario)


def test_a_manifest_that_cannot_be_decoded_is_reported_once() -> None:
    # Guards against one log line per read, and against a stopped reader.
    async def scenario(harness: Harness) -> None:
        harness.source.put(MANIFEST_KEY, b"{")
        await asyncio.sleep(300)
        assert len(harness.errors) == 1
        harness.source.publish(1, contents_of(1))
        await asyncio.sleep(16)
        assert harness.version.number == 1

    run(scenario)


def test_bad_rows_of_the_instance_list_are_left_out() -> None:
    # Guards against one bad row that hides the whole fleet.
    first, second = dozen()[:2]
    names = ("instance_id", "service", "zone", "region", "host", "peer_port")
    rows: list[object] = [
        {name: getattr(one, name) for name in names} | {"state": state}
        for one, state in ((first, "live"), (second, "leaving"))
    ]
    rows += [7, {"instance_id": "x"}, {**rows[0], "peer_port": 0}]  # type: ignore[dict-item]
    expected = (ListedInstance(first, False), ListedInstance(second, True))
    assert parse_instances(json.dumps(rows).encode()) == expected
    assert parse_instances(b"{}") is None
    assert parse_instances(b"\xff") is None

    async def scenario(harness: Harness) -> None:
        harness.source.put(INSTANCES_KEY, json.dumps(rows).encode())
        await asyncio.sleep(5)
        assert harness.listed == expected
        harness.source.put(INSTANCES_KEY, b"[")
        await asyncio.sleep(100)
        assert harness.listed == expected

    run(scenario)
