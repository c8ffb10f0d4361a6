"""Status, history and routes that a node reports to operators."""

import dataclasses
from collections.abc import Mapping, Sequence
from typing import Protocol

from magnoliafork.model.instance import Instance
from magnoliafork.model.rules import RouteRule
from magnoliafork.model.snapshot import Snapshot
from magnoliafork.model.version import NO_VERSION, Version


@dataclasses.dataclass(frozen=True, slots=True)
class RejectedVersion:
    """A version that failed validation.

    Attributes:
        version: The version.
        errors: Why it was rejected.
    """

    version: Version
    errors: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Neighbour:
    """A peer with a control link.

    Attributes:
        instance_id: Id of the peer.
        zone: Availability zone of the peer.
        version_number: Version number that the peer reported last.
        silent_ms: Time since the last bytes from the peer.
    """

    instance_id: str
    zone: str
    version_number: int
    silent_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class NodeStatus:
    """State of a node at one moment.

    Attributes:
        instance: The node's instance.
        incarnation: Start of the process, in ms since the epoch.
        is_ready: Whether the node serves callers.
        is_leaving: Whether a planned stop has begun.
        version: Version in force, or `NO_VERSION`.
        rejected: Rejected versions above the one in force.
        members: Number of members by state name.
        zones_out: Availability zones that take no new work.
        drained: Instances that the rules drain.
        leaving: Instances that announced a planned stop.
        ramp: Share of the slots that the ramp allows, from 0 to 1.
        active: Requests that run in the upstream.
        limit: Requests that may run in the upstream.
        queued: Requests that wait for the upstream.
        neighbours: Peers with a control link.
        counters: Counters by name.
    """

    instance: Instance
    incarnation: int = 0
    is_ready: bool = False
    is_leaving: bool = False
    version: Version = NO_VERSION
    rejected: tuple[RejectedVersion, ...] = ()
    members: Mapping[str, int] = dataclasses.field(default_factory=dict)
    zones_out: tuple[str, ...] = ()
    drained: tuple[str, ...] = ()
    leaving: tuple[str, ...] = ()
    ramp: float = 1.0
    active: int = 0
    limit: int = 0
    queued: int = 0
    neighbours: tuple[Neighbour, ...] = ()
    counters: Mapping[str, int] = dataclasses.field(default_factory=dict)


def status_json(status: NodeStatus) -> dict[str, object]:
    """Returns the status as a JSON value."""
    # asdict copies only plain dictionaries correctly.
    plain = dataclasses.replace(
        status, members=dict(status.members), counters=dict(status.counters)
    )
    return dataclasses.asdict(plain)


@dataclasses.dataclass(frozen=True, slots=True)
class HistoryEntry:
    """One change of a node's state.

    Attributes:
        at_unix_ms: Time of the change, in ms since the epoch.
        event: Name of the log event.
        version_number: Version number that the change is about, or 0.
        digest: Digest of that version, or an empty string.
        detail: What changed.
    """

    at_unix_ms: int
    event: str
    version_number: int = 0
    digest: str = ""
    detail: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class RouteStatus:
    """One route in force.

    Attributes:
        method: HTTP method, or `*`.
        host: Host name, or `*`.
        path: Path, or a prefix with a trailing `/*`.
        targets: Weight by service.
        repeatable: Whether a request may run more than once.
        deadline_ms: Longest time of a request.
        retries: Attempts after the first one.
        hedge_ms: Delay before a hedge (a second copy of the request), or 0.
        priority: Name of the priority class.
        asked_by: Who asked for the rule.
    """

    method: str
    host: str
    path: str
    targets: Mapping[str, int]
    repeatable: bool
    deadline_ms: int
    retries: int
    hedge_ms: int
    priority: str
    asked_by: str


@dataclasses.dataclass(frozen=True, slots=True)
class RoutesStatus:
    """The routes of the version in force.

    Attributes:
        version_number: Version number in force, or 0.
        routes: Routes of that version.
    """

    version_number: int
    routes: tuple[RouteStatus, ...]


def routes_status(snapshot: Snapshot | None) -> RoutesStatus:
    """Returns the routes of a snapshot; none before the first one."""
    if snapshot is None:
        return RoutesStatus(NO_VERSION.number, ())
    routes = tuple(_route_status(route) for route in snapshot.rules.routes)
    return RoutesStatus(snapshot.version.number, routes)


def _route_status(route: RouteRule) -> RouteStatus:
    return RouteStatus(
        method=route.method,
        host=route.host,
        path=route.path,
        targets={t.service: t.weight for t in route.targets},
        repeatable=route.repeatable,
        deadline_ms=route.deadline_ms,
        retries=route.retries,
        hedge_ms=route.hedge_ms,
        priority=route.priority.name.lower(),
        asked_by=route.origin.asked_by,
    )


class StatusSource(Protocol):
    """Gives the admin listener access to a node."""

    def status(self) -> NodeStatus:
        """Returns the node's state now."""
        ...

    def history(self) -> Sequence[HistoryEntry]:
        """Returns the recent changes, oldest first."""
        ...

    def is_ready(self) -> bool:
        """Returns whether the node serves callers."""
        ...

    def begin_drain(self) -> None:
        """Begins a planned stop; a second call changes nothing."""
        ...
