"""Order and admission of the requests that wait for the upstream.

Answers the pattern of an overload: more requests arrive than the upstream can
run. A request waits only if it can still be answered in time; the others are
refused at once, while their callers have time for another attempt. Short
calls that running requests make go first by their short target, because a
failed one wastes a whole run. Callers
that were refused come back; a request whose target has passed by then waits
behind those that can still meet theirs, because in a lasting overload every
answer would be late otherwise.
"""

import collections
import dataclasses
import heapq
from collections.abc import Iterator
from typing import Any, Generic, TypeVar

T = TypeVar("T")

# Share of the target latency that a request may spend until its answer.
PATIENCE_SHARE = 0.9
# Weight of the target latency in the order, by rank: the due time of a request
# of the highest rank is earlier.
RANK_WEIGHT = (0.4, 0.5, 1.0)
# Due time of requests that have missed their target; longer than any wait.
LATE_DUE_S = 60.0
# Requests above this rank keep their place when they are late, because their
# late answer is worth as much as a timely one of a lower rank.
LAST_URGENT_RANK = 1
# Share of the time left that a late request may wait; those that can meet
# their target pass it, so that the expected wait is too short.
LATE_PATIENCE_SHARE = 0.3
# A request is short if its work is at most this share of the longest kind's.
# Refusing it frees next to nothing, and often fails the run that needs it.
SHORT_WORK_SHARE = 0.35
# Share of the time left that a short request may wait.
SHORT_PATIENCE_SHARE = 0.6
# Shortest time that an admitted request may wait.
MIN_WAIT_S = 0.02
# Assumed work of requests of a kind that was not seen yet.
DEFAULT_WORK_S = 0.05
# Weight of the newest value in averages; about the last ten count.
AVERAGE_WEIGHT = 0.1
MAX_WORK_KINDS = 256
# Requests of which the mix is remembered; some seconds of an upstream's load.
MIX_REQUESTS = 200
# Share of the requests from which on a kind is usual.
MIN_KIND_SHARE = 0.05
MIN_RETRY_AFTER_S = 0.1
MAX_RETRY_AFTER_S = 2.0


@dataclasses.dataclass(slots=True, eq=False)
class WaitingCall(Generic[T]):
    """A request that waits.

    Attributes:
        item: The request.
        due_s: Time by which the order is made.
        deadline_s: Time at which its caller gives up.
        work_s: Time that the upstream will take for it.
        target_s: Time at which an answer loses a part of its value.
        is_short: Whether it is a short call, as running requests make them.
        leave_s: Time until which it may wait; set when it is admitted.
    """

    item: T
    due_s: float
    deadline_s: float
    work_s: float
    target_s: float
    is_short: bool = False
    leave_s: float = float("inf")

    @property
    def is_late(self) -> bool:
        """Whether the request waits behind those that can be in time."""
        return self.due_s > self.deadline_s


@dataclasses.dataclass(frozen=True, slots=True)
class Refusal:
    """A request is not admitted.

    Attributes:
        retry_after_s: Time after which it could be.
        is_too_late: Whether it could not be answered before its deadline even
            without a queue.
    """

    retry_after_s: float
    is_too_late: bool = False


class WorkTimes:
    """Average time that the upstream takes, by kind of request."""

    def __init__(self) -> None:
        """Starts without values."""
        self._by_kind_s: dict[int, float] = {}

    def work_s(self, kind: int) -> float:
        """Returns the average of a kind."""
        known = self._by_kind_s.get(kind)
        if known is not None:
            return known
        return self.longest_s or DEFAULT_WORK_S

    @property
    def longest_s(self) -> float:
        """Average of the longest kind; 0 if none was seen."""
        return max(self._by_kind_s.values(), default=0.0)

    def record(self, kind: int, seconds: float) -> None:
        """Adds a value."""
        known = self._by_kind_s.get(kind)
        if known is None:
            if len(self._by_kind_s) < MAX_WORK_KINDS:
                self._by_kind_s[kind] = seconds
            return
        self._by_kind_s[kind] = known + (seconds - known) * AVERAGE_WEIGHT


