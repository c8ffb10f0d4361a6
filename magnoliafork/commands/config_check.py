"""Command that checks a configuration of the mesh before it is sent."""

import asyncio
import dataclasses
import json
import pathlib
from typing import TextIO

from magnoliafork.commands.exit_codes import ExitCode
from magnoliafork.commands.tables import format_table
from magnoliafork.mesh.config_review import (
    Difference,
    Finding,
    NodeLimits,
    differences,
    review,
)
from magnoliafork.mesh.ingress import MAX_BODY_BYTES, MAX_HEADER_BYTES
from magnoliafork.mesh.model import MeshConfig
from magnoliafork.mesh.published_store import StoreUnavailable
from magnoliafork.model.result import Err, Result
from magnoliafork.platform.items import decode_config
from magnoliafork.platform.store import PlatformStore


def check_config(
    path: pathlib.Path, against: str, output: TextIO, *, as_json: bool
) -> int:
    """Writes the errors, oddities and differences of a configuration.

    Args:
        path: File with the value that is to be written to the store.
        against: Address of the store, `IP:PORT`, or a file with the version in
            force; empty for none.
        output: Where the result is written.
        as_json: Whether it is written as JSON.

    Returns:
        The exit code: a problem if nodes would refuse the configuration or
        something is odd about it; differences are none.
    """
    try:
        decoded = decode_config(path.read_bytes())
    except OSError as error:
        output.write(f"{path}: cannot be read: {error.strerror}\n")
        return ExitCode.USAGE
    if isinstance(decoded, Err):
        _write(output, as_json=as_json, errors=decoded.errors)
        return ExitCode.PROBLEM
    config = decoded.value
    limits = NodeLimits(MAX_HEADER_BYTES, MAX_BODY_BYTES)
    found = review(config, limits)
    changes: list[Difference] | None = None
    if against:
        known = _in_force(against)
        if isinstance(known, str):
            output.write(f"{against}: {known}\n")
            return ExitCode.UNREACHABLE
        changes = differences(known, config)
    _write(output, as_json=as_json, findings=found, changes=changes)
    return ExitCode.PROBLEM if found else ExitCode.OK


def _in_force(against: str) -> MeshConfig | str:
    """Reads the configuration in force; returns why it cannot be read."""
    path = pathlib.Path(against)
    decoded: Result[MeshConfig, str]
    if path.exists():
        decoded = decode_config(path.read_bytes())
    else:
        value = asyncio.run(_read_store(against))
        if isinstance(value, str):
            return value
        decoded = decode_config(value)
    if isinstance(decoded, Err):
        return f"the version in force is not valid: {decoded.errors[0]}"
    return decoded.value


async def _read_store(address: str) -> bytes | str:
    try:
        store = PlatformStore(address)
    except ValueError:
        return "neither a file nor an address, IP:PORT"
    try:
        value = await store.read_config()
    finally:
        await store.close()
    if isinstance(value, StoreUnavailable):
        return value.detail
    return value if value is not None else "there is no configuration"


def _write(
    output: TextIO,
    *,
    as_json: bool,
    errors: tuple[str, ...] = (),
    findings: list[Finding] | None = None,
    changes: list[Difference] | None = None,
) -> None:
    if as_json:
        value = {
            "errors": list(errors),
            "findings": [dataclasses.asdict(f) for f in findings or ()],
            "differences": [dataclasses.asdict(c) for c in changes or ()],
        }
        output.write(json.dumps(value) + "\n")
        return
    rows = [["error", "", text] for text in errors]
    rows += [["odd", f.place, f.text] for f in findings or ()]
    rows += [[c.kind, c.place, c.text] for c in changes or ()]
    if rows:
        output.write(format_table(["kind", "entry", "what"], rows))
    elif changes is not None:
        output.write("ok, no differences\n")
    else:
        output.write("ok\n")
