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

# An entry with any other state is unreadable, so its upstream is not used.
_IS_READY_BY_STATE = {"ready": True, "draining": False}
_IS_REPEATABLE_BY_KIND = {"safe": True, "unsafe": False}
_DEFAULT_ATTEMPTS = 1
_DEFAULT_PRIORITY = 2
# Used for routes without a timeout; the platform's pages define no default.
_DEFAULT_TIMEOUT_MS = 10_000

_DECODE_ERRORS = (ValueError, TypeError, KeyError, AttributeError, IndexError)


def decode_item(item: StoredItem) -> DecodedItem | None:
    """Decodes an item of the store.

    Returns:
        The decoded value, `UnreadableItem` with the reason if the value cannot
        be used, or None if the mesh does not use items with this key.
    """
    try:
        if item.key == names.CONFIG_KEY:
            return _config(_json_object(item.value))
        if item.key.startswith(names.EVACUATION_PREFIX):
            return ZoneOut(item.key.removeprefix(names.EVACUATION_PREFIX))
        if item.key.startswith(names.SERVER_PREFIX):
            upstream_id = item.key.removeprefix(names.SERVER_PREFIX)
            return _upstream(upstream_id, _json_object(item.value))
    except _DECODE_ERRORS as error:
        return UnreadableItem(f"{item.key}: {type(error).__name__}: {error}")
    return None


def _json_object(value: bytes) -> dict[str, Any]:
    decoded = json.loads(value)
    if not isinstance(decoded, dict):
        raise TypeError("not a JSON object")
    return decoded


def _string(value: Any, name: str) -> str:
    if not isinstance(value, str) or not value:
        raise TypeError(f"{name} is not a non-empty string")
    return value


def _integer(value: Any, name: str) -> int:
    if type(value) is not int:
        raise TypeError(f"{name} is not an integer")
    return value


def _number(value: Any, name: str) -> float:
    if isinstance(value, bool) or not isinstance(value, (int, float)):
        raise TypeError(f"{name} is not a number")
    return float(value)


def _upstream(upstream_id: str, entry: dict[str, Any]) -> UpstreamEntry:
    info, status = entry["info"], entry["status"]
    host, _, port = _string(entry["address"], "address").rpartition(":")
    state = _string(status["state"], "state")
    if state not in _IS_READY_BY_STATE:
        raise ValueError(f"unknown state {state!r}")
    sequence = _integer(status["sequence"], "sequence")
    cold_left_ms = _number(status["cold_left_ms"], "cold_left_ms")
    started_unix_ms = entry.get("born", 0)
    return UpstreamEntry(
        upstream_id=_string(upstream_id, "id"),
        service=_string(info["service"], "service"),
        zone=_string(info["zone"], "zone"),
        host=_string(host, "host"),
        port=int(port),
        slots=_integer(info["slots"], "slots"),
        is_ready=_IS_READY_BY_STATE[state],
        cold_left_s=max(0.0, cold_left_ms / 1000),
        started_unix_ms=_integer(started_unix_ms, "born"),
        sequence=sequence,
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
    version = _string(config["version"], "version")
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
                _string(part["service"], "service"),
                _number(part["weight"], "weight"),
            )
            for part in row["split"]
        )
    else:
        targets = (WeightedService(_string(row["service"], "service"), 1.0),)
    return MeshRoute(
        name=_string(row["name"], "name"),
        host=_string(row["host"], "host").lower(),
        prefix=_string(row["prefix"], "prefix"),
        targets=targets,
        # Requests of an unknown kind are never repeated, as they may be unsafe.
        is_repeatable=_IS_REPEATABLE_BY_KIND.get(row["kind"], False),
        timeout_s=timeout_ms / 1000,
        target_latency_s=target_ms / 1000,
        priority=_integer(row.get("priority", _DEFAULT_PRIORITY), "priority"),
        max_attempts=_integer(
            row.get("max_attempts", _DEFAULT_ATTEMPTS), "max_attempts"
        ),
    )


def _service(row: dict[str, Any]) -> MeshService:
    return MeshService(
        name=_string(row["name"], "name"),
        health_path=row.get("health_path", "/health"),
        max_connections=_integer(row["max_connections"], "max_connections"),
        cold_start_s=_number(row.get("cold_start_s", 0), "cold_start_s"),
        cold_requests_per_s=_number(row.get("cold_per_s", 0), "cold_per_s"),
    )


def _limits(limits: dict[str, Any]) -> CallerLimits:
    return CallerLimits(
        header_bytes=_integer(limits["max_header_bytes"], "max_header_bytes"),
        body_bytes=_integer(limits["max_body_bytes"], "max_body_bytes"),
        header_timeout_s=_number(limits["header_timeout_ms"], "header") / 1000,
        idle_timeout_s=_number(limits["idle_timeout_ms"], "idle") / 1000,
    )
