"""Read budget and back-off."""

import heapq
import operator
import random

from magnoliafork.source.budget import Backoff, ReadBudget


def worst_second(times: list[float]) -> int:
    """Returns the largest number of events within any second."""
    times = sorted(times)
    worst = first = 0
    for last, time_s in enumerate(times):
        while times[first] <= time_s - 1:
            first += 1
        worst = max(worst, last - first + 1)
    return worst


def greedy_reads(nodes: int, duration_s: float) -> list[float]:
    """Simulates nodes that start together and read whenever allowed."""
    budgets = [
        ReadBudget(2000, 2300, random.Random(index), 0.0)
        for index in range(nodes)
    ]
    queue = [(0.0, index) for index in range(nodes)]
    reads = []
    while queue[0][0] < duration_s:
        now_s, index = heapq.heappop(queue)
        wait_s = budgets[index].take(now_s)
        if wait_s == 0:
            reads.append(now_s)
        heapq.heappush(queue, (now_s + wait_s, index))
    return reads


def test_a_herd_of_2300_nodes_stays_below_the_sources_limit() -> None:
    # Guards against bursts when the whole fleet restarts at once.
    assert worst_second(greedy_reads(2300, 20.0)) <= 2000


def test_an_idle_node_saves_no_reads_for_a_burst() -> None:
    # Guards against a burst of the fleet after an outage of the source.
    budget = ReadBudget(2300, 2300, random.Random(1), 0.0)
    assert budget.take(3600.0) == 0
    assert budget.take(3600.0) > 0.9


def test_a_larger_fleet_lowers_each_nodes_rate() -> None:
    # Guards against a source limit that is exceeded as the fleet grows.
    budget = ReadBudget(2000, 100, random.Random(1), 0.0)
    small_fleet_rate = budget.rate_per_s
    budget.set_known_fleet(10, 1.0)
    assert budget.rate_per_s == small_fleet_rate
    budget.set_known_fleet(1000, 2.0)
    assert budget.rate_per_s == small_fleet_rate / 10


def test_back_off_grows_to_its_cap_with_full_jitter() -> None:
    # Guards against retries in step, and against ever longer delays.
    backoff = Backoff(1.0, random.Random(3))
    delays = [backoff.next_delay_s(8.0) for _ in range(200)]
    limits = [1.0, 2.0, 4.0] + [8.0] * 197
    assert all(map(operator.le, delays, limits))
    assert min(delays) < 1.0
    assert max(delays) > 7.0
    backoff.reset()
    assert backoff.next_delay_s(8.0) <= 1.0
