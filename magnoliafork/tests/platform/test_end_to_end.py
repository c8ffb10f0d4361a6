"""Requests through nodes and the platform adapter, over loopback sockets."""

import asyncio
import contextlib
import dataclasses
import io
import json
import math
import random
from collections.abc import AsyncIterator, Awaitable, Callable, Mapping
from typing import Any

import aiohttp
import pytest

from magnoliafork.mesh.node import MeshNode
from magnoliafork.mesh.settings import Addresses, MeshSettings, Placement
from magnoliafork.mesh.tenant_keys import KeyPolicy
from magnoliafork.observe.logs import EventLog
from magnoliafork.platform import names
from magnoliafork.platform.header_codec import PlatformHeaderCodec
from magnoliafork.platform.items import decode_item
from magnoliafork.platform.store import PlatformStore
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

# Host, service and zone of each machine.
MACHINES = [
    ("127.0.7.1", "x", "joliette"),
    ("127.0.7.2", "y", "joliette"),
    ("127.0.7.3", "x", "rawdon"),
    ("127.0.7.4", "y", "rawdon"),
]
HOST = MACHINES[0][0]
ROUTES = [["/a/", "safe", "x"], ["/pay/", "unsafe", "y"]]
INFO = {"service": "x", "version": "v1", "zone": "joliette", "slots": 4}
WAIT_TIMEOUT_S = 10.0


@dataclasses.dataclass(frozen=True)
class Reply:
    """What a caller got."""

    status: int
    headers: Mapping[str, str]
    body: bytes


class Fleet:
    """A store, four servers and their nodes in one process."""

    def __init__(self) -> None:
        self.store = StoreStandIn()
        self.servers: dict[str, ServerStandIn] = {}
        self.nodes: dict[str, MeshNode] = {}
        self.clients: dict[str, PlatformStore] = {}
        self.http = aiohttp.ClientSession()
        self._number = 0

    async def start(self) -> None:
        await self.store.start()
        self.store.put("op/config", configuration(1, ROUTES))
        for host, service, zone in MACHINES:
            server = ServerStandIn(host, f"i-{host}")
            self.servers[host] = server
            await server.start()
            self.store.put(
                f"servers/i-{host}", server_entry(host, service, zone)
            )
        for host, service, zone in MACHINES:
            await self.start_node(host, service, zone)
        await self.wait_until(
            lambda: all(
                not node.receiver._cold_limiter.is_cold(
                    asyncio.get_running_loop().time()
                )
                for node in self.nodes.values()
            )
        )

    async def start_node(self, host: str, service: str, zone: str) -> MeshNode:
        settings = MeshSettings(
            node=Placement(host=host, zone=zone, service=service),
            addresses=Addresses(
                callers=f"{host}:{CALLER_PORT}",
                peers=f"{host}:{PEER_PORT}",
                ready=f"{host}:{READY_PORT}",
                metrics=f"{host}:{METRICS_PORT}",
                upstream=f"{host}:{SERVER_PORT}",
                store=self.store.address,
            ),
        )
        client = PlatformStore(self.store.address)
        node = MeshNode(
            settings,
            client,
            decode_item,
            PlatformHeaderCodec(),
            random.Random(host),
            EventLog("error", io.StringIO()),
        )
        await node.start()
        self.nodes[host], self.clients[host] = node, client
        return node

    async def restart_node(self, host: str) -> None:
        """Ends a node and starts it again; its upstream lives on."""
        await self.nodes[host].close()
        await self.clients[host].close()
        _, service, zone = next(m for m in MACHINES if m[0] == host)
        await self.start_node(host, service, zone)

    async def close(self) -> None:
        await self.http.close()
        for host, node in self.nodes.items():
            await node.close()
            await self.clients[host].close()
        for server in self.servers.values():
            await server.stop()
        await self.store.stop()

    async def request(
        self,
        host: str,
        path: str,
        method: str = "GET",
        body: bytes = b"",
        headers: Mapping[str, str] | None = None,
    ) -> Reply:
        """Sends a caller's request to a node and reads its answer."""
        self._number += 1
        async with self.http.request(
            method,
            f"http://{host}:{CALLER_PORT}{path}",
            data=body or None,
            headers={
                "Host": "shop.example",
                names.ATTEMPT_ID: f"attempt-{self._number}",
                names.DEADLINE_MS: "2000",
                **(headers or {}),
            },
        ) as answer:
            body = await answer.read()
            return Reply(answer.status, answer.headers, body)

    async def wait_until(self, is_done: Callable[[], object]) -> None:
        """Waits for a condition; fails after `WAIT_TIMEOUT_S`."""
        async with asyncio.timeout(WAIT_TIMEOUT_S):
            while not is_done():
                await asyncio.sleep(0.01)

    async def wait_for_status(self, host: str, path: str, status: int) -> None:
        """Repeats a request until it gets a status."""
        async with asyncio.timeout(WAIT_TIMEOUT_S):
            while (await self.request(host, path)).status != status:
                await asyncio.sleep(0.02)


