"""Kills, pauses and stops node processes while callers send requests."""

import asyncio
import pathlib
import random
import signal
import tempfile

from magnoliafork.bench.figure import Figure, Measurement
from magnoliafork.cluster.failure_detector import SILENCE_LIMIT_S
from magnoliafork.standins import audit
from magnoliafork.standins.deployments import LANAUDIERE
from magnoliafork.standins.load_generator import Callers
from magnoliafork.standins.process_fleet import ProcessFleet

SEED = 31
RATE_PER_S = 60.0
# Long enough for failure detection to begin, and short enough for the node to
# refute it: a suspected node counts as dead after 14 s.
PAUSE_S = SILENCE_LIMIT_S + 2.0
SETTLE_S = 3.0
KILLED_INSTANCES = ("patterns-1", "commissions-2", "wool-3")
PAUSED_INSTANCE = "commissions-1"
STOPPED_INSTANCE = "patterns-2"


class _FaultRun:
    """Callers and a sequence of faults on one fleet."""

    def __init__(self, fleet: ProcessFleet) -> None:
        self.fleet = fleet
        self.callers = Callers(
            LANAUDIERE.patterns, RATE_PER_S, random.Random(SEED)
        )
        self.exit_code: int | None = None

    async def inject_faults(self) -> None:
        """Injects the faults one after the other."""
        fleet = self.fleet
        await asyncio.sleep(SETTLE_S)
        for instance_id in KILLED_INSTANCES:
            self._stop_calling(instance_id)
            fleet.send_signal(instance_id, signal.SIGKILL)
        await asyncio.sleep(SETTLE_S)
        for instance_id in KILLED_INSTANCES:
            await fleet.start_node(instance_id)
        await fleet.wait_instances_ready(KILLED_INSTANCES, 30.0)
        self._call_all_nodes()
        self._stop_calling(PAUSED_INSTANCE)
        fleet.send_signal(PAUSED_INSTANCE, signal.SIGSTOP)
        fleet.publish(LANAUDIERE.rules.replace("retries=2", "retries=1", 1))
        await asyncio.sleep(PAUSE_S)
        fleet.send_signal(PAUSED_INSTANCE, signal.SIGCONT)
        self._call_all_nodes()
        await asyncio.sleep(SETTLE_S)
        self._stop_calling(STOPPED_INSTANCE)
        fleet.send_signal(STOPPED_INSTANCE, signal.SIGTERM)
        self.exit_code = await fleet.exit_code(STOPPED_INSTANCE)
        await asyncio.sleep(SETTLE_S)

    def _call_all_nodes(self) -> None:
        self.callers.targets = [
            endpoints.url for endpoints in self.fleet.endpoints.values()
        ]

    def _stop_calling(self, instance_id: str) -> None:
        """Removes one node from the targets of new calls.

        Callers of a killed node always lose their connection; the measurement
        is about calls through the nodes that keep running.
        """
        url = self.fleet.endpoints[instance_id].url
        self.callers.targets = [
            target for target in self.callers.targets if target != url
        ]

    async def run(self) -> None:
        """Sends requests until all faults have been injected."""
        self._call_all_nodes()
        loop = asyncio.get_running_loop()
        faults = asyncio.create_task(self.inject_faults())
        while not faults.done():
            await self.callers.run_until(loop.time() + 1.0)
        await faults


async def measure_process_faults(is_quick: bool) -> list[Figure]:
    """Measures outcomes while node processes are killed, paused and stopped."""
    with tempfile.TemporaryDirectory() as folder:
        fleet = ProcessFleet(
            LANAUDIERE, random.Random(SEED), pathlib.Path(folder)
        )
        run = _FaultRun(fleet)
        try:
            await fleet.start()
            if not await fleet.wait_ready():
                raise RuntimeError("the processes did not get ready")
            await run.run()
        finally:
            await fleet.stop()
    return _figures(run)


def _figures(run: _FaultRun) -> list[Figure]:
    records = run.callers.records
    runs = [r for up in run.fleet.upstreams.values() for r in up.runs]
    audited = audit.audit_requests(records, runs)
    counts = run.callers.counts()
    values = {
        "requests": sum(counts.values()),
        "answered": counts["answered"],
        "not_run": counts["not-run"],
        "outcome_unknown": counts["unknown"],
        "failed": counts["failed"],
        "runs_doubled": audited.runs_doubled,
        "not_run_but_ran": audited.not_run_but_ran,
        "answers_mixed_up": audited.answers_mixed_up,
        "answered_without_run": audited.answered_without_run,
        "stop_exit_code": -1 if run.exit_code is None else run.exit_code,
    }
    nodes = len(run.fleet.endpoints)
    return [
        Figure("process_faults", name, nodes, float(value), "count")
        for name, value in values.items()
    ]


MEASUREMENTS: tuple[Measurement, ...] = (measure_process_faults,)
