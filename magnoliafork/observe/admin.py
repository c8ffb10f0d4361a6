"""Admin listener for operators, probes and metric scrapers."""

import dataclasses
import hmac
from collections.abc import Awaitable, Callable

from aiohttp import web
from prometheus_client import CONTENT_TYPE_LATEST

from magnoliafork.model.view import SnapshotView
from magnoliafork.observe.events import Event
from magnoliafork.observe.logs import LEVELS, EventLog
from magnoliafork.observe.metrics import Metrics
from magnoliafork.observe.render import to_json, to_prometheus
from magnoliafork.observe.status import (
    StatusSource,
    routes_status,
    status_json,
)

MAX_BODY_BYTES = 4096
SHUTDOWN_TIMEOUT_S = 0.5

_Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]


class AdminServer:
    """Serves a node's health, status and controls.

    Reading needs no token. Changes need the token from the settings; if the
    settings have none, all changes are refused.
    """

    def __init__(
        self,
        source: StatusSource,
        snapshots: SnapshotView,
        metrics: Metrics,
        log: EventLog,
        token: str | None,
    ) -> None:
        """Creates a listener that is not started yet.

        Args:
            source: Status and controls of the node.
            snapshots: Gives the routes in force.
            metrics: Metrics of the node.
            log: Log whose level can be changed.
            token: Token for changes, or None to refuse them.
        """
        self._source = source
        self._snapshots = snapshots
        self._metrics = metrics
        self._log = log
        self._token = token
        app = web.Application(client_max_size=MAX_BODY_BYTES)
        app.add_routes(
            [
                web.get("/healthz", self._healthz),
                web.get("/readyz", self._readyz),
                web.get("/metrics", self._get_metrics),
                web.get("/status", self._status),
                web.get("/history", self._history),
                web.get("/routes", self._routes),
                web.post("/log-level", self._guard(self._set_log_level)),
                web.post("/drain", self._guard(self._drain)),
            ]
        )
        self._runner = web.AppRunner(
            app, access_log=None, shutdown_timeout=SHUTDOWN_TIMEOUT_S
        )

    async def start(self, host: str, port: int) -> int:
        """Listens and returns the port, which is chosen if 0 is given."""
        await self._runner.setup()
        await web.TCPSite(self._runner, host, port).start()
        return int(self._runner.addresses[0][1])

    async def stop(self) -> None:
        """Stops listening."""
        await self._runner.cleanup()

    def _guard(self, handler: _Handler) -> _Handler:
        async def guarded(request: web.Request) -> web.StreamResponse:
            refusal = self._refusal(request)
            if refusal is None:
                return await handler(request)
            self._log.warning(
                Event.ADMIN_REFUSED,
                path=request.path,
                remote=request.remote,
                status=refusal.status,
            )
            return refusal

        return guarded

    def _refusal(self, request: web.Request) -> web.Response | None:
        if self._token is None:
            return _error(403, "the settings name no admin_token")
        given = request.headers.get("Authorization", "").encode()
        expected = f"Bearer {self._token}".encode()
        if not hmac.compare_digest(given, expected):
            return _error(401, "the token is missing or wrong")
        return None

    async def _healthz(self, request: web.Request) -> web.Response:
        return web.Response(text="ok\n")

    async def _readyz(self, request: web.Request) -> web.Response:
        if self._source.is_ready():
            return web.Response(text="ready\n")
        return web.Response(status=503, text="not ready\n")

    async def _get_metrics(self, request: web.Request) -> web.Response:
        if "application/json" in request.headers.get("Accept", ""):
            return web.json_response(to_json(self._metrics))
        body = to_prometheus(self._metrics, self._source.status())
        return web.Response(
            body=body, headers={"Content-Type": CONTENT_TYPE_LATEST}
        )

    async def _status(self, request: web.Request) -> web.Response:
        return web.json_response(status_json(self._source.status()))

    async def _history(self, request: web.Request) -> web.Response:
        entries = self._source.history()
        return web.json_response([dataclasses.asdict(e) for e in entries])

    async def _routes(self, request: web.Request) -> web.Response:
        routes = routes_status(self._snapshots.current)
        return web.json_response(dataclasses.asdict(routes))

    async def _set_log_level(self, request: web.Request) -> web.Response:
        level = await _string_field(request, "level")
        if not self._log.set_level(level):
            allowed = ", ".join(LEVELS)
            return _error(400, f"level must be one of {allowed}")
        self._log.warning(Event.LOG_LEVEL_CHANGED, new_level=level)
        return web.json_response({"level": level})

    async def _drain(self, request: web.Request) -> web.Response:
        self._source.begin_drain()
        return web.json_response({"draining": True})


async def _string_field(request: web.Request, name: str) -> str:
    try:
        body = await request.json()
    except ValueError:
        return ""
    value = body.get(name) if isinstance(body, dict) else None
    return value if isinstance(value, str) else ""


def _error(status: int, message: str) -> web.Response:
    return web.json_response({"error": message}, status=status)
