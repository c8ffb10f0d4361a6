"""Distributes configuration versions between neighbours."""

import collections
import dataclasses
import itertools
import random
from collections.abc import Callable, Iterable, Mapping
from typing import Any, Protocol

from magnoliafork.model.manifest import (
    SUPPORTED_FORMATS,
    Manifest,
    PartRef,
    sha256_hex,
)
from magnoliafork.model.result import Ok, Result
from magnoliafork.model.snapshot import Snapshot
from magnoliafork.model.version import NO_VERSION, Version
from magnoliafork.wire.api import ControlLinks
from magnoliafork.wire.messages import (
    Announce,
    DeltaReply,
    DeltaRequest,
    PartEntry,
)

MAX_OUTGOING_TRANSFERS = 2
# Transfers up to this size need no slot, so that usual deltas of about 1 KB go
# to all neighbours at once.
SMALL_TRANSFER_BYTES = 65_536
# A transfer occupies its slot for the time that it takes at this rate. A write
# buffer accepts a full set at once, which would free the slot immediately.
TRANSFER_BYTES_PER_S = 1_000_000.0
# Holds one part of 1 MB and the other fields of a reply, below 1 MiB.
MAX_REPLY_BYTES = 1_020_000
# A full set at the target size has 345 KB; a node may use 32 MB in total.
MAX_TRANSFER_BYTES = 8_000_000
TRANSFER_TIMEOUT_S = 5.0
BUSY_DELAY_S = 0.5
# Longer than it takes to try the other neighbours.
FAILED_PEER_DELAY_S = 10.0
# At 0.11 changes/s, peers that are up to ten minutes behind can get a delta.
REMEMBERED_MANIFESTS = 64
# Peers report only their newest version, so older unsupported versions are not
# requested again.
REMEMBERED_UNSUPPORTED = 64
# Thrift field headers, lengths and the digest of one manifest entry.
_ENTRY_OVERHEAD_BYTES = 100
_CONTENT_OVERHEAD_BYTES = 8

# Builds and validates a snapshot from a manifest and its parts by digest. The
# error type is defined by the snapshot package.
Assemble = Callable[[Manifest, Mapping[str, bytes]], Result[Snapshot, Any]]


class SnapshotStore(Protocol):
    """Holds the snapshot in force and decides which versions replace it."""

    @property
    def current(self) -> Snapshot | None:
        """Snapshot in force, or None before the first one."""
        ...

    @property
    def version(self) -> Version:
        """Version in force."""
        ...

    def offer(self, snapshot: Snapshot, now_s: float) -> object:
        """Puts a snapshot in force if its version is newer."""
        ...

    def reject(
        self, version: Version, errors: tuple[Any, ...], now_s: float
    ) -> object:
        """Records that a version is not valid."""
        ...

    def is_wanted(self, version: Version) -> bool:
        """Whether a version is newer than that in force and not rejected."""
        ...

    def subscribe(self, callback: Callable[[Snapshot], None]) -> object:
        """Registers a callback for every snapshot that comes into force."""
        ...


@dataclasses.dataclass(slots=True)
class DisseminationCounters:
    """Events for metrics."""

    announced: int = 0
    requests: int = 0
    completed: int = 0
    rejected: int = 0
    timed_out: int = 0
    bad_replies: int = 0
    refused_busy: int = 0
    sent_full: int = 0
    sent_delta: int = 0


@dataclasses.dataclass(slots=True)
class _Incoming:
    """The transfer that this node is receiving."""

    transfer_id: int
    peer_id: str
    base: Snapshot | None
    deadline_s: float
    first: DeltaReply | None = None
    changed: dict[str, PartRef] = dataclasses.field(default_factory=dict)
    removed: set[str] = dataclasses.field(default_factory=set)
    contents: dict[str, bytes] = dataclasses.field(default_factory=dict)
    size_bytes: int = 0


@dataclasses.dataclass(slots=True)
class _Outgoing:
    """Transfer to a peer, with the replies not yet in its write buffer."""

    replies: collections.deque[DeltaReply]
    deadline_s: float
    slot_until_s: float


