"""Decodes and checks the tenants of a configuration."""

import collections
import math
from typing import Any

from magnoliafork.mesh.model import Tenant
from magnoliafork.platform.config_problems import ConfigProblemsError

# Longest key; a header with it fits into the limits for callers.
MAX_KEY_BYTES = 1024
# Longest name; it is sent in a header.
MAX_NAME_BYTES = 256
MAX_PRIORITY = 2**31 - 1
_COLUMNS = frozenset(
    # Tenants with regions of their own are accepted; no rule about regions is
    # in force on the deployments served so far.
    ("name", "api_keys", "priority", "rate_per_s", "burst", "allowed_regions")
)


def decode_tenants(table: Any) -> tuple[Tenant, ...]:
    """Decodes the table of tenants, given as columns and rows.

    Raises:
        ConfigProblemsError: The table is not valid. It names every error with
            its row and field, and no key.
    """
    problems: list[str] = []
    rows = _rows(table, problems)
    tenants = [_tenant(index, row, problems) for index, row in rows]
    problems += _duplicates(tenants)
    if problems:
        raise ConfigProblemsError(problems)
    return tuple(tenants)


def _rows(table: Any, problems: list[str]) -> list[tuple[int, dict[str, Any]]]:
    if not isinstance(table, dict):
        problems.append("tenants: not a table of columns and rows")
        return []
    columns: Any = table.get("columns")
    rows: Any = table.get("rows")
    if not _is_list_of(columns, str) or not _is_list_of(rows, list):
        problems.append("tenants: columns and rows must be lists")
        return []
    problems += [
        f"tenants: unknown column {column[:40]!r}"
        for column in columns
        if column not in _COLUMNS
    ]
    if len(set(columns)) != len(columns):
        problems.append("tenants: a column is given twice")
    found = []
    for index, row in enumerate(rows):
        if len(row) != len(columns):
            problems.append(
                f"tenants[{index}]: {len(row)} values for"
                f" {len(columns)} columns"
            )
            continue
        values = zip(columns, row, strict=True)
        found.append((index, {k: v for k, v in values if v is not None}))
    return found


def _is_list_of(value: Any, kind: type) -> bool:
    return isinstance(value, list) and all(isinstance(v, kind) for v in value)


def _tenant(index: int, row: dict[str, Any], problems: list[str]) -> Tenant:
    place = f"tenants[{index}]"
    name = row.get("name")
    if not _is_header_text(name, MAX_NAME_BYTES):
        problems.append(
            f"{place}.name: must be 1 to {MAX_NAME_BYTES} printable ASCII"
            " characters"
        )
        name = ""
    return Tenant(
        name=str(name),
        api_keys=_keys(f"{place}.api_keys", row.get("api_keys", []), problems),
        priority=_priority(f"{place}.priority", row.get("priority"), problems),
        rate_per_s=_amount(f"{place}.rate_per_s", row, "rate_per_s", problems),
        burst=_amount(f"{place}.burst", row, "burst", problems),
    )


def _is_header_text(value: Any, max_bytes: int) -> bool:
    return (
        isinstance(value, str)
        and 0 < len(value) <= max_bytes
        and value.isascii()
        and value.isprintable()
        and value == value.strip()
    )


def _keys(place: str, keys: Any, problems: list[str]) -> tuple[str, ...]:
    if not isinstance(keys, list):
        problems.append(f"{place}: must be a list")
        return ()
    valid = []
    for index, key in enumerate(keys):
        # A key with a blank could not be told from two values of a header.
        if not _is_header_text(key, MAX_KEY_BYTES) or " " in key:
            problems.append(
                f"{place}[{index}]: must be 1 to {MAX_KEY_BYTES} printable"
                " ASCII characters without blanks"
            )
            continue
        valid.append(key)
    return tuple(valid)


def _priority(place: str, value: Any, problems: list[str]) -> int | None:
    if value is None:
        return None
    if type(value) is not int or not 0 <= value <= MAX_PRIORITY:
        problems.append(f"{place}: must be an integer from 0")
        return None
    return value


def _amount(
    place: str, row: dict[str, Any], column: str, problems: list[str]
) -> float:
    value = row.get(column, 0)
    if (
        isinstance(value, bool)
        or not isinstance(value, (int, float))
        or not 0 <= value < math.inf
    ):
        problems.append(f"{place}: must be a finite number from 0")
        return 0.0
    return float(value)


def _duplicates(tenants: list[Tenant]) -> list[str]:
    names = collections.Counter(tenant.name for tenant in tenants)
    problems = [
        f"tenants: the name {name!r} is given {count} times"
        for name, count in names.items()
        if name and count > 1
    ]
    holders: dict[str, list[int]] = {}
    for index, tenant in enumerate(tenants):
        for key in set(tenant.api_keys):
            holders.setdefault(key, []).append(index)
    shared = sorted({tuple(h) for h in holders.values() if len(h) > 1})
    for indexes in shared:
        who = ", ".join(tenants[index].name for index in indexes)
        problems.append(f"tenants: a key is held by several tenants: {who}")
    return problems
