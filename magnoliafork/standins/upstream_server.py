"""Stand-in for an upstream instance with drain, cold start and shedding."""

import asyncio
import collections
import hashlib
import json
import random
import uuid
from collections.abc import Awaitable, Callable

from aiohttp import web

from magnoliafork.standins.http_listener import HttpListener
from magnoliafork.standins.upstream_model import (
    Capacity,
    Hint,
    LaggingHints,
    Run,
    RunEnd,
    UpstreamBehaviour,
)

BOOT_ID_HEADER = "Upstream-Boot-Id"
NOT_RUN_HEADER = "Upstream-Not-Run"
DEADLINE_HEADER = "Magnolia-Deadline-Ms"
REQUEST_ID_HEADER = "Magnolia-Request-Id"
IDEMPOTENCY_KEY_HEADER = "Idempotency-Key"
MAX_BODY_BYTES = 16 * 1024 * 1024

_Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]


def body_digest(body: bytes) -> str:
    """Returns the digest that an answer echoes for a request body."""
    return hashlib.sha256(body).hexdigest()


def is_answer_to(answer: bytes, request_body: bytes, key: str = "") -> bool:
    """Tells whether an upstream's answer is whole and for this request.

    Args:
        answer: Body of the answer.
        request_body: Body of the request.
        key: Idempotency key or request id of the request, if it has one.
    """
    try:
        echoed = json.loads(answer)
    except ValueError:
        return False
    if not isinstance(echoed, dict):
        return False
    names = (echoed.get("idempotency_key"), echoed.get("request_id"))
    is_same_key = not key or key in names
    return is_same_key and echoed.get("body_digest") == body_digest(
        request_body
    )


