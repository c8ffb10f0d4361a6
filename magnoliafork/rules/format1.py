"""Limits, checks and encoding of format 1.

Nodes of two releases must accept or reject a version alike, so the behaviour
of this module never changes. A changed rule needs a new format number and a
module of its own. Character classes are spelt out instead of taken from
`str.isprintable` and the like, which depend on the Unicode database of the
interpreter.
"""

import dataclasses
import re
from collections.abc import Iterator, Mapping, Sequence

from magnoliafork.model.manifest import (
    MAX_PART_BYTES,
    Manifest,
    PartRef,
    canonical_json,
    sha256_hex,
)
from magnoliafork.model.rules import RouteRule, ServiceRule, WeightedTarget
from magnoliafork.rules.document import (
    DrainRule,
    Kind,
    RuleDocument,
    Subject,
    ZoneRule,
)
from magnoliafork.rules.matcher import ANY, PREFIX_SUFFIX, RouteKey, route_key

FORMAT = 1

OPERATIONS_PART = "operations"
SERVICE_PREFIX = "service/"
ROUTES_PREFIX = "routes/"

METHODS = ("GET", "HEAD", "OPTIONS", "POST", "PUT", "PATCH", "DELETE")

# Largest integer that every JSON reader represents exactly.
MAX_VERSION_NUMBER = 2**53 - 1
# Bounds a node's memory: 8 MB is a quarter of its budget for control work and
# 23 times the expected full set of 345 KB.
MAX_TOTAL_BYTES = 8_000_000
MAX_SERVICES = 2_000
MAX_ROUTES = 20_000
MAX_ZONES = 1_000
MAX_DRAINS = 20_000
MAX_COMMENT_LENGTH = 200
MAX_PATH_LENGTH = 1_024
MAX_HOST_LENGTH = 253
MAX_TARGETS = 16

MAX_SLOTS = 10_000
MAX_CONNECTIONS = 100_000
MAX_QUEUE = 100_000
MAX_RAMP_MS = 3_600_000
MAX_WEIGHT = 10_000
MAX_DEADLINE_MS = 600_000
MAX_RETRIES = 10

_NAME = re.compile(r"[a-z][a-z0-9-]{0,62}")
_INSTANCE_ID = re.compile(r"[A-Za-z0-9][A-Za-z0-9._:-]{0,127}")
_HOST = re.compile(
    r"[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?"
    r"(\.[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?)*"
)
_SEGMENT = re.compile(r"([A-Za-z0-9._~!$&'()+,;=:@-]|%[0-9A-Fa-f]{2})+")
_DIGEST = re.compile(r"[0-9a-f]{64}")
# Control characters, line and paragraph separators, and lone surrogates.
_FORBIDDEN_IN_COMMENT = re.compile(
    "[\x00-\x1f\x7f-\x9f\u2028\u2029\ud800-\udfff]"
)

_NAME_RULE = "a-z, 0-9 and -, starting with a letter, at most 63 characters"


@dataclasses.dataclass(frozen=True, slots=True)
class Problem:
    """One violation found in a document.

    Attributes:
        subject: Rule that is wrong.
        field: Field of the rule that is wrong.
        message: What is wrong.
        allowed: What is allowed instead.
        given: Name that was not found, or an empty string.
        candidates: Names that `given` could stand for.
        first: Rule that the subject repeats, if it does.
    """

    subject: Subject
    field: str
    message: str
    allowed: str
    given: str = ""
    candidates: tuple[str, ...] = ()
    first: Subject | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class PartProblem:
    """One violation found in a manifest.

    Attributes:
        part: Name of the part, or an empty string for the manifest itself.
        message: What is wrong.
    """

    part: str
    message: str


def check_document(document: RuleDocument) -> tuple[Problem, ...]:
    """Returns everything that makes the rules invalid."""
    problems: list[Problem] = []
    problems.extend(_check_counts(document))
    for index, zone in enumerate(document.zones):
        problems.extend(_check_zone(Subject(Kind.ZONE, index), zone))
    for index, service in enumerate(document.services):
        problems.extend(_check_service(Subject(Kind.SERVICE, index), service))
    names = tuple(service.name for service in document.services)
    for index, route in enumerate(document.routes):
        subject = Subject(Kind.ROUTE, index)
        problems.extend(_check_route(subject, route))
        problems.extend(_check_targets(subject, route.targets, names))
    for index, drain in enumerate(document.drains):
        problems.extend(_check_drain(Subject(Kind.DRAIN, index), drain))
    problems.extend(_check_repeats(document))
    return tuple(problems)


