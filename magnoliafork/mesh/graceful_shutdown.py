"""Phases of a graceful shutdown.

In a rolling restart, callers keep sending until the platform has seen that the
node is stopping; in a zone where most nodes stop at the same time, they never
cease to send. Every accepted request has to be answered before the process is
killed, so new requests are refused once there is no time left to answer them.
"""

import dataclasses

from magnoliafork.mesh.work_queue import bounded_retry_after_s

# Time until the platform has seen two failed readiness checks, one per second,
# and sends no more callers.
READINESS_DELAY_S = 2.2
# Time in which calls of peers are still accepted; the upstream keeps running.
# The rest of the readiness delay is enough to finish the calls in progress.
PEER_CALLS_S = 1.0
# Share of the grace period in which requests are accepted. A request accepted
# last may need the rest of it.
ACCEPT_SHARE = 0.5
# Time in which requests are accepted whatever their deadline is. The deadline
# of one that is accepted later must lie within the grace period.
ACCEPT_ANY_S = 3.0
# Time before the end of either from which requests of callers are refused: a
# busy loop handles the signal late, and requests arrive after they were sent.
ACCEPT_MARGIN_S = 0.25
# Time reserved for closing before the process is killed, for the answers to
# leave over slow links. It takes no larger share of the grace period than this,
# so that work which ends in the rest of it is not broken off.
CLOSE_MARGIN_S = 0.7
CLOSE_MARGIN_SHARE = 1 / 6
# Closing takes this long even if all answers leave at once.
MIN_CLOSE_MARGIN_S = 0.3
# Part of the time for closing that is left for the end of the process.
EXIT_SHARE = 0.5
# Time from the end of a process until its successor accepts connections.
RESTART_S = 1.5


@dataclasses.dataclass(frozen=True, slots=True)
class ShutdownPlan:
    """What a node that shuts down still does at a given time.

    Attributes:
        begun_s: Time at which the shutdown was requested.
        grace_period_s: Time after which the process is killed.
    """

    begun_s: float
    grace_period_s: float

    @property
    def end_s(self) -> float:
        """Time at which requests get their outcome and closing begins."""
        return self.begun_s + max(
            0.0, self.grace_period_s - self._close_margin_s
        )

    @property
    def _close_margin_s(self) -> float:
        return min(
            CLOSE_MARGIN_S,
            max(MIN_CLOSE_MARGIN_S, self.grace_period_s * CLOSE_MARGIN_SHARE),
        )

    def close_timeout_s(self, now_s: float) -> float:
        """Returns how long closing may wait for answers to leave.

        >>> plan = ShutdownPlan(100.0, grace_period_s=6.0)
        >>> round(plan.close_timeout_s(105.35), 3)
        0.3
        """
        exit_s = self._close_margin_s * EXIT_SHARE
        closed_s = self.begun_s + self.grace_period_s - exit_s
        return max(0.0, closed_s - now_s)

    def accepts_peer_calls(self, now_s: float) -> bool:
        """Whether calls of peers are sent to the upstream.

        >>> plan = ShutdownPlan(100.0, grace_period_s=6.0)
        >>> plan.accepts_peer_calls(100.5), plan.accepts_peer_calls(101.5)
        (True, False)
        """
        accept_s = min(PEER_CALLS_S, self.grace_period_s * ACCEPT_SHARE / 2)
        return now_s < self.begun_s + accept_s

    def accepts_callers(self, now_s: float) -> bool:
        """Whether requests of callers are accepted.

        >>> plan = ShutdownPlan(100.0, grace_period_s=6.0)
        >>> plan.accepts_callers(102.7), plan.accepts_callers(102.75)
        (True, False)
        """
        accept_s = self.grace_period_s * ACCEPT_SHARE - ACCEPT_MARGIN_S
        return now_s < self.begun_s + accept_s

    def accepts_deadline(self, now_s: float, deadline_s: float) -> bool:
        """Whether a request that may take until a deadline is accepted.

        >>> plan = ShutdownPlan(100.0, grace_period_s=10.0)
        >>> plan.accepts_deadline(102.7, deadline_s=110.7)
        True
        >>> plan.accepts_deadline(103.5, deadline_s=111.5)
        False
        >>> plan.accepts_deadline(103.5, deadline_s=109.2)
        True
        """
        accept_s = min(ACCEPT_ANY_S, self.grace_period_s * ACCEPT_SHARE)
        is_early = now_s < self.begun_s + accept_s - ACCEPT_MARGIN_S
        return is_early or deadline_s <= self.end_s

    def retry_after_s(self, now_s: float) -> float:
        """Returns how long a refused caller waits until the node is back."""
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
        readiness_delay_s = min(
            READINESS_DELAY_S, self.grace_period_s * ACCEPT_SHARE
        )
        return is_idle and now_s >= self.begun_s + readiness_delay_s
