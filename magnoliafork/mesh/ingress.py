"""HTTP server for the callers on this machine."""

import asyncio
import dataclasses
import itertools
import json
from collections.abc import Callable
from typing import Protocol

from magnoliafork.http_server.memory_budget import MemoryBudget
from magnoliafork.http_server.messages import HttpRequest, HttpResponse
from magnoliafork.http_server.request_parser import ParseLimits
from magnoliafork.http_server.server import HttpServer, ServerLimits
from magnoliafork.mesh.header_codec import HeaderCodec
from magnoliafork.mesh.sender import MeshRequest
from magnoliafork.model.request import (
    Answered,
    NotRun,
    NotRunReason,
    Outcome,
    UnknownReason,
)
from magnoliafork.observe.events import Event
from magnoliafork.observe.logs import EventLog

# A body must fit into one frame between nodes.
MAX_BODY_BYTES = 1_900_000
MAX_HEADER_BYTES = 65_536
MAX_HEADERS = 256
# Longer than any idle timeout that operators set for callers, so that a request
# never arrives on a connection that this node is closing.
KEEP_ALIVE_S = 120.0
# How long closing waits until status requests are answered.
STATUS_CLOSE_TIMEOUT_S = 0.05
# How long closing waits until requests of callers are answered and the answers
# have left; part of the time that a graceful stop reserves for closing.
CALLER_CLOSE_TIMEOUT_S = 0.2
# Limits on what is sent to the paths that tell about this node.
STATUS_LIMITS = ServerLimits(
    ParseLimits(head_bytes=16_384, fields=64, body_bytes=4096),
    connections=64,
    head_timeout_s=5.0,
    body_stall_s=5.0,
    write_timeout_s=10.0,
)
STATUS_BUDGET_BYTES = 2_000_000

_STATUS_OF_REASON = {
    NotRunReason.NO_ROUTE: 404,
    NotRunReason.BAD_REQUEST: 400,
    NotRunReason.BODY_TOO_LARGE: 413,
    NotRunReason.UNKNOWN_KEY: 401,
    NotRunReason.OVER_QUOTA: 429,
}
_REASON_OF_STATUS = {
    413: NotRunReason.BODY_TOO_LARGE,
    503: NotRunReason.OVERLOADED,
}
_RETRIABLE_STATUSES = frozenset((429, 503))
_SERVICE_UNAVAILABLE = 503
_BAD_GATEWAY = 502
_GATEWAY_TIMEOUT = 504
_INTERNAL_ERROR = 500
_NOT_FOUND = 404
# Time after which a request may come again that there was no room for.
NO_ROOM_RETRY_S = 1.0


class RequestSender(Protocol):
    """Handles the requests that the ingress has accepted."""

    async def handle(self, request: MeshRequest) -> Outcome:
        """Sends a request and returns its only outcome."""
        ...

    def is_repeatable(self, host: str, target: str) -> bool:
        """Whether the route of a request allows it to run more than once."""
        ...


@dataclasses.dataclass(eq=False, slots=True)
class _UnansweredRequest:
    """A request whose handler runs.

    Attributes:
        arrived_s: Time at which its headers were read.
        request_id: Id for logs.
        is_passed_on: Whether the sender has got it.
    """

    arrived_s: float
    request_id: str = ""
    is_passed_on: bool = False