def check_manifest(manifest: Manifest) -> tuple[PartProblem, ...]:
    """Returns everything that makes a manifest of this format invalid."""
    problems: list[PartProblem] = []
    if not 1 <= manifest.version_number <= MAX_VERSION_NUMBER:
        problems.append(
            PartProblem("", f"version number {manifest.version_number}")
        )
    names = [part.name for part in manifest.parts]
    if names != sorted(set(names)):
        problems.append(
            PartProblem("", "part names are not unique and in order")
        )
    if OPERATIONS_PART not in names:
        problems.append(PartProblem(OPERATIONS_PART, "part is not listed"))
    for part in manifest.parts:
        problems.extend(_check_part_ref(part))
    total_bytes = sum(part.size_bytes for part in manifest.parts)
    if total_bytes > MAX_TOTAL_BYTES:
        problems.append(
            PartProblem(
                "",
                f"parts have {total_bytes} bytes together, at most "
                f"{MAX_TOTAL_BYTES} are allowed",
            )
        )
    if not problems and len(manifest.to_bytes()) > MAX_PART_BYTES:
        problems.append(
            PartProblem("", f"manifest has more than {MAX_PART_BYTES} bytes")
        )
    return tuple(problems)


def encode(
    document: RuleDocument, version_number: int
) -> tuple[Manifest, Mapping[str, bytes]]:
    """Returns the manifest and the parts by digest, without checking."""
    contents = dict(_encode_parts(document))
    parts = {sha256_hex(content): content for content in contents.values()}
    refs = tuple(
        PartRef(name, sha256_hex(content), len(content))
        for name, content in sorted(contents.items())
    )
    return Manifest(FORMAT, version_number, refs), parts


def is_part_name(name: str) -> bool:
    """Tells whether a part of this format can have the name."""
    if name == OPERATIONS_PART:
        return True
    prefix, slash, service = name.partition("/")
    if prefix + slash not in (SERVICE_PREFIX, ROUTES_PREFIX):
        return False
    return _NAME.fullmatch(service) is not None


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


def _check_counts(document: RuleDocument) -> Iterator[Problem]:
    subject = Subject(Kind.FILE)
    if not document.services:
        yield Problem(
            subject, "", "no service is defined", "at least one service"
        )
    counts = (
        ("zones", len(document.zones), MAX_ZONES),
        ("services", len(document.services), MAX_SERVICES),
        ("routes", len(document.routes), MAX_ROUTES),
        ("drains", len(document.drains), MAX_DRAINS),
    )
    for name, count, limit in counts:
        if count > limit:
            yield Problem(subject, "", f"{count} {name}", f"at most {limit}")


def _check_zone(subject: Subject, zone: ZoneRule) -> Iterator[Problem]:
    yield from _check_name(subject, "name", zone.name)
    yield from _check_comment(subject, zone.origin.asked_by)


def _check_drain(subject: Subject, drain: DrainRule) -> Iterator[Problem]:
    if not _INSTANCE_ID.fullmatch(drain.instance_id):
        yield Problem(
            subject,
            "name",
            f"bad instance id {drain.instance_id!r}",
            "letters, digits and . _ : -, at most 128 characters",
        )
    yield from _check_comment(subject, drain.origin.asked_by)


def _check_service(subject: Subject, service: ServiceRule) -> Iterator[Problem]:
    yield from _check_name(subject, "name", service.name)
    yield from _check_comment(subject, service.origin.asked_by)
    ramp_ms = round(service.ramp_s * 1000)
    ranges = (
        ("slots", service.slots, 1, MAX_SLOTS),
        ("connections", service.connections, 1, MAX_CONNECTIONS),
        ("queue", service.queue, 0, MAX_QUEUE),
        ("ramp", ramp_ms, 1, MAX_RAMP_MS),
    )
    for field, value, low, high in ranges:
        yield from _check_range(subject, field, value, low, high)
    if service.connections < service.slots:
        yield Problem(
            subject,
            "connections",
            f"{service.connections} connections for {service.slots} slots",
            "at least as many connections as slots",
        )
    if not 1 <= service.ramp_start <= service.slots:
        yield Problem(
            subject,
            "ramp-start",
            f"ramp-start {service.ramp_start} is out of range",
            "1 to the number of slots",
        )


