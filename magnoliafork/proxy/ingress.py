"""HTTP server for callers.

Built on aiohttp's low-level server: one handler sees every request, also those
that no path pattern would match, and no routing table runs before it.
"""

import asyncio
import dataclasses
import logging
import re
import secrets
from typing import Any, Protocol

from aiohttp import hdrs, web
from multidict import CIMultiDict, CIMultiDictProxy

from magnoliafork.model.manifest import canonical_json
from magnoliafork.model.request import (
    Answered,
    NotRun,
    NotRunReason,
    OutcomeUnknown,
    UnknownReason,
)
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
from magnoliafork.proxy.sender import Handled, IngressRequest

DEADLINE_HEADER = "Magnolia-Deadline-Ms"
ATTEMPT_HEADER = "Magnolia-Attempt"
KEY_HEADER = "Idempotency-Key"
OUTCOME_HEADER = "Magnolia-Outcome"
REQUEST_ID_HEADER = "Magnolia-Request-Id"

OUTCOME_ANSWERED = "answered"
OUTCOME_NOT_RUN = "not-run"
OUTCOME_UNKNOWN = "unknown"

MAX_DEADLINE_MS = 3_600_000
MAX_KEY_CHARS = 255
MIN_RETRY_AFTER_S = 1

_STATUS_OF_REASON = {
    NotRunReason.NO_ROUTE: 404,
    NotRunReason.BAD_REQUEST: 400,
    NotRunReason.BODY_TOO_LARGE: 413,
    NotRunReason.KEY_REUSED: 422,
}
_SERVICE_UNAVAILABLE = 503
_GATEWAY_TIMEOUT = 504
_REQUEST_TIMEOUT = 408
_HEADERS_TOO_LARGE = 431
_CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
_REFUSAL = (
    b"HTTP/1.1 503 Service Unavailable\r\n"
    b"Magnolia-Outcome: not-run\r\nRetry-After: 1\r\n"
    b"Content-Length: 0\r\nConnection: close\r\n\r\n"
)
_KEY = re.compile(rf"[\x21-\x7e]{{1,{MAX_KEY_CHARS}}}")
_INTERNAL_ERROR = 500
_BACKLOG = 1024
# Half of the transport's default high-water mark leaves room for the headers.
_BUFFERED_BYTES = 32 * 1024
# Time to read the rest of a refused body, so that the answer is not lost to a
# connection reset.
_LINGERING_S = 2.0
_LAST_READ_S = 0.05
_FLUSH_S = 1.0
_FLUSH_POLL_S = 0.01

_log = logging.getLogger(__name__)


@dataclasses.dataclass(frozen=True, slots=True)
class IngressLimits:
    """Limits on callers.

    Attributes:
        max_body_bytes: Longest body; a larger one is refused with 413.
        max_header_bytes: Names and values of all headers together; below the
            frame limit between nodes together with the longest body.
        max_field_bytes: Longest header value or request line.
        max_headers: Number of headers.
        max_connections: Connections at a time.
        head_timeout_s: Longest time until the headers of the next request
            are complete, from the start or the last answer.
        body_timeout_s: Longest time until the body is complete.
        write_timeout_s: Longest time until the caller has taken an answer.
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
        refused_connections: Connections above the cap.
        slow_bodies: Bodies that did not arrive in time.
        slow_readers: Answers that the caller did not take in time.
        in_flight: Requests whose answer is not written yet.
    """

    refused: int = 0
    refused_connections: int = 0
    slow_bodies: int = 0
    slow_readers: int = 0
    in_flight: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class _Refusal:
    """A request that the ingress refuses itself."""

    status: int
    reason: NotRunReason


class RequestHandler(Protocol):
    """Handles the requests that the ingress has accepted."""

    async def handle_with_id(self, request: IngressRequest) -> Handled:
        """Returns the only outcome of a request and its id."""
        ...


