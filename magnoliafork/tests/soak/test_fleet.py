"""The end of processes, as the soak observes it."""

import asyncio
import pathlib
import signal
import sys
import time

import pytest

from magnoliafork.tests.soak import fleet as fleet_module
from magnoliafork.tests.soak.fleet import Machine, SoakFleet

NETWORK = "127.100.0"
GRACE_PERIOD_S = 0.5
# Lets the process be started, and ends after SIGTERM by itself.
PROGRAM = """
import signal, sys, time
signal.signal(signal.SIGTERM, lambda *_: (time.sleep({s}), sys.exit(0)))
print(flush=True)
time.sleep(30)
"""


async def late_exits(
    folder: pathlib.Path, end_after_s: float, blocked_s: float
) -> int:
    """Stops a process in a loop that is blocked; returns late exits."""
    fleet = SoakFleet(folder, NETWORK)
    machine = fleet.machines[0]

    async def start_node(machine: Machine) -> None:
        machine.process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-c",
            PROGRAM.format(s=end_after_s),
            stdout=asyncio.subprocess.PIPE,
        )
        assert machine.process.stdout is not None
        await machine.process.stdout.readline()

    fleet.start_node = start_node  # type: ignore[method-assign]
    (folder / f"{machine.host}.log").write_text("")
    try:
        await start_node(machine)
        stop = asyncio.create_task(fleet.restart(machine, signal.SIGTERM))
        await asyncio.sleep(0.05)
        time.sleep(blocked_s)  # noqa: ASYNC251 - the loop has to be blocked
        await stop
        return fleet.late_exits
    finally:
        await fleet.close()


@pytest.mark.parametrize(
    ("end_after_s", "expected"),
    [(0.1, 0), (30.0, 1)],
)
def test_late_end_is_counted_rightly_while_the_loop_is_blocked(
    tmp_path: pathlib.Path,
    monkeypatch: pytest.MonkeyPatch,
    end_after_s: float,
    expected: int,
) -> None:
    """The soak counted ends as late that it had only noticed late."""
    monkeypatch.setattr(fleet_module, "GRACE_PERIOD_S", GRACE_PERIOD_S)
    assert asyncio.run(late_exits(tmp_path, end_after_s, 0.8)) == expected
