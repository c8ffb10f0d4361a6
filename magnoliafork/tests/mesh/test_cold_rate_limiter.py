"""A cold upstream never gets more requests than its limit allows."""

import random

import pytest

from magnoliafork.mesh.cold_rate_limiter import WINDOW_S, ColdRateLimiter

PER_S = 10.0
COLD_RATE_FACTOR = 1.5


def send_greedily(
    limiter: ColdRateLimiter, seconds: float, rng: random.Random
) -> list[float]:
    """Sends whenever the limiter allows it; returns the times."""
    now_s, sent = 100.0, []
    while now_s < 100.0 + seconds:
        if limiter.wait_s(PER_S, now_s, is_short=False) <= 0:
            limiter.record_sent(now_s, is_short=False)
            sent.append(now_s)
        now_s += rng.random() * 0.02
    return sent


def busiest_second(sent: list[float]) -> int:
    return max(
        sum(1 for other in sent if start <= other < start + WINDOW_S)
        for start in sent
    )


@pytest.mark.parametrize("seed", range(5))
def test_upstream_of_unknown_state_is_treated_as_cold(seed: int) -> None:
    """A node that has just started does not know its upstream's state."""
    sent = send_greedily(
        ColdRateLimiter(COLD_RATE_FACTOR), 5.0, random.Random(seed)
    )
    assert busiest_second(sent) <= PER_S * COLD_RATE_FACTOR
    assert len(sent) >= 5 * PER_S * 0.9


def test_warm_upstream_is_not_limited() -> None:
    """Callers would be refused while a warm upstream has free slots."""
    limiter = ColdRateLimiter(COLD_RATE_FACTOR)
    limiter.set_cold_time(0.0, now_s=100.0)
    sent = send_greedily(limiter, 1.0, random.Random(1))
    assert len(sent) > 50


def test_requests_sent_while_warm_count_once_it_is_cold() -> None:
    """The limit holds from the first second in which the upstream is cold."""
    limiter = ColdRateLimiter(COLD_RATE_FACTOR)
    limiter.set_cold_time(0.0, now_s=0.0)
    for number in range(40):
        limiter.record_sent(1.0 + number / 1000, is_short=False)
    limiter.mark_unknown()
    assert limiter.wait_s(PER_S, now_s=1.1, is_short=True) > 0


def test_published_cold_time_only_extends_the_known_one() -> None:
    """An outdated entry would lift the limit of an upstream still cold."""
    limiter = ColdRateLimiter(COLD_RATE_FACTOR)
    limiter.set_cold_time(0.5, now_s=0.0)
    limiter.extend_cold_time(3.0, now_s=0.2)
    assert limiter.is_cold(3.1)
    limiter.extend_cold_time(0.1, now_s=0.3)
    assert limiter.is_cold(3.1)
    assert not limiter.is_cold(3.3)


def test_extending_the_cold_time_keeps_an_unknown_state_unknown() -> None:
    """An entry that is older than a restart must not hide the restart."""
    limiter = ColdRateLimiter(COLD_RATE_FACTOR)
    limiter.mark_unknown()
    limiter.extend_cold_time(1.0, now_s=0.0)
    assert not limiter.is_known
    assert limiter.is_cold(99.0)


def test_service_without_a_rate_has_no_limit() -> None:
    """Requests to a service without a rate would have to wait."""
    limiter = ColdRateLimiter(COLD_RATE_FACTOR)
    for _ in range(20):
        for is_short in (False, True):
            assert limiter.wait_s(0.0, now_s=1.0, is_short=is_short) == 0.0
            limiter.record_sent(1.0, is_short=is_short)


def test_part_of_the_limit_is_reserved_for_short_calls() -> None:
    """A refused short call fails the running request that made it."""
    limiter = ColdRateLimiter(COLD_RATE_FACTOR)
    limiter.record_short_call(100.0)
    sent = 0
    while limiter.wait_s(PER_S, 100.0, is_short=False) <= 0:
        limiter.record_sent(100.0, is_short=False)
        sent += 1
    assert sent < PER_S * COLD_RATE_FACTOR * 0.75
    while limiter.wait_s(PER_S, 100.0, is_short=True) <= 0:
        limiter.record_sent(100.0, is_short=True)
        sent += 1
    assert sent == int(PER_S * COLD_RATE_FACTOR)


def test_long_requests_use_the_whole_limit_without_short_calls() -> None:
    """Callers would be refused for a reserve that no short call uses."""
    sent = send_greedily(
        ColdRateLimiter(COLD_RATE_FACTOR), 1.0, random.Random(1)
    )
    assert len(sent) >= int(PER_S * COLD_RATE_FACTOR)
