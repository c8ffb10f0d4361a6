"""Replays loads against the order and admission of waiting requests."""

import dataclasses
import heapq
import random

from magnoliafork.mesh.work_queue import (
    Capacity,
    Refusal,
    WaitingCall,
    WorkQueue,
    due_s,
)

SLOTS = 4
WORK_S = 0.1
TARGET_S = 0.4
TIMEOUT_S = 2.0


@dataclasses.dataclass
class Replay:
    """One upstream under a load, in virtual time.

    Attributes:
        latencies_s: Time until the answer, of the requests that got one.
        refused: Requests refused at their arrival.
        expired: Requests dropped after they had waited.
    """

    latencies_s: list[float] = dataclasses.field(default_factory=list)
    refused: int = 0
    expired: int = 0
    by_rank: dict[int, list[bool]] = dataclasses.field(default_factory=dict)


def replay(
    rate_per_s: float,
    seconds: float,
    seed: int,
    ranks: tuple[int, ...] = (2,),
) -> Replay:
    rng = random.Random(seed)
    queue: WorkQueue[tuple[float, int]] = WorkQueue()
    running: list[tuple[float, float, int]] = []
    result = Replay()
    now_s = 0.0

    def serve_until(until_s: float) -> None:
        while running and running[0][0] <= until_s:
            end_s, arrived_s, rank = heapq.heappop(running)
            result.latencies_s.append(end_s - arrived_s)
            result.by_rank.setdefault(rank, []).append(True)
            dispatch(end_s)

    def dispatch(at_s: float) -> None:
        result.expired += len(queue.expired(at_s))
        while len(queue) and len(running) < SLOTS:
            call = queue.pop()
            assert call is not None
            arrived_s, rank = call.item
            heapq.heappush(running, (at_s + WORK_S, arrived_s, rank))

    while now_s < seconds:
        now_s += rng.expovariate(rate_per_s)
        serve_until(now_s)
        rank = rng.choice(ranks)
        left_s = sum(end_s - now_s for end_s, _, _ in running)
        call = WaitingCall(
            (now_s, rank),
            due_s(now_s, TARGET_S, rank),
            now_s + TIMEOUT_S,
            WORK_S,
        )
        capacity = Capacity(SLOTS, len(running), left_s, 0.0)
        if queue.refusal(call, TARGET_S, capacity, now_s) is not None:
            result.refused += 1
            result.by_rank.setdefault(rank, []).append(False)
            continue
        queue.push(call)
        dispatch(now_s)
    serve_until(now_s + 10.0)
    return result


def test_below_capacity_nothing_is_refused() -> None:
    result = replay(rate_per_s=0.5 * SLOTS / WORK_S, seconds=60, seed=1)
    assert result.refused == 0
    assert result.expired == 0


def test_overload_is_refused_at_arrival_and_the_rest_is_in_time() -> None:
    """A queue without a bound would make every answer late."""
    capacity_per_s = SLOTS / WORK_S
    result = replay(rate_per_s=2 * capacity_per_s, seconds=60, seed=2)
    served = len(result.latencies_s)
    assert served >= 0.95 * 60 * capacity_per_s
    in_time = sum(latency <= TARGET_S for latency in result.latencies_s)
    assert in_time >= 0.95 * served
    assert result.expired <= 0.01 * served


def test_urgent_requests_are_served_first_in_overload() -> None:
    """A less urgent kind must not be served more often than an urgent one."""
    result = replay(2 * SLOTS / WORK_S, 60, seed=3, ranks=(1, 2))
    share = {
        rank: sum(served) / len(served)
        for rank, served in result.by_rank.items()
    }
    assert share[1] >= share[2]


def test_request_that_cannot_be_answered_is_refused() -> None:
    queue: WorkQueue[int] = WorkQueue()
    call = WaitingCall(1, 10.2, deadline_s=10.02, work_s=0.1)
    refusal = queue.refusal(call, 0.4, Capacity(4, 0, 0.0, 0.0), now_s=10.0)
    assert refusal == Refusal(0.0, is_too_late=True)


def test_free_slot_is_never_refused() -> None:
    """Nothing is refused while the upstream could run it."""
    queue: WorkQueue[int] = WorkQueue()
    call = WaitingCall(1, 10.2, deadline_s=11.0, work_s=0.9)
    assert queue.refusal(call, 0.1, Capacity(4, 3, 2.0, 0.0), 10.0) is None


def test_cold_upstream_admits_what_its_rate_serves_in_time() -> None:
    queue: WorkQueue[int] = WorkQueue()
    capacity = Capacity(4, 0, 0.0, rate_limit_per_s=10.0)
    admitted = 0
    for number in range(20):
        call = WaitingCall(number, 10.4, deadline_s=12.0, work_s=0.05)
        if queue.refusal(call, 0.4, capacity, 10.0) is None:
            queue.push(call)
            admitted += 1
    assert 3 <= admitted <= 5


def test_short_calls_of_running_requests_go_first() -> None:
    queue: WorkQueue[str] = WorkQueue()
    queue.push(WaitingCall("browse", due_s(10.0, 0.4, 2), 12.0, 0.1))
    queue.push(WaitingCall("inner", due_s(10.05, 0.12, 2), 10.4, 0.03))
    call = queue.pop()
    assert call is not None
    assert call.item == "inner"
