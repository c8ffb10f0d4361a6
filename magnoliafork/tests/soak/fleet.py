"""Node processes, with stand-ins for the store and the upstreams."""

import asyncio
import dataclasses
import os
import pathlib
import select
import signal
import sys
import time
from collections.abc import Mapping

import aiohttp
import yaml

from magnoliafork.platform import names
from magnoliafork.platform.daemon import SETTINGS_VARIABLE
from magnoliafork.tests.platform.standins import (
    CALLER_PORT,
    METRICS_PORT,
    PEER_PORT,
    READY_PORT,
    SERVER_PORT,
    ServerStandIn,
    StoreStandIn,
    configuration,
    server_entry,
)
from magnoliafork.tests.soak.proxy import LinkProxy

ROUTES = [["/a/", "safe", "x"], ["/pay/", "unsafe", "y"]]
START_TIMEOUT_S = 20.0
# Exit code that asyncio reports if a process ends while it is sent a signal.
UNKNOWN_EXIT_CODE = 255
# The default of a node's settings.
GRACE_PERIOD_S = 6.0
ROOT = pathlib.Path(__file__).parents[3]


@dataclasses.dataclass(frozen=True)
class CallerAnswer:
    """What a caller got; status 0 stands for no answer."""

    status: int = 0
    body: bytes = b""
    headers: Mapping[str, str] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass
class Machine:
    """One machine: a server in this process and a node process beside it.

    Attributes:
        stops_s: Times of SIGTERM, loop time.
    """

    host: str
    service: str
    zone: str
    server: ServerStandIn
    link_proxy: LinkProxy
    process: asyncio.subprocess.Process | None = None
    is_paused: bool = False
    is_restarting: bool = False
    stops_s: list[float] = dataclasses.field(default_factory=list)


def _kill_at(process_id: int, kill_s: float) -> bool:
    """Kills a process that is alive at a time; returns whether it was."""
    try:
        descriptor = os.pidfd_open(process_id)
    except ProcessLookupError:
        return False
    try:
        poll = select.poll()
        poll.register(descriptor, select.POLLIN)
        if poll.poll(max(0.0, kill_s - time.monotonic()) * 1000):
            return False
        signal.pidfd_send_signal(descriptor, signal.SIGKILL)
    except ProcessLookupError:
        # It has just ended.
        return True
    finally:
        os.close(descriptor)
    return True


