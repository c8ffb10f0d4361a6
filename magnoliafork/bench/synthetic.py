"""Generates rules, deployments and members of any size for measurements."""

from magnoliafork.model.instance import Instance, Member, MemberState
from magnoliafork.standins.deployments import DeploymentSpec

ZONES = 4
SERVERS_PER_SERVICE = 8
TARGET_ZONES = 16


def rules(service_count: int, retries: int = 2) -> str:
    """Returns a rules file with one route for each service.

    Args:
        service_count: Number of services.
        retries: Retries of the first route; another value changes one part.
    """
    lines = [f"zone zone-{number} # bench" for number in range(ZONES)]
    for number in range(service_count):
        name = f"service-{number}"
        lines.append(f"service {name} slots=12 connections=120 # bench")
        route_retries = retries if number == 0 else 2
        lines.append(
            f"route GET * /{name}/* -> {name} retries={route_retries} # bench"
        )
    return "\n".join(lines) + "\n"


def deployment(node_count: int) -> DeploymentSpec:
    """Returns a deployment with the given number of nodes.

    Args:
        node_count: A multiple of `SERVERS_PER_SERVICE`.
    """
    service_count = node_count // SERVERS_PER_SERVICE
    return DeploymentSpec(
        name="synthetic",
        region="region",
        zones=tuple(f"zone-{number}" for number in range(ZONES)),
        services=tuple(f"service-{n}" for n in range(service_count)),
        servers_per_service=SERVERS_PER_SERVICE,
        slots=12,
        connections=120,
        service_time_s=0.005,
        rules=rules(service_count),
        patterns=(),
        moved_zone="zone-1",
    )


def members(count: int) -> list[Member]:
    """Returns members spread over services and availability zones."""
    return [
        Member(
            Instance(
                instance_id=f"service-{n // SERVERS_PER_SERVICE}-{n}",
                service=f"service-{n // SERVERS_PER_SERVICE}",
                zone=f"zone-{n % TARGET_ZONES}",
                region=f"region-{n % 6}",
                host=f"10.{n >> 8 & 255}.{n & 255}.1",
                peer_port=7101,
            ),
            1_700_000_000_000 + n,
            MemberState.ALIVE,
        )
        for n in range(count)
    ]
