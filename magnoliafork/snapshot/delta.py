"""Differences between two manifests, as peers exchange them."""

import dataclasses

from magnoliafork.model.manifest import SUPPORTED_FORMATS, Manifest, PartRef
from magnoliafork.model.result import Err, Result
from magnoliafork.model.version import Version
from magnoliafork.snapshot.assemble import check_manifest, unknown_format
from magnoliafork.snapshot.errors import ConfigError, ConfigErrorKind


@dataclasses.dataclass(frozen=True, slots=True)
class ManifestDelta:
    """Turns a base manifest into the manifest of a newer version.

    Attributes:
        format: Format of the target manifest.
        version: Version that the target must have.
        changed: Entries that are new or have another digest, in name order.
        removed: Names that the target does not have, in name order.
    """

    format: int
    version: Version
    changed: tuple[PartRef, ...]
    removed: tuple[str, ...]


def make_delta(base: Manifest | None, target: Manifest) -> ManifestDelta:
    """Returns the delta from a base; without a base it lists every entry."""
    base_parts = frozenset(base.parts) if base is not None else frozenset()
    target_names = {part.name for part in target.parts}
    return ManifestDelta(
        format=target.format,
        version=target.version(),
        changed=tuple(part for part in target.parts if part not in base_parts),
        removed=tuple(
            sorted({part.name for part in base_parts} - target_names)
        ),
    )


def apply_delta(
    base: Manifest | None, delta: ManifestDelta
) -> Result[Manifest, ConfigError]:
    """Rebuilds the target manifest from the base of the delta.

    An error of kind `DIGEST_MISMATCH` means that the delta was made from
    another base or was damaged, and a full transfer is needed. Any other
    error means that the target version itself cannot be used.
    """
    if delta.format not in SUPPORTED_FORMATS:
        return unknown_format(delta.format)
    entries = {part.name: part for part in base.parts} if base else {}
    for name in delta.removed:
        entries.pop(name, None)
    entries.update((part.name, part) for part in delta.changed)
    manifest = Manifest(
        delta.format,
        delta.version.number,
        tuple(entries[name] for name in sorted(entries)),
    )
    if not _has_version(manifest, delta.version):
        return Err(
            (
                ConfigError(
                    ConfigErrorKind.DIGEST_MISMATCH,
                    "",
                    "delta does not give the announced version",
                ),
            )
        )
    return check_manifest(manifest)


def _has_version(manifest: Manifest, version: Version) -> bool:
    try:
        return manifest.version() == version
    except UnicodeEncodeError:
        # A part name with a lone surrogate cannot be encoded as UTF-8.
        return False
