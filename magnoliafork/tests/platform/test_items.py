"""Decoding of store items, including malformed ones of other writers."""

import copy
import json
import math
from typing import Any

import pytest

from magnoliafork.mesh.model import (
    DecodedItem,
    MeshConfig,
    StoredItem,
    UnreadableItem,
    UpstreamEntry,
    ZoneOut,
)
from magnoliafork.platform.items import decode_item

ROUTES: dict[str, Any] = {
    "columns": [
        "name",
        "host",
        "prefix",
        "kind",
        "timeout_ms",
        "target_latency_ms",
        "priority",
        "split",
        "max_attempts",
        "service",
    ],
    "rows": [
        [
            "r1",
            "Shop.example",
            "/a/",
            "safe",
            1200,
            400,
            2,
            [{"service": "x", "weight": 90}, {"service": "y", "weight": 10}],
            2,
            None,
        ],
        ["r2", "shop.example", "/b/", "unsafe", 1500, 500, 1, None, 2, "z"],
    ],
}
CONFIG = {
    "version": "r7",
    "routes": ROUTES,
    "services": {
        "columns": [
            "name",
            "health_path",
            "max_connections",
            "protocol",
            "tls",
            "cold_start_s",
            "cold_per_s",
        ],
        "rows": [["x", "/health", 120, "h1", False, 3.0, 14.0]],
    },
    "limits": {
        "max_header_bytes": 16384,
        "max_body_bytes": 67108864,
        "header_timeout_ms": 3000,
        "idle_timeout_ms": 15000,
    },
}
SERVER: dict[str, Any] = {
    "address": "10.128.0.9:8080",
    "info": {"service": "x", "version": "v1", "zone": "joliette", "slots": 12},
    "status": {"state": "ready", "sequence": 4, "cold_left_ms": 1500},
    "born": 1_700_000_000_000,
}


def decode(key: str, value: Any) -> DecodedItem | None:
    raw = value if isinstance(value, bytes) else json.dumps(value).encode()
    return decode_item(StoredItem(key, 1, raw))


def test_configuration_is_decoded() -> None:
    """Guards against requests with a wrong target, timeout or retry rule."""
    config = decode("op/config", CONFIG)
    assert isinstance(config, MeshConfig)
    assert config.version == 7
    first, second = config.routes
    assert (first.host, first.timeout_s, first.is_repeatable) == (
        "shop.example",
        1.2,
        True,
    )
    assert [(t.service, t.weight) for t in first.targets] == [
        ("x", 90),
        ("y", 10),
    ]
    assert not second.is_repeatable
    assert second.targets[0].service == "z"
    assert config.services["x"].cold_requests_per_s == 14.0
    assert config.limits.idle_timeout_s == 15.0


def test_unknown_kind_of_route_is_not_repeated() -> None:
    """Repeating a request whose kind is unknown could run it twice."""
    rows = [[*ROUTES["rows"][0]]]
    rows[0][3] = "keyed"
    config = decode("op/config", {**CONFIG, "routes": {**ROUTES, "rows": rows}})
    assert isinstance(config, MeshConfig)
    assert not config.routes[0].is_repeatable


def test_server_entry_is_decoded() -> None:
    """Guards against requests to a wrong address and full load when cold."""
    server = decode("servers/i-1", SERVER)
    assert isinstance(server, UpstreamEntry)
    assert (server.upstream_id, server.host, server.port) == (
        "i-1",
        "10.128.0.9",
        8080,
    )
    assert server.is_ready
    assert server.cold_left_s == 1.5


def test_draining_server_is_not_ready() -> None:
    """Guards against new requests to a server that is about to stop."""
    status = {**SERVER["status"], "state": "draining"}
    server = decode("servers/i-1", {**SERVER, "status": status})
    assert isinstance(server, UpstreamEntry)
    assert not server.is_ready


