"""Pydantic models of the manifest and the parts of format 1.

The models check types and structure; `rules.format1` checks the values.
"""

from typing import Annotated, Literal

import pydantic

from magnoliafork.model.rules import (
    Origin,
    Priority,
    RouteRule,
    ServiceRule,
    WeightedTarget,
)
from magnoliafork.rules.document import DrainRule, RuleDocument, ZoneRule

# Parts leave out the line numbers of the rules file, so that inserting a line
# changes only one part.
UNKNOWN_LINE = 0

Number = Annotated[int, pydantic.Field(ge=0, le=2**53 - 1)]
PriorityName = Literal["high", "normal", "low"]


class _StrictModel(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(strict=True, extra="forbid", frozen=True)


class FormatModel(pydantic.BaseModel):
    """The only field that the manifests of all formats have in common."""

    model_config = pydantic.ConfigDict(strict=True, extra="ignore")

    format: Number


class ManifestModel(_StrictModel):
    """Manifest; each part is a list of name, digest and size."""

    format: Number
    version_number: Number
    parts: tuple[tuple[str, str, Number], ...]


class TargetModel(_StrictModel):
    """Weighted target of a route."""

    service: str
    weight: Number


class RouteModel(_StrictModel):
    """One route."""

    method: str
    host: str
    path: str
    targets: tuple[TargetModel, ...]
    repeatable: bool
    deadline_ms: Number
    retries: Number
    hedge_ms: Number
    priority: PriorityName
    asked_by: str

    def to_rule(self) -> RouteRule:
        """Returns the route without a line number."""
        return RouteRule(
            method=self.method,
            host=self.host,
            path=self.path,
            targets=tuple(
                WeightedTarget(target.service, target.weight)
                for target in self.targets
            ),
            repeatable=self.repeatable,
            deadline_ms=self.deadline_ms,
            retries=self.retries,
            hedge_ms=self.hedge_ms,
            priority=Priority[self.priority.upper()],
            origin=Origin(UNKNOWN_LINE, self.asked_by),
        )


class RoutesModel(_StrictModel):
    """Part `routes/<service>`."""

    routes: tuple[RouteModel, ...]

    def to_document(self) -> RuleDocument:
        """Returns the routes of the part."""
        routes = tuple(route.to_rule() for route in self.routes)
        return RuleDocument((), (), routes, ())


class ServiceModel(_StrictModel):
    """Part `service/<service>`."""

    name: str
    slots: Number
    connections: Number
    queue: Number
    priority: PriorityName
    ramp_ms: Number
    ramp_start: Number
    asked_by: str

    def to_document(self) -> RuleDocument:
        """Returns the service rule without a line number."""
        rule = ServiceRule(
            name=self.name,
            slots=self.slots,
            connections=self.connections,
            queue=self.queue,
            priority=Priority[self.priority.upper()],
            ramp_s=self.ramp_ms / 1000,
            ramp_start=self.ramp_start,
            origin=Origin(UNKNOWN_LINE, self.asked_by),
        )
        return RuleDocument((), (rule,), (), ())


class ZoneModel(_StrictModel):
    """One availability zone."""

    name: str
    is_out: bool
    asked_by: str

    def to_rule(self) -> ZoneRule:
        """Returns the zone rule without a line number."""
        return ZoneRule(
            self.name, self.is_out, Origin(UNKNOWN_LINE, self.asked_by)
        )


class DrainModel(_StrictModel):
    """One drained instance."""

    instance_id: str
    asked_by: str

    def to_rule(self) -> DrainRule:
        """Returns the drain rule without a line number."""
        return DrainRule(self.instance_id, Origin(UNKNOWN_LINE, self.asked_by))


class OperationsModel(_StrictModel):
    """Part `operations`."""

    zones: tuple[ZoneModel, ...]
    drains: tuple[DrainModel, ...]

    def to_document(self) -> RuleDocument:
        """Returns the zones and drains of the part."""
        zones = tuple(zone.to_rule() for zone in self.zones)
        drains = tuple(drain.to_rule() for drain in self.drains)
        return RuleDocument(zones, (), (), drains)
