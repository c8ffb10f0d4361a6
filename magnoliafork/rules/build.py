"""Builds the manifest and the parts of a rules file."""

import dataclasses
from collections.abc import Mapping

from magnoliafork.model import bundle
from magnoliafork.model.manifest import Manifest
from magnoliafork.model.result import Err, Ok, Result
from magnoliafork.rules.errors import RuleError
from magnoliafork.rules.format1.encode import encode
from magnoliafork.rules.format1.manifest import PartProblem, check_manifest
from magnoliafork.rules.parser import ParsedFile, parse_with_recovery
from magnoliafork.rules.validate import validate


@dataclasses.dataclass(frozen=True, slots=True)
class Build:
    """A configuration version that is ready to be published.

    Attributes:
        manifest: Manifest of the version.
        parts: Part contents by digest.
    """

    manifest: Manifest
    parts: Mapping[str, bytes]

    def bundles(self) -> tuple[bytes, ...]:
        """Packs the parts into bundles, each stored as one value."""
        return bundle.pack(
            [self.parts[ref.digest] for ref in self.manifest.parts]
        )


def load(text: str) -> Result[ParsedFile, RuleError]:
    """Parses and validates a rules file; reports all errors at once."""
    outcome = parse_with_recovery(text)
    semantic = validate(outcome.file, outcome.unparsed_names)
    if outcome.errors:
        # Errors about the whole file, such as a missing service, may be
        # due to a line that could not be parsed.
        semantic = tuple(error for error in semantic if error.line > 0)
    errors = tuple(sorted((*outcome.errors, *semantic)))
    if errors:
        return Err(errors)
    return Ok(outcome.file)


def build(text: str, version_number: int) -> Result[Build, RuleError]:
    """Builds a configuration version from the text of a rules file."""
    loaded = load(text)
    if isinstance(loaded, Err):
        return loaded
    document = loaded.value.document
    manifest, parts = encode(document, version_number)
    errors = tuple(
        RuleError(0, 0, _describe(problem), "")
        for problem in check_manifest(manifest)
    )
    if errors:
        return Err(errors)
    return Ok(Build(manifest, parts))


def _describe(problem: PartProblem) -> str:
    if problem.part:
        return f"part {problem.part}: {problem.message}"
    return problem.message
