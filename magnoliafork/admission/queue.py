"""Bounded queue of admitted requests that wait for a slot."""

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
        deadline_s: Time at which the request is of no use any more.
    """

    item: T
    priority: Priority
    deadline_s: float


class AdmissionQueue(Generic[T]):
    """Serves requests by priority class, then in the order of arrival."""

    def __init__(self) -> None:
        """Creates an empty queue."""
        self._classes: dict[Priority, collections.deque[QueuedRequest[T]]] = {
            priority: collections.deque() for priority in Priority
        }

    def __len__(self) -> int:
        """Returns the number of queued requests."""
        return sum(len(waiting) for waiting in self._classes.values())

    def __iter__(self) -> Iterator[QueuedRequest[T]]:
        """Iterates over the requests in the order of service."""
        for priority in Priority:
            yield from self._classes[priority]

    def push(
        self, waiting: QueuedRequest[T], capacity: int
    ) -> tuple[QueuedRequest[T], ...]:
        """Queues a request; returns the ones that had to give way.

        A full queue gives up the newest request of the lowest class, which
        is the new request itself unless it ranks above another one.
        """
        self._classes[waiting.priority].append(waiting)
        displaced = []
        while len(self) > capacity:
            lowest = max(p for p in Priority if self._classes[p])
            displaced.append(self._classes[lowest].pop())
        return tuple(displaced)

    def expire(self, now_s: float, run_s: float) -> list[QueuedRequest[T]]:
        """Drops the requests that a run of `run_s` would finish too late."""
        expired = [w for w in self if now_s + run_s >= w.deadline_s]
        for waiting in expired:
            self._classes[waiting.priority].remove(waiting)
        return expired

    def pop(self) -> QueuedRequest[T] | None:
        """Takes the next request; call `expire` first."""
        for priority in Priority:
            if self._classes[priority]:
                return self._classes[priority].popleft()
        return None

    def remove(self, waiting: QueuedRequest[T]) -> bool:
        """Takes a request out; false when it is not queued any more."""
        try:
            self._classes[waiting.priority].remove(waiting)
        except ValueError:
            return False
        return True

    def clear(self) -> list[QueuedRequest[T]]:
        """Takes all requests out."""
        everything = list(self)
        for waiting in self._classes.values():
            waiting.clear()
        return everything
