"""Tests of the source reader: reads of a fleet, instance list, bundles."""

import asyncio
import dataclasses
import json
import random
from collections.abc import Mapping
from typing import Any

import pytest

from magnoliafork.model.manifest import Manifest
from magnoliafork.model.result import Ok
from magnoliafork.model.version import Version
from magnoliafork.rules.build import build
from magnoliafork.snapshot import assemble
from magnoliafork.source import api
from magnoliafork.source.budget import ReadBudget
from magnoliafork.source.reader import (
    ListedInstance,
    SourceReader,
    parse_instances,
)
from magnoliafork.tests import virtual_time
from magnoliafork.tests.cluster.fakes import (
    FakeSource,
    fleet_of,
    parse_manifest,
)
from magnoliafork.tests.cluster.history_checker import max_count_per_second

NODES = 230
# A tenth of the fleet with a tenth of its reads.
READS_PER_S = 200.0


class IgnoringListener:
    """Wants no version and ignores what the reader finds."""

    def is_wanted(self, version: Version) -> bool:
        return False

    def held_part(self, digest: str) -> bytes | None:
        return None

    def on_source_answer(self) -> None: ...

    def on_publication(
        self, manifest: Manifest, parts: Mapping[str, bytes]
    ) -> None: ...

    def on_bad_manifest(self, errors: tuple[Any, ...]) -> None: ...

    def on_instances(self, listed: tuple[ListedInstance, ...]) -> None: ...


class PartsListener(IgnoringListener):
    """Wants every version and keeps the parts of the last one."""

    parts: Mapping[str, bytes] = {}

    def is_wanted(self, version: Version) -> bool:
        return True

    def on_publication(
        self, manifest: Manifest, parts: Mapping[str, bytes]
    ) -> None:
        self.parts = parts


@pytest.mark.parametrize("paused_after_s", [1.0, 300.0])
def test_a_fleet_that_resumes_at_once_spreads_its_reads(
    paused_after_s: float,
) -> None:
    # Guards against overdue reads of all nodes in the second after a pause
    # of the whole fleet. Idle budgets hold one read each, so that there were
    # 230 reads where 200 are allowed.
    async def main() -> int:
        source, listener = FakeSource(), IgnoringListener()
        source.publish(1)
        loop = asyncio.get_running_loop()
        assert isinstance(loop, virtual_time.VirtualTimeLoop)
        readers = []
        for index in range(NODES):
            rng = random.Random(index)
            reader = SourceReader(
                source,
                ReadBudget(READS_PER_S, NODES, rng, loop.time()),
                parse_manifest,
                listener,
                listener,
                is_zone_reader=lambda: False,
                fleet_size=lambda: NODES,
                background_reads_per_s=2.0,
                rng=rng,
            )
            reader.start()
            readers.append(reader)
        await asyncio.sleep(paused_after_s)
        loop.jump(600.0)
        await asyncio.sleep(30.0)
        await asyncio.gather(*(reader.stop() for reader in readers))
        return max_count_per_second(source.read_times)

    assert virtual_time.run(main()) <= READS_PER_S


def test_bad_rows_of_the_instance_list_are_left_out() -> None:
    # Guards against one bad row that hides the whole fleet.
    first, second = fleet_of(2)
    rows: list[Any] = [
        dataclasses.asdict(first) | {"state": "live"},
        dataclasses.asdict(second) | {"state": "leaving"},
    ]
    rows += [7, {"instance_id": "x"}, rows[0] | {"peer_port": 0}]
    expected = (ListedInstance(first, False), ListedInstance(second, True))
    assert parse_instances(json.dumps(rows).encode()) == expected
    for content in (b"{}", b"\xff", b"["):
        assert parse_instances(content) is None


def test_a_node_without_parts_reads_bundles() -> None:
    # Guards against reading parts one by one, which takes minutes at the target
    # size when the whole fleet has restarted.
    async def main() -> tuple[int, int]:
        rules = "".join(
            f"service s-{n} slots=1 connections=1 # bench\n" for n in range(100)
        )
        built = build(rules, 1)
        assert isinstance(built, Ok)
        source, events = FakeSource(), PartsListener()
        source.put(api.MANIFEST_KEY, built.value.manifest.to_bytes())
        digest = built.value.manifest.version().digest
        for index, content in enumerate(built.value.bundles()):
            source.put(api.bundle_key(digest, index), content)
        rng = random.Random(1)
        reader = SourceReader(
            source,
            ReadBudget(READS_PER_S, 1, rng, 0.0),
            assemble.parse_manifest,
            events,
            events,
            is_zone_reader=lambda: True,
            fleet_size=lambda: 1,
            background_reads_per_s=2.0,
            rng=rng,
        )
        reader.start()
        await asyncio.sleep(5.0)
        await reader.stop()
        return len(events.parts), reader.counters.incomplete_publications

    assert virtual_time.run(main()) == (101, 0)
