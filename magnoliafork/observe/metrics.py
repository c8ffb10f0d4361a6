"""Counters and latency histograms of a node."""

import dataclasses
import enum
import heapq
import itertools
from collections.abc import Iterator, Mapping

from hdrh.histogram import HdrHistogram

SIGNIFICANT_DIGITS = 2
LOWEST_LATENCY_US = 10
# The counts of a histogram take 512 bytes more each time this doubles; with
# 60 s, a histogram and its service's name took more than the 10 KB allowed.
HIGHEST_LATENCY_US = 30_000_000
# 32-bit counts halve the size, and a window of 60 s cannot overflow them.
HISTOGRAM_WORD_BYTES = 4
WINDOW_S = 60.0
# The first window of a histogram is shorter, so that a result is kept early.
# Until it ends, the quantiles are computed when they are read.
FIRST_WINDOW_S = 5.0
# Ending a window takes 0.35 ms. Ending all 301 in one tick would hold up every
# request for 0.1 s; at 4 ticks/s, all of them are ended within 38 s.
WINDOW_ENDS_PER_TICK = 2
MAX_SERVICES = 300
MAX_LABELS = 64
OTHER = "other"
QUANTILES = (0.5, 0.9, 0.99, 0.999)


class CounterName(enum.StrEnum):
    """What is counted."""

    REQUESTS_ANSWERED = "requests_answered"
    REQUESTS_NOT_RUN = "requests_not_run"
    REQUESTS_UNKNOWN = "requests_unknown"
    RETRIES = "retries"
    HEDGES = "hedges"
    CALLS_RECEIVED = "calls_received"
    CALLS_REFUSED = "calls_refused"
    CALLS_CUT = "calls_cut"
    FENCES = "fences"
    KEYS_MOVED = "keys_moved"
    EJECTIONS = "ejections"
    RAMPS = "ramps"
    SOURCE_READS = "source_reads"
    SOURCE_FAILURES = "source_failures"
    VERSIONS_APPLIED = "versions_applied"
    VERSIONS_REJECTED = "versions_rejected"
    VERSIONS_IGNORED = "versions_ignored"
    VERSION_CONFLICTS = "version_conflicts"
    CONTROL_BYTES_SENT = "control_bytes_sent"
    CONTROL_BYTES_RECEIVED = "control_bytes_received"
    FRAMES_MALFORMED = "frames_malformed"
    LINKS_LOST = "links_lost"
    CLOCK_JUMPS = "clock_jumps"
    SPANS_DROPPED = "spans_dropped"


# Counters that are split, and the name of the label that splits them.
COUNTER_LABELS: Mapping[CounterName, str] = {
    CounterName.REQUESTS_NOT_RUN: "reason",
    CounterName.REQUESTS_UNKNOWN: "reason",
    CounterName.CALLS_REFUSED: "reason",
    CounterName.LINKS_LOST: "reason",
    CounterName.VERSIONS_IGNORED: "reason",
}


@dataclasses.dataclass(frozen=True, slots=True)
class LatencySummary:
    """Latencies of one window; totals are since the start.

    Attributes:
        count: Values since the start.
        sum_us: Sum of the values since the start.
        quantiles_us: Value at each quantile of the window.
        max_us: Highest value of the window.
    """

    count: int
    sum_us: int
    quantiles_us: Mapping[float, int]
    max_us: int


