"""Calls to the upstream on this machine over kept connections."""

import asyncio
import dataclasses
from collections.abc import Callable
from typing import Protocol

from magnoliafork.mesh.header_codec import HeaderCodec, HealthHeaders
from magnoliafork.mesh.http_exchange import (
    HttpAnswer,
    HttpBroken,
    HttpConnection,
)
from magnoliafork.model.request import Headers

# The upstream is on this machine; a connection takes about 1 ms.
CONNECT_TIMEOUT_S = 0.5
HEALTH_TIMEOUT_S = 1.0
# Upstreams close idle connections after 10 s or more where they state
# nothing else.
IDLE_LIMIT_S = 6.0
# The upstream's clock for an idle connection starts earlier than ours.
IDLE_MARGIN_S = 0.5
# An upstream may forget an idle connection, and what is sent on it may or may
# not have run; a request that must not be repeated uses a young one.
UNREPEATABLE_IDLE_LIMIT_S = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamCall:
    """One request for the upstream.

    Attributes:
        method: Request method.
        target: Path and query.
        headers: Headers to send.
        body: Whole body.
        attempt_id: Id that the answer must echo.
        is_repeatable: Whether it may be sent twice.
    """

    method: str
    target: str
    headers: Headers
    body: bytes
    attempt_id: str
    is_repeatable: bool


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamAnswered:
    """The upstream's whole answer."""

    status: int
    headers: Headers
    body: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamNotRun:
    """The upstream certainly did not run the request.

    Attributes:
        detail: Cause for logs.
        was_sent: Whether the request reached the upstream.
        status: Status of its refusal, 0 if there was none.
    """

    detail: str
    was_sent: bool
    status: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamUnknown:
    """The request was sent and there is no usable answer.

    Attributes:
        detail: Cause for logs.
        is_connection_lost: Whether the connection ended without an answer.
    """

    detail: str
    is_connection_lost: bool


UpstreamResult = UpstreamAnswered | UpstreamNotRun | UpstreamUnknown


class Upstream(Protocol):
    """What the receiver needs of its upstream."""

    async def send(self, call: UpstreamCall) -> UpstreamResult:
        """Sends a request and returns what became of it."""
        ...

    async def health(self, path: str) -> HealthHeaders | None:
        """Asks for the upstream's health; None without an answer."""
        ...


class UpstreamClient:
    """Keeps connections to one address and pairs answers with requests.

    Attributes:
        connections_opened: Connections since the start.
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
        self.connections_opened = 0
        self.on_disconnected: Callable[[], None] | None = None

    async def close(self) -> None:
        """Closes the idle connections."""
        for connection in list(self._idle):
            connection.close()

    async def send(self, call: UpstreamCall) -> UpstreamResult:
        """Sends a request and returns what became of it.

        Cancelling closes the connection, at which the upstream stops.
        """
        max_idle_s = IDLE_LIMIT_S
        if not call.is_repeatable:
            max_idle_s = UNREPEATABLE_IDLE_LIMIT_S
        kept = self._take_idle(max_idle_s)
        if kept is not None:
            result = await self._exchange(kept, call)
            is_stale = (
                isinstance(result, HttpBroken) and not result.has_answer_begun
            )
            if not is_stale or not call.is_repeatable:
                return self._judge(call, result)
        connection = await self._connect()
        if isinstance(connection, str):
            return UpstreamNotRun(connection, was_sent=kept is not None)
        return self._judge(call, await self._exchange(connection, call))

    async def health(self, path: str) -> HealthHeaders | None:
        """Asks for the upstream's health; None without an answer."""
        connection = await self._connect()
        if isinstance(connection, str):
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
        if isinstance(answer, HttpBroken):
            return None
        return self._header_codec.parse_health_headers(answer.headers)

    def _take_idle(self, max_idle_s: float) -> HttpConnection | None:
        now_s = self._clock()
        while self._idle:
            connection = self._idle[-1]
            limit_s = IDLE_LIMIT_S
            if connection.idle_limit_s is not None:
                limit_s = connection.idle_limit_s - IDLE_MARGIN_S
            idle_s = now_s - connection.idle_since_s
            if connection.is_open and idle_s < min(limit_s, max_idle_s):
                return self._idle.pop()
            if connection.is_open and idle_s < limit_s:
                return None
            self._idle.pop().close()
        return None

    async def _connect(self) -> HttpConnection | str:
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                _, connection = await loop.create_connection(
                    lambda: HttpConnection(loop), *self._address
                )
        except (OSError, TimeoutError) as error:
            return f"cannot connect: {type(error).__name__} {error}"
        self.connections_opened += 1
        self._open.add(connection)
        connection.on_closed = self._forget
        return connection

    async def _exchange(
        self, connection: HttpConnection, call: UpstreamCall
    ) -> HttpAnswer | HttpBroken:
        def belongs(answer: HttpAnswer) -> bool:
            facts = self._header_codec.parse_answer_headers(
                answer.status, answer.headers
            )
            return facts.attempt_id in ("", call.attempt_id)

        result = await connection.exchange(
            call.method, call.target, call.headers, call.body, belongs
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

    def _judge(
        self, call: UpstreamCall, result: HttpAnswer | HttpBroken
    ) -> UpstreamResult:
        if isinstance(result, HttpBroken):
            return UpstreamUnknown(result.detail, not result.is_malformed)
        facts = self._header_codec.parse_answer_headers(
            result.status, result.headers
        )
        if facts.is_not_run:
            return UpstreamNotRun(
                f"status {result.status}", True, result.status
            )
        is_paired = facts.attempt_id == call.attempt_id
        if not facts.is_genuine or (result.status < 300 and not is_paired):
            return UpstreamUnknown(
                f"status {result.status} is not the upstream's answer", False
            )
        return UpstreamAnswered(
            result.status,
            self._header_codec.returned_headers(result.headers),
            result.body,
        )
