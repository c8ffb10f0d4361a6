"""HTTP/1.1 connections to the upstream.

The HTTP client library matches answers to requests by their order. An upstream
may send an answer that belongs to an earlier request, so answers must be
matched by the id that they echo. The node therefore manages the connections
itself and uses a library only to parse the messages.
"""

import asyncio
import dataclasses
from collections.abc import Callable
from typing import cast

import h11

from magnoliafork.model.request import Headers

MAX_ANSWER_HEADER_BYTES = 65_536
# Larger answers do not fit into one frame between nodes.
MAX_ANSWER_BODY_BYTES = 1_900_000
# Most answers to earlier requests that are skipped while one answer is awaited.
MAX_SKIPPED_ANSWERS = 4


@dataclasses.dataclass(frozen=True, slots=True)
class HttpAnswer:
    """A complete answer.

    Attributes:
        status: Status code.
        headers: All headers.
        body: Whole body.
        is_reusable: Whether the connection can be used for another request.
        keep_alive_s: Idle time that the upstream announced, or None.
    """

    status: int
    headers: Headers
    body: bytes
    is_reusable: bool
    keep_alive_s: float | None


@dataclasses.dataclass(frozen=True, slots=True)
class HttpFailure:
    """An exchange without a complete answer.

    Attributes:
        detail: Cause for logs.
        has_answer_begun: Whether any byte of an answer had arrived.
        is_malformed: Whether the bytes that arrived are not a valid answer.
    """

    detail: str
    has_answer_begun: bool
    is_malformed: bool = False


AnswerMatcher = Callable[[HttpAnswer], bool]


