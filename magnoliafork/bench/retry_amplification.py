"""Attempts at upstreams per request while a third of the instances fail."""

import asyncio
import collections
import dataclasses
import enum
import random
from collections.abc import Iterable, Sequence

from aiohttp import web

from magnoliafork.bench.direct_callers import (
    ANSWERED,
    DirectCallers,
    RetryPolicy,
    RoundRobin,
    route_table,
)
from magnoliafork.bench.figure import Figure, Measurement
from magnoliafork.standins.deployments import LANAUDIERE, DeploymentSpec
from magnoliafork.standins.fleet import HOST, Fleet
from magnoliafork.standins.load_generator import Callers, CallRecord
from magnoliafork.standins.upstream_model import UpstreamBehaviour
from magnoliafork.standins.upstream_server import UpstreamServer

SEED = 20_261_204
RATE_PER_S = 80.0
WARM_UP_S = 1.0
QUICK_DURATION_S = 1.0
FULL_DURATION_S = 8.0


class Fault(enum.StrEnum):
    """How an upstream fails every request."""

    CUT = "connections cut"
    REFUSED = "refused as not run"
    ERROR = "error answers"


class FaultyUpstream(UpstreamServer):
    """Upstream that fails every request while it has a fault.

    Attributes:
        attempts: Requests that reached the upstream.
        fault: Current fault, or None.
    """

    def __init__(self, behaviour: UpstreamBehaviour) -> None:
        """Creates an upstream without a fault."""
        super().__init__(behaviour)
        self.attempts = 0
        self.fault: Fault | None = None

    async def _handle_request(self, request: web.Request) -> web.Response:
        self.attempts += 1
        match self.fault:
            case None:
                return await super()._handle_request(request)
            case Fault.REFUSED:
                return self._shed("fault")
            case Fault.CUT if request.transport is not None:
                request.transport.abort()
        return web.Response(status=500)


class _FaultyFleet(Fleet):
    """Fleet whose upstreams fail on demand."""

    async def _start_upstream(self, instance_id: str) -> None:
        service = self.endpoints[instance_id].instance.service
        upstream = FaultyUpstream(self.spec.behaviour(service, instance_id))
        port = await upstream.start(HOST, 0)
        self.upstreams[instance_id] = upstream
        self._upstream_urls[instance_id] = f"http://{HOST}:{port}"

    def faulty_upstreams(self) -> list[FaultyUpstream]:
        return [
            upstream
            for upstream in self.upstreams.values()
            if isinstance(upstream, FaultyUpstream)
        ]


@dataclasses.dataclass(frozen=True, slots=True)
class Amplification:
    """Attempts and failures per request during a fault.

    Attributes:
        attempts_per_request: Requests at upstreams per caller's request.
        failed_percent: Share of the requests without an answer or with a 5xx
            answer.
    """

    attempts_per_request: float
    failed_percent: float


def amplification(
    records: Sequence[CallRecord], attempts: int
) -> Amplification:
    """Returns the attempts per request and the share that failed."""
    failed = sum(
        record.outcome != ANSWERED or record.status >= 500 for record in records
    )
    count = max(1, len(records))
    return Amplification(
        attempts_per_request=round(attempts / count, 3),
        failed_percent=round(100 * failed / count, 2),
    )


def failing_third(services: Sequence[str], count: int) -> set[str]:
    """Returns every third instance of each service, shifted per service.

    The shift spreads the failures over the zones; `zone_move` measures the
    loss of a whole zone.

    >>> sorted(failing_third(["a", "b"], 3))
    ['a-1', 'b-2']
    """
    return {
        f"{service}-{number + 1}"
        for index, service in enumerate(services)
        for number in range(count)
        if number % 3 == index % 3
    }


