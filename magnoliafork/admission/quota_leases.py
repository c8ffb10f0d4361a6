"""Tokens of tenants' quotas that a node holds for the requests it takes.

Load pattern: some tenants send hundreds of requests a second through a node,
most send one now and then. A node asks for as many tokens as it uses while they
are valid, so that large tenants cost few messages and small ones keep no tokens
from other nodes.
"""

import dataclasses
import math

from magnoliafork.admission.quota_owner import LEASE_S

# Time constant of the average rate of a tenant at this node.
RATE_WINDOW_S = 1.0
# Time for which owners without tokens are not asked again. Buckets hold more
# than they gain in it, so that nothing of the quota is lost.
DENIED_PAUSE_S = 0.2
# Tenants whose use is remembered; the one that was idle for longest is dropped.
MAX_TENANTS = 20_000


@dataclasses.dataclass(slots=True)
class Lease:
    """Tokens of one tenant, and how many it uses.

    Attributes:
        tokens: Tokens left.
        expires_s: Time at which they expire.
        denied_until_s: Time until which no owner is asked again.
        retry_at_s: Time at which refused callers may come again.
        denials: Denials in a row.
        rate_per_s: Average rate of requests.
        rated_at_s: Time of that average.
        passed: Requests that have passed since the start.
        refused: Requests that were refused since the start.
    """

    tokens: int = 0
    expires_s: float = -math.inf
    denied_until_s: float = -math.inf
    retry_at_s: float = -math.inf
    denials: int = 0
    rate_per_s: float = 0.0
    rated_at_s: float = -math.inf
    passed: int = 0
    refused: int = 0


class QuotaLeases:
    """Tokens by tenant."""

    def __init__(self) -> None:
        """Starts without tokens."""
        self._leases: dict[str, Lease] = {}

    def of(self, name: str) -> Lease:
        """Returns what is held for a tenant."""
        lease = self._leases.pop(name, None) or Lease()
        # The dictionary is kept in the order of use.
        self._leases[name] = lease
        if len(self._leases) > MAX_TENANTS:
            del self._leases[next(iter(self._leases))]
        return lease

    def record_request(self, name: str, now_s: float) -> None:
        """Counts a request for the average rate."""
        lease = self.of(name)
        passed_s = max(0.0, now_s - lease.rated_at_s)
        kept = math.exp(-passed_s / RATE_WINDOW_S)
        lease.rate_per_s = lease.rate_per_s * kept + 1 / RATE_WINDOW_S
        lease.rated_at_s = now_s

    def take(self, name: str, now_s: float) -> bool:
        """Takes a token if a valid one is left."""
        lease = self.of(name)
        if lease.tokens <= 0 or now_s >= lease.expires_s:
            return False
        lease.tokens -= 1
        lease.passed += 1
        return True

    def give_back(self, name: str, now_s: float) -> None:
        """Returns the token of a request that was not run."""
        lease = self.of(name)
        if now_s < lease.expires_s:
            lease.tokens += 1

    def wanted(self, name: str, waiting: int) -> int:
        """Returns how many tokens to ask for.

        Args:
            name: Name of the tenant.
            waiting: Requests that wait for a token.
        """
        return waiting + int(self.of(name).rate_per_s * LEASE_S)

    def wants_more(self, name: str) -> bool:
        """Whether to ask for the next tokens before a request needs them."""
        lease = self.of(name)
        return lease.tokens <= 0 and lease.rate_per_s * LEASE_S >= 2

    def record_grant(self, name: str, tokens: int, asked_s: float) -> None:
        """Adds granted tokens.

        Args:
            name: Name of the tenant.
            tokens: Granted tokens.
            asked_s: Time at which they were requested.
        """
        lease = self.of(name)
        lease.denials = 0
        # Another owner may have granted tokens meanwhile. All of them expire
        # with those that were requested first.
        if lease.tokens <= 0 or lease.expires_s <= asked_s:
            lease.tokens, lease.expires_s = tokens, asked_s + LEASE_S
        else:
            lease.tokens += tokens
            lease.expires_s = min(lease.expires_s, asked_s + LEASE_S)

    def record_denial(self, name: str, now_s: float, retry_s: float) -> None:
        """Records that the owners have no tokens left.

        Args:
            name: Name of the tenant.
            now_s: Time of their replies.
            retry_s: Time after which refused callers may come again.
        """
        lease = self.of(name)
        lease.denied_until_s = now_s + DENIED_PAUSE_S
        lease.retry_at_s = now_s + retry_s
        lease.denials += 1

    def largest(self, count: int) -> list[tuple[str, Lease]]:
        """Returns the tenants with the most requests since the start."""
        ranked = sorted(
            self._leases.items(),
            key=lambda item: (-item[1].passed - item[1].refused, item[0]),
        )
        return ranked[:count]
