"""Soak runs in which all faults are planned operations.

`python -m magnoliafork.tests.soak.planned FIRST LAST [LOGS]` runs a range of
seeds and copies the logs of nodes to a folder if a guarantee was violated.
"""

import asyncio
import signal
import sys
from collections.abc import Sequence

from magnoliafork.tests.soak.callers import DEADLINE_S
from magnoliafork.tests.soak.fleet import GRACE_PERIOD_S, Machine
from magnoliafork.tests.soak.run import Fault, Soak, main

# Longest time after the start of a process at which it is stopped again.
MAX_STOP_DELAY_S = 1.5


class PlannedSoak(Soak):
    """Restarts, SIGHUPs and configuration changes under continuous traffic."""

    # Callers without keep-alive connections would retry without end while most
    # nodes are down.
    caller_count = 0
    run_s = 12.0
    connections_per_node = 9
    timeout_ms = int(DEADLINE_S * 1000)
    # Enough for all callers when most nodes are down.
    slots = 24

    async def _inject_faults(self, end_s: float) -> None:
        loop = asyncio.get_running_loop()
        await asyncio.sleep(self._fault_rng.random())
        while loop.time() < end_s - 2.0:
            fault = self._fault_rng.choice(self._fault_choices())
            machines = list(self._fleet.machines)
            self._fault_rng.shuffle(machines)
            count = self._fault_rng.choice([1, 1, 2, 3, 4])
            await asyncio.gather(
                *[
                    self._apply_fault(fault, machine)
                    for machine in machines[:count]
                ]
            )
            await asyncio.sleep(self._fault_rng.random())

    def _fault_choices(self) -> Sequence[Fault]:
        return [
            self._stop,
            self._stop,
            self._send_sighup_and_stop,
            self._stop_twice,
            self._stop_during_start,
            self._stop_and_publish,
            self._send_sighup,
            self._publish_configurations,
        ]

    def _is_planned(self, fault: Fault) -> bool:
        return True

    async def _send_sighup_and_stop(self, machine: Machine) -> None:
        await self._send_sighup(machine)
        await asyncio.sleep(self._fault_rng.choice([0.0, 0.05]))
        await self._stop(machine)

    async def _stop_twice(self, machine: Machine) -> None:
        process = machine.process
        stop = asyncio.create_task(self._stop(machine))
        await asyncio.sleep(self._fault_rng.random() * GRACE_PERIOD_S)
        if process is not None and process.returncode is None:
            process.send_signal(signal.SIGTERM)
        await stop

    async def _stop_during_start(self, machine: Machine) -> None:
        await self._stop(machine)
        await asyncio.sleep(self._fault_rng.random() * MAX_STOP_DELAY_S)
        await self._stop(machine)

    async def _stop_and_publish(self, machine: Machine) -> None:
        stop = asyncio.create_task(self._stop(machine))
        await asyncio.sleep(self._fault_rng.random() * GRACE_PERIOD_S / 2)
        await self._publish_configurations(machine)
        await stop


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:], PlannedSoak))
