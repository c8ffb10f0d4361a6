"""Builds a validated snapshot from a manifest and its parts.

The result depends only on the content, and the checks of format 1 must not
change, so that all nodes accept or reject the same versions.
"""

import itertools
import types
from collections.abc import Iterable, Iterator, Mapping

from magnoliafork.model.manifest import (
    MAX_PART_BYTES,
    SUPPORTED_FORMATS,
    Manifest,
    PartRef,
    sha256_hex,
)
from magnoliafork.model.result import Err, Ok, Result
from magnoliafork.model.snapshot import Snapshot
from magnoliafork.rules.document import Kind, RuleDocument, RuleRef
from magnoliafork.rules.format1 import check, limits
from magnoliafork.rules.format1 import manifest as manifest_check
from magnoliafork.snapshot.decode import (
    MAX_REPORTED_ERRORS,
    decode_json,
    decode_part,
    rule_error,
)
from magnoliafork.snapshot.errors import (
    ConfigError,
    ConfigErrorKind,
    config_error,
)
from magnoliafork.snapshot.part_models import FormatModel, ManifestModel


def parse_manifest(content: bytes) -> Result[Manifest, ConfigError]:
    """Decodes a manifest; only its canonical encoding is accepted."""
    if len(content) > MAX_PART_BYTES:
        return _malformed("manifest is too long")
    format_only = decode_json(FormatModel, "", content)
    if isinstance(format_only, Err):
        return format_only
    if format_only.value.format not in SUPPORTED_FORMATS:
        return unknown_format(format_only.value.format)
    decoded = decode_json(ManifestModel, "", content)
    if isinstance(decoded, Err):
        return decoded
    manifest = Manifest(
        decoded.value.format,
        decoded.value.version_number,
        tuple(PartRef(*part) for part in decoded.value.parts),
    )
    checked = check_manifest(manifest)
    if isinstance(checked, Ok) and manifest.to_bytes() != content:
        return _malformed("manifest is not canonical JSON")
    return checked


def check_manifest(manifest: Manifest) -> Result[Manifest, ConfigError]:
    """Checks a manifest without the contents of its parts."""
    if manifest.format not in SUPPORTED_FORMATS:
        return unknown_format(manifest.format)
    errors = tuple(
        config_error(ConfigErrorKind.INVALID, problem.part, problem.message)
        for problem in manifest_check.check_manifest(manifest)
    )
    if errors:
        return Err(errors[:MAX_REPORTED_ERRORS])
    return Ok(manifest)


def assemble(
    manifest: Manifest, parts: Mapping[str, bytes]
) -> Result[Snapshot, ConfigError]:
    """Builds the snapshot of a version from all of its parts.

    Args:
        manifest: Manifest of the version.
        parts: Part contents by digest; contents that the manifest does not
            name are ignored.

    Returns:
        The snapshot or the errors. Either all errors are about parts that are
        missing or damaged (see `errors.is_incomplete`), or all are errors of
        the version itself.
    """
    return Assembler().assemble(manifest, parts)


def read_document(
    manifest: Manifest, parts: Mapping[str, bytes]
) -> Result[RuleDocument, ConfigError]:
    """Returns all rules of a version, including their comments.

    It accepts and rejects the same versions as `assemble`.
    """
    return Assembler().read_document(manifest, parts)


class Assembler:
    """Assembles versions and decodes only the parts that have changed.

    The result equals that of `assemble`. Decoding all parts at the target
    size takes tens of milliseconds, during which the node's event loop is
    blocked.
    """

    def __init__(self) -> None:
        """Creates an assembler without any decoded parts."""
        self._decoded: dict[PartRef, RuleDocument] = {}

    def assemble(
        self, manifest: Manifest, parts: Mapping[str, bytes]
    ) -> Result[Snapshot, ConfigError]:
        """Builds a snapshot like the function `assemble`."""
        read = self.read_document(manifest, parts)
        if isinstance(read, Err):
            return read
        contents = {ref.digest: parts[ref.digest] for ref in manifest.parts}
        return Ok(
            Snapshot(
                version=manifest.version(),
                manifest=manifest,
                parts=types.MappingProxyType(contents),
                rules=read.value.to_rule_set(),
            )
        )

    def read_document(
        self, manifest: Manifest, parts: Mapping[str, bytes]
    ) -> Result[RuleDocument, ConfigError]:
        """Returns the rules like the function `read_document`."""
        checked = check_manifest(manifest)
        if isinstance(checked, Err):
            return checked
        incomplete = tuple(_incomplete_errors(manifest, parts))
        if incomplete:
            return Err(incomplete[:MAX_REPORTED_ERRORS])
        decoded = self._decode(manifest, parts)
        if isinstance(decoded, Err):
            return decoded
        document = _merge_documents(decoded.value.values())
        errors = tuple(_cross_rule_errors(document))
        if errors:
            return Err(errors[:MAX_REPORTED_ERRORS])
        self._decoded = decoded.value
        return Ok(document)

    def _decode(
        self, manifest: Manifest, parts: Mapping[str, bytes]
    ) -> Result[dict[PartRef, RuleDocument], ConfigError]:
        documents: dict[PartRef, RuleDocument] = {}
        errors: list[ConfigError] = []
        for ref in manifest.parts:
            cached = self._decoded.get(ref)
            if cached is not None:
                documents[ref] = cached
                continue
            decoded = decode_part(ref, parts[ref.digest])
            if isinstance(decoded, Err):
                errors.extend(decoded.errors)
            else:
                documents[ref] = decoded.value
        if errors:
            return Err(tuple(errors[:MAX_REPORTED_ERRORS]))
        return Ok(documents)


def _incomplete_errors(
    manifest: Manifest, parts: Mapping[str, bytes]
) -> Iterator[ConfigError]:
    for ref in manifest.parts:
        content = parts.get(ref.digest)
        if content is None:
            yield config_error(
                ConfigErrorKind.MISSING_PART, ref.name, "part is missing"
            )
        elif sha256_hex(content) != ref.digest:
            yield config_error(
                ConfigErrorKind.DIGEST_MISMATCH,
                ref.name,
                "content does not match the digest",
            )


def _merge_documents(documents: Iterable[RuleDocument]) -> RuleDocument:
    chain = itertools.chain.from_iterable
    items = tuple(documents)
    return RuleDocument(
        tuple(chain(item.zones for item in items)),
        tuple(chain(item.services for item in items)),
        tuple(chain(item.routes for item in items)),
        tuple(chain(item.drains for item in items)),
    )


def _cross_rule_errors(document: RuleDocument) -> Iterator[ConfigError]:
    for problem in check.check_across_rules(document):
        yield rule_error(_part_name(document, problem.subject), problem)


def _part_name(document: RuleDocument, subject: RuleRef) -> str:
    match subject.kind:
        case Kind.FILE:
            return ""
        case Kind.SERVICE:
            service = document.services[subject.index]
            return limits.SERVICE_PREFIX + service.name
        case Kind.ROUTE:
            route = document.routes[subject.index]
            return limits.ROUTES_PREFIX + route.targets[0].service
        case _:
            return limits.OPERATIONS_PART


def _malformed(message: str) -> Err[ConfigError]:
    return Err((config_error(ConfigErrorKind.MALFORMED, "", message),))


def unknown_format(number: int) -> Err[ConfigError]:
    """Returns the error for a format that this release does not know."""
    supported = ", ".join(str(item) for item in sorted(SUPPORTED_FORMATS))
    message = f"format {number} is unknown; known: {supported}"
    return Err((config_error(ConfigErrorKind.UNKNOWN_FORMAT, "", message),))
