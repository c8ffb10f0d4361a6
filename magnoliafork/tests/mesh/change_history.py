"""Random histories of a fleet whose configuration changes, and their check.

Run by hand over many seeds:

    python -m magnoliafork.tests.mesh.change_history FIRST LAST
"""

import asyncio
import random
import sys
from collections.abc import Awaitable, Callable, Collection

from magnoliafork.tests.mesh import link_fleet
from magnoliafork.tests.mesh.link_fleet import LinkedFleet, LinkedNode
from magnoliafork.tests.mesh.test_view_sync_bandwidth import PublishedRoutes

# Zones of different sizes, as in the grown deployments.
NODES_BY_ZONE = {"x": 24, "y": 21, "z": 19}
HOSTS = tuple(
    f"{zone}{number}"
    for zone, count in NODES_BY_ZONE.items()
    for number in range(count)
)
# Links of small machines, 10 Mbit/s.
LINK_BYTES_PER_S = 1_250_000
# Time after which an accepted configuration must be in force.
APPLY_LIMIT_S = 2.5
# The bound holds for a node that was not disturbed for this long.
UNDISTURBED_S = 3.0
# Time by which a store that refuses some nodes extends the bound.
REFUSAL_EXTRA_S = 5.0
GAP_S = 0.27
STEP_S = 0.05
HISTORY_S = 24.0
ROUTE_COUNTS = (816, 2216)


class Watcher:
    """Publishes configurations and notes the nodes that get them late.

    Attributes:
        disturbed_until_s: End of the last disturbance of each host.
        late: Hosts that were late or went back, with the version that had to be
            in force and the one that was.
    """

    def __init__(self, fleet: LinkedFleet, seed: int, route_count: int) -> None:
        self._fleet = fleet
        self._rng = random.Random(seed)
        self._loop = asyncio.get_running_loop()
        self._routes = PublishedRoutes(route_count)
        self._published_at_s: dict[int, float] = {}
        self._version = 1
        self.disturbed_until_s: dict[str, float] = {}
        self._store_disturbances = 0
        self._store_disturbed_until_s = float("-inf")
        self._seen: dict[LinkedNode, int] = {}
        self.late: list[tuple[str, int, int]] = []

    def publish(self) -> None:
        self._routes.change_one()
        self._version += 1
        value = self._routes.value(self._version)
        self._fleet.store.publish(self._version, value)
        self._published_at_s[self._version] = self._loop.time()

    async def storm(self, for_s: float) -> None:
        end_s = self._loop.time() + for_s
        while self._loop.time() < end_s:
            self.publish()
            self._fleet.store.announce(self._rng.choice(HOSTS))
            await asyncio.sleep(GAP_S)

    def _due(self, limit_s: float) -> int:
        """Returns the newest version that must be in force."""
        now_s = self._loop.time()
        versions = self._published_at_s.items()
        return max((v for v, s in versions if now_s - s > limit_s), default=0)

    def check(self) -> None:
        now_s = self._loop.time()
        limit_s = APPLY_LIMIT_S
        if (
            self._store_disturbances
            or now_s < self._store_disturbed_until_s + UNDISTURBED_S
        ):
            limit_s += REFUSAL_EXTRA_S
        due = self._due(limit_s)
        store = self._fleet.store
        # Nobody can tell these anything.
        for host in self._fleet.isolated & (store.refused | store.silent):
            disturbed_s = self.disturbed_until_s.get(host, now_s)
            self.disturbed_until_s[host] = max(disturbed_s, now_s)
        for node in self._fleet.running():
            version, seen = node.view.config_version, self._seen.get(node, 0)
            if version < seen:
                self.late.append((node.host, seen, version))
            self._seen[node] = max(version, seen)
        for host in HOSTS:
            disturbed_s = self.disturbed_until_s.get(host, float("-inf"))
            if now_s < disturbed_s + UNDISTURBED_S:
                continue
            node = self._fleet.linked(host)
            if not node.is_running or node.view.config_version < due:
                self.late.append((host, due, node.view.config_version))

    async def wait(self, seconds: float) -> None:
        end_s = self._loop.time() + seconds
        while self._loop.time() < end_s:
            await asyncio.sleep(STEP_S)
            self.check()

    async def lose_power(self, hosts: Collection[str], for_s: float) -> None:
        """Loses machines at once; they come back with an empty memory."""
        self._fleet.power_off(hosts)
        await self._start_later(hosts, for_s)

    async def cut(self, hosts: Collection[str], for_s: float) -> None:
        """Cuts nodes off from all others; they still reach the store."""
        self._fleet.isolated |= set(hosts)
        await asyncio.sleep(for_s)
        self._fleet.isolated -= set(hosts)

    async def end(self, hosts: Collection[str], for_s: float) -> None:
        """Ends processes; their machines close the connections."""
        self._fleet.end(hosts)
        await self._start_later(hosts, for_s)

    async def _start_later(self, hosts: Collection[str], for_s: float) -> None:
        self.disturbed_until_s |= dict.fromkeys(hosts, float("inf"))
        await asyncio.sleep(for_s)
        self._fleet.start(*hosts)
        self.disturbed_until_s |= dict.fromkeys(hosts, self._loop.time())

    async def refuse(self, hosts: Collection[str], for_s: float) -> None:
        """Lets the store refuse some nodes."""
        await self._disturb_store(self._fleet.store.refused, hosts, for_s)

    async def ignore(self, hosts: Collection[str], for_s: float) -> None:
        """Lets the store leave some nodes without an answer."""
        await self._disturb_store(self._fleet.store.silent, hosts, for_s)

    async def _disturb_store(
        self, disturbed: set[str], hosts: Collection[str], for_s: float
    ) -> None:
        self._store_disturbances += 1
        disturbed |= set(hosts)
        await asyncio.sleep(for_s)
        disturbed -= set(hosts)
        self._store_disturbances -= 1
        self._store_disturbed_until_s = self._loop.time()

    def available(self, count: int) -> list[str]:
        """Returns random hosts whose machines run."""
        hosts = [h for h in HOSTS if self._fleet.linked(h).is_running]
        return self._rng.sample(hosts, min(count, len(hosts)))


