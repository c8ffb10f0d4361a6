"""Decodes the items of the platform's store."""

import json
from typing import Any

from magnoliafork.mesh.model import (
    CallerLimits,
    DecodedItem,
    MeshConfig,
    MeshRoute,
    MeshService,
    StoredItem,
    UnreadableItem,
    UpstreamEntry,
    WeightedService,
    ZoneOut,
)
from magnoliafork.platform import names

# Other states name no upstream to use.
_STATES = {"ready": True, "draining": False}
_KINDS = {"safe": True, "unsafe": False}
_DEFAULT_ATTEMPTS = 1
_DEFAULT_PRIORITY = 2
# Used where a route leaves its times out; the pages name no default.
_DEFAULT_TIMEOUT_MS = 10_000

_Errors = (ValueError, TypeError, KeyError, AttributeError, IndexError)


def decode_item(item: StoredItem) -> DecodedItem | None:
    """Decodes an item of the store.

    Returns:
        What it says, `UnreadableItem` with the reason if it says nothing that
        can be used, or None if it is of no concern to the mesh.
    """
    try:
        if item.key == names.CONFIG_KEY:
            return _config(_object(item.value))
        if item.key.startswith(names.EVACUATION_PREFIX):
            return ZoneOut(item.key.removeprefix(names.EVACUATION_PREFIX))
        if item.key.startswith(names.SERVER_PREFIX):
            upstream_id = item.key.removeprefix(names.SERVER_PREFIX)
            return _upstream(upstream_id, _object(item.value))
    except _Errors as error:
        return UnreadableItem(f"{item.key}: {type(error).__name__}: {error}")
    return None


def _object(value: bytes) -> dict[str, Any]:
    decoded = json.loads(value)
    if not isinstance(decoded, dict):
        raise TypeError("not an object")
    return decoded


def _text(value: Any, name: str) -> str:
    if not isinstance(value, str) or not value:
        raise TypeError(f"{name} is not a text")
    return value


def _whole(value: Any, name: str) -> int:
    if type(value) is not int:
        raise TypeError(f"{name} is not a whole number")
    return value


def _number(value: Any, name: str) -> float:
    if isinstance(value, bool) or not isinstance(value, (int, float)):
        raise TypeError(f"{name} is not a number")
    return float(value)


def _upstream(upstream_id: str, entry: dict[str, Any]) -> UpstreamEntry:
    info, status = entry["info"], entry["status"]
    host, _, port = _text(entry["address"], "address").rpartition(":")
    state = _text(status["state"], "state")
    if state not in _STATES:
        raise ValueError(f"unknown state {state!r}")
    _whole(status["sequence"], "sequence")
    cold_left_ms = _number(status["cold_left_ms"], "cold_left_ms")
    started_unix_ms = entry.get("born", 0)
    return UpstreamEntry(
        upstream_id=_text(upstream_id, "id"),
        service=_text(info["service"], "service"),
        zone=_text(info["zone"], "zone"),
        host=_text(host, "host"),
        port=int(port),
        slots=_whole(info["slots"], "slots"),
        is_ready=_STATES[state],
        cold_left_s=max(0.0, cold_left_ms / 1000),
        started_unix_ms=_whole(started_unix_ms, "born"),
    )


def _rows(table: dict[str, Any]) -> list[dict[str, Any]]:
    columns = table["columns"]
    return [
        {
            name: value
            for name, value in zip(columns, row, strict=True)
            if value is not None
        }
        for row in table["rows"]
    ]


def _config(config: dict[str, Any]) -> MeshConfig:
    version = _text(config["version"], "version")
    if not version.startswith("r"):
        raise ValueError(f"version {version!r} does not begin with r")
    services = [_service(row) for row in _rows(config["services"])]
    return MeshConfig(
        version=int(version[1:]),
        routes=tuple([_route(row) for row in _rows(config["routes"])]),
        services={service.name: service for service in services},
        limits=_limits(config["limits"]),
    )


def _route(row: dict[str, Any]) -> MeshRoute:
    timeout_ms = _number(
        row.get("timeout_ms", _DEFAULT_TIMEOUT_MS), "timeout_ms"
    )
    target_ms = _number(
        row.get("target_latency_ms", timeout_ms), "target_latency_ms"
    )
    if "split" in row:
        targets = tuple(
            WeightedService(
                _text(part["service"], "service"),
                _number(part["weight"], "weight"),
            )
            for part in row["split"]
        )
    else:
        targets = (WeightedService(_text(row["service"], "service"), 1.0),)
    return MeshRoute(
        name=_text(row["name"], "name"),
        host=_text(row["host"], "host").lower(),
        prefix=_text(row["prefix"], "prefix"),
        targets=targets,
        # A kind that is not known may at least not be repeated.
        is_repeatable=_KINDS.get(row["kind"], False),
        timeout_s=timeout_ms / 1000,
        target_latency_s=target_ms / 1000,
        priority=_whole(row.get("priority", _DEFAULT_PRIORITY), "priority"),
        max_attempts=_whole(
            row.get("max_attempts", _DEFAULT_ATTEMPTS), "max_attempts"
        ),
    )


def _service(row: dict[str, Any]) -> MeshService:
    return MeshService(
        name=_text(row["name"], "name"),
        health_path=row.get("health_path", "/health"),
        max_connections=_whole(row["max_connections"], "max_connections"),
        cold_start_s=_number(row.get("cold_start_s", 0), "cold_start_s"),
        cold_requests_per_s=_number(row.get("cold_per_s", 0), "cold_per_s"),
    )


def _limits(limits: dict[str, Any]) -> CallerLimits:
    return CallerLimits(
        header_bytes=_whole(limits["max_header_bytes"], "max_header_bytes"),
        body_bytes=_whole(limits["max_body_bytes"], "max_body_bytes"),
        header_timeout_s=_number(limits["header_timeout_ms"], "header") / 1000,
        idle_timeout_s=_number(limits["idle_timeout_ms"], "idle") / 1000,
    )
