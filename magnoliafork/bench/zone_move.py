"""Service quality while an availability zone is taken out and put back."""

import asyncio
import dataclasses
import random
from collections.abc import Iterable, Sequence

from magnoliafork.bench.direct_callers import (
    ANSWERED,
    NOT_RUN,
    DirectCallers,
    LeastConnections,
    Picker,
    RetryPolicy,
    RoundRobin,
    route_of,
    route_table,
)
from magnoliafork.bench.figure import Figure, Measurement
from magnoliafork.standins.audit import quantile
from magnoliafork.standins.deployments import LANAUDIERE, DeploymentSpec
from magnoliafork.standins.fleet import HOST, Fleet
from magnoliafork.standins.load_generator import Callers, CallRecord
from magnoliafork.standins.upstream_server import UpstreamServer

SEED = 20_261_204
# Share of the remaining slots that the busiest service needs while the zone
# is out.
TARGET_UTILIZATION = 0.85
OURS = "ours"
ROUND_ROBIN = "round robin"
LEAST_CONNECTIONS = "least connections"


@dataclasses.dataclass(frozen=True, slots=True)
class Plan:
    """Times and rate of one run.

    Attributes:
        rate_per_s: Rate of the callers.
        warm_up_s: Time at a tenth of the rate, longer than the cold start of
            the upstreams and the ramp of the nodes.
        before_s: Time at the full rate before the zone goes out.
        out_s: Time without the zone.
        back_s: Time after its return.
        is_concurrent: Whether all variants run side by side.
    """

    rate_per_s: float
    warm_up_s: float
    before_s: float
    out_s: float
    back_s: float
    is_concurrent: bool


# Three variants side by side keep the quick run short; the rate is lower
# because they share one event loop.
QUICK = Plan(90.0, 4.2, 1.0, 2.0, 2.5, is_concurrent=True)
FULL = Plan(150.0, 6.0, 10.0, 12.0, 15.0, is_concurrent=False)


@dataclasses.dataclass(frozen=True, slots=True)
class Quality:
    """Outcomes and latencies that callers saw.

    Attributes:
        calls: Requests that were in progress when the zone left or started
            later.
        failed: Those without a valid answer that may have run.
        shed: Those that were not run.
        p99_before_ms: Latency of answers before the zone left.
        p99_during_ms: Latency of answers from then on.
        falls: Crashes of upstreams from overload, from then on.
    """

    calls: int
    failed: int
    shed: int
    p99_before_ms: float
    p99_during_ms: float
    falls: int


def quality(
    records: Sequence[CallRecord], out_at_s: float, crashes: int
) -> Quality:
    """Returns what callers saw before and after the zone left.

    Args:
        records: Requests that have ended.
        out_at_s: Time when the zone left, on the loop's clock.
        crashes: Crashes of upstreams from overload since then.
    """
    before: list[CallRecord] = []
    during: list[CallRecord] = []
    for record in records:
        has_ended = record.started_s + record.took_s < out_at_s
        (before if has_ended else during).append(record)
    shed = sum(record.outcome == NOT_RUN for record in during)
    answered = sum(_is_answered(record) for record in during)
    return Quality(
        calls=len(during),
        failed=len(during) - answered - shed,
        shed=shed,
        p99_before_ms=_p99_ms(before),
        p99_during_ms=_p99_ms(during),
        falls=crashes,
    )


