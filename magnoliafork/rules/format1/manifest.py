"""Validation of the manifest of a version."""

import dataclasses
import re
from collections.abc import Iterator

from magnoliafork.model.manifest import MAX_PART_BYTES, Manifest, PartRef
from magnoliafork.rules.format1 import limits

_DIGEST = re.compile(r"[0-9a-f]{64}")


@dataclasses.dataclass(frozen=True, slots=True)
class PartProblem:
    """One violation found in a manifest.

    Attributes:
        part: Name of the part, or an empty string for the manifest itself.
        message: What is wrong.
    """

    part: str
    message: str


def check_manifest(manifest: Manifest) -> tuple[PartProblem, ...]:
    """Returns all problems that make a manifest of this format invalid."""
    problems: list[PartProblem] = []
    if not 1 <= manifest.version_number <= limits.MAX_VERSION_NUMBER:
        problems.append(
            PartProblem(
                "", f"version number {manifest.version_number} is out of range"
            )
        )
    names = [part.name for part in manifest.parts]
    if names != sorted(set(names)):
        problems.append(
            PartProblem("", "part names are not unique and in order")
        )
    if limits.OPERATIONS_PART not in names:
        problems.append(
            PartProblem(limits.OPERATIONS_PART, "part is not listed")
        )
    for part in manifest.parts:
        problems.extend(_check_part_ref(part))
    total_bytes = sum(part.size_bytes for part in manifest.parts)
    if total_bytes > limits.MAX_TOTAL_BYTES:
        problems.append(
            PartProblem(
                "",
                f"parts have {total_bytes} bytes together, at most "
                f"{limits.MAX_TOTAL_BYTES} are allowed",
            )
        )
    if not problems and len(manifest.to_bytes()) > MAX_PART_BYTES:
        problems.append(
            PartProblem("", f"manifest has more than {MAX_PART_BYTES} bytes")
        )
    return tuple(problems)


def is_part_name(name: str) -> bool:
    """Returns whether a part of this format may have this name."""
    if name == limits.OPERATIONS_PART:
        return True
    prefix, slash, service = name.partition("/")
    if prefix + slash not in (limits.SERVICE_PREFIX, limits.ROUTES_PREFIX):
        return False
    return limits.NAME.fullmatch(service) is not None


def _check_part_ref(part: PartRef) -> Iterator[PartProblem]:
    if not is_part_name(part.name):
        yield PartProblem(part.name, "unknown kind of part")
    if not _DIGEST.fullmatch(part.digest):
        yield PartProblem(part.name, "digest is not a SHA-256 in hexadecimal")
    if not 1 <= part.size_bytes <= MAX_PART_BYTES:
        yield PartProblem(
            part.name,
            f"part has {part.size_bytes} bytes, 1 to {MAX_PART_BYTES} are "
            "allowed",
        )
