"""Nodes follow a store that is restored from older copies of its state."""

import asyncio
import random

import pytest

from magnoliafork.tests.mesh import store_fleet
from magnoliafork.tests.mesh.store_fleet import Fleet, Node

HOSTS = tuple(f"{zone}{number}" for zone in "xyz" for number in range(3))
STEP_S = 0.05
# A change is in force within this time, also after a restore.
CHANGE_S = 2.0
# Time in which a refused node or a restarted one follows.
CATCH_UP_S = 4.0


class Operator:
    """Changes the store, and writes again what a restore has lost.

    Attributes:
        version: Newest version of the configuration.
        out_since_s: When upstreams began to drain or were removed, by host.
    """

    def __init__(self, fleet: Fleet, rng: random.Random) -> None:
        self._store = fleet.store
        self._rng = rng
        self._drained: set[str] = set()
        self._removed: set[str] = set()
        self.version = 1
        self.out_since_s: dict[str, float] = {}

    @property
    def ready(self) -> list[str]:
        return [h for h in HOSTS if h not in self._drained | self._removed]

    def change(self) -> None:
        """Makes a random change."""
        self.version += self._rng.randrange(1, 4)
        self._store.configure(self.version)
        host = self._rng.choice(HOSTS)
        self._drained.discard(host)
        self._removed.discard(host)
        now_s = asyncio.get_running_loop().time()
        since_s = self.out_since_s.pop(host, now_s)
        kind = self._rng.randrange(3)
        if kind:
            self.out_since_s[host] = since_s
            (self._drained if kind == 1 else self._removed).add(host)
        self._write(host)

    def _write(self, host: str) -> None:
        if host in self._removed:
            self._store.withdraw(host)
        else:
            self._store.announce(host, is_ready=host not in self._drained)

    async def restore(self) -> None:
        """Restores a copy of a few changes before."""
        back = self._rng.randrange(1, 12)
        first = len(HOSTS) + 1
        revision = max(first, self._store.published.revision - back)
        self._store.restore(revision)
        await asyncio.sleep(self._rng.uniform(0.0, 1.2))
        self._store.configure(self.version)
        for host in self._rng.sample(HOSTS, len(HOSTS)):
            await asyncio.sleep(self._rng.uniform(0.0, 0.08))
            self._write(host)


@pytest.mark.parametrize("seed", range(12))
def test_changes_around_restores_reach_all_nodes_and_never_revert(
    seed: int,
) -> None:
    """Confirmed changes were not in force after the store was restored."""

    async def test(fleet: Fleet) -> None:
        loop, rng = asyncio.get_running_loop(), random.Random(seed)
        operator = Operator(fleet, rng)
        versions: dict[Node, int] = {}
        started_s: dict[str, float] = {}
        is_restoring = False

        def may_use(since_s: float) -> set[str]:
            """Returns the nodes that cannot know of a removal or drain.

            A node that has started since knows only what the copies contain,
            until the operator has written it again.
            """
            if not is_restoring:
                return set()
            return {h for h, at_s in started_s.items() if at_s > since_s}

        def check() -> None:
            for node in fleet.live():
                version = node.view.config_version
                assert version >= versions.get(node, 0)
                versions[node] = version
            for host, since_s in operator.out_since_s.items():
                if loop.time() > since_s + CHANGE_S:
                    assert set(fleet.users_of(host)) <= may_use(since_s)

        async def wait(seconds: float) -> None:
            end_s = loop.time() + seconds
            while loop.time() < end_s:
                await asyncio.sleep(STEP_S)
                check()

        for round_number in range(8):
            for _ in range(rng.randrange(1, 4)):
                operator.change()
                await wait(rng.uniform(0.0, 1.0))
            if rng.random() < 0.3:
                fleet.store.refused = set(rng.sample(HOSTS, 4))
            is_restoring = True
            restoring = asyncio.create_task(operator.restore())
            if round_number % 3 == 1:
                host, peer = rng.sample(HOSTS, 2)
                fleet.kill(host)
                await wait(0.2)
                started_s[host] = loop.time()
                fleet.restart(host, peer, rng.randrange(1000))
            await wait(2.5)
            await restoring
            is_restoring = False
            fleet.store.refused = set()
            operator.change()
            await wait(CATCH_UP_S)
            for node in fleet.live():
                assert node.view.config_version == operator.version
            for host in HOSTS:
                users = sorted(HOSTS) if host in operator.ready else []
                assert sorted(fleet.users_of(host)) == users

    store_fleet.run(test, seed, HOSTS)


@pytest.mark.parametrize("seed", range(4))
def test_restored_store_is_not_read_without_pause(seed: int) -> None:
    """Readers called the store ten times as often after a restore."""

    async def test(fleet: Fleet) -> None:
        for version in range(2, 12):
            fleet.store.configure(version)
        await asyncio.sleep(2)
        before = fleet.store.call_count
        await asyncio.sleep(20)
        usual = fleet.store.call_count - before
        fleet.store.restore(fleet.store.published.revision - 8)
        before = fleet.store.call_count
        await asyncio.sleep(20)
        # A read of the whole state and the watch before it, for each node.
        most = usual + 2 * len(HOSTS)
        assert fleet.store.call_count - before <= most

    store_fleet.run(test, seed, HOSTS)
