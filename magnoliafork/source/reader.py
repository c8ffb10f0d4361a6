"""Reads the configuration and the instance list from the source."""

import asyncio
import dataclasses
import json
import random
from collections.abc import Callable, Mapping
from typing import Any, Protocol

from magnoliafork.model.bundle import unpack
from magnoliafork.model.instance import Instance, MemberState
from magnoliafork.model.manifest import Manifest, sha256_hex
from magnoliafork.model.result import Err, Result
from magnoliafork.model.version import Version
from magnoliafork.source.api import (
    INSTANCES_KEY,
    MANIFEST_KEY,
    ConfigSource,
    SourceUnavailable,
    SourceUnchanged,
    SourceValue,
    SourceValueMissing,
    WatchOutcome,
    bundle_key,
    part_key,
)
from magnoliafork.source.budget import Backoff, ReadBudget

WATCH_WAIT_S = 30.0
BACKOFF_BASE_S = 1.0
# Half of the 16 s within which a version must be in force on all nodes. Only
# zone readers retry that often; other nodes get versions from their peers.
READER_BACKOFF_CAP_S = 8.0
BACKOFF_CAP_S = 60.0
# Small fleets would otherwise read several times a second.
MIN_BACKGROUND_PERIOD_S = 10.0
MIN_INSTANCES_PERIOD_S = 30.0
# At 2,300 instances the list has about 400 KB; a node may use 3 KB/s for all
# of its control traffic.
INSTANCES_BYTES_PER_S = 400.0
# Longest time until a node that becomes a zone reader starts its watch.
_ROLE_CHECK_PERIOD_S = 1.0
# Fewer missing parts are read one by one, because a bundle has up to 500 KB.
BUNDLE_MIN_PARTS = 8
# Enough for all parts together, which have at most 8 MB.
MAX_BUNDLES = 17
# A shorter watch would use up a read and end without a change.
_MIN_WATCH_WAIT_S = 1.0
# A timer that fires later than this shows that the process was paused.
_PAUSE_THRESHOLD_S = 3.0
_TEXT_FIELDS = ("instance_id", "service", "zone", "region", "host")

# The error type belongs to the snapshot package. A manifest whose part names
# are not strictly ascending must be an error: peers that apply a delta sort the
# names, so the digest of their manifest would differ.
ParseManifest = Callable[[bytes], Result[Manifest, Any]]


@dataclasses.dataclass(frozen=True, slots=True)
class ListedInstance:
    """One instance of the platform's list.

    Attributes:
        instance: The instance.
        is_leaving: Whether the platform is removing the instance.
    """

    instance: Instance
    is_leaving: bool


class SourceEvents(Protocol):
    """Receives what a `SourceReader` finds."""

    def on_source_answer(self) -> None:
        """The source answered a read, whatever the content."""
        ...

    def on_publication(
        self, manifest: Manifest, parts: Mapping[str, bytes]
    ) -> None:
        """A wanted version is complete; every part matches its digest."""
        ...

    def on_bad_manifest(self, errors: tuple[Any, ...]) -> None:
        """The manifest cannot be decoded; reported once per content."""
        ...

    def on_instances(self, listed: tuple[ListedInstance, ...]) -> None:
        """The platform's instance list was read."""
        ...


class VersionFilter(Protocol):
    """Tells which versions to fetch and which parts the node already has."""

    def is_wanted(self, version: Version) -> bool:
        """Whether the version is above the one in force and not rejected."""
        ...

    def held_part(self, digest: str) -> bytes | None:
        """Returns a part that need not be fetched, or None."""
        ...


@dataclasses.dataclass(slots=True)
class ReaderCounters:
    """Numbers of events, for metrics and logs."""

    reads: int = 0
    failed_reads: int = 0
    unwanted_versions: int = 0
    incomplete_publications: int = 0
    publications: int = 0
    bad_manifests: int = 0
    bad_instance_lists: int = 0


