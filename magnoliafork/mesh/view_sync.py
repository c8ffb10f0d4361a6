"""Propagates the published state between nodes."""

import collections
import dataclasses
import math
from collections.abc import Callable, Iterator, Sequence

from magnoliafork.mesh import reader_selection
from magnoliafork.mesh.model import StorePosition
from magnoliafork.mesh.reader_heartbeats import ReaderHeartbeats
from magnoliafork.mesh.reply_parts import PartialReply, split_reply
from magnoliafork.mesh.upstream_table import UpstreamTable
from magnoliafork.mesh.view import Change, MeshView
from magnoliafork.mesh.view_codec import ViewEncoder, decode_reply
from magnoliafork.mesh.view_freshness import (
    ANNOUNCED_STEP_S,
    ClockReading,
    PeerClock,
    ViewFreshness,
)
from magnoliafork.observe.events import Event
from magnoliafork.observe.logs import EventLog
from magnoliafork.wire import messages
from magnoliafork.wire.api import ControlLinks

# How often a node announces its revision to its neighbours.
ANNOUNCE_INTERVAL_S = 0.5
# A peer that sent nothing for longer is treated as gone.
PEER_TIMEOUT_S = 2.6
# A reader counts as having store access if the store answered within this
# time; a watch without changes takes most of it.
STORE_ACCESS_TIMEOUT_S = 3.5
# Updates are requested from a peer of the own zone at once, and from a peer of
# another zone only if the own zone has not delivered them after this time.
OTHER_ZONE_DELAY_S = 0.25
# A node whose view lags behind for longer reads the store itself.
MAX_LAG_S = 0.7
# A node that is not a default reader of its zone starts to read only if it has
# known of too few readers for this long; a new process receives the
# announcements of the readers within this time.
TAKEOVER_DELAY_S = ANNOUNCE_INTERVAL_S + 0.2
# Longest time until a node tells its neighbours of a newer answer of the store;
# one announcement may be lost.
TAKEOVER_HOP_S = 2 * ANNOUNCE_INTERVAL_S
# Longest time between two answers of the store to a reader: a watch and the
# pause after it.
STORE_ANSWER_INTERVAL_S = 2.2
# The same while proofs are needed that the view is current.
PROVED_ANSWER_INTERVAL_S = 0.8
# Pause between nodes of a zone that take over reading because their views get
# too old: if the store is away, not all of them read at once.
TAKEOVER_STEP_S = 0.2
# A node that hears of no reader for longer checks by itself whether there are
# changes. That and a read of the whole state over a slow link take less than
# the time in which a change must be in force.
HEARTBEAT_TIMEOUT_S = 1.2
# Time after which a request for missing changes is repeated at another peer.
# A reply of the whole state takes most of it on the slowest links, of 5 Mbit/s.
REQUEST_TIMEOUT_S = 0.4
# Announcements of a peer that are kept until this node has what they announce.
# In more than that, the times of the latest are not known.
MAX_PENDING_ANNOUNCEMENTS = 256
# Announced age of the last store answer if a node does not read the store or
# its reads fail.
NO_STORE_ACCESS_MS = 3_600_000


@dataclasses.dataclass(frozen=True, slots=True)
class _Announced:
    """A state that a neighbour has announced and this node lacks.

    Attributes:
        position: Position of the neighbour.
        config_version: Version of its configuration.
        at_s: Loop time of the announcement.
    """

    position: StorePosition
    config_version: int
    at_s: float


@dataclasses.dataclass(slots=True)
class _Peer:
    """Last announcement of a neighbour and the parts of its last reply.

    Attributes:
        pending: Its announcements of states that this node lacks, oldest first.
        clock: Bounds of its clock.
    """

    position: StorePosition = StorePosition()
    config_version: int = 0
    pending: collections.deque[_Announced] = dataclasses.field(
        default_factory=collections.deque
    )
    store_answer_at_s: float = float("-inf")
    received_at_s: float = float("-inf")
    partial_reply: PartialReply = dataclasses.field(
        default_factory=PartialReply
    )
    clock: PeerClock = dataclasses.field(default_factory=PeerClock)


@dataclasses.dataclass(slots=True)
class ViewSyncCounters:
    """Counts since the start.

    Attributes:
        requests: Requests for changes to peers.
        repeated_requests: Those of them that were sent because an earlier one
            had no reply in time.
        outdated_replies: Replies that brought nothing new.
        whole_values: Received values that were sent whole.
        patches: Received values that were sent as patches.
    """

    requests: int = 0
    repeated_requests: int = 0
    outdated_replies: int = 0
    whole_values: int = 0
    patches: int = 0


