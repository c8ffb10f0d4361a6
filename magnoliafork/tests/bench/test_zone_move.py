"""Statistics of the zone move and rules of the direct senders."""

import dataclasses

from magnoliafork.bench.direct_callers import (
    MAX_UNCONDITIONAL_RETRIES,
    RetryPolicy,
    may_retry,
    route_of,
    route_table,
)
from magnoliafork.bench.zone_move import (
    OURS,
    Quality,
    figures,
    high_load_service_time_s,
    quality,
)
from magnoliafork.standins.deployments import LANAUDIERE
from magnoliafork.standins.load_generator import CallRecord

_GET = LANAUDIERE.patterns[0]
_POST = LANAUDIERE.patterns[3]


def _record(outcome: str, started_s: float, took_s: float) -> CallRecord:
    status = {"answered": 200, "not-run": 503, "unknown": 504}[outcome]
    return CallRecord(
        "1", _GET, 1, outcome, status, True, "", started_s, took_s
    )


def test_calls_in_progress_when_the_zone_leaves_count_as_during() -> None:
    """Guards against calls cut by the move that count as before it."""
    records = [
        _record("answered", 1.0, 0.5),
        _record("unknown", 9.5, 1.0),
        _record("not-run", 11.0, 0.1),
        _record("answered", 12.0, 0.25),
    ]
    seen = quality(records, 10.0, 2)
    assert seen == Quality(3, 1, 1, 500.0, 250.0, 2)


def test_an_error_answer_counts_as_failed() -> None:
    """Guards against upstream errors that count as answered requests."""
    record = dataclasses.replace(_record("answered", 11.0, 0.1), status=500)
    assert quality([record], 10.0, 0).failed == 1


def test_our_counts_stand_beside_the_better_direct_sender() -> None:
    """Guards against a comparison with the weaker baseline."""
    seen = {
        OURS: Quality(100, 1, 5, 10.0, 12.0, 0),
        "a": Quality(100, 9, 7, 10.0, 12.0, 3),
        "b": Quality(100, 4, 8, 10.0, 12.0, 4),
    }
    found = {(f.name, f.variant): f for f in figures(seen, 12)}
    assert found["zone_move_failed", OURS].baseline == 4
    assert found["zone_move_shed", OURS].baseline == 7
    assert found["zone_move_p99", "a"].baseline == 10.0


def test_the_remaining_zones_are_busy_but_not_overloaded() -> None:
    """Guards against a load that is too low to test or overloads the rest."""
    time_s = high_load_service_time_s(LANAUDIERE, 150.0)
    # commissions takes 9 of 20 requests and keeps 2 of 3 instances.
    busy = 150.0 * 9 / 20 * time_s / (2 * LANAUDIERE.slots)
    assert 0.8 <= busy < 1.0


def test_a_safe_sender_never_repeats_a_payment_that_may_have_run() -> None:
    """Guards against a baseline that, unlike the nodes, may pay twice."""
    table = route_table(LANAUDIERE.rules)
    payment = route_of(table, _POST)
    safe = RetryPolicy.SAFE
    assert not may_retry(safe, payment, 0, is_not_run=False)
    assert may_retry(safe, payment, 0, is_not_run=True)
    assert may_retry(safe, route_of(table, _GET), 1, is_not_run=False)
    assert may_retry(
        RetryPolicy.UNCONDITIONAL, payment, MAX_UNCONDITIONAL_RETRIES - 1, False
    )
    assert not may_retry(
        RetryPolicy.UNCONDITIONAL, payment, MAX_UNCONDITIONAL_RETRIES, False
    )
