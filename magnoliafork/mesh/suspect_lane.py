"""Runs suspects of a crash one at a time on the upstream of this machine.

If the upstream crashes again, only one of the requests that ran there had been
a suspect before.
"""

import asyncio
import contextlib
from collections.abc import AsyncIterator

# Share of the time left until its deadline that a suspect may wait for others.
MAX_WAIT_SHARE = 0.5


class SuspectLane:
    """Lets one suspect in at a time, in the order of arrival."""

    def __init__(self) -> None:
        """Creates an empty lane."""
        self._lock = asyncio.Lock()
        self._waiting = 0

    @property
    def is_idle(self) -> bool:
        """Whether no suspect runs or waits."""
        return not self._waiting and not self._lock.locked()

    def wait_s(self, work_s: float) -> float:
        """Estimates how long the next suspect would wait.

        Args:
            work_s: Time that each suspect before it takes.
        """
        return (self._waiting + self._lock.locked()) * work_s

    @contextlib.asynccontextmanager
    async def enter(self, timeout_s: float) -> AsyncIterator[bool]:
        """Waits for its turn; yields false if that takes too long."""
        self._waiting += 1
        try:
            has_entered = await self._acquire(timeout_s)
        finally:
            self._waiting -= 1
        try:
            yield has_entered
        finally:
            if has_entered:
                self._lock.release()

    async def _acquire(self, timeout_s: float) -> bool:
        try:
            async with asyncio.timeout(timeout_s):
                return await self._lock.acquire()
        except TimeoutError:
            return False
