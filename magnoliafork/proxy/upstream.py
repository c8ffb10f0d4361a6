"""HTTP client for the upstream on the same host as this node."""

import dataclasses
import re
from types import SimpleNamespace
from typing import Protocol

import aiohttp
import yarl

from magnoliafork.model.request import Headers, NotRunReason, UnknownReason

DEADLINE_HEADER = "Magnolia-Deadline-Ms"
TRACEPARENT_HEADER = "traceparent"
BOOT_ID_HEADER = "Upstream-Boot-Id"
NOT_RUN_HEADER = "Upstream-Not-Run"
MAX_BODY_BYTES = 1024 * 1024
# A loopback connection takes about 1 ms; without this limit, a full accept
# backlog would hold a request until its deadline.
CONNECT_TIMEOUT_S = 1.0
KEEPALIVE_TIMEOUT_S = 15.0

_HOP_BY_HOP = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)
_REPLACED_HEADERS = frozenset(
    {
        "content-length",
        "expect",
        DEADLINE_HEADER.lower(),
        TRACEPARENT_HEADER,
    }
)
_INTERNAL_HEADERS = frozenset({BOOT_ID_HEADER.lower(), NOT_RUN_HEADER.lower()})
_TOKEN = re.compile(r"[!#$%&'*+.^_`|~0-9A-Za-z-]+")
_PATH = re.compile(r"/[!-~]*")
# Excludes surrogates, which stand for bytes that are not valid UTF-8.
_HEADER_VALUE = re.compile(r"[\t -~\x80-\ud7ff\ue000-\U0010ffff]*")
_BODILESS_STATUSES = frozenset({204, 304})
# Lower ones are interim answers, or no HTTP.
_FIRST_FINAL_STATUS = 200


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamRequest:
    """A request for the upstream.

    Attributes:
        method: HTTP method.
        path: Path with its query string, passed on unchanged.
        headers: End-to-end headers.
        body: Whole body.
        remaining_ms: Time until the deadline.
        traceparent: W3C trace context, or an empty string.
        repeatable: Whether the request may run more than once.
        is_fresh: Whether to use a new connection; one is always used if the
            request is not repeatable.
    """

    method: str
    path: str
    headers: Headers
    body: bytes
    remaining_ms: int
    traceparent: str
    repeatable: bool
    is_fresh: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamAnswer:
    """The upstream's complete answer; `boot_id` is empty if it sent none."""

    status: int
    headers: Headers
    body: bytes
    boot_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamNotRun:
    """The upstream certainly did not run the request."""

    reason: NotRunReason
    retry_after_ms: int
    boot_id: str
    detail: str


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamUnknown:
    """The upstream may have run the request.

    Attributes:
        reason: Reason for the caller.
        detail: Description of the cause.
        is_connection_lost: Whether the connection broke, which a restart of
            the upstream may have caused.
    """

    reason: UnknownReason
    detail: str
    is_connection_lost: bool = True


UpstreamResult = UpstreamAnswer | UpstreamNotRun | UpstreamUnknown


class Upstream(Protocol):
    """Client of the upstream beside this node."""

    async def send(self, request: UpstreamRequest) -> UpstreamResult:
        """Sends one request at most once if it is not repeatable.

        Cancelling the calling task closes the connection.
        """
        ...


class _SecondConnectionError(Exception):
    """aiohttp tried to repeat a request on a second connection."""


@dataclasses.dataclass(slots=True)
class _Progress:
    """Progress of sending one request."""

    must_not_repeat: bool
    has_connection: bool = False


class HttpUpstream:
    """Sends requests over HTTP/1.1 to a loopback address."""

    def __init__(
        self, host: str, port: int, max_body_bytes: int = MAX_BODY_BYTES
    ) -> None:
        """Creates the client; must be called in a running event loop."""
        self._base = f"http://{host}:{port}"
        self._max_body_bytes = max_body_bytes
        self._pooled = _session(
            aiohttp.TCPConnector(limit=0, keepalive_timeout=KEEPALIVE_TIMEOUT_S)
        )
        self._fresh = _session(aiohttp.TCPConnector(limit=0, force_close=True))

    async def close(self) -> None:
        """Closes all connections."""
        await self._pooled.close()
        await self._fresh.close()

    async def send(self, request: UpstreamRequest) -> UpstreamResult:
        """Sends one request; see `Upstream`."""
        if not _is_valid(request):
            return _not_run(NotRunReason.BAD_REQUEST, "invalid characters")
        progress = _Progress(must_not_repeat=not request.repeatable)
        try:
            return await self._exchange(request, progress)
        except _SecondConnectionError:
            return _connection_lost("connection broke before the answer")
        except aiohttp.ClientConnectorError as error:
            if progress.has_connection:
                return _connection_lost(str(error))
            return _not_run(NotRunReason.UNREACHABLE, str(error))
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            detail = f"{type(error).__name__}: {error}"
            if progress.has_connection:
                return _connection_lost(detail)
            return _not_run(NotRunReason.UNREACHABLE, detail)
        except ValueError as error:
            if progress.has_connection:
                return _connection_lost(str(error))
            return _not_run(NotRunReason.BAD_REQUEST, str(error))

    async def _exchange(
        self, request: UpstreamRequest, progress: _Progress
    ) -> UpstreamResult:
        is_fresh = request.is_fresh or not request.repeatable
        session = self._fresh if is_fresh else self._pooled
        url = yarl.URL(self._base + request.path, encoded=True)
        async with session.request(
            request.method,
            url,
            headers=_request_headers(request),
            data=request.body or None,
            allow_redirects=False,
            trace_request_ctx=progress,
        ) as response:
            return await self._read(request.method, response)

    async def _read(
        self, method: str, response: aiohttp.ClientResponse
    ) -> UpstreamResult:
        if response.status < _FIRST_FINAL_STATUS:
            return _unusable_answer(f"status {response.status} ends no request")
        boot_id = response.headers.get(BOOT_ID_HEADER, "")
        is_not_run = response.headers.get(NOT_RUN_HEADER) == "1"
        if response.status == 503 and is_not_run:
            return UpstreamNotRun(
                NotRunReason.UPSTREAM_REFUSED,
                _retry_after_ms(response.headers.get("Retry-After", "")),
                boot_id,
                "load shedding",
            )
        if not _has_verifiable_end(method, response):
            return _unusable_answer("the end of the body cannot be verified")
        body = bytearray()
        async for chunk in response.content.iter_any():
            body += chunk
            if len(body) > self._max_body_bytes:
                return _unusable_answer("the answer exceeds the body limit")
        return UpstreamAnswer(
            response.status,
            _answer_headers(method, response),
            bytes(body),
            boot_id,
        )


