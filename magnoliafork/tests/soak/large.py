"""Soak runs of many node processes, with several faults at a time.

`python -m magnoliafork.tests.soak.large FIRST LAST [LOGS]` runs a range of
seeds and copies the logs of nodes to a folder if a guarantee was violated.
"""

import asyncio
import sys

from magnoliafork.tests.soak.run import Soak, main

# Faults that begin together.
FAULTS_AT_ONCE = 4


class LargeSoak(Soak):
    """All faults of the soak on a hundred machines."""

    machine_count = 100
    run_s = 20.0
    caller_count = 24
    connections_per_node = 1

    async def _inject_faults(self, end_s: float) -> None:
        loop = asyncio.get_running_loop()
        tasks: list[asyncio.Task[None]] = []
        while loop.time() < end_s - 1.0:
            await asyncio.sleep(0.2 + self._fault_rng.random() * 0.6)
            machines = self._fault_rng.sample(
                self._fleet.machines, FAULTS_AT_ONCE
            )
            tasks += [
                asyncio.create_task(
                    self._apply_fault(
                        self._fault_rng.choice(self._fault_choices()), machine
                    )
                )
                for machine in machines
            ]
        await asyncio.gather(*tasks)


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:], LargeSoak))
