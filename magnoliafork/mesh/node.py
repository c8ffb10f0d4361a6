"""Assembles a mesh node from its components and runs its tick."""

import asyncio
import logging
import os
import random
import resource
from collections.abc import Callable, Sequence

from magnoliafork.admission.quota_owner import QuotaPolicy
from magnoliafork.http_server.memory_budget import MemoryBudget, budget_bytes
from magnoliafork.mesh.crash_report_sync import CrashReportSync
from magnoliafork.mesh.crash_suspects import CrashSuspects
from magnoliafork.mesh.elapsed_clock import elapsed_s
from magnoliafork.mesh.graceful_shutdown import ShutdownPlan
from magnoliafork.mesh.header_codec import HeaderCodec
from magnoliafork.mesh.ingress import (
    CALLER_CLOSE_TIMEOUT_S,
    MeshIngress,
    StatusServer,
)
from magnoliafork.mesh.metrics import render
from magnoliafork.mesh.model import UpstreamEntry
from magnoliafork.mesh.published_store import PublishedStore
from magnoliafork.mesh.quota_client import QuotaClient
from magnoliafork.mesh.receiver import MeshReceiver
from magnoliafork.mesh.retry_limits import RetryLimits
from magnoliafork.mesh.sender import MeshSender, TenantAccess
from magnoliafork.mesh.settings import MeshSettings, split_address
from magnoliafork.mesh.store_reader import StoreReader
from magnoliafork.mesh.tenant_keys import KeyPolicy, TenantKeys
from magnoliafork.mesh.upstream import UpstreamClient
from magnoliafork.mesh.upstream_table import UpstreamTable
from magnoliafork.mesh.view import Change, Decode, MeshView, unreadable_changes
from magnoliafork.mesh.view_freshness import ViewFreshness
from magnoliafork.mesh.view_sync import ViewSync
from magnoliafork.model.version import Version
from magnoliafork.observe.events import Event
from magnoliafork.observe.logs import EventLog
from magnoliafork.observe.metrics import Metrics
from magnoliafork.wire import messages
from magnoliafork.wire.api import ControlHandler
from magnoliafork.wire.connector import Connector
from magnoliafork.wire.control_links import ControlLinkManager
from magnoliafork.wire.identity import NodeIdentity
from magnoliafork.wire.link import LinkTraffic
from magnoliafork.wire.pool import PeerPool
from magnoliafork.wire.server import PeerServer

logger = logging.getLogger("magnoliafork")

TICK_S = 0.1
# Random numbers of this size differ for all processes of a fleet's life.
INCARNATION_BITS = 62
# Share of the descriptors that callers may use; the others are for peers, the
# upstream, the store and files.
CALLERS_DESCRIPTOR_SHARE = 0.5
# Used if neither the settings nor the process has a limit.
DEFAULT_DESCRIPTORS = 4096
READY_PATH = "/ready"
METRICS_PATH = "/metrics"


def _max_callers(settings: MeshSettings) -> int:
    """Returns how many connections of callers are accepted."""
    limit = settings.limits.descriptors
    if limit is None:
        limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    if limit == resource.RLIM_INFINITY:
        limit = DEFAULT_DESCRIPTORS
    return int(limit * CALLERS_DESCRIPTOR_SHARE)


def _memory_mb(settings: MeshSettings) -> float:
    """Returns the memory of the machine."""
    if settings.limits.memory_mb is not None:
        return settings.limits.memory_mb
    pages, page_bytes = os.sysconf("SC_PHYS_PAGES"), os.sysconf("SC_PAGE_SIZE")
    return pages * page_bytes / (1024 * 1024)


class _PeerAddresses:
    """Maps peer ids, which are hosts, to addresses with the common port."""

    def __init__(self, port: int) -> None:
        self._port = port

    def address(self, instance_id: str) -> tuple[str, int] | None:
        """Returns the address of a peer."""
        return instance_id, self._port


