"""Tests of the ledger, the ramp, the limiter and the admission queue."""

import pytest

from magnoliafork.admission.ledger import (
    MARKER_TTL_S,
    OUTCOME_TTL_S,
    Entry,
    EntryState,
    Ledger,
    request_digest,
)
from magnoliafork.admission.limiter import MIN_SHARE, Limiter
from magnoliafork.admission.queue import AdmissionQueue, QueuedRequest
from magnoliafork.admission.ramp import Ramp
from magnoliafork.model.request import Answered
from magnoliafork.model.rules import Origin, Priority, ServiceRule

DIGEST = request_digest("POST", "/a", b"body")


def make_rule(slots: int = 10, connections: int = 100) -> ServiceRule:
    return ServiceRule(
        name="commissions",
        slots=slots,
        connections=connections,
        queue=slots,
        priority=Priority.NORMAL,
        ramp_s=10.0,
        ramp_start=1,
        origin=Origin(1, "Marie"),
    )


def known_entry(ledger: Ledger, request_id: str, now_s: float) -> Entry:
    entry = ledger.get(request_id, now_s)
    assert entry is not None
    return entry


def test_expired_outcome_leaves_a_marker() -> None:
    # Guards against a second run when a caller repeats a request late: the
    # ledger still knows that the request ran when its outcome has expired.
    ledger = Ledger()
    assert ledger.start("a", DIGEST, 0)
    assert known_entry(ledger, "a", 10_000).state is EntryState.RUNNING
    ledger.finish("a", Answered(200, (), b"x"), 10_000)
    kept = known_entry(ledger, "a", 10_000 + OUTCOME_TTL_S - 1)
    assert kept.outcome == Answered(200, (), b"x")
    late = known_entry(ledger, "a", 10_000 + OUTCOME_TTL_S)
    assert (late.state, late.outcome) == (EntryState.FORGOTTEN, None)
    assert late.digest == DIGEST
    assert ledger.get("a", 10_000 + MARKER_TTL_S) is None
    assert (ledger.entry_count, ledger.used_bytes) == (0, 0)


def test_full_ledger_refuses_requests_and_drops_no_entry_early() -> None:
    # Guards against a second run of a request whose entry was dropped for a
    # newer one, and against a fence that finds no room for its entry.
    ledger = Ledger(max_entries=16)
    started = [n for n in range(20) if ledger.start(f"r{n}", DIGEST, 0)]
    assert started == list(range(14))
    for number in started:
        ledger.finish(f"r{number}", Answered(200, (), b""), 1)
    assert [ledger.refuse(f"f{n}", 1) for n in range(3)] == [True, True, False]
    assert not ledger.move("m", "c-1", 1)
    for number in started:
        assert known_entry(ledger, f"r{number}", 120).outcome is not None
    assert ledger.start("r19", DIGEST, 1 + OUTCOME_TTL_S)


def test_request_with_too_large_an_answer_is_not_run_again() -> None:
    # Guards against exceeding the memory limit, and against a second run of a
    # request whose answer was too large to keep.
    ledger = Ledger(max_bytes=2000)
    for name in ("a", "b"):
        assert ledger.start(name, DIGEST, 0)
        ledger.finish(name, Answered(200, (), bytes(1000)), 0)
    assert known_entry(ledger, "a", 1).state is EntryState.FINISHED
    assert known_entry(ledger, "b", 1).state is EntryState.FORGOTTEN
    assert ledger.used_bytes <= 2000
    while ledger.start(f"c{ledger.entry_count}", DIGEST, 1):
        assert ledger.used_bytes <= 2000


@pytest.mark.parametrize("late", [False, True])
def test_known_requests_cannot_start_again(late: bool) -> None:
    # Guards against a second run of a known request, also when only its marker
    # is left. Only a moved request that was never refused may start.
    now_s = OUTCOME_TTL_S + 1 if late else 1.0
    ledger = Ledger()
    ledger.start("ran", DIGEST, 0)
    ledger.finish("ran", Answered(200, (), b""), 0)
    ledger.refuse("refused", 0)
    ledger.refuse("barred", 0)
    ledger.move("barred", "c-1", 0)
    for name in ("ran", "refused", "barred"):
        with pytest.raises(AssertionError):
            ledger.start(name, DIGEST, now_s)
    with pytest.raises(AssertionError):
        ledger.refuse("ran", now_s)
    ledger.move("moved", "c-1", 0)
    assert ledger.start("moved", DIGEST, now_s)


