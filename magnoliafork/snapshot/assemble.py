"""Turns a manifest and its parts into a validated snapshot.

The result depends on the content alone and is frozen for format 1, so all
nodes accept or reject a version alike.
"""

import types
from collections.abc import Iterator, Mapping
from typing import TypeVar

import pydantic

from magnoliafork.model.manifest import (
    MAX_PART_BYTES,
    SUPPORTED_FORMATS,
    Manifest,
    PartRef,
    sha256_hex,
)
from magnoliafork.model.result import Err, Ok, Result
from magnoliafork.model.rules import RouteRule, ServiceRule
from magnoliafork.model.snapshot import Snapshot
from magnoliafork.rules import format1
from magnoliafork.rules.document import (
    DrainRule,
    Kind,
    RuleDocument,
    Subject,
    ZoneRule,
)
from magnoliafork.snapshot.errors import ConfigError, ConfigErrorKind
from magnoliafork.snapshot.part_models import (
    FormatModel,
    ManifestModel,
    OperationsModel,
    RoutesModel,
    ServiceModel,
)

# Bounds the memory and the log lines that one bad version can take.
MAX_REPORTED_ERRORS = 100

_Model = TypeVar("_Model", bound=pydantic.BaseModel)


def parse_manifest(content: bytes) -> Result[Manifest, ConfigError]:
    """Decodes a manifest; only its canonical encoding is accepted."""
    if len(content) > MAX_PART_BYTES:
        return _err(ConfigErrorKind.MALFORMED, "", "manifest is too long")
    probe = _decode_json(FormatModel, "", content)
    if isinstance(probe, Err):
        return probe
    if probe.value.format not in SUPPORTED_FORMATS:
        return _unknown_format(probe.value.format)
    decoded = _decode_json(ManifestModel, "", content)
    if isinstance(decoded, Err):
        return decoded
    manifest = Manifest(
        decoded.value.format,
        decoded.value.version_number,
        tuple(PartRef(*part) for part in decoded.value.parts),
    )
    checked = check_manifest(manifest)
    if isinstance(checked, Ok) and manifest.to_bytes() != content:
        return _err(
            ConfigErrorKind.MALFORMED, "", "manifest is not canonical JSON"
        )
    return checked


