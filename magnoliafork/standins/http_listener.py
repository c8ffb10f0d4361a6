"""Start and stop of the HTTP servers of the stand-ins."""

import asyncio

from aiohttp import web

SHUTDOWN_TIMEOUT_S = 0.2


class HttpListener:
    """Serves one aiohttp application on a fixed port.

    The listener can be closed and opened again on the same port, and its
    open connections can be cut, so that a stand-in can imitate a crash.
    """

    def __init__(self, app: web.Application) -> None:
        """Wraps an application; nothing is served before `start`."""
        # Handler cancellation ends the work of a request whose caller has
        # closed the connection, which aiohttp does not do by default.
        self._runner = web.AppRunner(
            app,
            access_log=None,
            handler_cancellation=True,
            shutdown_timeout=SHUTDOWN_TIMEOUT_S,
        )
        self._site: web.TCPSite | None = None
        self._host = ""
        self._port = 0
        self._used_connections: set[object] = set()

    @property
    def connection_count(self) -> int:
        """Number of open connections."""
        server = self._runner.server
        return 0 if server is None else len(server.connections)

    def is_first_request(self, request: web.Request) -> bool:
        """Returns whether a request is the first on its connection."""
        if request.protocol in self._used_connections:
            return False
        server = self._runner.server
        if server is not None:
            self._used_connections.intersection_update(server.connections)
        self._used_connections.add(request.protocol)
        return True

    async def start(self, host: str, port: int) -> int:
        """Listens and returns the port, which is chosen if 0 is given."""
        await self._runner.setup()
        self._host = host
        self._port = port
        await self.open()
        self._port = int(self._runner.addresses[0][1])
        return self._port

    async def open(self) -> None:
        """Accepts connections on the listener's port."""
        if self._site is not None:
            return
        self._site = web.TCPSite(
            self._runner, self._host, self._port, reuse_address=True
        )
        await self._site.start()

    async def close(self) -> None:
        """Refuses new connections and keeps the open ones."""
        if self._site is None:
            return
        site = self._site
        self._site = None
        await site.stop()

    def cut_connections(self) -> None:
        """Resets every open connection."""
        server = self._runner.server
        if server is None:
            return
        for protocol in server.connections:
            if protocol.transport is not None:
                protocol.transport.abort()

    async def stop(self) -> None:
        """Cuts all connections and frees the port."""
        self.cut_connections()
        await asyncio.sleep(0)
        self._site = None
        await self._runner.cleanup()
