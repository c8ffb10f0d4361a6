"""Measures convergence and control cost on fleets of nodes in one process."""

import asyncio
import random
import time

from magnoliafork.bench import synthetic
from magnoliafork.bench.direct_readers import DirectReaderFleet, peak_reads
from magnoliafork.bench.figure import Figure, Measurement
from magnoliafork.model.result import Err
from magnoliafork.rules.build import Build, build
from magnoliafork.standins.audit import quantile
from magnoliafork.standins.fleet import HOST, Fleet
from magnoliafork.standins.publish import publish
from magnoliafork.standins.source_server import SourceServer

SEED = 11
QUICK_NODE_COUNTS = (8, 16, 24)
FULL_NODE_COUNTS = (16, 32, 64, 128)
QUICK_IDLE_S = 1.0
FULL_IDLE_S = 10.0
QUICK_CHANGE_COUNT = 3
FULL_CHANGE_COUNT = 10
CONVERGENCE_TIMEOUT_S = 16.0
# Time in which joining and the first exchange of membership tables end.
# Differences in membership are repaired up to 10 s later; with 3 s, the result
# for 128 nodes was 2,183 B/s instead of 940.
QUICK_SETTLE_S = 1.0
FULL_SETTLE_S = 15.0
POLL_S = 0.01


async def measure_fleets(is_quick: bool) -> list[Figure]:
    """Measures convergence, control bytes and processor time by fleet size."""
    figures: list[Figure] = []
    for node_count in QUICK_NODE_COUNTS if is_quick else FULL_NODE_COUNTS:
        figures += await _measure_fleet(node_count, is_quick)
    return figures


async def _measure_fleet(node_count: int, is_quick: bool) -> list[Figure]:
    fleet = Fleet(synthetic.deployment(node_count), random.Random(SEED))
    try:
        await fleet.start()
        if not await fleet.wait_ready():
            raise RuntimeError(f"{node_count} nodes did not get ready")
        await asyncio.sleep(QUICK_SETTLE_S if is_quick else FULL_SETTLE_S)
        idle_s = QUICK_IDLE_S if is_quick else FULL_IDLE_S
        bytes_per_s, cpu_percent = await _measure_idle_cost(fleet, idle_s)
        change_count = QUICK_CHANGE_COUNT if is_quick else FULL_CHANGE_COUNT
        convergence_times_s, change_bytes = await _measure_convergence(
            fleet, change_count, bytes_per_s
        )
        restart_reads_per_s = await _measure_restart_reads(fleet)
    finally:
        await fleet.stop()
    polling = await _measure_direct_readers(node_count, is_watcher=False)
    watching = await _measure_direct_readers(node_count, is_watcher=True)
    return [
        Figure("control_bytes", "idle", node_count, bytes_per_s, "B/s"),
        Figure("control_cpu", "idle", node_count, cpu_percent, "% of a core"),
        Figure(
            "control_bytes",
            "one change",
            node_count,
            change_bytes,
            "B",
            polling[2],
        ),
        Figure(
            "convergence",
            "p50",
            node_count,
            quantile(convergence_times_s, 0.5),
            "s",
            watching[0],
        ),
        Figure(
            "convergence",
            "slowest",
            node_count,
            convergence_times_s[-1],
            "s",
            watching[0],
        ),
        Figure(
            "source_reads_herd_restart",
            "against polls",
            node_count,
            restart_reads_per_s,
            "reads/s",
            polling[1],
        ),
        Figure(
            "source_reads_herd_restart",
            "against watches",
            node_count,
            restart_reads_per_s,
            "reads/s",
            watching[1],
        ),
    ]


async def _measure_idle_cost(
    fleet: Fleet, duration_s: float
) -> tuple[float, float]:
    """Returns control bytes per second and percent of a core per idle node."""
    node_count = len(fleet.nodes)
    bytes_before = control_bytes(fleet)
    cpu_before_s = time.process_time()
    start_s = time.monotonic()
    await asyncio.sleep(duration_s)
    elapsed_s = time.monotonic() - start_s
    cpu_s = time.process_time() - cpu_before_s
    transferred_bytes = control_bytes(fleet) - bytes_before
    return (
        round(transferred_bytes / elapsed_s / node_count, 1),
        round(100 * cpu_s / elapsed_s / node_count, 4),
    )