class Dissemination:
    """Announces the version in force and fetches newer ones from peers.

    The content of every transfer is checked against the digests of its manifest
    before it is assembled, whichever peer sent it.
    """

    def __init__(
        self,
        store: SnapshotStore,
        assemble: Assemble,
        links: ControlLinks,
        rng: random.Random,
    ) -> None:
        """Creates the service and subscribes to the store."""
        self.counters = DisseminationCounters()
        self._store = store
        self._assemble = assemble
        self._links = links
        self._rng = rng
        # Starts at a random id, so that replies to an earlier process of this
        # instance do not match.
        self._transfer_ids = itertools.count(rng.randrange(1, 1 << 30))
        self._peer_versions: dict[str, Version] = {}
        self._next_request_s: dict[str, float] = {}
        self._full_only_peers: set[str] = set()
        self._incoming: _Incoming | None = None
        self._outgoing: dict[str, _Outgoing] = {}
        self._unsupported: dict[Version, None] = {}
        self._history = _ManifestHistory()
        if store.current is not None:
            self._history.remember(store.current.manifest)
        store.subscribe(self._on_snapshot)

    @property
    def incoming_peer(self) -> str | None:
        """Peer that is sending a transfer to this node."""
        return None if self._incoming is None else self._incoming.peer_id

    @property
    def outgoing_count(self) -> int:
        """Number of incomplete transfers to peers."""
        return len(self._outgoing)

    def peer_version(self, peer_id: str) -> Version:
        """Returns the highest version that a connected peer has reported."""
        return self._peer_versions.get(peer_id, NO_VERSION)

    def is_obtainable(self, version: Version) -> bool:
        """Whether a version is wanted and a peer's reply would be usable.

        The digest of a manifest in an unsupported format cannot be checked, so
        such a version is not rejected in the store, only not requested.
        """
        return version not in self._unsupported and self._store.is_wanted(
            version
        )

    def on_peer_version(
        self, peer_id: str, version: Version, now_s: float
    ) -> None:
        """Records the version that a peer has in force."""
        known = self.peer_version(peer_id)
        self._peer_versions[peer_id] = max(known, version)
        self._request_next(now_s)

    def on_link_down(self, peer_id: str, now_s: float) -> None:
        """Drops the transfers of a lost peer."""
        self._peer_versions.pop(peer_id, None)
        self._next_request_s.pop(peer_id, None)
        self._full_only_peers.discard(peer_id)
        self._outgoing.pop(peer_id, None)
        if self.incoming_peer == peer_id:
            self._incoming = None
        self._request_next(now_s)

    def on_publication(
        self, manifest: Manifest, parts: Mapping[str, bytes], now_s: float
    ) -> None:
        """Accepts a complete version, whose parts match their digests."""
        version = manifest.version()
        if not self._store.is_wanted(version):
            return
        assembled = self._assemble(manifest, parts)
        if isinstance(assembled, Ok):
            self._store.offer(assembled.value, now_s)
        else:
            self.counters.rejected += 1
            self._store.reject(version, assembled.errors, now_s)

    def tick(self, now_s: float) -> None:
        """Applies timeouts and continues waiting transfers."""
        incoming = self._incoming
        if incoming is not None and now_s >= incoming.deadline_s:
            self.counters.timed_out += 1
            self._abandon(FAILED_PEER_DELAY_S, now_s)
        for peer_id, outgoing in list(self._outgoing.items()):
            self._send_waiting_replies(peer_id, outgoing, now_s)
        self._request_next(now_s)

    def restart_timeouts(self, now_s: float) -> None:
        """Gives running transfers their full time after a pause."""
        if self._incoming is not None:
            self._incoming.deadline_s = now_s + TRANSFER_TIMEOUT_S
        for outgoing in self._outgoing.values():
            outgoing.deadline_s = now_s + TRANSFER_TIMEOUT_S

    def _on_snapshot(self, snapshot: Snapshot) -> None:
        self._history.remember(snapshot.manifest)
        incoming = self._incoming
        if incoming is not None:
            offered = self.peer_version(incoming.peer_id)
            if not self.is_obtainable(offered):
                self._incoming = None
        version = snapshot.version
        message = Announce(version.number, version.digest)
        for peer_id in self._links.neighbours():
            if self.peer_version(peer_id) < version:
                self.counters.announced += 1
                self._links.send(peer_id, message)

    def _request_next(self, now_s: float) -> None:
        """Starts a transfer unless one runs or no peer has a newer version."""
        while self._incoming is None:
            peer_id = self._choose_peer(now_s)
            if peer_id is None:
                return
            if not self._request(peer_id, now_s):
                self._next_request_s[peer_id] = now_s + BUSY_DELAY_S

    def _choose_peer(self, now_s: float) -> str | None:
        candidates = [
            (version, self._rng.random(), peer_id)
            for peer_id, version in self._peer_versions.items()
            if self.is_obtainable(version)
            and now_s >= self._next_request_s.get(peer_id, now_s)
        ]
        return max(candidates)[2] if candidates else None

    def _request(self, peer_id: str, now_s: float) -> bool:
        base = self._store.current
        if peer_id in self._full_only_peers:
            base = None
        version = NO_VERSION if base is None else base.version
        transfer_id = next(self._transfer_ids)
        message = DeltaRequest(transfer_id, version.number, version.digest)
        if not self._links.send(peer_id, message):
            return False
        self.counters.requests += 1
        self._incoming = _Incoming(
            transfer_id, peer_id, base, now_s + TRANSFER_TIMEOUT_S
        )
        return True

    def _abandon(self, delay_s: float, now_s: float) -> None:
        """Ends the incoming transfer; its peer is not asked for a while."""
        if self._incoming is None:
            return
        self._next_request_s[self._incoming.peer_id] = now_s + delay_s
        self._incoming = None

    def on_delta_request(
        self, peer_id: str, request: DeltaRequest, now_s: float
    ) -> None:
        """Serves the version in force, or refuses when too busy."""
        snapshot = self._store.current
        # A new request from a peer replaces its previous one.
        self._outgoing.pop(peer_id, None)
        if snapshot is None:
            self._refuse(peer_id, request)
            return
        base = Version(request.base_number, request.base_digest)
        entries = self._history.entries(base)
        replies = build_replies(request.transfer_id, snapshot, entries)
        size_bytes = sum(map(_size_bytes, replies))
        has_slot = len(self._outgoing) < MAX_OUTGOING_TRANSFERS
        if size_bytes > SMALL_TRANSFER_BYTES and not has_slot:
            self._refuse(peer_id, request)
            return
        if entries is None:
            self.counters.sent_full += 1
        else:
            self.counters.sent_delta += 1
        slot_until_s = now_s
        if size_bytes > SMALL_TRANSFER_BYTES:
            slot_until_s += size_bytes / TRANSFER_BYTES_PER_S
        outgoing = _Outgoing(
            collections.deque(replies),
            now_s + TRANSFER_TIMEOUT_S,
            slot_until_s,
        )
        self._outgoing[peer_id] = outgoing
        self._send_waiting_replies(peer_id, outgoing, now_s)

    def _refuse(self, peer_id: str, request: DeltaRequest) -> None:
        self.counters.refused_busy += 1
        self._links.send(peer_id, _busy_reply(request.transfer_id))

    def _send_waiting_replies(
        self, peer_id: str, outgoing: _Outgoing, now_s: float
    ) -> None:
        while outgoing.replies:
            if not self._links.send(peer_id, outgoing.replies[0]):
                break
            outgoing.replies.popleft()
            outgoing.deadline_s = now_s + TRANSFER_TIMEOUT_S
        is_done = not outgoing.replies and now_s >= outgoing.slot_until_s
        if is_done or now_s >= outgoing.deadline_s:
            self._outgoing.pop(peer_id, None)

    def on_delta_reply(
        self, peer_id: str, reply: DeltaReply, now_s: float
    ) -> None:
        """Collects a reply and finishes the transfer with the last one."""
        incoming = self._incoming
        if incoming is None or incoming.peer_id != peer_id:
            return
        if incoming.transfer_id != reply.transfer_id:
            return
        if reply.is_busy:
            delay_s = self._rng.uniform(0.5, 1.5) * BUSY_DELAY_S
            self._abandon(delay_s, now_s)
        elif reply.format not in SUPPORTED_FORMATS:
            version = Version(reply.version_number, reply.version_digest)
            self._unsupported[version] = None
            if len(self._unsupported) > REMEMBERED_UNSUPPORTED:
                del self._unsupported[next(iter(self._unsupported))]
            self._abandon(0.0, now_s)
        elif not _collect(incoming, reply):
            self._handle_bad_transfer(peer_id, now_s)
        elif reply.has_more:
            incoming.deadline_s = now_s + TRANSFER_TIMEOUT_S
        else:
            self._finish(incoming, now_s)
        self._request_next(now_s)

    def _handle_bad_transfer(self, peer_id: str, now_s: float) -> None:
        """Abandons a transfer whose content is not valid."""
        self.counters.bad_replies += 1
        incoming = self._incoming
        had_base = incoming is not None and incoming.base is not None
        is_first_failure = peer_id not in self._full_only_peers
        self._full_only_peers.add(peer_id)
        # After a failed delta, a full transfer from this peer may succeed.
        can_retry_full = had_base and is_first_failure
        self._abandon(0.0 if can_retry_full else FAILED_PEER_DELAY_S, now_s)

    def _finish(self, incoming: _Incoming, now_s: float) -> None:
        peer_id = incoming.peer_id
        collected = _verify(incoming)
        if collected is None:
            self._handle_bad_transfer(peer_id, now_s)
            return
        manifest, parts = collected
        self.counters.completed += 1
        self._full_only_peers.discard(peer_id)
        self._incoming = None
        self.on_publication(manifest, parts, now_s)
        if self.is_obtainable(self.peer_version(peer_id)):
            # The peer sent another version than it reported; an immediate
            # request could return the same version.
            self._next_request_s[peer_id] = now_s + BUSY_DELAY_S


