"""Composition root of one node and its tick."""

import asyncio
import random
import time
from collections.abc import Sequence
from urllib.parse import urlsplit

import aiohttp

from magnoliafork import node_status
from magnoliafork.cluster.control import ClusterControl
from magnoliafork.cluster.failure_detector import LoadHint
from magnoliafork.model.instance import Instance, Member, MemberState
from magnoliafork.model.result import Err, Ok, Result
from magnoliafork.model.snapshot import Snapshot
from magnoliafork.observe.admin import AdminServer
from magnoliafork.observe.change_log import ChangeLog, NodeParts
from magnoliafork.observe.collect import collect
from magnoliafork.observe.events import Event
from magnoliafork.observe.hops import (
    TracedCalls,
    TracedPeers,
    TracedSender,
    TracedUpstream,
)
from magnoliafork.observe.logs import EventLog
from magnoliafork.observe.metrics import Metrics
from magnoliafork.observe.span_export import SpanExporter
from magnoliafork.observe.status import HistoryEntry, NodeStatus
from magnoliafork.observe.tracing import Tracing
from magnoliafork.proxy.ingress import IngressLimits, build_app
from magnoliafork.proxy.ingress_runner import IngressRunner
from magnoliafork.proxy.receiver import Receiver
from magnoliafork.proxy.sender import Sender
from magnoliafork.proxy.upstream import HttpUpstream
from magnoliafork.rules.matcher import RouteTable
from magnoliafork.settings.model import NodeSettings
from magnoliafork.snapshot.assemble import Assembler, parse_manifest
from magnoliafork.snapshot.store import SnapshotStore
from magnoliafork.source.budget import ReadBudget
from magnoliafork.source.http import HttpConfigSource
from magnoliafork.source.reader import SourceReader
from magnoliafork.wire.connector import Connector
from magnoliafork.wire.control_links import ControlLinkManager
from magnoliafork.wire.identity import NodeIdentity
from magnoliafork.wire.link import LinkTraffic
from magnoliafork.wire.pool import PeerPool
from magnoliafork.wire.server import PeerServer
from magnoliafork.wire.tls import TlsContexts, TlsError, TlsFiles

TICK_S = 0.25
# Hints of instances that no longer exist are dropped this often.
CLEAN_UP_S = 60.0
# Time for the leaving state to reach the peers before links close.
LEAVING_PROPAGATION_S = 0.5


class AddressTable:
    """Finds addresses of peers in the membership table, else in the seeds."""

    def __init__(self, settings: NodeSettings) -> None:
        """Creates a table that knows the seeds."""
        self._seeds = {
            seed.instance_id: (seed.host, seed.port)
            for seed in settings.peers.seeds
        }
        self.control: ClusterControl | None = None

    def address(self, instance_id: str) -> tuple[str, int] | None:
        """Returns the peer's IP address and port, or None if unknown."""
        known = None
        if self.control is not None:
            known = self.control.address(instance_id)
        return known or self._seeds.get(instance_id)


class JoinedSnapshots:
    """Hides the snapshot in force until the node has joined.

    A node that starts while the source is stale must not act on a snapshot
    that is older than what its peers hold.
    """

    def __init__(self, store: SnapshotStore) -> None:
        """Creates a view that shows nothing yet."""
        self._store = store
        self.is_joined = False

    @property
    def current(self) -> Snapshot | None:
        """Snapshot in force, or None before the node has joined."""
        return self._store.current if self.is_joined else None