@contextlib.asynccontextmanager
async def running_fleet() -> AsyncIterator[Fleet]:
    fleet = Fleet()
    try:
        await fleet.start()
        yield fleet
    finally:
        await fleet.close()


def run(test: Callable[[Fleet], Awaitable[None]]) -> None:
    async def main() -> None:
        async with running_fleet() as fleet:
            await test(fleet)

    asyncio.run(main())


def test_request_reaches_a_server_of_its_route_unchanged() -> None:
    """Guards against rewritten URLs, lost headers and extended deadlines."""

    async def test(fleet: Fleet) -> None:
        answer = await fleet.request("127.0.7.2", "/a/b%20c?q=1")
        assert answer.status == 200
        assert answer.headers[names.SEAL].startswith("seal-i-")
        assert answer.body == b"GET /a/b%20c?q=1 "
        requests = [r for s in fleet.servers.values() for r in s.requests]
        assert requests[0].headers[names.CALLER_SERVICE] == "y"
        assert int(requests[0].headers[names.DEADLINE_MS]) <= 2000

    run(test)


def test_absolute_target_reaches_a_server_of_its_route() -> None:
    """Guards against 404 for callers that name the host in the target."""

    async def test(fleet: Fleet) -> None:
        reader, writer = await asyncio.open_connection(HOST, CALLER_PORT)
        writer.write(
            b"GET http://shop.example/a/b?q=1 HTTP/1.1\r\n"
            b"Host: other.example\r\nConnection: close\r\n"
            + f"{names.ATTEMPT_ID}: k\r\n\r\n".encode()
        )
        answer = await reader.read()
        writer.close()
        assert answer.startswith(b"HTTP/1.1 200 ")
        assert answer.endswith(b"GET /a/b?q=1 ")

    run(test)


def test_requests_under_low_load_stay_in_their_zone() -> None:
    """Guards against paying for cross-zone traffic while the zone has room."""

    async def test(fleet: Fleet) -> None:
        for _ in range(20):
            await fleet.request("127.0.7.2", "/a/")
        assert sum(fleet.servers["127.0.7.1"].runs.values()) >= 18

    run(test)


def test_changed_configuration_is_in_force_at_every_node() -> None:
    """Guards against a node that answers 404 on a newly published route."""

    async def test(fleet: Fleet) -> None:
        await fleet.request("127.0.7.1", "/new/")
        fleet.store.put(
            "op/config",
            configuration(2, [*ROUTES, ["/new/", "safe", "y"]]),
        )
        for host, _, _ in MACHINES:
            await fleet.wait_for_status(host, "/new/", 200)

    run(test)


