"""Requests that the upstream got lately.

A sender whose connection has failed asks whether its request reached the
upstream. If it did not, the request may be sent elsewhere without a retry.
"""

# Longer than senders ask about a request after they have sent it.
WINDOW_S = 12.0
# Requests of one window. Beyond that, every request may have been sent.
MAX_REQUESTS = 16_384


class RecentRequests:
    """Remembers the hashes of request ids for one to two windows.

    Two ids with the same hash make a request look sent that was not, which is
    the safe mistake.
    """

    def __init__(self) -> None:
        """Starts without requests."""
        self._current: set[int] = set()
        self._before: set[int] = set()
        self._started_s = float("-inf")
        self._forgotten_until_s = float("-inf")

    def add(self, request_id: str, now_s: float) -> None:
        """Records that a request is being sent to the upstream."""
        self._rotate(now_s)
        if len(self._current) >= MAX_REQUESTS:
            self._forgotten_until_s = now_s + WINDOW_S
            return
        self._current.add(hash(request_id))

    def may_contain(self, request_id: str, now_s: float) -> bool:
        """Whether a request of the last window may have been sent."""
        self._rotate(now_s)
        key = hash(request_id)
        return (
            now_s < self._forgotten_until_s
            or key in self._current
            or key in self._before
        )

    def _rotate(self, now_s: float) -> None:
        passed_s = now_s - self._started_s
        if passed_s < WINDOW_S:
            return
        is_next = passed_s < 2 * WINDOW_S
        self._before = self._current if is_next else set()
        self._current = set()
        self._started_s = now_s
