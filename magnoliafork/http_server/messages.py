"""Requests and responses of the HTTP server."""

import dataclasses

RawHeaders = list[tuple[str, str]]


@dataclasses.dataclass(eq=False, slots=True)
class HttpRequest:
    """A request as its client sent it.

    Attributes:
        method: Request method.
        target: Request target, in any of its forms.
        headers: Names and values in the order of arrival; values are decoded as
            Latin-1.
        body: Body without its framing.
        is_closing: Whether the client closes the connection after the answer.
        is_http_1_0: Whether the client speaks HTTP/1.0.
        arrived_s: Loop time at which the head was complete.
        is_first_on_connection: Whether it is the first one of its connection.
    """

    method: str
    target: str
    headers: RawHeaders
    is_closing: bool
    is_http_1_0: bool
    arrived_s: float
    body: bytes = b""
    is_first_on_connection: bool = False

    def header(self, name: str) -> str | None:
        """Returns the first value of a header, given in lower case."""
        for key, value in self.headers:
            if key.lower() == name:
                return value
        return None


@dataclasses.dataclass(frozen=True, slots=True)
class HttpResponse:
    """A response.

    Attributes:
        status: Status code.
        headers: Headers without those that frame the message.
        body: Body.
        closes: Whether the connection ends after it.
    """

    status: int
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b""
    closes: bool = False
