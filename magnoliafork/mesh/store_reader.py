"""Reads the published state from the store."""

import asyncio
import logging
import random
from collections.abc import Callable

from magnoliafork.mesh.model import StorePosition
from magnoliafork.mesh.published_store import (
    HistoryGone,
    PublishedStore,
    StoreUnavailable,
)
from magnoliafork.mesh.upstream_table import UpstreamTable
from magnoliafork.mesh.view import MeshView, ViewDelta
from magnoliafork.mesh.view_sync import ViewSync
from magnoliafork.observe.events import Event
from magnoliafork.observe.logs import EventLog

logger = logging.getLogger("magnoliafork")

# Wait of a watch, which costs one call. A dead connection is detected that much
# later. Both times stay below the time in which a change must be in force.
WATCH_WAIT_S = 2.0
# Pause after a watch, so that one call returns changes in quick succession; a
# twentieth of the time in which a change must be in force.
BATCH_DELAY_S = 0.1
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


class StoreReader:
    """Keeps the view up to date from the store.

    Reads while the view is empty, while this node is a reader, and while it
    lags behind its peers.
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
    ) -> None:
        """Creates a reader; `run` starts it."""
        self._store = store
        self._view = view
        self._table = table
        self._view_sync = view_sync
        self._rng = rng
        self._clock = clock
        self._log = log
        self._backoff_s = MIN_BACKOFF_S
        self._is_store_unavailable = False
        self._failing_since_s = 0.0
        self._needs_full_read = False
        self.call_count = 0

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
        if self._needs_full_read or not self._view.revision:
            await self._read_all()
        elif self._view_sync.is_reader or self._view_sync.is_behind:
            await self._watch()
        else:
            await asyncio.sleep(READER_CHECK_INTERVAL_S)

    async def _read_all(self) -> None:
        self.call_count += 1
        result = await self._store.read_all()
        if isinstance(result, StoreUnavailable):
            await self._on_failure(result.detail)
            return
        self._on_success()
        self._needs_full_read = False
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
        self._apply(result)

    async def _watch(self) -> None:
        # After a failure, an answer shows at once that the store is available.
        can_wait = self._view_sync.is_reader and not self._is_store_unavailable
        wait_s = WATCH_WAIT_S if can_wait else 0.0
        self.call_count += 1
        era = self._view.era
        result = await self._store.watch(self._view.revision, wait_s)
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
        self._apply(result)
        await asyncio.sleep(BATCH_DELAY_S)

    def _apply(self, delta: ViewDelta) -> None:
        self._backoff_s = MIN_BACKOFF_S
        self._view.apply(delta)

    def _on_success(self) -> None:
        now_s = self._clock()
        self._view_sync.last_store_answer_s = now_s
        if not self._is_store_unavailable:
            return
        self._is_store_unavailable = False
        answered_at_s = self._view_sync.peer_answered_at_s or now_s
        # It is no outage if the store answered others all the time.
        if answered_at_s - self._failing_since_s >= MIN_OUTAGE_S:
            self._table.record_outage_end(now_s - answered_at_s)
            self._view_sync.announce()
        self._log.info(Event.STORE_AVAILABLE, view_revision=self._view.revision)

    async def _on_failure(self, detail: str) -> None:
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
