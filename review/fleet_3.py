"""Stand-ins and processes for the scripts of the third review.

Uses the standard library only. The store, the servers and the clients follow
the users' pages; the nodes are started with the command of the deploy file.
"""

import asyncio
import base64
import contextlib
import dataclasses
import itertools
import json
import os
import pathlib
import shlex
import socket
import sys
import tempfile
import tomllib
import urllib.parse
from collections.abc import Awaitable, Callable
from typing import Any

ROOT = pathlib.Path(__file__).resolve().parents[1]
HOST_HEADER = "hulo84.example"
ATTEMPT_ID = "Magnoliafork-Attempt-Id"
DEADLINE_MS = "Magnoliafork-Deadline-Ms"
SEAL = "Magnoliafork-Server-Seal"
EXPECT_INSTANCE = "Magnoliafork-Expect-Instance"
INSTANCE_ID = "Magnoliafork-Instance-Id"
NOT_EXECUTED = "Magnoliafork-Not-Executed"
COLD_MS = "Magnoliafork-Cold-Ms"
START_TIMEOUT_S = 30.0
# Bounds of the small deployments, and limits of their machines.
GRACE_PERIOD_S = 6
MEMORY_MB = 300
DESCRIPTORS = 4100

HeaderMap = dict[str, str]


def is_troubled() -> bool:
    """Whether the script shall bring the disruption about."""
    return os.environ.get("TROUBLE", "1") != "0"


class Record:
    """Writes what was sent, answered and run to `record.txt`."""

    def __init__(self, path: str) -> None:
        self._file = pathlib.Path(path).open("w")
        self._loop = asyncio.get_running_loop()
        self._begun_s = self._loop.time()

    def __call__(self, text: str) -> None:
        passed_s = self._loop.time() - self._begun_s
        self._file.write(f"{passed_s:8.3f} {text}\n")
        self._file.flush()


@dataclasses.dataclass
class Message:
    """An HTTP message that was read."""

    first_line: str
    headers: HeaderMap
    body: bytes = b""

    @property
    def status(self) -> int:
        return int(self.first_line.split()[1])

    def header(self, name: str) -> str:
        return self.headers.get(name.lower(), "")