def late_nodes(
    test: Callable[[LinkedFleet, Watcher], Awaitable[None]],
    seed: int,
    route_count: int,
) -> list[tuple[str, int, int]]:
    """Runs a test on a fleet; returns what it found late."""
    late: list[tuple[str, int, int]] = []

    async def checked(fleet: LinkedFleet) -> None:
        watcher = Watcher(fleet, seed, route_count)
        await test(fleet, watcher)
        late.extend(watcher.late)

    link_fleet.run(checked, seed, HOSTS, LINK_BYTES_PER_S)
    return late


def play(seed: int) -> list[tuple[str, int, int]]:
    """Plays a storm of configurations beside random losses.

    Returns:
        Nodes that were late.
    """

    async def history(fleet: LinkedFleet, watcher: Watcher) -> None:
        rng = random.Random(seed)
        loop = asyncio.get_running_loop()
        async with asyncio.TaskGroup() as group:
            group.create_task(watcher.storm(HISTORY_S))
            end_s = loop.time() + HISTORY_S - 4.0
            while loop.time() < end_s:
                await watcher.wait(rng.uniform(0.2, 3.0))
                loss, share, for_s = rng.choice(LOSSES)
                hosts = watcher.available(
                    int(share * rng.random() * len(HOSTS))
                )
                group.create_task(loss(watcher, hosts, for_s * rng.random()))
            await watcher.wait(16.0)

    return late_nodes(history, seed, ROUTE_COUNTS[seed % len(ROUTE_COUNTS)])


# Kinds of losses, the largest share of the nodes, and the longest time.
LOSSES = (
    (Watcher.lose_power, 0.6, 3.0),
    (Watcher.end, 0.6, 1.0),
    (Watcher.cut, 0.4, 12.0),
    (Watcher.refuse, 0.35, 9.0),
    (Watcher.ignore, 0.35, 9.0),
)


def main() -> None:
    """Plays the seeds between two numbers, both included."""
    first, last = (int(argument) for argument in sys.argv[1:3])
    failed = 0
    for seed in range(first, last + 1):
        late = play(seed)
        failed += bool(late)
        hosts = sorted({host for host, _, _ in late})
        print(f"seed {seed}: {len(late)} late, at {hosts}", flush=True)
    print(f"{failed} of {last - first + 1} seeds with late nodes")


if __name__ == "__main__":
    main()