class MeshIngress:
    """HTTP server that passes the requests of callers to the sender.

    Requests that may be repeated are passed on before earlier ones of their
    connection have answers; answers are in the order of the requests.

    Attributes:
        server: The HTTP server.
        cut: Requests whose connection was closed without a response.
        unsent_bytes: Bytes that were written and had not left when the
            connections were closed.
    """

    def __init__(
        self,
        sender: RequestSender,
        header_codec: HeaderCodec,
        own_service: str,
        name: str,
        refuse_for_s: Callable[[], float | None],
        max_connections: int,
        budget: MemoryBudget,
        log: EventLog,
    ) -> None:
        """Creates an ingress that does not listen yet.

        Args:
            sender: Handles the requests.
            header_codec: Reads and writes the platform's headers.
            own_service: Service of the upstream on this machine.
            name: Name of this process, a part of the request ids.
            refuse_for_s: Returns the `Retry-After` of a request that has just
                arrived and is refused, or None if it is accepted.
            max_connections: Most connections of callers.
            budget: What callers may make the process hold.
            log: Receives the events.
        """
        self._sender = sender
        self._header_codec = header_codec
        self._own_service = own_service
        self._refuse_for_s = refuse_for_s
        self._log = log
        self._ids = (f"{name}-{number}" for number in itertools.count(1))
        self.server = HttpServer(
            self._handle,
            ServerLimits(
                ParseLimits(MAX_HEADER_BYTES, MAX_HEADERS, MAX_BODY_BYTES),
                max_connections,
                idle_timeout_s=KEEP_ALIVE_S,
            ),
            budget,
            error_response=_server_error,
            may_run_ahead=self._may_run_ahead,
        )
        self.server.on_limited = self._log_limited
        self._unanswered: set[_UnansweredRequest] = set()
        self.cut = 0
        self.unsent_bytes = 0

    async def start(self, host: str, port: int) -> int:
        """Listens on a port, or a free one if it is 0, and returns it."""
        return await self.server.start(host, port)

    @property
    def is_stopping(self) -> bool:
        """Whether each connection is closed after its next response."""
        return self.server.is_stopping

    @is_stopping.setter
    def is_stopping(self, value: bool) -> None:
        self.server.is_stopping = value

    @property
    def in_flight(self) -> int:
        """Number of requests without a response."""
        return len(self._unanswered) + self.server.incomplete_requests

    def stop_listening(self) -> None:
        """Stops accepting connections."""
        self.server.stop_listening()

    async def close(self, timeout_s: float = CALLER_CLOSE_TIMEOUT_S) -> None:
        """Closes idle connections at once, and others after their answer.

        Args:
            timeout_s: How long to wait for answers and for written bytes.
        """
        self.stop_listening()
        await self.server.close_idle(timeout_s)
        for unanswered in self._unanswered:
            self._record_cut(unanswered)
        now_s = asyncio.get_running_loop().time()
        for _ in range(self.server.incomplete_requests):
            self._record_cut(_UnansweredRequest(now_s))
        self.unsent_bytes = self.server.unsent_bytes
        await self.server.abort()

    def _log_limited(self, evicted: int) -> None:
        self._log.warning(
            Event.CALLERS_LIMITED,
            connections=self.server.connection_count,
            limit=self.server.limits.connections,
            evicted=evicted,
        )

    def _may_run_ahead(self, request: HttpRequest) -> bool:
        host, target = origin_form(request.header("host") or "", request.target)
        return self._sender.is_repeatable(host, target)

    async def _handle(self, request: HttpRequest) -> HttpResponse:
        unanswered = _UnansweredRequest(request.arrived_s)
        self._unanswered.add(unanswered)
        try:
            return await self._respond(request, unanswered)
        finally:
            self._unanswered.discard(unanswered)

    def _record_cut(self, unanswered: _UnansweredRequest) -> None:
        self.cut += 1
        waited_s = asyncio.get_running_loop().time() - unanswered.arrived_s
        self._log.warning(
            Event.REQUEST_CUT,
            request_id=unanswered.request_id,
            waited_ms=int(waited_s * 1000),
            is_passed_on=unanswered.is_passed_on,
        )

    async def _respond(
        self, request: HttpRequest, unanswered: _UnansweredRequest
    ) -> HttpResponse:
        caller_headers = self._header_codec.parse_caller_headers(
            request.headers
        )
        remaining_s = None
        if caller_headers.remaining_ms is not None:
            remaining_s = caller_headers.remaining_ms / 1000
        request_id = caller_headers.attempt_id or next(self._ids)
        # A caller may reuse an id; ids in the receiver's ledger must be unique.
        unanswered.request_id = f"{request_id}/{next(self._ids)}"
        refuse_for_s = self._refuse_for_s()
        if refuse_for_s is not None:
            retry_after_ms = int(refuse_for_s * 1000)
            return _to_response(NotRun(NotRunReason.LEAVING, retry_after_ms))
        if remaining_s is not None:
            now_s = asyncio.get_running_loop().time()
            remaining_s -= now_s - request.arrived_s
        unanswered.is_passed_on = True
        host, target = origin_form(request.header("host") or "", request.target)
        outcome = await self._sender.handle(
            MeshRequest(
                request_id=unanswered.request_id,
                method=request.method,
                host=host,
                target=target,
                headers=self._header_codec.forwarded_headers(
                    request.headers, self._own_service
                ),
                body=request.body,
                api_key=caller_headers.api_key,
                remaining_s=remaining_s,
                # Callers retry on new connections.
                is_first_attempt=not request.is_first_on_connection,
            )
        )
        return _to_response(outcome)