@pytest.mark.parametrize(
    "value",
    [
        b"\xff\xfe\x00",
        b"[]",
        b"",
        {**SERVER, "status": {}},
        {**SERVER, "status": {**SERVER["status"], "state": "odd"}},
        {**SERVER, "status": {**SERVER["status"], "sequence": "4"}},
        {**SERVER, "info": {**SERVER["info"], "slots": "12"}},
        {**SERVER, "info": {**SERVER["info"], "version": 3}},
        {**SERVER, "info": {**SERVER["info"], "version": None}},
        {
            **SERVER,
            "info": {k: v for k, v in SERVER["info"].items() if k != "version"},
        },
        {**SERVER, "address": 7},
        {**SERVER, "address": "nowhere"},
        {**SERVER, "born": 1.5},
        {key: SERVER[key] for key in ("info", "status")},
    ],
)
def test_malformed_server_entry_is_unreadable(value: Any) -> None:
    """Guards against one bad entry that stops all updates of a node."""
    assert isinstance(decode("servers/i-1", value), UnreadableItem)


def with_value(path: tuple[str, ...], value: Any) -> dict[str, Any]:
    """Returns the server entry with one changed value."""
    changed = copy.deepcopy(SERVER)
    table = changed
    for name in path[:-1]:
        table = table[name]
    table[path[-1]] = value
    return changed


@pytest.mark.parametrize(
    "value",
    [
        b"[" * 100_000,
        b'{"address": ' + b"[" * 100_000 + b"]" * 100_000 + b"}",
        with_value(("status", "cold_left_ms"), 10**400),
        with_value(("status", "cold_left_ms"), math.inf),
        with_value(("status", "cold_left_ms"), math.nan),
        with_value(("status", "cold_left_ms"), 1e300),
        with_value(("status", "sequence"), 2**70),
        with_value(("status", "sequence"), -1),
        with_value(("born",), 2**70),
        with_value(("born",), -1),
        with_value(("info", "slots"), 2**70),
        with_value(("info", "slots"), 0),
        with_value(("info", "zone"), "\ud800"),
        with_value(("info", "service"), "a\r\nb"),
        with_value(("address",), "10.128.0.9:99999"),
        with_value(("address",), "10.128.0.9:-1"),
        with_value(("address",), "10.128.0.9:0"),
        with_value(("address",), f"10.128.0.9:{2**70}"),
        with_value(("address",), "10.128.0.9:\u0663\u0663"),
        with_value(("address",), "server.example:80"),
    ],
)
def test_server_entry_with_an_odd_value_is_unreadable(value: Any) -> None:
    """Guards against entries that end what reads, sends or uses them."""
    assert isinstance(decode("servers/i-1", value), UnreadableItem)


@pytest.mark.parametrize("key", ["servers/i-\u00e9", "servers/i-\r\nX: 1"])
def test_server_id_that_no_header_can_carry_is_unreadable(key: str) -> None:
    """Guards against ids that would change the headers of requests."""
    assert isinstance(decode(key, SERVER), UnreadableItem)


@pytest.mark.parametrize(
    ("column", "value"),
    [
        ("timeout_ms", math.inf),
        ("timeout_ms", 1e12),
        ("target_latency_ms", math.nan),
        ("priority", 2**40),
        ("max_attempts", -1),
    ],
)
def test_configuration_with_an_odd_number_is_unreadable(
    column: str, value: Any
) -> None:
    """Guards against routes whose requests cannot be sent to any peer."""
    row = list(ROUTES["rows"][0])
    row[ROUTES["columns"].index(column)] = value
    odd = {**CONFIG, "routes": {**ROUTES, "rows": [row]}}
    assert isinstance(decode("op/config", odd), UnreadableItem)


def test_malformed_configuration_is_rejected_as_a_whole() -> None:
    """Guards against 404 on routes that a partly read configuration lacks."""
    rows = [ROUTES["rows"][0], ["r2", None]]
    malformed = {**CONFIG, "routes": {**ROUTES, "rows": rows}}
    assert isinstance(decode("op/config", malformed), UnreadableItem)


def test_evacuated_zone_is_decoded() -> None:
    """Guards against an evacuation that leaves the zone's traffic as it is."""
    assert decode("op/evacuate/rawdon", {}) == ZoneOut("rawdon")


def test_keys_that_the_mesh_does_not_use_are_ignored() -> None:
    """Guards against warnings in the log about items of other programs."""
    assert decode("my/leader", {}) is None