class UpstreamServer:
    """One upstream instance over HTTP.

    Attributes:
        behaviour: Slots, times and failures.
        runs: Every run, in the order of their starts.
        shed_count: Requests refused as not run.
        crash_count: Crashes from overload.
        peak_active: Most requests that ran at the same time.
        peak_cold_excess: Most requests above the capacity in cold start.
    """

    def __init__(self, behaviour: UpstreamBehaviour | None = None) -> None:
        """Creates an upstream that has not started yet."""
        self.behaviour = behaviour or UpstreamBehaviour()
        self.runs: list[Run] = []
        self.shed_count = 0
        self.crash_count = 0
        self.peak_active = 0
        self.peak_cold_excess = 0
        self._active = 0
        self._is_draining = False
        self._is_crashing = False
        self._boot_id = uuid.uuid4().hex
        self._random = random.Random(self.behaviour.seed)
        self._capacity = Capacity(self.behaviour)
        self._hints = LaggingHints(self.behaviour.hint_lag_s, self._hint(0.0))
        self._restart: asyncio.Task[None] | None = None
        self._overload_check: asyncio.TimerHandle | None = None
        self._listener = HttpListener(self._application())

    @property
    def boot_id(self) -> str:
        """Id that changes with every start of the upstream."""
        return self._boot_id

    @property
    def active(self) -> int:
        """Requests that run now."""
        return self._active

    async def start(self, host: str, port: int) -> int:
        """Starts cold and returns the port, which is chosen if 0 is given."""
        self._capacity.restart(_now_s())
        self._record_hint()
        return await self._listener.start(host, port)

    async def stop(self) -> None:
        """Cuts all connections and frees the port."""
        if self._overload_check is not None:
            self._overload_check.cancel()
        if self._restart is not None:
            self._restart.cancel()
            await asyncio.gather(self._restart, return_exceptions=True)
        await self._listener.stop()

    def drain(self) -> None:
        """Refuses new requests as not run; running ones finish."""
        self._is_draining = True
        self._record_hint()

    def undrain(self) -> None:
        """Accepts requests again."""
        self._is_draining = False
        self._record_hint()

    def begin_cold_start(self) -> None:
        """Begins a cold start without closing any connection."""
        self._boot_id = uuid.uuid4().hex
        self._capacity.restart(_now_s())
        self._record_hint()

    def crash(self) -> None:
        """Cuts all requests and starts cold after `restart_s`."""
        if self._is_crashing:
            return
        self._is_crashing = True
        self._boot_id = uuid.uuid4().hex
        self._restart = asyncio.create_task(self._restart_cold())

    def runs_by_key(self) -> dict[str, list[Run]]:
        """Returns the runs by idempotency key or request id."""
        by_key: dict[str, list[Run]] = collections.defaultdict(list)
        for run in self.runs:
            by_key[run.key].append(run)
        return dict(by_key)

    async def _restart_cold(self) -> None:
        await self._listener.close()
        self._listener.cut_connections()
        await asyncio.sleep(self.behaviour.restart_s)
        self._is_draining = False
        self._capacity.restart(_now_s())
        self._record_hint()
        self._is_crashing = False
        await self._listener.open()

    def _application(self) -> web.Application:
        app = web.Application(
            client_max_size=MAX_BODY_BYTES, middlewares=[self._add_boot_id]
        )
        app.router.add_post("/drain", self._handle_drain)
        app.router.add_get("/health", self._handle_health)
        app.router.add_get("/load", self._handle_load)
        app.router.add_route("*", "/{path:.*}", self._handle_request)
        return app

    @web.middleware
    async def _add_boot_id(
        self, request: web.Request, handler: _Handler
    ) -> web.StreamResponse:
        if self._listener.connection_count > self.behaviour.connections:
            return self._shed("connections")
        if self._listener.is_first_request(request):
            await asyncio.sleep(self.behaviour.connection_cost_s)
        try:
            response = await handler(request)
        except web.HTTPException as error:
            error.headers[BOOT_ID_HEADER] = self._boot_id
            raise
        response.headers[BOOT_ID_HEADER] = self._boot_id
        return response

    async def _handle_drain(self, request: web.Request) -> web.Response:
        self.drain()
        return web.json_response({"draining": True})

    async def _handle_health(self, request: web.Request) -> web.Response:
        await asyncio.sleep(self.behaviour.probe_cost_s)
        health = self._hints.report(_now_s()).health
        if self.behaviour.always_healthy:
            health = "ok"
        status = 200 if health == "ok" else 503
        return web.json_response({"health": health}, status=status)

    async def _handle_load(self, request: web.Request) -> web.Response:
        await asyncio.sleep(self.behaviour.probe_cost_s)
        hint = self._hints.report(_now_s())
        return web.json_response({"active": hint.active, "limit": hint.limit})

    async def _handle_request(self, request: web.Request) -> web.Response:
        body = await request.read()
        remaining_s = _remaining_s(request)
        if remaining_s is not None and remaining_s <= 0:
            return self._shed("deadline")
        if self._is_draining:
            return self._shed("draining")
        now_s = _now_s()
        is_full = self._active >= self.behaviour.slots
        if is_full and self.behaviour.sheds_load:
            # The limit is the same in cold start, although the capacity is
            # lower then.
            return self._shed("overloaded")
        run = self._new_run(request, body, now_s)
        return await self._run(run, remaining_s)

    def _new_run(self, request: web.Request, body: bytes, now_s: float) -> Run:
        request_id = request.headers.get(REQUEST_ID_HEADER, "")
        key = request.headers.get(IDEMPOTENCY_KEY_HEADER, "")
        run = Run(
            key=key or request_id,
            request_id=request_id,
            idempotency_key=key,
            method=request.method,
            path=request.path_qs,
            body_digest=body_digest(body),
            boot_id=self._boot_id,
            started_s=now_s,
        )
        self.runs.append(run)
        return run

    async def _run(self, run: Run, remaining_s: float | None) -> web.Response:
        self._active += 1
        self._observe_load()
        try:
            async with asyncio.timeout(remaining_s):
                await asyncio.sleep(self._service_time_s())
        except TimeoutError:
            run.finish(RunEnd.DEADLINE, _now_s())
            return web.json_response({"error": "deadline"}, status=504)
        except asyncio.CancelledError:
            end = RunEnd.CUT if self._is_crashing else RunEnd.CANCELLED
            run.finish(end, _now_s())
            raise
        finally:
            self._active -= 1
            self._observe_load()
        run.finish(RunEnd.ANSWERED, _now_s())
        return self._answer(run)

    def _observe_load(self) -> None:
        now_s = _now_s()
        self.peak_active = max(self.peak_active, self._active)
        if self._capacity.is_cold(now_s):
            excess = self._active - self._capacity.at(now_s)
            self.peak_cold_excess = max(self.peak_cold_excess, excess)
        self._record_hint()
        self._plan_overload_check(now_s)
        must_crash = self._capacity.should_crash(self._active, now_s)
        if must_crash and not self._is_crashing:
            self.crash_count += 1
            self.crash()

    def _plan_overload_check(self, now_s: float) -> None:
        # Overload must end in a crash even if no request begins or ends.
        if self._overload_check is not None or not self._active:
            return
        if self._capacity.is_overloaded(self._active, now_s):
            self._overload_check = asyncio.get_running_loop().call_later(
                self.behaviour.overload_grace_s, self._check_overload
            )

    def _check_overload(self) -> None:
        self._overload_check = None
        self._observe_load()

    def _service_time_s(self) -> float:
        behaviour = self.behaviour
        spread = 1 + behaviour.jitter * (2 * self._random.random() - 1)
        crowding = max(1.0, self._active / self._capacity.at(_now_s()))
        return behaviour.service_time_s * spread * crowding

    def _answer(self, run: Run) -> web.Response:
        echoed = {
            "service": self.behaviour.service,
            "instance_id": self.behaviour.instance_id,
            "method": run.method,
            "path": run.path,
            "request_id": run.request_id,
            "idempotency_key": run.idempotency_key,
            "body_digest": run.body_digest,
            "padding": "x" * self.behaviour.answer_padding_bytes,
        }
        headers = {REQUEST_ID_HEADER: run.request_id} if run.request_id else {}
        return web.json_response(echoed, headers=headers)

    def _shed(self, reason: str) -> web.Response:
        self.shed_count += 1
        return web.json_response(
            {"error": reason},
            status=503,
            headers={NOT_RUN_HEADER: "1", BOOT_ID_HEADER: self._boot_id},
        )

    def _hint(self, now_s: float) -> Hint:
        health = "draining" if self._is_draining else "ok"
        return Hint(health, self._active, self._capacity.at(now_s))

    def _record_hint(self) -> None:
        now_s = _now_s()
        self._hints.record(self._hint(now_s), now_s)


def _now_s() -> float:
    return asyncio.get_running_loop().time()


def _remaining_s(request: web.Request) -> float | None:
    text = request.headers.get(DEADLINE_HEADER)
    if text is None:
        return None
    try:
        return int(text) / 1000
    except ValueError:
        return None
