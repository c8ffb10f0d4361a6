"""Headers of callers and upstreams, independent of their names on the wire."""

import dataclasses
from collections.abc import Iterable
from typing import Protocol

from magnoliafork.model.request import Headers

RawHeaders = Iterable[tuple[str, str]]


@dataclasses.dataclass(frozen=True, slots=True)
class CallerHeaders:
    """Parsed headers of a caller's request.

    Attributes:
        attempt_id: Id of the caller's attempt; empty if it sent none.
        remaining_ms: How long the caller waits; None if unstated.
        api_key: Key of a tenant; None if the caller sent none. Empty if what it
            sent is no single key, so that it belongs to no tenant.
    """

    attempt_id: str
    remaining_ms: int | None
    api_key: str | None = dataclasses.field(default=None, repr=False)


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamNotice:
    """What an upstream states about itself in an answer.

    Attributes:
        rate_limit_per_s: Requests per second that it takes from all nodes
            together; None if it states no limit.
        is_limit_unreadable: Whether it states a limit that is no number.
        is_leaving: Whether it is about to stop.
    """

    rate_limit_per_s: float | None = None
    is_limit_unreadable: bool = False
    is_leaving: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class AnswerHeaders:
    """Parsed headers of an upstream's answer.

    Attributes:
        attempt_id: Id of the attempt that it answers; empty if unstated.
        is_not_run: Whether the upstream states that it did not run the request.
        is_genuine: Whether the upstream itself may have sent the answer; a
            success without its seal header is not genuine.
        notice: What the upstream states about itself.
    """

    attempt_id: str
    is_not_run: bool
    is_genuine: bool
    notice: UpstreamNotice = UpstreamNotice()


@dataclasses.dataclass(frozen=True, slots=True)
class HealthHeaders:
    """Parsed headers of the answer to a health check.

    Attributes:
        upstream_id: Id of the incarnation that answered; empty if unstated.
        cold_left_s: How long the upstream stays cold; None if the answer does
            not tell.
        notice: What the upstream states about itself.
    """

    upstream_id: str
    cold_left_s: float | None
    notice: UpstreamNotice = UpstreamNotice()


class HeaderCodec(Protocol):
    """Parses and builds the platform's HTTP headers."""

    def parse_caller_headers(self, headers: RawHeaders) -> CallerHeaders:
        """Parses the headers of a caller's request."""
        ...

    def forwarded_headers(
        self, headers: RawHeaders, caller_service: str
    ) -> Headers:
        """Returns the headers of a request to send to the next node.

        Adds the service on whose machine the request entered the mesh. Leaves
        out headers that concern one connection or that `add_attempt_headers`
        sets.
        """
        ...

    def with_tenant(self, headers: Headers, tenant: str) -> Headers:
        """Replaces the caller's credentials by the name of its tenant.

        Without a tenant, an empty name, the upstream gets neither.
        """
        ...

    def add_attempt_headers(
        self, headers: Headers, upstream_id: str, remaining_ms: int
    ) -> Headers:
        """Adds the headers that tell the upstream about this attempt."""
        ...

    def parse_answer_headers(
        self, status: int, headers: RawHeaders
    ) -> AnswerHeaders:
        """Parses the headers of an upstream's answer."""
        ...

    def returned_headers(self, headers: RawHeaders) -> Headers:
        """Returns the headers of an answer to send back to the caller."""
        ...

    def parse_health_headers(
        self, status: int, headers: RawHeaders
    ) -> HealthHeaders | None:
        """Parses the headers of the answer to a health check.

        Returns None if it is not the answer of an upstream to a health check.
        """
        ...
