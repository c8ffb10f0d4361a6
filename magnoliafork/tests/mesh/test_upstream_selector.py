"""Selection of upstreams under low load, overload and failures."""

import collections
import random

import pytest

from magnoliafork.mesh.model import UpstreamEntry
from magnoliafork.mesh.upstream_selector import RequestProfile, UpstreamSelector
from magnoliafork.tests.mesh.builders import entry
from magnoliafork.wire import messages
from magnoliafork.wire.api import LinkFailure

OWN_ZONE, REMOTE_ZONE = "joliette", "rawdon"
PROFILE = RequestProfile(kind=400, target_latency_s=0.4, bytes=5000)
SAME_ZONE = entry("a", zone=OWN_ZONE, host="10.0.0.1")
OTHER_ZONE = entry("b", zone=REMOTE_ZONE, host="10.0.1.1")


class Clock:
    """Time that a test sets."""

    def __init__(self) -> None:
        self.now_s = 1000.0

    def __call__(self) -> float:
        return self.now_s


def new_selector() -> tuple[UpstreamSelector, Clock]:
    clock = Clock()
    return UpstreamSelector(OWN_ZONE, random.Random(5), clock), clock


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


def record(
    selector: UpstreamSelector, host: str, reply: messages.CallAnswer
) -> None:
    selector.observe(request(), host, 1, reply, 0.1)


def share_of_same_zone(selector: UpstreamSelector) -> float:
    chosen = [
        selector.choose((SAME_ZONE, OTHER_ZONE), (), PROFILE)
        for _ in range(200)
    ]
    return sum(e is SAME_ZONE for e in chosen) / len(chosen)


def test_requests_stay_in_the_zone_under_low_load() -> None:
    """Traffic between zones has a cost."""
    selector, _ = new_selector()
    record(selector, SAME_ZONE.host, answer())
    record(selector, OTHER_ZONE.host, answer())
    assert share_of_same_zone(selector) == 1.0


def test_full_queue_moves_requests_to_another_zone() -> None:
    """Callers would wait in a full queue while another zone is idle."""
    selector, _ = new_selector()
    record(selector, SAME_ZONE.host, answer(active=4, queued=12))
    record(selector, OTHER_ZONE.host, answer())
    assert share_of_same_zone(selector) == 0.0


def test_old_hint_of_a_full_queue_loses_its_weight() -> None:
    """Requests would leave the zone long after its queue was served."""
    selector, clock = new_selector()
    record(selector, SAME_ZONE.host, answer(active=4, queued=12))
    record(selector, OTHER_ZONE.host, answer())
    clock.now_s += 1.0
    assert share_of_same_zone(selector) == 1.0


def test_failing_upstream_is_avoided_and_tried_again() -> None:
    """Callers would get errors, or a recovered upstream no requests."""
    selector, clock = new_selector()
    record(selector, SAME_ZONE.host, answer(failed=600))
    record(selector, OTHER_ZONE.host, answer())
    assert share_of_same_zone(selector) == 0.0
    clock.now_s += 5.0
    assert share_of_same_zone(selector) == 1.0


def test_unreachable_node_is_avoided_for_longer_each_time() -> None:
    """A dead machine must not cost each request a connection time-out."""
    selector, clock = new_selector()
    failure = LinkFailure(False, 0, "cannot connect")
    for pause_s in (0.5, 1.0, 2.0):
        selector.observe(request(), SAME_ZONE.host, 1, failure, 0.1)
        clock.now_s += pause_s - 0.1
        assert share_of_same_zone(selector) == 0.0
        clock.now_s += 0.2
        assert share_of_same_zone(selector) == 1.0


@pytest.mark.parametrize(("active", "queued"), [(4, 4), (0, 0)])
def test_refusal_is_respected_until_the_time_that_it_names(
    active: int, queued: int
) -> None:
    """Requests would lose time at an upstream that refuses them again."""
    selector, clock = new_selector()
    refused = messages.CallRefused(
        1, "overloaded", 300, active, 4, "", queued, 100, 0
    )
    selector.observe(request(), SAME_ZONE.host, 1, refused, 0.1)
    assert share_of_same_zone(selector) == 0.0
    clock.now_s += 0.29
    assert share_of_same_zone(selector) == 0.0
    clock.now_s += 0.21
    assert share_of_same_zone(selector) > 0.9


def test_nodes_with_the_same_hints_do_not_all_select_one_upstream() -> None:
    """All nodes would overload an upstream that was free a moment ago."""
    entries = [entry(c, host=f"10.0.0.{ord(c)}") for c in "abcdef"]
    chosen: collections.Counter[str] = collections.Counter()
    for seed in range(300):
        selector = UpstreamSelector(OWN_ZONE, random.Random(seed), Clock())
        for upstream in entries:
            record(selector, upstream.host, answer(active=2))
        picked = selector.choose(entries, (), PROFILE)
        assert picked is not None
        chosen[picked.upstream_id] += 1
    assert max(chosen.values()) < 300 / len(entries) * 2


def test_own_calls_count_before_any_reply() -> None:
    """A burst would go to one upstream before any reply shows its load."""
    peers = [entry(c, host=f"10.0.0.{ord(c)}") for c in "ab"]
    for seed in range(20):
        selector = UpstreamSelector(OWN_ZONE, random.Random(seed), Clock())
        chosen: collections.Counter[str] = collections.Counter()
        for _ in range(16):
            picked = selector.choose(peers, (), PROFILE)
            assert picked is not None
            selector.begin(picked.host)
            chosen[picked.upstream_id] += 1
        assert min(chosen[p.upstream_id] for p in peers) >= 6, f"seed {seed}"


@pytest.mark.parametrize("zone", [OWN_ZONE, REMOTE_ZONE])
def test_large_service_compares_few_of_its_upstreams(
    zone: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Requests to a large service in one zone would fail in the selection."""
    selector, _ = new_selector()
    compared: list[str] = []
    cost = selector.cost

    def count(
        upstream: UpstreamEntry, profile: RequestProfile, now_s: float
    ) -> float:
        compared.append(upstream.host)
        return cost(upstream, profile, now_s)

    monkeypatch.setattr(selector, "cost", count)
    many = [
        entry(f"u{n}", zone=zone, host=f"10.1.{n // 250}.{n % 250}")
        for n in range(900)
    ]
    assert selector.choose(many, (), PROFILE) is not None
    assert 2 <= len(compared) <= 8


def test_excluded_upstreams_are_not_chosen() -> None:
    """A retry would go to the upstream that has just failed the request."""
    selector, _ = new_selector()
    assert selector.choose((SAME_ZONE,), {SAME_ZONE.host}, PROFILE) is None


def test_hosts_without_calls_are_dropped() -> None:
    """Otherwise the hosts of a fleet whose machines are replaced pile up."""
    selector, clock = new_selector()
    for number in range(500):
        host = f"10.2.{number // 250}.{number % 250}"
        selector.begin(host)
        selector.end(host)
        clock.now_s += 10.0
    assert len(selector._states) < 100
