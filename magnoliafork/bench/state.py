"""Measures one node by size: ticks, memory and work for a changed rule."""

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
QUICK_COUNT = 2
TICKS = 200
TICK_S = 0.25
LINKS = 12


def _sizes(sizes: tuple[int, ...], is_quick: bool) -> tuple[int, ...]:
    return sizes[:QUICK_COUNT] if is_quick else sizes


class _UnansweredLinks:
    """Control connections to a fixed number of peers that never answer."""

    def __init__(self) -> None:
        self._peers: tuple[str, ...] = ()

    def neighbours(self) -> tuple[str, ...]:
        return self._peers

    def send(self, instance_id: str, message: messages.ControlMessage) -> bool:
        return True

    def set_targets(self, instance_ids: tuple[str, ...]) -> None:
        self._peers = instance_ids[:LINKS]


class _Clock:
    def __init__(self) -> None:
        self.now_s = 1000.0

    def __call__(self) -> float:
        return self.now_s


def _control(count: int) -> tuple[ClusterControl, _Clock]:
    rows = synthetic.members(count)
    clock = _Clock()
    control = ClusterControl(
        rows[0],
        SnapshotStore(),
        Assembler().assemble,
        _UnansweredLinks(),
        clock=clock,
        rng=random.Random(1),
        load=lambda: LoadHint(0, 12),
    )
    control.on_instances(
        tuple(ListedInstance(row.instance, False) for row in rows)
    )
    return control, clock


async def measure_ticks(is_quick: bool) -> list[Figure]:
    """Measures a tick with a received heartbeat by the number of members."""
    return [
        Figure("tick_cost", "control", size, _tick_us(size), "us")
        for size in _sizes(MEMBER_SIZES, is_quick)
    ]


def _tick_us(size: int) -> float:
    control, clock = _control(size)
    peer_id = "service-0-1"
    control.on_link_up(messages.Hello(1, peer_id, 1, 1, 0, "", "control"))

    def tick() -> None:
        clock.now_s += TICK_S
        digest = control.table.digest()
        heartbeat = messages.Heartbeat(True, 0, "", digest, 0, 1, 1)
        control.on_control(peer_id, heartbeat)
        control.tick(clock.now_s)

    tick()
    return _mean_us(tick, TICKS)


async def measure_memory(is_quick: bool) -> list[Figure]:
    """Measures the memory of the state, without interpreter and libraries."""
    figures = []
    for size in _sizes(MEMBER_SIZES, is_quick):
        held_kb = _allocated_kb(functools.partial(_control, size))
        figures.append(Figure("control_memory", "members", size, held_kb, "KB"))
    for count in _sizes(SERVICE_SIZES, is_quick):
        held_kb = _allocated_kb(functools.partial(_configuration, count))
        figures.append(
            Figure("control_memory", "services", count, held_kb, "KB")
        )
    return figures


async def measure_assembly(is_quick: bool) -> list[Figure]:
    """Measures the work for one changed rule by the number of services."""
    figures = []
    for count in _sizes(SERVICE_SIZES, is_quick):
        assembler = Assembler()
        builds = [build(synthetic.rules(count, n), n + 1) for n in range(4)]
        costs_us = []
        for number, built in enumerate(builds):
            if isinstance(built, Err):
                raise AssertionError(built.errors[0])
            value = built.value
            start_s = time.perf_counter()
            assembler.assemble(value.manifest, value.parts)
            if number > 0:
                costs_us.append((time.perf_counter() - start_s) * 1e6)
        figures.append(
            Figure(
                "change_cost",
                "assemble one changed part",
                count,
                round(min(costs_us), 1),
                "us",
            )
        )
    return figures


def _configuration(count: int) -> object:
    """Returns the objects that a node keeps for a configuration."""
    built = build(synthetic.rules(count), 1)
    if isinstance(built, Err):
        raise AssertionError(built.errors[0])
    assembler = Assembler()
    snapshot = assembler.assemble(built.value.manifest, built.value.parts)
    if isinstance(snapshot, Err):
        raise AssertionError(snapshot.errors[0])
    return assembler, snapshot, RouteTable(snapshot.value.rules)


def _allocated_kb(create: Callable[[], object]) -> float:
    """Returns the memory allocated for a new object and still in use."""
    tracemalloc.start()
    held = create()
    current, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del held
    return round(current / 1024, 1)


def _mean_us(work: Callable[[], None], count: int) -> float:
    start_s = time.process_time()
    for _ in range(count):
        work()
    return round((time.process_time() - start_s) / count * 1e6, 2)


MEASUREMENTS: tuple[Measurement, ...] = (
    measure_ticks,
    measure_memory,
    measure_assembly,
)
