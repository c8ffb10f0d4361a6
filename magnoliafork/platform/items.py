"""Decodes the items of the platform's store."""

import functools
import ipaddress
import json
import math
from collections.abc import Callable
from typing import Any, TypeVar

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
from magnoliafork.model.result import Err, Ok, Result
from magnoliafork.platform import names
from magnoliafork.platform.config_problems import ConfigProblemsError, attempt
from magnoliafork.platform.tenants import decode_tenants

T = TypeVar("T")

# An entry with any other state is unreadable, so its upstream is not used.
_IS_READY_BY_STATE = {"ready": True, "draining": False}
_IS_REPEATABLE_BY_KIND = {"safe": True, "unsafe": False}
_DEFAULT_ATTEMPTS = 1
_DEFAULT_PRIORITY = 2
# Used for routes without a timeout; the platform's pages define no default.
_DEFAULT_TIMEOUT_MS = 10_000

# Ranges of numbers. Messages between nodes carry slots as 32 bits, times and
# counts as 64 bits.
_PORTS = range(1, 2**16)
_INT32 = range(2**31)
_INT64 = range(2**63)
_SLOTS = range(1, 2**31)
# Longer times are taken for a mistake.
_MAX_DURATION_MS = 86_400_000.0


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
    # What other writers put there fails in more ways than can be listed: nested
    # lists, for example, exceed the recursion limit of the JSON decoder.
    except Exception as error:  # noqa: BLE001
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
    # Lone surrogates, which no message can carry, are not printable either.
    if not value.isprintable():
        raise ValueError(f"{name} has characters that cannot be printed")
    return value


def _integer(value: Any, name: str, allowed: range = _INT32) -> int:
    if type(value) is not int:
        raise TypeError(f"{name} is not an integer")
    if value not in allowed:
        raise ValueError(f"{name} is out of range")
    return value


def _boolean(value: Any, name: str) -> bool:
    if not isinstance(value, bool):
        raise TypeError(f"{name} is neither true nor false")
    return value


def _number(value: Any, name: str) -> float:
    if isinstance(value, bool) or not isinstance(value, (int, float)):
        raise TypeError(f"{name} is not a number")
    number = float(value)
    if not math.isfinite(number):
        raise ValueError(f"{name} is not finite")
    return number


def _duration_s(milliseconds: Any, name: str) -> float:
    number_ms = _number(milliseconds, name)
    if number_ms > _MAX_DURATION_MS:
        raise ValueError(f"{name} is out of range")
    return max(0.0, number_ms / 1000)


def _address(value: Any) -> tuple[str, int]:
    host, _, port = _string(value, "address").rpartition(":")
    if not port.isascii() or not port.isdigit():
        raise ValueError("port is not a number")
    # There is no name lookup, so the host must be an IP address.
    ipaddress.ip_address(host)
    return host, _integer(int(port), "port", _PORTS)


def _header_value(value: Any, name: str) -> str:
    text = _string(value, name)
    if not text.isascii():
        raise ValueError(f"{name} cannot be sent in a header")
    return text


def _upstream(upstream_id: str, entry: dict[str, Any]) -> UpstreamEntry:
    info, status = entry["info"], entry["status"]
    host, port = _address(entry["address"])
    # Not used, but each upstream writes it: without it, it is another writer's.
    _string(info["version"], "version")
    state = _string(status["state"], "state")
    if state not in _IS_READY_BY_STATE:
        raise ValueError(f"unknown state {state!r}")
    return UpstreamEntry(
        upstream_id=_header_value(upstream_id, "id"),
        service=_string(info["service"], "service"),
        zone=_string(info["zone"], "zone"),
        host=host,
        port=port,
        slots=_integer(info["slots"], "slots", _SLOTS),
        is_ready=_IS_READY_BY_STATE[state],
        cold_left_s=_duration_s(status["cold_left_ms"], "cold_left_ms"),
        started_unix_ms=_integer(entry.get("born", 0), "born", _INT64),
        sequence=_integer(status["sequence"], "sequence", _INT64),
    )


def _rows(
    table: dict[str, Any], place: str, problems: list[str]
) -> list[tuple[str, dict[str, Any]]]:
    """Returns the rows of a table with their places."""
    columns = table["columns"]
    found = []
    for index, row in enumerate(table["rows"]):
        if len(row) != len(columns):
            problems.append(
                f"{place}[{index}]: {len(row)} values for"
                f" {len(columns)} columns"
            )
            continue
        pairs = zip(columns, row, strict=True)
        values = {name: value for name, value in pairs if value is not None}
        found.append((f"{place}[{index}]", values))
    return found


def _decode_rows(
    config: dict[str, Any],
    place: str,
    decode: Callable[[dict[str, Any]], T],
    problems: list[str],
) -> list[T]:
    rows = attempt(
        problems, place, lambda: _rows(config[place], place, problems)
    )
    decoded = [
        attempt(problems, at, functools.partial(decode, row))
        for at, row in rows or ()
    ]
    return [value for value in decoded if value is not None]


def _config(config: dict[str, Any]) -> MeshConfig:
    """Decodes a configuration.

    Raises:
        ConfigProblemsError: It is not valid; names all that is wrong.
    """
    problems: list[str] = []
    version = attempt(problems, "version", lambda: _version(config))
    services = _decode_rows(config, "services", _service, problems)
    routes = _decode_rows(config, "routes", _route, problems)
    limits = attempt(problems, "limits", lambda: _limits(config["limits"]))
    tenants = None
    if config.get("tenants") is not None:
        tenants = attempt(
            problems, "tenants", lambda: decode_tenants(config["tenants"])
        )
    if problems or version is None or limits is None:
        raise ConfigProblemsError(problems)
    return MeshConfig(
        version=version,
        routes=tuple(routes),
        services={service.name: service for service in services},
        limits=limits,
        tenants=tenants,
    )


def _version(config: dict[str, Any]) -> int:
    version = _string(config["version"], "version")
    if not version.startswith("r"):
        raise ValueError(f"version {version!r} does not begin with r")
    return _integer(int(version[1:]), "version", _INT64)


def decode_config(value: bytes) -> Result[MeshConfig, str]:
    """Decodes a configuration as nodes do; returns all errors otherwise."""
    try:
        return Ok(_config(_json_object(value)))
    except ConfigProblemsError as error:
        return Err(error.problems)
    except Exception as error:  # noqa: BLE001 - JSON fails in many ways
        return Err((f"{type(error).__name__}: {error}",))


def _route(row: dict[str, Any]) -> MeshRoute:
    timeout_ms = row.get("timeout_ms", _DEFAULT_TIMEOUT_MS)
    target_ms = row.get("target_latency_ms", timeout_ms)
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
        timeout_s=_duration_s(timeout_ms, "timeout_ms"),
        target_latency_s=_duration_s(target_ms, "target_latency_ms"),
        priority=_integer(row.get("priority", _DEFAULT_PRIORITY), "priority"),
        max_attempts=_integer(
            row.get("max_attempts", _DEFAULT_ATTEMPTS), "max_attempts"
        ),
        is_public=_boolean(row.get("public", False), "public"),
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
        header_bytes=_integer(
            limits["max_header_bytes"], "max_header_bytes", _INT64
        ),
        body_bytes=_integer(limits["max_body_bytes"], "max_body_bytes", _INT64),
        header_timeout_s=_duration_s(limits["header_timeout_ms"], "header"),
        idle_timeout_s=_duration_s(limits["idle_timeout_ms"], "idle"),
    )
