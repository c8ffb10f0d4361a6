"""Validation of the rules of a version."""

import dataclasses
import re
from collections.abc import Iterator, Sequence

from magnoliafork.model.rules import RouteRule, ServiceRule, WeightedTarget
from magnoliafork.rules.document import (
    DrainRule,
    Kind,
    RuleDocument,
    RuleRef,
    ZoneRule,
)
from magnoliafork.rules.format1 import limits
from magnoliafork.rules.matcher import ANY, PREFIX_SUFFIX, route_key

_INSTANCE_ID = re.compile(r"[A-Za-z0-9][A-Za-z0-9._:-]{0,127}")
_HOST = re.compile(
    r"[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?"
    r"(\.[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?)*"
)
_SEGMENT = re.compile(r"([A-Za-z0-9._~!$&'()+,;=:@-]|%[0-9A-Fa-f]{2})+")
# Control characters, line and paragraph separators, and lone surrogates.
_FORBIDDEN_IN_COMMENT = re.compile(
    "[\x00-\x1f\x7f-\x9f\u2028\u2029\ud800-\udfff]"
)

_ALLOWED_NAME = "a-z, 0-9 and -, starting with a letter, at most 63 characters"


@dataclasses.dataclass(frozen=True, slots=True)
class Problem:
    """One violation found in a document.

    Attributes:
        subject: Rule that is wrong.
        field: Field of the rule that is wrong.
        message: What is wrong.
        allowed: What is allowed instead.
        unknown_name: Name that does not exist, or an empty string.
        candidates: Existing names that `unknown_name` may be a misspelling
            of.
        duplicate_of: Earlier rule with the same key, if the subject is a
            duplicate.
    """

    subject: RuleRef
    field: str
    message: str
    allowed: str
    unknown_name: str = ""
    candidates: tuple[str, ...] = ()
    duplicate_of: RuleRef | None = None


def check_document(document: RuleDocument) -> tuple[Problem, ...]:
    """Returns all problems that make the rules invalid."""
    return (*check_each_rule(document), *check_across_rules(document))


def check_each_rule(document: RuleDocument) -> tuple[Problem, ...]:
    """Returns the problems that are found by looking at one rule."""
    problems: list[Problem] = []
    for index, zone in enumerate(document.zones):
        problems.extend(_check_zone(RuleRef(Kind.ZONE, index), zone))
    for index, service in enumerate(document.services):
        problems.extend(_check_service(RuleRef(Kind.SERVICE, index), service))
    for index, route in enumerate(document.routes):
        problems.extend(_check_route(RuleRef(Kind.ROUTE, index), route))
    for index, drain in enumerate(document.drains):
        problems.extend(_check_drain(RuleRef(Kind.DRAIN, index), drain))
    return tuple(problems)


def check_across_rules(document: RuleDocument) -> tuple[Problem, ...]:
    """Returns the problems that are found by comparing all rules.

    These are a wrong number of rules, unknown target services and duplicates.
    """
    return (
        *_check_counts(document),
        *_check_target_services(document),
        *_check_duplicates(document),
    )


def _check_counts(document: RuleDocument) -> Iterator[Problem]:
    subject = RuleRef(Kind.FILE)
    if not document.services:
        yield Problem(
            subject, "", "no service is defined", "at least one service"
        )
    counts = (
        ("zones", len(document.zones), limits.MAX_ZONES),
        ("services", len(document.services), limits.MAX_SERVICES),
        ("routes", len(document.routes), limits.MAX_ROUTES),
        ("drains", len(document.drains), limits.MAX_DRAINS),
    )
    for name, count, limit in counts:
        if count > limit:
            yield Problem(subject, "", f"{count} {name}", f"at most {limit}")


def _check_zone(subject: RuleRef, zone: ZoneRule) -> Iterator[Problem]:
    yield from _check_name(subject, "name", zone.name)
    yield from _check_comment(subject, zone.origin.asked_by)


def _check_drain(subject: RuleRef, drain: DrainRule) -> Iterator[Problem]:
    if not _INSTANCE_ID.fullmatch(drain.instance_id):
        yield Problem(
            subject,
            "name",
            f"bad instance id {drain.instance_id!r}",
            "letters, digits and . _ : -, at most 128 characters",
        )
    yield from _check_comment(subject, drain.origin.asked_by)