class Node:
    """One node: wires its parts, starts and stops them, runs the tick."""

    def __init__(
        self,
        settings: NodeSettings,
        rng: random.Random,
        log: EventLog | None = None,
    ) -> None:
        """Wires a node inside the running loop; `start` opens sockets."""
        self._loop = asyncio.get_running_loop()
        self._settings = settings
        self.log = log or EventLog(settings.logs.level)
        self.instance = _instance(settings)
        # Identifies the process for at-most-once execution; never changes.
        self.incarnation = int(time.time() * 1000)
        self.store = SnapshotStore()
        self.snapshots = JoinedSnapshots(self.store)
        self.traffic = LinkTraffic()
        self.metrics = Metrics()
        self.tracing = Tracing(
            settings.traces.sampling_ratio,
            {"service.name": settings.instance.service},
            rng.getrandbits,
        )
        self._tls = _tls(settings)
        self._addresses = AddressTable(settings)
        self._wire_connections(rng)
        self._wire_control(rng)
        self._wire_requests(rng)
        self._wire_operations()
        self._tasks: list[asyncio.Task[None]] = []
        self._stop_task: asyncio.Task[int] | None = None
        self.stop_requested = asyncio.Event()
        self.store.subscribe(self._on_applied)

    # Wiring.

    def _wire_connections(self, rng: random.Random) -> None:
        client_context = self._tls.client if self._tls else None
        identity = NodeIdentity(
            self.instance.instance_id,
            process_incarnation=self.incarnation,
            member_incarnation=lambda: self.control.incarnation,
            version=lambda: self.store.version,
            load=lambda: (self.receiver.active, self.receiver.limit),
        )
        self._identity = identity
        connector = Connector(
            identity, self._addresses, self.traffic, client_context
        )
        self.pool = PeerPool(connector, rng)
        self.links = ControlLinkManager(connector, rng)

    def _wire_control(self, rng: random.Random) -> None:
        settings = self._settings
        own = Member(self.instance, self.incarnation, MemberState.ALIVE)
        self.control = ClusterControl(
            own,
            self.store,
            Assembler().assemble,
            self.links,
            clock=self._loop.time,
            rng=rng,
            load=lambda: LoadHint(self.receiver.active, self.receiver.limit),
            seed_ids=tuple(seed.instance_id for seed in settings.peers.seeds),
            join_timeout_s=settings.timeouts.join_timeout_s,
        )
        self._addresses.control = self.control
        self.links.set_handler(self.control)
        self._source_session = aiohttp.ClientSession()
        source = HttpConfigSource(
            settings.source.url,
            self._source_session,
            settings.timeouts.source_timeout_s,
        )
        budget = ReadBudget(
            settings.source.reads_per_s_fleet,
            settings.source.fleet_size_floor,
            rng,
            self._loop.time(),
        )
        self.reader = SourceReader(
            source,
            budget,
            parse_manifest,
            self.control,
            self.control,
            is_zone_reader=lambda: self.control.is_zone_reader,
            reader_count=lambda: self.control.reader_share_count,
            fleet_size=lambda: self.control.fleet_size,
            background_reads_per_s=settings.source.background_reads_per_s,
            rng=rng,
        )

    def _wire_requests(self, rng: random.Random) -> None:
        settings = self._settings
        upstream_url = urlsplit(settings.upstream.url)
        self._upstream = HttpUpstream(
            upstream_url.hostname or "127.0.0.1", upstream_url.port or 80
        )
        peers = TracedPeers(
            self.pool,
            self.tracing,
            self.metrics,
            self._loop.time,
            lambda: self.store.version.number,
        )
        self.receiver = Receiver(
            self.instance,
            lambda: self.incarnation,
            self.snapshots,
            self.control.table,
            TracedUpstream(self._upstream, self.tracing, self._loop.time),
            peers,
            self._loop.time,
            lambda: self.control.is_view_stale,
        )
        self.sender = Sender(
            self.snapshots,
            self.control.table,
            peers,
            RouteTable,
            own_zone=self.instance.zone,
            own_region=self.instance.region,
            is_view_current=lambda: not self.control.is_view_stale,
            rng=rng,
            clock=self._loop.time,
        )
        self.ingress_app = build_app(
            TracedSender(self.sender, self.tracing),
            IngressLimits(
                max_body_bytes=settings.limits.body_bytes,
                max_connections=settings.limits.ingress_connections,
            ),
        )
        self.ingress = IngressRunner(
            self.ingress_app, settings.listen.host, settings.listen.ingress_port
        )
        self._server = PeerServer(
            self._identity,
            TracedCalls(
                self.receiver, self.tracing, self.metrics, self._loop.time
            ),
            self.links,
            self.traffic,
            self._tls.server if self._tls else None,
        )

    def _wire_operations(self) -> None:
        token = self._settings.admin_token
        self.admin = AdminServer(
            self,
            self.store,
            self.metrics,
            self.log,
            token.get_secret_value() if token else None,
        )
        self._changes = ChangeLog(
            NodeParts(
                self.control,
                self.store,
                self.reader,
                self.receiver,
                self.sender,
                self.links,
                self.pool,
            ),
            self.log,
        )
        self._exporter = SpanExporter(
            self.tracing.queue, self.log, self._settings.traces.otlp_url
        )

    # Life cycle.

    async def start(self) -> Result[None, TlsError]:
        """Opens all sockets and begins to join the fleet."""
        if self._tls is not None:
            loaded = self._tls.reload()
            if isinstance(loaded, Err):
                return loaded
        listen = self._settings.listen
        await self._server.start(listen.host, listen.peer_port)
        await self.ingress.start()
        await self.admin.start(listen.admin_host, listen.admin_port)
        self.reader.start()
        self._tasks = [
            self._loop.create_task(self._run_ticks()),
            self._loop.create_task(self._exporter.run()),
        ]
        self.log.info(
            Event.NODE_STARTED,
            instance=self.instance.instance_id,
            incarnation=self.incarnation,
        )
        return Ok(None)

    def reload_tls(self) -> None:
        """Reads the certificate files again."""
        if self._tls is None:
            return
        loaded = self._tls.reload()
        if isinstance(loaded, Err):
            self.log.error(
                Event.SETTINGS_INVALID, detail=loaded.errors[0].detail
            )

    def begin_drain(self) -> None:
        """Asks for a planned stop, as SIGTERM does."""
        self.stop_requested.set()

    async def stop(self) -> int:
        """Performs a graceful shutdown.

        The ingress serves until the upstream has finished its requests, since
        those may call other services through it.

        Returns:
            The number of requests that were cut off at the time limit.
        """
        timeout_s = self._settings.timeouts.stop_timeout_s
        end_s = self._loop.time() + timeout_s
        self.log.info(Event.STOP_BEGUN, timeout_s=timeout_s)
        self.receiver.begin_stop()
        self.control.announce_leaving()
        self.ingress.begin_stop()
        await asyncio.sleep(min(LEAVING_PROPAGATION_S, timeout_s))
        cut = await self.receiver.drained(self._remaining_s(end_s))
        self.sender.begin_stop()
        cut += await self.sender.drained(self._remaining_s(end_s))
        cut += await self.ingress.stop(self._remaining_s(end_s))
        if cut:
            self.log.warning(Event.CALLS_CUT, count=cut)
        await self.close()
        self.log.info(Event.NODE_STOPPED, cut=cut)
        return cut

    async def close(self) -> None:
        """Closes all sockets at once, without waiting for requests."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self.reader.stop()
        await self.ingress.stop(0.0)
        await self.admin.stop()
        self.links.close()
        await self._server.stop()
        await self.pool.close()
        await self._upstream.close()
        await self._source_session.close()

    def _remaining_s(self, end_s: float) -> float:
        return max(0.0, end_s - self._loop.time())

    # Tick.

    async def _run_ticks(self) -> None:
        last_clean_up_s = self._loop.time()
        while True:
            now_s = self._loop.time()
            self.tick(now_s)
            if now_s - last_clean_up_s >= CLEAN_UP_S:
                last_clean_up_s = now_s
                self.sender.forget_unknown_instances()
            await asyncio.sleep(TICK_S)

    def tick(self, now_s: float) -> None:
        """Runs the periodic work of every part once."""
        self.control.tick(now_s)
        self.links.close_silent(now_s)
        if not self.snapshots.is_joined and self.control.is_joined(now_s):
            self.snapshots.is_joined = True
            self.log.info(Event.NODE_READY, version=self.store.version.number)
        self.receiver.tick(now_s)
        self.metrics.tick(now_s)
        self._changes.tick()

    def _on_applied(self, snapshot: Snapshot) -> None:
        self.log.info(
            Event.CONFIG_APPLIED,
            version=snapshot.version.number,
            digest=snapshot.version.digest,
        )
        self.receiver.tick(self._loop.time())

    # Status for operators.

    def is_ready(self) -> bool:
        """Whether the node serves callers."""
        return self.snapshots.current is not None

    def status(self) -> NodeStatus:
        """Returns the node's state now."""
        self._collect()
        return node_status.status(self)

    def history(self) -> Sequence[HistoryEntry]:
        """Returns the events of configuration versions, oldest first."""
        return node_status.history(self.store, self._loop.time(), time.time())

    def _collect(self) -> None:
        collect(
            self.metrics,
            sender=self.sender,
            receiver=self.receiver,
            control=self.control,
            store=self.store,
            reader=self.reader,
            traffic=self.traffic,
            pool=self.pool,
        )


def _instance(settings: NodeSettings) -> Instance:
    own = settings.instance
    return Instance(
        own.instance_id,
        own.service,
        own.zone,
        own.region,
        settings.listen.host,
        settings.listen.peer_port,
    )


def _tls(settings: NodeSettings) -> TlsContexts | None:
    tls = settings.tls
    if tls.mode == "off":
        return None
    return TlsContexts(TlsFiles(tls.cert_file, tls.key_file, tls.ca_file))
