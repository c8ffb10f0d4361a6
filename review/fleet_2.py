"""Node processes of a small deployment, with stand-ins on loopback addresses.

The stand-ins of the store and of the servers follow PROTOCOL.md and need only
the standard library. Nodes are started with the command, the environment and
the settings template of the deploy file.
"""

import asyncio
import base64
import collections
import contextlib
import json
import os
import pathlib
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib

ROOT = pathlib.Path(__file__).resolve().parents[1]
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
START_TIMEOUT_S = 25.0


class CaseError(Exception):
    """The case could not run."""


# Settings.


def _lookup(fields, name):
    value = fields
    for part in name.split("."):
        if isinstance(value, list):
            value = value[int(part)] if int(part) < len(value) else None
        else:
            value = value.get(part) if isinstance(value, dict) else None
    return value


def _value(value, as_json):
    if as_json:
        return json.dumps(value)
    if value is None:
        return ""
    if isinstance(value, list):
        return ",".join(map(str, value))
    return json.dumps(value) if isinstance(value, dict) else str(value)


def render(template, fields):
    """Fills in the part of the template language that the project uses."""

    def section(match):
        value = _lookup(fields, match[2])
        is_shown = value not in (None, False, [], {})
        return match[3] if is_shown == (match[1] == "#") else ""

    text = re.sub(
        r"\{\{([#^])([\w.]+)\}\}\n?(.*?)\{\{/\2\}\}\n?",
        section,
        template,
        flags=re.DOTALL,
    )
    return re.sub(
        r"\{\{([\w.]+)(\|json)?\}\}",
        lambda m: _value(_lookup(fields, m[1]), bool(m[2])),
        text,
    )


def free_ports(hosts, count):
    """Returns ports that are free on all addresses."""
    found = []
    port = 20_000 + os.getpid() % 5000
    while len(found) < count:
        port += 1
        if port > 32_000:
            raise CaseError("no free ports")
        with contextlib.ExitStack() as stack:
            try:
                for host in hosts:
                    probe = stack.enter_context(socket.socket())
                    probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                    probe.bind((host, port))
            except OSError:
                continue
        found.append(port)
    return found


# HTTP.


async def read_head(reader):
    """Reads a head; returns its first line and the headers, or None."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, separator, value = line.partition(":")
        if separator:
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(reader, headers):
    """Reads a body with a length or in chunks."""
    if "chunked" in headers.get("transfer-encoding", ""):
        body = b""
        while size := int((await reader.readline()).split(b";")[0], 16):
            body += await reader.readexactly(size)
            await reader.readline()
        await reader.readline()
        return body
    return await reader.readexactly(int(headers.get("content-length", 0)))


def encode_answer(status, headers, body=b""):
    """Returns an answer as bytes."""
    lines = [f"HTTP/1.1 {status} Status"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


class Listener:
    """A TCP server whose connections end with it."""

    def __init__(self):
        self._server = None
        self._tasks = set()

    async def listen(self, host, port):
        self._server = await asyncio.start_server(
            self._accept, host, port, limit=4 * 1024 * 1024
        )
        return self._server.sockets[0].getsockname()[1]

    async def _accept(self, reader, writer):
        task = asyncio.current_task()
        self._tasks.add(task)
        try:
            await self.serve(reader, writer)
        except (OSError, asyncio.IncompleteReadError):
            pass
        except asyncio.CancelledError:
            pass
        finally:
            self._tasks.discard(task)
            writer.transport.abort()

    async def close(self):
        if self._server is not None:
            self._server.close()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.sleep(0)


class Store(Listener):
    """The platform's metadata store."""

    def __init__(self):
        super().__init__()
        self.items = {}
        self.events = []
        self.revision = 100
        self.address = ""
        self._changed = asyncio.Event()

    async def start(self):
        port = await self.listen("127.0.0.1", 0)
        self.address = f"127.0.0.1:{port}"

    def put(self, key, value):
        """Writes an item."""
        self.revision += 1
        raw = json.dumps(value).encode()
        known = self.items.get(key)
        item = {
            "key": key,
            "value": base64.b64encode(raw).decode(),
            "revision": self.revision,
            "created": known["created"] if known else self.revision,
            "lease": 0,
        }
        self.items[key] = item
        self._publish(item)

    def remove(self, key):
        """Removes an item."""
        self.revision += 1
        self.items.pop(key, None)
        self._publish({"key": key, "revision": self.revision, "removed": True})

    def _publish(self, event):
        self.events.append(event)
        self._changed.set()
        self._changed = asyncio.Event()

    async def serve(self, reader, writer):
        while (head := await read_head(reader)) is not None:
            path, _, query = head[0].split(" ")[1].partition("?")
            pairs = dict(
                pair.split("=", 1) for pair in query.split("&") if "=" in pair
            )
            answer = await self._answer(path, pairs)
            status = 200 if answer is not None else 404
            body = json.dumps(answer).encode()
            writer.write(
                encode_answer(status, {"Content-Type": "application/json"}, body)
            )
            await writer.drain()

    async def _answer(self, path, query):
        if path == "/kv-range":
            prefix = query.get("prefix", "")
            after = query.get("after", "").replace("%2F", "/")
            keys = sorted(
                k for k in self.items if k.startswith(prefix) and k > after
            )
            return {
                "items": [self.items[key] for key in keys[:500]],
                "has_more": len(keys) > 500,
                "as_of": self.revision,
            }
        if path == "/kv-watch":
            after = int(query["after"])
            end_s = time.monotonic() + int(query["wait_ms"]) / 1000
            while True:
                events = [e for e in self.events if e["revision"] > after]
                left_s = end_s - time.monotonic()
                if events or left_s <= 0:
                    return {"events": events, "as_of": self.revision}
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout(left_s):
                        await self._changed.wait()
        return None


