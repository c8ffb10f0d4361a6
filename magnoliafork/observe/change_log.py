"""Logs what has changed on a node since the last tick.

The parts of a node keep counters and tables and don't write to the log. On
each tick, `ChangeLog` compares these with their state at the last tick.
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
from magnoliafork.wire.control_links import ControlLinkManager
from magnoliafork.wire.pool import PeerPool


@dataclasses.dataclass(frozen=True, slots=True)
class NodeParts:
    """The parts of a node whose changes are logged."""

    control: ClusterControl
    store: SnapshotStore
    reader: SourceReader
    receiver: Receiver
    sender: Sender
    links: ControlLinkManager
    pool: PeerPool


@dataclasses.dataclass(frozen=True, slots=True)
class _Observation:
    """State of the node at one tick."""

    counts: Mapping[Event, int]
    members: Mapping[str, MemberState]
    neighbours: frozenset[str]
    zones_out: frozenset[str]
    is_source_down: bool
    is_view_stale: bool


class ChangeLog:
    """Compares the node with its last state and logs the differences."""

    def __init__(self, parts: NodeParts, log: EventLog) -> None:
        """Uses the present state as the first one to compare with."""
        self._parts = parts
        self._log = log
        self._last_failed_reads = parts.reader.counters.failed_reads
        self._last_reads = parts.reader.counters.reads
        self._is_source_down = False
        self._last_change_count = -1
        self._members: Mapping[str, MemberState] = {}
        self._last_observation = self._observe()

    def tick(self) -> None:
        """Logs everything that has changed since the last call."""
        before = self._last_observation
        now = self._last_observation = self._observe()
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

    def _observe(self) -> _Observation:
        parts = self._parts
        snapshot = parts.store.current
        return _Observation(
            counts=self._counts(),
            members=self._member_states(),
            neighbours=frozenset(parts.links.neighbours()),
            zones_out=(snapshot.rules.zones_out if snapshot else frozenset()),
            is_source_down=self._check_source(),
            is_view_stale=parts.control.is_view_stale,
        )

    def _counts(self) -> Mapping[Event, int]:
        parts = self._parts
        served = parts.receiver.counters
        return {
            Event.CONFIG_REJECTED: parts.store.counts.rejected,
            Event.CONFIG_CONFLICT: parts.store.counts.conflicts,
            Event.CONFIG_OLDER_IGNORED: parts.store.counts.ignored_lower,
            Event.CONFIG_INCOMPLETE: (
                parts.reader.counters.incomplete_publications
            ),
            Event.CONFIG_MALFORMED: parts.reader.counters.bad_manifests,
            Event.INSTANCE_LIST_INVALID: (
                parts.reader.counters.bad_instance_lists
            ),
            Event.LINK_SILENT: parts.pool.silent_links,
            Event.CLOCK_JUMPED: parts.control.detector.clock_jumps,
            Event.UPSTREAM_COLD: served.ramp_restarts,
            Event.UPSTREAM_REFUSED: served.upstream_not_run,
            Event.INSTANCE_EJECTED: parts.sender.ejections,
            Event.OUTCOME_UNKNOWN: parts.sender.counters.unknown,
        }

    def _member_states(self) -> Mapping[str, MemberState]:
        table = self._parts.control.table
        if table.change_count != self._last_change_count:
            self._last_change_count = table.change_count
            self._members = {
                member.instance.instance_id: member.state for member in table
            }
        return self._members

    def _check_source(self) -> bool:
        """Returns whether the latest reads of the source have failed."""
        counters = self._parts.reader.counters
        if counters.failed_reads > self._last_failed_reads:
            self._is_source_down = True
        elif counters.reads > self._last_reads:
            self._is_source_down = False
        self._last_failed_reads = counters.failed_reads
        self._last_reads = counters.reads
        return self._is_source_down
