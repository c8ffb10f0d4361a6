"""Node processes of a small deployment, with stand-ins on loopback addresses.

The nodes run with the command of the deploy file. The store, the servers and
the callers run in the process of the script.
"""

import asyncio
import json
import os
import pathlib
import random
import signal
import socket
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from typing import Any

import aiohttp

from magnoliafork.platform import names
from magnoliafork.platform.daemon import SETTINGS_VARIABLE
from magnoliafork.tests.platform import standins

ROOT = pathlib.Path(__file__).resolve().parents[1]
ZONES = ("workshop-a", "workshop-b", "barn-c")
SERVICES = ("catalogue", "orders")
MACHINES = range(1, 1 + len(ZONES) * len(SERVICES))
PORTS = (
    standins.SERVER_PORT,
    standins.PEER_PORT,
    standins.CALLER_PORT,
    standins.READY_PORT,
    standins.METRICS_PORT,
)
EXIT_HELD, EXIT_BROKEN, EXIT_NOT_RUN = 0, 1, 2
# Longest time of a case, without the end of its processes.
TIMEOUT_S = 100.0


Case = Callable[["Mesh", bool], Awaitable[int]]


class Store(standins.StoreStandIn):
    """The project's store, with pages as large as the pages allow."""

    def _range(self, request: Any) -> Any:
        after = request.query.get("after", "")
        keys = sorted(key for key in self._items if key > after)
        return aiohttp.web.json_response(
            {
                "items": [self._items[key] for key in keys[:500]],
                "has_more": len(keys) > 500,
                "as_of": self.revision,
            },
            headers=self._headers(),
        )


class Server(standins.ServerStandIn):
    """The project's server; reports each request to a record."""

    def __init__(self, host: str, server_id: str, zone: str, mesh: "Mesh"):
        """Creates a server that does not listen yet."""
        super().__init__(host, server_id, work_s=0.02)
        self.zone = zone
        # Share of the requests whose answers are lost.
        self.lost_share = 0.0
        self._mesh = mesh

    async def _handle(self, request: Any) -> Any:
        if request.path != "/health":
            self._mesh.note(
                "arrived",
                id=request.headers.get(names.ATTEMPT_ID, ""),
                server=self.server_id,
                zone=self.zone,
            )
        answer = await super()._handle(request)
        if names.SEAL in answer.headers:
            self._mesh.note(
                "run",
                id=request.headers.get(names.ATTEMPT_ID, ""),
                server=self.server_id,
            )
        # What the server states may have changed while it ran the request.
        answer.headers.update(self.statements)
        is_lost = random.random() < self.lost_share
        if is_lost and request.path != "/health":
            self._mesh.note(
                "answer lost",
                id=request.headers.get(names.ATTEMPT_ID, ""),
                server=self.server_id,
            )
            if request.transport is not None:
                request.transport.close()
        return answer