def origin_form(host: str, target: str) -> tuple[str, str]:
    """Returns the host and the path of a request, whatever its target's form.

    An absolute target names the host itself, and the header does not count.

    >>> origin_form("a.example", "/x?y=1")
    ('a.example', '/x?y=1')
    >>> origin_form("a.example", "http://b.example/x?y=1")
    ('b.example', '/x?y=1')
    >>> origin_form("a.example", "HTTP://b.example?y=1")
    ('b.example', '/?y=1')
    """
    scheme, separator, rest = target.partition("://")
    if target.startswith("/") or not separator or scheme.lower() != "http":
        return host, target
    end = min(
        (at for at in map(rest.find, "/?#") if at >= 0), default=len(rest)
    )
    authority, path = rest[:end], rest[end:]
    return authority, path if path.startswith("/") else f"/{path}"


def _to_response(outcome: Outcome) -> HttpResponse:
    if isinstance(outcome, Answered):
        return HttpResponse(outcome.status, outcome.headers, outcome.body)
    if isinstance(outcome, NotRun):
        status = _STATUS_OF_REASON.get(outcome.reason, _SERVICE_UNAVAILABLE)
        headers: list[tuple[str, str]] = []
        if status in _RETRIABLE_STATUSES:
            retry_after_s = outcome.retry_after_ms / 1000
            headers.append(("Retry-After", f"{retry_after_s:.3f}"))
        if outcome.reason is NotRunReason.UNKNOWN_KEY:
            # RFC 9110, section 11.6.1.
            headers.append(("WWW-Authenticate", "Token"))
        return _error_response(
            status, "not-run", outcome.reason.value, tuple(headers)
        )
    status = _BAD_GATEWAY
    if outcome.reason is UnknownReason.UPSTREAM_TIMEOUT:
        status = _GATEWAY_TIMEOUT
    return _error_response(status, "unknown", outcome.reason.value)


def _server_error(status: int) -> HttpResponse:
    """Returns the response to bytes that the server does not pass on."""
    if status == _INTERNAL_ERROR:
        reason = UnknownReason.NO_REPLY.value
        return dataclasses.replace(
            _error_response(status, "unknown", reason), closes=True
        )
    headers: tuple[tuple[str, str], ...] = ()
    if status == _SERVICE_UNAVAILABLE:
        headers = (("Retry-After", f"{NO_ROOM_RETRY_S:.3f}"),)
    not_run = _REASON_OF_STATUS.get(status, NotRunReason.BAD_REQUEST)
    return _error_response(status, "not-run", not_run.value, headers)


def _error_response(
    status: int,
    outcome: str,
    reason: str,
    headers: tuple[tuple[str, str], ...] = (),
) -> HttpResponse:
    return HttpResponse(
        status,
        (*headers, ("Content-Type", "application/json; charset=utf-8")),
        json.dumps({"outcome": outcome, "reason": reason}).encode(),
    )


class StatusServer:
    """HTTP server for one path, such as a readiness check."""

    def __init__(
        self, path: str, answer: Callable[[], tuple[int, str]]
    ) -> None:
        """Creates a server that does not listen yet.

        Args:
            path: Path that is served; all others get status 404.
            answer: Returns the status and the text of the response.
        """
        self._path = path
        self._answer = answer
        self._server = HttpServer(
            self._handle, STATUS_LIMITS, MemoryBudget(STATUS_BUDGET_BYTES)
        )

    async def start(self, host: str, port: int) -> int:
        """Listens on a port, or a free one if it is 0, and returns it."""
        return await self._server.start(host, port)

    async def close(self) -> None:
        """Closes idle connections at once, and others after their answer."""
        self._server.stop_listening()
        await self._server.close_idle(STATUS_CLOSE_TIMEOUT_S)
        await self._server.abort()

    async def _handle(self, request: HttpRequest) -> HttpResponse:
        if request.target.partition("?")[0] != self._path:
            return HttpResponse(_NOT_FOUND)
        status, text = self._answer()
        content_type = ("Content-Type", "text/plain; charset=utf-8")
        return HttpResponse(status, (content_type,), text.encode())
