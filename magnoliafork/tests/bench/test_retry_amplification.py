"""Statistics of the retry measurement."""

from magnoliafork.bench.retry_amplification import (
    amplification,
    failing_third,
)
from magnoliafork.standins.deployments import LANAUDIERE
from magnoliafork.standins.load_generator import CallRecord


def test_error_answers_and_unknown_outcomes_count_as_failed() -> None:
    """Guards against a low number of attempts that hides failed requests."""
    replies = (("answered", 200), ("answered", 500), ("unknown", 504))
    records = [
        CallRecord(
            "1", LANAUDIERE.patterns[0], 1, outcome, status, True, "", 0.0, 0.1
        )
        for outcome, status in (*replies, ("answered", 200))
    ]
    seen = amplification(records, 6)
    assert seen.attempts_per_request == 1.5
    assert seen.failed_percent == 50.0


def test_exactly_a_third_of_each_service_fails() -> None:
    """Guards against a fault that takes a whole service or zone."""
    failing = failing_third(LANAUDIERE.services, 3)
    assert len(failing) == len(LANAUDIERE.services)
    assert len({name.rpartition("-")[2] for name in failing}) == 3
