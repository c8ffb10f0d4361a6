"""Reads the published state from the store."""

import asyncio
import random
from collections.abc import Callable

from magnoliafork.mesh.published_store import (
    HistoryGone,
    PublishedStore,
    StoreUnavailable,
)
from magnoliafork.mesh.upstream_table import UpstreamTable
from magnoliafork.mesh.view import MeshView
from magnoliafork.mesh.view_sync import ViewSync
from magnoliafork.observe.events import Event
from magnoliafork.observe.logs import EventLog

# A watch that waits costs one call; a silent connection is found this much
# later. Both stay below the time in which a change must be in force.
WATCH_WAIT_S = 2.0
# Changes that follow each other closely come with one call; a twentieth of the
# time in which a change must be in force.
GATHER_S = 0.1
# Pauses after failures, doubled up to the second value.
FIRST_PAUSE_S = 0.1
MOST_PAUSE_S = 1.0
# How often a node that does not read looks whether it has to.
IDLE_CHECK_S = 0.1


class StoreReader:
    """Keeps the view up to date while this node is a reader."""

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
        """Creates a reader that does not run yet."""
        self._store = store
        self._view = view
        self._table = table
        self._view_sync = view_sync
        self._rng = rng
        self._clock = clock
        self._log = log
        self._pause_s = FIRST_PAUSE_S
        self._is_away = False
        self._must_refresh = False

    async def run(self) -> None:
        """Reads until it is cancelled."""
        while True:
            if self._must_refresh or not self._view.revision:
                await self._refresh()
            elif self._view_sync.is_reader or self._view_sync.is_behind:
                await self._watch()
            else:
                await asyncio.sleep(IDLE_CHECK_S)

    async def _refresh(self) -> None:
        result = await self._store.read_all()
        if isinstance(result, StoreUnavailable):
            await self._fail(result.detail)
            return
        self._succeed()
        self._must_refresh = False
        self._view.apply(result)

    async def _watch(self) -> None:
        wait_s = WATCH_WAIT_S if self._view_sync.is_reader else 0.0
        result = await self._store.watch(self._view.revision, wait_s)
        if isinstance(result, HistoryGone):
            self._must_refresh = True
            return
        if isinstance(result, StoreUnavailable):
            await self._fail(result.detail)
            return
        self._succeed()
        self._view.apply(result)
        await asyncio.sleep(GATHER_S)

    def _succeed(self) -> None:
        if self._is_away:
            self._is_away = False
            self._table.note_outage_ended(0.0)
            self._log.info(
                Event.STORE_AVAILABLE, view_revision=self._view.revision
            )
        self._pause_s = FIRST_PAUSE_S
        self._view_sync.last_store_answer_s = self._clock()

    async def _fail(self, detail: str) -> None:
        if not self._is_away:
            self._is_away = True
            self._table.note_outage()
            self._view_sync.last_store_answer_s = float("-inf")
            self._view_sync.announce()
        self._log.warning(
            Event.STORE_UNAVAILABLE,
            detail=detail,
            view_revision=self._view.revision,
        )
        await asyncio.sleep(self._pause_s * (0.5 + self._rng.random()))
        self._pause_s = min(self._pause_s * 2, MOST_PAUSE_S)
