"""The receiver in virtual time with a fake upstream."""

import asyncio
import io
import random
from collections.abc import Awaitable, Callable

from magnoliafork.mesh.crash_suspects import CrashSuspects
from magnoliafork.mesh.header_codec import HealthHeaders, UpstreamNotice
from magnoliafork.mesh.receiver import MeshReceiver
from magnoliafork.mesh.upstream import (
    UpstreamAnswered,
    UpstreamCall,
    UpstreamNotRun,
    UpstreamResult,
)
from magnoliafork.mesh.upstream_table import UpstreamTable
from magnoliafork.observe.logs import EventLog
from magnoliafork.platform.header_codec import PlatformHeaderCodec
from magnoliafork.tests import virtual_time
from magnoliafork.tests.mesh.builders import (
    RETRY_LIMITS,
    PublishedState,
    config,
    entry,
    service,
    tenant_access,
)
from magnoliafork.wire import messages

OWN = entry("a", host="10.0.0.1", slots=4)
COLD_RATE_FACTOR = 1.5
COLD_PER_S = 10.0
INCARNATION = 7


class FakeUpstream:
    """Runs each request for a fixed time and records its arrival."""

    def __init__(self, work_s: float = 0.1) -> None:
        self.work_s = work_s
        self.cold_left_s: float | None = 0.0
        self.is_up = True
        self.result: UpstreamResult | None = None
        self.notice = UpstreamNotice()
        self.health_notice = UpstreamNotice()
        self.arrivals: list[float] = []
        self.stopped = 0
        self.most_active = 0
        self._active = 0

    async def send(self, call: UpstreamCall) -> UpstreamResult:
        if not self.is_up:
            return UpstreamNotRun("cannot connect", was_sent=False)
        self.arrivals.append(asyncio.get_running_loop().time())
        self._active += 1
        self.most_active = max(self.most_active, self._active)
        try:
            await asyncio.sleep(self.work_s)
        except asyncio.CancelledError:
            self.stopped += 1
            raise
        finally:
            self._active -= 1
        return self.result or UpstreamAnswered(200, (), call.body, self.notice)

    async def health(self, path: str) -> HealthHeaders | None:
        del path
        if not self.is_up:
            return None
        return HealthHeaders("a", self.cold_left_s, self.health_notice)


class ReceiverHarness:
    """A receiver with a fake store and a fake upstream."""

    def __init__(self, upstream: FakeUpstream | None = None) -> None:
        loop = asyncio.get_running_loop()
        self.published = PublishedState()
        self.table = UpstreamTable(self.published.view, loop.time, 2.0)
        self.upstream = upstream or FakeUpstream()
        log = EventLog("error", io.StringIO())
        self.suspects = CrashSuspects(loop.time, log)
        self.receiver = MeshReceiver(
            (OWN.host, OWN.port),
            INCARNATION,
            self.published.view,
            self.table,
            self.upstream,
            PlatformHeaderCodec(),
            COLD_RATE_FACTOR,
            RETRY_LIMITS,
            self.suspects,
            tenant_access().keys,
            random.Random(1),
            loop.time,
            log,
        )
        cold = service(cold_requests_per_s=COLD_PER_S)
        self.published.configure(config(services=(cold,)))

    async def announced(self) -> "ReceiverHarness":
        """Publishes the upstream's entry and waits until it is not cold."""
        self.published.announce(OWN)
        await asyncio.sleep(1.0)
        return self

    def call(
        self, request_id: str = "r", **changes: object
    ) -> "asyncio.Task[messages.CallReply]":
        return asyncio.create_task(
            self.receiver.on_call("peer", request(request_id, **changes))
        )


def request(request_id: str = "r", **changes: object) -> messages.CallRequest:
    values: dict[str, object] = {
        "stream_id": 1,
        "request_id": request_id,
        "service_name": "catalogue",
        "method": "GET",
        "path": "/",
        "header_names": (),
        "header_values": (),
        "body": b"",
        "repeatable": True,
        "priority": 2,
        "traceparent": "",
        "remaining_ms": 2000,
        "is_keyed": False,
        "is_first_attempt": False,
        "target_latency_ms": 400,
    }
    return messages.CallRequest(**{**values, **changes})  # type: ignore[arg-type]


def run(test: Callable[[], Awaitable[None]]) -> None:
    async def main() -> None:
        await test()

    virtual_time.run(main())
