"""Grants parts of a tenant's quota that holds over all nodes.

Load pattern: requests of one tenant arrive at many nodes, a few at each, and
move between them. A fixed part of the quota for each node would refuse most of
it, and counting afterwards lets a burst pass before anyone knows of it.

Each quota has up to `MAX_OWNERS` owners, chosen by the hash ring of the
hosts. Each owner fills a token bucket with an equal part of the rate and the
burst, and nodes ask owners for tokens before they let requests pass. Tokens
expire `LEASE_S` after they were requested. What is granted is therefore never
more than the quota, whichever messages are lost, late or doubled.

Nodes may know different hosts for a while. An owner that others no longer take
for one must have stopped before its successor begins:

* An owner grants its whole part only while its view is known to have been
  current less than `MAX_VIEW_AGE_S` ago.
* It begins only after it was an owner by all hash rings that were in force in
  the last `TAKEOVER_S`, which is longer than that.

Otherwise it grants a small share of its part, which the deployment's tolerance
covers (`QuotaPolicy`). A process that has just started waits for the leases of
its predecessor only. If hosts changed within `TAKEOVER_S` before its start, and
the former owner is cut off together with nodes that use it, that one may grant
its part of the quota until its view is too old.

What a tenant may send is counted in windows: the rate times the window and the
burst. An owner therefore fills its bucket at the rate that uses a window up,
and leaves room for leases that reach into the next one.
"""

import collections
import dataclasses
import math

from magnoliafork.balance.hash_ring import HashRing

# With three owners, two thirds of the quota stay usable while one is lost.
MAX_OWNERS = 3
LEASE_S = 0.3
# Somewhat less than the time after which keys are refused in any case.
MAX_VIEW_AGE_S = 4.5
TAKEOVER_S = MAX_VIEW_AGE_S + LEASE_S + 0.25
# Parts of what a window allows: for bursts after a pause, and for owners that
# may not be the only ones.
BURST_SHARE = 0.05
UNCERTAIN_SHARE = 0.05
MIN_RETRY_AFTER_S = 0.1
MAX_RETRY_AFTER_S = 2.0
# Time in which refused callers come back; those of this time are ahead of the
# next one in the retry time that it is told.
DENIED_WINDOW_S = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class Grant:
    """Reply to a request for tokens.

    Attributes:
        tokens: Granted tokens.
        retry_after_s: Time after which another token is expected.
        is_owner: False if this node owns no part of the quota.
    """

    tokens: int
    retry_after_s: float = 0.0
    is_owner: bool = True


@dataclasses.dataclass(frozen=True, slots=True)
class QuotaPolicy:
    """How quotas are counted.

    Attributes:
        window_s: Length of the window in which requests are counted.
        overage: Share by which a quota may be exceeded in a window.
        slack: Requests by which it may be exceeded besides.
    """

    window_s: float = 5.0
    overage: float = 0.25
    slack: float = 0.0

    def allowed(self, rate_per_s: float, burst: float) -> float:
        """Returns how many requests may run in a window."""
        allowed = rate_per_s * self.window_s + burst
        return allowed * (1 + self.overage) + self.slack

    def capacity(self, rate_per_s: float, burst: float) -> float:
        """Returns how many tokens may be granted at once after a pause."""
        return min(burst, self.allowed(rate_per_s, burst) * BURST_SHARE)

    def per_s(self, rate_per_s: float, burst: float) -> float:
        """Returns the rate that uses up what a window allows.

        Leases that were granted before a window may be used in it.

        >>> round(QuotaPolicy().per_s(85, 85))
        108
        """
        certain = self.allowed(rate_per_s, burst) * (1 - UNCERTAIN_SHARE)
        spare = certain - self.capacity(rate_per_s, burst)
        return spare / (self.window_s + LEASE_S)

    def uncertain_per_s(self, rate_per_s: float, burst: float) -> float:
        """Returns what owners grant that may not be the only ones."""
        spare = self.allowed(rate_per_s, burst) * UNCERTAIN_SHARE
        return spare / (self.window_s + LEASE_S)


@dataclasses.dataclass(slots=True)
class _Part:
    """Token bucket of one tenant at an owner.

    Attributes:
        tokens: Tokens that can be granted.
        filled_at_s: Time up to which it is filled.
        denied: Recent requests for tokens without a grant.
    """

    tokens: float
    filled_at_s: float
    denied: float = 0.0