def check_manifest(manifest: Manifest) -> Result[Manifest, ConfigError]:
    """Checks everything about a manifest but the contents of its parts."""
    if manifest.format not in SUPPORTED_FORMATS:
        return _unknown_format(manifest.format)
    errors = tuple(
        ConfigError(ConfigErrorKind.INVALID, problem.part, problem.message)
        for problem in format1.check_manifest(manifest)
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
        The snapshot, or either only errors of a torn publication (see
        `errors.is_torn`) or only errors of the version itself.
    """
    checked = check_manifest(manifest)
    if isinstance(checked, Err):
        return checked
    torn = tuple(_torn_errors(manifest, parts))
    if torn:
        return Err(torn[:MAX_REPORTED_ERRORS])
    decoded = _decode_parts(manifest, parts)
    if isinstance(decoded, Err):
        return decoded
    document = decoded.value
    errors = tuple(_rule_errors(document)) or tuple(
        _encoding_errors(document, manifest)
    )
    if errors:
        return Err(errors[:MAX_REPORTED_ERRORS])
    contents = {ref.digest: parts[ref.digest] for ref in manifest.parts}
    return Ok(
        Snapshot(
            version=manifest.version(),
            manifest=manifest,
            parts=types.MappingProxyType(contents),
            rules=document.to_rule_set(),
        )
    )


def _torn_errors(
    manifest: Manifest, parts: Mapping[str, bytes]
) -> Iterator[ConfigError]:
    for ref in manifest.parts:
        content = parts.get(ref.digest)
        if content is None:
            yield ConfigError(
                ConfigErrorKind.MISSING_PART, ref.name, "part is missing"
            )
        elif sha256_hex(content) != ref.digest:
            yield ConfigError(
                ConfigErrorKind.DIGEST_MISMATCH,
                ref.name,
                "content does not match the digest",
            )


def _decode_parts(
    manifest: Manifest, parts: Mapping[str, bytes]
) -> Result[RuleDocument, ConfigError]:
    zones: list[ZoneRule] = []
    services: list[ServiceRule] = []
    routes: list[RouteRule] = []
    drains: list[DrainRule] = []
    errors: list[ConfigError] = []
    for ref in manifest.parts:
        decoded = _decode_part(ref, parts[ref.digest])
        if isinstance(decoded, Err):
            errors.extend(decoded.errors)
            continue
        match decoded.value:
            case ServiceModel() as service:
                services.append(service.to_rule())
            case RoutesModel() as part:
                routes.extend(route.to_rule() for route in part.routes)
            case OperationsModel() as part:
                zones.extend(zone.to_rule() for zone in part.zones)
                drains.extend(drain.to_rule() for drain in part.drains)
    if errors:
        return Err(tuple(errors[:MAX_REPORTED_ERRORS]))
    return Ok(
        RuleDocument(
            tuple(zones), tuple(services), tuple(routes), tuple(drains)
        )
    )


def _decode_part(
    ref: PartRef, content: bytes
) -> Result[ServiceModel | RoutesModel | OperationsModel, ConfigError]:
    if len(content) != ref.size_bytes:
        message = f"part has {len(content)} bytes, not {ref.size_bytes}"
        return _err(ConfigErrorKind.INVALID, ref.name, message)
    if ref.name == format1.OPERATIONS_PART:
        return _decode_json(OperationsModel, ref.name, content)
    if ref.name.startswith(format1.SERVICE_PREFIX):
        return _decode_json(ServiceModel, ref.name, content)
    return _decode_json(RoutesModel, ref.name, content)


def _rule_errors(document: RuleDocument) -> Iterator[ConfigError]:
    for problem in format1.check_document(document):
        yield ConfigError(
            ConfigErrorKind.INVALID,
            _part_name(document, problem.subject),
            f"{problem.message}; allowed: {problem.allowed}",
        )


def _part_name(document: RuleDocument, subject: Subject) -> str:
    if subject.kind is Kind.SERVICE:
        service = document.services[subject.index]
        return format1.SERVICE_PREFIX + service.name
    if subject.kind is Kind.ROUTE:
        targets = document.routes[subject.index].targets
        return format1.ROUTES_PREFIX + targets[0].service if targets else ""
    if subject.kind is Kind.FILE:
        return ""
    return format1.OPERATIONS_PART


def _encoding_errors(
    document: RuleDocument, manifest: Manifest
) -> Iterator[ConfigError]:
    """Compares the parts with the only encoding that the rules have.

    This covers rules in a part of another name, empty parts, the order of
    rules within a part, and JSON that is not canonical.
    """
    encoded, _ = format1.encode(document, manifest.version_number)
    refs = {ref.name: ref for ref in encoded.parts}
    for ref in manifest.parts:
        if refs.pop(ref.name, None) != ref:
            yield ConfigError(
                ConfigErrorKind.INVALID,
                ref.name,
                "part is not the canonical encoding of its rules",
            )
    for name in refs:
        yield ConfigError(
            ConfigErrorKind.INVALID, name, "rules belong into a missing part"
        )


def _decode_json(
    model: type[_Model], part: str, content: bytes
) -> Result[_Model, ConfigError]:
    try:
        return Ok(model.model_validate_json(content))
    except pydantic.ValidationError as error:
        return Err(
            tuple(
                ConfigError(
                    ConfigErrorKind.MALFORMED,
                    part,
                    _describe(detail["loc"], detail["msg"]),
                )
                for detail in error.errors(
                    include_url=False, include_input=False
                )[:MAX_REPORTED_ERRORS]
            )
        )


def _describe(location: tuple[int | str, ...], message: str) -> str:
    if not location:
        return message
    return f"{'.'.join(str(item) for item in location)}: {message}"


def _unknown_format(number: int) -> Err[ConfigError]:
    supported = ", ".join(str(item) for item in sorted(SUPPORTED_FORMATS))
    return _err(
        ConfigErrorKind.UNKNOWN_FORMAT,
        "",
        f"format {number} is unknown; known: {supported}",
    )


def _err(kind: ConfigErrorKind, part: str, message: str) -> Err[ConfigError]:
    return Err((ConfigError(kind, part, message),))
