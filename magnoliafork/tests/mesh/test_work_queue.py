"""Admission and order of the queue under simulated loads."""

import dataclasses
import heapq
import random

from magnoliafork.mesh.work_queue import (
    Capacity,
    Refusal,
    RequestMix,
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
    """Results of one upstream under a simulated load.

    Attributes:
        latencies_s: Time until the answer, of the requests that got one.
        refused: Requests refused at their arrival.
        expired: Requests removed from the queue after too long a wait.
        served_by_priority: Whether each request was served, by priority.
    """

    latencies_s: list[float] = dataclasses.field(default_factory=list)
    refused: int = 0
    expired: int = 0
    served_by_priority: dict[int, list[bool]] = dataclasses.field(
        default_factory=dict
    )


def replay(
    rate_per_s: float,
    seconds: float,
    seed: int,
    priorities: tuple[int, ...] = (2,),
) -> Replay:
    rng = random.Random(seed)
    queue: WorkQueue[tuple[float, int]] = WorkQueue()
    running: list[tuple[float, float, int]] = []
    result = Replay()
    now_s = 0.0

    def serve_until(until_s: float) -> None:
        while running and running[0][0] <= until_s:
            end_s, arrived_s, priority = heapq.heappop(running)
            result.latencies_s.append(end_s - arrived_s)
            result.served_by_priority.setdefault(priority, []).append(True)
            dispatch(end_s)

    def dispatch(at_s: float) -> None:
        result.expired += len(queue.expired(at_s))
        while len(queue) and len(running) < SLOTS:
            call = queue.pop()
            assert call is not None
            arrived_s, priority = call.item
            heapq.heappush(running, (at_s + WORK_S, arrived_s, priority))

    while now_s < seconds:
        now_s += rng.expovariate(rate_per_s)
        serve_until(now_s)
        priority = rng.choice(priorities)
        left_s = tuple(end_s - now_s for end_s, _, _ in running)
        call = WaitingCall(
            (now_s, priority),
            due_s(now_s, TARGET_S, priority, is_late=False),
            now_s + TIMEOUT_S,
            WORK_S,
            now_s + TARGET_S,
        )
        capacity = Capacity(SLOTS, left_s, 0.0)
        if queue.refusal(call, capacity, now_s) is not None:
            result.refused += 1
            result.served_by_priority.setdefault(priority, []).append(False)
            continue
        queue.push(call)
        dispatch(now_s)
    serve_until(now_s + 10.0)
    return result


def test_below_capacity_nothing_is_refused() -> None:
    """Callers would be refused although the upstream has capacity left."""
    result = replay(rate_per_s=0.5 * SLOTS / WORK_S, seconds=60, seed=1)
    assert result.refused == 0
    assert result.expired == 0


def test_overload_is_refused_at_arrival_and_the_rest_is_in_time() -> None:
    """A queue that admits everything would make every answer late."""
    capacity_per_s = SLOTS / WORK_S
    result = replay(rate_per_s=2 * capacity_per_s, seconds=60, seed=2)
    served = len(result.latencies_s)
    assert served >= 0.95 * 60 * capacity_per_s
    in_time = sum(latency <= TARGET_S for latency in result.latencies_s)
    assert in_time >= 0.95 * served
    assert result.expired <= 0.01 * served


def test_urgent_requests_are_served_at_least_as_often_in_overload() -> None:
    """A less urgent kind must not be served more often than an urgent one."""
    result = replay(2 * SLOTS / WORK_S, 60, seed=3, priorities=(1, 2))
    share = {
        priority: sum(served) / len(served)
        for priority, served in result.served_by_priority.items()
    }
    assert share[1] >= share[2]


def test_request_that_cannot_meet_its_deadline_is_refused() -> None:
    """A slot would go to a request whose answer comes after its deadline."""
    queue: WorkQueue[int] = WorkQueue()
    call = WaitingCall(1, 10.0, 10.02, 0.1, 10.4)
    refusal = queue.refusal(call, Capacity(4, (), 0.0), now_s=10.0)
    assert refusal == Refusal(0.0, is_too_late=True)


def test_request_is_never_refused_while_a_slot_is_free() -> None:
    """Even a request that misses its target is run if it need not wait."""
    queue: WorkQueue[int] = WorkQueue()
    call = WaitingCall(1, 10.2, 11.0, 0.9, 10.1)
    assert queue.refusal(call, Capacity(4, (0.7, 0.7, 0.6), 0.0), 10.0) is None


def test_cold_upstream_admits_what_its_rate_limit_serves_in_time() -> None:
    """Requests would wait for the cold limit until their answers are late."""
    queue: WorkQueue[int] = WorkQueue()
    capacity = Capacity(4, (), rate_limit_per_s=10.0)
    admitted = 0
    for number in range(20):
        call = WaitingCall(number, 10.4, 12.0, 0.05, 10.4)
        if queue.refusal(call, capacity, 10.0) is None:
            queue.push(call)
            admitted += 1
    assert 3 <= admitted <= 5


def test_rare_kinds_do_not_make_common_kinds_short() -> None:
    """Rare checks of a slower route made callers' requests count as short."""
    mix = RequestMix()
    for number in range(1000):
        mix.note(3000 if number % 40 == 0 else 400)
    assert not mix.is_short(400)
    assert mix.is_short(120)


def test_exhausted_cold_limit_refuses_at_once() -> None:
    """A request waited for the rate limit until its deadline had passed."""
    queue: WorkQueue[int] = WorkQueue()
    capacity = Capacity(4, (), rate_limit_per_s=10.0, rate_wait_s=0.8)
    call = WaitingCall(1, 10.4, 12.0, 0.05, 10.4)
    refusal = queue.refusal(call, capacity, 10.0)
    assert refusal is not None
    assert 0.3 < refusal.retry_after_s <= 0.8


def test_short_call_overtakes_requests_that_wait_for_the_cold_limit() -> None:
    """Requests ended with 500 because cold upstreams refused their calls."""
    queue: WorkQueue[str] = WorkQueue()
    queue.push(WaitingCall("browse", 10.1, 12.0, 0.3, 10.4))
    queue.push(WaitingCall("nested", 10.2, 12.0, 0.03, 10.4, is_short=True))
    call = queue.pop_short()
    assert call is not None
    assert call.item == "nested"
    assert queue.pop_short() is None


def test_short_calls_of_running_requests_go_first() -> None:
    """A running request would fail while its call waits behind new ones."""
    queue: WorkQueue[str] = WorkQueue()
    browse_s = due_s(10.0, 0.4, 2, is_late=False)
    nested_s = due_s(10.05, 0.12, 0, is_late=False)
    queue.push(WaitingCall("browse", browse_s, 12.0, 0.1, 10.4))
    queue.push(WaitingCall("nested", nested_s, 10.4, 0.03, 10.17))
    call = queue.pop()
    assert call is not None
    assert call.item == "nested"


def test_late_request_waits_behind_those_that_can_meet_their_target() -> None:
    """Otherwise every answer would be late in a lasting overload."""
    queue: WorkQueue[str] = WorkQueue()
    late_s = due_s(10.0, 0.4, 2, is_late=True)
    fresh_s = due_s(10.1, 0.4, 2, is_late=False)
    queue.push(WaitingCall("late", late_s, 11.5, 0.1, 9.5))
    queue.push(WaitingCall("fresh", fresh_s, 12.5, 0.1, 10.5))
    assert [call.item for call in queue] == ["fresh", "late"]


@dataclasses.dataclass
class Caller:
    """A caller that retries after a refusal."""

    first_s: float
    tries_left: int = 2


def test_most_answers_meet_their_target_in_overload_with_retries() -> None:
    """When callers retried in an overload, a third of the answers was late."""
    rng = random.Random(11)
    queue: WorkQueue[Caller] = WorkQueue()
    running: list[tuple[float, int, Caller]] = []
    events: list[tuple[float, int, str, Caller | None]] = []
    number = 0

    def add(at_s: float, what: str, caller: Caller | None) -> None:
        nonlocal number
        number += 1
        heapq.heappush(events, (at_s, number, what, caller))

    in_time = late = 0
    add(0.0, "new", None)
    while events:
        now_s, _, what, caller = heapq.heappop(events)
        if what == "done":
            heapq.heappop(running)
            assert caller is not None
            if now_s - caller.first_s <= TARGET_S:
                in_time += 1
            else:
                late += 1
        if what == "new":
            if now_s < 60:
                step_s = rng.expovariate(1.8 * SLOTS / WORK_S)
                add(now_s + step_s, "new", None)
            caller = Caller(now_s)
        if what != "done":
            assert caller is not None
            target_s = caller.first_s + TARGET_S
            is_late = now_s + WORK_S > target_s
            call = WaitingCall(
                caller,
                due_s(now_s, TARGET_S, 2, is_late=is_late),
                caller.first_s + TIMEOUT_S,
                WORK_S,
                target_s,
            )
            left_s = tuple(end_s - now_s for end_s, _, _ in running)
            capacity = Capacity(SLOTS, left_s, 0.0)
            refusal = queue.refusal(call, capacity, now_s)
            if refusal is None:
                queue.push(call)
            elif caller.tries_left:
                caller.tries_left -= 1
                wait_s = min(refusal.retry_after_s, 0.6)
                add(now_s + wait_s, "again", caller)
        queue.expired(now_s)
        while len(queue) and len(running) < SLOTS:
            next_call = queue.pop()
            assert next_call is not None
            number += 1
            end_s = now_s + WORK_S
            heapq.heappush(running, (end_s, number, next_call.item))
            add(end_s, "done", next_call.item)
    capacity_requests = 60 * SLOTS / WORK_S
    assert in_time + late >= 0.95 * capacity_requests
    assert in_time >= 0.8 * capacity_requests


def test_short_call_is_admitted_beside_long_running_requests() -> None:
    """Calls were refused for the wait until all slots, not one, were free."""
    queue: WorkQueue[str] = WorkQueue()
    left_s = tuple(0.05 * number for number in range(1, 13))
    capacity = Capacity(12, left_s, rate_limit_per_s=0.0, longest_work_s=0.6)
    due = due_s(10.0, 0.12, 2, is_late=False)
    call = WaitingCall("nested", due, 10.4, 0.03, 10.12)
    assert queue.refusal(call, capacity, 10.0) is None
    assert abs(queue.wait_s(due, capacity) - 0.05) < 1e-9


def test_short_call_waits_longer_than_its_target_allows() -> None:
    """Refusing it saves little work and fails the request that made it."""
    queue: WorkQueue[str] = WorkQueue()
    capacity = Capacity(4, (0.15,) * 4, 0.0, longest_work_s=0.6)
    due = due_s(10.0, 0.12, 2, is_late=False)
    call = WaitingCall("nested", due, 10.4, 0.03, 10.12)
    assert queue.refusal(call, capacity, 10.0) is None
    long = WaitingCall("browse", due, 10.4, 0.3, 10.12)
    assert queue.refusal(long, capacity, 10.0) is not None


def test_request_expires_in_the_queue_of_an_upstream_that_became_slow() -> None:
    """Requests waited 0.9 s and were then refused without having run."""
    queue: WorkQueue[str] = WorkQueue()
    call = WaitingCall("browse", 10.4, 12.0, 0.1, 10.4)
    assert queue.refusal(call, Capacity(1, (0.05,), 0.0), 10.0) is None
    queue.push(call)
    assert queue.expired(10.2) == []
    assert queue.expired(10.3) == [call]