async def _measure_convergence(
    fleet: Fleet, change_count: int, idle_bytes_per_s: float
) -> tuple[list[float], float]:
    """Returns sorted convergence times and bytes per change and node."""
    convergence_times_s = []
    bytes_before = control_bytes(fleet)
    start_s = time.monotonic()
    service_count = len(fleet.spec.services)
    for number in range(change_count):
        version = fleet.publish(synthetic.rules(service_count, number % 5))
        published_s = time.monotonic()
        while any(n.store.version < version for n in fleet.nodes.values()):
            if time.monotonic() - published_s > CONVERGENCE_TIMEOUT_S:
                break
            await asyncio.sleep(POLL_S)
        convergence_times_s.append(round(time.monotonic() - published_s, 3))
    elapsed_s = time.monotonic() - start_s
    bytes_per_node = (control_bytes(fleet) - bytes_before) / len(fleet.nodes)
    change_bytes = (
        bytes_per_node - idle_bytes_per_s * elapsed_s
    ) / change_count
    return sorted(convergence_times_s), round(max(0.0, change_bytes), 1)


async def _measure_restart_reads(fleet: Fleet) -> float:
    """Restarts all nodes together; returns reads in the busiest second."""
    loop = asyncio.get_running_loop()
    for node in list(fleet.nodes.values()):
        await node.close()
    start_s = loop.time()
    for instance_id in list(fleet.nodes):
        await fleet.start_node(instance_id)
    if not await fleet.wait_ready():
        raise RuntimeError("the fleet did not get ready after its restart")
    reads_by_second = fleet.source.meter.by_second(start_s, loop.time())
    return float(max(reads_by_second))


def control_bytes(fleet: Fleet) -> int:
    """Returns the control bytes that all nodes together sent and received."""
    return sum(
        node.traffic.control_received_bytes + node.traffic.control_sent_bytes
        for node in fleet.nodes.values()
    )


async def _measure_direct_readers(
    node_count: int, is_watcher: bool
) -> tuple[float, float, float]:
    """Measures the baseline, in which every node reads the source directly.

    Returns:
        Convergence in seconds, reads in the busiest second after the common
        start, and bytes per change and node.
    """
    server = SourceServer()
    port = await server.start(HOST, 0)
    service_count = node_count // synthetic.SERVERS_PER_SERVICE
    _publish_rules(server, synthetic.rules(service_count), 1)
    fleet = DirectReaderFleet(
        f"http://{HOST}:{port}", node_count, is_watcher, SEED
    )
    try:
        fleet.start()
        await _wait_for_version(fleet, 1)
        peak_reads_per_s = float(peak_reads(server))
        bytes_before = fleet.received_bytes()
        start_s = time.monotonic()
        _publish_rules(server, synthetic.rules(service_count, 1), 2)
        if is_watcher:
            await _wait_for_version(fleet, 2)
            convergence_s = round(time.monotonic() - start_s, 3)
            received_bytes = fleet.received_bytes() - bytes_before
            return (
                convergence_s,
                peak_reads_per_s,
                round(received_bytes / node_count, 1),
            )
    finally:
        await fleet.stop()
        await server.stop()
    # Waiting for the polls would only measure the polling period, so no
    # convergence time is reported.
    manifest = _build_version(synthetic.rules(service_count, 1), 2).manifest
    return 0.0, peak_reads_per_s, float(len(manifest.to_bytes()))


async def _wait_for_version(
    fleet: DirectReaderFleet, version_number: int
) -> None:
    end_s = time.monotonic() + CONVERGENCE_TIMEOUT_S
    while fleet.lowest_version() < version_number and time.monotonic() < end_s:
        await asyncio.sleep(POLL_S)


def _build_version(rules: str, version_number: int) -> Build:
    build_result = build(rules, version_number)
    if isinstance(build_result, Err):
        raise AssertionError(build_result.errors[0])
    return build_result.value


def _publish_rules(
    server: SourceServer, rules: str, version_number: int
) -> None:
    version = _build_version(rules, version_number)
    publish(server, version.manifest, version.parts)


MEASUREMENTS: tuple[Measurement, ...] = (measure_fleets,)
