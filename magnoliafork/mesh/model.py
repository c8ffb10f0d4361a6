"""Decoded published state: routes, services, zones and upstreams."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class WeightedService:
    """A service of a route, with its share of the requests."""

    service: str
    weight: float


@dataclasses.dataclass(frozen=True, slots=True)
class MeshRoute:
    """Settings of the requests whose path starts with one prefix.

    Attributes:
        name: Name for logs.
        host: Value that the `Host` header must have, without the port.
        prefix: Path prefix; begins and ends with a slash.
        targets: Services that serve the route; at least one.
        is_repeatable: Whether a request may run more than once.
        timeout_s: Longest time that a caller waits for an answer.
        target_latency_s: Time within which an answer has its full value.
        priority: Priority under overload; 0 is the highest.
        max_attempts: Maximum number of upstreams that one request may reach.
        is_public: Whether requests need no API key of a tenant.
    """

    name: str
    host: str
    prefix: str
    targets: tuple[WeightedService, ...]
    is_repeatable: bool
    timeout_s: float
    target_latency_s: float
    priority: int
    max_attempts: int
    is_public: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Tenant:
    """A customer whose requests carry one of its API keys.

    Attributes:
        name: Name that upstreams, logs and metrics get.
        api_keys: Its keys; never shown.
        priority: Priority of its requests instead of the route's; None for the
            route's.
        rate_per_s: Requests per second over all nodes; 0 for no limit.
        burst: Requests that it may send at once after a pause.
    """

    name: str
    api_keys: tuple[str, ...] = dataclasses.field(repr=False)
    priority: int | None = None
    rate_per_s: float = 0.0
    burst: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class MeshService:
    """Settings of a service.

    Attributes:
        name: Name of the service.
        health_path: Path of the health check.
        max_connections: Maximum connections that one upstream accepts.
        cold_start_s: Time for which an upstream is cold after its start.
        cold_requests_per_s: Requests per second that a cold upstream can
            handle.
    """

    name: str
    health_path: str
    max_connections: int
    cold_start_s: float
    cold_requests_per_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class CallerLimits:
    """Limits on the requests and connections of callers.

    Attributes:
        header_bytes: Size of the request line and headers.
        body_bytes: Size of the body.
        header_timeout_s: Time in which the headers must arrive.
        idle_timeout_s: Time for which a connection may be idle.
    """

    header_bytes: int = 65_536
    body_bytes: int = 1_048_576
    header_timeout_s: float = 10.0
    idle_timeout_s: float = 60.0


@dataclasses.dataclass(frozen=True, slots=True)
class MeshConfig:
    """One accepted configuration.

    Attributes:
        version: Version number; a higher one replaces a lower one.
        routes: All routes.
        services: Services by name.
        limits: Limits on the requests and connections of callers.
        tenants: Tenants; None if requests carry no keys.
    """

    version: int
    routes: tuple[MeshRoute, ...]
    services: dict[str, MeshService]
    limits: CallerLimits
    tenants: tuple[Tenant, ...] | None = None

    def service_names(self) -> frozenset[str]:
        """Returns the services that it defines or sends requests to."""
        targets = (t.service for route in self.routes for t in route.targets)
        return frozenset((*self.services, *targets))


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamEntry:
    """An upstream, as it registered itself in the store.

    Attributes:
        upstream_id: Id of this incarnation.
        service: Service that it serves.
        zone: Its availability zone.
        host: IP address of its machine, where its node listens too.
        port: Its own port.
        slots: Requests that it runs concurrently.
        is_ready: False while it drains.
        cold_left_s: Remaining cold time when the entry was written.
        started_unix_ms: Unix time of its start in milliseconds, 0 if unknown.
        sequence: Number of its own writes before this one, from its start on.
    """

    upstream_id: str
    service: str
    zone: str
    host: str
    port: int
    slots: int
    is_ready: bool
    cold_left_s: float
    started_unix_ms: int
    sequence: int = 0

    def is_same_incarnation(self, other: "UpstreamEntry") -> bool:
        """Whether both entries are of one start of one upstream."""
        return (
            self.upstream_id == other.upstream_id
            and self.started_unix_ms == other.started_unix_ms
        )


@dataclasses.dataclass(frozen=True, slots=True)
class ZoneOut:
    """An availability zone that the operators took out of service."""

    zone: str


@dataclasses.dataclass(frozen=True, slots=True)
class UnreadableItem:
    """An item that cannot be decoded.

    Attributes:
        detail: Cause for logs.
    """

    detail: str


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class StorePosition:
    """A state of the store; the higher one is the newer one.

    Attributes:
        era: Number of the store's history: it rises when the store is restored
            from an older copy, whose revisions it then gives out again. 0 if
            the store names none.
        revision: Revision within that history; 0 before any state is known.
    """

    era: int = 0
    revision: int = 0


DecodedItem = MeshConfig | UpstreamEntry | ZoneOut | UnreadableItem


@dataclasses.dataclass(frozen=True, slots=True)
class StoredItem:
    """An item of the published state, as stored and sent between peers.

    Attributes:
        key: Its key.
        revision: Revision of its last change.
        value: Its bytes; empty when it was removed.
    """

    key: str
    revision: int
    value: bytes
