"""The configuration that is in force on a node."""

import dataclasses
from collections.abc import Mapping

from magnoliafork.model.manifest import Manifest
from magnoliafork.model.rules import RuleSet
from magnoliafork.model.version import Version


@dataclasses.dataclass(frozen=True, slots=True)
class Snapshot:
    """One complete, validated configuration version.

    Attributes:
        version: Version of the manifest.
        manifest: Manifest that lists the parts.
        parts: Part contents by digest, kept so that peers can fetch them.
        rules: Rules decoded from the parts.
    """

    version: Version
    manifest: Manifest
    parts: Mapping[str, bytes]
    rules: RuleSet