class _ManifestHistory:
    """Entries of recent manifests, used as bases of deltas.

    Consecutive manifests share the objects of unchanged entries.
    """

    def __init__(self) -> None:
        self._manifests: collections.OrderedDict[
            Version, dict[str, PartRef]
        ] = collections.OrderedDict()

    def remember(self, manifest: Manifest) -> None:
        previous: dict[str, PartRef] = {}
        if self._manifests:
            previous = next(reversed(self._manifests.values()))
        entries = {part.name: part for part in manifest.parts}
        for name, part in previous.items():
            if entries.get(name) == part:
                entries[name] = part
        self._manifests[manifest.version()] = entries
        while len(self._manifests) > REMEMBERED_MANIFESTS:
            self._manifests.popitem(last=False)

    def entries(self, version: Version) -> Mapping[str, PartRef] | None:
        return self._manifests.get(version)


def _size_bytes(reply: DeltaReply) -> int:
    content_bytes = sum(map(len, reply.contents))
    return content_bytes + _ENTRY_OVERHEAD_BYTES * len(reply.changed)


def _busy_reply(transfer_id: int) -> DeltaReply:
    return DeltaReply(transfer_id, True, False, 0, 0, "", (), (), (), False)


def build_replies(
    transfer_id: int,
    snapshot: Snapshot,
    base: Mapping[str, PartRef] | None,
) -> list[DeltaReply]:
    """Builds the replies that carry a snapshot, each below 1 MiB.

    Args:
        transfer_id: Id from the request.
        snapshot: The snapshot to send.
        base: Manifest entries by name that the receiver has, or None for a
            full transfer.

    Returns:
        At least one reply; `has_more` is false only in the last one.
    """
    known = {} if base is None else base
    changed = [
        part for part in snapshot.manifest.parts if known.get(part.name) != part
    ]
    names = {part.name for part in snapshot.manifest.parts}
    removed = tuple(sorted(name for name in known if name not in names))
    held_digests = {part.digest for part in known.values()}
    digests = dict.fromkeys(
        part.digest for part in changed if part.digest not in held_digests
    )
    contents = [snapshot.parts[digest] for digest in digests]
    groups = _split_into_groups(removed, changed, contents)
    return [
        DeltaReply(
            transfer_id=transfer_id,
            is_busy=False,
            is_full=base is None,
            format=snapshot.manifest.format,
            version_number=snapshot.version.number,
            version_digest=snapshot.version.digest,
            changed=tuple(group.changed),
            removed=tuple(group.removed),
            contents=tuple(group.contents),
            has_more=index + 1 < len(groups),
        )
        for index, group in enumerate(groups)
    ]


