"""Limits on how often one node reads the configuration service."""

import math
import random

# Tolerance for rounding in the refill, so that a reader that has waited long
# enough gets its token.
_EPSILON_TOKENS = 1e-9
# The buckets of the nodes fill at different times, so that some seconds have
# more reads than the mean. Without a margin, 2,300 nodes made up to 2,042 reads
# in one second at a mean of 2,000. With a margin of 10%, 60 nodes made 31 reads
# where 24 were allowed. The counts per second vary at most like a Poisson
# distribution, whose standard deviation is the square root of its mean.
MARGIN_DEVIATIONS = 5.0
# Share of the fleet's reads that is reserved for zone readers. With equal
# shares for all of 2,300 nodes, a zone reader had one read in 7.4 s, and a
# version with four changed parts took longer than the 16 s within which it must
# be in force.
READER_SHARE = 0.5


class ReadBudget:
    """Token bucket that limits a node to its share of the fleet's reads.

    The bucket holds one token, which spaces reads by at least 1 / rate: a
    larger bucket would let the whole fleet burst at once after an outage.
    It starts at a random level, so that nodes that start together spread
    their first reads over one interval.
    """

    def __init__(
        self,
        fleet_reads_per_s: float,
        fleet_size_floor: int,
        rng: random.Random,
        now_s: float,
    ) -> None:
        """Creates a bucket.

        Args:
            fleet_reads_per_s: Reads that the source allows for all nodes
                together in any second.
            fleet_size_floor: Smallest fleet size assumed; protects the
                source while a starting node knows few of its peers.
            rng: Random generator for the initial level.
            now_s: Current time.
        """
        self._fleet_reads_per_s = mean_for_limit(fleet_reads_per_s)
        self._fleet_size_floor = max(1, fleet_size_floor)
        self._rate_per_s = self._rate(self._fleet_size_floor, 0)
        self._tokens = rng.random()
        self._updated_s = now_s

    @property
    def rate_per_s(self) -> float:
        """Reads that this node may make per second."""
        return self._rate_per_s

    def set_fleet_size(
        self, size: int, now_s: float, reader_count: int = 0
    ) -> None:
        """Adapts the rate to the number of known nodes.

        Args:
            size: Number of known nodes.
            now_s: Current time.
            reader_count: Number of zone readers if this node is one, else 0.
        """
        self._refill(now_s)
        self._rate_per_s = self._rate(size, reader_count)

    def _rate(self, size: int, reader_count: int) -> float:
        common = self._fleet_reads_per_s * (1 - READER_SHARE)
        rate_per_s = common / max(size, self._fleet_size_floor)
        if reader_count > 0:
            rate_per_s += self._fleet_reads_per_s * READER_SHARE / reader_count
        return rate_per_s

    def take(self, now_s: float) -> float:
        """Takes one read if there is one.

        Returns:
            0 when the read may start now, else the time to wait before the
            next attempt, in seconds.
        """
        self._refill(now_s)
        if self._tokens >= 1 - _EPSILON_TOKENS:
            self._tokens = max(0.0, self._tokens - 1)
            return 0.0
        return (1 - self._tokens) / self._rate_per_s

    def _refill(self, now_s: float) -> None:
        elapsed_s = max(0.0, now_s - self._updated_s)
        self._updated_s = max(now_s, self._updated_s)
        self._tokens = min(1.0, self._tokens + elapsed_s * self._rate_per_s)


def mean_for_limit(limit: float) -> float:
    """Returns the mean for which mean + 5 standard deviations is the limit.

    >>> round(mean_for_limit(2000))
    1789
    >>> round(mean_for_limit(24))
    9
    """
    root = math.sqrt(MARGIN_DEVIATIONS**2 + 4 * limit)
    return ((root - MARGIN_DEVIATIONS) / 2) ** 2


class Backoff:
    """Capped exponential back-off with full jitter."""

    def __init__(self, base_s: float, rng: random.Random) -> None:
        """Creates a back-off whose first delay is below `base_s`."""
        self._base_s = base_s
        self._rng = rng
        self._limit_s = base_s

    def next_delay_s(self, cap_s: float) -> float:
        """Returns a random delay and doubles the limit of the next one."""
        self._limit_s = min(cap_s, self._limit_s)
        delay_s = self._rng.uniform(0, self._limit_s)
        self._limit_s *= 2
        return delay_s

    def reset(self) -> None:
        """Makes the next delay start from the base again."""
        self._limit_s = self._base_s
