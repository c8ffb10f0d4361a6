"""Server socket and connections of the ingress."""

import asyncio
import logging
from typing import Any, cast

from aiohttp import web

from magnoliafork.model.request import NotRunReason
from magnoliafork.proxy.caller_connection import CallerConnection
from magnoliafork.proxy.ingress import IngressApp
from magnoliafork.proxy.responses import (
    internal_error_response,
    refusal_response,
)

_REFUSAL = (
    b"HTTP/1.1 503 Service Unavailable\r\n"
    b"Magnolia-Outcome: not-run\r\nRetry-After: 1\r\n"
    b"Content-Length: 0\r\nConnection: close\r\n\r\n"
)
_INTERNAL_ERROR = 500
_BACKLOG = 1024
# Time to read the rest of a refused body; otherwise the connection is reset and
# the caller may lose the answer.
_LINGER_S = 2.0
_SOCKET_READ_WAIT_S = 0.05
_FLUSH_S = 1.0
_FLUSH_POLL_S = 0.01

_log = logging.getLogger(__name__)


class _RefuseConnection(asyncio.Protocol):
    """Refuses a connection above the maximum with a 503 and closes it."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.WriteTransport)
        transport.write(_REFUSAL)
        transport.close()


class _Handler(CallerConnection):
    """Connection that adds an outcome to responses to protocol errors."""

    __slots__ = ()

    def handle_error(
        self,
        request: web.BaseRequest,
        status: int = 500,
        exc: BaseException | None = None,
        message: str | None = None,
    ) -> web.StreamResponse:
        """Answers a request that is not valid HTTP or whose handler failed."""
        if request.writer.output_size > 0:
            raise ConnectionError("the answer has been sent in part")
        if status < _INTERNAL_ERROR:
            # Not logged above debug level: any caller could fill the log.
            _log.debug("malformed request: %s", message)
            return refusal_response(status, NotRunReason.BAD_REQUEST)
        _log.error("request handler failed", exc_info=exc)
        return internal_error_response()


class IngressRunner:
    """Listens for callers, and stops after the answers in flight are sent."""

    def __init__(self, app: IngressApp, host: str, port: int) -> None:
        """Creates a runner; port 0 selects a free port."""
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
        """Starts listening."""
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
        refused connection until the other nodes know that this one stops.
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
        # Requests that are already in the socket buffers still get a 503.
        await asyncio.sleep(_SOCKET_READ_WAIT_S)
        cut = await self._app.drained(max(end_s - loop.time(), 0.0))
        if self._web_server is not None:
            await self._close_connections(self._web_server)
        return cut

    async def _close_connections(self, server: web.Server) -> None:
        loop = asyncio.get_running_loop()
        # A request that has just been read may not have a handler yet.
        busy_end_s = loop.time() + _SOCKET_READ_WAIT_S
        end_s = loop.time() + _FLUSH_S
        while server.connections and loop.time() < end_s:
            is_over = loop.time() >= busy_end_s
            for connection in cast("list[_Handler]", server.connections):
                if is_over or connection.is_idle:
                    # The transport sends the rest of its buffer first.
                    connection.force_close()
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
            # Also limits the time until the headers are complete.
            keepalive_timeout=limits.head_timeout_s,
            lingering_time=_LINGER_S,
            max_line_size=limits.max_field_bytes,
            max_field_size=limits.max_field_bytes,
            max_headers=limits.max_headers,
            # The body is passed on unchanged, with its Content-Encoding.
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