def _check_route(subject: Subject, route: RouteRule) -> Iterator[Problem]:
    yield from _check_method(subject, route.method)
    yield from _check_host(subject, route.host)
    yield from _check_path(subject, route.path)
    yield from _check_comment(subject, route.origin.asked_by)
    yield from _check_range(
        subject, "deadline", route.deadline_ms, 1, MAX_DEADLINE_MS
    )
    yield from _check_range(subject, "retries", route.retries, 0, MAX_RETRIES)
    yield from _check_range(
        subject, "hedge", route.hedge_ms, 0, MAX_DEADLINE_MS
    )
    if route.hedge_ms > 0 and not route.repeatable:
        yield Problem(
            subject,
            "hedge",
            "hedge on a route that is not repeatable",
            "hedge=0ms, or repeatable=yes",
        )
    if route.hedge_ms >= route.deadline_ms > 0:
        yield Problem(
            subject,
            "hedge",
            f"hedge {route.hedge_ms}ms is not below the deadline",
            f"less than {route.deadline_ms}ms",
        )


def _check_targets(
    subject: Subject,
    targets: Sequence[WeightedTarget],
    services: tuple[str, ...],
) -> Iterator[Problem]:
    if not 1 <= len(targets) <= MAX_TARGETS:
        yield Problem(
            subject, "targets", f"{len(targets)} targets", f"1 to {MAX_TARGETS}"
        )
    seen: set[str] = set()
    known = frozenset(services)
    for target in targets:
        field = f"target {target.service}"
        if target.service not in known:
            yield Problem(
                subject,
                field,
                f"unknown service {target.service!r}",
                "a service that the same file defines",
                target.service,
                services,
            )
        if target.service in seen:
            yield Problem(
                subject,
                field,
                f"target {target.service!r} is repeated",
                "each service once",
            )
        seen.add(target.service)
        yield from _check_range(subject, field, target.weight, 0, MAX_WEIGHT)
    if targets and sum(target.weight for target in targets) == 0:
        yield Problem(
            subject,
            "targets",
            "all weights are 0",
            "at least one weight above 0",
        )


def _check_repeats(document: RuleDocument) -> Iterator[Problem]:
    groups: tuple[tuple[Kind, str, Sequence[str | RouteKey]], ...] = (
        (Kind.ZONE, "name", [zone.name for zone in document.zones]),
        (Kind.SERVICE, "name", [item.name for item in document.services]),
        (Kind.ROUTE, "path", [route_key(item) for item in document.routes]),
        (Kind.DRAIN, "name", [item.instance_id for item in document.drains]),
    )
    for kind, field, keys in groups:
        first_index: dict[str | RouteKey, int] = {}
        for index, key in enumerate(keys):
            first = first_index.setdefault(key, index)
            if first == index:
                continue
            what = key if isinstance(key, str) else " ".join(key)
            yield Problem(
                Subject(kind, index),
                field,
                f"{kind} {what!r} is already defined",
                "each one once",
                first=Subject(kind, first),
            )


def _check_name(subject: Subject, field: str, name: str) -> Iterator[Problem]:
    if not _NAME.fullmatch(name):
        yield Problem(
            subject, field, f"bad {subject.kind} name {name!r}", _NAME_RULE
        )


def _check_comment(subject: Subject, asked_by: str) -> Iterator[Problem]:
    allowed = "a comment that names who asked for the rule"
    if not asked_by.strip(" "):
        yield Problem(subject, "comment", "the comment is missing", allowed)
    elif asked_by != asked_by.strip(" "):
        yield Problem(
            subject, "comment", "spaces around the comment", "no such spaces"
        )
    if len(asked_by) > MAX_COMMENT_LENGTH:
        yield Problem(
            subject,
            "comment",
            f"the comment has {len(asked_by)} characters",
            f"at most {MAX_COMMENT_LENGTH}",
        )
    if _FORBIDDEN_IN_COMMENT.search(asked_by):
        yield Problem(
            subject,
            "comment",
            "control character in the comment",
            "printable characters",
        )