def test_change_after_a_restore_of_the_store_is_in_force() -> None:
    """Nodes dropped changes whose revisions had been given out before."""

    async def test(fleet: Fleet) -> None:
        copy = fleet.store.copy()
        for version in (2, 3, 4):
            routes = [*ROUTES, [f"/v{version}/", "safe", "y"]]
            fleet.store.put("op/config", configuration(version, routes))
        for host, _, _ in MACHINES:
            await fleet.wait_for_status(host, "/v4/", 200)
        fleet.store.restore(copy)
        await asyncio.sleep(0.5)
        for host, _, _ in MACHINES:
            assert (await fleet.request(host, "/v4/")).status == 200
        # This version gets a revision that another one had before.
        routes = [*ROUTES, ["/v5/", "safe", "y"]]
        fleet.store.put("op/config", configuration(5, routes))
        calls = fleet.store.calls
        for host, _, _ in MACHINES:
            await fleet.wait_for_status(host, "/v5/", 200)
        assert fleet.store.calls - calls < 20 * len(MACHINES)

    run(test)


def test_change_before_a_restore_is_noticed_is_in_force() -> None:
    """A watch from a revision that was given out again skipped changes."""

    async def test(fleet: Fleet) -> None:
        copy = fleet.store.copy()
        fleet.store.put("op/config", configuration(2, ROUTES))
        revision = fleet.store.revision
        await fleet.wait_until(
            lambda: all(
                n.view.revision >= revision for n in fleet.nodes.values()
            )
        )
        fleet.store.restore(copy)
        routes = [*ROUTES, ["/v3/", "safe", "y"]]
        fleet.store.put("op/config", configuration(3, routes))
        fleet.store.put("op/evacuate/rawdon", {})
        for host, _, _ in MACHINES:
            await fleet.wait_for_status(host, "/v3/", 200)

    run(test)


def test_node_that_starts_after_a_restore_takes_the_newest_configuration() -> (
    None
):
    """A restarted node answered 404 on a route that was confirmed."""

    async def test(fleet: Fleet) -> None:
        copy = fleet.store.copy()
        routes = [*ROUTES, ["/v2/", "safe", "y"]]
        fleet.store.put("op/config", configuration(2, routes))
        for host, _, _ in MACHINES:
            await fleet.wait_for_status(host, "/v2/", 200)
        fleet.store.restore(copy)
        host = MACHINES[0][0]
        await fleet.restart_node(host)
        await fleet.wait_for_status(host, "/v2/", 200)

    run(test)


ODD_ENTRIES = {
    "deeply nested": b"[" * 100_000,
    "number too large": json.dumps(
        server_entry(HOST, "x", "joliette") | {"born": 7}
    )
    .replace('"cold_left_ms": 0', '"cold_left_ms": 1' + "0" * 400)
    .encode(),
}


@pytest.mark.parametrize("value", ODD_ENTRIES.values(), ids=ODD_ENTRIES)
def test_nodes_follow_changes_after_an_odd_entry(value: bytes) -> None:
    """One entry of another writer ended the reading of all nodes for good."""

    async def test(fleet: Fleet) -> None:
        fleet.store.put("servers/i-odd", value)
        await asyncio.sleep(0.3)
        routes = [*ROUTES, ["/new/", "safe", "y"]]
        fleet.store.put("op/config", configuration(2, routes))
        for host, _, _ in MACHINES:
            await fleet.wait_for_status(host, "/new/", 200)

    run(test)


@pytest.mark.parametrize(
    "changed",
    [
        {"status": {"state": "ready", "sequence": 1, "cold_left_ms": math.inf}},
        {"info": {**INFO, "slots": 2**70}},
        {"info": {**INFO, "zone": "\ud800"}},
        {"born": 2**70},
    ],
    ids=["cold", "slots", "zone", "born"],
)
def test_requests_are_served_after_an_entry_with_an_odd_value(
    changed: dict[str, Any],
) -> None:
    """Values beyond the fields of messages ended the ticks of all nodes."""

    async def test(fleet: Fleet) -> None:
        host, service, zone = MACHINES[0]
        entry = server_entry(host, service, zone, starts=2)
        # It takes the place of the first server's own entry.
        fleet.store.put("servers/i-odd", {**entry, **changed})
        await asyncio.sleep(0.3)
        routes = [*ROUTES, ["/new/", "safe", "y"]]
        fleet.store.put("op/config", configuration(2, routes))
        for node_host, _, _ in MACHINES:
            await fleet.wait_for_status(node_host, "/new/", 200)
            assert (await fleet.request(node_host, "/a/")).status == 200

    run(test)