def figures(by_variant: dict[str, Quality], nodes: int) -> list[Figure]:
    """Returns the figures of all variants.

    The baseline of a p99 is the one before the zone left. The baseline of the
    nodes' counts is the better one of the direct senders.
    """
    rows: list[Figure] = []
    direct_senders = [q for name, q in by_variant.items() if name != OURS]
    for variant, measured in by_variant.items():
        node_count = nodes if variant == OURS else 0

        def add(
            name: str,
            value: float,
            unit: str,
            baseline: float | None,
            variant: str = variant,
            node_count: int = node_count,
        ) -> None:
            name = f"zone_move_{name}"
            rows.append(
                Figure(name, variant, node_count, value, unit, baseline)
            )

        add("calls", measured.calls, "calls", None)
        for name in ("failed", "shed", "falls"):
            best_direct = min(getattr(other, name) for other in direct_senders)
            baseline = best_direct if variant == OURS else None
            unit = "falls" if name == "falls" else "calls"
            add(name, getattr(measured, name), unit, baseline)
        add("p99", measured.p99_during_ms, "ms", measured.p99_before_ms)
    return rows


def high_load_service_time_s(spec: DeploymentSpec, rate_per_s: float) -> float:
    """Returns the service time that keeps the remaining zones highly utilized.

    The machine limits the request rate, so the utilization is reached by a
    longer service time.
    """
    table = route_table(spec.rules)
    weights: dict[str, int] = {}
    for pattern in spec.patterns:
        service = route_of(table, pattern).targets[0].service
        weights[service] = weights.get(service, 0) + pattern.weight
    share = max(weights.values()) / sum(weights.values())
    slots_left = spec.slots * (spec.servers_per_service - 1)
    return TARGET_UTILIZATION * slots_left / (rate_per_s * share)


def _high_load_spec(rate_per_s: float) -> DeploymentSpec:
    # Callers do not repeat requests, so that each request that was shed counts
    # as shed.
    patterns = tuple(
        dataclasses.replace(pattern, is_keyed=False)
        for pattern in LANAUDIERE.patterns
    )
    return dataclasses.replace(
        LANAUDIERE,
        patterns=patterns,
        service_time_s=high_load_service_time_s(LANAUDIERE, rate_per_s),
    )


async def _measure_nodes(spec: DeploymentSpec, plan: Plan) -> Quality:
    rng = random.Random(SEED)
    fleet = Fleet(spec, rng)
    zone = spec.moved_zone
    try:
        await fleet.start()
        if not await fleet.wait_ready():
            raise RuntimeError("the fleet did not get ready")
        targets = [endpoints.url for endpoints in fleet.endpoints.values()]
        warm_up = Callers(spec.patterns, plan.rate_per_s / 10, rng)
        warm_up.targets = targets
        await warm_up.run_until(_now_s() + plan.warm_up_s)
        callers = Callers(spec.patterns, plan.rate_per_s, rng)
        callers.targets = targets
        out_at_s = _now_s() + plan.before_s
        back_at_s = out_at_s + plan.out_s
        calling = asyncio.create_task(
            callers.run_until(back_at_s + plan.back_s)
        )
        await _sleep_until(out_at_s)
        crashes_before = _crash_count(fleet.upstreams.values())
        fleet.publish(
            spec.rules.replace(f"zone {zone} ", f"zone {zone} out ", 1)
        )
        await _sleep_until(back_at_s)
        for instance_id, endpoints in fleet.endpoints.items():
            if endpoints.instance.zone == zone:
                fleet.upstreams[instance_id].begin_cold_start()
        fleet.publish(spec.rules)
        await calling
        crashes = _crash_count(fleet.upstreams.values()) - crashes_before
        return quality(callers.records, out_at_s, crashes)
    finally:
        await fleet.stop()