def _check_service(subject: RuleRef, service: ServiceRule) -> Iterator[Problem]:
    yield from _check_name(subject, "name", service.name)
    yield from _check_comment(subject, service.origin.asked_by)
    ramp_ms = round(service.ramp_s * 1000)
    ranges = (
        ("slots", service.slots, 1, limits.MAX_SLOTS),
        ("connections", service.connections, 1, limits.MAX_CONNECTIONS),
        ("queue", service.queue, 0, limits.MAX_QUEUE),
        ("ramp", ramp_ms, 1, limits.MAX_RAMP_MS),
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
    if not 1 <= service.ramp_start <= max(service.slots, 1):
        yield Problem(
            subject,
            "ramp-start",
            f"ramp-start {service.ramp_start} is out of range",
            "1 to the number of slots",
        )


def _check_route(subject: RuleRef, route: RouteRule) -> Iterator[Problem]:
    yield from _check_method(subject, route.method)
    yield from _check_host(subject, route.host)
    yield from _check_path(subject, route.path)
    yield from _check_targets(subject, route.targets)
    yield from _check_comment(subject, route.origin.asked_by)
    yield from _check_range(
        subject, "deadline", route.deadline_ms, 1, limits.MAX_DEADLINE_MS
    )
    yield from _check_range(
        subject, "retries", route.retries, 0, limits.MAX_RETRIES
    )
    yield from _check_range(
        subject, "hedge", route.hedge_ms, 0, limits.MAX_DEADLINE_MS
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
    subject: RuleRef, targets: Sequence[WeightedTarget]
) -> Iterator[Problem]:
    if not 1 <= len(targets) <= limits.MAX_TARGETS:
        yield Problem(
            subject,
            "targets",
            f"{len(targets)} targets",
            f"1 to {limits.MAX_TARGETS}",
        )
    seen: set[str] = set()
    for target in targets:
        field = f"target {target.service}"
        if target.service in seen:
            yield Problem(
                subject,
                field,
                f"target {target.service!r} is repeated",
                "each service once",
            )
        seen.add(target.service)
        yield from _check_range(
            subject, field, target.weight, 0, limits.MAX_WEIGHT
        )
    if targets and sum(target.weight for target in targets) == 0:
        yield Problem(
            subject,
            "targets",
            "all weights are 0",
            "at least one weight above 0",
        )


def _check_target_services(document: RuleDocument) -> Iterator[Problem]:
    services = tuple(service.name for service in document.services)
    known = frozenset(services)
    for index, route in enumerate(document.routes):
        for target in route.targets:
            if target.service not in known:
                yield Problem(
                    RuleRef(Kind.ROUTE, index),
                    f"target {target.service}",
                    f"unknown service {target.service!r}",
                    "a service that the same file defines",
                    target.service,
                    services,
                )


def _check_duplicates(document: RuleDocument) -> Iterator[Problem]:
    zones = [zone.name for zone in document.zones]
    yield from _check_unique(Kind.ZONE, "name", zones)
    services = [service.name for service in document.services]
    yield from _check_unique(Kind.SERVICE, "name", services)
    routes = [
        f"{method} {host} {path}"
        for host, path, method in map(route_key, document.routes)
    ]
    yield from _check_unique(Kind.ROUTE, "path", routes)
    drains = [drain.instance_id for drain in document.drains]
    yield from _check_unique(Kind.DRAIN, "name", drains)


def _check_unique(
    kind: Kind, field: str, keys: Sequence[str]
) -> Iterator[Problem]:
    first_index: dict[str, int] = {}
    for index, key in enumerate(keys):
        first = first_index.setdefault(key, index)
        if first != index:
            yield Problem(
                RuleRef(kind, index),
                field,
                f"{kind} {key!r} is already defined",
                "each one once",
                duplicate_of=RuleRef(kind, first),
            )


def _check_name(subject: RuleRef, field: str, name: str) -> Iterator[Problem]:
    if not limits.NAME.fullmatch(name):
        yield Problem(
            subject, field, f"bad {subject.kind} name {name!r}", _ALLOWED_NAME
        )


def _check_comment(subject: RuleRef, asked_by: str) -> Iterator[Problem]:
    allowed = "a comment that names who asked for the rule"
    if not asked_by.strip(" "):
        yield Problem(subject, "comment", "the comment is missing", allowed)
    elif asked_by != asked_by.strip(" "):
        yield Problem(
            subject, "comment", "spaces around the comment", "no such spaces"
        )
    if len(asked_by) > limits.MAX_COMMENT_LENGTH:
        yield Problem(
            subject,
            "comment",
            f"the comment has {len(asked_by)} characters",
            f"at most {limits.MAX_COMMENT_LENGTH}",
        )
    if _FORBIDDEN_IN_COMMENT.search(asked_by):
        yield Problem(
            subject,
            "comment",
            "control character in the comment",
            "printable characters",
        )


def _check_range(
    subject: RuleRef, field: str, value: int, low: int, high: int
) -> Iterator[Problem]:
    if not low <= value <= high:
        yield Problem(
            subject,
            field,
            f"{field} {value} is out of range",
            f"{low} to {high}",
        )


def _check_method(subject: RuleRef, method: str) -> Iterator[Problem]:
    if method not in (*limits.METHODS, ANY):
        yield Problem(
            subject,
            "method",
            f"unknown method {method!r}",
            ", ".join((*limits.METHODS, ANY)),
            method.upper(),
            limits.METHODS,
        )


def _check_host(subject: RuleRef, host: str) -> Iterator[Problem]:
    if host == ANY:
        return
    if len(host) > limits.MAX_HOST_LENGTH or not _HOST.fullmatch(host):
        yield Problem(
            subject,
            "host",
            f"bad host {host!r}",
            "a host name in lower case without port, or *",
        )


def _check_path(subject: RuleRef, path: str) -> Iterator[Problem]:
    if len(path) > limits.MAX_PATH_LENGTH or not _is_path(path):
        yield Problem(
            subject,
            "path",
            f"bad path {path!r}",
            "a path from / without empty, . or .. segments and without query; "
            "/* only at the end; "
            f"at most {limits.MAX_PATH_LENGTH} characters",
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