async def read_head(reader: asyncio.StreamReader) -> Message | None:
    """Reads a head; returns None at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = head.decode("latin-1").removesuffix("\r\n\r\n").split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return Message(first, headers)


async def read_body(reader: asyncio.StreamReader, message: Message) -> bytes:
    """Reads a body with a length or in chunks."""
    if message.header("Transfer-Encoding").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            body += await reader.readexactly(size)
            await reader.readexactly(2)
            if not size:
                return body
    return await reader.readexactly(int(message.header("Content-Length") or 0))


async def read_answer(reader: asyncio.StreamReader) -> Message | None:
    """Reads an answer; returns None if it does not come whole."""
    message = await read_head(reader)
    if message is None:
        return None
    try:
        message.body = await read_body(reader, message)
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return message


def encode(
    first_line: str, headers: HeaderMap, body: bytes = b"", length: bool = True
) -> bytes:
    """Returns an HTTP message as bytes."""
    lines = [first_line, *(f"{n}: {v}" for n, v in headers.items())]
    if length:
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


class Listener:
    """A TCP server that ends its connections when it is closed."""

    def __init__(self) -> None:
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    async def listen(self, host: str, port: int) -> None:
        self._server = await asyncio.start_server(
            self._accept, host, port, limit=4 * 1024 * 1024, backlog=1024
        )

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        try:
            await self.serve(reader, writer)
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        except asyncio.CancelledError:
            pass
        finally:
            self._tasks.discard(task)
            writer.close()

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        raise NotImplementedError

    async def close(self) -> None:
        if self._server is not None:
            self._server.close()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.sleep(0)


class Store(Listener):
    """The platform's metadata store."""

    def __init__(self) -> None:
        super().__init__()
        self._items: dict[str, dict[str, Any]] = {}
        self._events: list[dict[str, Any]] = []
        self._changed = asyncio.Event()
        self.revision = 100
        self.calls = 0

    def put(self, key: str, value: Any) -> None:
        """Writes an item; the write is acknowledged on return."""
        self.revision += 1
        raw = json.dumps(value).encode()
        known = self._items.get(key)
        self._items[key] = {
            "key": key,
            "value": base64.b64encode(raw).decode(),
            "revision": self.revision,
            "created": known["created"] if known else self.revision,
            "lease": 0,
        }
        self._publish(self._items[key])

    def remove(self, key: str) -> None:
        """Removes an item."""
        self.revision += 1
        self._items.pop(key, None)
        self._publish({"key": key, "revision": self.revision, "removed": True})

    def _publish(self, event: dict[str, Any]) -> None:
        self._events.append(event)
        self._changed.set()
        self._changed = asyncio.Event()

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        while (request := await read_head(reader)) is not None:
            self.calls += 1
            url = urllib.parse.urlsplit(request.first_line.split()[1])
            query = dict(urllib.parse.parse_qsl(url.query))
            await asyncio.sleep(0.004)
            status, body = await self._answer(url.path, query)
            writer.write(
                encode(
                    f"HTTP/1.1 {status} -",
                    {"Content-Type": "application/json"},
                    json.dumps(body).encode(),
                )
            )
            await writer.drain()

    async def _answer(self, path: str, query: HeaderMap) -> tuple[int, Any]:
        prefix = query.get("prefix", "")
        if path == "/kv-key":
            item = self._items.get(query.get("key", ""))
            if item is None:
                return 404, {}
            return 200, {**item, "as_of": self.revision}
        if path == "/kv-range":
            after = query.get("after", "")
            keys = sorted(
                k for k in self._items if k.startswith(prefix) and k > after
            )
            items = [self._items[key] for key in keys[:500]]
            has_more = len(keys) > 500
            return 200, {
                "items": items,
                "has_more": has_more,
                "as_of": self.revision,
            }
        if path != "/kv-watch":
            return 404, {}
        after_revision = int(query["after"])
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(int(query["wait_ms"]) / 1000):
                while not self._events_after(prefix, after_revision):
                    await self._changed.wait()
        return 200, {
            "events": self._events_after(prefix, after_revision),
            "as_of": self.revision,
        }

    def _events_after(self, prefix: str, revision: int) -> list[Any]:
        return [
            e
            for e in self._events
            if e["revision"] > revision and e["key"].startswith(prefix)
        ]


Work = Callable[["Server", Message], Awaitable[bytes]]


async def echo(server: "Server", request: Message) -> bytes:
    """The work of a server that answers at once with the id."""
    del server
    return request.header(ATTEMPT_ID).encode()


class Server(Listener):
    """An application server; records the ids of the requests that it ran."""

    def __init__(
        self, host: str, server_id: str, service: str, work: Work = echo
    ) -> None:
        super().__init__()
        self.host = host
        self.port = 0
        self.server_id = server_id
        self.service = service
        self.work = work
        self.ran: list[str] = []
        self.arrived: list[str] = []

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        while (request := await read_head(reader)) is not None:
            request.body = await read_body(reader, request)
            path = request.first_line.split()[1]
            attempt_id = request.header(ATTEMPT_ID)
            headers = {ATTEMPT_ID: attempt_id, "Keep-Alive": "timeout=10"}
            if path == "/health":
                headers = {INSTANCE_ID: self.server_id, COLD_MS: "0"}
                writer.write(encode("HTTP/1.1 200 OK", headers))
                continue
            self.arrived.append(attempt_id)
            if request.header(EXPECT_INSTANCE) not in ("", self.server_id):
                writer.write(encode("HTTP/1.1 421 -", headers))
                continue
            self.ran.append(attempt_id)
            body = await self.work(self, request)
            headers[SEAL] = f"seal-{self.server_id}-{attempt_id}"
            writer.write(encode("HTTP/1.1 200 OK", headers, body))
            await writer.drain()

    def entry(self, zone: str, slots: int, sequence: int = 1) -> dict[str, Any]:
        """Returns its entry in the store."""
        return {
            "address": f"{self.host}:{self.port}",
            "info": {
                "service": self.service,
                "version": "v1",
                "zone": zone,
                "slots": slots,
            },
            "status": {
                "state": "ready",
                "sequence": sequence,
                "cold_left_ms": 0,
            },
            "born": 1_700_000_000_000,
        }


