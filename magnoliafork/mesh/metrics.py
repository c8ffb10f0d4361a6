"""Renders the metrics of a mesh node as text."""

from collections.abc import Iterator, Mapping
from typing import TYPE_CHECKING

from magnoliafork.observe.metrics import LatencySummary

if TYPE_CHECKING:
    from magnoliafork.mesh.node import MeshNode

PREFIX = "magnoliafork"
# Tenants that are listed by name; each of them is three lines.
MAX_TENANTS = 20


def render(node: "MeshNode") -> str:
    """Returns all metrics, one per line."""
    return "".join(f"{line}\n" for line in _lines(node))


def _lines(node: "MeshNode") -> Iterator[str]:
    sender, receiver = node.sender.counters, node.receiver.counters
    reads, updates = node.reader.counters, node.view_sync.counters
    config, callers = node.view.config, node.ingress.server
    unlabelled: dict[str, float] = {
        "config_version": config.version if config is not None else 0,
        "view_era": node.view.era,
        "view_revision": node.view.revision,
        "upstreams_unconfigured": len(node.view.unconfigured_upstreams),
        "store_reads_total": reads.reads,
        "store_catch_up_reads_total": reads.catch_up_reads,
        "store_check_reads_total": reads.check_reads,
        "store_reads_failed_total": reads.failed,
        "store_received_bytes_total": reads.received_bytes,
        "longest_store_read_seconds": reads.longest_s,
        "is_reader": int(node.view_sync.is_reader),
        "reader_heartbeat_age_seconds": node.view_sync.heartbeats.silent_s,
        "view_lag_seconds": node.view_sync.lag_s,
        "view_requests_total": updates.requests,
        "view_requests_repeated_total": updates.repeated_requests,
        "view_replies_outdated_total": updates.outdated_replies,
        "view_whole_values_received_total": updates.whole_values,
        "view_patches_received_total": updates.patches,
        "view_sent_bytes_total": node.view_sync.encoder.sent_bytes,
        "longest_tick_delay_seconds": node.longest_tick_delay_s,
        "requests_total": sender.requests,
        "requests_in_flight": sender.in_flight,
        "requests_answered_total": sender.answered,
        "requests_cut_total": node.ingress.cut,
        "caller_connections": callers.connection_count,
        "caller_connections_evicted_total": callers.evicted_connections,
        "caller_connections_refused_total": callers.refused_connections,
        "caller_held_bytes": callers.budget.held_bytes,
        "caller_held_bytes_highest": callers.budget.highest_bytes,
        "caller_held_bytes_limit": callers.budget.limit_bytes,
        "caller_requests_waiting_for_room": callers.budget.waiting,
        "caller_connections_unread_total": callers.aborted_readers,
        "retries_total": sender.retries,
        "hedges_total": sender.hedges,
        "retry_budget_denied_total": sender.budget_denied,
        "calls_total": receiver.calls,
        "calls_sent_total": receiver.sent,
        "calls_broken_total": receiver.broken,
        "calls_stale_total": receiver.stale,
        "calls_active": node.receiver.active,
        "calls_queued": node.receiver.queued,
        "calls_sent_last_4_seconds": node.receiver.notices.sent_in_window,
        "upstream_rate_limit_per_second": (
            node.receiver.notices.limiter.limit_per_s or 0.0
        ),
        "upstream_is_leaving": int(node.receiver.notices.is_leaving),
        "suspects": len(node.suspects),
        "crash_records_sent_total": node.crash_reports.sent_records,
        "health_checks_total": node.receiver.health_checks,
        "upstream_connections_total": node.client.connections_opened,
        "log_lines_dropped_total": node.log.dropped_lines,
        "links_silent_total": node.pool.silent_links,
        "control_sent_bytes_total": node.traffic.control_sent_bytes,
        "control_received_bytes_total": node.traffic.control_received_bytes,
    }
    if config is not None and config.tenants is not None:
        unlabelled |= _of_tenants(node)
    for name, value in unlabelled.items():
        yield f"{PREFIX}_{name} {value}"
    yield from _by_reason("requests_not_run_total", sender.not_run_by)
    refused = {str(k): n for k, n in callers.refused_by.items()}
    yield from _by_reason("caller_requests_refused_total", refused)
    yield from _by_reason("requests_unknown_total", sender.unknown_by)
    yield from _by_reason("calls_refused_total", receiver.refused_by)
    yield from _largest_tenants(node)
    for service, histogram in sorted(node.metrics.services.items()):
        yield from _summary(service, histogram.summary())


def _of_tenants(node: "MeshNode") -> dict[str, float]:
    """Returns the metrics of a deployment whose requests have tenants."""
    counters = node.quotas.counters
    return {
        "view_age_seconds": node.freshness.age_s(),
        "keys_confirmed": int(node.keys.is_confirmed()),
        "quota_requests_total": counters.asked,
        "quota_requests_failed_total": counters.failed,
        "quota_tokens_granted_total": counters.granted,
    }


def _largest_tenants(node: "MeshNode") -> Iterator[str]:
    """Returns what the largest tenants of this node use of their quotas."""
    for tenant, lease in node.quotas.leases.largest(MAX_TENANTS):
        label = f'{{tenant="{_escaped(tenant)}"}}'
        for name, value in (
            ("tenant_requests_total", lease.passed),
            ("tenant_requests_over_quota_total", lease.refused),
            ("tenant_tokens_left", lease.tokens),
        ):
            yield f"{PREFIX}_{name}{label} {value}"


def _escaped(label: str) -> str:
    r"""Escapes a value of a label; names of tenants are operators' text.

    >>> _escaped('a"b')
    'a\\"b'
    """
    return label.replace("\\", "\\\\").replace('"', '\\"')


def _summary(service: str, summary: LatencySummary) -> Iterator[str]:
    """Returns the answer latencies of a service."""
    name = f"{PREFIX}_answer_latency_seconds"
    for quantile, value_us in summary.quantiles_us.items():
        labels = f'service="{service}",quantile="{quantile}"'
        yield f"{name}{{{labels}}} {value_us / 1e6}"
    yield f'{name}_count{{service="{service}"}} {summary.count}'
    yield f'{name}_sum{{service="{service}"}} {summary.sum_us / 1e6}'


def _by_reason(name: str, values: Mapping[str, int]) -> Iterator[str]:
    for reason, value in sorted(values.items()):
        yield f'{PREFIX}_{name}{{reason="{reason}"}} {value}'
