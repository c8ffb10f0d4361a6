"""Client of the upstream on this machine with keep-alive connections."""

import asyncio
import dataclasses
import math
from collections.abc import Callable
from typing import Protocol

from magnoliafork.mesh.header_codec import (
    HeaderCodec,
    HealthHeaders,
    UpstreamNotice,
)
from magnoliafork.mesh.http_exchange import (
    MAX_LARGE_ANSWERS,
    HttpAnswer,
    HttpConnection,
    HttpFailure,
    ParseTurns,
)
from magnoliafork.model.request import Headers

# The upstream is on this machine, where connecting takes about 1 ms.
CONNECT_TIMEOUT_S = 0.5
HEALTH_TIMEOUT_S = 1.0
# Upstreams that state no idle timeout close idle connections after 10 s or
# more.
IDLE_LIMIT_S = 6.0
# The upstream starts to count the idle time of a connection earlier than we do.
IDLE_MARGIN_S = 0.5
# An upstream may drop an idle connection, and a request that is sent on it then
# may or may not have run. A request that must not be repeated therefore reuses
# only a connection that was in use very recently.
UNREPEATABLE_IDLE_LIMIT_S = 0.5
# The first request on a connection that the upstream has dropped ends within
# about 1 ms, unread. One that ends later may have run.
STALE_END_S = 0.01
# After that, connections are reused only if they were idle for less than this
# share of the idle time of the dropped one, for a while.
STALE_IDLE_SHARE = 0.5
MIN_IDLE_LIMIT_S = 0.1
STALE_IDLE_LIMIT_HOLD_S = 10.0


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamCall:
    """One request for the upstream.

    Attributes:
        method: Request method.
        target: Path and query.
        headers: Headers to send.
        body: Whole body.
        attempt_id: Id that the answer has to echo.
        is_repeatable: Whether it may run more than once.
    """

    method: str
    target: str
    headers: Headers
    body: bytes
    attempt_id: str
    is_repeatable: bool


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamAnswered:
    """The upstream's complete answer.

    Attributes:
        status: Status code.
        headers: Headers to return to the caller.
        body: Whole body.
        notice: What the upstream states about itself.
    """

    status: int
    headers: Headers
    body: bytes
    notice: UpstreamNotice = UpstreamNotice()


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamNotRun:
    """The upstream certainly did not run the request.

    Attributes:
        detail: Cause for logs.
        was_sent: Whether the request reached the upstream.
        status: Status of its refusal, 0 if there was none.
        notice: What its refusal states about it, if there was one.
    """

    detail: str
    was_sent: bool
    status: int = 0
    notice: UpstreamNotice | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamUnknown:
    """The request was sent and there is no usable answer.

    Attributes:
        detail: Cause for logs.
        is_connection_lost: Whether the connection ended without an answer.
        has_crashed: Whether the upstream accepts no connection any more.
        is_stale: Whether the connection was in use before and ended at once:
            the upstream has most likely dropped it and not read the request.
    """

    detail: str
    is_connection_lost: bool
    has_crashed: bool = False
    is_stale: bool = False


UpstreamResult = UpstreamAnswered | UpstreamNotRun | UpstreamUnknown


class Upstream(Protocol):
    """Interface of the upstream as the receiver uses it."""

    async def send(self, call: UpstreamCall) -> UpstreamResult:
        """Sends a request and returns its result."""
        ...

    async def health(self, path: str) -> HealthHeaders | None:
        """Sends a health check.

        Returns None if the upstream does not answer it.
        """
        ...


@dataclasses.dataclass(frozen=True, slots=True)
class _ConnectFailure:
    """A connection that could not be opened.

    Attributes:
        detail: Cause for logs.
        is_refused: Whether nothing listens on the upstream's port.
    """

    detail: str
    is_refused: bool