def test_draining_server_that_loses_an_answer_gets_no_request_again() -> None:
    """A request was sent once more to a server that was about to be gone."""

    async def test(fleet: Fleet) -> None:
        host, service, zone = MACHINES[0]
        server = fleet.servers[host]
        await fleet.request(host, "/a/")
        running = asyncio.create_task(fleet.request(host, "/a/?work_ms=300"))
        await fleet.wait_until(lambda: server.runs["attempt-2"])
        drained = server_entry(host, service, zone, "draining", sequence=2)
        fleet.store.put(f"servers/i-{host}", drained)
        server.loses_answers = True
        assert (await running).status == 200
        assert server.runs["attempt-2"] == 1
        assert fleet.servers["127.0.7.3"].runs["attempt-2"] == 1

    run(test)


@pytest.mark.parametrize("is_written_first", [False, True])
@pytest.mark.parametrize("services", ["y", "xy"])
def test_entries_of_services_that_are_not_configured_hide_no_server(
    services: str, is_written_first: bool
) -> None:
    """A route that was added was never served; its servers seemed replaced."""

    async def test(fleet: Fleet) -> None:
        routes = [*ROUTES, ["/new/", "safe", "y"]]
        if not is_written_first:
            fleet.store.put("op/config", configuration(2, routes))
        for host, service, zone in MACHINES:
            if service in services:
                other = server_entry(host, "inventory", zone, starts=1000)
                fleet.store.put(f"servers/inventory-{host}", other)
        if is_written_first:
            fleet.store.put("op/config", configuration(2, routes))
        await fleet.wait_until(
            lambda: all(
                node.view.config_version == 2
                and node.view.revision == fleet.store.revision
                for node in fleet.nodes.values()
            )
        )
        for host, _, _ in MACHINES:
            for path in ("/a/", "/new/"):
                assert (await fleet.request(host, path)).status == 200

    run(test)


def test_ticks_go_on_after_an_unforeseen_error() -> None:
    """A node without ticks neither announces nor catches up."""

    async def test(fleet: Fleet) -> None:
        node = fleet.nodes[HOST]
        errors = [RuntimeError("not foreseen")]

        def fail_once() -> None:
            if errors:
                raise errors.pop()

        node.receiver.tick = fail_once  # type: ignore[method-assign]
        await fleet.wait_until(lambda: not errors)
        node.longest_tick_delay_s = -1.0
        await fleet.wait_until(lambda: node.longest_tick_delay_s >= 0)

    run(test)


@pytest.mark.parametrize("deadline", ["1e300", "99999999999"])
def test_odd_deadline_of_one_caller_harms_no_other(deadline: str) -> None:
    """The ages of all later requests of the route fitted into no message."""

    async def test(fleet: Fleet) -> None:
        odd = {names.DEADLINE_MS: deadline}
        assert (await fleet.request(HOST, "/a/", headers=odd)).status == 200
        assert (await fleet.request(HOST, "/a/")).status == 200

    run(test)


def test_request_that_crashes_its_upstream_is_refused_at_all_nodes() -> None:
    """Each attempt of its caller ended further upstreams of the service."""

    async def test(fleet: Fleet) -> None:
        sound = asyncio.create_task(
            fleet.request("127.0.7.1", "/a/sound?work_ms=300")
        )
        await asyncio.sleep(0.1)
        first = await fleet.request("127.0.7.2", "/a/?crash=1&work_ms=50")
        assert first.status == 502
        assert sum(server.crashes for server in fleet.servers.values()) == 2
        await sound
        for host in ("127.0.7.1", "127.0.7.3"):
            await fleet.servers[host].restart()
        await fleet.wait_for_status("127.0.7.4", "/a/sound", 200)
        for host, _, _ in MACHINES:
            again = await fleet.request(host, "/a/?crash=1&work_ms=50")
            assert again.status == 503
            assert float(again.headers["Retry-After"]) > 20
            assert (await fleet.request(host, "/a/sound")).status == 200

    run(test)


