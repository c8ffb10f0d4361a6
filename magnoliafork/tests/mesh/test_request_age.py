"""Which requests count as retries, by the time that their callers have left."""

import random

from magnoliafork.mesh.model import MeshRoute
from magnoliafork.mesh.request_age import AGE_WINDOW_S, RequestAgeEstimator
from magnoliafork.tests.mesh.builders import config, route

ROUTE: MeshRoute = route()
OTHER: MeshRoute = route(name="other")
LIMIT_S = 1.2
# Callers start with up to this much less than the limit.
SPREAD = 0.14


def _limits(count: int, seed: int = 5) -> list[float]:
    rng = random.Random(seed)
    return [LIMIT_S * (1 - SPREAD * rng.random()) for _ in range(count)]


def _known(estimator: RequestAgeEstimator, on: MeshRoute = ROUTE) -> None:
    for limit_s in _limits(200):
        estimator.age_s(on, limit_s, 10.0, is_first_attempt=True)


def test_first_attempts_with_different_limits_are_not_old() -> None:
    """Half of the first attempts waited behind others as if they were late."""
    estimator = RequestAgeEstimator()
    _known(estimator)
    ages_s = [
        estimator.age_s(ROUTE, limit_s, 10.0, is_first_attempt=False)
        for limit_s in _limits(200, seed=6)
    ]
    assert sum(age_s > 0.0 for age_s in ages_s) <= 200 * 0.1
    assert max(ages_s) < 0.02


def test_retry_is_recognised_by_the_time_left() -> None:
    """A retry would be served before first attempts, and late all the same."""
    estimator = RequestAgeEstimator()
    _known(estimator)
    age_s = estimator.age_s(ROUTE, LIMIT_S - 0.5, 10.0, is_first_attempt=False)
    assert 0.3 <= age_s <= 0.5


def test_routes_without_known_first_attempts_learn_from_others() -> None:
    """Callers that never keep connections looked like callers that retry."""
    estimator = RequestAgeEstimator()
    _known(estimator, on=OTHER)
    ages_s = [
        estimator.age_s(ROUTE, 2 * limit_s, 10.0, is_first_attempt=False)
        for limit_s in _limits(100)
    ]
    assert max(ages_s) < 0.05
    late_s = estimator.age_s(ROUTE, 1.2, 10.0, is_first_attempt=False)
    assert late_s > 0.7


def test_equal_limits_show_retries_without_known_first_attempts() -> None:
    """Before the first kept connection, only the longest limit is known."""
    estimator = RequestAgeEstimator()
    estimator.age_s(ROUTE, LIMIT_S, 10.0, is_first_attempt=False)
    age_s = estimator.age_s(ROUTE, 0.9, 10.1, is_first_attempt=False)
    assert abs(age_s - 0.3) < 1e-9


def test_one_short_limit_does_not_hide_retries() -> None:
    """One odd caller on a kept connection made all retries look fresh."""
    estimator = RequestAgeEstimator()
    _known(estimator)
    estimator.age_s(ROUTE, 0.01, 10.0, is_first_attempt=True)
    age_s = estimator.age_s(ROUTE, 0.6, 10.0, is_first_attempt=False)
    assert age_s > 0.3


def test_routes_that_no_longer_exist_are_forgotten() -> None:
    """Changes of the configuration would fill the memory."""
    estimator = RequestAgeEstimator()
    _known(estimator)
    estimator.retain(config(routes=(OTHER,)))
    now_s = 10.0 + AGE_WINDOW_S
    age_s = estimator.age_s(ROUTE, 0.6, now_s, is_first_attempt=False)
    assert age_s == 0.0
