"""Makes requests of lower priority give way while higher ones lack room.

Load pattern: kinds of different urgency share an upstream that is too small for
all of them at times. Urgent requests have the shortest target latency, so that
a queue which is harmless to the others refuses them or answers them late. Their
order in the queue alone does not help: the slots are taken by what was admitted
before.

For each priority, the share of requests that were refused or late is averaged
over the last seconds. A request is refused with a probability that grows with
the amount by which a higher priority fares worse than `PREFERENCE` allows. As
its own share rises with that, the shares come to differ by that factor, and no
priority is refused without end.
"""

import dataclasses
import math
import random

# Time constant of the averages; some tens of requests of an upstream.
WINDOW_S = 2.0
# How many times worse a priority may fare than a higher one.
PREFERENCE = 1.5
# By how much a higher priority may fare worse before others give way.
TOLERATED_DIFFERENCE = 0.02
# Probability of a refusal for each unit of difference beyond that, and at most.
GAIN = 2.5
MAX_REFUSED_SHARE = 0.9
# Requests of a priority in the window below which its average counts for less.
MIN_REQUESTS = 8.0
MAX_PRIORITIES = 64
# Priority of the short calls of running requests; losing one loses the work
# that was done for the request that made it.
NESTED_CALL_PRIORITY = -1


@dataclasses.dataclass(slots=True)
class _Fate:
    """What became of the recent requests of one priority."""

    ended: float = 0.0
    bad: float = 0.0
    at_s: float = 0.0


class PriorityPressure:
    """Averages what becomes of requests, by priority."""

    def __init__(self) -> None:
        """Starts without requests."""
        self._fates: dict[int, _Fate] = {}

    def record(self, priority: int, now_s: float, *, is_bad: bool) -> None:
        """Counts a request that was answered, or refused for want of room.

        Args:
            priority: Its priority; lower numbers are more urgent.
            now_s: Loop time.
            is_bad: Whether it was refused or answered too late.
        """
        fate = self._fates.get(priority)
        if fate is None:
            if len(self._fates) >= MAX_PRIORITIES:
                return
            fate = self._fates[priority] = _Fate(at_s=now_s)
        kept = math.exp(-(now_s - fate.at_s) / WINDOW_S)
        fate.ended = fate.ended * kept + 1
        fate.bad = fate.bad * kept + is_bad
        fate.at_s = now_s

    def bad_share(self, priority: int, now_s: float) -> float:
        """Returns the share of requests that fared badly."""
        fate = self._fates.get(priority)
        if fate is None:
            return 0.0
        kept = math.exp(-(now_s - fate.at_s) / WINDOW_S)
        return fate.bad * kept / max(fate.ended * kept, MIN_REQUESTS)

    def refused_share(self, priority: int, now_s: float) -> float:
        """Returns the probability with which a request has to give way.

        >>> pressure = PriorityPressure()
        >>> for number in range(20):
        ...     pressure.record(0, 10.0, is_bad=number < 4)
        ...     pressure.record(1, 10.0, is_bad=False)
        >>> round(pressure.refused_share(1, 10.0), 2)
        0.7
        >>> pressure.refused_share(0, 10.0)
        0.0
        """
        higher = max(
            (self.bad_share(p, now_s) for p in self._fates if p < priority),
            default=0.0,
        )
        excess = higher * PREFERENCE - self.bad_share(priority, now_s)
        return min(
            max(0.0, (excess - TOLERATED_DIFFERENCE) * GAIN), MAX_REFUSED_SHARE
        )

    def has_to_give_way(
        self, priority: int, now_s: float, rng: random.Random
    ) -> bool:
        """Whether a request is refused in favour of a higher priority."""
        share = self.refused_share(priority, now_s)
        return share > 0.0 and rng.random() < share
