"""Rate limit that the upstream states in its answers.

The limit holds for the requests of all nodes together. It is kept by the node
beside the upstream, because all requests of the upstream pass there. Senders
keep a copy and state it in their calls, so that a node that has just started
knows the limit before its upstream has answered.
"""

# Requests that the upstream may get at once after a pause, as seconds of the
# limit.
BURST_S = 0.25
# An upstream that takes no requests at all still gets one in five seconds: only
# an answer tells that the limit has ended.
MIN_RATE_PER_S = 0.2
# Messages carry a limit as an integer of 32 bits.
_PER_S_TO_MILLI = 1000
_MAX_MILLI = 2**31 - 1


def to_milli(rate_per_s: float | None) -> int:
    """Converts a limit for a message; 0 stands for no limit.

    >>> to_milli(16.8), to_milli(0.0), to_milli(None)
    (16800, 1, 0)
    """
    if rate_per_s is None:
        return 0
    return max(1, int(min(rate_per_s * _PER_S_TO_MILLI, _MAX_MILLI)))


def from_milli(rate_milli: int) -> float | None:
    """Converts a limit of a message.

    >>> from_milli(16800), from_milli(0)
    (16.8, None)
    """
    return rate_milli / _PER_S_TO_MILLI if rate_milli > 0 else None


class StatedRateLimiter:
    """Spaces out requests at the rate that the upstream states.

    A node that learns of a limit allows one request and no burst. Whatever an
    earlier process on the machine has sent, the rate is thus kept over a
    restart.

    Attributes:
        limit_per_s: The limit, or None.
    """

    def __init__(self) -> None:
        """Creates a limiter without a limit."""
        self.limit_per_s: float | None = None
        self._is_from_upstream = False
        self._limit_sent_s = float("-inf")
        # Time at which the requests sent so far have used up the limit.
        self._used_until_s = float("-inf")

    def reset(self) -> None:
        """Forgets the limit, because another upstream uses the address."""
        self.limit_per_s = None
        self._is_from_upstream = False
        self._limit_sent_s = float("-inf")

    def record_statement(
        self, limit_per_s: float | None, sent_s: float, now_s: float
    ) -> None:
        """Records what an answer of the upstream states.

        An answer without a limit ends the limit only if its request was sent
        after the last answer that stated one: answers may arrive out of order.

        Args:
            limit_per_s: Stated limit, or None.
            sent_s: Time at which the answered request was sent.
            now_s: Current time.
        """
        if limit_per_s is None and sent_s < self._limit_sent_s:
            return
        self._is_from_upstream = True
        if limit_per_s is not None:
            self._limit_sent_s = now_s
        self._set(limit_per_s, now_s)

    def record_copy(self, limit_per_s: float, now_s: float) -> None:
        """Records the limit that a sender knows.

        Counts only until the upstream has answered this process. The lowest
        copy counts, because their ages are unknown.
        """
        if self._is_from_upstream:
            return
        if self.limit_per_s is None or limit_per_s < self.limit_per_s:
            self._set(limit_per_s, now_s)

    def _set(self, limit_per_s: float | None, now_s: float) -> None:
        if limit_per_s is not None and self.limit_per_s is None:
            self._used_until_s = now_s + BURST_S
        self.limit_per_s = limit_per_s

    @property
    def rate_per_s(self) -> float:
        """Rate at which requests may be sent; 0 for no limit."""
        if self.limit_per_s is None:
            return 0.0
        return max(self.limit_per_s, MIN_RATE_PER_S)

    def record_sent(self, now_s: float) -> None:
        """Counts a request that is sent to the upstream."""
        if self.limit_per_s is not None:
            start_s = max(self._used_until_s, now_s)
            self._used_until_s = start_s + 1 / self.rate_per_s

    def wait_s(self, now_s: float) -> float:
        """Returns the time until the next request may be sent; 0 for now.

        >>> limiter = StatedRateLimiter()
        >>> limiter.record_statement(2.0, sent_s=9.9, now_s=10.0)
        >>> limiter.wait_s(10.0)
        0.0
        >>> limiter.record_sent(10.0)
        >>> limiter.wait_s(10.25)
        0.25
        """
        if self.limit_per_s is None:
            return 0.0
        return max(0.0, self._used_until_s - BURST_S - now_s)
