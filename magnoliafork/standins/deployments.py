"""The two deployments in use today, at their real sizes."""

import dataclasses
import importlib.resources

from magnoliafork.standins.upstream_model import UpstreamBehaviour

COLD_START_S = 3.0


@dataclasses.dataclass(frozen=True, slots=True)
class CallPattern:
    """One kind of request that callers send.

    Attributes:
        method: HTTP method.
        path: Path; `{n}` is replaced by a running number.
        weight: Share among the deployment's patterns.
        is_keyed: Whether callers send an idempotency key.
    """

    method: str
    path: str
    weight: int
    is_keyed: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class DeploymentSpec:
    """Size, rules and traffic of one deployment.

    Attributes:
        name: Name of the deployment.
        region: Region of all its availability zones.
        zones: Availability zones.
        services: Service names.
        servers_per_service: Instances of each service, one zone after the
            other.
        slots: Requests that an upstream runs at a time.
        connections: Connections that an upstream accepts.
        service_time_s: Mean time of a request at an upstream.
        rules: Text of the rules file.
        patterns: Requests of the callers.
        moved_zone: Availability zone that the demo takes out.
    """

    name: str
    region: str
    zones: tuple[str, ...]
    services: tuple[str, ...]
    servers_per_service: int
    slots: int
    connections: int
    service_time_s: float
    rules: str
    patterns: tuple[CallPattern, ...]
    moved_zone: str

    def behaviour(self, service: str, instance_id: str) -> UpstreamBehaviour:
        """Returns how the stand-in of one upstream behaves."""
        return UpstreamBehaviour(
            service=service,
            instance_id=instance_id,
            slots=self.slots,
            connections=self.connections,
            service_time_s=self.service_time_s,
            jitter=0.5,
            cold_slots=2,
            cold_start_s=COLD_START_S,
            connection_cost_s=0.001,
            probe_cost_s=0.006,
        )


def _rules(name: str) -> str:
    folder = importlib.resources.files("magnoliafork.standins")
    return folder.joinpath("rules_files", f"{name}.rules").read_text("utf-8")


LANAUDIERE = DeploymentSpec(
    name="lanaudiere",
    region="quebec",
    zones=("joliette", "rawdon", "berthier"),
    services=("patterns", "commissions", "wool", "dyes"),
    servers_per_service=3,
    slots=12,
    connections=120,
    service_time_s=0.005,
    rules=_rules("lanaudiere"),
    patterns=(
        CallPattern("GET", "/patterns/{n}", 8),
        CallPattern("GET", "/commissions/{n}", 4),
        CallPattern("POST", "/commissions", 2, is_keyed=True),
        CallPattern("POST", "/payments", 1),
        CallPattern("GET", "/loom-schedule?week={n}", 2),
        CallPattern("GET", "/wool/{n}", 2),
        CallPattern("GET", "/dyes/{n}", 1),
    ),
    moved_zone="rawdon",
)

BRANDVOLD = DeploymentSpec(
    name="brandvold",
    region="saskatoon",
    zones=("workshop-east", "workshop-west", "barn", "office"),
    services=("designs", "folding", "washi", "glue"),
    servers_per_service=4,
    slots=6,
    connections=110,
    service_time_s=0.005,
    rules=_rules("brandvold"),
    patterns=(
        CallPattern("GET", "/designs/{n}", 8),
        CallPattern("POST", "/folding-orders", 2, is_keyed=True),
        CallPattern("GET", "/folding-orders/{n}", 2),
        CallPattern("GET", "/washi/{n}", 3),
        CallPattern("GET", "/glue/{n}", 2),
    ),
    moved_zone="barn",
)

DEPLOYMENTS = (LANAUDIERE, BRANDVOLD)
