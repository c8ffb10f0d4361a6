"""Bounded priority queue of the requests that wait for a slot."""

import collections
import dataclasses
from collections.abc import Iterator
from typing import Generic, TypeVar

from magnoliafork.model.rules import Priority

T = TypeVar("T")


@dataclasses.dataclass(slots=True, eq=False)
class QueuedRequest(Generic[T]):
    """One queued request.

    Attributes:
        item: The request.
        priority: Priority class.
        deadline_s: Time after which an answer is of no use.
    """

    item: T
    priority: Priority
    deadline_s: float


class AdmissionQueue(Generic[T]):
    """Serves requests by priority class, then in the order of arrival."""

    def __init__(self) -> None:
        """Creates an empty queue."""
        self._by_priority: dict[
            Priority, collections.deque[QueuedRequest[T]]
        ] = {priority: collections.deque() for priority in Priority}

    def __len__(self) -> int:
        """Returns the number of queued requests."""
        return sum(len(waiting) for waiting in self._by_priority.values())

    def __iter__(self) -> Iterator[QueuedRequest[T]]:
        """Iterates over the requests in the order of service."""
        for priority in Priority:
            yield from self._by_priority[priority]

    def push(
        self, waiting: QueuedRequest[T], capacity: int
    ) -> tuple[QueuedRequest[T], ...]:
        """Queues a request and returns the requests evicted for it.

        A full queue evicts the newest request of its lowest priority class.
        This is the new request itself unless another one has a lower priority.
        """
        self._by_priority[waiting.priority].append(waiting)
        evicted = []
        while len(self) > capacity:
            lowest = max(p for p in Priority if self._by_priority[p])
            evicted.append(self._by_priority[lowest].pop())
        return tuple(evicted)

    def expire(self, now_s: float, run_s: float) -> list[QueuedRequest[T]]:
        """Removes the requests that would miss their deadline in `run_s`."""
        expired = [w for w in self if now_s + run_s >= w.deadline_s]
        for waiting in expired:
            self._by_priority[waiting.priority].remove(waiting)
        return expired

    def pop(self) -> QueuedRequest[T] | None:
        """Removes and returns the next request; call `expire` first."""
        for priority in Priority:
            if self._by_priority[priority]:
                return self._by_priority[priority].popleft()
        return None

    def remove(self, waiting: QueuedRequest[T]) -> bool:
        """Removes a request; false when it is not queued any more."""
        try:
            self._by_priority[waiting.priority].remove(waiting)
        except ValueError:
            return False
        return True

    def clear(self) -> list[QueuedRequest[T]]:
        """Removes and returns all requests."""
        removed = list(self)
        for waiting in self._by_priority.values():
            waiting.clear()
        return removed
