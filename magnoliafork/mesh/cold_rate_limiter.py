"""Rate limit of a cold upstream.

The limit is needed after a power loss, when callers return to upstreams that
are all cold: a cold upstream crashes at a rate well above the one that its
service states. Only the node on its machine sees all of its requests, so the
limit is enforced here, whatever senders assume.

A part of the limit is reserved for short calls, which come from requests that
already run on other upstreams. A refused short call fails such a request, and
wastes the place in the limit that the request has taken.
"""

import collections

WINDOW_S = 1.0
# Share of the limit that long requests may use. In the deployments' request
# mixes a third to a half of a service's requests are short calls.
LONG_REQUEST_SHARE = 0.65
# Nothing is reserved for short calls when none has arrived for this long.
SHORT_CALL_MEMORY_S = 5.0


class ColdRateLimiter:
    """Limits the rate of requests while the upstream is cold.

    An upstream whose state is unknown counts as cold.
    """

    def __init__(self, rate_factor: float) -> None:
        """Creates a limiter for an upstream whose state is unknown.

        Args:
            rate_factor: Share of a service's stated rate that its cold
                upstreams may get.
        """
        self._rate_factor = rate_factor
        self._cold_until_s: float | None = None
        self._sent_s: collections.deque[float] = collections.deque()
        self._long_sent_s: collections.deque[float] = collections.deque()
        self._last_short_call_s = float("-inf")

    @property
    def is_known(self) -> bool:
        """Whether it is known how long the upstream stays cold."""
        return self._cold_until_s is not None

    def is_cold(self, now_s: float) -> bool:
        """Returns whether the upstream is cold or its state is unknown."""
        return self._cold_until_s is None or now_s < self._cold_until_s

    def mark_unknown(self) -> None:
        """Marks the state as unknown; the upstream may have restarted."""
        self._cold_until_s = None

    def set_cold_time(self, cold_left_s: float, now_s: float) -> None:
        """Sets how much longer the upstream stays cold."""
        self._cold_until_s = now_s + cold_left_s

    def extend_cold_time(self, cold_left_s: float, now_s: float) -> None:
        """Sets the cold time if one is known and it ends earlier."""
        until_s = now_s + cold_left_s
        if self._cold_until_s is not None and until_s > self._cold_until_s:
            self._cold_until_s = until_s

    def record_short_call(self, now_s: float) -> None:
        """Records that a short call has arrived."""
        self._last_short_call_s = now_s

    def record_sent(self, now_s: float, *, is_short: bool) -> None:
        """Counts a request that is sent to the upstream."""
        self._sent_s.append(now_s)
        if not is_short:
            self._long_sent_s.append(now_s)
        self._expire(now_s)

    def wait_s(self, per_s: float, now_s: float, *, is_short: bool) -> float:
        """Returns the time until the next request may be sent; 0 for now.

        >>> limiter = ColdRateLimiter(rate_factor=1.0)
        >>> limiter.record_sent(10.0, is_short=False)
        >>> limiter.wait_s(per_s=1.0, now_s=10.25, is_short=False)
        0.75
        >>> limiter.wait_s(per_s=2.0, now_s=10.25, is_short=True)
        0.0
        """
        if per_s <= 0 or not self.is_cold(now_s):
            return 0.0
        self._expire(now_s)
        allowed = max(1, int(per_s * self._rate_factor))
        wait_s = _until_free_s(self._sent_s, allowed, now_s)
        if is_short or now_s - self._last_short_call_s > SHORT_CALL_MEMORY_S:
            return wait_s
        allowed_long = max(1, int(allowed * LONG_REQUEST_SHARE))
        return max(
            wait_s, _until_free_s(self._long_sent_s, allowed_long, now_s)
        )

    def _expire(self, now_s: float) -> None:
        for sent_s in (self._sent_s, self._long_sent_s):
            while sent_s and sent_s[0] <= now_s - WINDOW_S:
                sent_s.popleft()


def _until_free_s(
    sent_s: collections.deque[float], allowed: int, now_s: float
) -> float:
    if len(sent_s) < allowed:
        return 0.0
    return sent_s[-allowed] + WINDOW_S - now_s