class UpstreamClient:
    """Reuses connections to one address and matches answers to requests.

    Attributes:
        connections_opened: Connections opened since the start.
        on_disconnected: Called when the upstream has closed the last one.
    """

    def __init__(
        self,
        host: str,
        port: int,
        header_codec: HeaderCodec,
        clock: Callable[[], float],
    ) -> None:
        """Creates a client without connections."""
        self._address = (host, port)
        self._header_codec = header_codec
        self._clock = clock
        self._idle: list[HttpConnection] = []
        self._open: set[HttpConnection] = set()
        # Bound on the idle time of reused connections, and until when it holds.
        self._stale_limit_s = math.inf
        self._stale_limit_until_s = -math.inf
        self._turns: ParseTurns | None = None
        self._large_answers = asyncio.Semaphore(MAX_LARGE_ANSWERS)
        self.connections_opened = 0
        self.on_disconnected: Callable[[], None] | None = None

    async def close(self) -> None:
        """Closes the idle connections."""
        for connection in list(self._idle):
            connection.close()

    async def send(self, call: UpstreamCall) -> UpstreamResult:
        """Sends a request once and returns its result.

        Cancelling closes the connection, which stops the request at the
        upstream.
        """
        max_idle_s = IDLE_LIMIT_S
        if not call.is_repeatable:
            max_idle_s = UNREPEATABLE_IDLE_LIMIT_S
        connection = self._take_idle(max_idle_s) or await self._connect()
        if isinstance(connection, _ConnectFailure):
            return UpstreamNotRun(connection.detail, was_sent=False)
        was_used, sent_s = connection.exchange_count > 0, self._clock()
        idle_s = sent_s - connection.idle_since_s
        result = await self._exchange(connection, call)
        has_ended_at_once = self._clock() - sent_s < STALE_END_S
        classified = await self._classify_checked(call, result)
        if (
            isinstance(classified, UpstreamUnknown)
            and isinstance(result, HttpFailure)
            and not result.has_answer_begun
            and not classified.has_crashed
        ):
            is_stale = was_used and has_ended_at_once
            if is_stale:
                self._limit_idle_time(idle_s)
            return dataclasses.replace(classified, is_stale=is_stale)
        return classified

    def _limit_idle_time(self, dropped_after_s: float) -> None:
        """Stops reusing connections that have most likely been dropped too."""
        now_s = self._clock()
        self._stale_limit_s = max(
            MIN_IDLE_LIMIT_S,
            min(
                self._stale_idle_limit_s(now_s),
                dropped_after_s * STALE_IDLE_SHARE,
            ),
        )
        self._stale_limit_until_s = now_s + STALE_IDLE_LIMIT_HOLD_S

    def _stale_idle_limit_s(self, now_s: float) -> float:
        is_held = now_s < self._stale_limit_until_s
        return self._stale_limit_s if is_held else math.inf

    async def _classify_checked(
        self, call: UpstreamCall, result: HttpAnswer | HttpFailure
    ) -> UpstreamResult:
        """Classifies a result; tells whether a lost upstream has crashed."""
        classified = self._classify(call, result)
        if (
            not isinstance(classified, UpstreamUnknown)
            or not classified.is_connection_lost
        ):
            return classified
        connection = await self._connect()
        if isinstance(connection, HttpConnection):
            # It lost a connection or an answer, and is there. The next request
            # uses the new connection.
            self._keep(connection)
            return classified
        return dataclasses.replace(
            classified, has_crashed=connection.is_refused
        )

    async def health(self, path: str) -> HealthHeaders | None:
        """Sends a health check; see `Upstream.health`."""
        connection = await self._connect()
        if isinstance(connection, _ConnectFailure):
            return None
        host = f"{self._address[0]}:{self._address[1]}"
        try:
            async with asyncio.timeout(HEALTH_TIMEOUT_S):
                answer = await connection.exchange(
                    "GET", path, (("Host", host),), b"", lambda _: True
                )
        except TimeoutError:
            return None
        self._keep(connection)
        if isinstance(answer, HttpFailure):
            return None
        return self._header_codec.parse_health_headers(
            answer.status, answer.headers
        )

    def _take_idle(self, max_idle_s: float) -> HttpConnection | None:
        now_s = self._clock()
        while self._idle:
            connection = self._idle[-1]
            limit_s = IDLE_LIMIT_S
            if connection.idle_limit_s is not None:
                limit_s = connection.idle_limit_s - IDLE_MARGIN_S
            limit_s = min(limit_s, self._stale_idle_limit_s(now_s))
            idle_s = now_s - connection.idle_since_s
            if connection.is_open and idle_s < min(limit_s, max_idle_s):
                return self._idle.pop()
            if connection.is_open and idle_s < limit_s:
                return None
            self._idle.pop().close()
        return None

    async def _connect(self) -> HttpConnection | _ConnectFailure:
        loop = asyncio.get_running_loop()
        turns = self._turns = self._turns or ParseTurns(loop)
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                _, connection = await loop.create_connection(
                    lambda: HttpConnection(loop, turns, self._large_answers),
                    *self._address,
                )
        except (OSError, TimeoutError) as error:
            return _ConnectFailure(
                f"cannot connect: {type(error).__name__} {error}",
                is_refused=isinstance(error, ConnectionRefusedError),
            )
        self.connections_opened += 1
        self._open.add(connection)
        connection.on_closed = self._forget
        return connection

    async def _exchange(
        self, connection: HttpConnection, call: UpstreamCall
    ) -> HttpAnswer | HttpFailure:
        def attempt_id(answer: HttpAnswer) -> str:
            return self._header_codec.parse_answer_headers(
                answer.status, answer.headers
            ).attempt_id

        result = await connection.exchange(
            call.method,
            call.target,
            call.headers,
            call.body,
            lambda answer: attempt_id(answer) in ("", call.attempt_id),
        )
        if (
            isinstance(result, HttpAnswer)
            and connection.exchange_count > 1
            and not attempt_id(result)
        ):
            # It may be the answer to an earlier request, sent once more.
            connection.close()
            return HttpFailure(
                f"status {result.status} without an id on a used connection",
                has_answer_begun=True,
                is_malformed=True,
            )
        self._keep(connection)
        return result

    def _keep(self, connection: HttpConnection) -> None:
        if not connection.is_open:
            return
        self._idle.append(connection)

    def _forget(self, connection: HttpConnection) -> None:
        self._open.discard(connection)
        if connection in self._idle:
            self._idle.remove(connection)
        is_last = not self._open and not connection.was_closed_here
        if is_last and self.on_disconnected is not None:
            self.on_disconnected()

    def _classify(
        self, call: UpstreamCall, result: HttpAnswer | HttpFailure
    ) -> UpstreamResult:
        if isinstance(result, HttpFailure):
            return UpstreamUnknown(result.detail, not result.is_malformed)
        answer_headers = self._header_codec.parse_answer_headers(
            result.status, result.headers
        )
        if answer_headers.is_not_run:
            return UpstreamNotRun(
                f"status {result.status}",
                True,
                result.status,
                answer_headers.notice,
            )
        is_paired = answer_headers.attempt_id == call.attempt_id
        if not answer_headers.is_genuine or (
            result.status < 300 and not is_paired
        ):
            return UpstreamUnknown(
                f"status {result.status} is not the upstream's answer", False
            )
        return UpstreamAnswered(
            result.status,
            self._header_codec.returned_headers(result.headers),
            result.body,
            answer_headers.notice,
        )
