"""HTTP server for callers.

It uses aiohttp's low-level server without its router, so that one handler gets
every request, including those whose path no pattern would match.
"""

import asyncio
import dataclasses
import re
from typing import Protocol

from aiohttp import hdrs, web
from multidict import CIMultiDictProxy

from magnoliafork.model.request import NotRunReason
from magnoliafork.proxy.headers import (
    TRACE_HEADER,
    end_to_end,
    host_name,
    is_encodable,
    is_plain_path,
    single_number,
    split_target,
    trace_context,
)
from magnoliafork.proxy.responses import refusal_response, to_response
from magnoliafork.proxy.sender import Handled, IngressRequest

DEADLINE_HEADER = "Magnolia-Deadline-Ms"
ATTEMPT_HEADER = "Magnolia-Attempt"
KEY_HEADER = "Idempotency-Key"

MAX_DEADLINE_MS = 3_600_000
MAX_KEY_CHARS = 255

_REQUEST_TIMEOUT = 408
_HEADERS_TOO_LARGE = 431
_CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
_KEY = re.compile(rf"[\x21-\x7e]{{1,{MAX_KEY_CHARS}}}")
# Half of the transport's default high-water mark; the rest is for the headers.
_MAX_BUFFERED_ANSWER_BYTES = 32 * 1024


@dataclasses.dataclass(frozen=True, slots=True)
class IngressLimits:
    """Limits on callers.

    Attributes:
        max_body_bytes: Longest body; a larger one is refused with 413.
        max_header_bytes: Names and values of all headers together. Together
            with the longest body they must fit into a frame between nodes.
        max_field_bytes: Longest header value or request line.
        max_headers: Number of headers of one request.
        max_connections: Number of open connections.
        head_timeout_s: Longest time until the headers of the next request
            are complete, from the start or the last answer.
        body_timeout_s: Longest time until the body is complete.
        write_timeout_s: Longest time until the caller has read an answer.
    """

    max_body_bytes: int = 1024 * 1024
    max_header_bytes: int = 32 * 1024
    max_field_bytes: int = 8190
    max_headers: int = 100
    max_connections: int = 1024
    head_timeout_s: float = 30.0
    body_timeout_s: float = 10.0
    write_timeout_s: float = 10.0


@dataclasses.dataclass(slots=True)
class IngressCounters:
    """Counts of an ingress since its start.

    Attributes:
        refused: Requests refused before they reached the sender.
        refused_connections: Connections refused above the maximum.
        slow_bodies: Bodies that did not arrive in time.
        slow_readers: Answers that the caller did not read in time.
        in_flight: Requests whose answer is not written yet.
    """

    refused: int = 0
    refused_connections: int = 0
    slow_bodies: int = 0
    slow_readers: int = 0
    in_flight: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class _Refusal:
    """Refusal of a request by the ingress itself."""

    status: int
    reason: NotRunReason


class RequestHandler(Protocol):
    """Handles the requests that the ingress has accepted."""

    async def handle_with_id(self, request: IngressRequest) -> Handled:
        """Returns the outcome of a request and the request id."""
        ...


