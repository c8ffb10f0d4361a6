"""Tests of the read budget and the back-off."""

import heapq
import operator
import random

import pytest

from magnoliafork.source.budget import Backoff, ReadBudget
from magnoliafork.tests.cluster.history_checker import max_count_per_second


@pytest.mark.parametrize(("nodes", "reads_per_s"), [(2300, 2000), (60, 24)])
def test_a_restarted_fleet_stays_below_the_read_limit(
    nodes: int, reads_per_s: float
) -> None:
    # Guards against bursts when the whole fleet restarts and every node reads
    # as often as it may.
    queue = [(0.0, index) for index in range(nodes)]
    budgets = [
        ReadBudget(reads_per_s, nodes, random.Random(index), 0.0)
        for _, index in queue
    ]
    reads = []
    while queue[0][0] < max(20.0, 10_000 / reads_per_s):
        now_s, index = heapq.heappop(queue)
        wait_s = budgets[index].take(now_s)
        if wait_s == 0:
            reads.append(now_s)
        heapq.heappush(queue, (now_s + wait_s, index))
    assert max_count_per_second(reads) <= reads_per_s


def test_a_larger_fleet_lowers_each_nodes_rate() -> None:
    # Guards against a source limit that is exceeded as the fleet grows.
    budget = ReadBudget(2000, 100, random.Random(1), 0.0)
    rate_per_s = budget.rate_per_s
    budget.set_fleet_size(10, 1.0)
    assert budget.rate_per_s == rate_per_s
    budget.set_fleet_size(1000, 2.0)
    assert budget.rate_per_s == rate_per_s / 10


def test_a_zone_reader_fetches_a_change_in_time_at_the_target_size() -> None:
    # Guards against equal shares of the reads. A zone reader among 2,300 nodes
    # then had one read in 7.4 s, and a version with four changed parts was not
    # in force within 16 s.
    budget = ReadBudget(400, 500, random.Random(1), 0.0)
    now_s = 0.0
    for _ in range(12):
        budget.set_fleet_size(2300, now_s, reader_count=48)
        now_s += budget.take(now_s)
        assert budget.take(now_s) == 0
    assert now_s < 8.0


def test_back_off_grows_to_its_cap_with_full_jitter() -> None:
    # Guards against nodes that all retry at the same time, and against delays
    # that grow without limit.
    backoff = Backoff(1.0, random.Random(3))
    delays = [backoff.next_delay_s(8.0) for _ in range(200)]
    assert all(map(operator.le, delays, [1.0, 2.0, 4.0] + [8.0] * 197))
    assert min(delays) < 1.0
    assert max(delays) > 7.0
    backoff.reset()
    assert backoff.next_delay_s(8.0) <= 1.0
