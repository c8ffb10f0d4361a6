"""Tracks what the upstream on this machine states about itself.

Its answers may name a limit for the rate of its requests, and say that it is
about to stop. Both hold for one incarnation of the upstream.
"""

import collections
from collections.abc import Callable

from magnoliafork.mesh.header_codec import UpstreamNotice
from magnoliafork.mesh.model import UpstreamEntry
from magnoliafork.mesh.stated_rate_limiter import StatedRateLimiter
from magnoliafork.mesh.upstream_table import UpstreamTable
from magnoliafork.observe.events import Event
from magnoliafork.observe.logs import EventLog

# Span in which sent requests are counted for logs and metrics.
SENT_WINDOW_S = 4.0


class NoticeMonitor:
    """Applies and logs the statements of the upstream.

    Attributes:
        limiter: Keeps the limit that the upstream states.
        entry: Incarnation of the upstream that the statements are of, or None.
    """

    def __init__(
        self,
        table: UpstreamTable,
        clock: Callable[[], float],
        log: EventLog,
        on_limited: Callable[[], None],
    ) -> None:
        """Creates a monitor of an upstream that has stated nothing yet.

        Calls `on_limited` when a limit was stated for the first time or has
        changed.
        """
        self._table = table
        self._clock = clock
        self._log = log
        self._on_limited = on_limited
        self._sent_s: collections.deque[float] = collections.deque()
        self.limiter = StatedRateLimiter()
        self.entry: UpstreamEntry | None = None

    @property
    def is_leaving(self) -> bool:
        """Whether the upstream has stated that it is about to stop."""
        return self.entry is not None and self._table.is_leaving(self.entry)

    @property
    def sent_in_window(self) -> int:
        """Requests sent in the last `SENT_WINDOW_S`."""
        self._expire()
        return len(self._sent_s)

    def record_sent(self) -> None:
        """Counts a request that is sent to the upstream."""
        now_s = self._clock()
        self.limiter.record_sent(now_s)
        self._sent_s.append(now_s)
        self._expire()

    def _expire(self) -> None:
        start_s = self._clock() - SENT_WINDOW_S
        while self._sent_s and self._sent_s[0] <= start_s:
            self._sent_s.popleft()

    def set_entry(self, entry: UpstreamEntry | None) -> None:
        """Drops the statements of another incarnation of the upstream.

        Without an entry, the incarnation is unknown and nothing changes.
        """
        if entry is None:
            return
        if self.entry is None or not self.entry.is_same_incarnation(entry):
            self.limiter.reset()
        self.entry = entry

    def record_answer(
        self, entry: UpstreamEntry, notice: UpstreamNotice, sent_s: float
    ) -> None:
        """Records the statements in an answer to a request.

        Args:
            entry: Upstream that has answered.
            notice: What it states.
            sent_s: Time at which the request was sent.
        """
        self._record(entry, notice, sent_s)

    def record_partial(
        self, entry: UpstreamEntry, notice: UpstreamNotice
    ) -> None:
        """Records the statements in a refusal or in the answer to a check.

        These need not repeat the limit, so they never end it.
        """
        self._record(entry, notice, float("-inf"))

    def _record(
        self, entry: UpstreamEntry, notice: UpstreamNotice, sent_s: float
    ) -> None:
        if self.entry is None or not self.entry.is_same_incarnation(entry):
            return
        if notice.is_limit_unreadable:
            self._log.warning(
                Event.UPSTREAM_LIMITED,
                upstream=entry.upstream_id,
                detail="limit is no number",
            )
        elif notice.rate_limit_per_s is not None or sent_s > float("-inf"):
            before_per_s = self.limiter.limit_per_s
            self.limiter.record_statement(
                notice.rate_limit_per_s, sent_s, self._clock()
            )
            self._report_limit(entry, before_per_s, "upstream")
        if notice.is_leaving and not self.is_leaving:
            self._table.record_leaving(entry.upstream_id, entry.started_unix_ms)
            self._log.info(Event.UPSTREAM_LEAVING, upstream=entry.upstream_id)

    def record_copy(self, upstream_id: str, limit_per_s: float | None) -> None:
        """Records the limit that a sender knows of an upstream."""
        entry = self.entry
        if entry is None or entry.upstream_id != upstream_id:
            return
        if limit_per_s is not None:
            before_per_s = self.limiter.limit_per_s
            self.limiter.record_copy(limit_per_s, self._clock())
            self._report_limit(entry, before_per_s, "sender")

    def _report_limit(
        self, entry: UpstreamEntry, before_per_s: float | None, stated_by: str
    ) -> None:
        limit_per_s = self.limiter.limit_per_s
        if limit_per_s != before_per_s:
            self._log.info(
                Event.UPSTREAM_LIMITED,
                upstream=entry.upstream_id,
                limit_per_s=limit_per_s,
                before_per_s=before_per_s,
                stated_by=stated_by,
                sent_in_4s=self.sent_in_window,
            )
            if limit_per_s is not None:
                self._on_limited()