def test_configuration_that_cannot_be_read_changes_nothing() -> None:
    """Guards against a malformed publication that takes all routes away."""

    async def test(fleet: Fleet) -> None:
        fleet.store.put("op/config", b"{")
        revision = fleet.store.revision
        await fleet.wait_until(
            lambda: all(
                n.view.revision >= revision for n in fleet.nodes.values()
            )
        )
        assert (await fleet.request("127.0.7.1", "/a/")).status == 200

    run(test)


def test_draining_server_gets_no_requests_once_the_nodes_know() -> None:
    """Guards against requests that are lost when a drained server stops."""

    async def test(fleet: Fleet) -> None:
        entry = server_entry("127.0.7.1", "x", "joliette", "draining")
        fleet.store.put("servers/i-127.0.7.1", entry)
        await fleet.wait_until(
            lambda: all(
                n.view.revision >= fleet.store.revision
                for n in fleet.nodes.values()
            )
        )
        for _ in range(10):
            assert (await fleet.request("127.0.7.2", "/a/")).status == 200
        assert sum(fleet.servers["127.0.7.1"].runs.values()) == 0

    run(test)


def test_leaving_server_gets_requests_while_the_store_is_away() -> None:
    """Only its answers tell that it leaves, and its node may restart."""

    async def test(fleet: Fleet) -> None:
        server = fleet.servers["127.0.7.1"]
        fleet.store.status = 503
        server.statements = {names.SERVER_LEAVING: "1"}
        caller = "127.0.7.2"
        async with asyncio.timeout(WAIT_TIMEOUT_S):
            while not server.runs:
                await fleet.request(caller, "/a/")
        for _ in range(20):
            assert (await fleet.request(caller, "/a/")).status == 200
        assert sum(server.runs.values()) == 1
        await fleet.restart_node("127.0.7.1")
        for _ in range(20):
            assert (await fleet.request(caller, "/a/")).status == 200
            await asyncio.sleep(0.02)
        assert sum(server.runs.values()) == 1

    run(test)


def test_server_gets_more_than_its_stated_limit_over_a_restart() -> None:
    """The limit is for all nodes, and the node that keeps it may restart."""
    limit_per_s, window_s = 5, 4.0

    async def test(fleet: Fleet) -> None:
        for host in ("127.0.7.1", "127.0.7.3"):
            server = fleet.servers[host]
            server.statements = {names.SERVER_LIMIT: str(limit_per_s)}
        loop = asyncio.get_running_loop()
        end_s = loop.time() + 6.0

        async def send(host: str) -> None:
            while loop.time() < end_s:
                with contextlib.suppress(aiohttp.ClientError):
                    await fleet.request(host, "/a/")
                await asyncio.sleep(0.03)

        callers = [
            asyncio.create_task(send(host))
            for host, _, _ in MACHINES
            for _ in range(2)
        ]
        await asyncio.sleep(2.5)
        await fleet.restart_node("127.0.7.1")
        await asyncio.gather(*callers)
        for host in ("127.0.7.1", "127.0.7.3"):
            arrivals_s = [at_s for _, _, at_s in fleet.servers[host].arrivals]
            # Nodes know the limit half a second after the first statement.
            limited_s = [s for s in arrivals_s if s > end_s - 5.5]
            most = max(
                sum(start_s <= s < start_s + window_s for s in limited_s)
                for start_s in limited_s
            )
            assert most <= 1.5 * window_s * limit_per_s + 5
            assert most >= 0.5 * window_s * limit_per_s

    run(test)


def test_evacuated_zone_gets_no_requests() -> None:
    """Guards against failed requests while operators work on a zone."""

    async def test(fleet: Fleet) -> None:
        fleet.store.put("op/evacuate/joliette", {})
        await fleet.wait_until(
            lambda: all(
                n.view.zones_out == {"joliette"} for n in fleet.nodes.values()
            )
        )
        for _ in range(10):
            assert (await fleet.request("127.0.7.2", "/a/")).status == 200
        assert sum(fleet.servers["127.0.7.1"].runs.values()) == 0

    run(test)


