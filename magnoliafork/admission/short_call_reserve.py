"""Keeps slots free for the short calls that running requests make.

Load pattern: long requests fill all slots of an upstream that also serves short
calls. A call goes ahead of everything that waits, but nothing that runs makes
room for it: with 6 slots and work of 0.5 s, it waits 80 ms on average, longer
than its own work, and once for each call that its parent makes one after the
other. What its parent has done so far is lost if the call comes too late.

As many slots are kept as the short calls use on average (Little's law: arrivals
a second times their work), so that long requests lose about what they would
have to share in any case.
"""

import dataclasses
import math
from collections.abc import Callable

# Time constant of the average rate of arrivals.
WINDOW_S = 3.0
# Most of the slots that are kept.
MAX_SHARE = 1 / 3
MAX_KINDS = 64


@dataclasses.dataclass(slots=True)
class _Arrivals:
    """Average rate of the calls of one kind."""

    per_s: float
    at_s: float


class ShortCallReserve:
    """Decides how many slots long requests leave free."""

    def __init__(self) -> None:
        """Starts without calls."""
        self._by_kind: dict[int, _Arrivals] = {}

    def record_call(self, kind: int, now_s: float) -> None:
        """Counts a short call of a kind."""
        arrivals = self._by_kind.pop(kind, None) or _Arrivals(0.0, now_s)
        arrivals.per_s = _rate_per_s(arrivals, now_s) + 1 / WINDOW_S
        arrivals.at_s = now_s
        # The dictionary is kept in the order of arrival.
        self._by_kind[kind] = arrivals
        if len(self._by_kind) > MAX_KINDS:
            del self._by_kind[next(iter(self._by_kind))]

    def slots(
        self,
        limit: int,
        work_s: Callable[[int], float],
        now_s: float,
    ) -> int:
        """Returns how many slots only short calls may use.

        Args:
            limit: Slots of the upstream.
            work_s: Returns the average work of a kind; 0 if its requests do not
                count as short calls any more.
            now_s: Loop time.

        >>> reserve = ShortCallReserve()
        >>> for number in range(200):
        ...     reserve.record_call(120, 10.0 + number / 20)
        >>> reserve.slots(6, lambda kind: 0.05, 20.0)
        1
        >>> reserve.slots(6, lambda kind: 0.5, 20.0)
        2
        >>> reserve.slots(6, lambda kind: 0.0, 20.0)
        0
        >>> reserve.slots(6, lambda kind: 0.05, 60.0)
        0
        """
        used = sum(
            _rate_per_s(arrivals, now_s) * work_s(kind)
            for kind, arrivals in self._by_kind.items()
        )
        return min(math.floor(used + 0.5), int(limit * MAX_SHARE))


def _rate_per_s(arrivals: _Arrivals, now_s: float) -> float:
    return arrivals.per_s * math.exp(-(now_s - arrivals.at_s) / WINDOW_S)
