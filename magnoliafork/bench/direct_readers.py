"""Baseline readers that each read the configuration source directly."""

import asyncio
import random

import aiohttp

from magnoliafork.model.manifest import Manifest
from magnoliafork.model.result import Err
from magnoliafork.snapshot.assemble import parse_manifest
from magnoliafork.source.api import (
    MANIFEST_KEY,
    SourceValue,
    WatchOutcome,
    part_key,
)
from magnoliafork.source.http import HttpConfigSource
from magnoliafork.standins.source_server import SourceServer

POLL_PERIOD_S = 10.0
WATCH_WAIT_S = 30.0
TIMEOUT_S = 5.0


class DirectReader:
    """Reads manifest and parts from the source, as a node without peers."""

    def __init__(
        self, source: HttpConfigSource, is_watcher: bool, rng: random.Random
    ) -> None:
        """Creates a reader that holds no version yet."""
        self._source = source
        self._is_watcher = is_watcher
        self._rng = rng
        self._part_digests: set[str] = set()
        self._revision = 0
        self.version_number = 0
        self.received_bytes = 0

    async def run(self) -> None:
        """Reads each new version until it is cancelled."""
        outcome: WatchOutcome = await self._source.read(MANIFEST_KEY)
        while True:
            if isinstance(outcome, SourceValue):
                self._revision = outcome.revision
                self.received_bytes += len(outcome.content)
                await self._apply_manifest(outcome.content)
            if self._is_watcher:
                outcome = await self._source.watch(
                    MANIFEST_KEY, self._revision, WATCH_WAIT_S
                )
            else:
                await asyncio.sleep(POLL_PERIOD_S * self._rng.uniform(0.9, 1.1))
                outcome = await self._source.read(MANIFEST_KEY)

    async def _apply_manifest(self, content: bytes) -> None:
        parsed = parse_manifest(content)
        if isinstance(parsed, Err):
            return
        manifest = parsed.value
        if manifest.version_number <= self.version_number:
            return
        await self._fetch_missing_parts(manifest)

    async def _fetch_missing_parts(self, manifest: Manifest) -> None:
        for part in manifest.parts:
            if part.digest in self._part_digests:
                continue
            outcome = await self._source.read(part_key(part.digest))
            if not isinstance(outcome, SourceValue):
                return
            self._part_digests.add(part.digest)
            self.received_bytes += len(outcome.content)
        self.version_number = manifest.version_number


class DirectReaderFleet:
    """Readers that all start at the same time."""

    def __init__(
        self, source_url: str, reader_count: int, is_watcher: bool, seed: int
    ) -> None:
        """Creates the readers, which read nothing before `start`."""
        self._session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0)
        )
        source = HttpConfigSource(source_url, self._session, TIMEOUT_S)
        self.readers = [
            DirectReader(source, is_watcher, random.Random(seed + index))
            for index in range(reader_count)
        ]
        self._tasks: list[asyncio.Task[None]] = []

    def start(self) -> None:
        """Starts all readers."""
        self._tasks = [
            asyncio.create_task(reader.run()) for reader in self.readers
        ]

    async def stop(self) -> None:
        """Ends all readers."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self._session.close()

    def lowest_version(self) -> int:
        """Returns the lowest version number that a reader holds."""
        return min(reader.version_number for reader in self.readers)

    def received_bytes(self) -> int:
        """Returns the bytes of all values that were read."""
        return sum(reader.received_bytes for reader in self.readers)


def peak_reads(server: SourceServer) -> int:
    """Returns the reads in the busiest second since the server's start."""
    return max(server.reads_by_second(), default=0)