class _CallHandler:
    """Implements `CallHandler`; reports calling peers to the view sync."""

    def __init__(self, receiver: MeshReceiver, view_sync: ViewSync) -> None:
        self._receiver = receiver
        self._view_sync = view_sync

    async def on_call(
        self, sender_id: str, request: messages.CallRequest
    ) -> messages.CallReply:
        """Runs one request; cancelled when the sender cancels it."""
        self._view_sync.add_bootstrap_peer(sender_id)
        return await self._receiver.on_call(sender_id, request)

    async def on_fence(
        self, sender_id: str, fence: messages.CallFence
    ) -> messages.StreamReply:
        """Returns the outcome of one request or refuses it for ever."""
        return await self._receiver.on_fence(sender_id, fence)


class _ControlHandlers:
    """Implements `ControlHandler`; passes everything to several handlers."""

    def __init__(self, *handlers: ControlHandler) -> None:
        self._handlers = handlers

    def on_control(
        self, instance_id: str, message: messages.ControlMessage
    ) -> None:
        """Handles one control message of a peer."""
        for handler in self._handlers:
            handler.on_control(instance_id, message)

    def on_link_up(self, hello: messages.Hello) -> None:
        """Handles a new control connection."""
        for handler in self._handlers:
            handler.on_link_up(hello)

    def on_link_down(self, instance_id: str) -> None:
        """Handles the loss of a control connection."""
        for handler in self._handlers:
            handler.on_link_down(instance_id)


