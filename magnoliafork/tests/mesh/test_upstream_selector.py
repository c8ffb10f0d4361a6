"""Choice of upstreams, with the load patterns that it answers."""

import collections
import random

from magnoliafork.mesh.upstream_selector import RequestProfile, UpstreamSelector
from magnoliafork.tests.mesh.builders import entry
from magnoliafork.wire import messages
from magnoliafork.wire.api import LinkFailure

OWN, OTHER = "joliette", "rawdon"
PROFILE = RequestProfile(kind=400, target_latency_s=0.4, bytes=5000)
NEAR = entry("a", zone=OWN, host="10.0.0.1")
FAR = entry("b", zone=OTHER, host="10.0.1.1")


class Clock:
    """Time that a test sets."""

    def __init__(self) -> None:
        self.now_s = 1000.0

    def __call__(self) -> float:
        return self.now_s


def make() -> tuple[UpstreamSelector, Clock]:
    clock = Clock()
    return UpstreamSelector(OWN, random.Random(5), clock), clock


def request() -> messages.CallRequest:
    return messages.CallRequest(
        stream_id=1,
        request_id="r",
        service_name="catalogue",
        method="GET",
        path="/",
        header_names=(),
        header_values=(),
        body=b"",
        repeatable=True,
        priority=2,
        traceparent="",
        remaining_ms=1000,
        is_keyed=False,
        is_first_attempt=False,
        target_latency_ms=PROFILE.kind,
    )


def answer(
    active: int = 0, queued: int = 0, work_ms: int = 100, failed: int = 0
) -> messages.CallAnswer:
    return messages.CallAnswer(
        1, 200, (), (), b"x" * 5000, active, 4, queued, work_ms, failed
    )


def learn(
    table: UpstreamSelector, host: str, reply: messages.CallAnswer
) -> None:
    table.observe(request(), host, 1, reply, 0.1)


def share_near(table: UpstreamSelector) -> float:
    chosen = [table.choose((NEAR, FAR), (), PROFILE) for _ in range(200)]
    return sum(e is NEAR for e in chosen) / len(chosen)


def test_calm_fleet_stays_in_its_zone() -> None:
    """Bytes between zones have a price."""
    table, _ = make()
    learn(table, NEAR.host, answer())
    learn(table, FAR.host, answer())
    assert share_near(table) == 1.0


def test_full_queue_spills_to_another_zone() -> None:
    table, _ = make()
    learn(table, NEAR.host, answer(active=4, queued=12))
    learn(table, FAR.host, answer())
    assert share_near(table) == 0.0


def test_old_hint_of_a_full_queue_loses_its_weight() -> None:
    table, clock = make()
    learn(table, NEAR.host, answer(active=4, queued=12))
    learn(table, FAR.host, answer())
    clock.now_s += 1.0
    assert share_near(table) == 1.0


def test_failing_upstream_is_left_and_tried_again() -> None:
    table, clock = make()
    learn(table, NEAR.host, answer(failed=600))
    learn(table, FAR.host, answer())
    assert share_near(table) == 0.0
    clock.now_s += 5.0
    assert share_near(table) == 1.0


def test_silent_node_is_left_for_longer_each_time() -> None:
    """A dead machine must not cost each request a connection time-out."""
    table, clock = make()
    failure = LinkFailure(False, 0, "cannot connect")
    for pause_s in (0.5, 1.0, 2.0):
        table.observe(request(), NEAR.host, 1, failure, 0.1)
        clock.now_s += pause_s - 0.1
        assert share_near(table) == 0.0
        clock.now_s += 0.2
        assert share_near(table) == 1.0


def test_refusal_is_respected_until_the_time_that_it_names() -> None:
    table, clock = make()
    refused = messages.CallRefused(1, "overloaded", 300, 4, 4, "", 4, 100, 0)
    table.observe(request(), NEAR.host, 1, refused, 0.1)
    assert share_near(table) == 0.0
    clock.now_s += 0.5
    assert share_near(table) > 0.9


def test_nodes_with_the_same_hints_do_not_all_choose_the_same() -> None:
    """An upstream that looked free a moment ago must not be flooded."""
    entries = [entry(c, host=f"10.0.0.{ord(c)}") for c in "abcdef"]
    chosen: collections.Counter[str] = collections.Counter()
    for seed in range(300):
        table = UpstreamSelector(OWN, random.Random(seed), Clock())
        for upstream in entries:
            learn(table, upstream.host, answer(active=2))
        picked = table.choose(entries, (), PROFILE)
        assert picked is not None
        chosen[picked.upstream_id] += 1
    assert max(chosen.values()) < 300 / len(entries) * 2


def test_own_calls_count_before_any_reply() -> None:
    table, _ = make()
    peers = [entry(c, host=f"10.0.0.{ord(c)}") for c in "ab"]
    chosen: collections.Counter[str] = collections.Counter()
    for _ in range(16):
        picked = table.choose(peers, (), PROFILE)
        assert picked is not None
        table.begin(picked.host)
        chosen[picked.upstream_id] += 1
    assert min(chosen.values()) >= 6


def test_large_service_compares_few_of_its_upstreams() -> None:
    table, _ = make()
    many = [
        entry(f"u{n}", host=f"10.1.{n // 250}.{n % 250}") for n in range(900)
    ]
    assert table.choose(many, (), PROFILE) is not None


def test_excluded_upstreams_are_not_chosen() -> None:
    table, _ = make()
    assert table.choose((NEAR,), {NEAR.host}, PROFILE) is None


def test_hosts_without_calls_are_forgotten() -> None:
    """Addresses of a fleet that is replaced for years would pile up."""
    table, clock = make()
    for number in range(500):
        host = f"10.2.{number // 250}.{number % 250}"
        table.begin(host)
        table.end(host)
        clock.now_s += 10.0
    assert len(table._known) < 100
