"""Models of a node's settings, which validate the values."""

import ipaddress
import urllib.parse
from typing import Annotated, Any, Literal, Self

import pydantic
from pydantic_core import PydanticCustomError

from magnoliafork.settings.errors import Place

MAX_BODY_BYTES = 1024 * 1024
MIN_TOKEN_CHARACTERS = 16

# The same pattern as for names in the rules file, since any other name could
# never match a rule.
Name = Annotated[str, pydantic.Field(pattern=r"^[a-z][a-z0-9-]{0,62}$")]
Port = Annotated[int, pydantic.Field(ge=1, le=65535)]
Seconds = Annotated[float, pydantic.Field(gt=0, le=3600)]


def _check_ip_address(text: str) -> str:
    try:
        ipaddress.ip_address(text)
    except ValueError:
        raise _error(f"must be an IP address, not '{text}'") from None
    return text


def _check_http_url(text: str) -> str:
    expected = "must be an http:// or https:// URL with a host"
    try:
        parts = urllib.parse.urlsplit(text)
        has_valid_port = parts.port is None or parts.port > 0
    except ValueError:
        raise _error(expected) from None
    if parts.scheme not in ("http", "https") or not parts.hostname:
        raise _error(expected)
    if not has_valid_port or parts.query or parts.fragment:
        raise _error(f"{expected}, without a query or fragment")
    return text.rstrip("/")


def _check_upstream_url(text: str) -> str:
    # The node forwards the caller's path unchanged, and without TLS.
    parts = urllib.parse.urlsplit(text)
    if parts.scheme != "http" or parts.path:
        raise _error("must be an http:// URL without a path")
    return text


def _error(message: str) -> PydanticCustomError:
    escaped = message.replace("{", "{{").replace("}", "}}")
    return PydanticCustomError("setting", escaped)


IpAddress = Annotated[str, pydantic.AfterValidator(_check_ip_address)]
HttpUrl = Annotated[str, pydantic.AfterValidator(_check_http_url)]

UpstreamUrl = Annotated[HttpUrl, pydantic.AfterValidator(_check_upstream_url)]


class Section(pydantic.BaseModel):
    """Base of all sections: immutable, without unknown keys."""

    model_config = pydantic.ConfigDict(
        frozen=True, extra="forbid", allow_inf_nan=False
    )

    @pydantic.field_validator("*", mode="before")
    @classmethod
    def _reject_booleans(cls, value: Any) -> Any:
        # YAML reads `yes` and `on` as booleans, which pydantic takes as 1.
        if isinstance(value, bool):
            raise _error("must not be a boolean")
        return value


class InstanceSettings(Section):
    """Identity of the instance."""

    instance_id: Name
    service: Name
    zone: Name
    region: Name


class ListenSettings(Section):
    """Addresses on which the node accepts connections."""

    host: IpAddress
    peer_port: Port
    ingress_port: Port
    admin_host: IpAddress = "127.0.0.1"
    admin_port: Port

    @pydantic.model_validator(mode="after")
    def _check_distinct_ports(self) -> Self:
        ports = {self.peer_port, self.ingress_port, self.admin_port}
        if len(ports) < 3:
            raise _error(
                "peer_port, ingress_port and admin_port must be different"
            )
        return self


class UpstreamSettings(Section):
    """The upstream that runs beside the node."""

    url: UpstreamUrl


class SourceSettings(Section):
    """Access to the platform's configuration service."""

    url: HttpUrl
    reads_per_s_fleet: Annotated[float, pydantic.Field(gt=0, le=2000)] = 400
    # Smallest fleet size that a node assumes, also while it knows no other
    # node. 2,300 such nodes read 400 / 500 times a second each: 1,840 reads/s
    # of the 2,000 allowed.
    fleet_size_floor: Annotated[int, pydantic.Field(ge=1)] = 500
    background_reads_per_s: Annotated[float, pydantic.Field(gt=0, le=2000)] = 20


