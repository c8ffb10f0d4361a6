"""Passes the published state on between nodes."""

import dataclasses
import zlib
from collections.abc import Callable

from magnoliafork.mesh import reader_selection
from magnoliafork.mesh.model import StoredItem
from magnoliafork.mesh.upstream_table import UpstreamTable
from magnoliafork.mesh.view import MeshView, ViewDelta
from magnoliafork.observe.events import Event
from magnoliafork.observe.logs import EventLog
from magnoliafork.wire import messages
from magnoliafork.wire.api import ControlLinks

# A node tells its neighbours this often which revision it holds.
ANNOUNCE_INTERVAL_S = 1.0
# Three announcements; a peer that is silent for longer is not counted on.
PEER_SILENCE_S = 2.6
# A reader whose store answered within this time is counted on; a watch without
# changes takes most of it.
SOURCE_FRESH_S = 3.5
# News is taken from a peer of the own zone at once, from another zone only
# when the own zone's reader has not brought it by then.
OTHER_ZONE_PATIENCE_S = 0.25
# A node that is behind for longer reads the store itself.
BEHIND_LIMIT_S = 0.7
# A node that is not the first of its zone reads only when it has known of no
# reader for this long; a new process hears of the readers within this time.
TAKEOVER_S = ANNOUNCE_INTERVAL_S + 0.2
# Time between two requests for what this node lacks.
ASK_PAUSE_S = 0.1
# Announced by a node that does not read the store, or not with success.
NO_SOURCE_MS = 3_600_000


@dataclasses.dataclass(slots=True)
class _Peer:
    """What a neighbour announced last."""

    revision: int = 0
    source_at_s: float = float("-inf")
    heard_at_s: float = float("-inf")


