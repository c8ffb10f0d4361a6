"""Retry budget of a service and the decision to retry."""

import dataclasses

BUDGET_RATIO = 0.1
BUDGET_PER_S = 3.0
# Limits the tokens that add up while nothing is retried, and so the burst of
# retries at a sudden failure.
BUDGET_CAP = 10.0


class RetryBudget:
    """Limits retries and hedges to a share of the requests plus a rate.

    A token bucket: every request adds a fraction of a token, time adds
    tokens at a fixed rate, and each extra attempt takes one token.
    """

    def __init__(
        self,
        now_s: float,
        *,
        ratio: float = BUDGET_RATIO,
        per_s: float = BUDGET_PER_S,
        cap: float = BUDGET_CAP,
    ) -> None:
        """Creates a budget that holds the tokens of one second, at least one.

        Args:
            now_s: Current time.
            ratio: Tokens that each request adds.
            per_s: Tokens added per second.
            cap: Most tokens that the bucket holds.
        """
        self._ratio = ratio
        self._per_s = per_s
        self._cap = cap
        self._tokens = max(per_s, 1.0)
        self._filled_at_s = now_s

    def add_request(self) -> None:
        """Adds the tokens that one caller's request earns."""
        self._tokens = min(self._tokens + self._ratio, self._cap)

    def take(self, now_s: float) -> bool:
        """Takes one token for an extra attempt; false if none is left."""
        elapsed_s = max(now_s - self._filled_at_s, 0.0)
        self._filled_at_s = now_s
        self._tokens = min(self._tokens + elapsed_s * self._per_s, self._cap)
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


@dataclasses.dataclass(frozen=True, slots=True)
class AttemptState:
    """What the decision to retry depends on, besides the budget.

    Attributes:
        was_not_run: Whether the last attempt was certainly not run.
        is_repeatable: Whether the request may run more than once.
        retries_made: Attempts after the first one so far.
        retries_allowed: Limit of the route.
        remaining_s: Time left until the deadline.
    """

    was_not_run: bool
    is_repeatable: bool
    retries_made: int
    retries_allowed: int
    remaining_s: float


def may_retry(state: AttemptState) -> bool:
    """Tells whether another attempt is safe and useful.

    >>> may_retry(AttemptState(False, False, 0, 2, 1.0))
    False
    >>> may_retry(AttemptState(True, False, 0, 2, 1.0))
    True
    >>> may_retry(AttemptState(False, True, 2, 2, 1.0))
    False
    """
    if not state.was_not_run and not state.is_repeatable:
        return False
    if state.retries_made >= state.retries_allowed:
        return False
    return state.remaining_s > 0.0
