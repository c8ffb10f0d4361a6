"""Runs both deployments in this process and checks their guarantees."""

import asyncio
import dataclasses
import json
import random
from typing import TextIO

from magnoliafork.standins import audit
from magnoliafork.standins.deployments import DEPLOYMENTS, DeploymentSpec
from magnoliafork.standins.fleet import Fleet
from magnoliafork.standins.load_generator import Callers

EXIT_OK = 0
EXIT_GUARANTEE_VIOLATED = 1

SEED = 20_261_204
RATE_PER_S = 40.0
CONVERGENCE_BOUND_S = 16.0
MIN_SECONDS = 8.0


@dataclasses.dataclass(frozen=True, slots=True)
class DeploymentSummary:
    """Figures of one deployment; the fields are the keys of the JSON line."""

    requests: int
    answered: int
    not_run: int
    outcome_unknown: int
    failed: int
    runs_doubled: int
    not_run_but_ran: int
    answers_mixed_up: int
    convergence_p50_s: float
    convergence_p99_s: float
    control_bytes_per_node_per_s: float
    new_work_in_zone_after_out: int
    runs_in_zone_after_return: int
    versions_reverted: int

    def violated_guarantees(self) -> list[str]:
        """Returns the names of the figures outside their bounds."""
        zero_figures = (
            "failed",
            "runs_doubled",
            "not_run_but_ran",
            "answers_mixed_up",
            "new_work_in_zone_after_out",
            "versions_reverted",
        )
        violated = [name for name in zero_figures if getattr(self, name) != 0]
        if self.convergence_p99_s > CONVERGENCE_BOUND_S:
            violated.append("convergence_p99_s")
        if self.answered == 0:
            violated.append("answered")
        if self.runs_in_zone_after_return == 0:
            violated.append("runs_in_zone_after_return")
        return violated


class _DeploymentDemo:
    """Runs the demo on one deployment."""

    def __init__(self, spec: DeploymentSpec, output: TextIO) -> None:
        self._spec = spec
        self._output = output
        rng = random.Random(f"{SEED}-{spec.name}")
        self.fleet = Fleet(spec, rng)
        self._callers = Callers(spec.patterns, RATE_PER_S, rng)

    async def start(self) -> bool:
        self._print_progress("starting")
        await self.fleet.start()
        is_ready = await self.fleet.wait_ready()
        self._print_progress(f"{len(self.fleet.nodes)} nodes ready: {is_ready}")
        return is_ready

    async def run(self, seconds: float) -> DeploymentSummary | None:
        """Runs load, a rule change and a zone move; None if not converged."""
        loop = asyncio.get_running_loop()
        start_s = loop.time()
        bytes_before = self._control_bytes()
        self._callers.targets = [
            site.url for site in self.fleet.endpoints.values()
        ]
        load = asyncio.create_task(self._callers.run_until(start_s + seconds))
        has_converged = await self._change_rule(start_s + 0.15 * seconds)
        outage = await self._move_zone(start_s, seconds)
        await load
        elapsed_s = loop.time() - start_s
        control_bytes = self._control_bytes() - bytes_before
        if outage is None or not has_converged:
            return None
        return self._summary(outage, control_bytes / elapsed_s)

    async def stop(self) -> None:
        await self.fleet.stop()

    async def _change_rule(self, at_s: float) -> bool:
        await _sleep_until(at_s)
        rules = self._spec.rules.replace("retries=2", "retries=1", 1)
        return await self._publish(rules, "one route's retries changed")

    async def _move_zone(
        self, start_s: float, seconds: float
    ) -> audit.ZoneOutage | None:
        zone = self._spec.moved_zone
        out = self._spec.rules.replace(f"zone {zone} ", f"zone {zone} out ", 1)
        await _sleep_until(start_s + 0.3 * seconds)
        accepted_s = asyncio.get_running_loop().time()
        if not await self._publish(out, f"availability zone {zone} out"):
            return None
        await _sleep_until(start_s + 0.75 * seconds)
        returned_s = asyncio.get_running_loop().time()
        if not await self._publish(self._spec.rules, f"{zone} back"):
            return None
        return audit.ZoneOutage(accepted_s, returned_s)

    async def _publish(self, rules: str, what: str) -> bool:
        version = self.fleet.publish(rules)
        took_s = await self.fleet.wait_applied(version, CONVERGENCE_BOUND_S)
        shown = "not in force" if took_s is None else f"{took_s:.3f} s"
        self._print_progress(f"version {version.number}, {what}: {shown}")
        return took_s is not None

    def _control_bytes(self) -> int:
        return sum(
            node.traffic.control_received_bytes
            + node.traffic.control_sent_bytes
            for node in self.fleet.nodes.values()
        )

    def _summary(
        self, outage: audit.ZoneOutage, control_bytes_per_s: float
    ) -> DeploymentSummary:
        fleet = self.fleet
        runs = [run for up in fleet.upstreams.values() for run in up.runs]
        zone_runs = [
            run
            for instance_id, upstream in fleet.upstreams.items()
            if fleet.endpoints[instance_id].instance.zone
            == self._spec.moved_zone
            for run in upstream.runs
        ]
        requests = audit.audit_requests(self._callers.records, runs)
        counts = self._callers.counts()
        first_version = min(fleet.published_s)
        changes = {
            version: at_s
            for version, at_s in fleet.published_s.items()
            if version != first_version
        }
        times_s = audit.convergence_times_s(
            fleet.applied, changes, fleet.endpoints
        )
        return DeploymentSummary(
            requests=sum(counts.values()),
            answered=counts["answered"],
            not_run=counts["not-run"],
            outcome_unknown=counts["unknown"],
            failed=counts["failed"],
            runs_doubled=requests.runs_doubled,
            not_run_but_ran=requests.not_run_but_ran,
            answers_mixed_up=(
                requests.answers_mixed_up + requests.answered_without_run
            ),
            convergence_p50_s=round(audit.quantile(times_s, 0.5), 4),
            convergence_p99_s=round(audit.quantile(times_s, 0.99), 4),
            control_bytes_per_node_per_s=round(
                control_bytes_per_s / len(fleet.nodes), 1
            ),
            new_work_in_zone_after_out=audit.count_new_work(zone_runs, outage),
            runs_in_zone_after_return=sum(
                run.started_s >= outage.returned_s for run in zone_runs
            ),
            versions_reverted=audit.count_reverted(fleet.applied),
        )

    def _print_progress(self, text: str) -> None:
        print(f"[{self._spec.name}] {text}", file=self._output, flush=True)


