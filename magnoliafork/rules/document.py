"""The rules of a file or of a published version, with their comments."""

import dataclasses
import enum

from magnoliafork.model.rules import Origin, RouteRule, RuleSet, ServiceRule


class Kind(enum.StrEnum):
    """Kind of a rule; `FILE` stands for all rules together."""

    FILE = "file"
    ZONE = "zone"
    SERVICE = "service"
    ROUTE = "route"
    DRAIN = "drain"


@dataclasses.dataclass(frozen=True, slots=True)
class RuleRef:
    """Refers to one rule of a document.

    Attributes:
        kind: Kind of the rule.
        index: Position among the rules of that kind, from 0.
    """

    kind: Kind
    index: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class ZoneRule:
    """Defines an availability zone and whether it is out of service."""

    name: str
    is_out: bool
    origin: Origin


@dataclasses.dataclass(frozen=True, slots=True)
class DrainRule:
    """Takes one upstream instance out of service."""

    instance_id: str
    origin: Origin


@dataclasses.dataclass(frozen=True, slots=True)
class RuleDocument:
    """Rules of one version, which need not be valid."""

    zones: tuple[ZoneRule, ...]
    services: tuple[ServiceRule, ...]
    routes: tuple[RouteRule, ...]
    drains: tuple[DrainRule, ...]

    def to_rule_set(self) -> RuleSet:
        """Returns the rules in the form that nodes apply."""
        return RuleSet(
            services={service.name: service for service in self.services},
            routes=self.routes,
            zones=frozenset(zone.name for zone in self.zones),
            zones_out=frozenset(
                zone.name for zone in self.zones if zone.is_out
            ),
            drained=frozenset(drain.instance_id for drain in self.drains),
        )