def test_server_that_took_over_an_address_does_not_run_the_request() -> None:
    """Guards against a run at the wrong server if a store entry is outdated."""

    async def test(fleet: Fleet) -> None:
        fleet.servers["127.0.7.1"].server_id = "i-other"
        answer = await fleet.request("127.0.7.2", "/a/")
        assert answer.status == 200
        assert sum(fleet.servers["127.0.7.1"].runs.values()) == 0

    run(test)


def test_fleet_serves_while_the_store_is_unavailable() -> None:
    """Guards against an outage of the store that stops callers' requests."""

    async def test(fleet: Fleet) -> None:
        fleet.store.status = 503
        await asyncio.sleep(0.3)
        for host, _, _ in MACHINES:
            assert (await fleet.request(host, "/a/")).status == 200

    run(test)


def test_nodes_read_the_whole_state_after_the_history_is_lost() -> None:
    """Guards against outdated routes after a watch that gets status 410."""

    async def test(fleet: Fleet) -> None:
        fleet.store.put("op/config", configuration(3, [["/c/", "safe", "x"]]))
        fleet.store.forget_history()
        await fleet.wait_for_status("127.0.7.4", "/c/", 200)

    run(test)


def test_unsafe_request_runs_once() -> None:
    """Guards against a payment that runs twice or is answered without a run."""

    async def test(fleet: Fleet) -> None:
        for _ in range(10):
            answer = await fleet.request("127.0.7.1", "/pay/", "POST", b"10")
            assert answer.status == 200
        runs = [
            count for s in fleet.servers.values() for count in s.runs.values()
        ]
        assert runs == [1] * 10

    run(test)


def test_planned_stop_finishes_running_requests_and_is_not_ready() -> None:
    """Guards against a restart that cuts requests or still reports ready."""

    async def test(fleet: Fleet) -> None:
        fleet.servers["127.0.7.3"].work_s = 0.5
        fleet.servers["127.0.7.1"].work_s = 0.5
        running = [
            asyncio.create_task(fleet.request("127.0.7.1", "/a/"))
            for _ in range(4)
        ]
        await asyncio.sleep(0.1)
        stop = asyncio.create_task(fleet.nodes["127.0.7.1"].stop())
        await asyncio.sleep(0.1)
        async with fleet.http.get(
            f"http://127.0.7.1:{READY_PORT}/ready"
        ) as ready:
            assert ready.status == 503
        answers = await asyncio.gather(*running)
        assert {a.status for a in answers} == {200}
        later = await fleet.request("127.0.7.1", "/a/")
        assert later.status == 200
        assert later.headers["Connection"] == "close"
        async with asyncio.timeout(6):
            await stop

    run(test)


def test_planned_stop_cuts_no_request_while_callers_keep_sending() -> None:
    """Guards against a stop that cuts requests of callers that keep sending."""

    async def test(fleet: Fleet) -> None:
        host = "127.0.7.1"
        for server in fleet.servers.values():
            server.work_s = 0.6
        statuses: list[int] = []

        async def call_until_closed(number: int) -> None:
            await asyncio.sleep(0.15 * number)
            while True:
                try:
                    # The client library retries a lost GET by itself.
                    answer = await fleet.request(host, "/a/", "POST")
                except aiohttp.ClientConnectorError:
                    return
                statuses.append(answer.status)
                await asyncio.sleep(0.01)

        callers = [
            asyncio.create_task(call_until_closed(number))
            for number in range(4)
        ]
        await asyncio.sleep(0.6)
        async with asyncio.timeout(6):
            await fleet.nodes[host].stop()
            await asyncio.gather(*callers)
        assert {200, 503} == set(statuses)

    run(test)


def test_metrics_are_served() -> None:
    """Guards against dashboards without request count, version or latency."""

    async def test(fleet: Fleet) -> None:
        await fleet.request("127.0.7.1", "/a/")
        async with fleet.http.get(
            f"http://127.0.7.1:{METRICS_PORT}/metrics"
        ) as answer:
            text = await answer.text()
        assert "magnoliafork_requests_total 1\n" in text
        assert "magnoliafork_config_version 1\n" in text
        assert (
            'magnoliafork_answer_latency_seconds_count{service="x"} 1\n' in text
        )

    run(test)