async def _measure_nodes(
    spec: DeploymentSpec, fault: Fault, duration_s: float
) -> Amplification:
    rng = random.Random(SEED)
    fleet = _FaultyFleet(spec, rng)
    try:
        await fleet.start()
        if not await fleet.wait_ready():
            raise RuntimeError("the fleet did not get ready")
        targets = [endpoints.url for endpoints in fleet.endpoints.values()]
        warm_up = Callers(spec.patterns, RATE_PER_S, rng)
        warm_up.targets = targets
        await warm_up.run_until(_now_s() + WARM_UP_S)
        upstreams = fleet.faulty_upstreams()
        attempts_before = _begin_fault(spec, upstreams, fault)
        callers = Callers(spec.patterns, RATE_PER_S, rng)
        callers.targets = targets
        await callers.run_until(_now_s() + duration_s)
        attempts = _attempts(upstreams) - attempts_before
        return amplification(callers.records, attempts)
    finally:
        await fleet.stop()


async def _measure_direct_sender(
    spec: DeploymentSpec, fault: Fault, duration_s: float
) -> Amplification:
    rng = random.Random(SEED)
    upstreams: list[FaultyUpstream] = []
    targets: dict[str, dict[str, str]] = collections.defaultdict(dict)
    try:
        for service in spec.services:
            for number in range(spec.servers_per_service):
                instance_id = f"{service}-{number + 1}"
                upstream = FaultyUpstream(spec.behaviour(service, instance_id))
                upstreams.append(upstream)
                port = await upstream.start(HOST, 0)
                targets[service][instance_id] = f"http://{HOST}:{port}"
        table = route_table(spec.rules)

        def new_callers() -> DirectCallers:
            callers = DirectCallers(
                table,
                spec.patterns,
                RATE_PER_S,
                rng,
                RoundRobin(),
                RetryPolicy.UNCONDITIONAL,
            )
            callers.targets = targets
            return callers

        await new_callers().run_until(_now_s() + WARM_UP_S)
        attempts_before = _begin_fault(spec, upstreams, fault)
        measured_callers = new_callers()
        await measured_callers.run_until(_now_s() + duration_s)
        attempts = _attempts(upstreams) - attempts_before
        return amplification(measured_callers.records, attempts)
    finally:
        for upstream in upstreams:
            await upstream.stop()


def _begin_fault(
    spec: DeploymentSpec, upstreams: Sequence[FaultyUpstream], fault: Fault
) -> int:
    """Makes a third of the instances fail; returns the attempts so far."""
    failing = failing_third(spec.services, spec.servers_per_service)
    for upstream in upstreams:
        if upstream.behaviour.instance_id in failing:
            upstream.fault = fault
    return _attempts(upstreams)


def _attempts(upstreams: Iterable[FaultyUpstream]) -> int:
    return sum(upstream.attempts for upstream in upstreams)


async def _measure_fault(
    spec: DeploymentSpec, fault: Fault, is_quick: bool
) -> list[Figure]:
    duration_s = QUICK_DURATION_S if is_quick else FULL_DURATION_S
    runs = (
        _measure_nodes(spec, fault, duration_s),
        _measure_direct_sender(spec, fault, duration_s),
    )
    if is_quick:
        nodes_effect, direct_effect = await asyncio.gather(*runs)
    else:
        nodes_effect, direct_effect = [await run for run in runs]
    nodes = len(spec.services) * spec.servers_per_service
    return [
        Figure(
            "retry_amplification",
            fault.value,
            nodes,
            nodes_effect.attempts_per_request,
            "attempts per request",
            direct_effect.attempts_per_request,
        ),
        Figure(
            "retry_failed",
            fault.value,
            nodes,
            nodes_effect.failed_percent,
            "% of requests",
            direct_effect.failed_percent,
        ),
    ]


async def measure(is_quick: bool) -> list[Figure]:
    """Compares the nodes with a sender that retries every failure.

    The direct sender retries up to three times, and also requests that may
    have run, such as payments.
    """
    # Callers do not repeat requests, so that every attempt after the first is
    # the sender's.
    patterns = tuple(
        dataclasses.replace(pattern, is_keyed=False)
        for pattern in LANAUDIERE.patterns
    )
    spec = dataclasses.replace(LANAUDIERE, patterns=patterns)
    figures: list[Figure] = []
    for fault in (Fault.CUT,) if is_quick else tuple(Fault):
        figures += await _measure_fault(spec, fault, is_quick)
    return figures


def _now_s() -> float:
    return asyncio.get_running_loop().time()


MEASUREMENTS: tuple[Measurement, ...] = (measure,)