class IngressApp:
    """Translates between HTTP and the sender."""

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
        """Handles one request up to the last byte of its answer."""
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
        if _fits_into_buffer(request, response):
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
            # The whole body is here; reading it does not wait.
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


def _fits_into_buffer(request: web.BaseRequest, response: web.Response) -> bool:
    """Tells whether an answer can be written without waiting."""
    transport = request.transport
    return (
        transport is not None
        and transport.get_write_buffer_size() == 0
        and isinstance(response.body, bytes)
        and len(response.body) < _BUFFERED_BYTES
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
    options = _options(received)
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
    """What a caller asks of the system itself."""

    deadline_ms: int | None
    key: str
    is_first_attempt: bool


def _options(received: CIMultiDictProxy[str]) -> _Options | None:
    """Reads the documented headers; None if one of them is malformed."""
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


def to_response(handled: Handled, method: str) -> web.Response:
    """Translates an outcome into HTTP."""
    outcome = handled.outcome
    if isinstance(outcome, Answered):
        return _answer_response(handled.request_id, outcome, method)
    status, name = _status_of(outcome)
    response = _outcome_response(
        status, name, outcome.reason.value, handled.request_id
    )
    if isinstance(outcome, NotRun) and status == _SERVICE_UNAVAILABLE:
        retry_after_s = max(
            -(-outcome.retry_after_ms // 1000), MIN_RETRY_AFTER_S
        )
        response.headers[hdrs.RETRY_AFTER] = str(retry_after_s)
    return response


def refusal_response(status: int, reason: NotRunReason) -> web.Response:
    """Returns the answer to a request that the ingress refuses itself."""
    response = _outcome_response(
        status, OUTCOME_NOT_RUN, reason.value, secrets.token_hex(16)
    )
    response.force_close()
    return response


def broken_response() -> web.Response:
    """Returns the answer after a fault in this process.

    The request may have run, so that only "unknown" is true.
    """
    response = _outcome_response(
        _GATEWAY_TIMEOUT,
        OUTCOME_UNKNOWN,
        UnknownReason.NO_REPLY.value,
        secrets.token_hex(16),
    )
    response.force_close()
    return response


def _status_of(outcome: NotRun | OutcomeUnknown) -> tuple[int, str]:
    if isinstance(outcome, OutcomeUnknown):
        return _GATEWAY_TIMEOUT, OUTCOME_UNKNOWN
    status = _STATUS_OF_REASON.get(outcome.reason, _SERVICE_UNAVAILABLE)
    return status, OUTCOME_NOT_RUN


def _outcome_response(
    status: int, outcome: str, reason: str, request_id: str
) -> web.Response:
    body = canonical_json(
        {"outcome": outcome, "reason": reason, "request_id": request_id}
    )
    return web.Response(
        status=status,
        body=body,
        headers={
            OUTCOME_HEADER: outcome,
            REQUEST_ID_HEADER: request_id,
            hdrs.CONTENT_TYPE: "application/json",
        },
    )


def _answer_response(
    request_id: str, answer: Answered, method: str
) -> web.Response:
    connection = [
        value for name, value in answer.headers if name.lower() == "connection"
    ]
    headers = CIMultiDict(end_to_end(answer.headers, connection))
    headers[OUTCOME_HEADER] = OUTCOME_ANSWERED
    headers[REQUEST_ID_HEADER] = request_id
    if method == hdrs.METH_HEAD and not answer.body:
        # The length of a body that is not sent is the upstream's to tell.
        for name, value in answer.headers:
            if name.lower() == "content-length":
                headers[hdrs.CONTENT_LENGTH] = value
    return web.Response(status=answer.status, body=answer.body, headers=headers)


class _RefuseConnection(asyncio.Protocol):
    """Answers a connection above the cap and closes it."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.WriteTransport)
        transport.write(_REFUSAL)
        transport.close()


class _Handler(web.RequestHandler):
    """Connection whose protocol errors carry an outcome as well."""

    def handle_error(
        self,
        request: web.BaseRequest,
        status: int = 500,
        exc: BaseException | None = None,
        message: str | None = None,
    ) -> web.StreamResponse:
        """Answers a request that is not valid HTTP or that failed here."""
        if request.writer.output_size > 0:
            raise ConnectionError("the answer has been sent in part")
        if status < _INTERNAL_ERROR:
            # Not logged above debug level: any caller could fill the log.
            _log.debug("malformed request: %s", message)
            return refusal_response(status, NotRunReason.BAD_REQUEST)
        _log.error("request handler failed", exc_info=exc)
        return broken_response()


class IngressRunner:
    """Listens for callers and stops without cutting an answer."""

    def __init__(self, app: IngressApp, host: str, port: int) -> None:
        """Creates a runner; port 0 takes a free one."""
        self._app = app
        self._host = host
        self._port = port
        self._web_server: web.Server | None = None
        self._listener: asyncio.Server | None = None

    @property
    def port(self) -> int:
        """Port on which the ingress listens."""
        if self._listener is None or not self._listener.sockets:
            return self._port
        return int(self._listener.sockets[0].getsockname()[1])

    @property
    def connection_count(self) -> int:
        """Number of open connections of callers."""
        if self._web_server is None:
            return 0
        return len(self._web_server.connections)

    async def start(self) -> None:
        """Starts to listen."""
        loop = asyncio.get_running_loop()
        self._web_server = web.Server(
            self._app.serve,
            request_factory=self._make_request,
            handler_cancellation=True,
        )
        self._listener = await loop.create_server(
            self._make_protocol, self._host, self._port, backlog=_BACKLOG
        )

    def begin_stop(self) -> None:
        """Closes each connection after its next answer from now on.

        The listener stays open, so that callers get a 503 instead of a
        refused connection until the node has spread its state.
        """
        self._app.begin_stop()

    async def stop(self, timeout_s: float) -> int:
        """Waits for the answers in flight, then closes all connections.

        Returns:
            The number of requests that were cut off at the time limit.
        """
        self._app.begin_stop()
        loop = asyncio.get_running_loop()
        end_s = loop.time() + timeout_s
        await self._app.drained(timeout_s)
        if self._listener is not None:
            self._listener.close()
        # Requests that are in the socket buffers already still get their 503.
        await asyncio.sleep(_LAST_READ_S)
        cut = await self._app.drained(max(end_s - loop.time(), 0.0))
        if self._web_server is not None:
            await self._close_connections(self._web_server)
        return cut

    async def _close_connections(self, server: web.Server) -> None:
        for connection in server.connections:
            # Closing a transport still sends what its buffer holds.
            connection.force_close()
        loop = asyncio.get_running_loop()
        end_s = loop.time() + _FLUSH_S
        while server.connections and loop.time() < end_s:
            await asyncio.sleep(_FLUSH_POLL_S)
        await server.shutdown(_FLUSH_POLL_S)

    def _make_protocol(self) -> asyncio.Protocol:
        server = self._web_server
        limits = self._app.limits
        if server is None or self.connection_count >= limits.max_connections:
            self._app.counters.refused_connections += 1
            return _RefuseConnection()
        return _Handler(
            server,
            loop=asyncio.get_running_loop(),
            # Also bounds the headers: the time runs until they are complete.
            keepalive_timeout=limits.head_timeout_s,
            lingering_time=_LINGERING_S,
            max_line_size=limits.max_field_bytes,
            max_field_size=limits.max_field_bytes,
            max_headers=limits.max_headers,
            # The body goes on as it is, with its Content-Encoding.
            auto_decompress=False,
            access_log=None,  # type: ignore[arg-type]
        )

    def _make_request(
        self,
        message: Any,
        payload: Any,
        protocol: web.RequestHandler,
        writer: Any,
        task: "asyncio.Task[None]",
    ) -> web.BaseRequest:
        return web.BaseRequest(
            message,
            payload,
            protocol,
            writer,
            task,
            asyncio.get_running_loop(),
            client_max_size=self._app.limits.max_body_bytes,
        )
