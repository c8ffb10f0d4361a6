"""Requests that crash servers, beside restarts of nodes and broken links.

`python -m magnoliafork.tests.soak.crashes FIRST LAST [LOGS]` runs a range of
seeds.
"""

import asyncio
import sys
from collections.abc import Sequence

from magnoliafork.tests.soak.fleet import Machine, SoakFleet
from magnoliafork.tests.soak.run import Fault, Soak, main

DEADLY_PATH = "/a/deadly?crash=1&work_ms=50"
DEADLY_INTERVAL_S = 0.2
SERVER_DOWN_S = 1.0
# A crash for each attempt until the request is refused, and one more for an
# attempt that was under way.
CRASHES_UNTIL_REFUSED = 3
# Statuses of a request that may have run, and of one that was refused.
DEADLY_STATUSES = frozenset({0, 502, 503, 504})


class CrashSoak(Soak):
    """Callers at all nodes repeat one request that crashes its server."""

    # Their requests end with the servers, which is no loss of a node.
    connections_per_node = 0

    def __init__(self, fleet: SoakFleet, seed: int) -> None:
        """Creates a run; the seed decides all random choices."""
        super().__init__(fleet, seed)
        self._node_faults = 0

    async def _send_requests(self, end_s: float) -> None:
        restarts = [
            asyncio.create_task(self._restart_server(machine))
            for machine in self._fleet.machines
        ]
        await asyncio.gather(
            super()._send_requests(end_s), self._send_deadly(end_s)
        )
        await asyncio.sleep(2 * SERVER_DOWN_S)
        for restart in restarts:
            restart.cancel()

    async def _send_deadly(self, end_s: float) -> None:
        loop = asyncio.get_running_loop()
        number = 0
        while loop.time() < end_s:
            await asyncio.sleep(DEADLY_INTERVAL_S)
            number += 1
            machine = self._rng.choice(self._fleet.machines)
            answer = await self._fleet.send(
                machine, "GET", DEADLY_PATH, f"deadly{number}"
            )
            self.findings.statuses[answer.status] += 1
            if answer.status not in DEADLY_STATUSES:
                self._add_violation(f"deadly{number} got {answer.status}")

    async def _restart_server(self, machine: Machine) -> None:
        """Starts the server of a machine again after each crash."""
        seen = 0
        while True:
            await asyncio.sleep(DEADLY_INTERVAL_S / 2)
            if machine.server.crashes > seen:
                await asyncio.sleep(SERVER_DOWN_S)
                seen = machine.server.crashes
                await machine.server.restart()
                self._fleet.publish_server_state(machine, "ready")

    def _fault_choices(self) -> Sequence[Fault]:
        return [
            self._kill,
            self._stop,
            self._send_sighup,
            self._interrupt_store,
            self._publish_configurations,
            self._reset_links,
            self._delay_links,
        ]

    async def _apply_fault(self, fault: Fault, machine: Machine) -> None:
        # A node that has just started knows of no crash before it has links.
        self._node_faults += fault in (self._kill, self._stop)
        await super()._apply_fault(fault, machine)

    def _check_guarantees(self) -> None:
        super()._check_guarantees()
        crashes = sum(m.server.crashes for m in self._fleet.machines)
        self.findings.faults.append(f"{crashes} crashes")
        if crashes > CRASHES_UNTIL_REFUSED + self._node_faults:
            self._add_violation(f"one request has crashed {crashes} servers")


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:], CrashSoak))
