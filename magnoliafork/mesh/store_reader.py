"""Reads the published state from the store."""

import asyncio
import dataclasses
import logging
import random
from collections.abc import Awaitable, Callable
from typing import TypeVar

from magnoliafork.mesh.model import StorePosition
from magnoliafork.mesh.published_store import (
    HistoryGone,
    PublishedStore,
    StoreUnavailable,
)
from magnoliafork.mesh.store_read_plan import StoreReadPlan
from magnoliafork.mesh.upstream_table import UpstreamTable
from magnoliafork.mesh.view import MeshView, ViewDelta
from magnoliafork.mesh.view_freshness import ViewFreshness
from magnoliafork.mesh.view_sync import ViewSync
from magnoliafork.observe.events import Event
from magnoliafork.observe.logs import EventLog

logger = logging.getLogger("magnoliafork")

ReadResult = TypeVar("ReadResult")

# Wait of a watch, which costs one call. A dead connection is detected that much
# later. Both times stay below the time in which a change must be in force.
WATCH_WAIT_S = 2.0
# The same while proofs are needed that the view is current: the time at which a
# watch began is the time of its proof.
PROOF_WATCH_WAIT_S = 0.5
# Era of a store that was never restored.
FIRST_ERA = 1
# Pause after a watch, so that one call returns changes in quick succession; a
# twentieth of the time in which a change must be in force.
BATCH_DELAY_S = 0.1
# Shortest pause between two reads of a node that lags and is no reader. It
# leaves the link to the answers of peers, which take far less of it.
CATCH_UP_PAUSE_S = 0.5
# Nodes that stop hearing of readers together check the store one after the
# other within this time; an answer to one of them is a sign for the others.
CHECK_SPREAD_S = 0.2
# Time that a read may take beyond its wait before other nodes read as well.
SLOW_READ_S = 0.8
# Backoff after failures, doubled up to the maximum.
MIN_BACKOFF_S = 0.1
MAX_BACKOFF_S = 1.0
# A time without an answer to any node is an outage from this length on. Entries
# expire after three missing writes, which takes longer; answers to one reader
# are up to 2.2 s apart.
MIN_OUTAGE_S = 2.8
# Time within which the last answer to a peer before an outage may seem to lie,
# since its announced age leaves out the transfer.
OUTAGE_START_S = 0.4
# How often a node that does not read the store checks whether it has to.
READER_CHECK_INTERVAL_S = 0.1


@dataclasses.dataclass(slots=True)
class StoreReadCounters:
    """Counts since the start.

    Attributes:
        reads: Reads of the store.
        catch_up_reads: Those of them that were made because this node lags.
        check_reads: Those of them that were made because this node heard of no
            other one that reads the store.
        failed: Reads without a usable answer.
        received_bytes: Values in the answers.
        longest_s: Longest time of a read that does not wait for changes.
    """

    reads: int = 0
    catch_up_reads: int = 0
    check_reads: int = 0
    failed: int = 0
    received_bytes: int = 0
    longest_s: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class _CatchUp:
    """A time in which this node reads because it lags.

    Attributes:
        begun_s: Loop time of its begin.
        reads: Value of the counter of catch-up reads at that time.
        received_bytes: Value of the counter of received bytes at that time.
    """

    begun_s: float
    reads: int
    received_bytes: int