class Server(Listener):
    """An application server: runs `slots` requests and queues some more.

    The query of a request may state its work, `work_ms`.

    Attributes:
        runs: Runs by attempt id.
        spans: Attempt id, begin and end of each run, monotonic time; the end is
            None while it runs.
    """

    def __init__(self, host, port, server_id, slots=12, queue=48, work_s=0.02):
        super().__init__()
        self.host, self.port, self.server_id = host, port, server_id
        self.work_s = work_s
        self.slots = slots
        self.queue = queue
        self.runs = collections.Counter()
        self.lines = []
        self.spans = []
        self.seals = {}
        self._waiting = 0
        self._slots = asyncio.Semaphore(slots)

    async def start(self):
        await self.listen(self.host, self.port)

    async def serve(self, reader, writer):
        while (head := await read_head(reader)) is not None:
            line, headers = head
            method, target, _ = line.split(" ")
            body = await read_body(reader, headers)
            if target == "/health":
                answer = encode_answer(
                    200,
                    {
                        "Magnoliafork-Instance-Id": self.server_id,
                        "Magnoliafork-Cold-Ms": "0",
                    },
                )
            else:
                answer = await self._run(
                    method, target, headers, body, reader, writer
                )
            if answer is None:
                return
            writer.write(answer)
            await writer.drain()

    async def _run(self, method, target, headers, body, reader, writer):
        attempt = headers.get("magnoliafork-attempt-id", "")
        echo = {"Magnoliafork-Attempt-Id": attempt}
        not_run = {**echo, "Magnoliafork-Not-Executed": "1"}
        if not attempt:
            return encode_answer(400, not_run)
        expected = headers.get("magnoliafork-expect-instance")
        if expected not in (None, self.server_id):
            return encode_answer(421, not_run)
        if self._slots.locked() and self._waiting >= self.queue:
            return encode_answer(503, not_run)
        self._waiting += 1
        try:
            await self._slots.acquire()
        finally:
            self._waiting -= 1
        try:
            self.runs[attempt] += 1
            self.lines.append((attempt, method, target, len(body)))
            span = [attempt, time.monotonic(), None]
            self.spans.append(span)
            found = re.search(r"[?&]work_ms=(\d+)", target)
            work_s = int(found[1]) / 1000 if found else self.work_s
            # Drops a request whose connection closes.
            closed = asyncio.ensure_future(reader.read(1))
            done, _ = await asyncio.wait([closed], timeout=work_s)
            if done:
                return None
            closed.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await closed
            span[2] = time.monotonic()
        finally:
            self._slots.release()
        seal = f"{self.server_id}.{len(self.spans)}"
        self.seals[attempt] = seal
        text = f"{method} {target} {attempt}".encode()
        return encode_answer(200, {**echo, "Magnoliafork-Server-Seal": seal}, text)