class MeshNode:
    """Wires, starts and stops the components of one node; runs its tick.

    Attributes:
        longest_tick_delay_s: Longest time by which a tick ran late.
    """

    def __init__(
        self,
        settings: MeshSettings,
        store: PublishedStore,
        decode: Decode,
        header_codec: HeaderCodec,
        rng: random.Random,
        log: EventLog,
        elapsed_clock: Callable[[], float] = elapsed_s,
    ) -> None:
        """Wires a node inside the running loop; `start` opens sockets.

        Args:
            settings: Validated settings.
            store: Store of the published state.
            decode: Decodes the items of the store.
            header_codec: Reads and writes the platform's headers.
            rng: Source of random choices; seeded in tests.
            log: Receives the events.
            elapsed_clock: Time in seconds that also counts suspension.
        """
        self._settings = settings
        self.log = log
        loop = asyncio.get_running_loop()
        clock = loop.time
        host = settings.node.host
        peer_port = split_address(settings.addresses.peers)[1]
        self.view = MeshView(decode)
        self.table = UpstreamTable(
            self.view, clock, settings.bounds.drain_timeout_ms / 1000
        )
        self.traffic = LinkTraffic()
        self.metrics = Metrics()
        # Not the time of day, which may go back between two starts.
        incarnation = rng.getrandbits(INCARNATION_BITS)
        self.freshness = ViewFreshness(self.view, elapsed_clock, incarnation)
        identity = NodeIdentity(
            host,
            process_incarnation=incarnation,
            member_incarnation=lambda: incarnation,
            version=lambda: Version(self.view.revision, ""),
            load=lambda: (self.receiver.active, self.receiver.limit),
        )
        connector = Connector(
            identity, _PeerAddresses(peer_port), self.traffic, None
        )
        self.pool = PeerPool(connector, rng)
        self.links = ControlLinkManager(connector, rng)
        self.view_sync = ViewSync(
            host,
            settings.node.zone,
            self.view,
            self.table,
            self.links,
            clock,
            log,
            self.freshness,
        )
        self.suspects = CrashSuspects(clock, log)
        self.crash_reports = CrashReportSync(self.suspects, self.links, clock)
        self.links.set_handler(
            _ControlHandlers(self.view_sync, self.crash_reports)
        )
        self.reader = StoreReader(
            store,
            self.view,
            self.table,
            self.view_sync,
            rng,
            clock,
            log,
            self.freshness,
        )
        withdrawal_ms = settings.bounds.key_withdrawal_ms
        self.keys = TenantKeys(
            KeyPolicy(withdrawal_ms / 1000 if withdrawal_ms else None),
            self.freshness.age_s,
        )
        quota_policy = QuotaPolicy(
            settings.bounds.quota_window_s,
            settings.bounds.quota_overage,
            settings.bounds.quota_slack,
        )
        self.quotas = QuotaClient(
            host, self.view, self.freshness, self.pool, quota_policy
        )
        bounds = settings.bounds
        retry_limits = RetryLimits(
            bounds.retry_budget_ratio,
            bounds.retry_budget_slack,
            bounds.retry_budget_window_s,
        )
        upstream_address = split_address(settings.addresses.upstream)
        self.client = UpstreamClient(*upstream_address, header_codec, clock)
        self.receiver = MeshReceiver(
            upstream_address,
            incarnation,
            self.view,
            self.table,
            self.client,
            header_codec,
            bounds.cold_rate_factor,
            retry_limits,
            self.suspects,
            self.keys,
            rng,
            clock,
            log,
        )
        self.client.on_disconnected = self.receiver.on_disconnected
        self.sender = MeshSender(
            settings.node.zone,
            self.view,
            self.table,
            self.pool,
            retry_limits,
            self.suspects,
            TenantAccess(self.keys, self.quotas, header_codec.with_tenant),
            rng,
            clock,
            log,
            self.metrics.record_call,
        )
        self.ingress = MeshIngress(
            self.sender,
            header_codec,
            settings.node.service,
            f"{host}-{incarnation:x}",
            self._refuse_callers_for_s,
            _max_callers(settings),
            MemoryBudget(budget_bytes(_memory_mb(settings))),
            log,
        )
        self._ready = StatusServer(READY_PATH, self._readiness)
        self._metrics_server = StatusServer(
            METRICS_PATH, lambda: (200, render(self))
        )
        self._server = PeerServer(
            identity,
            _CallHandler(self.receiver, self.view_sync),
            self.links,
            self.traffic,
            None,
            self.quotas,
        )
        self._clock = clock
        self._tasks: list[asyncio.Task[None]] = []
        self._loop = loop
        self.stop_requested = asyncio.Event()
        self._stop_requested_s: float | None = None
        self.longest_tick_delay_s = 0.0
        self.shutdown_plan: ShutdownPlan | None = None
        self._is_closing = False
        self.view.subscribe(self._log_changes)

    def _readiness(self) -> tuple[int, str]:
        if self.shutdown_plan is not None:
            return 503, "stopping"
        if self.view.config is None:
            return 503, "no configuration"
        return 200, "ready"

    def _refuse_callers_for_s(self) -> float | None:
        """Returns when a refused caller may retry; None to accept requests."""
        plan, now_s = self.shutdown_plan, self._clock()
        if plan is None or (
            plan.accepts_callers(now_s) and not self._is_closing
        ):
            return None
        return plan.retry_after_s(now_s)

    async def start(self) -> None:
        """Opens all sockets and begins to read the published state.

        Raises:
            OSError: An address cannot be listened on.
        """
        addresses = self._settings.addresses
        await self._server.start(*split_address(addresses.peers))
        await self.ingress.start(*split_address(addresses.callers))
        await self._ready.start(*split_address(addresses.ready))
        await self._metrics_server.start(*split_address(addresses.metrics))
        loop = asyncio.get_running_loop()
        self._tasks = [
            loop.create_task(self.reader.run()),
            loop.create_task(self._run_ticks()),
        ]
        self.log.info(
            Event.NODE_STARTED,
            host=self._settings.node.host,
            service=self._settings.node.service,
            zone=self._settings.node.zone,
        )

    async def _run_ticks(self) -> None:
        while True:
            try:
                self.tick()
            except Exception:
                # Without ticks, the node would neither announce nor catch up.
                logger.exception(
                    "tick failed", extra={"event": Event.INTERNAL_ERROR.value}
                )
            due_s = self._clock() + TICK_S
            await asyncio.sleep(TICK_S)
            delay_s = self._clock() - due_s
            self.longest_tick_delay_s = max(self.longest_tick_delay_s, delay_s)

    def tick(self) -> None:
        """Runs the periodic work of every component once."""
        now_s = self._clock()
        self.table.tick(now_s)
        self.view_sync.tick()
        self.suspects.tick()
        self.crash_reports.tick()
        self.links.close_silent(now_s)
        self.receiver.tick()
        self.metrics.tick(now_s)
        self.log.flush()

    def request_stop(self) -> None:
        """Requests a graceful shutdown; may be called by a signal handler.

        The grace period begins with the first request.
        """
        if self._stop_requested_s is None:
            self._stop_requested_s = self._clock()
        self._loop.call_soon_threadsafe(self.stop_requested.set)

    async def stop(self) -> None:
        """Performs a graceful shutdown within the grace period.

        The upstream stops getting new requests early, while callers are served
        until the platform has seen that the node is not ready. Requests that
        run at the upstream and requests of callers are finished.
        """
        begun_s = self._stop_requested_s
        if begun_s is None:
            begun_s = self._clock()
        plan = ShutdownPlan(begun_s, self._settings.bounds.grace_period_s)
        self.shutdown_plan = plan
        self.ingress.is_stopping = True
        self.sender.begin_shutdown(plan)
        self.log.info(
            Event.STOP_BEGUN,
            in_flight=self.ingress.in_flight,
            active=self.receiver.active,
        )
        while not plan.may_close(self._clock(), is_idle=self._is_idle()):
            self._apply_plan(plan)
            await asyncio.sleep(TICK_S / 2)
        # Requests that arrive while the listener closes are still answered.
        self.ingress.stop_listening()
        self._is_closing = True
        await asyncio.sleep(TICK_S / 2)
        active = self.receiver.active
        await self.close(plan.close_timeout_s(self._clock()))
        self.log.info(
            Event.NODE_STOPPED,
            cut=self.ingress.cut,
            active=active,
            unsent_bytes=self.ingress.unsent_bytes,
        )

    def _is_idle(self) -> bool:
        return self.receiver.is_idle and not self.ingress.in_flight

    def _apply_plan(self, plan: ShutdownPlan) -> None:
        """Refuses calls of peers for which the plan leaves no time."""
        if not plan.accepts_peer_calls(self._clock()):
            self.receiver.is_stopping = True
            self.receiver.tick()

    async def close(self, timeout_s: float = CALLER_CLOSE_TIMEOUT_S) -> None:
        """Closes all sockets; does not end the requests that still run.

        Args:
            timeout_s: How long to wait for answers to callers to leave.
        """
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await asyncio.gather(
            self.ingress.close(timeout_s),
            self._ready.close(),
            self._metrics_server.close(),
        )
        self.links.close()
        await self._server.stop()
        self.receiver.close()
        await self.pool.close()
        await self.client.close()

    def _log_changes(self, changes: Sequence[Change]) -> None:
        for change in unreadable_changes(changes):
            self.log.warning(
                Event.ITEM_UNREADABLE,
                detail=getattr(change.after, "detail", ""),
                revision=change.revision,
            )
        for change in changes:
            entry = change.after or change.before
            if isinstance(entry, UpstreamEntry):
                self.log.info(
                    Event.UPSTREAM_CHANGED,
                    upstream=entry.upstream_id,
                    service=entry.service,
                    zone=entry.zone,
                    is_present=change.after is not None,
                    is_ready=entry.is_ready,
                    is_configured=self.view.is_configured(entry),
                    cold_for_ms=int(entry.cold_left_s * 1000),
                    revision=change.revision,
                )
        config = self.view.config
        if config is not None and any(
            change.revision == self.view.config_revision for change in changes
        ):
            self.log.info(
                Event.CONFIG_APPLIED,
                version=config.version,
                revision=self.view.config_revision,
                routes=len(config.routes),
                lag_ms=int(self.view_sync.applied_lag_s * 1000),
                zones_out=sorted(self.view.zones_out),
            )
