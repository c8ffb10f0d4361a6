"""Routing and traffic rules after parsing and validation."""

import dataclasses
import enum
from collections.abc import Mapping


class Priority(enum.IntEnum):
    """Order in which a receiver serves queued requests, lowest value first."""

    HIGH = 0
    NORMAL = 1
    LOW = 2


@dataclasses.dataclass(frozen=True, slots=True)
class Origin:
    """Line of the rules file that holds a rule, and who asked for the rule.

    Attributes:
        line: Line number in the rules file, from 1.
        asked_by: Text of the comment on that line.
    """

    line: int
    asked_by: str


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceRule:
    """Limits of every upstream instance of one service.

    Attributes:
        name: Service name.
        slots: Requests that a warm upstream runs at a time.
        connections: Connections that an upstream accepts at a time.
        queue: Requests that may wait at the receiver.
        priority: Priority class of routes that set none.
        ramp_s: Time from a cold start to the full limit.
        ramp_start: Requests allowed at a time right after a cold start.
        origin: Line of the rules file and who asked for the rule.
    """

    name: str
    slots: int
    connections: int
    queue: int
    priority: Priority
    ramp_s: float
    ramp_start: int
    origin: Origin


@dataclasses.dataclass(frozen=True, slots=True)
class WeightedTarget:
    """Share of a route's requests that goes to one service."""

    service: str
    weight: int


@dataclasses.dataclass(frozen=True, slots=True)
class RouteRule:
    """Maps requests to services.

    Attributes:
        method: HTTP method, or `*` for any.
        host: Host name, or `*` for any.
        path: Path; a trailing `/*` matches the path and everything below it.
        targets: Services with their weights; weights sum to more than 0.
        repeatable: Whether a request may run more than once.
        deadline_ms: Longest time that a caller's request may take.
        retries: Attempts after the first one.
        hedge_ms: Delay before a second copy of a repeatable request, or 0
            for none.
        priority: Priority class.
        origin: Line of the rules file and who asked for the rule.
    """

    method: str
    host: str
    path: str
    targets: tuple[WeightedTarget, ...]
    repeatable: bool
    deadline_ms: int
    retries: int
    hedge_ms: int
    priority: Priority
    origin: Origin


@dataclasses.dataclass(frozen=True, slots=True)
class RuleSet:
    """All rules of one configuration version.

    Attributes:
        services: Service rules by service name.
        routes: Routes in the order of the file; of several that match, the most
            specific one wins.
        zones: All availability zones that the rules define.
        zones_out: Availability zones that take no new work.
        drained: Ids of upstream instances that take no new work.
    """

    services: Mapping[str, ServiceRule]
    routes: tuple[RouteRule, ...]
    zones: frozenset[str]
    zones_out: frozenset[str]
    drained: frozenset[str]