def test_markers_are_bounded() -> None:
    # Guards against markers that use more and more memory on a busy node.
    ledger = Ledger(max_markers=5)
    for number in range(50):
        ledger.refuse(f"r{number}", number)
    kept = [n for n in range(50) if ledger.get(f"r{n}", OUTCOME_TTL_S + 49)]
    assert kept == [45, 46, 47, 48, 49]


def test_ramp_rises_linearly_and_starts_over_at_a_cold_start() -> None:
    # Guards against more load on a cold upstream than its ramp allows (I4).
    rule = make_rule()
    ramp = Ramp(0)
    assert [ramp.allowed(rule, t) for t in (0, 5, 9.9, 10)] == [1, 5, 9, 10]
    ramp.on_answer("b1", 10)
    assert ramp.on_answer("b2", 20)
    assert ramp.allowed(rule, 26) == 6
    ramp.on_connection_refused(26)
    assert [ramp.allowed(rule, t) for t in (26, 31, 36)] == [1, 5, 10]
    assert not ramp.on_answer("b1", 40)
    assert ramp.allowed(rule, 40) == 10


def test_suspected_restart_ramps_until_the_boot_id_is_confirmed() -> None:
    # Guards against full load on an upstream that restarted between two
    # answers (I4), as a lost connection or an idle time suggests.
    rule = make_rule()
    for suspect in (
        lambda ramp: ramp.on_connection_lost(20),
        lambda ramp: None,
    ):
        ramp = Ramp(0)
        ramp.on_answer("b1", 15)
        suspect(ramp)
        ramp.on_send(0, 20)
        assert ramp.allowed(rule, 20) == 1
        ramp.on_answer("b1", 20.5)
        assert ramp.allowed(rule, 20.5) == 10


def test_first_request_after_an_idle_start_ramps() -> None:
    # Guards against full load on an upstream that started long after its
    # node (I4).
    rule = make_rule()
    ramp = Ramp(0)
    ramp.on_send(0, 60)
    ramp.on_answer("b1", 61)
    ramp.on_answer("b1", 62)
    assert [ramp.allowed(rule, t) for t in (62, 65, 70)] == [2, 5, 10]
    # The upstream may have started right before the next request.
    ramp = Ramp(0)
    ramp.on_connection_refused(60)
    ramp.on_send(0, 65)
    assert ramp.allowed(rule, 65) == 1


def test_limit_follows_latency_and_recovers() -> None:
    # Guards against requests that queue in an upstream whose latency rises,
    # and against a limit that does not recover afterwards.
    rule = make_rule()
    limiter = Limiter(0)
    limits = []
    for second in range(1, 121):
        latency_s = 0.5 if 10 <= second < 30 else 0.05
        for _ in range(rule.slots):
            limiter.start()
            limiter.on_latency(latency_s)
        limiter.tick(rule, second)
        for _ in range(rule.slots):
            limiter.end()
        limits.append(limiter.limit(rule, rule.slots))
    assert limits[8] == 10
    assert min(limits) == max(1, int(10 * MIN_SHARE + 0.5))
    assert limits[-1] == 10


def test_limit_is_capped_by_ramp_and_connections() -> None:
    # Guards against more connections than the upstream accepts.
    limiter = Limiter(0)
    assert limiter.limit(make_rule(10, 4), 10) == 4
    assert limiter.limit(make_rule(10), 3) == 3


def test_full_queue_evicts_by_priority_and_late_requests_expire() -> None:
    # Guards against a queue that grows beyond its capacity, and against runs
    # that end after their deadline.
    queue: AdmissionQueue[str] = AdmissionQueue()
    assert queue.push(QueuedRequest("low", Priority.LOW, 9), 2) == ()
    assert queue.push(QueuedRequest("late", Priority.HIGH, 2), 2) == ()
    evicted = queue.push(QueuedRequest("high", Priority.HIGH, 9), 2)
    assert [waiting.item for waiting in evicted] == ["low"]
    refused = queue.push(QueuedRequest("more", Priority.LOW, 9), 2)
    assert [waiting.item for waiting in refused] == ["more"]
    expired = queue.expire(1.5, 0.5)
    assert [waiting.item for waiting in expired] == ["late"]
    served = queue.pop()
    assert served is not None
    assert served.item == "high"
    assert queue.pop() is None
