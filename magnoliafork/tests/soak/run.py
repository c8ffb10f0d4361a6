"""One seeded run: traffic, injected faults and checked guarantees.

`python -m magnoliafork.tests.soak.run FIRST LAST` runs a range of seeds.
"""

import asyncio
import collections
import dataclasses
import pathlib
import random
import signal
import sys
import tempfile

from magnoliafork.tests.soak.fleet import Machine, SoakFleet

CALLERS = 6
RUN_S = 6.0
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
# Time in which late copies of requests would still arrive.
SETTLE_S = 1.0


@dataclasses.dataclass
class Findings:
    """What callers and servers saw.

    Attributes:
        violations: Guarantees that were violated, in words.
        statuses: Answers by status; 0 stands for none.
        faults: Faults in the order in which they were injected.
    """

    violations: list[str] = dataclasses.field(default_factory=list)
    statuses: collections.Counter[int] = dataclasses.field(
        default_factory=collections.Counter
    )
    faults: list[str] = dataclasses.field(default_factory=list)


class Soak:
    """Traffic and faults of one seed."""

    def __init__(self, fleet: SoakFleet, seed: int) -> None:
        """Creates a run; the seed decides all choices."""
        self._fleet = fleet
        self._rng = random.Random(seed)
        # Separate from the callers' generator: their number of requests
        # depends on time and must not change the choice of faults.
        self._fault_rng = random.Random(f"faults {seed}")
        self._next_id = 0
        self._unrepeatable: dict[str, int] = {}
        self.findings = Findings()

    async def run(self, seconds: float) -> Findings:
        """Sends traffic, injects faults and checks the guarantees."""
        loop = asyncio.get_running_loop()
        end_s = loop.time() + seconds
        await asyncio.gather(
            self._inject(end_s),
            *[self._call(end_s) for _ in range(CALLERS)],
        )
        await self._check_recovery()
        await asyncio.sleep(SETTLE_S)
        self._check_runs()
        return self.findings

    # Traffic.

    async def _call(self, end_s: float) -> None:
        loop = asyncio.get_running_loop()
        while loop.time() < end_s:
            self._next_id += 1
            attempt_id = f"a{self._next_id}"
            machine = self._rng.choice(self._fleet.machines)
            is_payment = self._rng.random() < 0.4
            method = "POST" if is_payment else "GET"
            path = f"/pay/{attempt_id}" if is_payment else f"/a/{attempt_id}"
            status, body = await self._fleet.send(
                machine, method, path, attempt_id
            )
            self.findings.statuses[status] += 1
            if is_payment:
                self._unrepeatable[attempt_id] = status
            expected = f"{method} {path} "
            if is_payment:
                expected += attempt_id
            if status == 200 and body != expected.encode():
                self._add_violation(
                    f"{attempt_id} got another answer: {body!r}"
                )
            if status == 404:
                self._add_violation(f"{attempt_id} was denied")
            await asyncio.sleep(self._rng.random() * 0.02)

    # Faults.

    async def _inject(self, end_s: float) -> None:
        loop = asyncio.get_running_loop()
        tasks: list[asyncio.Task[None]] = []
        while loop.time() < end_s - 1.0:
            await asyncio.sleep(0.2 + self._fault_rng.random() * 0.6)
            fault = self._fault_rng.choice(
                [
                    self._kill,
                    self._stop,
                    self._pause,
                    self._hang_up,
                    self._store_away,
                    self._configure,
                    self._drain,
                    self._take_out,
                    self._lose_answers,
                    self._reset_links,
                    self._silence_links,
                    self._delay_links,
                ]
            )
            machine = self._fault_rng.choice(self._fleet.machines)
            name = fault.__name__.strip("_")
            self.findings.faults.append(f"{name} {machine.host}")
            tasks.append(asyncio.create_task(fault(machine)))
        await asyncio.gather(*tasks)

    async def _kill(self, machine: Machine) -> None:
        if self._is_up(machine):
            await self._fleet.restart(machine, signal.SIGKILL)

    async def _stop(self, machine: Machine) -> None:
        if self._is_up(machine):
            await self._fleet.restart(machine, signal.SIGTERM)

    async def _pause(self, machine: Machine) -> None:
        process = machine.process
        if not self._is_up(machine) or process is None or machine.is_paused:
            return
        machine.is_paused = True
        process.send_signal(signal.SIGSTOP)
        await asyncio.sleep(0.2 + self._fault_rng.random() * 1.5)
        if process.returncode is None:
            process.send_signal(signal.SIGCONT)
        machine.is_paused = False

    async def _hang_up(self, machine: Machine) -> None:
        if self._is_up(machine) and machine.process is not None:
            machine.process.send_signal(signal.SIGHUP)

    async def _store_away(self, machine: Machine) -> None:
        del machine
        store = self._fleet.store
        if self._fault_rng.random() < 0.5:
            store.status = 503
        else:
            store.is_silent = True
        await asyncio.sleep(0.3 + self._fault_rng.random())
        store.status, store.is_silent = 200, False

    async def _configure(self, machine: Machine) -> None:
        del machine
        for _ in range(self._fault_rng.randint(1, 4)):
            self._fleet.change_configuration()
            await asyncio.sleep(0.1)

    async def _drain(self, machine: Machine) -> None:
        self._fleet.announce(machine, "draining")
        await asyncio.sleep(0.5 + self._fault_rng.random())
        self._fleet.announce(machine, "ready")

    async def _take_out(self, machine: Machine) -> None:
        key = f"op/evacuate/{machine.zone}"
        self._fleet.store.put(key, {})
        await asyncio.sleep(0.5 + self._fault_rng.random())
        self._fleet.store.remove(key)

    async def _lose_answers(self, machine: Machine) -> None:
        machine.server.loses_answers = True
        await asyncio.sleep(0.3 + self._fault_rng.random())
        machine.server.loses_answers = False

    async def _reset_links(self, machine: Machine) -> None:
        machine.links.reset()

    async def _silence_links(self, machine: Machine) -> None:
        way = self._fault_rng.choice(["in", "out", "both"])
        machine.links.silence(to_node=way != "out", to_peers=way != "in")

    async def _delay_links(self, machine: Machine) -> None:
        machine.links.delay_s = self._fault_rng.random() * 0.2
        await asyncio.sleep(0.5 + self._fault_rng.random())
        machine.links.delay_s = 0.0

    @staticmethod
    def _is_up(machine: Machine) -> bool:
        process = machine.process
        if machine.is_paused or machine.is_restarting:
            return False
        return process is not None and process.returncode is None

    # Guarantees.

    async def _check_recovery(self) -> None:
        path = self._fleet.change_configuration()
        del path
        try:
            await self._fleet.wait_until_serving()
        except TimeoutError:
            self._add_violation("a node does not serve the last configuration")

    def _check_runs(self) -> None:
        runs: collections.Counter[str] = collections.Counter()
        for machine in self._fleet.machines:
            runs.update(machine.server.runs)
        for attempt_id, status in self._unrepeatable.items():
            if runs[attempt_id] > 1:
                self._add_violation(
                    f"{attempt_id} ran {runs[attempt_id]} times"
                )
            if status in NOT_RUN_STATUSES and runs[attempt_id]:
                self._add_violation(f"{attempt_id} got {status} and has run")
        for machine in self._fleet.machines:
            log = self._fleet.log_of(machine)
            if "Traceback" in log or "internal_error" in log:
                self._add_violation(f"{machine.host} logged an internal error")

    def _add_violation(self, text: str) -> None:
        self.findings.violations.append(text)


async def run_seed(seed: int, seconds: float = RUN_S) -> Findings:
    """Runs one seed; all processes have ended when it returns."""
    with tempfile.TemporaryDirectory() as folder:
        # Concurrent runs must not share addresses.
        network = f"127.{100 + seed % 100}.{seed // 100 % 200}"
        fleet = SoakFleet(pathlib.Path(folder), network)
        try:
            await fleet.start()
            return await Soak(fleet, seed).run(seconds)
        finally:
            await fleet.close()


def main(first: int, last: int) -> int:
    """Runs a range of seeds; returns 1 if a guarantee was violated."""
    failed = 0
    for seed in range(first, last + 1):
        findings = asyncio.run(run_seed(seed))
        failed += bool(findings.violations)
        print(
            f"seed {seed}: {dict(sorted(findings.statuses.items()))}"
            f" {len(findings.faults)} faults"
            f" {findings.violations or 'kept'}",
            flush=True,
        )
        if findings.violations:
            print("  " + ", ".join(findings.faults), flush=True)
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main(int(sys.argv[1]), int(sys.argv[2])))
