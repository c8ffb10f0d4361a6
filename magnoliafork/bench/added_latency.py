"""Latency that two node processes add to a direct call."""

import asyncio
import dataclasses
import json
import socket
import time

import aiohttp
import yaml

from magnoliafork.bench.figure import Figure, Measurement
from magnoliafork.bench.processes import Processes
from magnoliafork.model.instance import Instance
from magnoliafork.model.result import Err
from magnoliafork.rules.build import build
from magnoliafork.standins.audit import quantile
from magnoliafork.standins.ports import free_ports
from magnoliafork.standins.publish import publish, publish_instances
from magnoliafork.standins.source_server import SourceServer

HOST = "127.0.0.1"
RATES_PER_S = (50, 120, 250, 500, 800)
TARGET_ADDED_P99_MS = 1.1
READY_TIMEOUT_S = 20.0
CALL_TIMEOUT_S = 5.0
# The receiver's limit must not affect the measurement, so the ramp starts at
# its end and the slots exceed the calls in flight. With fewer connections than
# twice the slots, the receiver opens a connection for each call.
RULES = """
zone hall  # Bench
service front slots=500 connections=1000 ramp=1s ramp-start=500  # Bench
service orders slots=500 connections=1000 ramp=1s ramp-start=500  # Bench
route GET * /orders/* -> orders deadline=5s  # Bench
"""


@dataclasses.dataclass(frozen=True, slots=True)
class Plan:
    """Durations of one run and its number of blocks of calls.

    Attributes:
        warm_up_s: Time of the calls before the measurement.
        block_s: Time of calls on one path (direct or through the nodes) before
            the other follows.
        blocks: Blocks per path and rate.
    """

    warm_up_s: float
    block_s: float
    blocks: int


QUICK = Plan(warm_up_s=0.3, block_s=0.2, blocks=2)
FULL = Plan(warm_up_s=3.0, block_s=1.0, blocks=8)


@dataclasses.dataclass(slots=True)
class Latencies:
    """Times of the calls on one path and the number of failed calls."""

    times_s: list[float] = dataclasses.field(default_factory=list)
    failed: int = 0

    def quantile_ms(self, fraction: float) -> float:
        """Returns a quantile of the times."""
        return quantile(sorted(self.times_s), fraction) * 1000


def figures_of_rate(
    rate_per_s: int, direct: Latencies, through_nodes: Latencies
) -> list[Figure]:
    """Returns the figures of one rate beside those of direct calls."""
    variant = f"{rate_per_s} calls/s"
    figures: list[Figure] = []
    for name, fraction in (("p50", 0.5), ("p99", 0.99)):
        value = round(through_nodes.quantile_ms(fraction), 3)
        baseline = round(direct.quantile_ms(fraction), 3)
        figures.append(
            Figure(f"latency_{name}", variant, 2, value, "ms", baseline)
        )
        added = round(value - baseline, 3)
        target = TARGET_ADDED_P99_MS if name == "p99" else None
        figures.append(
            Figure(f"added_latency_{name}", variant, 2, added, "ms", target)
        )
    failed = float(through_nodes.failed)
    figures.append(
        Figure(
            "added_latency_failed", variant, 2, failed, "calls", direct.failed
        )
    )
    return figures


async def measure(is_quick: bool) -> list[Figure]:
    """Calls an upstream process directly and through two node processes.

    The value of a latency is through the nodes, its baseline is direct. The
    baseline of the added p99 is the target.
    """
    plan = QUICK if is_quick else FULL
    source = SourceServer()
    source_port = await source.start(HOST, 0)
    try:
        with Processes() as processes:
            urls = await _start_processes(processes, source, source_port)
            return await _measure_rates(plan, *urls)
    finally:
        await source.stop()


async def _measure_rates(
    plan: Plan, direct_url: str, through_url: str
) -> list[Figure]:
    connector = aiohttp.TCPConnector(limit=0)
    timeout = aiohttp.ClientTimeout(total=CALL_TIMEOUT_S)
    figures: list[Figure] = []
    async with aiohttp.ClientSession(
        connector=connector, timeout=timeout
    ) as session:
        for url in (direct_url, through_url):
            await _run_block(session, url, 120, plan.warm_up_s, Latencies())
        for rate_per_s in RATES_PER_S:
            direct = Latencies()
            through_nodes = Latencies()
            for _ in range(plan.blocks):
                for url, latencies in (
                    (direct_url, direct),
                    (through_url, through_nodes),
                ):
                    await _run_block(
                        session, url, rate_per_s, plan.block_s, latencies
                    )
            figures += figures_of_rate(rate_per_s, direct, through_nodes)
    return figures