def test_node_is_not_ready_without_a_configuration() -> None:
    """Guards against callers sent to a node that does not know its routes."""

    async def test(fleet: Fleet) -> None:
        node = fleet.nodes["127.0.7.1"]
        node.view.config = None
        async with fleet.http.get(
            f"http://127.0.7.1:{READY_PORT}/ready"
        ) as ready:
            assert ready.status == 503
        assert (await fleet.request("127.0.7.1", "/a/")).status == 503

    run(test)


def with_tenants(version: int, keys: list[str]) -> dict[str, Any]:
    """Returns a configuration with one tenant and a public route."""
    wanted = configuration(version, [*ROUTES, ["/open/", "safe", "x"]])
    routes = wanted["routes"]
    routes["columns"].append("public")
    for row in routes["rows"]:
        row.append(row[2] == "/open/")
    wanted["tenants"] = {
        "columns": ["name", "api_keys", "rate_per_s", "burst"],
        "rows": [["weaver", keys, 1000, 1000]],
    }
    return wanted


def test_requests_of_tenants_run_with_their_names_only() -> None:
    """Guards against keys at servers, forged tenants, and withdrawn keys."""

    async def test(fleet: Fleet) -> None:
        fleet.store.put("op/config", with_tenants(2, ["k1", "k2"]))
        key = {names.AUTHORIZATION: "token  k1", names.TENANT: "forged"}

        async def status(host: str, path: str, sent: dict[str, str]) -> int:
            return (await fleet.request(host, path, headers=sent)).status

        async with asyncio.timeout(WAIT_TIMEOUT_S):
            for host, _, _ in MACHINES:
                while await status(host, "/a/1", {}) != 401:
                    await asyncio.sleep(0.02)
                # Owners of quotas begin half a second after their start.
                while await status(host, "/a/1", key) != 200:
                    await asyncio.sleep(0.02)
        assert await status(HOST, "/open/1", {}) == 200
        wrong = {names.AUTHORIZATION: "Token k3"}
        assert await status(HOST, "/a/1", wrong) == 401
        for server in fleet.servers.values():
            for request in server.requests:
                assert names.AUTHORIZATION not in request.headers
                if request.path == "/a/1" and names.TENANT in request.headers:
                    assert request.headers.getall(names.TENANT) == ["weaver"]
        fleet.store.put("op/config", with_tenants(3, ["k2"]))
        async with asyncio.timeout(WAIT_TIMEOUT_S):
            for host, _, _ in MACHINES:
                while await status(host, "/a/1", key) != 401:
                    await asyncio.sleep(0.02)
        assert await status(HOST, "/a/1", {names.AUTHORIZATION: "Token k2"})

    run(test)


def test_node_that_cannot_reach_the_store_stops_accepting_keys() -> None:
    """Guards against a withdrawn key on nodes that the store turns away."""

    async def test(fleet: Fleet) -> None:
        fleet.store.put("op/config", with_tenants(2, ["k1"]))
        key = {names.AUTHORIZATION: "Token k1"}
        node = fleet.nodes[HOST]
        await fleet.wait_until(lambda: node.view.config_version == 2)
        await fleet.wait_until(lambda: 0.0 <= node.freshness.age_s() < 2.0)
        node.keys._policy = KeyPolicy(withdrawal_s=2.0)
        fleet.store.status = 503
        await fleet.wait_until(lambda: not node.keys.is_confirmed())
        refused = await fleet.request(HOST, "/a/1", headers=key)
        assert refused.status == 503
        assert float(refused.headers["Retry-After"]) > 0
        assert (await fleet.request(HOST, "/open/1")).status == 200
        fleet.store.status = 200
        async with asyncio.timeout(WAIT_TIMEOUT_S):
            while (
                await fleet.request(HOST, "/a/1", headers=key)
            ).status != 200:
                await asyncio.sleep(0.02)

    run(test)