@dataclasses.dataclass(frozen=True)
class Route:
    """A route of the operators' configuration."""

    prefix: str
    kind: str
    service: str
    timeout_ms: int
    target_latency_ms: int
    priority: int = 2
    max_attempts: int = 2


def configuration(routes: list[Route], version: int = 1) -> dict[str, Any]:
    """Returns a configuration."""
    columns = [
        "name",
        "host",
        "prefix",
        "kind",
        "service",
        "timeout_ms",
        "target_latency_ms",
        "priority",
        "max_attempts",
    ]
    services = sorted({route.service for route in routes})
    return {
        "version": f"r{version}",
        "routes": {
            "columns": columns,
            "rows": [
                [
                    f"route-{number}",
                    HOST_HEADER,
                    *dataclasses.astuple(route),
                ]
                for number, route in enumerate(routes)
            ],
        },
        "services": {
            "columns": [
                "name",
                "health_path",
                "max_connections",
                "cold_start_s",
                "cold_per_s",
            ],
            "rows": [[name, "/health", 120, 3.0, 14.0] for name in services],
        },
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 8 * 1024 * 1024,
            "header_timeout_ms": 5000,
            "idle_timeout_ms": 15000,
        },
    }


@dataclasses.dataclass
class Machine:
    """A server in this process and a node process beside it."""

    host: str
    zone: str
    server: Server
    process: asyncio.subprocess.Process | None = None

    @property
    def is_running(self) -> bool:
        return self.process is not None and self.process.returncode is None

    def status_kb(self, field: str) -> int:
        """Returns a size from the status of the process, in KiB."""
        assert self.process is not None
        text = pathlib.Path(f"/proc/{self.process.pid}/status").read_text()
        for line in text.splitlines():
            if line.startswith(f"{field}:"):
                return int(line.split()[1])
        raise ValueError(field)


def _free_port(hosts: list[str]) -> int:
    """Returns a port that is free at all of some addresses."""
    for _ in range(200):
        with contextlib.ExitStack() as stack:
            first = stack.enter_context(socket.socket())
            first.bind((hosts[0], 0))
            port = int(first.getsockname()[1])
            try:
                for host in hosts[1:]:
                    other = stack.enter_context(socket.socket())
                    other.bind((host, port))
            except OSError:
                continue
            return port
    raise RuntimeError("no port is free at all addresses")


