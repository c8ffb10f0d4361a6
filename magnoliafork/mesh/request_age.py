"""Estimates how long ago a caller sent a request for the first time.

A caller states with each attempt how long it still waits, and its answer is
late by the time of its first attempt. A retry comes on a new connection, so
that a request on a connection in use is a first attempt. Callers of one route
start with different time limits; a request counts as a retry only if it has
less time left than nearly all first attempts.
"""

import collections
import dataclasses
import math

from magnoliafork.mesh.model import MeshConfig, MeshRoute

# One caller with an unusual time limit makes the requests of all others seem
# old for at most two windows.
AGE_WINDOW_S = 30.0
# First attempts of a route that are remembered.
MAX_FIRST_ATTEMPTS = 64
MIN_FIRST_ATTEMPTS = 8
# Share of the first attempts that may have less time left than a request that
# does not count as a retry.
SHORT_LIMIT_QUANTILE = 0.05


@dataclasses.dataclass(slots=True)
class _LongestTime:
    """Longest remaining time in the current window and the one before it.

    Attributes:
        started_s: Start of the current window.
        current_s: Longest time in the current window.
        before_s: Longest time in the window before.
    """

    started_s: float
    current_s: float = 0.0
    before_s: float = 0.0

    def add(self, remaining_s: float, now_s: float) -> float:
        """Adds a time and returns the longest one."""
        passed_s = now_s - self.started_s
        if passed_s >= AGE_WINDOW_S:
            is_next = passed_s < 2 * AGE_WINDOW_S
            self.before_s = self.current_s if is_next else 0.0
            self.current_s = 0.0
            self.started_s = now_s
        self.current_s = max(self.current_s, remaining_s)
        return max(self.current_s, self.before_s)


class _FirstAttempts:
    """Remaining times of the latest first attempts of a route."""

    def __init__(self) -> None:
        self._latest_s: collections.deque[float] = collections.deque(
            maxlen=MAX_FIRST_ATTEMPTS
        )
        self._added = 0
        # Least remaining time of almost all of them, and as a share of the
        # longest one.
        self.short_s = math.inf
        self.short_share = 1.0

    @property
    def is_known(self) -> bool:
        """Whether there are enough of them."""
        return self._added >= MIN_FIRST_ATTEMPTS

    def add(self, remaining_s: float) -> None:
        """Adds a first attempt."""
        self._latest_s.append(remaining_s)
        self._added += 1
        if self._added % MIN_FIRST_ATTEMPTS == 0:
            ordered = sorted(self._latest_s)
            self.short_s = ordered[int(len(ordered) * SHORT_LIMIT_QUANTILE)]
            self.short_share = self.short_s / max(ordered[-1], 0.001)


class RequestAgeEstimator:
    """Estimates the time since a caller's first attempt, by route."""

    def __init__(self) -> None:
        """Creates an estimator without observations."""
        self._longest_s: dict[str, _LongestTime] = {}
        self._first: dict[str, _FirstAttempts] = {}

    def age_s(
        self,
        route: MeshRoute,
        remaining_s: float | None,
        now_s: float,
        *,
        is_first_attempt: bool,
    ) -> float:
        """Returns the time since the caller's first attempt.

        Args:
            route: Route of the request.
            remaining_s: Time for which the caller still waits, if known.
            now_s: Current time.
            is_first_attempt: Whether it is certainly no retry.
        """
        if remaining_s is None:
            return 0.0
        if is_first_attempt:
            self._first.setdefault(route.name, _FirstAttempts()).add(
                remaining_s
            )
            return 0.0
        longest = self._longest_s.setdefault(route.name, _LongestTime(now_s))
        longest_s = longest.add(remaining_s, now_s)
        first = self._first.get(route.name)
        if first is not None and first.is_known:
            return max(0.0, first.short_s - remaining_s)
        return max(0.0, longest_s * self._short_share() - remaining_s)

    def _short_share(self) -> float:
        """Returns how much the time limits of first attempts differ.

        Callers of routes without known first attempts are taken to differ as
        much as those of others.
        """
        return min(
            (first.short_share for first in self._first.values()), default=1.0
        )

    def retain(self, config: MeshConfig) -> None:
        """Drops the observations of routes that no longer exist."""
        names = {route.name for route in config.routes}
        for by_route in (self._longest_s, self._first):
            for name in by_route.keys() - names:
                del by_route[name]
