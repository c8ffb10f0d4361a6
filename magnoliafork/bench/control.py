"""Measures distribution and control work on fleets of real nodes."""

import asyncio
import random
import time

from magnoliafork.bench import synthetic
from magnoliafork.bench.direct_readers import DirectFleet, peak_reads
from magnoliafork.bench.figure import Figure, Measurement
from magnoliafork.model.result import Err
from magnoliafork.rules.build import Build, build
from magnoliafork.standins.audit import quantile
from magnoliafork.standins.fleet import HOST, Fleet
from magnoliafork.standins.publish import publish
from magnoliafork.standins.source_server import SourceServer

SEED = 11
QUICK_SIZES = (8, 16, 24)
FULL_SIZES = (16, 32, 64, 128)
QUICK_IDLE_S = 1.0
FULL_IDLE_S = 10.0
QUICK_CHANGES = 3
FULL_CHANGES = 10
CONVERGENCE_TIMEOUT_S = 16.0
# Time in which joining and the first exchange of membership tables end.
# Differences in membership are repaired up to 10 s later; with 3 s, the result
# for 128 nodes was 2,183 B/s instead of 940.
QUICK_SETTLE_S = 1.0
FULL_SETTLE_S = 15.0
POLL_S = 0.01


async def measure_fleet(is_quick: bool) -> list[Figure]:
    """Measures convergence, control bytes and processor time by size."""
    figures: list[Figure] = []
    for size in QUICK_SIZES if is_quick else FULL_SIZES:
        figures += await _measure_size(size, is_quick)
    return figures


async def _measure_size(size: int, is_quick: bool) -> list[Figure]:
    fleet = Fleet(synthetic.deployment(size), random.Random(SEED))
    try:
        await fleet.start()
        if not await fleet.wait_ready():
            raise RuntimeError(f"{size} nodes did not get ready")
        await asyncio.sleep(QUICK_SETTLE_S if is_quick else FULL_SETTLE_S)
        idle_s = QUICK_IDLE_S if is_quick else FULL_IDLE_S
        bytes_per_s, cpu_percent = await _measure_idle(fleet, idle_s)
        changes = QUICK_CHANGES if is_quick else FULL_CHANGES
        times_s, change_bytes = await _measure_changes(
            fleet, changes, bytes_per_s
        )
        reads = await _measure_restart(fleet)
    finally:
        await fleet.stop()
    polls = await _measure_direct(size, is_watcher=False)
    watches = await _measure_direct(size, is_watcher=True)
    return [
        Figure("control_bytes", "idle", size, bytes_per_s, "B/s"),
        Figure("control_cpu", "idle", size, cpu_percent, "% of a core"),
        Figure(
            "control_bytes", "one change", size, change_bytes, "B", polls[2]
        ),
        Figure(
            "convergence", "p50", size, quantile(times_s, 0.5), "s", watches[0]
        ),
        Figure("convergence", "slowest", size, times_s[-1], "s", watches[0]),
        Figure(
            "source_reads_herd_restart",
            "against polls",
            size,
            reads,
            "reads/s",
            polls[1],
        ),
        Figure(
            "source_reads_herd_restart",
            "against watches",
            size,
            reads,
            "reads/s",
            watches[1],
        ),
    ]


async def _measure_idle(fleet: Fleet, seconds: float) -> tuple[float, float]:
    """Returns bytes per second and processor time of one idle node."""
    count = len(fleet.nodes)
    bytes_before = control_bytes(fleet)
    cpu_before_s = time.process_time()
    start_s = time.monotonic()
    await asyncio.sleep(seconds)
    elapsed_s = time.monotonic() - start_s
    cpu_s = time.process_time() - cpu_before_s
    moved_bytes = control_bytes(fleet) - bytes_before
    return (
        round(moved_bytes / elapsed_s / count, 1),
        round(100 * cpu_s / elapsed_s / count, 4),
    )


async def _measure_changes(
    fleet: Fleet, count: int, idle_bytes_per_s: float
) -> tuple[list[float], float]:
    """Returns sorted convergence times and bytes per change and node."""
    times_s = []
    bytes_before = control_bytes(fleet)
    start_s = time.monotonic()
    service_count = len(fleet.spec.services)
    for number in range(count):
        version = fleet.publish(synthetic.rules(service_count, number % 5))
        at_s = time.monotonic()
        while any(n.store.version < version for n in fleet.nodes.values()):
            if time.monotonic() - at_s > CONVERGENCE_TIMEOUT_S:
                break
            await asyncio.sleep(POLL_S)
        times_s.append(round(time.monotonic() - at_s, 3))
    elapsed_s = time.monotonic() - start_s
    per_node = (control_bytes(fleet) - bytes_before) / len(fleet.nodes)
    change_bytes = (per_node - idle_bytes_per_s * elapsed_s) / count
    return sorted(times_s), round(max(0.0, change_bytes), 1)


async def _measure_restart(fleet: Fleet) -> float:
    """Restarts all nodes at once; returns reads in the busiest second."""
    loop = asyncio.get_running_loop()
    for node in list(fleet.nodes.values()):
        await node.close()
    start_s = loop.time()
    for instance_id in list(fleet.nodes):
        await fleet.start_node(instance_id)
    if not await fleet.wait_ready():
        raise RuntimeError("the fleet did not get ready after its restart")
    reads = fleet.source.meter.by_second(start_s, loop.time())
    return float(max(reads))


def control_bytes(fleet: Fleet) -> int:
    """Returns control bytes that all nodes have sent and received."""
    return sum(
        node.traffic.control_received_bytes + node.traffic.control_sent_bytes
        for node in fleet.nodes.values()
    )


async def _measure_direct(
    size: int, is_watcher: bool
) -> tuple[float, float, float]:
    """Measures nodes that all read the source directly.

    Returns:
        Convergence in seconds, reads in the busiest second of the common start,
        and bytes per change and node.
    """
    server = SourceServer()
    port = await server.start(HOST, 0)
    services = size // synthetic.SERVERS_PER_SERVICE
    _publish(server, synthetic.rules(services), 1)
    fleet = DirectFleet(f"http://{HOST}:{port}", size, is_watcher, SEED)
    try:
        fleet.start()
        await _wait_version(fleet, 1)
        peak = float(peak_reads(server))
        bytes_before = fleet.received_bytes()
        start_s = time.monotonic()
        _publish(server, synthetic.rules(services, 1), 2)
        if is_watcher:
            await _wait_version(fleet, 2)
            took_s = round(time.monotonic() - start_s, 3)
            moved = fleet.received_bytes() - bytes_before
            return took_s, peak, round(moved / size, 1)
    finally:
        await fleet.stop()
        await server.stop()
    # Waiting for polls would only measure the polling period.
    manifest = _built(synthetic.rules(services, 1), 2).manifest
    return 0.0, peak, float(len(manifest.to_bytes()))


async def _wait_version(fleet: DirectFleet, number: int) -> None:
    end_s = time.monotonic() + CONVERGENCE_TIMEOUT_S
    while fleet.lowest_version() < number and time.monotonic() < end_s:
        await asyncio.sleep(POLL_S)


def _built(rules: str, number: int) -> Build:
    built = build(rules, number)
    if isinstance(built, Err):
        raise AssertionError(built.errors[0])
    return built.value


def _publish(server: SourceServer, rules: str, number: int) -> None:
    built = _built(rules, number)
    publish(server, built.manifest, built.parts)


MEASUREMENTS: tuple[Measurement, ...] = (measure_fleet,)