class IngressApp:
    """Translates HTTP requests for the sender, and outcomes into responses."""

    def __init__(self, sender: RequestHandler, limits: IngressLimits) -> None:
        """Creates the application around a sender."""
        self.limits = limits
        self.counters = IngressCounters()
        self._sender = sender
        self._is_stopping = False
        self._idle = asyncio.Event()
        self._idle.set()

    def begin_stop(self) -> None:
        """Closes each connection after its next answer from now on."""
        self._is_stopping = True

    async def drained(self, timeout_s: float) -> int:
        """Waits until every answer is written.

        Returns:
            The number of answers still missing at the time limit.
        """
        try:
            async with asyncio.timeout(timeout_s):
                await self._idle.wait()
        except TimeoutError:
            pass
        return self.counters.in_flight

    async def serve(self, request: web.BaseRequest) -> web.StreamResponse:
        """Handles one request until its answer is completely written."""
        self.counters.in_flight += 1
        self._idle.clear()
        try:
            response = await self._respond(request)
            if self._is_stopping:
                response.force_close()
            await self._write(request, response)
            return response
        finally:
            self.counters.in_flight -= 1
            if self.counters.in_flight == 0:
                self._idle.set()

    async def _respond(self, request: web.BaseRequest) -> web.Response:
        accepted = await self._accept(request)
        if isinstance(accepted, _Refusal):
            self.counters.refused += 1
            return refusal_response(accepted.status, accepted.reason)
        handled = await self._sender.handle_with_id(accepted)
        return to_response(handled, request.method)

    async def _write(
        self, request: web.BaseRequest, response: web.Response
    ) -> None:
        if _fits_into_write_buffer(request, response):
            await _send(request, response)
            return
        try:
            async with asyncio.timeout(self.limits.write_timeout_s):
                await _send(request, response)
        except TimeoutError:
            self.counters.slow_readers += 1
            if request.transport is not None:
                request.transport.abort()

    async def _accept(
        self, request: web.BaseRequest
    ) -> IngressRequest | _Refusal:
        head = accept_head(request, self.limits.max_header_bytes)
        if isinstance(head, _Refusal):
            return head
        if not request.can_read_body:
            return head
        body = await self._read_body(request)
        if isinstance(body, _Refusal):
            return body
        return dataclasses.replace(head, body=body)

    async def _read_body(self, request: web.BaseRequest) -> bytes | _Refusal:
        too_large = _Refusal(413, NotRunReason.BODY_TOO_LARGE)
        length = request.content_length
        if length is not None and length > self.limits.max_body_bytes:
            return too_large
        if request.content.is_eof() and length is not None:
            # The whole body has arrived, so reading it does not wait.
            return await request.read()
        try:
            async with asyncio.timeout(self.limits.body_timeout_s):
                if hdrs.EXPECT in request.headers:
                    await request.writer.write(_CONTINUE)
                return await request.read()
        except web.HTTPRequestEntityTooLarge:
            return too_large
        except TimeoutError:
            self.counters.slow_bodies += 1
            return _Refusal(_REQUEST_TIMEOUT, NotRunReason.BAD_REQUEST)
        except web.RequestPayloadError:
            return _bad_request()


def build_app(sender: RequestHandler, limits: IngressLimits) -> IngressApp:
    """Creates the ingress application of a node."""
    return IngressApp(sender, limits)


def _fits_into_write_buffer(
    request: web.BaseRequest, response: web.Response
) -> bool:
    """Returns whether an answer can be written without waiting."""
    transport = request.transport
    return (
        transport is not None
        and transport.get_write_buffer_size() == 0
        and isinstance(response.body, bytes)
        and len(response.body) < _MAX_BUFFERED_ANSWER_BYTES
    )


async def _send(request: web.BaseRequest, response: web.Response) -> None:
    await response.prepare(request)
    await response.write_eof()


def _bad_request() -> _Refusal:
    return _Refusal(400, NotRunReason.BAD_REQUEST)


def accept_head(
    request: web.BaseRequest, max_header_bytes: int
) -> IngressRequest | _Refusal:
    """Checks everything but the body of a request."""
    if request.method == hdrs.METH_CONNECT:
        return _bad_request()
    received = request.headers
    parts = split_target(request.raw_path)
    if parts is None or not is_plain_path(parts[1]):
        return _bad_request()
    authority, path = parts
    host = host_name(received.get(hdrs.HOST, ""))
    if authority and host_name(authority) != host:
        return _bad_request()
    headers = end_to_end(received.items(), received.getall("Connection", ()))
    if sum([len(name) + len(value) for name, value in headers]) > (
        max_header_bytes
    ):
        return _Refusal(_HEADERS_TOO_LARGE, NotRunReason.BAD_REQUEST)
    options = _parse_options(received)
    if options is None or not is_encodable(path, headers):
        return _bad_request()
    return IngressRequest(
        method=request.method,
        host=host,
        path=path,
        headers=headers,
        deadline_ms=options.deadline_ms,
        idempotency_key=options.key,
        is_first_attempt=options.is_first_attempt,
        traceparent=trace_context(received.get(TRACE_HEADER, "")),
    )


@dataclasses.dataclass(frozen=True, slots=True)
class _Options:
    """Options that a caller sets by request headers."""

    deadline_ms: int | None
    key: str
    is_first_attempt: bool


def _parse_options(received: CIMultiDictProxy[str]) -> _Options | None:
    """Parses the option headers; returns None if one of them is malformed."""
    deadline_ms = None
    if DEADLINE_HEADER in received:
        deadline_ms = single_number(received.getall(DEADLINE_HEADER))
        if deadline_ms is None or deadline_ms > MAX_DEADLINE_MS:
            return None
    keys = received.getall(KEY_HEADER, [])
    if len(keys) > 1 or (keys and not _KEY.fullmatch(keys[0])):
        return None
    attempt = None
    if ATTEMPT_HEADER in received:
        attempt = single_number(received.getall(ATTEMPT_HEADER))
        if not attempt:
            return None
    return _Options(deadline_ms, keys[0] if keys else "", attempt == 1)