async def _sleep_until(at_s: float) -> None:
    await asyncio.sleep(at_s - asyncio.get_running_loop().time())


async def _run(seconds: float, output: TextIO) -> int:
    demos = [_DeploymentDemo(spec, output) for spec in DEPLOYMENTS]
    try:
        started = [await demo.start() for demo in demos]
        if not all(started):
            return EXIT_GUARANTEE_VIOLATED
        summaries = await asyncio.gather(*[demo.run(seconds) for demo in demos])
    finally:
        for demo in demos:
            await demo.stop()
    return _report(summaries, output)


def _report(summaries: list[DeploymentSummary | None], output: TextIO) -> int:
    values: dict[str, object] = {}
    are_guarantees_met = True
    for spec, summary in zip(DEPLOYMENTS, summaries, strict=True):
        if summary is None:
            print(f"{spec.name}: a version did not converge", file=output)
            are_guarantees_met = False
            continue
        values[spec.name] = dataclasses.asdict(summary)
        print(f"\n{spec.name}", file=output)
        for name, value in dataclasses.asdict(summary).items():
            print(f"  {name:30} {value}", file=output)
        violated = summary.violated_guarantees()
        print(
            f"  broken promises: {', '.join(violated) or 'none'}", file=output
        )
        are_guarantees_met = are_guarantees_met and not violated
    print(json.dumps(values), file=output, flush=True)
    return EXIT_OK if are_guarantees_met else EXIT_GUARANTEE_VIOLATED


def demo(seconds_to_run: float, output: TextIO) -> int:
    """Runs the demo.

    Args:
        seconds_to_run: Time under load, at least `MIN_SECONDS`, so that the
            zone is out for longer than the bound on new work.
        output: Where progress and the summary go; the last line is JSON.

    Returns:
        0 if every guarantee held, else 1.
    """
    return asyncio.run(_run(max(MIN_SECONDS, seconds_to_run), output))