class SourceReader:
    """Reads the manifest and the instance list in one task each.

    A zone reader, one of the nodes that read for their zone, watches the
    manifest. Every node also reads it in the background at a low rate. This
    finds changes that a watch misses when the source's revisions have gone
    back, and lets a node without peers converge.
    """

    def __init__(
        self,
        source: ConfigSource,
        budget: ReadBudget,
        parse_manifest: ParseManifest,
        versions: VersionFilter,
        events: SourceEvents,
        *,
        is_zone_reader: Callable[[], bool],
        reader_count: Callable[[], int] = lambda: 0,
        fleet_size: Callable[[], int],
        background_reads_per_s: float,
        rng: random.Random,
    ) -> None:
        """Creates a reader that does nothing before `start`.

        Args:
            source: The configuration service.
            budget: Limits the rate of reads and watches.
            parse_manifest: Decodes and checks a manifest.
            versions: Tells which versions and parts to fetch.
            events: Receives the results.
            is_zone_reader: Whether this node watches for its zone now.
            reader_count: Number of zone readers if this node is one, else 0.
            fleet_size: Number of known instances.
            background_reads_per_s: Rate of the whole fleet's background reads.
            rng: Random generator for the jitter.
        """
        self.counters = ReaderCounters()
        self._source = source
        self._budget = budget
        self._parse_manifest = parse_manifest
        self._versions = versions
        self._events = events
        self._is_zone_reader = is_zone_reader
        self._reader_count = reader_count
        self._fleet_size = fleet_size
        self._background_reads_per_s = background_reads_per_s
        self._rng = rng
        self._backoff = Backoff(BACKOFF_BASE_S, rng)
        self._tasks: list[asyncio.Task[None]] = []
        self._revision = 0
        self._background_due_s = 0.0
        self._bad_manifest_digest = ""
        self._fetched_parts: dict[str, bytes] = {}

    def start(self) -> None:
        """Starts the reading tasks in the running loop."""
        if self._tasks:
            return
        self._tasks = [
            asyncio.create_task(self._manifest_loop()),
            asyncio.create_task(self._instances_loop()),
        ]
        for task in self._tasks:
            task.add_done_callback(_report_failure)

    async def stop(self) -> None:
        """Ends the reading tasks and waits for them."""
        tasks, self._tasks = self._tasks, []
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _manifest_loop(self) -> None:
        outcome = await self._read_manifest()
        while True:
            if await self._process_manifest_outcome(outcome):
                self._backoff.reset()
                outcome = await self._wait_for_manifest()
            else:
                cap_s = BACKOFF_CAP_S
                if self._is_zone_reader():
                    cap_s = READER_BACKOFF_CAP_S
                delay_s = self._backoff.next_delay_s(cap_s)
                await self._sleep(delay_s, self._background_period_s())
                outcome = await self._read_manifest()

    async def _process_manifest_outcome(self, outcome: WatchOutcome) -> bool:
        """Processes a manifest; false means to read it again after a delay."""
        if isinstance(outcome, SourceUnchanged):
            return True
        if isinstance(outcome, SourceUnavailable):
            return False
        if isinstance(outcome, SourceValueMissing):
            self._revision = 0
            return False
        self._revision = outcome.revision
        return await self._process_manifest(outcome.content)

    async def _wait_for_manifest(self) -> WatchOutcome:
        """Waits for a change or until the background read is due."""
        while True:
            left_s = self._background_due_s - _now_s()
            if left_s <= 0:
                return await self._read_manifest()
            if self._is_zone_reader():
                return await self._watch_manifest(min(left_s, WATCH_WAIT_S))
            step_s = min(left_s, _ROLE_CHECK_PERIOD_S)
            await self._sleep(step_s, self._background_period_s())

    async def _read_manifest(self) -> WatchOutcome:
        outcome = await self._read(MANIFEST_KEY)
        period_s = self._background_period_s()
        self._background_due_s = _now_s() + self._rng.uniform(0, 2 * period_s)
        return outcome

    async def _watch_manifest(self, wait_s: float) -> WatchOutcome:
        await self._wait_for_budget()
        outcome = await self._source.watch(
            MANIFEST_KEY, self._revision, max(_MIN_WATCH_WAIT_S, wait_s)
        )
        self._count_read(outcome)
        return outcome

    def _background_period_s(self) -> float:
        period_s = self._fleet_size() / self._background_reads_per_s
        return max(MIN_BACKGROUND_PERIOD_S, period_s)

    async def _process_manifest(self, content: bytes) -> bool:
        """Fetches the parts of a wanted version; false if it is incomplete."""
        parsed = self._parse_manifest(content)
        if isinstance(parsed, Err):
            self._report_bad_manifest(content, parsed.errors)
            return True
        manifest = parsed.value
        version = manifest.version()
        if not self._versions.is_wanted(version):
            self.counters.unwanted_versions += 1
            self._fetched_parts = {}
            return True
        parts = await self._fetch_parts(manifest)
        if not self._versions.is_wanted(version):
            # A peer delivered this version or a newer one in the meantime.
            self._fetched_parts = {}
            return True
        if parts is None:
            self.counters.incomplete_publications += 1
            return False
        self._fetched_parts = {}
        self.counters.publications += 1
        self._events.on_publication(manifest, parts)
        return True

    def _report_bad_manifest(
        self, content: bytes, errors: tuple[Any, ...]
    ) -> None:
        digest = sha256_hex(content)
        if digest == self._bad_manifest_digest:
            return
        self._bad_manifest_digest = digest
        self.counters.bad_manifests += 1
        self._events.on_bad_manifest(errors)

    async def _fetch_parts(self, manifest: Manifest) -> dict[str, bytes] | None:
        """Returns all parts by digest, or None.

        None means that a part is missing or damaged, or that the version is no
        longer wanted.
        """
        wanted = {part.digest for part in manifest.parts}
        self._fetched_parts = {
            digest: content
            for digest, content in self._fetched_parts.items()
            if digest in wanted
        }
        version = manifest.version()
        await self._fetch_bundles(version, wanted)
        parts: dict[str, bytes] = {}
        for digest in sorted(wanted):
            if not self._versions.is_wanted(version):
                return None
            content = await self._get_part(digest)
            if content is None:
                return None
            parts[digest] = content
        return parts

    async def _fetch_bundles(self, version: Version, wanted: set[str]) -> None:
        """Reads bundles as long as many parts are missing."""
        for index in range(MAX_BUNDLES):
            missing = [
                digest for digest in wanted if self._local_part(digest) is None
            ]
            if len(missing) < BUNDLE_MIN_PARTS:
                return
            if not self._versions.is_wanted(version):
                return
            outcome = await self._read(bundle_key(version.digest, index))
            if not isinstance(outcome, SourceValue):
                return
            for digest, content in unpack(outcome.content).items():
                if digest in wanted:
                    self._fetched_parts[digest] = content

    def _local_part(self, digest: str) -> bytes | None:
        held = self._versions.held_part(digest)
        return self._fetched_parts.get(digest) if held is None else held

    async def _get_part(self, digest: str) -> bytes | None:
        held = self._local_part(digest)
        if held is not None:
            return held
        outcome = await self._read(part_key(digest))
        if not isinstance(outcome, SourceValue):
            return None
        if sha256_hex(outcome.content) != digest:
            return None
        self._fetched_parts[digest] = outcome.content
        return outcome.content

    async def _instances_loop(self) -> None:
        backoff = Backoff(BACKOFF_BASE_S, self._rng)
        while True:
            outcome = await self._read(INSTANCES_KEY)
            if isinstance(outcome, SourceValue):
                backoff.reset()
                self._process_instances(outcome.content)
                period_s = self._instances_period_s(len(outcome.content))
                delay_s = self._rng.uniform(0.5, 1.5) * period_s
            else:
                delay_s = backoff.next_delay_s(BACKOFF_CAP_S)
            await self._sleep(delay_s, self._background_period_s())

    def _instances_period_s(self, size_bytes: int) -> float:
        return max(
            MIN_INSTANCES_PERIOD_S,
            self._background_period_s(),
            size_bytes / INSTANCES_BYTES_PER_S,
        )

    def _process_instances(self, content: bytes) -> None:
        listed = parse_instances(content)
        if listed is None:
            self.counters.bad_instance_lists += 1
            return
        self._events.on_instances(listed)

    async def _read(self, key: str) -> WatchOutcome:
        await self._wait_for_budget()
        outcome = await self._source.read(key)
        self._count_read(outcome)
        return outcome

    async def _wait_for_budget(self) -> None:
        while True:
            now_s = _now_s()
            self._budget.set_fleet_size(
                self._fleet_size(), now_s, self._reader_count()
            )
            wait_s = self._budget.take(now_s)
            if wait_s == 0:
                return
            await self._sleep(wait_s, 2 / self._budget.rate_per_s)

    async def _sleep(self, delay_s: float, max_extra_delay_s: float) -> None:
        """Waits, and adds a random delay if the process was paused meanwhile.

        After a pause of many nodes, all their reads are overdue and all
        budgets are full; the extra delay spreads the reads again.
        """
        due_s = _now_s() + delay_s
        await asyncio.sleep(delay_s)
        if _now_s() - due_s <= _PAUSE_THRESHOLD_S:
            return
        if self._is_zone_reader():
            max_extra_delay_s = min(max_extra_delay_s, READER_BACKOFF_CAP_S)
        await asyncio.sleep(self._rng.uniform(0, max_extra_delay_s))

    def _count_read(self, outcome: WatchOutcome) -> None:
        self.counters.reads += 1
        if isinstance(outcome, SourceUnavailable):
            self.counters.failed_reads += 1
            return
        self._events.on_source_answer()