def _check_range(
    subject: Subject, field: str, value: int, low: int, high: int
) -> Iterator[Problem]:
    if not low <= value <= high:
        yield Problem(
            subject,
            field,
            f"{field} {value} is out of range",
            f"{low} to {high}",
        )


def _check_method(subject: Subject, method: str) -> Iterator[Problem]:
    if method not in (*METHODS, ANY):
        yield Problem(
            subject,
            "method",
            f"unknown method {method!r}",
            ", ".join((*METHODS, ANY)),
            method.upper(),
            METHODS,
        )


def _check_host(subject: Subject, host: str) -> Iterator[Problem]:
    if host == ANY:
        return
    if len(host) > MAX_HOST_LENGTH or not _HOST.fullmatch(host):
        yield Problem(
            subject,
            "host",
            f"bad host {host!r}",
            "a host name in lower case without port, or *",
        )


def _check_path(subject: Subject, path: str) -> Iterator[Problem]:
    if len(path) > MAX_PATH_LENGTH or not _is_path(path):
        yield Problem(
            subject,
            "path",
            f"bad path {path!r}",
            "a path from / without empty, . or .. segments and without query; "
            "/* only at the end; "
            f"at most {MAX_PATH_LENGTH} characters",
        )


def _is_path(path: str) -> bool:
    if not path.startswith("/"):
        return False
    if path == PREFIX_SUFFIX:
        return True
    is_prefix = path.endswith(PREFIX_SUFFIX)
    segments = path.removesuffix(PREFIX_SUFFIX).split("/")[1:]
    if not is_prefix and segments[-1] == "":
        segments.pop()
    return all(
        segment not in (".", "..") and _SEGMENT.fullmatch(segment)
        for segment in segments
    )


def _encode_parts(document: RuleDocument) -> Iterator[tuple[str, bytes]]:
    yield OPERATIONS_PART, canonical_json(_operations_value(document))
    for service in document.services:
        name = SERVICE_PREFIX + service.name
        yield name, canonical_json(_service_value(service))
    grouped: dict[str, list[RouteRule]] = {}
    for route in document.routes:
        grouped.setdefault(route.targets[0].service, []).append(route)
    for first_target, routes in grouped.items():
        value = {
            "routes": [
                _route_value(route) for route in sorted(routes, key=route_key)
            ]
        }
        yield ROUTES_PREFIX + first_target, canonical_json(value)


def _operations_value(document: RuleDocument) -> dict[str, object]:
    zones = sorted(document.zones, key=lambda zone: zone.name)
    drains = sorted(document.drains, key=lambda drain: drain.instance_id)
    return {
        "zones": [
            {
                "name": zone.name,
                "is_out": zone.is_out,
                "asked_by": zone.origin.asked_by,
            }
            for zone in zones
        ],
        "drains": [
            {
                "instance_id": drain.instance_id,
                "asked_by": drain.origin.asked_by,
            }
            for drain in drains
        ],
    }


def _service_value(service: ServiceRule) -> dict[str, object]:
    return {
        "name": service.name,
        "slots": service.slots,
        "connections": service.connections,
        "queue": service.queue,
        "priority": service.priority.name.lower(),
        "ramp_ms": round(service.ramp_s * 1000),
        "ramp_start": service.ramp_start,
        "asked_by": service.origin.asked_by,
    }


def _route_value(route: RouteRule) -> dict[str, object]:
    return {
        "method": route.method,
        "host": route.host,
        "path": route.path,
        "targets": [
            {"service": target.service, "weight": target.weight}
            for target in route.targets
        ],
        "repeatable": route.repeatable,
        "deadline_ms": route.deadline_ms,
        "retries": route.retries,
        "hedge_ms": route.hedge_ms,
        "priority": route.priority.name.lower(),
        "asked_by": route.origin.asked_by,
    }
