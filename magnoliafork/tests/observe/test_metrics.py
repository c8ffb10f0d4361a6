"""Metrics must be right, bounded and readable by Prometheus."""

import json
import random
import tracemalloc

import pytest
from prometheus_client.parser import text_string_to_metric_families

from magnoliafork.model.instance import Instance
from magnoliafork.observe.metrics import (
    FIRST_WINDOW_S,
    MAX_LABELS,
    MAX_SERVICES,
    WINDOW_S,
    CounterName,
    LatencyHistogram,
    Metrics,
)
from magnoliafork.observe.render import to_json, to_prometheus
from magnoliafork.observe.status import NodeStatus

INSTANCE = Instance("a-1", "a", "z", "r", "127.0.0.1", 7001)


def samples_of(
    metrics: Metrics, status: NodeStatus
) -> dict[tuple[str, ...], float]:
    text = to_prometheus(metrics, status).decode()
    return {
        (sample.name, *sample.labels.values()): sample.value
        for family in text_string_to_metric_families(text)
        for sample in family.samples
    }


def test_quantiles_are_within_two_significant_digits() -> None:
    """Guards against latencies that look better or worse than they are."""
    source = random.Random(7)
    values_s = sorted(source.uniform(0.0001, 0.1) for _ in range(5000))
    histogram = LatencyHistogram()
    for value_s in values_s:
        histogram.record(value_s)
    summary = histogram.summary()
    for quantile, value_us in summary.quantiles_us.items():
        exact_us = values_s[int(quantile * len(values_s)) - 1] * 1e6
        assert value_us == pytest.approx(exact_us, rel=0.01), quantile
    assert summary.sum_us == pytest.approx(sum(values_s) * 1e6, rel=0.01)


def test_extreme_latencies_are_counted() -> None:
    """Guards against slow requests that vanish from the figures."""
    histogram = LatencyHistogram()
    histogram.record(3600)
    histogram.record(-1)
    assert histogram.summary().count == 2
    assert histogram.summary().max_us == pytest.approx(30e6, rel=0.01)


def test_quantiles_follow_the_last_window() -> None:
    """Guards against old latencies that hide a present fault."""
    metrics = Metrics()
    metrics.tick(0.0)
    metrics.record_added_latency(0.001)
    assert metrics.added_latency.summary().max_us < 1100
    metrics.tick(FIRST_WINDOW_S)
    metrics.record_added_latency(0.1)
    assert metrics.added_latency.summary().max_us < 1100
    metrics.tick(FIRST_WINDOW_S + WINDOW_S)
    assert metrics.added_latency.summary().max_us > 99_000
    metrics.tick(FIRST_WINDOW_S + 2 * WINDOW_S)
    assert metrics.added_latency.summary().quantiles_us == {}
    assert metrics.added_latency.summary().count == 2


def test_windows_of_many_services_end_in_turn(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a tick that holds up requests while windows end."""
    ended: list[LatencyHistogram] = []

    def end_window(histogram: LatencyHistogram) -> None:
        ended.append(histogram)

    monkeypatch.setattr(LatencyHistogram, "end_window", end_window)
    metrics = Metrics()
    for index in range(MAX_SERVICES):
        metrics.record_call(f"service-{index}", 0.001)
    ended_before = 0
    for tick in range(int((FIRST_WINDOW_S + WINDOW_S) / 0.25)):
        metrics.tick(0.25 * tick)
        assert len(ended) - ended_before <= 2
        ended_before = len(ended)
    assert len(set(ended)) == MAX_SERVICES + 1


def test_metrics_stay_bounded() -> None:
    """Guards against memory that grows with the names that callers send."""
    metrics = Metrics()
    metrics.record_call("warm-up", 0.001)
    tracemalloc.start()
    before, _ = tracemalloc.get_traced_memory()
    for index in range(2 * MAX_SERVICES):
        metrics.record_call(f"service-{index}", 0.001)
        metrics.count(CounterName.REQUESTS_NOT_RUN, f"reason-{index}")
    after, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert len(metrics.services) == MAX_SERVICES + 1
    assert metrics.services["other"].summary().count == MAX_SERVICES + 1
    assert len(metrics.counters[CounterName.REQUESTS_NOT_RUN]) == MAX_LABELS + 1
    # The design page allows 10 KB for each histogram.
    assert (after - before) / MAX_SERVICES < 10_000


def test_prometheus_reads_every_kind_of_metric() -> None:
    """Guards against an output that a scraper refuses."""
    metrics = Metrics()
    metrics.count(CounterName.RETRIES, by=3)
    metrics.count(CounterName.REQUESTS_NOT_RUN, "overloaded")
    metrics.record_call("orders", 0.002)
    status = NodeStatus(
        INSTANCE, is_ready=True, members={"ALIVE": 4}, zones_out=("z2",)
    )
    samples = samples_of(metrics, status)
    assert samples["magnolia_retries_total",] == 3
    assert samples["magnolia_requests_not_run_total", "overloaded"] == 1
    assert samples["magnolia_members", "alive"] == 4
    assert samples["magnolia_zone_out", "z2"] == 1
    assert samples["magnolia_ready",] == 1
    assert samples["magnolia_call_latency_seconds_count", "orders"] == 1
    median = samples["magnolia_call_latency_seconds", "0.5", "orders"]
    assert median == pytest.approx(0.002, rel=0.01)


def test_json_output_has_the_same_counters() -> None:
    """Guards against two outputs that disagree."""
    metrics = Metrics()
    metrics.count(CounterName.RETRIES, by=3)
    value = json.loads(json.dumps(to_json(metrics)))
    assert value["counters"] == {"retries": 3}