class Seed(Section):
    """A peer that a starting node contacts first."""

    instance_id: Name
    host: IpAddress
    port: Port

    @pydantic.model_validator(mode="before")
    @classmethod
    def _parse(cls, value: Any) -> Any:
        expected = "must have the form id@host:port"
        if isinstance(value, dict):
            return value
        if not isinstance(value, str):
            raise _error(expected)
        instance_id, at, address = value.strip().partition("@")
        host, colon, port = address.rpartition(":")
        if not (at and colon and port.isdecimal()):
            raise _error(f"{expected}, not '{value}'")
        host = host.removeprefix("[").removesuffix("]")
        return {"instance_id": instance_id, "host": host, "port": port}

    def __str__(self) -> str:
        """Returns the form that the settings file uses."""
        host = f"[{self.host}]" if ":" in self.host else self.host
        return f"{self.instance_id}@{host}:{self.port}"


class PeerSettings(Section):
    """Peers that are known before the instance list is read."""

    seeds: tuple[Seed, ...] = ()

    @pydantic.field_validator("seeds", mode="before")
    @classmethod
    def _split(cls, value: Any) -> Any:
        if isinstance(value, str):
            return [item for item in value.split(",") if item.strip()]
        return value


class LimitSettings(Section):
    """Limits on request bodies and callers' connections."""

    body_bytes: Annotated[int, pydantic.Field(ge=1, le=MAX_BODY_BYTES)] = (
        MAX_BODY_BYTES
    )
    ingress_connections: Annotated[int, pydantic.Field(ge=1, le=65536)] = 1024


class TimeoutSettings(Section):
    """Timeouts of a node."""

    join_timeout_s: Seconds = 5.0
    stop_timeout_s: Seconds = 30.0
    source_timeout_s: Seconds = 2.0


class TlsSettings(Section):
    """TLS between nodes."""

    # No default, so that a node communicates without TLS only if that is
    # configured explicitly.
    mode: Literal["off", "mutual"]
    cert_file: str = ""
    key_file: str = ""
    ca_file: str = ""

    @pydantic.field_validator("mode", mode="before")
    @classmethod
    def _accept_off(cls, value: Any) -> Any:
        # YAML reads an unquoted `off` as False.
        return "off" if value is False else value

    @pydantic.model_validator(mode="after")
    def _check_files(self) -> Self:
        files = {
            "cert_file": self.cert_file,
            "key_file": self.key_file,
            "ca_file": self.ca_file,
        }
        absent = [name for name, value in files.items() if not value]
        if self.mode == "mutual" and absent:
            raise _error(f"mode mutual needs {', '.join(absent)}")
        return self


class LogSettings(Section):
    """Log lines on standard error."""

    level: Literal["debug", "info", "warning", "error"] = "info"


class TraceSettings(Section):
    """Traces with a span per hop."""

    sampling_ratio: Annotated[float, pydantic.Field(ge=0, le=1)] = 0.0
    otlp_url: HttpUrl | None = None


class NodeSettings(Section):
    """All settings of a node."""

    instance: InstanceSettings
    listen: ListenSettings
    upstream: UpstreamSettings
    source: SourceSettings
    peers: PeerSettings = PeerSettings()
    limits: LimitSettings = LimitSettings()
    timeouts: TimeoutSettings = TimeoutSettings()
    tls: TlsSettings
    logs: LogSettings = LogSettings()
    traces: TraceSettings = TraceSettings()
    admin_token: (
        Annotated[
            pydantic.SecretStr,
            pydantic.Field(min_length=MIN_TOKEN_CHARACTERS),
        ]
        | None
    ) = None

    _places: dict[str, Place] = pydantic.PrivateAttr(default_factory=dict)

    def place_of(self, name: str) -> Place:
        """Returns where a setting with a dotted name was given."""
        return self._places.get(name, Place())

    def with_places(self, places: dict[str, Place]) -> Self:
        """Records where the settings were given."""
        self._places.update(places)
        return self
