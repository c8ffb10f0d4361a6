"""Whether a tenant takes more than its share of a busy upstream.

Load pattern: one tenant sends many times its usual while the others send what
they always send. Its requests wait behind theirs, so that the others are
answered in time as long as they alone would be. Tenants share an upstream in
proportion to their quotas; one without a quota counts as a mean one.
"""

import dataclasses
import math

# Time constant of the averages: a few seconds of an upstream's load.
SHARE_WINDOW_S = 3.0
# A tenant is over its share at this multiple of it; small ones vary by chance.
EXCESS_FACTOR = 2.0
# Work within the window below which a tenant is never over its share.
MIN_REQUESTS = 8.0
MAX_TENANTS = 512


@dataclasses.dataclass(slots=True)
class _Use:
    """Recent requests of one tenant."""

    requests: float
    weight: float
    at_s: float


class TenantShares:
    """Counts the recent requests of tenants at one upstream."""

    def __init__(self) -> None:
        """Starts without requests."""
        self._uses: dict[str, _Use] = {}

    def record(self, tenant: str, quota_per_s: float, now_s: float) -> None:
        """Counts a request of a tenant.

        Args:
            tenant: Name of the tenant.
            quota_per_s: Its quota; 0 without one.
            now_s: Loop time.
        """
        use = self._uses.pop(tenant, None) or _Use(0.0, 0.0, now_s)
        use.requests = _decayed(use, now_s) + 1
        use.weight, use.at_s = quota_per_s, now_s
        # The dictionary is kept in the order of use.
        self._uses[tenant] = use
        if len(self._uses) > MAX_TENANTS:
            del self._uses[next(iter(self._uses))]

    def is_over(self, tenant: str, now_s: float) -> bool:
        """Whether a tenant has more than its share of the recent requests."""
        use = self._uses.get(tenant)
        if use is None or _decayed(use, now_s) < MIN_REQUESTS:
            return False
        requests = {name: _decayed(u, now_s) for name, u in self._uses.items()}
        active = {name for name, count in requests.items() if count >= 0.5}
        weights = [
            self._uses[n].weight for n in active if self._uses[n].weight > 0
        ]
        mean = sum(weights) / len(weights) if weights else 1.0
        total = sum(self._uses[n].weight or mean for n in active)
        share = (use.weight or mean) / total if total else 1.0
        if len(active) < 2:
            return False
        return requests[tenant] > sum(requests.values()) * min(
            1.0, share * EXCESS_FACTOR
        )


def _decayed(use: _Use, now_s: float) -> float:
    return use.requests * math.exp(-(now_s - use.at_s) / SHARE_WINDOW_S)
