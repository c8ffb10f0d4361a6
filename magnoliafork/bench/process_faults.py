"""Kills, pauses and stops real node processes while callers call."""

import asyncio
import pathlib
import random
import signal
import tempfile

from magnoliafork.bench.figure import Figure, Measurement
from magnoliafork.standins import audit
from magnoliafork.standins.deployments import LANAUDIERE
from magnoliafork.standins.load_generator import Callers
from magnoliafork.standins.process_fleet import ProcessFleet

SEED = 31
RATE_PER_S = 60.0
# Long enough for failure detection (suspect, then dead: 14 s) to begin and to
# be refuted.
PAUSE_S = 5.0
SETTLE_S = 3.0
KILLED = ("patterns-1", "commissions-2", "wool-3")
PAUSED = "commissions-1"
STOPPED = "patterns-2"


class _Run:
    """One sequence of faults injected into a fleet."""

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
        for instance_id in KILLED:
            self._avoid(instance_id)
            fleet.send_signal(instance_id, signal.SIGKILL)
        await asyncio.sleep(SETTLE_S)
        for instance_id in KILLED:
            await fleet.start_node(instance_id)
        await fleet.wait_instances_ready(KILLED, 30.0)
        self._call_all()
        self._avoid(PAUSED)
        fleet.send_signal(PAUSED, signal.SIGSTOP)
        fleet.publish(LANAUDIERE.rules.replace("retries=2", "retries=1", 1))
        await asyncio.sleep(PAUSE_S)
        fleet.send_signal(PAUSED, signal.SIGCONT)
        self._call_all()
        await asyncio.sleep(SETTLE_S)
        self._avoid(STOPPED)
        fleet.send_signal(STOPPED, signal.SIGTERM)
        self.exit_code = await fleet.exit_code(STOPPED)
        await asyncio.sleep(SETTLE_S)

    def _call_all(self) -> None:
        self.callers.targets = [
            site.url for site in self.fleet.endpoints.values()
        ]

    def _avoid(self, instance_id: str) -> None:
        """Makes the callers send no new calls to one node.

        Callers of a killed node always lose their connection; this measures
        the calls through the nodes that keep running.
        """
        url = self.fleet.endpoints[instance_id].url
        self.callers.targets = [
            target for target in self.callers.targets if target != url
        ]

    async def run(self) -> None:
        """Calls until the faults are over."""
        self._call_all()
        loop = asyncio.get_running_loop()
        faults = asyncio.create_task(self.inject_faults())
        while not faults.done():
            await self.callers.run_until(loop.time() + 1.0)
        await faults


async def measure_process_faults(is_quick: bool) -> list[Figure]:
    """Measures what callers see while processes die, pause and stop."""
    with tempfile.TemporaryDirectory() as folder:
        fleet = ProcessFleet(
            LANAUDIERE, random.Random(SEED), pathlib.Path(folder)
        )
        run = _Run(fleet)
        try:
            await fleet.start()
            if not await fleet.wait_ready():
                raise RuntimeError("the processes did not get ready")
            await run.run()
        finally:
            await fleet.stop()
    return _figures(run)


def _figures(run: _Run) -> list[Figure]:
    records = run.callers.records
    runs = [r for up in run.fleet.upstreams.values() for r in up.runs]
    checked = audit.audit_requests(records, runs)
    counts = run.callers.counts()
    values = {
        "requests": sum(counts.values()),
        "answered": counts["answered"],
        "not_run": counts["not-run"],
        "outcome_unknown": counts["unknown"],
        "failed": counts["failed"],
        "runs_doubled": checked.runs_doubled,
        "not_run_but_ran": checked.not_run_but_ran,
        "answers_mixed_up": checked.answers_mixed_up,
        "answered_without_run": checked.answered_without_run,
        "stop_exit_code": -1 if run.exit_code is None else run.exit_code,
    }
    nodes = len(run.fleet.endpoints)
    return [
        Figure("process_faults", name, nodes, float(value), "count")
        for name, value in values.items()
    ]


MEASUREMENTS: tuple[Measurement, ...] = (measure_process_faults,)
