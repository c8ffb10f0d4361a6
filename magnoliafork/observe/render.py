"""Metrics in the Prometheus text format and as JSON."""

import dataclasses
from collections.abc import Iterator

from prometheus_client import CollectorRegistry, generate_latest
from prometheus_client.core import (
    CounterMetricFamily,
    GaugeMetricFamily,
    SummaryMetricFamily,
)
from prometheus_client.metrics_core import Metric
from prometheus_client.registry import Collector

from magnoliafork.observe.metrics import (
    COUNTER_LABELS,
    LatencySummary,
    Metrics,
)
from magnoliafork.observe.status import NodeStatus

PREFIX = "magnolia_"
US_PER_S = 1_000_000


class NodeCollector(Collector):
    """Reads a node's metrics when they are scraped."""

    def __init__(self, metrics: Metrics, status: NodeStatus) -> None:
        """Collects from the given metrics and status."""
        self._metrics = metrics
        self._status = status

    def collect(self) -> Iterator[Metric]:
        """Yields all metric families."""
        yield from self._counters()
        yield from self._latencies()
        yield from self._gauges()
        yield from self._labelled_gauges()

    def _counters(self) -> Iterator[Metric]:
        for name, values in sorted(self._metrics.counters.items()):
            label = COUNTER_LABELS.get(name)
            family = CounterMetricFamily(
                PREFIX + name.value,
                f"Number of {name.value.replace('_', ' ')}.",
                labels=[label] if label else [],
            )
            if label:
                for value, count in sorted(values.items()):
                    family.add_metric([value], count)
            else:
                family.add_metric([], sum(values.values()))
            yield family

    def _latencies(self) -> Iterator[Metric]:
        added = SummaryMetricFamily(
            f"{PREFIX}added_latency_seconds",
            "Latency added by the node; quantiles of the last minute.",
        )
        _add_summary(added, {}, self._metrics.added_latency.summary())
        yield added
        calls = SummaryMetricFamily(
            f"{PREFIX}call_latency_seconds",
            "Latency of calls by service; quantiles of the last minute.",
            labels=["service"],
        )
        for service, histogram in sorted(self._metrics.services.items()):
            _add_summary(calls, {"service": service}, histogram.summary())
        yield calls

    def _gauges(self) -> Iterator[Metric]:
        status = self._status
        gauges = {
            "ready": ("Whether the node serves callers.", status.is_ready),
            "leaving": ("Whether a stop has begun.", status.is_leaving),
            "version_number": (
                "Configuration version in force.",
                status.version.number,
            ),
            "rejected_versions": (
                "Rejected versions above the one in force.",
                len(status.rejected),
            ),
            "active_calls": ("Requests in the upstream.", status.active),
            "limit_calls": ("Concurrency limit.", status.limit),
            "queued_calls": ("Requests that wait.", status.queued),
            "ramp_ratio": ("Share of the slots in use.", status.ramp),
            "neighbours": ("Control links.", len(status.neighbours)),
        }
        for name, (text, value) in gauges.items():
            yield GaugeMetricFamily(PREFIX + name, text, value=float(value))

    def _labelled_gauges(self) -> Iterator[Metric]:
        members = GaugeMetricFamily(
            f"{PREFIX}members", "Members by state.", labels=["state"]
        )
        for state, count in sorted(self._status.members.items()):
            members.add_metric([state.lower()], count)
        yield members
        zones = GaugeMetricFamily(
            f"{PREFIX}zone_out", "Zones without new work.", labels=["zone"]
        )
        for zone in self._status.zones_out:
            zones.add_metric([zone], 1)
        yield zones


def to_prometheus(metrics: Metrics, status: NodeStatus) -> bytes:
    """Renders metrics and status in the Prometheus text format."""
    registry = CollectorRegistry(auto_describe=False)
    registry.register(NodeCollector(metrics, status))
    return generate_latest(registry)


def to_json(metrics: Metrics) -> dict[str, object]:
    """Returns the metrics as a JSON value."""
    return {
        "counters": metrics.totals(),
        "added_latency": _summary_json(metrics.added_latency.summary()),
        "services": {
            service: _summary_json(histogram.summary())
            for service, histogram in sorted(metrics.services.items())
        },
    }


def _add_summary(
    family: SummaryMetricFamily,
    labels: dict[str, str],
    summary: LatencySummary,
) -> None:
    for quantile, value_us in summary.quantiles_us.items():
        family.add_sample(
            family.name,
            {**labels, "quantile": str(quantile)},
            value_us / US_PER_S,
        )
    family.add_metric(
        list(labels.values()), summary.count, summary.sum_us / US_PER_S
    )


def _summary_json(summary: LatencySummary) -> dict[str, object]:
    value = dataclasses.asdict(summary)
    value["quantiles_us"] = {
        str(quantile): value_us
        for quantile, value_us in summary.quantiles_us.items()
    }
    return value