class Node:
    """One node process."""

    def __init__(self, fleet, host, zone, service, server):
        self.fleet, self.host, self.zone = fleet, host, zone
        self.service, self.server = service, server
        self.process = None

    def start(self):
        fleet = self.fleet
        role = fleet.deploy["roles"]["node"]
        path = fleet.folder / f"{self.host}.yaml"
        path.write_text(render(fleet.template, fleet.fields(self)))
        log = (fleet.folder / f"{self.host}.log").open("ab")
        env = {
            "PATH": os.environ.get("PATH", ""),
            "HOME": os.environ.get("HOME", "/tmp"),
            "LANG": os.environ.get("LANG", "C.UTF-8"),
            "PYTHONPATH": str(ROOT / "target/deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
            "MAGNOLIAFORK_NODE_FILE": str(path),
            **role.get("env", {}),
        }
        self.process = subprocess.Popen(
            role["run"].split(),
            cwd=ROOT,
            env=env,
            stdout=log,
            stderr=log,
            stdin=subprocess.DEVNULL,
        )
        log.close()

    def signal(self, number):
        self.process.send_signal(number)

    def kill(self):
        if self.process is not None and self.process.poll() is None:
            with contextlib.suppress(ProcessLookupError):
                self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()

    @property
    def is_running(self):
        return self.process.poll() is None

    def peak_memory_mb(self):
        """Returns the most memory that the process has had."""
        text = pathlib.Path(f"/proc/{self.process.pid}/status").read_text()
        return int(text.partition("VmHWM:")[2].split()[0]) / 1024

    def memory_mb(self):
        """Returns the memory that the process has now."""
        text = pathlib.Path(f"/proc/{self.process.pid}/status").read_text()
        return int(text.partition("VmRSS:")[2].split()[0]) / 1024

    @property
    def callers(self):
        return self.host, self.fleet.ports["outbound"]

    async def readiness(self):
        """Returns the status of the readiness check; 0 without an answer."""
        try:
            async with asyncio.timeout(1.0):
                answer = await request_once(
                    (self.host, self.fleet.ports["ready"]),
                    b"GET /ready HTTP/1.1\r\nHost: platform\r\n\r\n",
                )
        except (OSError, TimeoutError):
            return 0
        return answer[0] if answer else 0


class Fleet:
    """Store, servers and nodes of one deployment."""

    def __init__(self, network, routes, bounds=None, memory_mb=300):
        self.network = network
        self.routes = routes
        self.memory_mb = memory_mb
        # Memory of single machines by address, where it differs.
        self.memory_mb_by_host = {}
        self.bounds = {
            "drain_timeout_ms": 2000,
            "grace_period_s": 6,
            "retry_budget_ratio": 0.2,
            "budget_window_s": 10,
            "budget_slack": 60,
            "cold_over": 1.5,
            **(bounds or {}),
        }
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="magnoliafork-"))
        self.deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        template = self.deploy["roles"]["node"]["template"]
        self.template = (ROOT / template).read_text()
        self.store = Store()
        self.nodes = []
        self.sequence = 0
        self.ports = {}

    def memory_mb_of(self, node):
        return self.memory_mb_by_host.get(node.host, self.memory_mb)

    def fields(self, node):
        ports = self.ports
        return {
            "ip": node.host,
            "zone": node.zone,
            "service": node.service,
            "listen_addrs": {
                name: f"{node.host}:{ports[name]}"
                for name in ("inbound", "outbound", "ready")
            },
            "port_range": [ports["metrics"], ports["metrics"] + 1],
            "app_addr": f"{node.host}:{ports['app']}",
            "platform": {"address": self.store.address},
            "bounds": self.bounds,
            "limits": {"max_fds": 4100, "memory_mb": self.memory_mb_of(node)},
        }

    async def start(self, machines, server_settings=None):
        """Starts all; `machines` are pairs of zone and service."""
        hosts = [f"{self.network}.{n + 1}" for n in range(len(machines))]
        names = ("inbound", "outbound", "ready", "metrics", "app")
        self.ports = dict(zip(names, free_ports(hosts, len(names))))
        await self.store.start()
        self.publish_config(1)
        for number, (host, (zone, service)) in enumerate(zip(hosts, machines)):
            settings = (server_settings or {}).get(service, {})
            server = Server(host, self.ports["app"], f"i-{number:08x}", **settings)
            await server.start()
            node = Node(self, host, zone, service, server)
            self.nodes.append(node)
            self.publish_server(node)
            node.start()
        await self.wait_until_ready()

    async def wait_until_ready(self, nodes=None):
        end_s = time.monotonic() + START_TIMEOUT_S
        for node in nodes or self.nodes:
            while await node.readiness() != 200:
                if time.monotonic() > end_s or not node.is_running:
                    raise CaseError(f"node {node.host} does not become ready")
                await asyncio.sleep(0.1)

    def publish_server(self, node, state="ready"):
        self.sequence += 1
        self.store.put(
            f"servers/{node.server.server_id}",
            {
                "address": f"{node.host}:{self.ports['app']}",
                "info": {
                    "service": node.service,
                    "version": "v1",
                    "zone": node.zone,
                    "slots": node.server.slots,
                },
                "status": {
                    "state": state,
                    "sequence": self.sequence,
                    "cold_left_ms": 0,
                },
                "born": 1_700_000_000_000,
            },
        )

    def publish_config(self, version):
        services = sorted({row["service"] for row in self.routes})
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
        rows = []
        for route in self.routes:
            row = {
                "name": "route" + route["prefix"].replace("/", "-"),
                "host": "hulo84.example",
                "priority": 2,
                "max_attempts": 2,
                **route,
            }
            rows.append([row[name] for name in columns])
        self.store.put(
            "op/config",
            {
                "version": f"r{version}",
                "routes": {"columns": columns, "rows": rows},
                "services": {
                    "columns": [
                        "name",
                        "health_path",
                        "max_connections",
                        "cold_start_s",
                        "cold_per_s",
                    ],
                    "rows": [[s, "/health", 120, 3.0, 14.0] for s in services],
                },
                "limits": {
                    "max_header_bytes": 16384,
                    "max_body_bytes": 4194304,
                    "header_timeout_ms": 3000,
                    "idle_timeout_ms": 15000,
                },
            },
        )

    async def close(self):
        for node in self.nodes:
            node.kill()
        for node in self.nodes:
            await node.server.close()
        await self.store.close()
        if os.environ.get("KEEP_LOGS"):
            print("logs:", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


# Callers.


def request(method, path, attempt, deadline_ms, body=b"", extra=()):
    """Returns a caller's request as bytes."""
    lines = [
        f"{method} {path} HTTP/1.1",
        "Host: hulo84.example",
        f"Magnoliafork-Attempt-Id: {attempt}",
        f"Magnoliafork-Deadline-Ms: {deadline_ms}",
        *extra,
    ]
    if method != "GET":
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


async def read_answer(reader):
    """Returns status, headers and body of an answer, or None."""
    head = await read_head(reader)
    if head is None:
        return None
    body = await read_body(reader, head[1])
    return int(head[0].split(" ")[1]), head[1], body


async def request_once(address, data):
    """Sends bytes on a new connection; returns the answer or None."""
    reader, writer = await asyncio.open_connection(*address)
    try:
        writer.write(data)
        return await read_answer(reader)
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    finally:
        writer.transport.abort()


class Record:
    """Writes what was sent, answered and run into `record.txt`."""

    def __init__(self, folder):
        self._file = (pathlib.Path(folder) / "record.txt").open("w")
        self._begun_s = time.monotonic()

    def __call__(self, text):
        passed_s = time.monotonic() - self._begun_s
        self._file.write(f"{passed_s:8.3f} {text}\n")
        self._file.flush()


def run_case(folder, case):
    """Runs `case(record, has_trouble)`; exits with its result."""
    record = Record(folder)
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    try:

        async def limited():
            async with asyncio.timeout(110.0):
                return await case(record, has_trouble)

        result = asyncio.run(limited())
    except (CaseError, OSError, TimeoutError) as error:
        record(f"could not run: {type(error).__name__} {error}")
        print(f"could not run: {type(error).__name__} {error}")
        sys.exit(COULD_NOT_RUN)
    record("broken" if result == BROKEN else "held")
    print("broken" if result == BROKEN else "held")
    sys.exit(result)
