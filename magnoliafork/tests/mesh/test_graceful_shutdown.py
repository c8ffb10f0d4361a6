"""Times at which a node that shuts down accepts and ends requests."""

import pytest

from magnoliafork.mesh.graceful_shutdown import ShutdownPlan

BEGUN_S = 100.0


@pytest.mark.parametrize("grace_s", [2.0, 3.0, 4.0, 6.0, 10.0, 30.0])
def test_work_may_end_until_the_last_sixth_of_the_grace_period(
    grace_s: float,
) -> None:
    """Short grace periods broke off requests in more than the last sixth."""
    plan = ShutdownPlan(BEGUN_S, grace_s)
    assert plan.end_s >= BEGUN_S + grace_s * 5 / 6
    assert plan.end_s < BEGUN_S + grace_s


@pytest.mark.parametrize("grace_s", [2.0, 3.0, 6.0, 8.0, 10.0, 30.0])
def test_accepted_request_ends_in_time_unless_it_was_sent_early(
    grace_s: float,
) -> None:
    """Requests that nobody excuses were accepted and could not be finished."""
    plan = ShutdownPlan(BEGUN_S, grace_s)
    for tenth in range(int(grace_s * 10)):
        now_s = BEGUN_S + tenth / 10
        for timeout_s in (0.4, 2.0, 8.0, 60.0):
            if not plan.accepts_callers(now_s):
                continue
            deadline_s = now_s + timeout_s
            if plan.accepts_deadline(now_s, deadline_s):
                assert now_s < BEGUN_S + 3.0 or deadline_s <= plan.end_s
            else:
                # What was served early in the grace period still is.
                assert now_s >= BEGUN_S + min(3.0, grace_s / 2) - 0.26
