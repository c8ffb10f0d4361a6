"""Nodes with upstreams that crash under certain requests, in virtual time.

Senders, receivers and the exchange of records are those of the node; calls and
control messages take a fixed time.
"""

import asyncio
import collections
import io
import random

from magnoliafork.mesh.crash_report_sync import CrashReportSync
from magnoliafork.mesh.crash_suspects import CrashSuspects
from magnoliafork.mesh.header_codec import HealthHeaders
from magnoliafork.mesh.receiver import MeshReceiver
from magnoliafork.mesh.sender import MeshRequest, MeshSender
from magnoliafork.mesh.upstream import (
    UpstreamAnswered,
    UpstreamCall,
    UpstreamNotRun,
    UpstreamResult,
    UpstreamUnknown,
)
from magnoliafork.mesh.upstream_table import UpstreamTable
from magnoliafork.model.request import Outcome
from magnoliafork.observe.logs import EventLog
from magnoliafork.platform.header_codec import PlatformHeaderCodec
from magnoliafork.tests.mesh.builders import (
    RETRY_LIMITS,
    PublishedState,
    config,
    entry,
    service,
    tenant_access,
)
from magnoliafork.wire import messages
from magnoliafork.wire.api import LinkFailure

LINK_DELAY_S = 0.001
CRASH_AFTER_S = 0.05
WORK_S = 0.1
DOWN_S = 3.0
SLOTS = 4


class CrashingUpstream:
    """Crashes under requests whose path ends with `deadly`.

    Attributes:
        runs: Runs by path.
        crashes: Number of crashes.
    """

    def __init__(self, upstream_id: str) -> None:
        self._id = upstream_id
        self._running: set[asyncio.Future[UpstreamResult]] = set()
        self._up_at_s = float("-inf")
        self.runs: collections.Counter[str] = collections.Counter()
        self.crashes = 0

    @property
    def is_up(self) -> bool:
        return asyncio.get_running_loop().time() >= self._up_at_s

    async def send(self, call: UpstreamCall) -> UpstreamResult:
        if not self.is_up:
            return UpstreamNotRun("cannot connect", was_sent=False)
        loop = asyncio.get_running_loop()
        self.runs[call.target] += 1
        ended: asyncio.Future[UpstreamResult] = loop.create_future()
        self._running.add(ended)
        if call.target.endswith("deadly"):
            loop.call_later(CRASH_AFTER_S, self.crash)
        else:
            answer = UpstreamAnswered(200, (), b"")
            loop.call_later(WORK_S, self._end, ended, answer)
        return await ended

    def _end(
        self, ended: "asyncio.Future[UpstreamResult]", result: UpstreamResult
    ) -> None:
        self._running.discard(ended)
        if not ended.done():
            ended.set_result(result)

    def crash(self) -> None:
        """Ends all running requests."""
        if not self._running:
            return
        self.crashes += 1
        self._up_at_s = asyncio.get_running_loop().time() + DOWN_S
        for ended in list(self._running):
            self._end(ended, UpstreamUnknown("reset", True, has_crashed=True))

    async def health(self, path: str) -> HealthHeaders | None:
        del path
        return HealthHeaders(self._id, 0.0) if self.is_up else None


class _Links:
    """Implements `ControlLinks` for one node, with links to all others."""

    def __init__(self, fleet: "CrashFleet", host: str) -> None:
        self._fleet = fleet
        self._host = host

    def neighbours(self) -> tuple[str, ...]:
        return tuple(h for h in self._fleet.nodes if h != self._host)

    def send(self, instance_id: str, message: messages.ControlMessage) -> bool:
        loop = asyncio.get_running_loop()
        target = self._fleet.nodes[instance_id]
        loop.call_later(
            LINK_DELAY_S, target.reports.on_control, self._host, message
        )
        return True

    def set_targets(self, instance_ids: tuple[str, ...]) -> None:
        pass


