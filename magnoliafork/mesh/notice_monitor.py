"""Tracks what the upstream on this machine states about itself.

Its answers may name a limit for the rate of its requests, and say that it is
about to stop. Both hold for one incarnation of the upstream.
"""

import collections
from collections.abc import Callable

from magnoliafork.mesh.header_codec import UpstreamNotice
from magnoliafork.mesh.model import UpstreamEntry
from magnoliafork.observe.events import Event
from magnoliafork.observe.logs import EventLog

# Span in which sent requests are counted for logs and metrics.
SENT_WINDOW_S = 4.0


class NoticeMonitor:
    """Keeps and logs the statements of the upstream.

    Attributes:
        rate_limit_per_s: Limit that the upstream states, or None.
        is_leaving: Whether the upstream is about to stop.
    """

    def __init__(self, clock: Callable[[], float], log: EventLog) -> None:
        """Creates a monitor of an upstream that has stated nothing yet."""
        self._clock = clock
        self._log = log
        self._incarnation = ("", 0)
        self._sent_s: collections.deque[float] = collections.deque()
        self.rate_limit_per_s: float | None = None
        self.is_leaving = False

    def record_sent(self) -> None:
        """Counts a request that is sent to the upstream."""
        self._sent_s.append(self._clock())
        self._expire()

    @property
    def sent_in_window(self) -> int:
        """Requests sent in the last `SENT_WINDOW_S`."""
        self._expire()
        return len(self._sent_s)

    def _expire(self) -> None:
        start_s = self._clock() - SENT_WINDOW_S
        while self._sent_s and self._sent_s[0] <= start_s:
            self._sent_s.popleft()

    def record(self, entry: UpstreamEntry, notice: UpstreamNotice) -> None:
        """Records the statements in an answer of an upstream."""
        incarnation = (entry.upstream_id, entry.started_unix_ms)
        if incarnation != self._incarnation:
            self._incarnation = incarnation
            self.rate_limit_per_s = None
            self.is_leaving = False
        if notice.is_limit_unreadable:
            self._log.warning(
                Event.UPSTREAM_LIMITED,
                upstream=entry.upstream_id,
                detail="limit is no number",
            )
        elif notice.rate_limit_per_s != self.rate_limit_per_s:
            self._log.info(
                Event.UPSTREAM_LIMITED,
                upstream=entry.upstream_id,
                limit_per_s=notice.rate_limit_per_s,
                before_per_s=self.rate_limit_per_s,
                sent_in_4s=self.sent_in_window,
            )
            self.rate_limit_per_s = notice.rate_limit_per_s
        if notice.is_leaving and not self.is_leaving:
            self.is_leaving = True
            self._log.info(Event.UPSTREAM_LEAVING, upstream=entry.upstream_id)
