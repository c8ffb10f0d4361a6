"""Published state as the node uses it: routes, services and upstreams."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class WeightedService:
    """One of the services among which a route's requests are divided."""

    service: str
    weight: float


@dataclasses.dataclass(frozen=True, slots=True)
class MeshRoute:
    """What the operators want for the requests below one path prefix.

    Attributes:
        name: Name for logs.
        host: Host that a request must name.
        prefix: Path prefix; begins and ends with a slash.
        targets: Services that serve the route; at least one.
        is_repeatable: Whether a request may run more than once.
        timeout_s: Longest time that a caller is kept waiting.
        target_latency_s: Time within which an answer has its full value.
        priority: Rank among requests that compete; 0 is the highest.
        max_attempts: Instances to which one request may be sent.
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


@dataclasses.dataclass(frozen=True, slots=True)
class MeshService:
    """What the operators say of a service.

    Attributes:
        name: Name of the service.
        health_path: Path of the health check.
        max_connections: Connections that one upstream accepts.
        cold_start_s: Time for which an upstream is cold after its start.
        cold_requests_per_s: Requests that a cold upstream bears.
    """

    name: str
    health_path: str
    max_connections: int
    cold_start_s: float
    cold_requests_per_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class CallerLimits:
    """Bounds on what a caller may send.

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
        version: Version number; higher ones replace lower ones.
        routes: All routes.
        services: Services by name.
        limits: Bounds on what callers may send.
    """

    version: int
    routes: tuple[MeshRoute, ...]
    services: dict[str, MeshService]
    limits: CallerLimits


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamEntry:
    """An upstream as it announces itself.

    Attributes:
        upstream_id: Id of this incarnation.
        service: Service that it serves.
        zone: Its availability zone.
        host: IP address of its machine, where its node listens too.
        port: Its own port.
        slots: Requests that it runs at a time.
        is_ready: False while it drains.
        cold_left_s: How much longer it is cold, as of the entry's writing.
        started_unix_ms: Unix time of its start in milliseconds, 0 if unknown.
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


@dataclasses.dataclass(frozen=True, slots=True)
class ZoneOut:
    """An availability zone that the operators have taken out."""

    zone: str


@dataclasses.dataclass(frozen=True, slots=True)
class UnreadableItem:
    """An item that names nothing the node can use.

    Attributes:
        detail: What is wrong, for the log.
    """

    detail: str


DecodedItem = MeshConfig | UpstreamEntry | ZoneOut | UnreadableItem


@dataclasses.dataclass(frozen=True, slots=True)
class StoredItem:
    """An item of the published state as peers pass it on.

    Attributes:
        key: Its key.
        revision: Revision of its last change.
        value: Its bytes; empty when it was removed.
    """

    key: str
    revision: int
    value: bytes