def parse_instances(content: bytes) -> tuple[ListedInstance, ...] | None:
    """Decodes the platform's instance list.

    Entries that lack a field are left out, so that one bad entry does not
    hide the others.

    Returns:
        The instances, or None when the value is not a JSON list.
    """
    try:
        rows = json.loads(content)
    except ValueError:
        return None
    if not isinstance(rows, list):
        return None
    parsed = (_parse_row(row) for row in rows)
    return tuple(row for row in parsed if row is not None)


def _parse_row(row: object) -> ListedInstance | None:
    if not isinstance(row, dict):
        return None
    texts = [row.get(name) for name in _TEXT_FIELDS]
    port = row.get("peer_port")
    if not all(isinstance(text, str) and text for text in texts):
        return None
    if not isinstance(port, int) or not 0 < port < 65_536:
        return None
    instance_id, service, zone, region, host = map(str, texts)
    instance = Instance(instance_id, service, zone, region, host, port)
    state = str(row.get("state", "")).upper()
    return ListedInstance(instance, state == MemberState.LEAVING.name)


def _report_failure(task: asyncio.Task[None]) -> None:
    """Reports an unexpected exception, which would otherwise be lost."""
    if task.cancelled():
        return
    task.get_loop().call_exception_handler(
        {
            "message": "source reader task failed",
            "exception": task.exception(),
            "task": task,
        }
    )


def _now_s() -> float:
    return asyncio.get_running_loop().time()