class StoreReader:
    """Keeps the view up to date from the store.

    Reads while the view is empty, while this node is a reader, while it lags
    behind its peers, and while it hears of no node that reads.

    Attributes:
        counters: Counts of the reads.
    """

    def __init__(
        self,
        store: PublishedStore,
        view: MeshView,
        table: UpstreamTable,
        view_sync: ViewSync,
        rng: random.Random,
        clock: Callable[[], float],
        log: EventLog,
        freshness: ViewFreshness,
    ) -> None:
        """Creates a reader; `run` starts it."""
        self._store = store
        self._view = view
        self._table = table
        self._view_sync = view_sync
        self._rng = rng
        self._clock = clock
        self._log = log
        self._freshness = freshness
        self._backoff_s = MIN_BACKOFF_S
        self._is_store_unavailable = False
        self._failing_since_s = 0.0
        self._needs_full_read = False
        self._knows_recent_state = False
        self._plan = StoreReadPlan()
        self._catch_up: _CatchUp | None = None
        self._catch_up_due_s = float("-inf")
        self.counters = StoreReadCounters()

    async def run(self) -> None:
        """Reads until it is cancelled."""
        while True:
            try:
                await self._step()
            except Exception:
                # A node that reads no more would serve an old state for ever.
                logger.exception(
                    "read failed", extra={"event": Event.INTERNAL_ERROR.value}
                )
                self._needs_full_read = True
                await self._back_off()

    async def _step(self) -> None:
        self._log_catch_up()
        if self._needs_full_read or not self._view.revision:
            await self._read_all()
        elif self._view_sync.is_reader and not self._knows_recent_state:
            # A node takes over after nobody has read for seconds. The changes
            # since then may be many versions.
            await self._read_all()
        elif self._view_sync.is_reader:
            await self._read_changes(self._view_sync.missing_config_versions)
        elif self._clock() >= self._catch_up_due_s and (
            self._view_sync.is_behind or self._view_sync.hears_no_reader
        ):
            begun_s = self._clock()
            await self._read_as_follower()
            took_s = self._clock() - begun_s
            pause_s = max(CATCH_UP_PAUSE_S, took_s)
            self._catch_up_due_s = self._clock() + pause_s
        else:
            self._knows_recent_state = False
            await asyncio.sleep(READER_CHECK_INTERVAL_S)

    async def _read_as_follower(self) -> None:
        """Reads what the peers of this node do not deliver."""
        if self._view_sync.is_behind:
            missing = self._view_sync.missing_config_versions
            # Peers that are slow to deliver have not announced the newest yet.
            await self._read_changes(missing + 1 if missing else 0)
            return
        await asyncio.sleep(self._rng.uniform(0.0, CHECK_SPREAD_S))
        if not self._view_sync.hears_no_reader:
            return
        self.counters.check_reads += 1
        asked_s = self._clock()
        # Nobody tells how many versions are missing. In a storm, those of two
        # seconds are more than a slow link carries in time.
        await self._read_all()
        if self._view_sync.last_store_answer_s >= asked_s:
            # Nodes that are cut off together with this one need not read.
            self._view_sync.announce()

    async def _read_changes(self, missing_config_versions: int) -> None:
        if self._plan.wants_whole_state(
            self._view.state_bytes,
            missing_config_versions,
            self._view.config_bytes,
        ):
            await self._read_all()
        else:
            await self._watch()

    def _log_catch_up(self) -> None:
        """Logs when reading because of a lag begins and ends."""
        lags = self._view_sync.is_behind and not self._view_sync.is_reader
        if lags == (self._catch_up is not None):
            return
        counters, now_s = self.counters, self._clock()
        if self._catch_up is None:
            self._catch_up = _CatchUp(
                now_s, counters.catch_up_reads, counters.received_bytes
            )
            self._log.info(
                Event.STORE_CATCH_UP_BEGUN,
                lag_ms=int(self._view_sync.lag_s * 1000),
                view_revision=self._view.revision,
                peer_revision=self._view_sync.peer_revision,
            )
            return
        begun, self._catch_up = self._catch_up, None
        self._log.info(
            Event.STORE_CATCH_UP_ENDED,
            took_ms=int((now_s - begun.begun_s) * 1000),
            reads=counters.catch_up_reads - begun.reads,
            received_bytes=counters.received_bytes - begun.received_bytes,
            view_revision=self._view.revision,
        )

    async def _read(
        self, read: Awaitable[ReadResult], wait_s: float
    ) -> ReadResult:
        """Awaits a read; lets other nodes read as well if it takes long.

        The answer may still arrive, over a link that is slow or full.
        """
        loop = asyncio.get_running_loop()
        begun_s = self._clock()
        timer = loop.call_later(wait_s + SLOW_READ_S, self._on_slow_read)
        try:
            result = await read
        finally:
            timer.cancel()
        took_s = self._clock() - begun_s
        if took_s < wait_s + SLOW_READ_S:
            self._view_sync.reads_slowly = False
        self._count(result, took_s, wait_s)
        return result

    def _on_slow_read(self) -> None:
        if self._view_sync.reads_slowly:
            return
        self._view_sync.reads_slowly = True
        self._log.warning(
            Event.STORE_READ_SLOW, view_revision=self._view.revision
        )
        self._view_sync.announce()

    def _count(self, result: object, took_s: float, wait_s: float) -> None:
        counters = self.counters
        counters.reads += 1
        if self._catch_up is not None:
            counters.catch_up_reads += 1
        if isinstance(result, StoreUnavailable):
            counters.failed += 1
        if isinstance(result, ViewDelta):
            counters.received_bytes += sum(
                len(item.value) for item in result.items
            )
        if not wait_s:
            counters.longest_s = max(counters.longest_s, took_s)

    async def _read_all(self) -> None:
        asked_s = self._freshness.clock()
        result = await self._read(self._store.read_all(), 0.0)
        if isinstance(result, StoreUnavailable):
            await self._on_failure(result.detail)
            return
        self._on_success()
        self._needs_full_read = False
        self._knows_recent_state = True
        position = StorePosition(result.era, result.revision)
        if position < self._view.position:
            self._log.warning(
                Event.STORE_READ_IGNORED,
                era=result.era,
                revision=result.revision,
                view_era=self._view.era,
                view_revision=self._view.revision,
            )
            # The next read would find the same state.
            await self._back_off()
            return
        if self._view.revision and result.era != self._view.era:
            self._log.warning(
                Event.STORE_RESTORED,
                era=result.era,
                revision=result.revision,
                view_era=self._view.era,
                view_revision=self._view.revision,
            )
            self._plan.record_whole_state(result, 0)
        else:
            self._plan.record_whole_state(result, self._view.revision)
        self._apply(result)
        self._prove(asked_s, result)
        await asyncio.sleep(BATCH_DELAY_S)

    async def _watch(self) -> None:
        # After a failure, an answer shows at once that the store is available.
        can_wait = self._view_sync.is_reader and not self._is_store_unavailable
        wait_s = 0.0
        if can_wait and self._freshness.is_needed:
            wait_s = PROOF_WATCH_WAIT_S
        elif can_wait:
            wait_s = WATCH_WAIT_S
        era = self._view.era
        asked_s = self._freshness.clock()
        result = await self._read(
            self._store.watch(self._view.revision, wait_s), wait_s
        )
        if isinstance(result, StoreUnavailable):
            await self._on_failure(result.detail)
            return
        if isinstance(result, HistoryGone) or result.era != era:
            # A restored store may already have given the revision out again.
            self._log.warning(
                Event.STORE_HISTORY_GONE,
                era=result.era,
                view_era=era,
                view_revision=self._view.revision,
            )
            # A peer may have sent the whole state of the new era meanwhile.
            self._needs_full_read = self._view.era == era
            return
        self._on_success()
        self._plan.record_changes(result)
        self._apply(result)
        self._prove(asked_s, result)
        await asyncio.sleep(BATCH_DELAY_S)

    def _apply(self, delta: ViewDelta) -> None:
        self._backoff_s = MIN_BACKOFF_S
        self._view.apply(delta)
        self._view_sync.drop_orphaned()

    def _prove(self, asked_s: float, result: ViewDelta) -> None:
        """Records that the view was current when the store was asked.

        A store that was restored may lack a configuration that a peer knows.
        """
        position = StorePosition(result.era, result.revision)
        version = self._view.config_version
        if result.era > FIRST_ERA:
            version = max(version, self._view_sync.peer_config_version)
        self._freshness.prove(asked_s, position, version)

    def _on_success(self) -> None:
        now_s = self._clock()
        self._view_sync.last_store_answer_s = now_s
        self._view_sync.heartbeats.beat()
        if not self._is_store_unavailable:
            return
        self._is_store_unavailable = False
        answered_at_s = self._view_sync.peer_answered_at_s or now_s
        # A node without a link to the one that was answered first is told of
        # the end by others.
        told_end_s = self._table.outage_ended_after_s(self._failing_since_s)
        if told_end_s is not None:
            answered_at_s = min(answered_at_s, told_end_s)
        # It is no outage if the store answered others all the time.
        if answered_at_s - self._failing_since_s >= MIN_OUTAGE_S:
            self._table.record_outage_end(now_s - answered_at_s)
            self._view_sync.announce()
        self._log.info(Event.STORE_AVAILABLE, view_revision=self._view.revision)

    async def _on_failure(self, detail: str) -> None:
        # Until the next answer, there may be many versions.
        self._knows_recent_state = False
        if not self._is_store_unavailable:
            self._is_store_unavailable = True
            self._failing_since_s = self._view_sync.earliest_outage_start_s()
            self._view_sync.note_answers_after(
                self._failing_since_s + OUTAGE_START_S
            )
            self._view_sync.last_store_answer_s = float("-inf")
            self._view_sync.announce()
        self._log.warning(
            Event.STORE_UNAVAILABLE,
            detail=detail,
            view_revision=self._view.revision,
        )
        await self._back_off()

    async def _back_off(self) -> None:
        await asyncio.sleep(self._backoff_s * (0.5 + self._rng.random()))
        self._backoff_s = min(self._backoff_s * 2, MAX_BACKOFF_S)