class QuotaOwner:
    """Decides how many tokens of the quotas that it owns nodes get."""

    def __init__(
        self, own_host: str, now_s: float, policy: QuotaPolicy
    ) -> None:
        """Creates an owner that knows no hosts.

        Args:
            own_host: Host of this node.
            now_s: Time of its start, on a clock that counts suspension.
            policy: How quotas are counted.
        """
        self._own_host = own_host
        self._policy = policy
        self._started_s = now_s
        # Rings with the time from which they were in force, oldest first.
        self._rings: collections.deque[tuple[float, HashRing]] = (
            collections.deque()
        )
        self._parts: dict[str, _Part] = {}

    def set_hosts(self, hosts: frozenset[str], now_s: float) -> None:
        """Sets the hosts of the fleet, by the view of this node."""
        if self._rings and self._rings[-1][1].hosts == hosts:
            return
        # The first ring counts as in force since before the start.
        since_s = now_s if self._rings else -math.inf
        self._rings.append((since_s, HashRing(hosts)))

    def retain(self, names: frozenset[str]) -> None:
        """Drops the buckets of tenants that have no quota any more."""
        for name in list(self._parts):
            if name not in names:
                del self._parts[name]

    def owners_of(self, name: str) -> tuple[str, ...]:
        """Returns the owners of a tenant's quota by the current ring."""
        if not self._rings:
            return ()
        return self._rings[-1][1].hosts_of(name, MAX_OWNERS)

    def grant(
        self,
        name: str,
        wanted: int,
        rate_per_s: float,
        burst: float,
        *,
        now_s: float,
        view_age_s: float,
    ) -> Grant:
        """Grants up to a number of tokens of a tenant's quota."""
        owners = self.owners_of(name)
        if self._own_host not in owners:
            return Grant(0, is_owner=False)
        share, certain_since_s = self._certain_share(name, now_s)
        if share <= 0.0 or view_age_s > MAX_VIEW_AGE_S:
            per_s = self._policy.uncertain_per_s(rate_per_s, burst)
            per_s /= len(owners)
            part = self._fill(name, per_s, 1.0, now_s, now_s)
        else:
            per_s = self._policy.per_s(rate_per_s, burst) * share
            capacity = self._policy.capacity(rate_per_s, burst) * share
            part = self._fill(
                name, per_s, max(1.0, capacity), now_s, certain_since_s
            )
        return _take(part, wanted, per_s)

    def _certain_share(self, name: str, now_s: float) -> tuple[float, float]:
        """Returns the part of the quota that is certainly not another's.

        Returns:
            The part, 0 if there is none, and the time since when.
        """
        begin_s = now_s - TAKEOVER_S
        while len(self._rings) > 1 and self._rings[1][0] <= begin_s:
            self._rings.popleft()
        share = 1.0
        for _, ring in self._rings:
            owners = ring.hosts_of(name, MAX_OWNERS)
            if self._own_host not in owners:
                return 0.0, now_s
            share = min(share, 1 / len(owners))
        ready_s = self._started_s + LEASE_S
        if now_s < ready_s:
            return 0.0, now_s
        return share, max(ready_s, begin_s)

    def _fill(
        self,
        name: str,
        per_s: float,
        capacity: float,
        now_s: float,
        since_s: float,
    ) -> _Part:
        part = self._parts.get(name)
        if part is None:
            part = _Part(0.0, since_s)
            self._parts[name] = part
        passed_s = max(0.0, now_s - part.filled_at_s)
        part.tokens = min(part.tokens + passed_s * per_s, capacity)
        part.denied *= math.exp(-passed_s / DENIED_WINDOW_S)
        part.filled_at_s = now_s
        return part


def _take(part: _Part, wanted: int, per_s: float) -> Grant:
    granted = max(0, min(wanted, int(part.tokens)))
    part.tokens -= granted
    if granted:
        return Grant(granted)
    retry_after_s = MAX_RETRY_AFTER_S
    if per_s > 0:
        retry_after_s = (1.0 - part.tokens + part.denied) / per_s
    # One for each node that asks; what it wants depends on its own guess.
    part.denied += 1
    return Grant(
        0, min(max(retry_after_s, MIN_RETRY_AFTER_S), MAX_RETRY_AFTER_S)
    )
