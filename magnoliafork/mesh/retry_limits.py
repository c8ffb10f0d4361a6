"""Limits on extra attempts that all nodes keep together."""

import dataclasses

from magnoliafork.balance.retry import RetryBudget


@dataclasses.dataclass(frozen=True, slots=True)
class RetryLimits:
    """Limits on the extra attempts of the fleet: retries and hedges.

    Attributes:
        ratio: Extra attempts for each request.
        slack: Extra attempts of the fleet in a window, in addition.
        window_s: Length of that window.
    """

    ratio: float
    slack: float
    window_s: float

    def budget(self, now_s: float, share: float, holders: int) -> RetryBudget:
        """Returns the budget of one of several holders of a share.

        Args:
            now_s: Current time.
            share: Share of the limits that all holders use together.
            holders: Number of holders of equal parts.
        """
        per_s = self.slack * share / self.window_s / max(1, holders)
        return RetryBudget(
            now_s,
            ratio=self.ratio * share,
            per_s=per_s,
            cap=max(1.0, per_s * self.window_s / 2),
        )