class ViewSync:
    """Keeps the view in sync with the views of peers.

    Implements `ControlHandler`: requests changes from peers that are ahead and
    answers the requests of peers that are behind.

    Attributes:
        last_store_answer_s: Loop time of the last answer of the store.
        peer_answered_at_s: Loop time of the first answer of the store to a
            neighbour after the time given to `note_answers_after`, or None.
        is_reader: Whether this node reads the store.
        reads_slowly: Whether its reads take so long that others should read.
        encoder: Encodes the replies to peers.
        counters: Counts of the messages about changes.
        heartbeats: Heartbeats of the nodes that read the store.
        applied_lag_s: Time from the announcement of the changes that were
            applied last until then.
    """

    def __init__(
        self,
        own_host: str,
        own_zone: str,
        view: MeshView,
        table: UpstreamTable,
        links: ControlLinks,
        clock: Callable[[], float],
        log: EventLog,
        freshness: ViewFreshness,
    ) -> None:
        """Creates an instance without neighbours."""
        self._own_host = own_host
        self._own_zone = own_zone
        self._view = view
        self._table = table
        self._links = links
        self._clock = clock
        self._log = log
        self._freshness = freshness
        freshness.on_proved = self.announce
        self._peers: dict[str, _Peer] = {}
        # Announcements of peers whose links are gone.
        self._orphaned: collections.deque[_Announced] = collections.deque(
            maxlen=MAX_PENDING_ANNOUNCEMENTS
        )
        self._fleet = reader_selection.Fleet(
            own_host, own_zone, {own_zone: [own_host]}
        )
        self._fleet_change_count = -1
        self._announced_at_s = float("-inf")
        self._requested_at_s = float("-inf")
        self._requested_from = ""
        self._bootstrap_peers: set[str] = set()
        self._takeover_pending_since_s: float | None = None
        self._started_s = clock()
        self._view_fresh_at_s = float("-inf")
        self._view_reader = ""
        self._fresh_from_others_at_s = float("-inf")
        self._linked_at_s = clock()
        self._fallback_attempt = 0
        self.last_store_answer_s = float("-inf")
        self.peer_answered_at_s: float | None = None
        self._note_answers_after_s = float("inf")
        self.is_reader = False
        self.reads_slowly = False
        self.encoder = ViewEncoder(view)
        self.counters = ViewSyncCounters()
        self.heartbeats = ReaderHeartbeats(freshness.clock_id, clock)
        self._silent_since_s: float | None = None
        self.applied_lag_s = 0.0
        view.subscribe(self._on_changes)

    # Decisions for the store reader.

    @property
    def is_behind(self) -> bool:
        """Whether this node has lagged behind its peers for too long."""
        return self.lag_s > MAX_LAG_S

    def has_store_access(self, host: str) -> bool:
        """Whether a node's reads of the store succeed, as far as is known."""
        if host == self._own_host:
            age_s = self._clock() - self.last_store_answer_s
            return age_s < STORE_ACCESS_TIMEOUT_S and not self.reads_slowly
        peer = self._peers.get(host)
        if peer is None or host not in self._links.neighbours():
            return False
        now_s = self._clock()
        is_alive = now_s - peer.received_at_s < PEER_TIMEOUT_S
        return (
            is_alive and now_s - peer.store_answer_at_s < STORE_ACCESS_TIMEOUT_S
        )

    def earliest_outage_start_s(self) -> float:
        """Returns the earliest time at which an outage may have begun.

        The store answered this node or another one until then, or the next
        answer to it was not due yet. A node that takes over reading in an
        outage notices it late.
        """
        now_s = self._clock()
        answered_at_s = max(self._view_fresh_at_s, self.last_store_answer_s)
        if answered_at_s == float("-inf"):
            return now_s
        return min(now_s, answered_at_s + STORE_ANSWER_INTERVAL_S)

    def note_answers_after(self, after_s: float) -> None:
        """Begins to look for the first answer to a neighbour after a time."""
        self._note_answers_after_s = after_s
        self.peer_answered_at_s = None

    def _note_answer_to_peer(self, answered_at_s: float) -> None:
        if (
            self.peer_answered_at_s is None
            and answered_at_s > self._note_answers_after_s
        ):
            self.peer_answered_at_s = answered_at_s

    @property
    def lag_s(self) -> float:
        """Time since a peer announced the oldest change that is missing here.

        A node that gets each change in time does not lag, although its peers
        are always ahead in a quick succession of changes.
        """
        missing_since_s = self._missing_since_s()
        return self._clock() - missing_since_s if missing_since_s else 0.0

    @property
    def missing_config_versions(self) -> int:
        """Number of announced configurations that are missing here."""
        return len(
            {
                announced.config_version
                for announced in self._missing()
                if announced.config_version > self._view.config_version
            }
        )

    def _missing_since_s(self) -> float | None:
        self._drop_reached()
        missing = [a.at_s for a in self._missing() if self._lacks(a)]
        return min(missing, default=None)

    def _missing(self) -> Iterator[_Announced]:
        """Returns the announcements that this node has kept."""
        yield from self._orphaned
        for peer in self._peers.values():
            yield from peer.pending

    def _drop_reached(self) -> None:
        """Drops the announcements of states that this node has reached."""
        for pending in (
            self._orphaned,
            *(peer.pending for peer in self._peers.values()),
        ):
            while pending and not self._lacks(pending[0]):
                pending.popleft()

    def drop_orphaned(self) -> None:
        """Drops the announcements of lost peers after a read of the store.

        The store has what they announced, or it was restored and has it no
        more.
        """
        self._orphaned.clear()

    def _lacks(self, announced: _Announced) -> bool:
        return (
            announced.position > self._view.position
            or announced.config_version > self._view.config_version
        )

    def _record_announced(self, peer: _Peer, now_s: float) -> None:
        announced = _Announced(peer.position, peer.config_version, now_s)
        if not self._lacks(announced):
            # It may have lost what it had announced, in a restart for example.
            peer.pending.clear()
            return
        is_known = bool(peer.pending) and (
            peer.pending[-1].position >= peer.position
            and peer.pending[-1].config_version >= peer.config_version
        )
        if not is_known and len(peer.pending) < MAX_PENDING_ANNOUNCEMENTS:
            peer.pending.append(announced)

    def _on_changes(self, _: Sequence[Change]) -> None:
        now_s = self._clock()
        reached_at_s = [a.at_s for a in self._missing() if not self._lacks(a)]
        self.applied_lag_s = now_s - min(reached_at_s, default=now_s)
        self._drop_reached()
        self.announce()

    @property
    def peer_config_version(self) -> int:
        """Newest configuration that a neighbour has announced."""
        return max((p.config_version for p in self._peers.values()), default=0)

    @property
    def peer_revision(self) -> int:
        """Highest revision that a neighbour has announced."""
        positions = [peer.position for peer in self._peers.values()]
        return max(positions, default=StorePosition()).revision

    def _is_live(self, host: str, now_s: float) -> bool:
        peer = self._peers.get(host)
        return peer is not None and now_s - peer.received_at_s < PEER_TIMEOUT_S

    def _must_take_over(self, now_s: float) -> bool:
        """Whether no other node is known to read the store.

        The nodes that read may be lost, or have no access to the store, in a
        part of the fleet that this node has no links to.
        """
        if not any(
            self._is_live(host, now_s) for host in self._links.neighbours()
        ):
            return True
        answer_s, hop_s = STORE_ANSWER_INTERVAL_S, TAKEOVER_HOP_S
        if self._freshness.is_needed:
            answer_s, hop_s = PROVED_ANSWER_INTERVAL_S, ANNOUNCED_STEP_S
        max_age_s = reader_selection.max_view_age_s(
            self._fleet, answer_s, hop_s
        )
        fresh_at_s = max(self._started_s, self._fresh_from_others_at_s)
        step_s = TAKEOVER_STEP_S * reader_selection.takeover_rank(self._fleet)
        return now_s - fresh_at_s > max_age_s + step_s

    def tick(self) -> None:
        """Updates the links and the reader role, announces, and catches up."""
        if self._fleet_change_count != self._view.change_count:
            self._fleet_change_count = self._view.change_count
            self._fleet = self._known_fleet()
        was_reader = self.is_reader
        self.is_reader = self._should_read(self._clock())
        if was_reader != self.is_reader:
            self._log.info(
                Event.READING_CHANGED,
                is_reader=self.is_reader,
                view_revision=self._view.revision,
            )
        now_s = self._clock()
        self._log_silence(now_s)
        self._links.set_targets(self._link_targets(now_s))
        if now_s - self._announced_at_s >= ANNOUNCE_INTERVAL_S:
            self.announce()
        self._catch_up(now_s)

    @property
    def hears_no_reader(self) -> bool:
        """Whether no node that reads the store is known to be connected."""
        return self.heartbeats.silent_s > HEARTBEAT_TIMEOUT_S

    def _log_silence(self, now_s: float) -> None:
        """Logs when the heartbeats of readers end and begin again."""
        if self.hears_no_reader and self._silent_since_s is None:
            self._silent_since_s = now_s - self.heartbeats.silent_s
            self._log.warning(
                Event.READERS_SILENT,
                neighbours=len(self._links.neighbours()),
                view_revision=self._view.revision,
            )
        elif not self.hears_no_reader and self._silent_since_s is not None:
            took_s = now_s - self._silent_since_s
            self._silent_since_s = None
            self._log.info(
                Event.READERS_HEARD,
                took_ms=int(took_s * 1000),
                view_revision=self._view.revision,
            )

    def _link_targets(self, now_s: float) -> tuple[str, ...]:
        targets = reader_selection.link_targets(
            self._fleet, self.has_store_access
        )
        if not self._view.revision:
            return (*targets, *sorted(self._bootstrap_peers)[:2])
        zone_hosts = self._zone_hosts()
        if any(self._is_live(h, now_s) for h in targets if h in zone_hosts):
            self._linked_at_s = now_s
            self._fallback_attempt = 0
            return targets
        fallback = self._fallback_targets()
        if any(self._is_live(h, now_s) for h in fallback):
            self._linked_at_s = now_s
        elif now_s - self._linked_at_s > PEER_TIMEOUT_S:
            self._linked_at_s = now_s
            self._fallback_attempt += 1
            fallback = self._fallback_targets()
        return (*targets, *fallback)

    def _fallback_targets(self) -> tuple[str, ...]:
        if not self._fallback_attempt:
            return ()
        return reader_selection.fallback_targets(
            self._fleet, self._fallback_attempt
        )

    def _should_read(self, now_s: float) -> bool:
        if reader_selection.is_default_reader(self._fleet):
            return True
        is_selected = reader_selection.is_reader(
            self._fleet, self.has_store_access
        )
        if not is_selected and not self._must_take_over(now_s):
            self._takeover_pending_since_s = None
            return False
        if self._takeover_pending_since_s is None:
            self._takeover_pending_since_s = now_s
        return now_s - self._takeover_pending_since_s >= TAKEOVER_DELAY_S

    def add_bootstrap_peer(self, host: str) -> None:
        """Remembers a peer that called while the view is empty.

        A node with an empty view knows no other peer to link to.
        """
        if not self._view.revision and host != self._own_host:
            self._bootstrap_peers.add(host)

    def announce(self) -> None:
        """Sends the revision of this node to all neighbours."""
        now_s = self._clock()
        self._announced_at_s = now_s
        message = self._announcement(now_s)
        for host in self._links.neighbours():
            self._links.send(host, self._with_clock(message, host))
        self._freshness.record_announced()

    def _with_clock(
        self, message: messages.ViewAnnounce, host: str
    ) -> messages.ViewAnnounce:
        """Adds the proof that the view was current, and the peer's clock."""
        if not self._freshness.is_needed:
            return message
        freshness = self._freshness
        clock = self._peers.get(host, _Peer()).clock
        reading = clock.reading(freshness.clock_id, freshness.clock())
        proved_at_s = max(freshness.proved_at_s, 0.0)
        # Rounded so that no proof looks newer than it is.
        return dataclasses.replace(
            message,
            clock_ms=math.floor(reading.clock_s * 1000),
            echoed_ms=math.floor(reading.echoed_s * 1000),
            echoed_at_ms=math.ceil(reading.echoed_at_s * 1000),
            proved_at_ms=math.floor(proved_at_s * 1000),
            clock_id=reading.clock_id,
            echoed_id=reading.echoed_id,
        )

    def _record_proof(
        self, peer: _Peer, message: messages.ViewAnnounce
    ) -> bool:
        """Takes over the proof of a peer.

        Returns:
            Whether the peer should get an echo at once.
        """
        if not message.clock_ms:
            return False
        now_s = self._freshness.clock()
        reading = ClockReading(
            message.clock_id,
            message.clock_ms / 1000,
            message.echoed_id,
            message.echoed_ms / 1000,
            message.echoed_at_ms / 1000,
        )
        is_first = peer.clock.hear(reading, now_s, self._freshness.clock_id)
        if message.proved_at_ms and peer.clock.is_known:
            self._freshness.prove(
                peer.clock.earliest_s(message.proved_at_ms / 1000, now_s),
                peer.position,
                peer.config_version,
            )
        return is_first

    def _announcement(self, now_s: float) -> messages.ViewAnnounce:
        # A node that has just started takes itself for a reader until it knows
        # others, and has nothing to pass on.
        if self.is_reader and self._view.revision:
            self.heartbeats.beat()
        age_s = now_s - self.last_store_answer_s
        age_ms = int(min(age_s * 1000, NO_STORE_ACCESS_MS))
        if not self.is_reader or self.reads_slowly:
            age_ms = NO_STORE_ACCESS_MS
        if self.last_store_answer_s > self._view_fresh_at_s:
            self._view_fresh_at_s = self.last_store_answer_s
            self._view_reader = self._own_host
        view_age_s = now_s - self._view_fresh_at_s
        restored_ago_s = self._table.restored_ago_s()
        era_age_ms = 0
        if restored_ago_s is not None:
            era_age_ms = max(1, int(restored_ago_s * 1000))
        heartbeat = self.heartbeats.newest()
        return messages.ViewAnnounce(
            self._view.revision,
            age_ms,
            int(self._table.outage_ended_ago_s() * 1000),
            max(1, int(min(view_age_s * 1000, NO_STORE_ACCESS_MS))),
            self._view_reader,
            self._view.era,
            era_age_ms,
            self._view.config_version,
            accepts_crash_reports=True,
            heartbeat_id=heartbeat.process_id,
            heartbeat_number=heartbeat.number,
            relays_heartbeats=True,
        )

    def _known_fleet(self) -> reader_selection.Fleet:
        zones: dict[str, set[str]] = {self._own_zone: {self._own_host}}
        for entry in self._view.upstreams.values():
            zones.setdefault(entry.zone, set()).add(entry.host)
        return reader_selection.Fleet(
            self._own_host,
            self._own_zone,
            {
                z: reader_selection.rank_hosts(z, hosts)
                for z, hosts in zones.items()
            },
        )

    # Messages of peers.

    def on_link_up(self, hello: messages.Hello) -> None:
        """Sends the revision of this node to a new neighbour."""
        self._peers.setdefault(hello.instance_id, _Peer())
        self._send_announcement(hello.instance_id)

    def _send_announcement(self, host: str) -> None:
        message = self._announcement(self._clock())
        self._links.send(host, self._with_clock(message, host))

    def on_link_down(self, instance_id: str) -> None:
        """Forgets a neighbour, but not that it had more than this node."""
        peer = self._peers.pop(instance_id, None)
        if peer is not None:
            self._orphaned.extend(peer.pending)
        if instance_id == self._requested_from:
            self._requested_from = ""

    def on_control(
        self, instance_id: str, message: messages.ControlMessage
    ) -> None:
        """Handles one message of a neighbour."""
        peer = self._peers.setdefault(instance_id, _Peer())
        now_s = self._clock()
        peer.received_at_s = now_s
        match message:
            case messages.ViewAnnounce():
                peer.position = self._position_of(message)
                peer.config_version = message.config_version
                peer.store_answer_at_s = now_s - message.source_age_ms / 1000
                self._note_answer_to_peer(peer.store_answer_at_s)
                self._table.record_outage_end(message.outage_ended_ms / 1000)
                if message.era_age_ms:
                    self._table.record_restore(
                        message.era, message.era_age_ms / 1000
                    )
                if message.relays_heartbeats:
                    self.heartbeats.hear(
                        message.heartbeat_id, message.heartbeat_number
                    )
                else:
                    self.heartbeats.hear_unnumbered()
                self._record_view_age(message, now_s)
                self._record_announced(peer, now_s)
                if self._record_proof(peer, message):
                    self._send_announcement(instance_id)
                self._catch_up(now_s)
            case messages.ViewRequest():
                era = self._era_of(message.era)
                self._reply(instance_id, dataclasses.replace(message, era=era))
            case messages.ViewReply():
                era = self._era_of(message.era)
                self._on_part(
                    instance_id, dataclasses.replace(message, era=era)
                )
            case _:
                pass

    def _reply(self, host: str, request: messages.ViewRequest) -> None:
        parts = split_reply(self.encoder.reply(request))
        if len(parts) > 1 and not request.accepts_parts:
            # Nodes of an earlier release would take a part for the whole state.
            self._log.warning(Event.VIEW_TOO_LARGE, peer=host, parts=len(parts))
            return
        for part in parts:
            self._links.send(host, part)

    def _on_part(self, host: str, part: messages.ViewReply) -> None:
        reply = self._peers[host].partial_reply.add(part)
        if reply is not None:
            self._on_reply(host, reply)
        elif host == self._requested_from:
            # The rest is on its way; another peer would send all of it again.
            self._requested_at_s = self._clock()

    def _era_of(self, told_era: int) -> int:
        """Returns the era that a message is of.

        An earlier release tells none. It may be of any era, which matters once
        the view has moved to another one.
        """
        if told_era or self._view.is_restored:
            return told_era
        return self._view.era

    def _position_of(self, announce: messages.ViewAnnounce) -> StorePosition:
        return StorePosition(self._era_of(announce.era), announce.revision)

    def _record_view_age(
        self, message: messages.ViewAnnounce, now_s: float
    ) -> None:
        fresh_at_s = now_s - message.view_age_ms / 1000
        if fresh_at_s > self._view_fresh_at_s:
            self._view_fresh_at_s = fresh_at_s
            self._view_reader = message.view_reader
        # What this node has read itself comes back over its neighbours.
        if message.view_reader != self._own_host:
            self._fresh_from_others_at_s = max(
                self._fresh_from_others_at_s, fresh_at_s
            )

    def _on_reply(self, host: str, reply: messages.ViewReply) -> None:
        if host == self._requested_from:
            self._requested_from = ""
        if StorePosition(reply.era, reply.revision) <= self._view.position:
            self.counters.outdated_replies += 1
            # The earlier value that a late patch needs may not be kept.
            if not reply.base_revision:
                self._adopt_config(host, reply)
            self._catch_up(self._clock())
            return
        patches = sum(map(bool, reply.patched_revisions))
        self.counters.patches += patches
        self.counters.whole_values += sum(map(bool, reply.values)) - patches
        delta = decode_reply(reply, self._view)
        if isinstance(delta, str):
            self._log.warning(
                Event.PEER_FRAME_MALFORMED, peer=host, detail=delta
            )
            if reply.patched_revisions:
                self._request(host, self._view.revision, accepts_patches=False)
            return
        if not self._view.apply(delta):
            self._request(host, 0, accepts_patches=False)
        self._catch_up(self._clock())

    def _adopt_config(self, host: str, reply: messages.ViewReply) -> None:
        """Takes over a configuration that a peer knows from an earlier era."""
        if host in self._peers:
            # Nothing newer is to be had there until its next announcement.
            self._peers[host].config_version = 0
            self._peers[host].pending.clear()
        delta = decode_reply(reply, self._view)
        if isinstance(delta, str):
            self._log.warning(
                Event.PEER_FRAME_MALFORMED, peer=host, detail=delta
            )
            return
        self._view.adopt_config(delta.items)

    def _request(
        self, host: str, after_revision: int, *, accepts_patches: bool
    ) -> None:
        request = messages.ViewRequest(
            after_revision,
            accepts_patches,
            self._view.era,
            accepts_parts=True,
        )
        if self._links.send(host, request):
            self.counters.requests += 1
            self._requested_at_s = self._clock()
            self._requested_from = host

    def _catch_up(self, now_s: float) -> None:
        """Requests the missing changes from a peer that is ahead."""
        missing_since_s = self._missing_since_s()
        if missing_since_s is None:
            return
        ahead = {host: p for host, p in self._peers.items() if p.pending}
        is_waiting = bool(self._requested_from)
        if is_waiting and now_s - self._requested_at_s < REQUEST_TIMEOUT_S:
            return
        candidates = [h for h in ahead if h in self._zone_hosts()]
        if now_s - missing_since_s >= OTHER_ZONE_DELAY_S:
            candidates = candidates or list(ahead)
        if is_waiting:
            self.counters.repeated_requests += 1
            others = [h for h in ahead if h != self._requested_from]
            candidates = others or candidates
        if candidates:
            chosen = max(candidates, key=lambda host: ahead[host].position)
            after_revision = self._view.revision
            if ahead[chosen].position <= self._view.position:
                # Only its configuration is newer.
                after_revision = 0
            self._request(chosen, after_revision, accepts_patches=True)

    def _zone_hosts(self) -> set[str]:
        return set(self._fleet.zones.get(self._own_zone, ()))
