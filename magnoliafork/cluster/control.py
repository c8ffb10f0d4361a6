"""Control plane of one node: membership, overlay and configuration."""

import random
from collections.abc import Callable, Mapping, Sequence
from typing import Any

from magnoliafork.cluster.dissemination import (
    Assemble,
    Dissemination,
    SnapshotStore,
)
from magnoliafork.cluster.failure_detector import (
    SILENCE_LIMIT_S,
    FailureDetector,
    LoadHint,
)
from magnoliafork.cluster.membership import MembershipTable
from magnoliafork.cluster.overlay import Overlay, choose_neighbours
from magnoliafork.model.instance import Instance, Member, MemberState
from magnoliafork.model.manifest import Manifest
from magnoliafork.model.version import Version
from magnoliafork.source.reader import ListedInstance
from magnoliafork.wire import messages
from magnoliafork.wire.api import ControlLinks

JOIN_PEERS = 3
# A version must not keep a node from joining after all peers that have it are
# gone.
REPORT_VALID_S = 30.0
MIN_SYNC_INTERVAL_S = 1.0
# Tables that differ only by updates still spreading need no sync, which sends
# 4 KB or more for each bucket that differs.
SYNC_SETTLE_S = 3.0
# Bounds the delay of a sync when constant changes keep the table from settling.
SYNC_MAX_DELAY_S = 10.0
# Bounds the wait for a peer with an equal digest; under constant changes there
# may never be one.
MAX_UNSYNCED_S = 30.0
# Incarnations are milliseconds since the epoch; the bound leaves room for
# refutations to raise them.
MAX_INCARNATION = 1 << 62
DEAD_RETRY_PERIOD_S = 10.0
# Time for one connection attempt and the exchange of the first messages.
DEAD_RETRY_WINDOW_S = 5.0
# A row takes about 110 bytes, so 5,000 rows stay below the frame limit of
# 2 MiB.
MAX_UPDATE_ROWS = 5_000


