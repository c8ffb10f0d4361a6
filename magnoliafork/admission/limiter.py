"""Concurrency limit of an upstream, adapted to its latency."""

from magnoliafork.model.rules import ServiceRule

WINDOW_S = 1.0
# Fewer samples give no reliable mean latency.
MIN_SAMPLES = 5
# A window whose mean latency is above this multiple of the baseline counts
# as congested.
CONGESTED_FACTOR = 2.0
# Differences below this are scheduling noise on a loopback connection.
CONGESTED_SLACK_S = 0.005
DECREASE_FACTOR = 0.8
# The limit is never adapted below this share of the slots, so that a service
# whose calls are merely slow still gets requests.
MIN_SHARE = 0.25
# A slower window raises the baseline by this share of the difference, so that
# a lasting change of the upstream's latency becomes the baseline within some
# minutes.
BASELINE_WEIGHT = 0.02


class Limiter:
    """Counts active requests and adapts their limit to the latency."""

    def __init__(self, now_s: float) -> None:
        """Creates a limiter without active requests."""
        self._active = 0
        self._share = 1.0
        self._baseline_s: float | None = None
        self._window_end_s = now_s + WINDOW_S
        self._sum_s = 0.0
        self._samples = 0
        self._peak_active = 0
        self._fastest_s = 0.0
        self._window_fastest_s: float | None = None

    @property
    def active(self) -> int:
        """Number of requests that the upstream is running."""
        return self._active

    @property
    def fastest_s(self) -> float:
        """Shortest latency of the last window, 0 if it had no answer.

        An older latency is not used: after a slow period it could reject all
        requests as too late, and then no answer would show that the upstream
        is fast again.
        """
        return self._fastest_s

    def limit(self, rule: ServiceRule, ramp_allowed: int) -> int:
        """Returns how many requests may run at a time."""
        adaptive = max(1, int(rule.slots * self._share + 0.5))
        return max(0, min(ramp_allowed, adaptive, rule.connections))

    def start(self) -> None:
        """Counts a request that goes to the upstream."""
        self._active += 1
        self._peak_active = max(self._peak_active, self._active)

    def end(self) -> None:
        """Counts the end of a request."""
        self._active -= 1
        if self._active < 0:
            raise AssertionError("more requests ended than started")

    def on_latency(self, latency_s: float) -> None:
        """Records the latency of an answer."""
        self._sum_s += latency_s
        self._samples += 1
        fastest_s = self._window_fastest_s
        if fastest_s is None or latency_s < fastest_s:
            self._window_fastest_s = latency_s

    def tick(self, rule: ServiceRule, now_s: float) -> None:
        """Adapts the limit at the end of each window."""
        if now_s < self._window_end_s:
            return
        self._window_end_s = now_s + WINDOW_S
        self._fastest_s = self._window_fastest_s or 0.0
        self._window_fastest_s = None
        if self._samples >= MIN_SAMPLES:
            self._adapt(rule, self._sum_s / self._samples)
            self._sum_s = 0.0
            self._samples = 0
        self._peak_active = self._active

    def _adapt(self, rule: ServiceRule, mean_s: float) -> None:
        if self._baseline_s is None or mean_s < self._baseline_s:
            self._baseline_s = mean_s
        bound_s = self._baseline_s * CONGESTED_FACTOR + CONGESTED_SLACK_S
        in_use = self._peak_active * 2 >= rule.slots * self._share
        if mean_s > bound_s and in_use:
            self._share = max(MIN_SHARE, self._share * DECREASE_FACTOR)
        elif mean_s <= bound_s:
            self._share = min(1.0, self._share + 1 / max(1, rule.slots))
        self._baseline_s += (mean_s - self._baseline_s) * BASELINE_WEIGHT
