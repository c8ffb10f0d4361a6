"""Admission and order of the requests that wait for the upstream.

The queue is built for overload, when more requests arrive than the upstream
can run:

* A request is queued only if it can still be answered in time. The others are
  refused at once, while their callers have time for another attempt.
* The short calls that running requests make go first, by their short target
  latency, because a failed one wastes the whole run.
* Refused callers retry. A request that can no longer meet its target by then
  waits behind those that can; otherwise every answer would be late in a lasting
  overload.

A kind of request is its target latency in milliseconds. The work of a request
is the time for which the upstream runs it.
"""

import collections
import dataclasses
import heapq
from collections.abc import Iterable, Iterator
from typing import Any, Generic, TypeVar

T = TypeVar("T")

# Share of the time left until its target in which a request must be answered.
TARGET_TIME_SHARE = 0.9
# Weight of the target latency in the due time, by priority. 0 is the highest
# priority and gets the earliest due time.
TARGET_WEIGHT_BY_PRIORITY = (0.4, 0.5, 1.0)
# Time from arrival to the due time of requests that miss their target; longer
# than any wait.
LATE_DUE_S = 60.0
# Requests of this priority and of higher ones (lower numbers) keep their place
# when they are late: a late answer to them is worth as much as a timely one of
# a lower priority.
LOWEST_URGENT_PRIORITY = 1
# Share of the time left that a late request may wait. It waits longer than
# estimated, because requests that can meet their target overtake it.
LATE_WAIT_SHARE = 0.3
# A request is short if its work is at most this share of the longest kind's.
# Refusing it saves almost no work and often fails the request that made it.
SHORT_WORK_SHARE = 0.35
# Share of the time left that a short request may wait.
SHORT_WAIT_SHARE = 0.6
# Share of the time that a request may wait which its estimated wait for a slot
# may take. Requests of higher priority overtake it, and work takes longer than
# expected; one that is refused only after it has waited has lost that time.
ADMITTED_WAIT_SHARE = 0.6
# Least time that an admitted request may wait.
MIN_WAIT_S = 0.02
# Expected work of a request while no work was measured yet.
DEFAULT_WORK_S = 0.05
# Weight of the newest value in averages; about the last ten values count.
AVERAGE_WEIGHT = 0.1
MAX_WORK_KINDS = 256
# The counts of the request mix are halved when their total exceeds this, which
# is some seconds of an upstream's load.
MIX_WINDOW_REQUESTS = 200
# Kinds with a smaller share of the requests are ignored as rare.
MIN_KIND_SHARE = 0.05
MIN_RETRY_AFTER_S = 0.1
MAX_RETRY_AFTER_S = 2.0


@dataclasses.dataclass(slots=True, eq=False)
class WaitingCall(Generic[T]):
    """A request in the queue.

    Attributes:
        item: The request.
        due_s: Sort key of the queue; the earliest due time goes first.
        deadline_s: Time at which its caller gives up.
        work_s: Time that the upstream is expected to take for it.
        target_s: Time after which its answer counts as late and is worth less.
        is_short: Whether it is a short call, which running requests make.
        priority: Priority; lower numbers are more urgent.
        wait_until_s: Time until which it may wait; set when it is admitted.
    """

    item: T
    due_s: float
    deadline_s: float
    work_s: float
    target_s: float
    is_short: bool = False
    priority: int = 0
    wait_until_s: float = float("inf")

    @property
    def is_late(self) -> bool:
        """Whether the request waits behind those that can meet their target."""
        return self.due_s > self.deadline_s


@dataclasses.dataclass(frozen=True, slots=True)
class Refusal:
    """Why a request is not admitted.

    Attributes:
        retry_after_s: Time after which it could be admitted.
        is_too_late: Whether it could not be answered before its deadline even
            without a queue.
    """

    retry_after_s: float
    is_too_late: bool = False