class ClusterControl:
    """Handles control messages and owns the state that they update.

    That state is the membership table, the overlay, the dissemination of
    versions and the failure detector. Also receives the results of the source
    reader, and tells it which versions and parts are still needed.
    """

    def __init__(
        self,
        own: Member,
        store: SnapshotStore,
        assemble: Assemble,
        links: ControlLinks,
        *,
        clock: Callable[[], float],
        rng: random.Random,
        load: Callable[[], LoadHint],
        seed_ids: tuple[str, ...] = (),
        join_timeout_s: float = 5.0,
    ) -> None:
        """Creates the control plane of a node that just started.

        Args:
            own: This node's entry; its incarnation is the start time.
            store: Snapshot in force and rejected versions.
            assemble: Builds and validates a snapshot.
            links: Connections to the neighbours.
            clock: Time of the event loop in seconds.
            rng: Source of jitter.
            load: Active requests and limit for heartbeats.
            seed_ids: Peers from the settings, to which the node keeps links
                until it has joined.
            join_timeout_s: Time after which fewer than 3 peers suffice.
        """
        now_s = clock()
        self.table = MembershipTable(own, now_s)
        self.overlay = Overlay(self.table)
        self.dissemination = Dissemination(store, assemble, links, rng)
        self.detector = FailureDetector(
            self.table, links, load, self._heartbeat_state, rng, now_s
        )
        self._self_id = own.instance.instance_id
        self._store = store
        self._links = links
        self._clock = clock
        self._rng = rng
        self._seed_ids = seed_ids
        self._join_timeout_s = join_timeout_s
        self._started_s = now_s
        self._reached: set[str] = set()
        self._source_answered = False
        self._has_instance_list = False
        self._has_joined = False
        self._reported_versions: dict[Version, float] = {}
        self._link_targets: tuple[str, ...] | None = None
        self._pending_rows: dict[str, tuple[Member, str]] = {}
        self._lost_links: dict[str, float] = {}
        self._is_synced = False
        self._mismatch_since_s: dict[str, float] = {}
        self._table_changed_s = now_s
        self._last_sync_s = now_s - MIN_SYNC_INTERVAL_S
        self._retried_dead: tuple[str, ...] = ()
        self._dead_retry_end_s = now_s
        self._next_dead_retry_s = now_s + rng.uniform(0, DEAD_RETRY_PERIOD_S)
        self.bad_manifest_errors: tuple[Any, ...] = ()
        self._update_targets()

    # State for the rest of the node.

    @property
    def is_view_stale(self) -> bool:
        """Whether this node was paused and has not yet caught up."""
        return self.detector.is_stale_at(self._clock())

    @property
    def is_zone_reader(self) -> bool:
        """Whether this node watches the source for its zone."""
        return self.overlay.is_zone_reader

    @property
    def reader_share_count(self) -> int:
        """Number of nodes that share the zone readers' part of the read budget.

        0 if this node is not one of them, and before the first instance list:
        until then every node considers itself a zone reader, and a restarting
        fleet would exceed the source's read limit.
        """
        return self.overlay.reader_share_count if self._has_instance_list else 0

    @property
    def incarnation(self) -> int:
        """Own incarnation; raised to refute a report about this node."""
        return self.table.own.incarnation

    @property
    def reached_peers(self) -> frozenset[str]:
        """Peers with which a link was established since the start."""
        return frozenset(self._reached)

    @property
    def fleet_size(self) -> int:
        """Number of known instances in any state, this one included.

        Includes DEAD members: they may be live on the other side of a
        partition and share the source's read budget.
        """
        return len(self.table)

    def is_joined(self, now_s: float) -> bool:
        """Whether callers may be served; once true, it stays true."""
        if not self._has_joined and self._can_join(now_s):
            self._has_joined = True
            self._reported_versions.clear()
        return self._has_joined

    def _can_join(self, now_s: float) -> bool:
        if self._store.current is None:
            return False
        if self._is_behind(now_s):
            return False
        if len(self._reached) >= self._required_join_peers():
            return True
        if now_s - self._started_s < self._join_timeout_s:
            return False
        return self._source_answered or bool(self._reached)

    def _is_behind(self, now_s: float) -> bool:
        """Whether peers recently reported a version this node still needs."""
        return any(
            now_s - reported_s < REPORT_VALID_S
            and self.dissemination.is_obtainable(version)
            for version, reported_s in self._reported_versions.items()
        )

    def _note_version(
        self, peer_id: str, version: Version, now_s: float
    ) -> None:
        if not self._has_joined:
            self._reported_versions[version] = now_s
        self.dissemination.on_peer_version(peer_id, version, now_s)

    def _required_join_peers(self) -> int:
        if not self._has_instance_list:
            # Before the first list, few known peers may be a small part of
            # the fleet.
            return JOIN_PEERS
        return min(JOIN_PEERS, self.table.live_count - 1)

    def address(self, instance_id: str) -> tuple[str, int] | None:
        """Returns a peer's IP address and port, or None if unknown."""
        member = self.table.get(instance_id)
        if member is None:
            return None
        return (member.instance.host, member.instance.peer_port)

    # Periodic work.

    def tick(self, now_s: float) -> None:
        """Runs timeouts, heartbeats, repairs and pending updates."""
        self._check_clock(now_s)
        if not self.detector.is_view_stale:
            self._queue_changes(self.table.tick(now_s), "", now_s)
        suspects = self.detector.tick(now_s)
        self._queue_changes(self.table.merge(suspects, now_s), "", now_s)
        self.dissemination.tick(now_s)
        self.is_joined(now_s)
        self._retry_dead(now_s)
        self._review_lost_link(now_s)
        self._sync_if_needed(now_s)
        self._send_pending()
        self._update_targets()

    def _check_clock(self, now_s: float) -> None:
        """Restarts timeouts if this process was paused."""
        if self.detector.check_clock(now_s):
            self.table.restart_timeouts(now_s)
            self.dissemination.restart_timeouts(now_s)

    def announce_leaving(self) -> None:
        """Announces to the fleet that this node takes no new work."""
        now_s = self._clock()
        own = self.table.set_own_state(MemberState.LEAVING, now_s)
        self._queue_changes((own,), "", now_s)

    def _update_targets(self) -> None:
        wanted = dict.fromkeys(self.overlay.neighbours)
        self.detector.set_targets(tuple(wanted), self._clock())
        wanted.update(dict.fromkeys(self.detector.probe_targets))
        wanted.update(dict.fromkeys(self._retried_dead))
        if not self._has_joined:
            wanted.update(dict.fromkeys(self._seed_ids))
        wanted.pop(self._self_id, None)
        targets = tuple(wanted)
        if targets != self._link_targets:
            self._link_targets = targets
            self._links.set_targets(targets)

    def _retry_dead(self, now_s: float) -> None:
        """Tries to link to one DEAD member at a time.

        This detects that a partition has healed.
        """
        if now_s >= self._dead_retry_end_s:
            self._retried_dead = ()
        if now_s < self._next_dead_retry_s:
            return
        self._dead_retry_end_s = now_s + DEAD_RETRY_WINDOW_S
        self._next_dead_retry_s = now_s + DEAD_RETRY_PERIOD_S
        dead = [
            member.instance.instance_id
            for member in self.table
            if member.state is MemberState.DEAD
        ]
        if dead:
            self._retried_dead = (self._rng.choice(dead),)

    def _review_lost_link(self, now_s: float) -> None:
        """Decides for one lost link per tick whether to keep watching its peer.

        The peer stays watched if it would choose this node as a neighbour and
        so should reopen the link. Both ends of a link watch each other, because
        the death of a node that no other node chose would go unnoticed. The
        decision waits for the silence limit, because right after a start the
        tables of the two nodes differ. Choosing the neighbours of another node
        takes about 5 ms at 2,300 members, too long to do for all links at once.
        """
        for peer_id, lost_s in list(self._lost_links.items()):
            if now_s - lost_s < SILENCE_LIMIT_S:
                return
            del self._lost_links[peer_id]
            if self.detector.is_under_review(peer_id):
                peer_neighbours = choose_neighbours(self.table, peer_id)
                should_reconnect = self._self_id in peer_neighbours
                self.detector.review_lost_link(peer_id, should_reconnect)
                return

    # Membership.

    def _queue_changes(
        self, changed: Sequence[Member], from_id: str, now_s: float
    ) -> None:
        """Queues changed rows for the neighbours; sends LEAVING at once.

        A node that just started receives the whole table from its peers and
        does not send it back, which would take 250 KB on each of 12 links.
        """
        is_urgent = False
        if changed:
            self._table_changed_s = now_s
        if not self._is_synced:
            self._is_synced = now_s - self._started_s >= MAX_UNSYNCED_S
        for member in changed:
            is_own = member.instance.instance_id == self._self_id
            if not (is_own or self._is_synced):
                continue
            self._pending_rows[member.instance.instance_id] = (member, from_id)
            is_urgent |= member.state is MemberState.LEAVING
        if is_urgent:
            self._send_pending()

    def _send_pending(self) -> None:
        if not self._pending_rows:
            return
        pending, self._pending_rows = self._pending_rows, {}
        for peer_id in self._links.neighbours():
            rows = tuple(
                member
                for member, from_id in pending.values()
                if from_id != peer_id
            )
            self._send_rows(peer_id, rows, is_full=False)

    def _send_rows(
        self, peer_id: str, rows: tuple[Member, ...], is_full: bool
    ) -> None:
        for start in range(0, len(rows), MAX_UPDATE_ROWS):
            group = rows[start : start + MAX_UPDATE_ROWS]
            entries = tuple(map(_to_entry, group))
            update = messages.MembershipUpdate(entries, is_full)
            self._links.send(peer_id, update)

    def _on_membership_update(
        self, peer_id: str, update: messages.MembershipUpdate, now_s: float
    ) -> None:
        rows = [_to_member(entry) for entry in update.members]
        members = [member for member in rows if member is not None]
        changed = self.table.merge(members, now_s)
        self._queue_changes(changed, peer_id, now_s)
        refuted = [
            member
            for member in changed
            if member.instance.instance_id == self._self_id
        ]
        if refuted:
            # No sender is excluded: it holds the refuted row too.
            self._queue_changes(refuted, "", now_s)

    def _note_peer_digest(
        self, peer_id: str, digest: str, now_s: float
    ) -> None:
        if digest == self.table.digest():
            self._is_synced = True
            self._mismatch_since_s.pop(peer_id, None)
        else:
            self._mismatch_since_s.setdefault(peer_id, now_s)

    def _sync_if_needed(self, now_s: float) -> None:
        """Requests differing rows from one peer, at most once a second."""
        if now_s - self._last_sync_s < MIN_SYNC_INTERVAL_S:
            return
        is_settled = now_s - self._table_changed_s >= SYNC_SETTLE_S
        due = [
            (since_s, peer_id)
            for peer_id, since_s in self._mismatch_since_s.items()
            if now_s - since_s >= SYNC_MAX_DELAY_S
            or (is_settled and now_s - since_s >= SYNC_SETTLE_S)
        ]
        if due:
            self._request_sync(min(due)[1], now_s)

    def _request_sync(self, peer_id: str, now_s: float) -> None:
        self._last_sync_s = now_s
        self._mismatch_since_s.pop(peer_id, None)
        digests = self.table.bucket_digests()
        self._links.send(peer_id, messages.MembershipRequest(digests))

    # Messages of peers.

    def on_control(
        self, instance_id: str, message: messages.ControlMessage
    ) -> None:
        """Handles one control message of a peer."""
        now_s = self._clock()
        self._check_clock(now_s)
        match message:
            case messages.Heartbeat():
                self._on_heartbeat(instance_id, message, now_s)
            case messages.Announce():
                version = Version(
                    message.version_number, message.version_digest
                )
                self._note_version(instance_id, version, now_s)
            case messages.DeltaRequest():
                self.dissemination.on_delta_request(instance_id, message, now_s)
            case messages.DeltaReply():
                self.dissemination.on_delta_reply(instance_id, message, now_s)
            case messages.MembershipUpdate():
                self._on_membership_update(instance_id, message, now_s)
            case messages.MembershipRequest():
                rows = self.table.rows_differing(message.membership_digest)
                self._send_rows(instance_id, rows, is_full=True)
            case messages.ProbeRequest():
                self.detector.on_probe_request(instance_id, message, now_s)
                self._update_targets()
            case messages.ProbeReply():
                self.detector.on_probe_reply(instance_id, message, now_s)
        self.detector.on_message(instance_id, now_s)

    def _on_heartbeat(
        self, peer_id: str, heartbeat: messages.Heartbeat, now_s: float
    ) -> None:
        self.detector.on_heartbeat(peer_id, heartbeat, now_s)
        if not heartbeat.membership_digest:
            # A reply without a digest says that the peer's state is equal.
            self._mismatch_since_s.pop(peer_id, None)
            return
        version = Version(heartbeat.version_number, heartbeat.version_digest)
        self._note_version(peer_id, version, now_s)
        self._note_peer_digest(peer_id, heartbeat.membership_digest, now_s)

    def _heartbeat_state(self) -> tuple[Version, str]:
        return self._store.version, self.table.digest()

    def on_link_up(self, hello: messages.Hello) -> None:
        """Handles a new control connection."""
        now_s = self._clock()
        self._check_clock(now_s)
        peer_id = hello.instance_id
        self._reached.add(peer_id)
        known = self.table.get(peer_id)
        if known is not None and known.incarnation < hello.incarnation:
            alive = Member(known.instance, hello.incarnation, MemberState.ALIVE)
            changed = self.table.merge((alive,), now_s)
            self._queue_changes(changed, peer_id, now_s)
        self.detector.on_link_up(peer_id, now_s)
        rows = [self.table.own]
        if known is not None and known.incarnation >= hello.incarnation:
            # Lets a peer that was reported as suspect or dead refute this row.
            rows.append(known)
        self._send_rows(peer_id, tuple(rows), is_full=False)
        version = Version(hello.version_number, hello.version_digest)
        self._note_version(peer_id, version, now_s)
        if not self._is_synced:
            # The table of a node that just started is incomplete; a sync is
            # due at once.
            self._mismatch_since_s[peer_id] = now_s - SYNC_MAX_DELAY_S

    def on_link_down(self, instance_id: str) -> None:
        """Handles the loss of a control connection."""
        now_s = self._clock()
        self._check_clock(now_s)
        if instance_id in self._links.neighbours():
            # Another connection to the same peer is still open.
            return
        self._mismatch_since_s.pop(instance_id, None)
        self.dissemination.on_link_down(instance_id, now_s)
        self.detector.on_link_down(instance_id)
        self._lost_links.pop(instance_id, None)
        self._lost_links[instance_id] = now_s

    # Results of the source reader.

    def on_source_answer(self) -> None:
        """Records that the source answered a read."""
        self._source_answered = True

    def on_publication(
        self, manifest: Manifest, parts: Mapping[str, bytes]
    ) -> None:
        """Accepts a complete version from the source."""
        self.dissemination.on_publication(manifest, parts, self._clock())

    def on_bad_manifest(self, errors: tuple[Any, ...]) -> None:
        """Stores the errors found when decoding the source's manifest."""
        self.bad_manifest_errors = errors

    def on_instances(self, listed: tuple[ListedInstance, ...]) -> None:
        """Merges the platform's instance list."""
        now_s = self._clock()
        self._has_instance_list = True
        rows = [(row.instance, row.is_leaving) for row in listed]
        changed = self.table.merge_instance_list(rows, now_s)
        self._queue_changes(changed, "", now_s)
        self._update_targets()

    def is_wanted(self, version: Version) -> bool:
        """Whether the source reader should fetch a version."""
        return self._store.is_wanted(version)

    def held_part(self, digest: str) -> bytes | None:
        """Returns a part of the snapshot in force, or None."""
        snapshot = self._store.current
        return None if snapshot is None else snapshot.parts.get(digest)


def _to_entry(member: Member) -> messages.MemberEntry:
    instance = member.instance
    return messages.MemberEntry(
        instance_id=instance.instance_id,
        service_name=instance.service,
        zone=instance.zone,
        region=instance.region,
        host=instance.host,
        peer_port=instance.peer_port,
        incarnation=member.incarnation,
        state=int(member.state),
    )


def _to_member(entry: messages.MemberEntry) -> Member | None:
    """Converts a row, or returns None when a number is out of range."""
    if not 0 <= entry.state <= max(MemberState):
        return None
    if not 0 <= entry.incarnation <= MAX_INCARNATION:
        return None
    instance = Instance(
        instance_id=entry.instance_id,
        service=entry.service_name,
        zone=entry.zone,
        region=entry.region,
        host=entry.host,
        peer_port=entry.peer_port,
    )
    return Member(instance, entry.incarnation, MemberState(entry.state))