class SoakFleet:
    """Starts, restarts and ends the processes of one run.

    Attributes:
        unexpected_exits: Descriptions of processes that ended by themselves,
            failed or did not stop in time.
        late_exits: Number of processes killed after the grace period.
    """

    def __init__(
        self,
        folder: pathlib.Path,
        network: str,
        timeout_ms: int = 2000,
        slots: int = 4,
        machine_count: int = 4,
    ) -> None:
        """Creates a fleet on addresses `NETWORK.1` and following.

        Nodes listen for peers on `NETWORK.101` and following, behind a proxy at
        the address that their peers know.

        Args:
            folder: Receives settings and logs.
            network: First three bytes of the addresses.
            timeout_ms: Timeout of each route.
            slots: Requests that each server runs at a time.
            machine_count: Number of machines, at most 100; they are dealt to
                two services and two zones.
        """
        self._timeout_ms = timeout_ms
        self._slots = slots
        self._watchers: list[asyncio.Task[None]] = []
        self.unexpected_exits: list[str] = []
        self.late_exits = 0
        self._folder = folder
        self.store = StoreStandIn()
        self.version = 0
        self._sequence = 0
        self.machines = [
            Machine(
                f"{network}.{number + 1}",
                "xy"[number % 2],
                ("joliette", "rawdon")[number // 2 % 2],
                ServerStandIn(f"{network}.{number + 1}", f"i-{number}", 0.02),
                LinkProxy(
                    f"{network}.{number + 1}",
                    f"{network}.{number + 101}",
                    PEER_PORT,
                ),
            )
            for number in range(machine_count)
        ]
        self.http = aiohttp.ClientSession()

    async def start(self) -> None:
        """Starts store, servers and nodes; waits until every node serves."""
        await self.store.start()
        self.publish_configuration()
        for machine in self.machines:
            await machine.server.start()
            await machine.link_proxy.start()
            self.publish_server_state(machine, "ready")
            await self.start_node(machine)
        await self.wait_until_serving()

    async def close(self) -> None:
        """Ends the processes that this fleet has started."""
        await self.http.close()
        for watcher in self._watchers:
            watcher.cancel()
        for machine in self.machines:
            process = machine.process
            if process is not None and process.returncode is None:
                process.kill()
                await process.wait()
        for machine in self.machines:
            await machine.link_proxy.stop()
            await machine.server.stop()
        await self.store.stop()

    def publish_configuration(self) -> str:
        """Publishes the next version; returns the path that only it has."""
        self.version += 1
        path = f"/v{self.version}/"
        rows = [*ROUTES, [path, "safe", "x"]]
        self.store.put(
            "op/config", configuration(self.version, rows, self._timeout_ms)
        )
        return path

    def publish_server_state(self, machine: Machine, state: str) -> None:
        """Writes the entry with a server's state to the store."""
        self._sequence += 1
        entry = server_entry(
            machine.host,
            machine.service,
            machine.zone,
            state,
            self._slots,
            self._sequence,
            machine.server.starts,
        )
        self.store.put(f"servers/{machine.server.server_id}", entry)

    async def start_node(self, machine: Machine) -> None:
        """Starts the node process of a machine."""
        host = machine.host
        settings = {
            "node": {
                "host": host,
                "zone": machine.zone,
                "service": machine.service,
            },
            "addresses": {
                "callers": f"{host}:{CALLER_PORT}",
                "peers": f"{machine.link_proxy.node_host}:{PEER_PORT}",
                "ready": f"{host}:{READY_PORT}",
                "metrics": f"{host}:{METRICS_PORT}",
                "upstream": f"{host}:{SERVER_PORT}",
                "store": self.store.address,
            },
        }
        path = self._folder / f"{host}.yaml"
        path.write_text(yaml.safe_dump(settings))
        with (self._folder / f"{host}.log").open("ab") as log:
            machine.process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "magnoliafork.platform",
                cwd=ROOT,
                env={**os.environ, SETTINGS_VARIABLE: str(path)},
                stdout=log,
                stderr=log,
            )
        self._watchers.append(asyncio.create_task(self._watch_exit(machine)))

    async def _watch_exit(self, machine: Machine) -> None:
        assert machine.process is not None
        exit_code = await machine.process.wait()
        if not machine.is_restarting:
            self.unexpected_exits.append(
                f"{machine.host} ended by itself with exit code {exit_code}"
            )

    async def restart(
        self, machine: Machine, signal_number: signal.Signals
    ) -> None:
        """Ends a node with a signal and starts it again.

        SIGKILL follows SIGTERM after the grace period.
        """
        process = machine.process
        assert process is not None
        # A second restart would start two processes on one address.
        machine.is_restarting = True
        if signal_number == signal.SIGTERM:
            machine.stops_s.append(asyncio.get_running_loop().time())
        kill_s = time.monotonic() + GRACE_PERIOD_S
        process.send_signal(signal_number)
        # A blocked loop would see the end, and send SIGKILL, too late.
        is_late = await asyncio.to_thread(_kill_at, process.pid, kill_s)
        await process.wait()
        if is_late:
            self.late_exits += 1
            log = self.read_log(machine)
            if log.rfind("stop_begun") > log.rfind("node_stopped"):
                self.unexpected_exits.append(
                    f"{machine.host} did not stop in time"
                )
        # By default, SIGTERM ends a process that has no signal handler yet.
        expected = (0, UNKNOWN_EXIT_CODE, -signal_number, -signal.SIGKILL)
        if process.returncode not in expected:
            self.unexpected_exits.append(
                f"{machine.host} ended with exit code {process.returncode}"
            )
        await self.start_node(machine)
        machine.is_restarting = False

    def read_log(self, machine: Machine) -> str:
        """Returns the log output of the nodes of a machine."""
        return (self._folder / f"{machine.host}.log").read_text("utf-8")

    async def send(
        self, machine: Machine, method: str, path: str, attempt_id: str
    ) -> CallerAnswer:
        """Sends a caller's request."""
        try:
            async with self.http.request(
                method,
                f"http://{machine.host}:{CALLER_PORT}{path}",
                data=attempt_id if method == "POST" else None,
                headers={
                    "Host": "shop.example",
                    names.ATTEMPT_ID: attempt_id,
                    names.DEADLINE_MS: "1500",
                },
                timeout=aiohttp.ClientTimeout(total=3.0),
            ) as answer:
                body = await answer.read()
                return CallerAnswer(answer.status, body, answer.headers)
        except (aiohttp.ClientError, TimeoutError, OSError):
            return CallerAnswer()

    async def wait_until_serving(self) -> None:
        """Waits until every node serves the newest configuration."""
        async with asyncio.timeout(START_TIMEOUT_S):
            for machine in self.machines:
                path = f"/v{self.version}/"
                while True:
                    answer = await self.send(machine, "GET", path, "probe")
                    if answer.status == 200:
                        break
                    await asyncio.sleep(0.05)
