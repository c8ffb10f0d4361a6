"""What callers and upstreams say in headers, as the node understands it."""

import dataclasses
from collections.abc import Iterable
from typing import Protocol

from magnoliafork.model.request import Headers

RawHeaders = Iterable[tuple[str, str]]


@dataclasses.dataclass(frozen=True, slots=True)
class CallerHeaders:
    """What a caller's headers say.

    Attributes:
        attempt_id: Id of the caller's attempt; empty if it sent none.
        remaining_ms: How long the caller waits, or None if it does not say.
    """

    attempt_id: str
    remaining_ms: int | None


@dataclasses.dataclass(frozen=True, slots=True)
class AnswerHeaders:
    """What the headers of an upstream's answer say.

    Attributes:
        attempt_id: Id of the attempt that it answers; empty if not said.
        is_not_run: Whether the upstream declares that it ran nothing.
        is_genuine: Whether the answer can be the upstream's own; a success
            without the upstream's seal is not.
    """

    attempt_id: str
    is_not_run: bool
    is_genuine: bool


@dataclasses.dataclass(frozen=True, slots=True)
class HealthHeaders:
    """What a health answer says.

    Attributes:
        upstream_id: Id of the incarnation that answered; empty if not said.
        cold_left_s: How long the upstream stays cold.
    """

    upstream_id: str
    cold_left_s: float


class HeaderCodec(Protocol):
    """Reads and writes the platform's headers."""

    def parse_caller_headers(self, headers: RawHeaders) -> CallerHeaders:
        """Reads the headers of a caller's request."""
        ...

    def forwarded_headers(
        self, headers: RawHeaders, caller_service: str
    ) -> Headers:
        """Returns the headers that go on with a request.

        Names the service that the request began beside, and leaves out what
        concerns one connection or is set by `add_attempt_headers`.
        """
        ...

    def add_attempt_headers(
        self, headers: Headers, upstream_id: str, remaining_ms: int
    ) -> Headers:
        """Adds what the upstream needs to know of this attempt."""
        ...

    def parse_answer_headers(
        self, status: int, headers: RawHeaders
    ) -> AnswerHeaders:
        """Reads the headers of an upstream's answer."""
        ...

    def returned_headers(self, headers: RawHeaders) -> Headers:
        """Returns the headers that go back to the caller."""
        ...

    def parse_health_headers(self, headers: RawHeaders) -> HealthHeaders:
        """Reads the headers of a health answer."""
        ...
