"""A fake node for tests of the admin listener and its commands."""

import dataclasses
import io
from collections.abc import Sequence

from magnoliafork.model.instance import Instance
from magnoliafork.model.manifest import Manifest
from magnoliafork.model.rules import (
    Origin,
    Priority,
    RouteRule,
    RuleSet,
    WeightedTarget,
)
from magnoliafork.model.snapshot import Snapshot
from magnoliafork.model.version import Version
from magnoliafork.observe.admin import AdminServer
from magnoliafork.observe.logs import EventLog
from magnoliafork.observe.metrics import Metrics
from magnoliafork.observe.status import (
    HistoryEntry,
    Neighbour,
    NodeStatus,
    RejectedVersion,
)

TOKEN = "0123456789abcdef"
VERSION = Version(7, "ab" * 32)


def snapshot() -> Snapshot:
    route = RouteRule(
        method="POST",
        host="*",
        path="/commissions",
        targets=(WeightedTarget("commissions", 1),),
        repeatable=False,
        deadline_ms=3000,
        retries=0,
        hedge_ms=0,
        priority=Priority.HIGH,
        origin=Origin(3, "Marie"),
    )
    rules = RuleSet({}, (route,), frozenset(), frozenset(), frozenset())
    return Snapshot(VERSION, Manifest(1, 7, ()), {}, rules)


@dataclasses.dataclass
class FakeNode:
    """Implements `StatusSource` and `SnapshotView`."""

    current: Snapshot | None = dataclasses.field(default_factory=snapshot)
    ready: bool = True
    drains: int = 0

    def status(self) -> NodeStatus:
        return NodeStatus(
            Instance("a-1", "a", "joliette", "r", "127.0.0.1", 7001),
            incarnation=5,
            is_ready=self.ready,
            is_leaving=self.drains > 0,
            version=VERSION,
            rejected=(RejectedVersion(Version(8, "cd" * 32), ("bad zone",)),),
            members={"ALIVE": 3, "DEAD": 1},
            zones_out=("rawdon",),
            leaving=("a-2",),
            active=4,
            limit=12,
            neighbours=(Neighbour("a-3", "berthier", 7, 120),),
            counters={"retries": 2},
        )

    def history(self) -> Sequence[HistoryEntry]:
        return [HistoryEntry(1_700_000_000_000, "config_applied", 7, "ab" * 32)]

    def is_ready(self) -> bool:
        return self.ready

    def begin_drain(self) -> None:
        self.drains += 1


def admin_of(node: FakeNode, token: str | None = TOKEN) -> AdminServer:
    log = EventLog(stream=io.StringIO())
    return AdminServer(node, node, Metrics(), log, token)
