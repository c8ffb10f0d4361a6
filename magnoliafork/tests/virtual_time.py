"""An event loop whose clock tests pause and advance.

The loop never waits: when nothing is ready, its clock jumps to the next timer.
Hours of simulated time pass in milliseconds, and a run repeats exactly.
"""

import asyncio
import selectors
from collections.abc import Coroutine
from typing import Any, TypeVar

T = TypeVar("T")

SOCKET_WAIT_S = 0.002


class _VirtualTimeSelector(selectors.SelectSelector):
    """Returns at once and moves the clock instead of waiting."""

    def __init__(self) -> None:
        super().__init__()
        self.now_s = 1000.0

    def select(
        self, timeout: float | None = None
    ) -> list[tuple[selectors.SelectorKey, int]]:
        events = super().select(0)
        if not events and len(self.get_map()) > 1 and timeout != 0:
            # Bytes on loopback sockets may still be on their way.
            events = super().select(SOCKET_WAIT_S)
        if not events and timeout is None:
            raise RuntimeError("the test waits for something without a timer")
        if not events and timeout is not None:
            self.now_s += timeout
        return events


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """Event loop with a virtual clock, for code without real sockets."""

    def __init__(self) -> None:
        """Creates a loop whose clock starts at 1000 s."""
        self._time_selector = _VirtualTimeSelector()
        super().__init__(self._time_selector)

    def time(self) -> float:
        """Returns the virtual time in seconds."""
        return self._time_selector.now_s

    def jump(self, seconds: float) -> None:
        """Moves the clock as if the process had been paused."""
        self._time_selector.now_s += seconds


def run(main: Coroutine[Any, Any, T]) -> T:
    """Runs a coroutine to its end in virtual time."""
    with asyncio.Runner(loop_factory=VirtualTimeLoop) as runner:
        return runner.run(main)