class Fleet:
    """A small deployment on loopback addresses."""

    def __init__(self, machines: list[Machine], store: Store) -> None:
        self.machines = machines
        self.store = store
        self._folder = tempfile.TemporaryDirectory()
        hosts = [machine.host for machine in machines]
        names = ("callers", "peers", "ready", "metrics", "upstream")
        self.ports: dict[str, int] = {}
        for name in names:
            port = _free_port(hosts)
            while port in self.ports.values():
                port = _free_port(hosts)
            self.ports[name] = port
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        self._role = deploy["roles"]["node"]
        self._store_port = _free_port(["127.0.0.1"])
        self._ids = itertools.count(1)

    async def start(self, config: dict[str, Any], slots: int) -> None:
        """Starts store, servers and nodes; waits until the nodes are ready."""
        await self.store.listen("127.0.0.1", self._store_port)
        self.store.put("op/config", config)
        for machine in self.machines:
            server = machine.server
            server.port = self.ports["upstream"]
            await server.listen(server.host, server.port)
            self.store.put(
                f"servers/{server.server_id}", server.entry(machine.zone, slots)
            )
        for machine in self.machines:
            await self.start_node(machine)
        async with asyncio.timeout(START_TIMEOUT_S):
            for machine in self.machines:
                while not await self.is_ready(machine):
                    await asyncio.sleep(0.1)
        # Links between the nodes, and checks whether the servers are cold.
        await asyncio.sleep(2.0)

    async def start_node(self, machine: Machine) -> None:
        """Starts a node with the command of the deploy file."""
        host, ports = machine.host, self.ports
        settings = {
            "node": {
                "host": host,
                "zone": machine.zone,
                "service": machine.server.service,
            },
            "addresses": {
                "callers": f"{host}:{ports['callers']}",
                "peers": f"{host}:{ports['peers']}",
                "ready": f"{host}:{ports['ready']}",
                "metrics": f"{host}:{ports['metrics']}",
                "upstream": f"{host}:{ports['upstream']}",
                "store": f"127.0.0.1:{self._store_port}",
            },
            "bounds": {
                "grace_period_s": GRACE_PERIOD_S,
                "drain_timeout_ms": 2000,
                "retry_budget_ratio": 0.2,
                "retry_budget_slack": 60,
                "retry_budget_window_s": 10,
                "cold_rate_factor": 1.5,
            },
            "limits": {"descriptors": DESCRIPTORS, "memory_mb": MEMORY_MB},
            "logs": {"level": "info"},
        }
        folder = pathlib.Path(self._folder.name)
        path = folder / f"{host}.yaml"
        # JSON is YAML.
        path.write_text(json.dumps(settings))
        program, *arguments = shlex.split(self._role["run"])
        environment = {
            "PATH": os.environ.get("PATH", ""),
            "HOME": os.environ.get("HOME", ""),
            "PYTHONPATH": str(ROOT / "target/deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
            "MAGNOLIAFORK_NODE_FILE": str(path),
            **self._role.get("env", {}),
        }
        with (folder / f"{host}.log").open("ab") as log:
            machine.process = await asyncio.create_subprocess_exec(
                program,
                *arguments,
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
            )

    def log(self, machine: Machine) -> str:
        """Returns what a node has logged."""
        path = pathlib.Path(self._folder.name) / f"{machine.host}.log"
        return path.read_text(errors="replace")

    async def is_ready(self, machine: Machine) -> bool:
        """Asks a node whether it is ready."""
        try:
            reader, writer = await asyncio.open_connection(
                machine.host, self.ports["ready"]
            )
        except OSError:
            return False
        writer.write(
            b"GET /ready HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n"
        )
        answer = await read_answer(reader)
        writer.close()
        return answer is not None and answer.status == 200

    async def connect(
        self, machine: Machine
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """Opens a consumer's connection to the node of its machine."""
        return await asyncio.open_connection(
            machine.host, self.ports["callers"], limit=4 * 1024 * 1024
        )

    def new_id(self) -> str:
        """Returns an id for a consumer attempt."""
        return f"{next(self._ids):016x}"

    def request(
        self,
        attempt_id: str,
        method: str,
        path: str,
        deadline_ms: int,
        body: bytes = b"",
        extra: HeaderMap | None = None,
    ) -> bytes:
        """Returns the bytes of a consumer's request."""
        headers = {
            "Host": HOST_HEADER,
            ATTEMPT_ID: attempt_id,
            DEADLINE_MS: str(deadline_ms),
            **(extra or {}),
        }
        return encode(
            f"{method} {path} HTTP/1.1", headers, body, length=method != "GET"
        )

    async def close(self) -> None:
        """Ends all processes that this fleet has started."""
        for machine in self.machines:
            if machine.is_running:
                assert machine.process is not None
                machine.process.kill()
                await machine.process.wait()
        for machine in self.machines:
            await machine.server.close()
        await self.store.close()
        self._folder.cleanup()


def run(case: Callable[[Record], Awaitable[bool]]) -> None:
    """Runs a case; exits with 1 if the rule was broken, 2 if it cannot run.

    The first argument of the script is the path of its record.
    """

    async def main() -> int:
        record = Record(sys.argv[1])
        record(f"TROUBLE={int(is_troubled())}")
        try:
            async with asyncio.timeout(110):
                is_broken = await case(record)
        except Exception as error:  # noqa: BLE001
            record(f"could not run: {type(error).__name__}: {error}")
            print(f"could not run: {type(error).__name__}: {error}")
            return 2
        record("the rule was broken" if is_broken else "the rule held")
        print("the rule was broken" if is_broken else "the rule held")
        return int(is_broken)

    sys.exit(asyncio.run(main()))
