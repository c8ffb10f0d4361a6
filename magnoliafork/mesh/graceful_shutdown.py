"""Phases of a planned stop.

Answers the load of a rolling restart: callers keep sending while the platform
has not yet seen that the node leaves, and in a zone where most nodes leave at
a time they never stop. Everything that was accepted has to be answered before
the process is killed, so that new requests are refused once there is no time
left to answer them.
"""

import dataclasses

from magnoliafork.mesh.work_queue import bounded_retry_after_s

# Time in which the platform sees two failed readiness checks, one a second,
# and sends no more callers.
SPREAD_S = 2.2
# Time in which peers still get the upstream, which goes on running. The rest
# of the spread is enough for the work that has begun.
PEER_CALLS_S = 1.0
# Latest start of a request that may need the rest of the grace period.
ACCEPT_SHARE = 0.5
# Part of the grace period left for closing before the process is killed.
MARGIN_S = 0.7
# Time from the end of a process until its successor listens.
RESTART_S = 1.5


@dataclasses.dataclass(frozen=True, slots=True)
class ShutdownPlan:
    """What a stopping node still does at a given time.

    Attributes:
        begun_s: Time of the request to stop.
        grace_period_s: Time after which the process is killed.
    """

    begun_s: float
    grace_period_s: float

    @property
    def end_s(self) -> float:
        """Time at which all connections are closed."""
        return self.begun_s + max(0.0, self.grace_period_s - MARGIN_S)

    def accepts_peer_calls(self, now_s: float) -> bool:
        """Whether peers' calls are given to the upstream.

        >>> plan = ShutdownPlan(100.0, grace_period_s=6.0)
        >>> plan.accepts_peer_calls(100.5), plan.accepts_peer_calls(101.5)
        (True, False)
        """
        spread_s = min(PEER_CALLS_S, self.grace_period_s * ACCEPT_SHARE / 2)
        return now_s < self.begun_s + spread_s

    def accepts_callers(self, now_s: float) -> bool:
        """Whether callers' requests are accepted.

        >>> plan = ShutdownPlan(100.0, grace_period_s=6.0)
        >>> plan.accepts_callers(102.9), plan.accepts_callers(103.0)
        (True, False)
        """
        return now_s < self.begun_s + self.grace_period_s * ACCEPT_SHARE

    def retry_after_s(self, now_s: float) -> float:
        """Returns the wait of a refused caller until the node is back."""
        return bounded_retry_after_s(self.end_s - now_s + RESTART_S)

    def may_close(self, now_s: float, *, is_idle: bool) -> bool:
        """Whether the node may close its connections.

        >>> plan = ShutdownPlan(100.0, grace_period_s=6.0)
        >>> plan.may_close(101.0, is_idle=True)
        False
        >>> plan.may_close(102.5, is_idle=True)
        True
        >>> plan.may_close(102.5, is_idle=False)
        False
        >>> plan.may_close(105.4, is_idle=False)
        True
        """
        if now_s >= self.end_s:
            return True
        spread_s = min(SPREAD_S, self.grace_period_s * ACCEPT_SHARE)
        return is_idle and now_s >= self.begun_s + spread_s
