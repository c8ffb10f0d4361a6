"""Nodes tell entries that expire in a store outage from removed ones."""

import asyncio
import json
from collections.abc import Awaitable, Callable, Sequence

import pytest

from magnoliafork.mesh.published_store import HistoryGone
from magnoliafork.mesh.store_reader import MAX_BACKOFF_S
from magnoliafork.mesh.view import Change, ViewDelta
from magnoliafork.observe.events import Event
from magnoliafork.tests.mesh import store_fleet
from magnoliafork.tests.mesh.store_fleet import (
    DRAIN_TIMEOUT_S,
    REWRITE_S,
    Fleet,
)
from magnoliafork.tests.mesh.test_view_sync_bandwidth import PublishedRoutes
from magnoliafork.wire.messages import ViewAnnounce

HOSTS = ("x0", "x1", "x2", "y0", "y1", "y2")
STEP_S = 0.05
READ_S = 0.004


def run(test: Callable[[Fleet], Awaitable[None]], seed: int) -> None:
    store_fleet.run(test, seed, HOSTS)


seeds = pytest.mark.parametrize("seed", [0, 3, 4, 7])


@seeds
@pytest.mark.parametrize("refused", HOSTS)
def test_removed_upstream_gets_no_requests_after_one_node_was_refused(
    refused: str, seed: int
) -> None:
    """A refusal of one node counted as an outage of the store at all nodes."""

    async def test(fleet: Fleet) -> None:
        fleet.store.refused = {refused}
        await asyncio.sleep(9 + seed / 8)
        fleet.store.refused = set()
        for _ in range(40):
            await asyncio.sleep(STEP_S)
            if fleet.nodes[refused].view_sync.has_store_access(refused):
                break
        await asyncio.sleep(0.13)
        fleet.store.withdraw("x1")
        await asyncio.sleep(0.5)
        assert fleet.users_of("x1") == []

    run(test, seed)


@seeds
def test_removed_upstream_gets_no_requests_after_the_drain_timeout(
    seed: int,
) -> None:
    """An upstream may end its process that long after its removal."""

    async def test(fleet: Fleet) -> None:
        fleet.store.refused = set(HOSTS)
        await asyncio.sleep(9)
        fleet.store.refused = set()
        async with asyncio.timeout(2 * MAX_BACKOFF_S):
            while not any(
                node.view_sync.has_store_access(host)
                for host, node in fleet.nodes.items()
            ):
                await asyncio.sleep(STEP_S / 5)
        # What is removed earlier may have expired in the outage.
        await asyncio.sleep(0.35 + seed / 32)
        fleet.store.withdraw("x1")
        await asyncio.sleep(DRAIN_TIMEOUT_S)
        assert fleet.users_of("x1") == []

    run(test, seed)


@seeds
def test_end_of_an_outage_is_noticed_without_a_change(seed: int) -> None:
    """A watch that waits for changes delays the news by two seconds."""

    async def test(fleet: Fleet) -> None:
        fleet.store.refused = set(HOSTS)
        await asyncio.sleep(9)
        fleet.store.refused = set()
        await asyncio.sleep(1.5 * MAX_BACKOFF_S + STEP_S)
        assert any(
            node.view_sync.has_store_access(host)
            for host, node in fleet.nodes.items()
        )

    run(test, seed)


@seeds
def test_entry_that_expires_in_an_outage_stays_in_use(seed: int) -> None:
    """A service had no upstream for two seconds after an outage."""

    async def test(fleet: Fleet) -> None:
        fleet.store.refused = set(HOSTS)
        await asyncio.sleep(9)
        fleet.store.withdraw("x1")
        fleet.store.refused = set()
        for _ in range(round(REWRITE_S / STEP_S)):
            assert sorted(fleet.users_of("x1")) == sorted(HOSTS)
            await asyncio.sleep(STEP_S)
        fleet.store.announce("x1")
        await asyncio.sleep(1)
        assert sorted(fleet.users_of("x1")) == sorted(HOSTS)

    run(test, seed)


@seeds
def test_entry_that_is_not_written_again_is_dropped(seed: int) -> None:
    """Requests went to upstreams that were lost during an outage."""

    async def test(fleet: Fleet) -> None:
        fleet.store.refused = set(HOSTS)
        await asyncio.sleep(9)
        fleet.store.withdraw("x1")
        fleet.store.refused = set()
        await asyncio.sleep(2 * REWRITE_S + 1)
        assert fleet.users_of("x1") == []

    run(test, seed)


