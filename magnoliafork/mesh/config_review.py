"""What operators should know of a configuration before they send it.

Entries that can never match, limits that contradict each other, and what
differs from another configuration. None of it makes a configuration invalid.
"""

import collections
import dataclasses
from collections.abc import Iterable, Iterator, Mapping

from magnoliafork.mesh.model import MeshConfig, MeshRoute, Tenant


@dataclasses.dataclass(frozen=True, slots=True)
class Finding:
    """Something that the operator probably did not intend.

    Attributes:
        place: Entry, such as `route lookup`.
        text: What is wrong, and what it leads to.
    """

    place: str
    text: str


@dataclasses.dataclass(frozen=True, slots=True)
class Difference:
    """A difference between two configurations.

    Attributes:
        place: Entry that differs.
        kind: `added`, `removed` or `changed`.
        text: Old and new values; empty unless it was changed.
    """

    place: str
    kind: str
    text: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class NodeLimits:
    """What a node takes, whatever the configuration says.

    Attributes:
        header_bytes: Most bytes of a head.
        body_bytes: Most bytes of a body.
        quota_window_s: Length of the windows of quotas.
    """

    header_bytes: int
    body_bytes: int
    quota_window_s: float = 5.0


def review(config: MeshConfig, limits: NodeLimits) -> list[Finding]:
    """Returns what is odd about a configuration."""
    findings = list(_hidden_routes(config.routes))
    for route in config.routes:
        findings += _odd_route(route, config)
    for service in config.services.values():
        place = f"service {service.name}"
        if service.cold_start_s > 0 and service.cold_requests_per_s <= 0:
            findings.append(
                Finding(place, "a cold upstream gets no request: no cold rate")
            )
        if service.max_connections < 1:
            findings.append(Finding(place, "no connections are allowed"))
    if config.limits.body_bytes > limits.body_bytes:
        findings.append(
            Finding(
                "limits",
                f"bodies over {limits.body_bytes} bytes are refused by nodes,"
                f" although {config.limits.body_bytes} are allowed",
            )
        )
    if config.limits.header_bytes > limits.header_bytes:
        findings.append(
            Finding(
                "limits",
                f"heads over {limits.header_bytes} bytes are refused by nodes,"
                f" although {config.limits.header_bytes} are allowed",
            )
        )
    findings += _odd_tenants(config, limits)
    return findings


def _hidden_routes(routes: Iterable[MeshRoute]) -> Iterator[Finding]:
    """Returns the routes that another one hides: the last one counts."""
    last: dict[tuple[str, str], MeshRoute] = {}
    for route in routes:
        hidden = last.get((route.host, route.prefix))
        if hidden is not None:
            yield Finding(
                f"route {hidden.name}",
                f"never matches: route {route.name} has the same host and"
                " prefix and stands behind it",
            )
        last[route.host, route.prefix] = route


def _odd_route(route: MeshRoute, config: MeshConfig) -> Iterator[Finding]:
    place = f"route {route.name}"
    if not (route.prefix.startswith("/") and route.prefix.endswith("/")):
        yield Finding(
            place,
            f"never matches: the prefix {route.prefix!r} does not begin and end"
            " with a slash",
        )
    if ":" in route.host:
        yield Finding(
            place, "never matches: hosts are compared without the port"
        )
    weights = [target.weight for target in route.targets]
    if not weights or max(weights) <= 0:
        yield Finding(place, "no service gets requests: all weights are zero")
    for target in route.targets:
        if target.weight < 0:
            yield Finding(place, f"{target.service} has a negative weight")
        elif target.weight == 0 and max(weights) > 0:
            yield Finding(place, f"{target.service} never gets a request")
        if target.service not in config.services:
            yield Finding(place, f"{target.service} is not configured")
    if route.timeout_s <= 0:
        yield Finding(place, "no request is answered: the time-out is zero")
    elif route.target_latency_s > route.timeout_s:
        yield Finding(
            place,
            f"requests end after {route.timeout_s:g} s, before the target"
            f" latency of {route.target_latency_s:g} s",
        )
    if route.max_attempts < 1:
        yield Finding(place, "no request runs: no attempt is allowed")


def _odd_tenants(config: MeshConfig, limits: NodeLimits) -> Iterator[Finding]:
    if config.tenants is None:
        for route in config.routes:
            if route.is_public:
                yield Finding(
                    f"route {route.name}",
                    "is public, but no route needs a key without tenants",
                )
        return
    for tenant in config.tenants:
        place = f"tenant {tenant.name}"
        if not tenant.api_keys:
            yield Finding(place, "has no keys, so that no request is its own")
        allowed = tenant.rate_per_s * limits.quota_window_s + tenant.burst
        if 0 < allowed < 1:
            yield Finding(place, "no request fits into its quota")
        if tenant.rate_per_s == 0 and tenant.burst > 0:
            yield Finding(
                place, "its burst has no effect: without a rate, nothing limits"
            )
        if tenant.burst > tenant.rate_per_s * 60 > 0:
            yield Finding(
                place,
                "its burst is more than it may send in a minute otherwise",
            )


def differences(before: MeshConfig, after: MeshConfig) -> list[Difference]:
    """Returns what changes from one configuration to another."""
    found: list[Difference] = []
    if before.version >= after.version:
        found.append(
            Difference(
                "version",
                "changed",
                f"r{before.version} -> r{after.version}: not newer, so that"
                " nodes keep the one in force",
            )
        )
    found += _changed(
        "route",
        {route.name: route for route in before.routes},
        {route.name: route for route in after.routes},
    )
    found += _changed("service", before.services, after.services)
    found += _changed("limits", {"": before.limits}, {"": after.limits})
    found += _changed(
        "tenant", _by_name(before.tenants), _by_name(after.tenants)
    )
    return found


def _by_name(tenants: tuple[Tenant, ...] | None) -> dict[str, Tenant]:
    return {tenant.name: tenant for tenant in tenants or ()}


def _changed(
    kind: str, before: Mapping[str, object], after: Mapping[str, object]
) -> Iterator[Difference]:
    for name in sorted({*before, *after}):
        place = f"{kind} {name}".strip()
        if name not in before:
            yield Difference(place, "added")
        elif name not in after:
            yield Difference(place, "removed")
        elif before[name] != after[name]:
            text = ", ".join(_fields(before[name], after[name]))
            yield Difference(place, "changed", text)


def _fields(before: object, after: object) -> Iterator[str]:
    assert dataclasses.is_dataclass(before)
    for field in dataclasses.fields(before):
        old, new = getattr(before, field.name), getattr(after, field.name)
        if old == new:
            continue
        if field.name == "api_keys":
            counts = collections.Counter(new)
            counts.subtract(old)
            added = sum(n for n in counts.values() if n > 0)
            removed = -sum(n for n in counts.values() if n < 0)
            yield f"keys: {added} added, {removed} removed"
        elif field.name == "targets":
            yield f"services: {_targets(old)} -> {_targets(new)}"
        else:
            yield f"{field.name}: {old} -> {new}"


def _targets(targets: Iterable[object]) -> str:
    return " + ".join(
        f"{getattr(t, 'service', '')} {getattr(t, 'weight', 0):g}"
        for t in targets
    )
