"""Logs what has changed on a node since the last tick.

Parts of the node keep counters and tables and know nothing of the log. This
system compares them with what it saw before.
"""

import dataclasses
from collections.abc import Mapping

from magnoliafork.cluster.control import ClusterControl
from magnoliafork.model.instance import MemberState
from magnoliafork.observe.events import Event
from magnoliafork.observe.logs import EventLog
from magnoliafork.proxy.receiver import Receiver
from magnoliafork.proxy.sender import Sender
from magnoliafork.snapshot.store import SnapshotStore
from magnoliafork.source.reader import SourceReader
from magnoliafork.wire.control import ControlPlane
from magnoliafork.wire.pool import PeerPool


@dataclasses.dataclass(frozen=True, slots=True)
class Watched:
    """The parts of a node whose changes are logged."""

    control: ClusterControl
    store: SnapshotStore
    reader: SourceReader
    receiver: Receiver
    sender: Sender
    links: ControlPlane
    pool: PeerPool


@dataclasses.dataclass(frozen=True, slots=True)
class _Seen:
    """What the node looked like at one tick."""

    counts: Mapping[Event, int]
    members: Mapping[str, MemberState]
    neighbours: frozenset[str]
    zones_out: frozenset[str]
    is_source_down: bool
    is_view_stale: bool


class ChangeLog:
    """Compares the node with its last state and logs the differences."""

    def __init__(self, watched: Watched, log: EventLog) -> None:
        """Takes the present state as known."""
        self._watched = watched
        self._log = log
        self._failures = watched.reader.counters.failed_reads
        self._reads = watched.reader.counters.reads
        self._is_source_down = False
        self._change_count = -1
        self._members: Mapping[str, MemberState] = {}
        self._seen = self._look()

    def tick(self) -> None:
        """Logs everything that has changed since the last call."""
        before = self._seen
        now = self._seen = self._look()
        for event, count in now.counts.items():
            if count > before.counts[event]:
                self._log.warning(event, count=count - before.counts[event])
        self._log_members(before.members, now.members)
        for peer_id in sorted(now.neighbours - before.neighbours):
            self._log.info(Event.PEER_CONNECTED, peer=peer_id)
        for peer_id in sorted(before.neighbours - now.neighbours):
            self._log.info(Event.PEER_LOST, peer=peer_id)
        if now.zones_out != before.zones_out:
            zones = sorted(now.zones_out)
            self._log.info(Event.ZONES_OUT_CHANGED, zones_out=zones)
        if now.is_source_down and not before.is_source_down:
            self._log.warning(Event.SOURCE_UNAVAILABLE)
        if before.is_source_down and not now.is_source_down:
            self._log.info(Event.SOURCE_AVAILABLE)
        if before.is_view_stale and not now.is_view_stale:
            self._log.info(Event.VIEW_RESTORED)

    def _log_members(
        self,
        before: Mapping[str, MemberState],
        now: Mapping[str, MemberState],
    ) -> None:
        if before is now:
            return
        for instance_id, state in now.items():
            if before.get(instance_id) is not state:
                self._log.info(
                    Event.MEMBER_CHANGED,
                    instance=instance_id,
                    state=state.name,
                )

    def _look(self) -> _Seen:
        watched = self._watched
        snapshot = watched.store.current
        return _Seen(
            counts=self._counts(),
            members=self._look_at_members(),
            neighbours=frozenset(watched.links.neighbours()),
            zones_out=(snapshot.rules.zones_out if snapshot else frozenset()),
            is_source_down=self._look_at_source(),
            is_view_stale=watched.control.is_view_stale,
        )

    def _counts(self) -> Mapping[Event, int]:
        watched = self._watched
        served = watched.receiver.counters
        return {
            Event.CONFIG_REJECTED: watched.store.counts.rejected,
            Event.CONFIG_CONFLICT: watched.store.counts.conflicts,
            Event.CONFIG_OLDER_IGNORED: watched.store.counts.ignored_lower,
            Event.CONFIG_INCOMPLETE: (
                watched.reader.counters.incomplete_publications
            ),
            Event.CONFIG_MALFORMED: watched.reader.counters.bad_manifests,
            Event.INSTANCE_LIST_INVALID: (
                watched.reader.counters.bad_instance_lists
            ),
            Event.LINK_SILENT: watched.pool.silent_links,
            Event.CLOCK_JUMPED: watched.control.detector.clock_jumps,
            Event.UPSTREAM_COLD: served.ramp_restarts,
            Event.UPSTREAM_REFUSED: served.upstream_not_run,
            Event.INSTANCE_EJECTED: watched.sender.ejections,
            Event.OUTCOME_UNKNOWN: watched.sender.counters.unknown,
        }

    def _look_at_members(self) -> Mapping[str, MemberState]:
        table = self._watched.control.table
        if table.change_count != self._change_count:
            self._change_count = table.change_count
            self._members = {
                member.instance.instance_id: member.state for member in table
            }
        return self._members

    def _look_at_source(self) -> bool:
        """Tells whether the latest reads of the source have failed."""
        counters = self._watched.reader.counters
        if counters.failed_reads > self._failures:
            self._is_source_down = True
        elif counters.reads > self._reads:
            self._is_source_down = False
        self._failures = counters.failed_reads
        self._reads = counters.reads
        return self._is_source_down