class LatencyHistogram:
    """Latencies since the start and their quantiles in the last window.

    Only one histogram is held: at the end of a window its quantiles are kept
    as plain numbers and it is cleared.
    """

    __slots__ = (
        "_count",
        "_count_before",
        "_histogram",
        "_last_window",
        "_sum_us",
    )

    def __init__(self) -> None:
        """Starts without values."""
        self._histogram = HdrHistogram(
            LOWEST_LATENCY_US,
            HIGHEST_LATENCY_US,
            SIGNIFICANT_DIGITS,
            word_size=HISTOGRAM_WORD_BYTES,
        )
        self._count = 0
        self._count_before = 0
        self._sum_us = 0
        self._last_window: tuple[Mapping[float, int], int] | None = None

    def record(self, seconds: float) -> None:
        """Records one latency; longer ones count as the highest value."""
        value_us = int(seconds * 1e6)
        value_us = min(max(value_us, LOWEST_LATENCY_US), HIGHEST_LATENCY_US)
        self._count += 1
        self._sum_us += value_us
        self._histogram.record_value(value_us)

    def end_window(self) -> None:
        """Keeps the quantiles of the window and begins a new one."""
        if self._count == self._count_before:
            self._last_window = ({}, 0)
            return
        self._count_before = self._count
        self._last_window = self._quantiles()
        self._histogram.reset()

    def summary(self) -> LatencySummary:
        """Returns the last full window, or the first one while it runs."""
        quantiles_us, max_us = self._last_window or self._quantiles()
        return LatencySummary(self._count, self._sum_us, quantiles_us, max_us)

    def _quantiles(self) -> tuple[Mapping[float, int], int]:
        if not self._histogram.get_total_count():
            return {}, 0
        percentiles = [100 * quantile for quantile in QUANTILES]
        values = self._histogram.get_percentile_to_value_dict(percentiles)
        quantiles_us = {
            quantile: int(values[percentile])
            for quantile, percentile in zip(QUANTILES, percentiles, strict=True)
        }
        return quantiles_us, int(self._histogram.get_max_value())


@dataclasses.dataclass(slots=True)
class Metrics:
    """All metrics of a node, limited in size whatever callers send.

    Attributes:
        added_latency: Latency that the node adds to a request.
        services: Latency of calls by called service.
        counters: Counts by name and label value; the label of counters that
            are not split is empty.
    """

    added_latency: LatencyHistogram = dataclasses.field(
        default_factory=LatencyHistogram
    )
    services: dict[str, LatencyHistogram] = dataclasses.field(
        default_factory=dict
    )
    counters: dict[CounterName, dict[str, int]] = dataclasses.field(
        default_factory=dict
    )
    _window_ends: list[tuple[float, int, LatencyHistogram]] = dataclasses.field(
        default_factory=list
    )
    _tie_breaker: Iterator[int] = dataclasses.field(
        default_factory=itertools.count
    )
    _unscheduled: list[LatencyHistogram] = dataclasses.field(
        default_factory=list
    )

    def __post_init__(self) -> None:
        """Schedules the first window of the added latency."""
        self._unscheduled.append(self.added_latency)

    def count(self, name: CounterName, label: str = "", by: int = 1) -> None:
        """Adds to a counter."""
        values = self.counters.setdefault(name, {})
        if label not in values and len(values) >= MAX_LABELS:
            label = OTHER
        values[label] = values.get(label, 0) + by

    def record_added_latency(self, seconds: float) -> None:
        """Records the latency that the node added to one request."""
        self.added_latency.record(seconds)

    def record_call(self, service: str, seconds: float) -> None:
        """Records the latency of one call to a service."""
        is_new = service not in self.services
        if is_new and len(self.services) >= MAX_SERVICES:
            service = OTHER
        if service not in self.services:
            self.services[service] = LatencyHistogram()
            self._unscheduled.append(self.services[service])
        self.services[service].record(seconds)

    def tick(self, now_s: float) -> None:
        """Ends windows that are due, at most `WINDOW_ENDS_PER_TICK`."""
        for histogram in self._unscheduled:
            self._schedule_end(now_s + FIRST_WINDOW_S, histogram)
        self._unscheduled.clear()
        for _ in range(WINDOW_ENDS_PER_TICK):
            if not self._window_ends or now_s < self._window_ends[0][0]:
                return
            _, _, histogram = heapq.heappop(self._window_ends)
            histogram.end_window()
            self._schedule_end(now_s + WINDOW_S, histogram)

    def _schedule_end(self, end_s: float, histogram: LatencyHistogram) -> None:
        heapq.heappush(
            self._window_ends, (end_s, next(self._tie_breaker), histogram)
        )

    def totals(self) -> dict[str, int]:
        """Returns every counter by name; split ones as `name.label`.

        >>> metrics = Metrics()
        >>> metrics.count(CounterName.RETRIES, by=2)
        >>> metrics.count(CounterName.REQUESTS_NOT_RUN, "overloaded")
        >>> metrics.totals()
        {'requests_not_run.overloaded': 1, 'retries': 2}
        """
        totals = {
            f"{name}.{label}" if label else name.value: value
            for name, values in self.counters.items()
            for label, value in values.items()
        }
        return dict(sorted(totals.items()))