def _is_valid(request: UpstreamRequest) -> bool:
    """Returns whether the request head is valid HTTP.

    aiohttp reports some errors only after it has connected, when the request
    can no longer be distinguished from one that was sent.
    """
    if not _TOKEN.fullmatch(request.method):
        return False
    if not _PATH.fullmatch(request.path):
        return False
    return all(
        _TOKEN.fullmatch(name) and _HEADER_VALUE.fullmatch(value)
        for name, value in request.headers
    )


def _session(connector: aiohttp.TCPConnector) -> aiohttp.ClientSession:
    session = aiohttp.ClientSession(
        connector=connector,
        cookie_jar=aiohttp.DummyCookieJar(),
        auto_decompress=False,
        timeout=aiohttp.ClientTimeout(
            total=None, sock_connect=CONNECT_TIMEOUT_S
        ),
        skip_auto_headers=(
            "Accept",
            "Accept-Encoding",
            "Content-Type",
            "User-Agent",
        ),
        trace_configs=[_connection_tracing()],
    )
    # aiohttp would repeat a GET by itself when a kept-alive connection breaks,
    # but only the sender may retry, within its budget. aiohttp has no public
    # option for it.
    session._retry_connection = False
    return session


def _connection_tracing() -> aiohttp.TraceConfig:
    """Records when a request gets a connection, after which it may have run.

    aiohttp repeats requests with idempotent methods by itself when the
    connection breaks, even a new one. For a request that may not be repeated,
    this raises an error instead of opening a second connection.
    """

    async def on_create_start(
        session: aiohttp.ClientSession,
        context: SimpleNamespace,
        params: aiohttp.TraceConnectionCreateStartParams,
    ) -> None:
        progress: _Progress = context.trace_request_ctx
        if progress.must_not_repeat and progress.has_connection:
            raise _SecondConnectionError

    async def on_connected(
        session: aiohttp.ClientSession,
        context: SimpleNamespace,
        params: object,
    ) -> None:
        context.trace_request_ctx.has_connection = True

    tracing = aiohttp.TraceConfig()
    tracing.on_connection_create_start.append(on_create_start)
    tracing.on_connection_create_end.append(on_connected)
    tracing.on_connection_reuseconn.append(on_connected)
    return tracing


def _request_headers(request: UpstreamRequest) -> list[tuple[str, str]]:
    kept = [
        (name, value)
        for name, value in _end_to_end(request.headers)
        if name.lower() not in _REPLACED_HEADERS
    ]
    kept.append((DEADLINE_HEADER, str(max(0, request.remaining_ms))))
    if request.traceparent:
        kept.append((TRACEPARENT_HEADER, request.traceparent))
    return kept


def _answer_headers(method: str, response: aiohttp.ClientResponse) -> Headers:
    received = tuple(
        (name.decode("utf-8", "replace"), value.decode("utf-8", "replace"))
        for name, value in response.raw_headers
    )
    dropped = _INTERNAL_HEADERS
    # Where there is a body, its length is computed from the body itself.
    if method != "HEAD" and response.status != 304:
        dropped = dropped | {"content-length"}
    return tuple(
        (name, value)
        for name, value in _end_to_end(received)
        if name.lower() not in dropped
    )


def _end_to_end(headers: Headers) -> Headers:
    """Removes the hop-by-hop headers."""
    dropped = set(_HOP_BY_HOP)
    for name, value in headers:
        if name.lower() == "connection":
            dropped.update(token.strip().lower() for token in value.split(","))
    return tuple(
        (name, value) for name, value in headers if name.lower() not in dropped
    )


def _has_verifiable_end(method: str, response: aiohttp.ClientResponse) -> bool:
    """Returns whether a truncated body can be detected."""
    if method == "HEAD" or response.status in _BODILESS_STATUSES:
        return True
    if "Content-Length" in response.headers:
        return True
    encoding = response.headers.get("Transfer-Encoding", "")
    return encoding.lower().endswith("chunked")


def _retry_after_ms(value: str) -> int:
    return int(value) * 1000 if value.isdecimal() else 0


def _not_run(reason: NotRunReason, detail: str) -> UpstreamNotRun:
    return UpstreamNotRun(reason, 0, "", detail)


def _unusable_answer(detail: str) -> UpstreamUnknown:
    return UpstreamUnknown(UnknownReason.UPSTREAM_BROKE, detail, False)


def _connection_lost(detail: str) -> UpstreamUnknown:
    return UpstreamUnknown(UnknownReason.UPSTREAM_BROKE, detail)