class _Peers:
    """Implements `PeerCalls` for the senders of a fleet."""

    def __init__(self, fleet: "CrashFleet") -> None:
        self._fleet = fleet

    async def call(
        self,
        instance_id: str,
        request: messages.CallRequest,
        timeout_s: float,
    ) -> messages.CallReply | LinkFailure:
        await asyncio.sleep(LINK_DELAY_S)
        async with asyncio.timeout(timeout_s):
            receiver = self._fleet.nodes[instance_id].receiver
            return await receiver.on_call("peer", request)

    async def fence(
        self,
        instance_id: str,
        request_id: str,
        incarnation: int,
        timeout_s: float,
        moved_to: str = "",
    ) -> messages.StreamReply | LinkFailure:
        raise AssertionError("no link fails")

    async def fence_repeatable(
        self,
        instance_id: str,
        request_id: str,
        incarnation: int,
        timeout_s: float,
    ) -> messages.StreamReply | LinkFailure:
        raise AssertionError("no link fails")


class CrashNode:
    """The parts of a node that a request passes."""

    def __init__(self, fleet: "CrashFleet", host: str, seed: int) -> None:
        clock = asyncio.get_running_loop().time
        log = EventLog("error", io.StringIO())
        view = fleet.published.view
        self.upstream = CrashingUpstream(fleet.ids[host])
        table = UpstreamTable(view, clock, 2.0)
        self.suspects = CrashSuspects(clock, log)
        self.reports = CrashReportSync(
            self.suspects, _Links(fleet, host), clock
        )
        self.receiver = MeshReceiver(
            (host, 8000),
            1,
            view,
            table,
            self.upstream,
            PlatformHeaderCodec(),
            1.5,
            RETRY_LIMITS,
            self.suspects,
            tenant_access().keys,
            random.Random(1),
            clock,
            log,
        )
        self.sender = MeshSender(
            "joliette",
            view,
            table,
            _Peers(fleet),
            RETRY_LIMITS,
            self.suspects,
            tenant_access(),
            random.Random(seed),
            clock,
            log,
            lambda service, seconds: None,
        )


class CrashFleet:
    """Nodes and upstreams of one service that all know each other."""

    def __init__(self, size: int, seed: int = 0) -> None:
        self.published = PublishedState()
        self.published.configure(
            config(services=(service(cold_requests_per_s=1000.0),))
        )
        self.ids = {f"10.0.1.{n}": f"i-{n}" for n in range(size)}
        self.nodes: dict[str, CrashNode] = {}
        for number, host in enumerate(self.ids):
            self.nodes[host] = CrashNode(self, host, seed + number)
        self._hosts = list(self.nodes)
        self._number = 0
        self._ticks: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Announces the upstreams and waits until they are warm."""
        for host, upstream_id in self.ids.items():
            self.published.announce(entry(upstream_id, host=host, slots=SLOTS))
        self._ticks = asyncio.create_task(self._tick())
        for host, node in self.nodes.items():
            for other in self._hosts:
                if other != host:
                    node.reports.on_control(other, self.announce())
        await asyncio.sleep(1.0)

    @staticmethod
    def announce() -> messages.ViewAnnounce:
        """Returns an announcement of a node of this release."""
        return messages.ViewAnnounce(1, 0, 0, accepts_crash_reports=True)

    async def _tick(self) -> None:
        while True:
            await asyncio.sleep(0.1)
            for node in self.nodes.values():
                node.receiver.tick()
                node.suspects.tick()
                node.reports.tick()

    async def stop(self) -> None:
        """Ends the ticks and health checks."""
        if self._ticks is not None:
            self._ticks.cancel()
        for node in self.nodes.values():
            node.receiver.close()

    @property
    def crashes(self) -> int:
        return sum(node.upstream.crashes for node in self.nodes.values())

    async def request(self, path: str) -> Outcome:
        """Sends a caller's request through the next node."""
        self._number += 1
        host = self._hosts[self._number % len(self._hosts)]
        return await self.nodes[host].sender.handle(
            MeshRequest(
                f"r{self._number}",
                "GET",
                "shop.example",
                f"/browse/{path}",
                (),
                b"",
                remaining_s=1.5,
            )
        )