class Mesh:
    """Six machines: one server of each of two services in each zone."""

    def __init__(self, folder: pathlib.Path) -> None:
        """Creates a deployment; `folder` receives settings and logs."""
        self.folder = folder
        self.store = Store()
        self.servers: dict[str, Server] = {}
        self.processes: dict[str, asyncio.subprocess.Process] = {}
        self.hosts: dict[str, tuple[str, str]] = {}
        self.record: list[dict[str, Any]] = []
        self._started_s = time.monotonic()
        self._sequence = 0
        self._number = 0
        self.draining: set[str] = set()

    def now_s(self) -> float:
        """Returns the time since the start of the script."""
        return time.monotonic() - self._started_s

    def note(self, event: str, **fields: Any) -> dict[str, Any]:
        """Adds an event to the record and returns it."""
        entry = {"at_s": round(self.now_s(), 4), "event": event, **fields}
        self.record.append(entry)
        return entry

    def write_record(self, path: pathlib.Path) -> None:
        """Writes the record, one event a line."""
        lines = [json.dumps(entry) for entry in self.record]
        path.write_text("\n".join(lines) + "\n", encoding="utf-8")

    async def start(self) -> None:
        """Starts everything and waits until all nodes are ready."""
        network = _free_network()
        machines = [(zone, service) for zone in ZONES for service in SERVICES]
        for number, (zone, service) in enumerate(machines, 1):
            host = f"{network}.{number}"
            self.hosts[host] = (zone, service)
        await self.store.start()
        self.publish_configuration(1)
        for host, (zone, _) in self.hosts.items():
            server = Server(host, f"i-{host}", zone, self)
            self.servers[host] = server
            await server.start()
        self.write_servers()
        for host in self.hosts:
            await self.start_node(host)
        await self.wait_until_ready()

    def publish_configuration(self, version: int) -> None:
        """Writes a version of the configuration to the store."""
        rows = [["/browse/", "safe", "x"], ["/order/", "unsafe", "y"]]
        if version > 1:
            rows.append(["/desk/", "safe", "y"])
        value = standins.configuration(version, rows, timeout_ms=8000)
        text = json.dumps(value)
        text = text.replace('"x"', '"catalogue"').replace('"y"', '"orders"')
        self.store.put("op/config", json.loads(text))

    def write_servers(self) -> None:
        """Writes the entry of each server, as servers do regularly."""
        self._sequence += 1
        for host, (zone, service) in self.hosts.items():
            state = "draining" if host in self.draining else "ready"
            self.store.put(
                f"servers/i-{host}",
                standins.server_entry(
                    host,
                    service,
                    zone,
                    state,
                    6,
                    self._sequence,
                    self.servers[host].starts,
                ),
            )

    async def beat(self, interval_s: float = 0.87) -> None:
        """Lets all servers write their entries regularly."""
        while True:
            await asyncio.sleep(interval_s)
            if self.store.status == 200:
                self.write_servers()

    async def start_node(self, host: str) -> None:
        """Starts the node of a machine."""
        zone, service = self.hosts[host]
        settings = {
            "node": {"host": host, "zone": zone, "service": service},
            "addresses": {
                "callers": f"{host}:{standins.CALLER_PORT}",
                "peers": f"{host}:{standins.PEER_PORT}",
                "ready": f"{host}:{standins.READY_PORT}",
                "metrics": f"{host}:{standins.METRICS_PORT}",
                "upstream": f"{host}:{standins.SERVER_PORT}",
                "store": self.store.address,
            },
            "bounds": {
                "grace_period_s": 6,
                "drain_timeout_ms": 2000,
                "retry_budget_ratio": 0.2,
                "retry_budget_slack": 58,
                "retry_budget_window_s": 10,
                "cold_rate_factor": 1.5,
            },
            "limits": {"descriptors": 4100},
            "logs": {"level": "info"},
        }
        path = self.folder / f"{host}.yaml"
        path.write_text(json.dumps(settings), encoding="utf-8")
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text("utf-8"))
        role = deploy["roles"]["node"]
        environment = {
            "PATH": os.environ["PATH"],
            "PYTHONPATH": str(ROOT / "target/deps"),
            SETTINGS_VARIABLE: str(path),
            **role["env"],
        }
        with (self.folder / f"{host}.log").open("ab") as log:
            self.processes[host] = await asyncio.create_subprocess_exec(
                *role["run"].split(),
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
            )

    async def wait_until_ready(self) -> None:
        """Waits until all nodes answer readiness checks."""
        async with asyncio.timeout(20):
            async with aiohttp.ClientSession() as http:
                for host in self.hosts:
                    while not await self._is_ready(http, host):
                        await asyncio.sleep(0.05)

    async def _is_ready(self, http: aiohttp.ClientSession, host: str) -> bool:
        url = f"http://{host}:{standins.READY_PORT}/ready"
        try:
            async with http.get(url) as answer:
                return answer.status == 200
        except aiohttp.ClientError:
            return False

    async def call_regularly(
        self, host: str, path: str, per_s: float, until_s: float
    ) -> None:
        """Sends requests of a caller of one machine at a rate."""
        tasks = set()
        async with aiohttp.ClientSession() as http:
            while self.now_s() < until_s:
                task = asyncio.create_task(self.call(http, host, path))
                tasks.add(task)
                task.add_done_callback(tasks.discard)
                await asyncio.sleep(random.expovariate(per_s))
            await asyncio.gather(*tasks)

    async def call(
        self,
        http: aiohttp.ClientSession,
        host: str,
        path: str,
        budget_s: float = 1.2,
        method: str = "GET",
    ) -> int:
        """Sends a request of a caller and returns its status."""
        self._number += 1
        attempt_id = f"r{self._number}"
        path = path.format(id=attempt_id)
        self.note("sent", id=attempt_id, to=host, method=method, path=path)
        status = 0
        is_leaving, seal = False, ""
        try:
            async with http.request(
                method,
                f"http://{host}:{standins.CALLER_PORT}{path}",
                headers={
                    "Host": "shop.example",
                    names.ATTEMPT_ID: attempt_id,
                    names.DEADLINE_MS: str(int(budget_s * 1000)),
                },
                timeout=aiohttp.ClientTimeout(total=budget_s),
            ) as answer:
                await answer.read()
                status = answer.status
                is_leaving = names.SERVER_LEAVING in answer.headers
                seal = answer.headers.get(names.SEAL, "")
        except (aiohttp.ClientError, TimeoutError):
            pass
        self.note(
            "answered",
            id=attempt_id,
            status=status,
            seal=seal,
            is_leaving=is_leaving,
        )
        return status

    async def close(self) -> None:
        """Ends all processes that were started."""
        for process in self.processes.values():
            if process.returncode is None:
                process.kill()
        for process in self.processes.values():
            await process.wait()
        for server in self.servers.values():
            await server.stop()
        await self.store.stop()


def _free_network() -> str:
    for _ in range(100):
        network = f"127.{random.randint(1, 250)}.{random.randint(1, 250)}"
        try:
            for number in MACHINES:
                for port in PORTS:
                    with socket.socket() as probe:
                        probe.setsockopt(
                            socket.SOL_SOCKET, socket.SO_REUSEADDR, 1
                        )
                        probe.bind((f"{network}.{number}", port))
        except OSError:
            continue
        return network
    raise OSError("no free addresses")


def main(case: Case) -> None:
    """Runs a case; exits with 1 if the rule was broken, 2 if it cannot run.

    The first argument of the script names the file of the record.
    """
    record = pathlib.Path(sys.argv[1])

    async def run() -> int:
        task = asyncio.current_task()
        assert task is not None
        # A script that is ended from outside ends its processes as well.
        for number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(number, task.cancel)
        with tempfile.TemporaryDirectory() as work:
            mesh = Mesh(pathlib.Path(work))
            try:
                async with asyncio.timeout(TIMEOUT_S):
                    await mesh.start()
                    return await case(mesh, os.environ.get("TROUBLE") != "0")
            finally:
                mesh.write_record(record)
                await mesh.close()

    try:
        code = asyncio.run(run())
    except (Exception, asyncio.CancelledError) as error:
        print(f"could not run: {type(error).__name__}: {error}")
        code = EXIT_NOT_RUN
    sys.exit(code)
