"""A cold upstream never gets more than its service allows."""

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
            limiter.note_sent(now_s, is_short=False)
            sent.append(now_s)
        now_s += rng.random() * 0.02
    return sent


def busiest_second(sent: list[float]) -> int:
    return max(
        sum(1 for other in sent if start <= other < start + WINDOW_S)
        for start in sent
    )


@pytest.mark.parametrize("seed", range(5))
def test_unknown_upstream_is_treated_as_cold(seed: int) -> None:
    """A node that has just started knows nothing of its upstream."""
    sent = send_greedily(
        ColdRateLimiter(COLD_RATE_FACTOR), 5.0, random.Random(seed)
    )
    assert busiest_second(sent) <= PER_S * COLD_RATE_FACTOR
    assert len(sent) >= 5 * PER_S * 0.9


def test_warm_upstream_is_not_limited() -> None:
    limiter = ColdRateLimiter(COLD_RATE_FACTOR)
    limiter.set_cold_time(0.0, now_s=100.0)
    sent = send_greedily(limiter, 1.0, random.Random(1))
    assert len(sent) > 50


def test_requests_sent_while_warm_count_after_a_fall() -> None:
    """The upstream bears the rate from the first cold second on."""
    limiter = ColdRateLimiter(COLD_RATE_FACTOR)
    limiter.set_cold_time(0.0, now_s=0.0)
    for number in range(40):
        limiter.note_sent(1.0 + number / 1000, is_short=False)
    limiter.mark_unknown()
    assert limiter.wait_s(PER_S, now_s=1.1, is_short=True) > 0


def test_longer_cold_time_of_the_entry_wins() -> None:
    limiter = ColdRateLimiter(COLD_RATE_FACTOR)
    limiter.set_cold_time(0.5, now_s=0.0)
    limiter.extend_cold_time(3.0, now_s=0.2)
    assert limiter.is_cold(3.1)
    limiter.extend_cold_time(0.1, now_s=0.3)
    assert limiter.is_cold(3.1)
    assert not limiter.is_cold(3.3)


def test_extension_keeps_the_state_unknown() -> None:
    """An entry older than the restart must not hide it."""
    limiter = ColdRateLimiter(COLD_RATE_FACTOR)
    limiter.mark_unknown()
    limiter.extend_cold_time(1.0, now_s=0.0)
    assert not limiter.is_known
    assert limiter.is_cold(99.0)


def test_service_without_a_rate_has_no_limit() -> None:
    assert (
        ColdRateLimiter(COLD_RATE_FACTOR).wait_s(0.0, now_s=1.0, is_short=False)
        == 0.0
    )


def test_long_requests_leave_a_part_of_the_limit_to_short_calls() -> None:
    """A short call that is refused fails the run that made it."""
    limiter = ColdRateLimiter(COLD_RATE_FACTOR)
    limiter.note_short_call(100.0)
    sent = 0
    while limiter.wait_s(PER_S, 100.0, is_short=False) <= 0:
        limiter.note_sent(100.0, is_short=False)
        sent += 1
    assert sent < PER_S * COLD_RATE_FACTOR * 0.75
    while limiter.wait_s(PER_S, 100.0, is_short=True) <= 0:
        limiter.note_sent(100.0, is_short=True)
        sent += 1
    assert sent == int(PER_S * COLD_RATE_FACTOR)


def test_whole_limit_is_used_where_no_short_calls_come() -> None:
    sent = send_greedily(
        ColdRateLimiter(COLD_RATE_FACTOR), 1.0, random.Random(1)
    )
    assert len(sent) >= int(PER_S * COLD_RATE_FACTOR)
