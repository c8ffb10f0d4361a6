"""Encoding of the rules of a version into a manifest and parts."""

from collections.abc import Iterator, Mapping

from magnoliafork.model.manifest import (
    Manifest,
    PartRef,
    canonical_json,
    sha256_hex,
)
from magnoliafork.model.rules import RouteRule, ServiceRule
from magnoliafork.rules.document import RuleDocument
from magnoliafork.rules.format1 import limits
from magnoliafork.rules.matcher import route_key


def encode(
    document: RuleDocument, version_number: int
) -> tuple[Manifest, Mapping[str, bytes]]:
    """Returns the manifest and the parts by digest, without validating them."""
    contents = dict(_encode_parts(document))
    parts = {sha256_hex(content): content for content in contents.values()}
    refs = tuple(
        PartRef(name, sha256_hex(content), len(content))
        for name, content in sorted(contents.items())
    )
    return Manifest(limits.FORMAT, version_number, refs), parts


def encode_part(name: str, document: RuleDocument) -> bytes | None:
    """Returns the encoding of one part, or None if no rule belongs in it.

    Every route of the document must have a target.
    """
    return dict(_encode_parts(document)).get(name)


def _encode_parts(document: RuleDocument) -> Iterator[tuple[str, bytes]]:
    yield limits.OPERATIONS_PART, canonical_json(_operations_value(document))
    for service in document.services:
        name = limits.SERVICE_PREFIX + service.name
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
        yield limits.ROUTES_PREFIX + first_target, canonical_json(value)


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