class WorkTimes:
    """Average work of the requests of each kind."""

    def __init__(self) -> None:
        """Starts without values."""
        self._by_kind_s: dict[int, float] = {}

    def work_s(self, kind: int) -> float:
        """Returns the average of a kind; the longest one if it is unknown."""
        known = self._by_kind_s.get(kind)
        if known is not None:
            return known
        return self.longest_s or DEFAULT_WORK_S

    @property
    def longest_s(self) -> float:
        """Average of the longest kind; 0 if there is none."""
        return max(self._by_kind_s.values(), default=0.0)

    def longest_of(self, kinds: Iterable[int]) -> float:
        """Returns the average of the longest of some kinds; 0 without any."""
        return max(
            (self._by_kind_s.get(kind, 0.0) for kind in kinds), default=0.0
        )

    def record(self, kind: int, seconds: float) -> None:
        """Adds a measured value to the average of a kind."""
        known = self._by_kind_s.get(kind)
        if known is None:
            if len(self._by_kind_s) < MAX_WORK_KINDS:
                self._by_kind_s[kind] = seconds
            return
        self._by_kind_s[kind] = known + (seconds - known) * AVERAGE_WEIGHT


class RequestMix:
    """Tells short calls from other requests while their work is unknown.

    A call that a running request makes has a much shorter target latency than
    the requests of callers. Rare kinds, such as checks of single routes, are
    ignored.
    """

    def __init__(self) -> None:
        """Creates an empty mix."""
        self._counts: collections.Counter[int] = collections.Counter()

    def note(self, kind: int) -> None:
        """Counts a request of a kind."""
        self._counts[kind] += 1
        if self._counts.total() > MIX_WINDOW_REQUESTS:
            halved = {k: n // 2 for k, n in self._counts.items() if n > 1}
            self._counts = collections.Counter(halved)

    def is_short(self, kind: int) -> bool:
        """Returns whether requests of a kind are short calls.

        >>> mix = RequestMix()
        >>> for kind in [120, 800, 800, 120]:
        ...     mix.note(kind)
        >>> mix.is_short(120), mix.is_short(800)
        (True, False)
        """
        return kind <= max(self.common_kinds(), default=0) * SHORT_WORK_SHARE

    def common_kinds(self) -> list[int]:
        """Returns the kinds that are not rare."""
        min_count = self._counts.total() * MIN_KIND_SHARE
        return [k for k, count in self._counts.items() if count >= min_count]


@dataclasses.dataclass(frozen=True, slots=True)
class Capacity:
    """Free and used capacity of the upstream.

    Attributes:
        slots: Most requests that it runs at a time.
        active_left_s: Expected remaining time of each running request.
        rate_limit_per_s: Requests that it may get per second; 0 for no limit.
        rate_wait_s: Time until that limit allows the next request.
        longest_work_s: Work of the longest common kind; 0 if unknown.
    """

    slots: int
    active_left_s: tuple[float, ...]
    rate_limit_per_s: float
    longest_work_s: float = 0.0
    rate_wait_s: float = 0.0


class WorkQueue(Generic[T]):
    """Waiting requests in the order in which they will be served."""

    def __init__(self) -> None:
        """Creates an empty queue."""
        self._waiting: list[WaitingCall[T]] = []

    def __len__(self) -> int:
        """Returns the number of requests that wait."""
        return len(self._waiting)

    def __iter__(self) -> Iterator[WaitingCall[T]]:
        """Iterates in the order of service."""
        return iter(self._waiting)

    def wait_s(self, due_s: float, capacity: Capacity) -> float:
        """Estimates how long a request with a due time would wait."""
        return max(self._waits_s(due_s, capacity))

    def _waits_s(self, due_s: float, capacity: Capacity) -> tuple[float, float]:
        """Estimates the wait for a slot, and that for the rate limit."""
        ahead = [call for call in self._waiting if call.due_s <= due_s]
        free = capacity.slots - len(capacity.active_left_s)
        ends_s = [0.0] * free + list(capacity.active_left_s)
        heapq.heapify(ends_s)
        for call in ahead:
            heapq.heapreplace(ends_s, ends_s[0] + call.work_s)
        rate_wait_s = 0.0
        if capacity.rate_limit_per_s > 0:
            rate_wait_s = len(ahead) / capacity.rate_limit_per_s
            rate_wait_s += capacity.rate_wait_s
        return ends_s[0], rate_wait_s

    def refusal(
        self, call: WaitingCall[T], capacity: Capacity, now_s: float
    ) -> Refusal | None:
        """Returns why a request is not admitted, or None if it is.

        Sets the time until which an admitted request may wait.
        """
        left_s = call.deadline_s - now_s
        if left_s < call.work_s / 2:
            return Refusal(0.0, is_too_late=True)
        slot_wait_s, rate_wait_s = self._waits_s(call.due_s, capacity)
        max_wait_s = _max_wait_s(call, left_s, now_s)
        max_slot_wait_s = max_wait_s * ADMITTED_WAIT_SHARE
        if call.work_s <= capacity.longest_work_s * SHORT_WORK_SHARE:
            short_wait_s = left_s * SHORT_WAIT_SHARE - call.work_s
            max_wait_s = max(max_wait_s, short_wait_s)
            max_slot_wait_s = max(max_slot_wait_s, short_wait_s)
        excess_s = max(slot_wait_s - max_slot_wait_s, rate_wait_s - max_wait_s)
        if excess_s <= 0.0 or max(slot_wait_s, rate_wait_s) <= 0.0:
            call.wait_until_s = now_s + max(max_wait_s, MIN_WAIT_S)
            return None
        return Refusal(bounded_retry_after_s(excess_s))

    def push(self, call: WaitingCall[T]) -> None:
        """Inserts a request by its due time."""
        index = len(self._waiting)
        while index and self._waiting[index - 1].due_s > call.due_s:
            index -= 1
        self._waiting.insert(index, call)

    def pop(self) -> WaitingCall[T] | None:
        """Removes and returns the next request."""
        return self._waiting.pop(0) if self._waiting else None

    def pop_short(self) -> WaitingCall[T] | None:
        """Removes and returns the next short call, even if others are ahead."""
        for index, call in enumerate(self._waiting):
            if call.is_short:
                return self._waiting.pop(index)
        return None

    def remove(self, call: WaitingCall[T]) -> bool:
        """Removes a request; returns false when it no longer waits."""
        if call not in self._waiting:
            return False
        self._waiting.remove(call)
        return True

    def expired(self, now_s: float) -> list[WaitingCall[T]]:
        """Removes and returns the requests that have waited too long.

        The upstream may have become slow after their admission; another one
        may still answer them.
        """
        late = [
            call
            for call in self._waiting
            if now_s > call.wait_until_s
            or call.deadline_s - now_s < call.work_s / 2
        ]
        for call in late:
            self._waiting.remove(call)
        return late

    def take_too_slow(
        self, capacity: Capacity, now_s: float
    ) -> list[tuple[WaitingCall[T], float]]:
        """Removes the requests for which a rate limit leaves no time.

        The limit may be lower than at their admission.

        Returns:
            Each request with the time by which it would wait too long.
        """
        if capacity.rate_limit_per_s <= 0:
            return []
        kept: list[WaitingCall[T]] = []
        removed: list[tuple[WaitingCall[T], float]] = []
        for call in self._waiting:
            rate_wait_s = len(kept) / capacity.rate_limit_per_s
            start_s = now_s + capacity.rate_wait_s + rate_wait_s
            if start_s > call.wait_until_s:
                removed.append((call, start_s - call.wait_until_s))
            else:
                kept.append(call)
        self._waiting = kept
        return removed


def bounded_retry_after_s(seconds: float) -> float:
    """Limits the time after which a caller is asked to retry."""
    return min(max(seconds, MIN_RETRY_AFTER_S), MAX_RETRY_AFTER_S)


def due_s(
    arrived_s: float,
    target_latency_s: float,
    priority: int,
    *,
    is_late: bool,
    is_over_share: bool = False,
) -> float:
    """Returns the sort key of a request; the earliest goes first.

    A request of a tenant that is over its share waits behind all others,
    whatever its priority.

    >>> due_s(10.0, 0.4, priority=2, is_late=False)
    10.4
    >>> due_s(10.0, 0.4, priority=1, is_late=True)
    10.2
    >>> due_s(10.0, 0.4, priority=2, is_late=True)
    70.0
    """
    if is_over_share or (is_late and priority > LOWEST_URGENT_PRIORITY):
        return arrived_s + LATE_DUE_S
    weight = TARGET_WEIGHT_BY_PRIORITY[
        min(max(priority, 0), len(TARGET_WEIGHT_BY_PRIORITY) - 1)
    ]
    return arrived_s + target_latency_s * weight


def _max_wait_s(call: WaitingCall[Any], left_s: float, now_s: float) -> float:
    """Returns how long a request may wait before it is sent."""
    if call.is_late:
        return left_s * LATE_WAIT_SHARE
    until_answer_s = (call.target_s - now_s) * TARGET_TIME_SHARE
    if until_answer_s < call.work_s:
        # An urgent request that cannot meet its target any more.
        until_answer_s = left_s * LATE_WAIT_SHARE
    return max(0.0, min(until_answer_s, left_s) - call.work_s)