@dataclasses.dataclass(slots=True)
class _Group:
    """Content of one reply and its size."""

    removed: list[str] = dataclasses.field(default_factory=list)
    changed: list[PartEntry] = dataclasses.field(default_factory=list)
    contents: list[bytes] = dataclasses.field(default_factory=list)
    size_bytes: int = 0


def _split_into_groups(
    removed: Iterable[str],
    changed: Iterable[PartRef],
    contents: Iterable[bytes],
) -> list[_Group]:
    groups = [_Group()]

    def group_with_room(size_bytes: int) -> _Group:
        if groups[-1].size_bytes + size_bytes > MAX_REPLY_BYTES:
            groups.append(_Group())
        groups[-1].size_bytes += size_bytes
        return groups[-1]

    for name in removed:
        size_bytes = len(name.encode()) + _CONTENT_OVERHEAD_BYTES
        group_with_room(size_bytes).removed.append(name)
    for part in changed:
        entry = PartEntry(part.name, part.digest, part.size_bytes)
        size_bytes = len(part.name.encode()) + _ENTRY_OVERHEAD_BYTES
        group_with_room(size_bytes).changed.append(entry)
    for content in contents:
        size_bytes = len(content) + _CONTENT_OVERHEAD_BYTES
        group_with_room(size_bytes).contents.append(content)
    return groups