class _DirectUpstreams:
    """Upstreams of a deployment, called without nodes."""

    def __init__(self, spec: DeploymentSpec) -> None:
        self._spec = spec
        self._servers: dict[str, dict[str, UpstreamServer]] = {}
        self._zones: dict[str, str] = {}
        self._urls: dict[str, str] = {}

    async def start(self) -> None:
        spec = self._spec
        for service in spec.services:
            self._servers[service] = {}
            for number in range(spec.servers_per_service):
                instance_id = f"{service}-{number + 1}"
                server = UpstreamServer(spec.behaviour(service, instance_id))
                self._servers[service][instance_id] = server
                self._zones[instance_id] = spec.zones[number % len(spec.zones)]
                port = await server.start(HOST, 0)
                self._urls[instance_id] = f"http://{HOST}:{port}"

    def targets(self, zone_out: str = "") -> dict[str, dict[str, str]]:
        return {
            service: {
                instance_id: self._urls[instance_id]
                for instance_id in servers
                if self._zones[instance_id] != zone_out
            }
            for service, servers in self._servers.items()
        }

    def begin_cold_start(self, zone: str) -> None:
        for servers in self._servers.values():
            for instance_id, server in servers.items():
                if self._zones[instance_id] == zone:
                    server.begin_cold_start()

    def crash_count(self) -> int:
        return sum(
            _crash_count(servers.values()) for servers in self._servers.values()
        )

    async def stop(self) -> None:
        for servers in self._servers.values():
            for server in servers.values():
                await server.stop()


async def _measure_direct_sender(
    spec: DeploymentSpec, plan: Plan, picker: Picker
) -> Quality:
    """Runs a direct sender, which learns of the move without any delay."""
    rng = random.Random(SEED)
    zone = spec.moved_zone
    table = route_table(spec.rules)
    upstreams = _DirectUpstreams(spec)

    def callers_at(rate_per_s: float) -> DirectCallers:
        callers = DirectCallers(
            table, spec.patterns, rate_per_s, rng, picker, RetryPolicy.SAFE
        )
        callers.targets = upstreams.targets()
        return callers

    try:
        await upstreams.start()
        warm_up = callers_at(plan.rate_per_s / 10)
        await warm_up.run_until(_now_s() + plan.warm_up_s)
        callers = callers_at(plan.rate_per_s)
        out_at_s = _now_s() + plan.before_s
        back_at_s = out_at_s + plan.out_s
        calling = asyncio.create_task(
            callers.run_until(back_at_s + plan.back_s)
        )
        await _sleep_until(out_at_s)
        crashes_before = upstreams.crash_count()
        callers.targets = upstreams.targets(zone_out=zone)
        await _sleep_until(back_at_s)
        upstreams.begin_cold_start(zone)
        callers.targets = upstreams.targets()
        await calling
        crashes = upstreams.crash_count() - crashes_before
        return quality(callers.records, out_at_s, crashes)
    finally:
        await upstreams.stop()


async def measure(is_quick: bool) -> list[Figure]:
    """Takes a zone out of service and puts it back under load."""
    plan = QUICK if is_quick else FULL
    spec = _high_load_spec(plan.rate_per_s)
    picker = LeastConnections(random.Random(SEED))
    runs = {
        OURS: _measure_nodes(spec, plan),
        ROUND_ROBIN: _measure_direct_sender(spec, plan, RoundRobin()),
        LEAST_CONNECTIONS: _measure_direct_sender(spec, plan, picker),
    }
    if plan.is_concurrent:
        measured = list(await asyncio.gather(*runs.values()))
    else:
        measured = [await run for run in runs.values()]
    nodes = len(spec.services) * spec.servers_per_service
    return figures(dict(zip(runs, measured, strict=True)), nodes)


def _crash_count(upstreams: Iterable[UpstreamServer]) -> int:
    return sum(upstream.crash_count for upstream in upstreams)


def _is_answered(record: CallRecord) -> bool:
    return record.outcome == ANSWERED and record.status < 500


def _p99_ms(records: Sequence[CallRecord]) -> float:
    times_s = sorted(
        record.took_s for record in records if _is_answered(record)
    )
    return round(quantile(times_s, 0.99) * 1000, 1)


def _now_s() -> float:
    return asyncio.get_running_loop().time()


async def _sleep_until(at_s: float) -> None:
    await asyncio.sleep(at_s - _now_s())


MEASUREMENTS: tuple[Measurement, ...] = (measure,)