class RequestMix:
    """Tells short calls from the other requests before any work is known.

    A call that a running request makes has a much shorter target latency than
    the requests of callers. Kinds that hardly come, such as checks of single
    routes, do not count.
    """

    def __init__(self) -> None:
        """Starts without requests."""
        self._counts: collections.Counter[int] = collections.Counter()

    def note(self, kind: int) -> None:
        """Counts a request with a target latency in milliseconds."""
        self._counts[kind] += 1
        if self._counts.total() > MIX_REQUESTS:
            halved = {k: n // 2 for k, n in self._counts.items() if n > 1}
            self._counts = collections.Counter(halved)

    def is_short(self, kind: int) -> bool:
        """Tells whether a target latency is that of a short call.

        >>> mix = RequestMix()
        >>> for kind in [120, 800, 800, 120]:
        ...     mix.note(kind)
        >>> mix.is_short(120), mix.is_short(800)
        (True, False)
        """
        least = self._counts.total() * MIN_KIND_SHARE
        usual = [k for k, count in self._counts.items() if count >= least]
        return kind <= max(usual, default=0) * SHORT_WORK_SHARE


@dataclasses.dataclass(frozen=True, slots=True)
class Capacity:
    """What the upstream can do now.

    Attributes:
        slots: Requests that it runs at a time.
        active_left_s: Time that each running request still needs.
        rate_limit_per_s: Requests that it may get in a second; 0 for no limit.
        rate_wait_s: Time until that limit lets the next request pass.
        longest_work_s: Work of the longest kind of request; 0 if unknown.
    """

    slots: int
    active_left_s: tuple[float, ...]
    rate_limit_per_s: float
    longest_work_s: float = 0.0
    rate_wait_s: float = 0.0


class WorkQueue(Generic[T]):
    """Requests that wait, in the order in which they will be served."""

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
        """Returns how long a request with a due time would wait."""
        ahead = [call for call in self._waiting if call.due_s <= due_s]
        free = capacity.slots - len(capacity.active_left_s)
        ends_s = [0.0] * free + list(capacity.active_left_s)
        heapq.heapify(ends_s)
        for call in ahead:
            heapq.heapreplace(ends_s, ends_s[0] + call.work_s)
        wait_s = ends_s[0]
        if capacity.rate_limit_per_s > 0:
            rate_wait_s = len(ahead) / capacity.rate_limit_per_s
            wait_s = max(wait_s, capacity.rate_wait_s + rate_wait_s)
        return wait_s

    def refusal(
        self, call: WaitingCall[T], capacity: Capacity, now_s: float
    ) -> Refusal | None:
        """Returns why a request should not wait, or None if it should.

        An admitted request gets the time until which it may wait.
        """
        left_s = call.deadline_s - now_s
        if left_s < call.work_s / 2:
            return Refusal(0.0, is_too_late=True)
        wait_s = self.wait_s(call.due_s, capacity)
        patience_s = _patience_s(call, left_s, now_s)
        if call.work_s <= capacity.longest_work_s * SHORT_WORK_SHARE:
            patience_s = max(
                patience_s, left_s * SHORT_PATIENCE_SHARE - call.work_s
            )
        if wait_s <= patience_s or wait_s <= 0.0:
            call.leave_s = now_s + max(patience_s, MIN_WAIT_S)
            return None
        return Refusal(bounded_retry_after_s(wait_s - patience_s))

    def push(self, call: WaitingCall[T]) -> None:
        """Adds a request in its place."""
        index = len(self._waiting)
        while index and self._waiting[index - 1].due_s > call.due_s:
            index -= 1
        self._waiting.insert(index, call)

    def pop(self) -> WaitingCall[T] | None:
        """Takes the next request."""
        return self._waiting.pop(0) if self._waiting else None

    def pop_short(self) -> WaitingCall[T] | None:
        """Takes the next short call, whatever waits before it."""
        for index, call in enumerate(self._waiting):
            if call.is_short:
                return self._waiting.pop(index)
        return None

    def remove(self, call: WaitingCall[T]) -> bool:
        """Takes a request out; false when it no longer waits."""
        if call not in self._waiting:
            return False
        self._waiting.remove(call)
        return True

    def expired(self, now_s: float) -> list[WaitingCall[T]]:
        """Takes out the requests whose turn has not come in time.

        An upstream may have become slow after their admission; another one
        may still answer them.
        """
        late = [
            call
            for call in self._waiting
            if now_s > call.leave_s or call.deadline_s - now_s < call.work_s / 2
        ]
        for call in late:
            self._waiting.remove(call)
        return late


def bounded_retry_after_s(seconds: float) -> float:
    """Bounds the time that a caller is asked to wait."""
    return min(max(seconds, MIN_RETRY_AFTER_S), MAX_RETRY_AFTER_S)


def due_s(
    arrived_s: float, target_latency_s: float, rank: int, *, is_late: bool
) -> float:
    """Returns the time that orders a request; earlier goes first.

    >>> due_s(10.0, 0.4, rank=2, is_late=False)
    10.4
    >>> due_s(10.0, 0.4, rank=1, is_late=True)
    10.2
    >>> due_s(10.0, 0.4, rank=2, is_late=True)
    70.0
    """
    if is_late and rank > LAST_URGENT_RANK:
        return arrived_s + LATE_DUE_S
    weight = RANK_WEIGHT[min(max(rank, 0), len(RANK_WEIGHT) - 1)]
    return arrived_s + target_latency_s * weight


def _patience_s(call: WaitingCall[Any], left_s: float, now_s: float) -> float:
    """Returns how long a request may wait for its turn."""
    if call.is_late:
        return left_s * LATE_PATIENCE_SHARE
    to_target_s = (call.target_s - now_s) * PATIENCE_SHARE
    if to_target_s < call.work_s:
        # An urgent request that has missed its target.
        to_target_s = left_s * LATE_PATIENCE_SHARE
    return max(0.0, min(to_target_s, left_s) - call.work_s)