class EarlierCopy:
    """A store that answers from a state before the view; `PublishedStore`."""

    def __init__(self, revision: int, era: int) -> None:
        self._state = ViewDelta(0, revision, (), era)
        self.call_count = 0

    async def read_all(self) -> ViewDelta:
        self.call_count += 1
        await asyncio.sleep(READ_S)
        return self._state

    async def watch(self, after_revision: int, wait_s: float) -> HistoryGone:
        del after_revision, wait_s
        self.call_count += 1
        await asyncio.sleep(READ_S)
        return HistoryGone(self._state.era)


@pytest.mark.parametrize(("revision", "era"), [(9, 2), (20, 1)])
def test_store_that_is_behind_the_view_is_not_read_without_pause(
    revision: int, era: int
) -> None:
    """A reader made 125 calls a second that led nowhere."""

    async def test(fleet: Fleet) -> None:
        node = fleet.nodes["x0"]
        node.view.apply(ViewDelta(0, 10, (), era=2))
        store = EarlierCopy(revision, era)
        node.reader._store = store
        await asyncio.sleep(10.0)
        # Two calls for each pause of half the longest one or more.
        assert store.call_count <= 2 * (10.0 / (MAX_BACKOFF_S / 2) + 5)

    run(test, 0)


def test_reader_goes_on_after_an_unforeseen_error() -> None:
    """One error in a handler of changes ended the reading of a node."""

    async def test(fleet: Fleet) -> None:
        (first, *_) = fleet.default_readers()
        node = fleet.nodes[first]
        errors = [RuntimeError("not foreseen")]

        def fail_once(_: Sequence[Change]) -> None:
            if errors:
                raise errors.pop()

        node.view.subscribe(fail_once)
        fleet.store.configure(2)
        await asyncio.sleep(3)
        fleet.store.configure(3)
        await asyncio.sleep(3)
        assert not errors
        assert not fleet.tasks[first].done()
        assert node.view.config_version == 3
        assert node.view_sync.has_store_access(first)

    run(test, 0)


def test_reads_of_a_node_that_lags_are_logged_and_counted() -> None:
    """Nothing told that most nodes read the store beside the readers."""

    async def test(fleet: Fleet) -> None:
        readers = fleet.default_readers()
        node = next(n for h, n in fleet.nodes.items() if h not in readers)
        peer = next(h for h in node.peers if h not in readers)
        fleet.kill(peer)
        missing = node.view.revision + 5
        node.view_sync.on_control(peer, ViewAnnounce(missing, 0, 3_600_000))
        await asyncio.sleep(0.85)
        node.view_sync.on_link_down(peer)
        await asyncio.sleep(1.5)
        lines = [
            json.loads(line) for line in node.log_output.getvalue().splitlines()
        ]
        (begun,) = (
            e for e in lines if e["event"] == Event.STORE_CATCH_UP_BEGUN
        )
        (ended,) = (
            e for e in lines if e["event"] == Event.STORE_CATCH_UP_ENDED
        )
        assert begun["lag_ms"] >= 700
        assert begun["peer_revision"] == missing
        assert 1 <= ended["reads"] <= node.reader.counters.catch_up_reads

    run(test, 0)


def test_reader_reads_the_whole_state_after_an_outage() -> None:
    """It fetched each version of that time, which took seconds."""

    async def test(fleet: Fleet) -> None:
        host = fleet.default_readers()[0]
        fleet.kill(*(other for other in HOSTS if other != host))
        node, counters = fleet.nodes[host], fleet.nodes[host].reader.counters
        fleet.store.refused = {host}
        await asyncio.sleep(3.0)
        routes = PublishedRoutes(100)
        for version in range(2, 30):
            fleet.store.publish(version, routes.value(version))
        before = counters.received_bytes
        fleet.store.refused = set()
        await asyncio.sleep(3.0)
        assert node.view.config_version == 29
        received_bytes = counters.received_bytes - before
        # One read, and a second one in case that changes go on as quickly.
        assert received_bytes <= 2 * node.view.state_bytes

    run(test, 0)
