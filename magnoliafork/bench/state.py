"""Measures tick time, memory and assembly time of one node by fleet size."""

import functools
import random
import time
import tracemalloc
from collections.abc import Callable

from magnoliafork.bench import synthetic
from magnoliafork.bench.figure import Figure, Measurement
from magnoliafork.cluster.control import ClusterControl
from magnoliafork.cluster.failure_detector import LoadHint
from magnoliafork.model.result import Err
from magnoliafork.rules.build import build
from magnoliafork.rules.matcher import RouteTable
from magnoliafork.snapshot.assemble import Assembler
from magnoliafork.snapshot.store import SnapshotStore
from magnoliafork.source.reader import ListedInstance
from magnoliafork.wire import messages

MEMBER_SIZES = (288, 575, 1150, 2300)
SERVICE_SIZES = (34, 68, 135, 270)
# A quick run measures only the smaller sizes.
QUICK_SIZE_COUNT = 2
MEASURED_TICKS = 200
TICK_PERIOD_S = 0.25
LINKS_PER_NODE = 12


def _select_sizes(sizes: tuple[int, ...], is_quick: bool) -> tuple[int, ...]:
    return sizes[:QUICK_SIZE_COUNT] if is_quick else sizes


class _SilentPeerLinks:
    """Control connections to `LINKS_PER_NODE` peers, which never answer."""

    def __init__(self) -> None:
        self._peers: tuple[str, ...] = ()

    def neighbours(self) -> tuple[str, ...]:
        return self._peers

    def send(self, instance_id: str, message: messages.ControlMessage) -> bool:
        return True

    def set_targets(self, instance_ids: tuple[str, ...]) -> None:
        self._peers = instance_ids[:LINKS_PER_NODE]


class _ManualClock:
    """Clock that stands still until its time is set."""

    def __init__(self) -> None:
        self.now_s = 1000.0

    def __call__(self) -> float:
        return self.now_s


def _new_cluster_control(
    member_count: int,
) -> tuple[ClusterControl, _ManualClock]:
    members = synthetic.members(member_count)
    clock = _ManualClock()
    control = ClusterControl(
        members[0],
        SnapshotStore(),
        Assembler().assemble,
        _SilentPeerLinks(),
        clock=clock,
        rng=random.Random(1),
        load=lambda: LoadHint(0, 12),
    )
    control.on_instances(
        tuple(ListedInstance(member.instance, False) for member in members)
    )
    return control, clock


async def measure_ticks(is_quick: bool) -> list[Figure]:
    """Measures the processor time of a tick and a heartbeat by members."""
    return [
        Figure(
            "tick_cost",
            "control",
            member_count,
            _mean_tick_us(member_count),
            "us",
        )
        for member_count in _select_sizes(MEMBER_SIZES, is_quick)
    ]


def _mean_tick_us(member_count: int) -> float:
    control, clock = _new_cluster_control(member_count)
    peer_id = "service-0-1"
    control.on_link_up(messages.Hello(1, peer_id, 1, 1, 0, "", "control"))

    def tick() -> None:
        clock.now_s += TICK_PERIOD_S
        digest = control.table.digest()
        heartbeat = messages.Heartbeat(True, 0, "", digest, 0, 1, 1)
        control.on_control(peer_id, heartbeat)
        control.tick(clock.now_s)

    tick()
    return _mean_cpu_us(tick, MEASURED_TICKS)


async def measure_memory(is_quick: bool) -> list[Figure]:
    """Measures memory of members and rules, without Python and libraries."""
    figures = []
    for member_count in _select_sizes(MEMBER_SIZES, is_quick):
        allocated_kb = _allocated_kb(
            functools.partial(_new_cluster_control, member_count)
        )
        figures.append(
            Figure(
                "control_memory", "members", member_count, allocated_kb, "KB"
            )
        )
    for service_count in _select_sizes(SERVICE_SIZES, is_quick):
        allocated_kb = _allocated_kb(
            functools.partial(_new_configuration_state, service_count)
        )
        figures.append(
            Figure(
                "control_memory", "services", service_count, allocated_kb, "KB"
            )
        )
    return figures


async def measure_assembly(is_quick: bool) -> list[Figure]:
    """Measures the time to assemble one changed part by number of services."""
    figures = []
    for service_count in _select_sizes(SERVICE_SIZES, is_quick):
        assembler = Assembler()
        build_results = [
            build(synthetic.rules(service_count, index), index + 1)
            for index in range(4)
        ]
        assembly_times_us = []
        for index, build_result in enumerate(build_results):
            if isinstance(build_result, Err):
                raise AssertionError(build_result.errors[0])
            version = build_result.value
            start_s = time.perf_counter()
            assembler.assemble(version.manifest, version.parts)
            if index > 0:
                assembly_times_us.append((time.perf_counter() - start_s) * 1e6)
        figures.append(
            Figure(
                "change_cost",
                "assemble one changed part",
                service_count,
                round(min(assembly_times_us), 1),
                "us",
            )
        )
    return figures


def _new_configuration_state(service_count: int) -> object:
    """Returns the objects that a node keeps for a configuration."""
    build_result = build(synthetic.rules(service_count), 1)
    if isinstance(build_result, Err):
        raise AssertionError(build_result.errors[0])
    assembler = Assembler()
    snapshot = assembler.assemble(
        build_result.value.manifest, build_result.value.parts
    )
    if isinstance(snapshot, Err):
        raise AssertionError(snapshot.errors[0])
    return assembler, snapshot, RouteTable(snapshot.value.rules)


def _allocated_kb(create: Callable[[], object]) -> float:
    """Returns the memory that a new object uses once it is created."""
    tracemalloc.start()
    created = create()
    allocated_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del created
    return round(allocated_bytes / 1024, 1)


def _mean_cpu_us(operation: Callable[[], None], repeats: int) -> float:
    start_s = time.process_time()
    for _ in range(repeats):
        operation()
    return round((time.process_time() - start_s) / repeats * 1e6, 2)


MEASUREMENTS: tuple[Measurement, ...] = (
    measure_ticks,
    measure_memory,
    measure_assembly,
)
