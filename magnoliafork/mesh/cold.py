"""Rate limit of a cold upstream.

A cold upstream crashes at a rate well above what its service states. Only the
node beside it sees all of its requests, so that the limit is kept here,
whatever senders believe.
"""

import collections

WINDOW_S = 1.0
# A server tolerates half as much again; the rest is left to requests of an
# earlier process of this node.
COLD_RATE_FACTOR = 1.2


class ColdGate:
    """Knows whether the upstream is cold and bounds its requests if so.

    An upstream of which nothing is known is taken to be cold.
    """

    def __init__(self) -> None:
        """Starts without knowledge."""
        self._cold_until_s: float | None = None
        self._sent_s: collections.deque[float] = collections.deque()

    @property
    def is_known(self) -> bool:
        """Whether it is known how long the upstream stays cold."""
        return self._cold_until_s is not None

    def is_cold(self, now_s: float) -> bool:
        """Tells whether the upstream is cold or unknown."""
        return self._cold_until_s is None or now_s < self._cold_until_s

    def doubt(self) -> None:
        """Forgets what is known; the upstream may have started anew."""
        self._cold_until_s = None

    def learn(self, cold_left_s: float, now_s: float) -> None:
        """Takes over how much longer the upstream stays cold."""
        self._cold_until_s = now_s + cold_left_s

    def extend(self, cold_left_s: float, now_s: float) -> None:
        """Takes over a cold time only if it ends later than the known one."""
        until_s = now_s + cold_left_s
        if self._cold_until_s is not None and until_s > self._cold_until_s:
            self._cold_until_s = until_s

    def note_sent(self, now_s: float) -> None:
        """Counts a request that goes to the upstream."""
        self._sent_s.append(now_s)
        self._expire(now_s)

    def wait_s(self, per_s: float, now_s: float) -> float:
        """Returns the time until the next request may go; 0 for at once.

        >>> gate = ColdGate()
        >>> gate.note_sent(10.0)
        >>> gate.wait_s(per_s=1.0, now_s=10.25)
        0.75
        """
        if per_s <= 0 or not self.is_cold(now_s):
            return 0.0
        self._expire(now_s)
        allowed = max(1, int(per_s * COLD_RATE_FACTOR))
        if len(self._sent_s) < allowed:
            return 0.0
        return self._sent_s[-allowed] + WINDOW_S - now_s

    def _expire(self, now_s: float) -> None:
        while self._sent_s and self._sent_s[0] <= now_s - WINDOW_S:
            self._sent_s.popleft()
