"""Settings of a mesh node and their validation."""

import ipaddress
from typing import Annotated, Literal

import pydantic
import yaml

from magnoliafork.model.result import Err, Ok, Result

Share = Annotated[float, pydantic.Field(ge=0, le=10)]
Seconds = Annotated[float, pydantic.Field(ge=0, le=3600)]


class _Section(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)


def _check_address(text: str) -> str:
    host, separator, port = text.rpartition(":")
    try:
        ipaddress.ip_address(host)
    except ValueError:
        raise ValueError(f"must be IP:PORT, not '{text}'") from None
    if not separator or not port.isdigit() or not 0 <= int(port) <= 65535:
        raise ValueError(f"must be IP:PORT, not '{text}'")
    return text


Address = Annotated[str, pydantic.AfterValidator(_check_address)]


class Placement(_Section):
    """Where the node runs.

    Attributes:
        host: IP address of the machine; names the node among its peers.
        zone: Availability zone.
        service: Service of the upstream on this machine.
    """

    host: Annotated[str, pydantic.Field(min_length=1)]
    zone: Annotated[str, pydantic.Field(min_length=1)]
    service: Annotated[str, pydantic.Field(min_length=1)]


class Addresses(_Section):
    """Addresses that the node listens on and connects to.

    Attributes:
        callers: Listens for requests of callers on this machine.
        peers: Listens for other nodes; the port is the same on all machines.
        ready: Listens for readiness checks.
        metrics: Listens for requests for metrics.
        upstream: Connects to the upstream on this machine.
        store: Connects to the store of the published state.
    """

    callers: Address
    peers: Address
    ready: Address
    metrics: Address
    upstream: Address
    store: Address


class Bounds(_Section):
    """Limits that the deployment sets.

    Attributes:
        grace_period_s: Time between SIGTERM and SIGKILL.
        drain_timeout_ms: Time for which an upstream that leaves serves after
            its entry in the store has changed.
        retry_budget_ratio: Extra attempts allowed for each request.
        retry_budget_slack: Extra attempts of the fleet in a window.
        retry_budget_window_s: Length of that window.
        cold_rate_factor: Share of a service's stated rate that its cold
            upstreams may get.
        quota_window_s: Length of the windows in which a tenant's requests are
            counted: its rate times the window, and its burst, are allowed.
        quota_overage: Share by which a quota may be exceeded in a window.
        quota_slack: Requests by which it may be exceeded besides.
        key_withdrawal_ms: Time after which a withdrawn API key must not be used
            on any node; without a value, only nodes that get changes follow.
    """

    grace_period_s: Seconds = 6.0
    drain_timeout_ms: Annotated[float, pydantic.Field(ge=0)] = 2000.0
    retry_budget_ratio: Share = 0.2
    retry_budget_slack: Annotated[float, pydantic.Field(ge=0)] = 60.0
    retry_budget_window_s: Annotated[float, pydantic.Field(gt=0)] = 10.0
    cold_rate_factor: Annotated[float, pydantic.Field(gt=0, le=10)] = 1.5
    quota_window_s: Annotated[float, pydantic.Field(ge=1, le=60)] = 5.0
    quota_overage: Share = 0.25
    quota_slack: Annotated[float, pydantic.Field(ge=0)] = 0.0
    # Readers need an answer of the store, and time to pass it on.
    key_withdrawal_ms: (
        Annotated[float, pydantic.Field(ge=2000, le=3_600_000)] | None
    ) = None


class Limits(_Section):
    """What the process may use.

    Attributes:
        descriptors: Open files and connections; by default the limit of the
            process. Callers get half of them. The loop accepts up to 100
            connections before it closes any.
        memory_mb: Memory of the machine, in units of 1024 x 1024 bytes; by
            default what the system tells. Callers get a part of it.
    """

    descriptors: Annotated[int, pydantic.Field(ge=512)] | None = None
    memory_mb: Annotated[int, pydantic.Field(ge=96)] | None = None


class Logs(_Section):
    """What is logged.

    Attributes:
        level: Lowest level that is written.
    """

    level: Literal["debug", "info", "warning", "error"] = "info"


class MeshSettings(_Section):
    """All settings of a mesh node."""

    node: Placement
    addresses: Addresses
    bounds: Bounds = Bounds()
    limits: Limits = Limits()
    logs: Logs = Logs()


def load(text: str) -> Result[MeshSettings, str]:
    """Loads settings from YAML text and reports all errors at once.

    >>> load("node: 3").errors[0]
    'node: Input should be a valid dictionary or instance of Placement'
    """
    try:
        values = yaml.safe_load(text)
    except yaml.YAMLError as error:
        return Err((f"not YAML: {error}",))
    try:
        return Ok(MeshSettings.model_validate(values))
    except pydantic.ValidationError as failure:
        return Err(
            tuple(
                ".".join(str(part) for part in detail["loc"])
                + f": {detail['msg']}"
                for detail in failure.errors(include_url=False)
            )
        )


def split_address(address: str) -> tuple[str, int]:
    """Splits a validated address.

    >>> split_address("10.1.0.8:8301")
    ('10.1.0.8', 8301)
    """
    host, _, port = address.rpartition(":")
    return host, int(port)
