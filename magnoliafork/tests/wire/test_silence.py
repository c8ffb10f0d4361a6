"""When heartbeats show that a connection is dead."""

import pytest

from magnoliafork.wire.silence import (
    MAX_SILENCE_LIMIT_S,
    MIN_SILENCE_LIMIT_S,
    PROBE_AFTER_S,
    UNREACHABLE_LIMIT_S,
    SilenceDetector,
    Verdict,
)


def _probed(now_s: float = 10.0) -> SilenceDetector:
    detector = SilenceDetector()
    detector.record_probe(1, now_s)
    return detector


def test_connection_in_use_gets_no_heartbeat() -> None:
    """Heartbeats would double the messages of a busy connection."""
    detector = SilenceDetector()
    assert not detector.wants_probe(10.0, last_received_s=9.9)
    assert detector.wants_probe(10.0, last_received_s=10.0 - PROBE_AFTER_S)


def test_only_one_heartbeat_waits_for_a_reply() -> None:
    """Each call on a silent connection would send another one."""
    assert not _probed(10.0).wants_probe(11.0, last_received_s=5.0)


def test_bytes_after_the_heartbeat_end_the_silence() -> None:
    """A large answer that arrives ahead of the reply shows as much."""
    detector = _probed(10.0)
    assert detector.check(10.6, 10.5, 0) is Verdict.WAIT
    assert not detector.is_silent(10.5)


def test_verdicts_follow_the_time_without_a_reply() -> None:
    """Guards against a path check for one lost packet, or none at all."""
    detector = _probed(10.0)
    assert detector.check(10.3, 9.0, 0) is Verdict.WAIT
    limit_s = MIN_SILENCE_LIMIT_S
    assert detector.check(10.01 + limit_s, 9.0, 0) is Verdict.CHECK_PATH
    later_s = 10.01 + UNREACHABLE_LIMIT_S
    assert detector.check(later_s, 9.0, 0) is Verdict.UNREACHABLE


def test_heartbeat_behind_a_large_request_is_not_late() -> None:
    """A request of a megabyte takes a second on a link of 10 Mbit/s."""
    detector = _probed(10.0)
    for step in range(1, 10):
        unsent_bytes = 1_000_000 - step * 100_000
        detector.check(10.0 + step * 0.35, 9.0, unsent_bytes + 50_000)
        verdict = detector.check(10.1 + step * 0.35, 9.0, unsent_bytes)
        assert verdict is Verdict.WAIT


@pytest.mark.parametrize(
    ("round_trip_s", "limit_s"),
    [
        (0.002, MIN_SILENCE_LIMIT_S),
        (0.12, 0.61),
        (5.0, MAX_SILENCE_LIMIT_S),
    ],
)
def test_limit_follows_the_measured_round_trip_time(
    round_trip_s: float, limit_s: float
) -> None:
    """Busy peers reply late; their paths need no check each time."""
    detector = _probed(10.0)
    detector.record_reply(1, 10.0 + round_trip_s)
    assert detector.limit_s == pytest.approx(limit_s, abs=0.01)


def test_reply_to_an_earlier_heartbeat_measures_nothing() -> None:
    """A reply that crossed the next heartbeat looked very fast."""
    detector = _probed(10.0)
    detector.record_probe(2, 11.0)
    detector.record_reply(1, 11.001)
    assert detector.limit_s == MIN_SILENCE_LIMIT_S
    assert detector.probe_sent_s == 11.0
