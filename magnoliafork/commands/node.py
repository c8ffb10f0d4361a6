"""Commands that show and drain a running node."""

import asyncio
import datetime
import json
from collections.abc import Callable
from typing import Any, TextIO, TypeVar

from magnoliafork.commands.admin_client import (
    AdminClient,
    AdminFailure,
    AdminTarget,
)
from magnoliafork.commands.exit_codes import ExitCode
from magnoliafork.commands.tables import format_table, printable
from magnoliafork.model.result import Err
from magnoliafork.model.version import Version
from magnoliafork.observe.status import (
    HistoryEntry,
    NodeStatus,
    RoutesStatus,
    RouteStatus,
)

WATCH_INTERVAL_S = 2.0
DIGEST_CHARACTERS = 12
CLEAR_SCREEN = "\x1b[2J\x1b[H"

T = TypeVar("T")


async def show_status(
    target: AdminTarget, output: TextIO, errors: TextIO, as_json: bool
) -> int:
    """Writes a node's status; a node that is not ready is a problem."""
    result = await AdminClient(target).get("/status", NodeStatus)
    if isinstance(result, Err):
        return _fail(result.errors[0], errors)
    status, value = result.value
    if as_json:
        output.write(json.dumps(value) + "\n")
    else:
        output.write(format_status(status))
    output.flush()
    return ExitCode.OK if status.is_ready else ExitCode.PROBLEM


async def watch_status(
    target: AdminTarget, output: TextIO, errors: TextIO, as_json: bool
) -> None:
    """Writes a node's status repeatedly until it is cancelled."""
    while True:
        if output.isatty() and not as_json:
            output.write(CLEAR_SCREEN)
        await show_status(target, output, errors, as_json)
        await asyncio.sleep(WATCH_INTERVAL_S)


async def show_history(
    target: AdminTarget, output: TextIO, errors: TextIO, as_json: bool
) -> int:
    """Writes a node's recent changes, oldest first."""
    return await _show(
        target,
        "/history",
        list[HistoryEntry],
        _history_text,
        output,
        errors,
        as_json,
    )


async def show_routes(
    target: AdminTarget, output: TextIO, errors: TextIO, as_json: bool
) -> int:
    """Writes the routes that a node has in force."""
    return await _show(
        target, "/routes", RoutesStatus, _routes_text, output, errors, as_json
    )


async def drain_node(
    target: AdminTarget, output: TextIO, errors: TextIO, as_json: bool
) -> int:
    """Begins a planned stop of a node."""
    result = await AdminClient(target).post("/drain")
    if isinstance(result, Err):
        return _fail(result.errors[0], errors)
    if as_json:
        output.write(json.dumps(result.value) + "\n")
    else:
        output.write(f"{target.url} takes no new work and stops\n")
    return ExitCode.OK


def format_status(status: NodeStatus) -> str:
    """Returns a node's status as text."""
    instance = status.instance
    rows: list[tuple[str, str]] = [
        ("instance", instance.instance_id),
        ("service", instance.service),
        ("zone", f"{instance.zone} (region {instance.region})"),
        ("state", _state(status)),
        ("version", _version(status.version)),
    ]
    rows += [
        ("rejected", f"{_version(r.version)}: {'; '.join(r.errors)}")
        for r in status.rejected
    ]
    members = [
        f"{count} {state.lower()}" for state, count in status.members.items()
    ]
    rows += [
        ("members", ", ".join(members) or "-"),
        ("zones out", ", ".join(status.zones_out) or "-"),
        ("drained", ", ".join(status.drained) or "-"),
        ("leaving", ", ".join(status.leaving) or "-"),
        ("upstream", _load(status)),
    ]
    text = "".join(f"{key:<10} {printable(value)}\n" for key, value in rows)
    return text + _neighbours(status) + _counters(status)


def _state(status: NodeStatus) -> str:
    if status.is_leaving:
        return "leaving"
    return "ready" if status.is_ready else "not ready"


def _version(version: Version) -> str:
    if not version.number:
        return "none"
    return f"{version.number} ({version.digest[:DIGEST_CHARACTERS]})"


def _load(status: NodeStatus) -> str:
    return (
        f"{status.active} of {status.limit} requests, {status.queued} queued,"
        f" ramp {status.ramp:.0%}"
    )


def _neighbours(status: NodeStatus) -> str:
    if not status.neighbours:
        return ""
    rows = [
        [n.instance_id, n.zone, n.version_number, f"{n.silent_ms} ms"]
        for n in status.neighbours
    ]
    headers = ["neighbour", "zone", "version", "silent for"]
    return "\n" + format_table(headers, rows)


def _counters(status: NodeStatus) -> str:
    if not status.counters:
        return ""
    rows = [[name, count] for name, count in status.counters.items()]
    return "\n" + format_table(["counter", "count"], rows)


async def _show(
    target: AdminTarget,
    path: str,
    model: type[T],
    to_text: Callable[[T], str],
    output: TextIO,
    errors: TextIO,
    as_json: bool,
) -> int:
    result = await AdminClient(target).get(path, model)
    if isinstance(result, Err):
        return _fail(result.errors[0], errors)
    decoded, value = result.value
    output.write(_json_line(value) if as_json else to_text(decoded))
    return ExitCode.OK


def _json_line(value: Any) -> str:
    return json.dumps(value) + "\n"


def _history_text(entries: list[HistoryEntry]) -> str:
    rows = [
        [
            _local_time(entry.at_unix_ms),
            entry.event,
            _version(Version(entry.version_number, entry.digest)),
            entry.detail,
        ]
        for entry in entries
    ]
    return format_table(["time", "event", "version", "detail"], rows)


def _local_time(unix_ms: int) -> str:
    moment = datetime.datetime.fromtimestamp(unix_ms / 1000).astimezone()
    return moment.isoformat(timespec="milliseconds")


def _routes_text(routes: RoutesStatus) -> str:
    if not routes.version_number:
        return "no configuration in force\n"
    headers = ["method", "host", "path", "targets", "rules", "asked by"]
    rows = [
        [
            route.method,
            route.host,
            route.path,
            " ".join(f"{name}:{w}" for name, w in route.targets.items()),
            _route_rules(route),
            route.asked_by,
        ]
        for route in routes.routes
    ]
    title = f"version {routes.version_number}\n"
    return title + format_table(headers, rows)


def _route_rules(route: RouteStatus) -> str:
    rules = [
        f"deadline={route.deadline_ms}ms",
        f"repeatable={'yes' if route.repeatable else 'no'}",
        f"retries={route.retries}",
        f"priority={route.priority}",
    ]
    if route.hedge_ms:
        rules.append(f"hedge={route.hedge_ms}ms")
    return " ".join(rules)


def _fail(failure: AdminFailure, errors: TextIO) -> int:
    errors.write(f"magnolia: {failure.message}\n")
    return failure.exit_code