async def _run_block(
    session: aiohttp.ClientSession,
    url: str,
    rate_per_s: int,
    block_s: float,
    latencies: Latencies,
) -> None:
    """Starts calls at even intervals without waiting for earlier ones.

    The number of calls is fixed, so that a slow path cannot lower the rate.
    """
    loop = asyncio.get_running_loop()
    start_s = loop.time()
    async with asyncio.TaskGroup() as group:
        for call_index in range(round(rate_per_s * block_s)):
            due_s = start_s + call_index / rate_per_s
            await asyncio.sleep(max(0.0, due_s - loop.time()))
            group.create_task(_time_call(session, url, latencies))


async def _time_call(
    session: aiohttp.ClientSession, url: str, latencies: Latencies
) -> None:
    start_s = time.perf_counter()
    try:
        async with session.get(url) as response:
            await response.read()
            is_answered = response.status == 200
    except (aiohttp.ClientError, TimeoutError):
        is_answered = False
    if is_answered:
        latencies.times_s.append(time.perf_counter() - start_s)
    else:
        latencies.failed += 1


async def _start_processes(
    processes: Processes, source: SourceServer, source_port: int
) -> tuple[str, str]:
    """Starts the processes; returns the URLs for direct and forwarded calls."""
    upstream_port, *node_ports = free_ports(7)
    nodes = [
        Instance(f"{service}-1", service, "hall", "bench", HOST, port)
        for service, port in zip(
            ("front", "orders"), node_ports[::3], strict=True
        )
    ]
    _publish_rules_and_instances(source, nodes)
    processes.start("magnoliafork.bench.upstream_process", str(upstream_port))
    await processes.wait_until(
        lambda: _accepts_connections(upstream_port), READY_TIMEOUT_S
    )
    for index, node in enumerate(nodes):
        _, ingress_port, admin_port = node_ports[3 * index : 3 * index + 3]
        settings = {
            "instance": {
                "instance_id": node.instance_id,
                "service": node.service,
                "zone": node.zone,
                "region": node.region,
            },
            "listen": {
                "host": HOST,
                "peer_port": node.peer_port,
                "ingress_port": ingress_port,
                "admin_port": admin_port,
            },
            "upstream": {"url": f"http://{HOST}:{upstream_port}"},
            "source": {
                "url": f"http://{HOST}:{source_port}",
                "fleet_size_floor": len(nodes),
            },
            "peers": {
                "seeds": [
                    f"{peer.instance_id}@{HOST}:{peer.peer_port}"
                    for peer in nodes
                    if peer is not node
                ]
            },
            "tls": {"mode": "off"},
            "logs": {"level": "error"},
        }
        path = processes.folder / f"{node.instance_id}.yaml"
        path.write_text(yaml.safe_dump(settings), "utf-8")
        processes.start("magnoliafork.daemon", "--settings", str(path))
    through_url = f"http://{HOST}:{node_ports[1]}/orders/1"
    await _wait_until_answered(processes, through_url)
    return f"http://{HOST}:{upstream_port}/orders/1", through_url


def _publish_rules_and_instances(
    source: SourceServer, nodes: list[Instance]
) -> None:
    built = build(RULES, 1)
    if isinstance(built, Err):
        raise AssertionError(f"rules are invalid: {built.errors[0]}")
    publish(source, built.value.manifest, built.value.parts)
    publish_instances(source, nodes)


def _accepts_connections(port: int) -> bool:
    with socket.socket() as probe:
        return probe.connect_ex((HOST, port)) == 0


async def _wait_until_answered(processes: Processes, url: str) -> None:
    """Waits until calls through both nodes are answered."""
    is_answered = False

    async def poll() -> None:
        nonlocal is_answered
        async with aiohttp.ClientSession() as session:
            while not is_answered:
                await asyncio.sleep(0.1)
                try:
                    async with session.get(url) as response:
                        body = await response.read()
                        is_answered = response.status == 200
                        if is_answered:
                            json.loads(body)
                except aiohttp.ClientError:
                    continue

    polling = asyncio.create_task(poll())
    try:
        await processes.wait_until(lambda: is_answered, READY_TIMEOUT_S)
    finally:
        polling.cancel()


MEASUREMENTS: tuple[Measurement, ...] = (measure,)