def _collect(incoming: _Incoming, reply: DeltaReply) -> bool:
    """Adds a reply to a transfer.

    Returns:
        False if it differs from the first reply in the fields that all replies
        of a transfer share, or if the transfer is too large.
    """
    if incoming.first is None:
        incoming.first = reply
    if _shared_fields(reply) != _shared_fields(incoming.first):
        return False
    incoming.removed.update(reply.removed)
    for entry in reply.changed:
        incoming.changed[entry.name] = PartRef(
            entry.name, entry.digest, entry.size_bytes
        )
        incoming.size_bytes += len(entry.name) + _ENTRY_OVERHEAD_BYTES
    for content in reply.contents:
        incoming.contents[sha256_hex(content)] = content
        incoming.size_bytes += len(content)
    return incoming.size_bytes <= MAX_TRANSFER_BYTES


def _shared_fields(reply: DeltaReply) -> tuple[bool, int, int, str]:
    return (
        reply.is_full,
        reply.format,
        reply.version_number,
        reply.version_digest,
    )


def _verify(
    incoming: _Incoming,
) -> tuple[Manifest, dict[str, bytes]] | None:
    """Returns the manifest and its parts if they match all digests."""
    reply = incoming.first
    if reply is None:
        return None
    entries: dict[str, PartRef] = {}
    base_parts: Mapping[str, bytes] = {}
    if incoming.base is not None:
        base_parts = incoming.base.parts
    if not reply.is_full:
        if incoming.base is None:
            return None
        entries = {part.name: part for part in incoming.base.manifest.parts}
    for name in incoming.removed:
        entries.pop(name, None)
    entries.update(incoming.changed)
    ordered = tuple(entries[name] for name in sorted(entries))
    manifest = Manifest(reply.format, reply.version_number, ordered)
    if manifest.version().digest != reply.version_digest:
        return None
    parts: dict[str, bytes] = {}
    for part in manifest.parts:
        content = incoming.contents.get(part.digest)
        if content is None:
            content = base_parts.get(part.digest)
        if content is None:
            return None
        parts[part.digest] = content
    return manifest, parts