class HttpConnection(asyncio.Protocol):
    """One connection to the upstream with one request at a time."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        """Creates the protocol of a connection that is not open yet."""
        self._loop = loop
        self._transport: asyncio.Transport | None = None
        self._received = bytearray()
        self._is_at_end = False
        self._error = ""
        self._waiter: asyncio.Future[None] | None = None
        self._is_busy = False
        self.idle_since_s = loop.time()
        self.idle_limit_s: float | None = None
        self.on_closed: Callable[[HttpConnection], None] | None = None
        self.was_closed_here = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Stores the transport of the opened connection."""
        self._transport = cast("asyncio.Transport", transport)

    def data_received(self, data: bytes) -> None:
        """Buffers bytes for the exchange; closes the connection without one."""
        if not self._is_busy:
            # No request is in progress, so no request can have caused them.
            self.close()
            return
        self._received += data
        self._wake()

    def eof_received(self) -> bool:
        """Handles the orderly end of the upstream's data."""
        self._is_at_end = True
        self._wake()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Handles the end of the connection."""
        self._is_at_end = True
        if exc is not None:
            self._error = f"{type(exc).__name__}: {exc}"
        self._transport = None
        self._wake()
        if self.on_closed is not None:
            self.on_closed(self)

    @property
    def is_open(self) -> bool:
        """Whether a request can be sent."""
        transport = self._transport
        return (
            transport is not None
            and not transport.is_closing()
            and not self._is_at_end
        )

    def close(self) -> None:
        """Closes the connection at once."""
        self.was_closed_here = True
        if self._transport is not None:
            self._transport.abort()

    async def exchange(
        self,
        method: str,
        target: str,
        headers: Headers,
        body: bytes,
        matches: AnswerMatcher,
    ) -> HttpAnswer | HttpFailure:
        """Sends a request and waits for the answer to it.

        Cancelling closes the connection, which stops the request at the
        upstream.

        Args:
            method: Request method.
            target: Path and query as the caller sent them.
            headers: Headers without a length.
            body: Whole body.
            matches: Returns whether an answer is the one to this request.
        """
        request = _request(method, target, headers, body)
        self._is_busy = True
        try:
            assert self._transport is not None
            self._transport.write(_encode(request, body))
            for _ in range(MAX_SKIPPED_ANSWERS):
                answer = await self._read_answer(method)
                if isinstance(answer, HttpFailure) or matches(answer):
                    return self._finish(answer)
            return self._finish(
                HttpFailure("too many answers to other requests", True, True)
            )
        except asyncio.CancelledError:
            self.close()
            raise

    def _finish(
        self, result: HttpAnswer | HttpFailure
    ) -> HttpAnswer | HttpFailure:
        self._is_busy = False
        self.idle_since_s = self._loop.time()
        if isinstance(result, HttpFailure):
            self.close()
            return result
        # Bytes after the answer belong to no request.
        if self._received or not result.is_reusable:
            self.close()
            return result
        self.idle_limit_s = result.keep_alive_s
        return result

    async def _read_answer(self, method: str) -> HttpAnswer | HttpFailure:
        parser = _parser(method)
        has_begun = False
        response: h11.Response | None = None
        body = bytearray()
        while True:
            try:
                event = parser.next_event()
            except h11.RemoteProtocolError as error:
                # A connection that ends before any byte is not malformed.
                is_malformed = has_begun and not self._is_at_end
                return HttpFailure(str(error), has_begun, is_malformed)
            if event is h11.NEED_DATA:
                if await self._feed(parser):
                    has_begun = True
                elif self._error:
                    return HttpFailure(self._error, has_begun)
            elif isinstance(event, h11.Response):
                response = event
            elif isinstance(event, h11.Data):
                body += event.data
                if len(body) > MAX_ANSWER_BODY_BYTES:
                    return HttpFailure("answer too large", True)
            elif isinstance(event, h11.ConnectionClosed):
                return HttpFailure("closed without an answer", has_begun)
            elif isinstance(event, h11.EndOfMessage):
                assert response is not None
                self._received = bytearray(parser.trailing_data[0])
                return _answer(response, bytes(body), parser)

    async def _feed(self, parser: h11.Connection) -> bool:
        """Passes the next bytes to the parser; returns false at the end."""
        if not self._received and not self._is_at_end:
            self._waiter = self._loop.create_future()
            try:
                await self._waiter
            finally:
                self._waiter = None
        data = bytes(self._received)
        self._received.clear()
        if data:
            parser.receive_data(data)
            return True
        if not self._error:
            parser.receive_data(b"")
        return False

    def _wake(self) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)


def _parser(method: str) -> h11.Connection:
    """Returns a parser for the answer to one request."""
    parser = h11.Connection(
        h11.CLIENT, max_incomplete_event_size=MAX_ANSWER_HEADER_BYTES
    )
    # `_encode` writes the request; the parser only needs to know its method.
    parser.send(
        h11.Request(method=method, target="/", headers=[("Host", "upstream")])
    )
    parser.send(h11.EndOfMessage())
    return parser


def _request(
    method: str, target: str, headers: Headers, body: bytes
) -> h11.Request:
    pairs = list(headers)
    if body or method not in ("GET", "HEAD", "DELETE", "OPTIONS"):
        pairs.append(("Content-Length", str(len(body))))
    return h11.Request(
        method=method,
        target=target,
        headers=[
            (name.encode("latin-1"), value.encode("latin-1", "surrogateescape"))
            for name, value in pairs
        ],
    )


def _encode(request: h11.Request, body: bytes) -> bytes:
    """Returns a request as bytes; header names keep the caller's case."""
    lines = [request.method + b" " + request.target + b" HTTP/1.1\r\n"]
    for name, value in request.headers.raw_items():
        lines.append(name + b": " + value + b"\r\n")
    lines.append(b"\r\n")
    lines.append(body)
    return b"".join(lines)


def _answer(
    response: h11.Response, body: bytes, parser: h11.Connection
) -> HttpAnswer:
    headers = tuple(
        (name.decode("latin-1"), value.decode("latin-1"))
        for name, value in response.headers.raw_items()
    )
    return HttpAnswer(
        status=response.status_code,
        headers=headers,
        body=body,
        is_reusable=parser.their_state is h11.DONE,
        keep_alive_s=_keep_alive_s(headers),
    )


def _keep_alive_s(headers: Headers) -> float | None:
    """Returns the idle timeout that a `Keep-Alive` header states.

    >>> _keep_alive_s((("Keep-Alive", "timeout=5, max=100"),))
    5.0
    """
    for name, value in headers:
        if name.lower() != "keep-alive":
            continue
        for option in value.split(","):
            key, _, number = option.strip().partition("=")
            # Some characters beyond ASCII are digits but no numbers.
            is_number = number.isascii() and number.isdigit()
            if key.lower() == "timeout" and is_number:
                return float(number)
    return None