class ViewSync:
    """Implements `ControlHandler`: follows peers and serves them."""

    def __init__(
        self,
        own_host: str,
        own_zone: str,
        view: MeshView,
        table: UpstreamTable,
        links: ControlLinks,
        clock: Callable[[], float],
        log: EventLog,
    ) -> None:
        """Creates an exchange without neighbours."""
        self._own_host = own_host
        self._own_zone = own_zone
        self._view = view
        self._table = table
        self._links = links
        self._clock = clock
        self._log = log
        self._peers: dict[str, _Peer] = {}
        self._fleet = reader_selection.Fleet(
            own_host, own_zone, {own_zone: [own_host]}
        )
        self._fleet_at = -1
        self._announced_at_s = float("-inf")
        self._behind_since_s: float | None = None
        self._asked_at_s = float("-inf")
        self._met: set[str] = set()
        self._unread_since_s: float | None = None
        self.last_store_answer_s = float("-inf")
        self.is_reader = False
        view.subscribe(lambda _: self.announce())

    # State for the reader.

    @property
    def is_behind(self) -> bool:
        """Whether peers have held a newer revision for too long."""
        if self._behind_since_s is None:
            return False
        return self._clock() - self._behind_since_s > BEHIND_LIMIT_S

    def has_store_access(self, host: str) -> bool:
        """Whether a node reads the store with success, as far as is known."""
        if host == self._own_host:
            return self._clock() - self.last_store_answer_s < SOURCE_FRESH_S
        peer = self._peers.get(host)
        if peer is None or host not in self._links.neighbours():
            return False
        now_s = self._clock()
        is_heard = now_s - peer.heard_at_s < PEER_SILENCE_S
        return is_heard and now_s - peer.source_at_s < SOURCE_FRESH_S

    @property
    def _is_alone(self) -> bool:
        now_s = self._clock()
        return not any(
            now_s - peer.heard_at_s < PEER_SILENCE_S
            for host, peer in self._peers.items()
            if host in self._links.neighbours()
        )

    def tick(self) -> None:
        """Adapts the links and the reading; announces now and then."""
        if self._fleet_at != self._view.change_count:
            self._fleet_at = self._view.change_count
            self._fleet = self._known_fleet()
        was_reader = self.is_reader
        self.is_reader = self._must_read(self._clock())
        if was_reader != self.is_reader:
            self._log.info(
                Event.READING_CHANGED,
                is_reader=self.is_reader,
                view_revision=self._view.revision,
            )
        targets = reader_selection.link_targets(
            self._fleet, self.has_store_access
        )
        if not self._view.revision:
            targets = (*targets, *sorted(self._met)[:2])
        self._links.set_targets(targets)
        now_s = self._clock()
        if now_s - self._announced_at_s >= ANNOUNCE_INTERVAL_S:
            self.announce()
        self._catch_up(now_s)

    def _must_read(self, now_s: float) -> bool:
        if reader_selection.is_default_reader(self._fleet):
            return True
        is_unread = reader_selection.is_reader(
            self._fleet, self.has_store_access
        )
        if not is_unread and not self._is_alone:
            self._unread_since_s = None
            return False
        if self._unread_since_s is None:
            self._unread_since_s = now_s
        return now_s - self._unread_since_s >= TAKEOVER_S

    def add_bootstrap_peer(self, host: str) -> None:
        """Notes a peer that called; helps a node that knows nobody."""
        if not self._view.revision and host != self._own_host:
            self._met.add(host)

    def announce(self) -> None:
        """Tells all neighbours which revision this node holds."""
        now_s = self._clock()
        self._announced_at_s = now_s
        message = self._announcement(now_s)
        for host in self._links.neighbours():
            self._links.send(host, message)

    def _announcement(self, now_s: float) -> messages.ViewAnnounce:
        age_s = now_s - self.last_store_answer_s
        age_ms = int(min(age_s * 1000, NO_SOURCE_MS))
        if not self.is_reader:
            age_ms = NO_SOURCE_MS
        return messages.ViewAnnounce(
            self._view.revision,
            age_ms,
            int(self._table.outage_ended_ago_s() * 1000),
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
        """Greets a new neighbour with this node's revision."""
        self._peers.setdefault(hello.instance_id, _Peer())
        self._links.send(hello.instance_id, self._announcement(self._clock()))

    def on_link_down(self, instance_id: str) -> None:
        """Forgets a neighbour."""
        self._peers.pop(instance_id, None)

    def on_control(
        self, instance_id: str, message: messages.ControlMessage
    ) -> None:
        """Handles one message of a neighbour."""
        peer = self._peers.setdefault(instance_id, _Peer())
        now_s = self._clock()
        peer.heard_at_s = now_s
        match message:
            case messages.ViewAnnounce():
                peer.revision = message.revision
                peer.source_at_s = now_s - message.source_age_ms / 1000
                self._table.note_outage_ended(message.outage_ended_ms / 1000)
                self._catch_up(now_s)
            case messages.ViewRequest():
                delta = self._view.delta_after(message.after_revision)
                self._links.send(instance_id, _to_reply(delta))
            case messages.ViewReply():
                self._on_reply(instance_id, message)
            case _:
                pass

    def _on_reply(self, host: str, reply: messages.ViewReply) -> None:
        delta = _from_reply(reply)
        if isinstance(delta, str):
            self._log.warning(
                Event.PEER_FRAME_MALFORMED, peer=host, detail=delta
            )
            return
        if not self._view.apply(delta):
            self._links.send(host, messages.ViewRequest(0))
        self._catch_up(self._clock())

    def _catch_up(self, now_s: float) -> None:
        """Asks a peer for what this node lacks."""
        ahead = {
            host: peer
            for host, peer in self._peers.items()
            if peer.revision > self._view.revision
        }
        if not ahead:
            self._behind_since_s = None
            return
        if self._behind_since_s is None:
            self._behind_since_s = now_s
        behind_s = now_s - self._behind_since_s
        near = [h for h in ahead if h in self._zone_hosts()]
        chosen: str | None = None
        if near:
            chosen = max(near, key=lambda host: ahead[host].revision)
        elif behind_s >= OTHER_ZONE_PATIENCE_S:
            chosen = max(ahead, key=lambda host: ahead[host].revision)
        # An answer takes a round trip; asking again earlier doubles it.
        if chosen is None or now_s - self._asked_at_s < ASK_PAUSE_S:
            return
        self._asked_at_s = now_s
        self._links.send(chosen, messages.ViewRequest(self._view.revision))

    def _zone_hosts(self) -> set[str]:
        return set(self._fleet.zones.get(self._own_zone, ()))


def _to_reply(delta: ViewDelta) -> messages.ViewReply:
    return messages.ViewReply(
        delta.base_revision,
        delta.revision,
        tuple(item.key for item in delta.items),
        tuple(item.revision for item in delta.items),
        tuple(
            zlib.compress(item.value) if item.value else b""
            for item in delta.items
        ),
    )


def _from_reply(reply: messages.ViewReply) -> ViewDelta | str:
    """Returns the delta of a message, or why it holds none."""
    counts = {len(reply.keys), len(reply.revisions), len(reply.values)}
    if len(counts) != 1:
        return "keys, revisions and values differ in number"
    try:
        items = tuple(
            StoredItem(key, revision, zlib.decompress(value) if value else b"")
            for key, revision, value in zip(
                reply.keys, reply.revisions, reply.values, strict=True
            )
        )
    except zlib.error as error:
        return f"value cannot be inflated: {error}"
    return ViewDelta(reply.base_revision, reply.revision, items)
