"""The check of statements finds what breaks them, and nothing else."""

import dataclasses

import pytest

from magnoliafork.tests.soak.losses import FaultSpan
from magnoliafork.tests.soak.statements import (
    Arrival,
    LimitSpan,
    Told,
    find_exceeded_limits,
    find_late_requests,
)

TOLD = Told("h1", "s", 10.0)
LATE = Arrival("h1", "s", 12.1, 12.2)
LIMIT = LimitSpan("s", 2.0, 9.0, 20.0)
# 18 requests in 3.4 s; 17 are allowed.
MANY = [Arrival("h1", "s", s, s) for s in [13.0 + 0.2 * n for n in range(18)]]


@pytest.mark.parametrize(
    ("changes", "is_found"),
    [
        ({}, True),
        ({"sent_s": 11.9}, False),
        ({"host": "h2"}, False),
        ({"server": "s'"}, False),
    ],
)
def test_late_request_is_found(
    changes: dict[str, object], is_found: bool
) -> None:
    """A check that excuses too much would find nothing."""
    arrival = dataclasses.replace(LATE, **changes)  # type: ignore[arg-type]
    assert bool(find_late_requests([arrival], [TOLD], [])) == is_found


@pytest.mark.parametrize(
    ("host", "begin_s", "end_s", "is_found"),
    [
        ("h1", 11.0, 11.5, False),
        ("h1", 8.0, 9.0, True),
        ("h2", 11.0, 11.5, True),
    ],
)
def test_restart_since_the_statement_excuses(
    host: str, begin_s: float, end_s: float, is_found: bool
) -> None:
    """A node that has started again knows nothing of before."""
    span = FaultSpan(host, begin_s, end_s)
    assert bool(find_late_requests([LATE], [TOLD], [span])) == is_found


@pytest.mark.parametrize(
    ("arrivals", "told", "is_found"),
    [
        (MANY, [TOLD], True),
        (MANY[1:], [TOLD], False),
        (MANY, [], False),
        (MANY, [Told("h2", "s", 10.0)], False),
        (MANY, [Told("h1", "s", 12.6)], False),
    ],
)
def test_exceeded_limit_is_found(
    arrivals: list[Arrival], told: list[Told], is_found: bool
) -> None:
    """A check that excuses too much would find nothing."""
    assert bool(find_exceeded_limits(arrivals, told, [LIMIT], [])) == is_found


def test_requests_soon_after_the_first_statement_are_not_counted() -> None:
    """Requests are already under way when an upstream states a limit."""
    span = dataclasses.replace(LIMIT, begin_s=10.1)
    assert find_exceeded_limits(MANY, [TOLD], [span], []) == []
