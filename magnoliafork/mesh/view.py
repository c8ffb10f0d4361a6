"""The published state as one node knows it.

The store numbers all its changes with one revision counter. A view is the
state at one revision, so the view with the higher revision is the newer one.
Merging the views of peers needs no other rule, and no peer can return a node
to an older configuration.

A store that is restored from an older copy begins a new era, in which it gives
out revisions again. Revisions of different eras are never compared: a view
moves to a newer era with its whole state, and keeps what it knows better.
"""

import collections
import dataclasses
from collections.abc import Callable, Container, Iterable, Sequence

from magnoliafork.mesh.model import (
    DecodedItem,
    MeshConfig,
    StoredItem,
    StorePosition,
    UnreadableItem,
    UpstreamEntry,
    ZoneOut,
)
from magnoliafork.mesh.restored_state import is_older, is_removed

# Changes kept for peers that lag behind; at fewer than one change per second
# they cover an hour.
MAX_LOG_ITEMS = 4096
# Earlier versions of large values are kept, so that peers can be sent what has
# changed. Patches of smaller values would save little.
MIN_HISTORY_VALUE_BYTES = 4096
MAX_HISTORY_VALUES = 8
# Whole reads that are remembered, with the log of changes around them.
MAX_UNLOGGED = 64
# Removed entries that are remembered; the oldest are dropped.
MAX_REMOVED = 1024

Decode = Callable[[StoredItem], DecodedItem | None]


@dataclasses.dataclass(frozen=True, slots=True)
class Change:
    """Decoded value of an item before and after a change.

    None stands for an item that is absent or not used by the node.
    """

    key: str
    revision: int
    before: DecodedItem | None
    after: DecodedItem | None


@dataclasses.dataclass(frozen=True, slots=True)
class ViewDelta:
    """Items that bring a view from one revision to another.

    Attributes:
        base_revision: Revision that the view must have reached; 0 if the
            items are the whole state.
        revision: Revision of the view afterwards.
        items: Changed items; removed ones have an empty value.
        era: Era of the store that both revisions belong to.
    """

    base_revision: int
    revision: int
    items: tuple[StoredItem, ...]
    era: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class _RemovedUpstream:
    """The last entry of a removed upstream.

    Attributes:
        item: Item of the entry; its revision is 0 if it is of an earlier era.
        entry: Decoded entry.
        removed_at: Revision up to which the store's state is known to lack it.
    """

    item: StoredItem
    entry: UpstreamEntry
    removed_at: int


class MeshView:
    """Items of the store with their decoded values and indexes.

    Attributes:
        era: Era of the store that the view is of.
        is_restored: Whether the view has moved to this era from an earlier one.
        revision: Revision of the view within its era; 0 while it is empty.
        change_count: Number of applied deltas with changes.
        config: Newest configuration that was ever known, or None.
        config_revision: Revision of its item.
    """

    def __init__(self, decode: Decode) -> None:
        """Creates an empty view.

        Args:
            decode: Decodes an item; None for an item that is not used.
        """
        self._decode = decode
        self._items: dict[str, StoredItem] = {}
        self._decoded: dict[str, DecodedItem] = {}
        # Keys and revisions; the values are those of the items.
        self._log: collections.deque[tuple[str, int]] = collections.deque()
        self._log_base = 0
        # Revisions before and after each whole read. Items that came and went
        # between them are not in the log.
        self._unlogged: collections.deque[tuple[int, int]] = collections.deque(
            maxlen=MAX_UNLOGGED
        )
        self._history: dict[str, collections.deque[StoredItem]] = {}
        # Items of the earlier era that the restored store lacks.
        self._carried_keys: set[str] = set()
        self._removed: dict[str, _RemovedUpstream] = {}
        self.era = 0
        self.is_restored = False
        self.revision = 0
        self.change_count = 0
        self.config: MeshConfig | None = None
        self.config_revision = 0
        self._subscribers: list[Callable[[Sequence[Change]], None]] = []
        self._zones_out: frozenset[str] = frozenset()
        self._by_service: dict[str, tuple[UpstreamEntry, ...]] = {}
        self._upstreams: dict[str, UpstreamEntry] = {}
        self._by_address: dict[tuple[str, int], UpstreamEntry] = {}
        # Services that `config` names; None without a configuration.
        self._service_names: frozenset[str] | None = None

    @property
    def position(self) -> StorePosition:
        """State of the store that the view has reached."""
        return StorePosition(self.era, self.revision)

    @property
    def config_version(self) -> int:
        """Version of the configuration, or 0."""
        return self.config.version if self.config is not None else 0

    @property
    def state_bytes(self) -> int:
        """Size of all values."""
        return sum(len(item.value) for item in self._items.values())

    @property
    def config_bytes(self) -> int:
        """Size of the largest value of a configuration, or 0."""
        return max(
            (
                len(self._items[key].value)
                for key, decoded in self._decoded.items()
                if isinstance(decoded, MeshConfig)
            ),
            default=0,
        )

    @property
    def has_carried(self) -> bool:
        """Whether the view has items that the restored store lacks."""
        return bool(self._carried_keys)

    @property
    def zones_out(self) -> frozenset[str]:
        """Availability zones that receive no new requests."""
        return self._zones_out

    @property
    def upstreams(self) -> dict[str, UpstreamEntry]:
        """All decoded upstream entries by upstream id."""
        return self._upstreams

    @property
    def unconfigured_upstreams(self) -> dict[str, UpstreamEntry]:
        """Entries whose service is not configured, by upstream id."""
        return {
            upstream_id: entry
            for upstream_id, entry in self._upstreams.items()
            if not self.is_configured(entry)
        }

    def is_configured(self, entry: UpstreamEntry) -> bool:
        """Whether the configuration names the service of an entry.

        An entry of another writer may name any service, at the address of an
        upstream. Without a configuration, every entry counts.
        """
        names = self._service_names
        return names is None or entry.service in names

    def upstreams_of(self, service: str) -> tuple[UpstreamEntry, ...]:
        """Returns the entries of a service, in order of id."""
        return self._by_service.get(service, ())

    def upstream_at(self, host: str, port: int) -> UpstreamEntry | None:
        """Returns the most recently started upstream at an address.

        Entries of services that are not configured do not count.
        """
        return self._by_address.get((host, port))

    def subscribe(self, notify: Callable[[Sequence[Change]], None]) -> None:
        """Calls a function with the changes of each applied delta."""
        self._subscribers.append(notify)

    def apply(self, delta: ViewDelta) -> bool:
        """Applies a delta; one that is not newer than the view has no effect.

        Returns:
            False if the delta starts at a state that this view has not
            reached; the view is then unchanged.
        """
        position = StorePosition(delta.era, delta.revision)
        if position <= self.position:
            return True
        is_new_era = bool(self.revision) and delta.era != self.era
        if delta.base_revision and (
            is_new_era or delta.base_revision > self.revision
        ):
            return False
        if is_new_era:
            changes = self._restore(delta)
            self.is_restored = True
        elif delta.base_revision == 0:
            changes = self._replace(delta)
        else:
            changes = self._merge(delta.items)
        if is_new_era or not self.revision:
            self._log.clear()
            self._unlogged.clear()
            self._log_base = delta.revision
        self.era, self.revision = delta.era, delta.revision
        if changes or is_new_era:
            self._notify(changes)
        return True

    def adopt_config(self, items: Iterable[StoredItem]) -> None:
        """Takes over a newer configuration from the whole state of a peer.

        The peer may know it from before the store was restored.
        """
        changes = []
        for item in items:
            decoded = self._decode(item)
            if (
                isinstance(decoded, MeshConfig)
                and decoded.version > self.config_version
            ):
                known = self._items.get(item.key)
                revision = known.revision if known is not None else 0
                item = dataclasses.replace(item, revision=revision)
                changes.append(self._put(item, decoded))
        if changes:
            self._notify(changes)

    def drop_carried(self) -> None:
        """Drops the items that were not written again after a restore."""
        keys, self._carried_keys = self._carried_keys, set()
        self._notify(
            [
                self._set(StoredItem(key, self.revision, b""))
                for key in sorted(keys)
            ]
        )

    def _notify(self, changes: Sequence[Change]) -> None:
        self._rebuild_indexes()
        self.change_count += 1
        for notify in self._subscribers:
            notify(changes)

    def delta_after(self, revision: int) -> ViewDelta:
        """Returns the changes after a revision.

        If the log does not reach back that far, returns the whole state.
        """
        is_logged = revision >= self._log_base and not any(
            before < revision < after for before, after in self._unlogged
        )
        if revision and is_logged:
            newest = {key: at for key, at in self._log if at > revision}
            items: list[StoredItem] = []
            for key, at in newest.items():
                present = self._items.get(key)
                if present is not None:
                    items.append(present)
                    continue
                # A peer that never had the last entry could not tell later
                # whether that of a copy is older than the removal.
                removed = self._removed.get(key)
                if removed is not None and removed.item.revision > revision:
                    items.append(removed.item)
                items.append(StoredItem(key, at, b""))
            return ViewDelta(revision, self.revision, tuple(items), self.era)
        remaining = tuple(
            item
            for key, item in self._items.items()
            if key not in self._carried_keys
        )
        return ViewDelta(0, self.revision, remaining, self.era)

    def value_at(self, key: str, revision: int) -> StoredItem | None:
        """Returns a large item as it was at a revision, if that is kept."""
        for item in reversed(self._history.get(key, ())):
            if item.revision <= revision:
                return item
        return None

    def _add_to_log(self, key: str, revision: int) -> None:
        self._log.append((key, revision))
        if len(self._log) > MAX_LOG_ITEMS:
            _, self._log_base = self._log.popleft()

    def _log_whole_read(self, changes: Iterable[Change], revision: int) -> None:
        """Adds the changes that a whole read has brought to the log.

        Without them, each peer that lags behind would need the whole state.

        Args:
            changes: Changes; removals have the revision before the read.
            revision: Revision of the whole read.
        """
        if len(self._unlogged) == MAX_UNLOGGED:
            self._log_base = max(self._log_base, self._unlogged[0][1])
        self._unlogged.append((self.revision, revision))
        logged = [
            (
                change.revision if change.key in self._items else revision,
                change.key,
            )
            for change in changes
        ]
        for at, key in sorted(logged):
            self._add_to_log(key, at)

    def _merge(self, items: Iterable[StoredItem]) -> list[Change]:
        changes = []
        for item in items:
            current = self._items.get(item.key)
            if item.revision <= self.revision:
                continue
            if current is not None and current.revision >= item.revision:
                continue
            self._add_to_log(item.key, item.revision)
            changes.append(self._set(item))
        return changes

    def _replace(self, delta: ViewDelta) -> list[Change]:
        fresh = {item.key: item for item in delta.items}
        changes = [
            self._set(StoredItem(key, self.revision, b""))
            for key in list(self._items)
            if key not in fresh and key not in self._carried_keys
        ]
        for item in fresh.values():
            current = self._items.get(item.key)
            removed = self._removed.get(item.key)
            if removed is not None and removed.removed_at >= item.revision:
                continue
            if current is None or current.revision < item.revision:
                changes.append(self._set(item))
        if self.revision:
            self._log_whole_read(changes, delta.revision)
        return changes

    def _restore(self, delta: ViewDelta) -> list[Change]:
        """Moves to the state of a restored store.

        Items that the copy lacks are carried until they have had time to be
        written again. Newer values are kept under the revisions of the copy, so
        that everything written to the restored store replaces them.
        """
        fresh = {item.key: item for item in delta.items}
        self._history.clear()
        self._carry_lost(fresh)
        self._move_removed(delta.revision)
        changes = []
        for key, item in fresh.items():
            known, known_decoded = self._items.get(key), self._decoded.get(key)
            is_unchanged = known is not None and known.value == item.value
            decoded = known_decoded if is_unchanged else self._decode(item)
            removed = self._removed.get(key)
            if removed is not None and is_removed(decoded, removed.entry):
                continue
            if known is not None and is_older(decoded, known_decoded):
                item = dataclasses.replace(known, revision=item.revision)
                decoded = known_decoded
            changes.append(self._put(item, decoded))
        return [c for c in changes if c.before != c.after]

    def _carry_lost(self, fresh: Container[str]) -> None:
        """Keeps the items that a restored store lacks."""
        for key in self._items:
            if key in fresh:
                continue
            self._items[key] = dataclasses.replace(self._items[key], revision=0)
            # A configuration stays in force without a limit of time.
            if not isinstance(self._decoded.get(key), MeshConfig):
                self._carried_keys.add(key)

    def _move_removed(self, revision: int) -> None:
        """Dates the removals of an earlier era by a revision of the new one."""
        for key, removed in self._removed.items():
            self._removed[key] = _RemovedUpstream(
                dataclasses.replace(removed.item, revision=0),
                removed.entry,
                revision,
            )

    def _set(self, item: StoredItem) -> Change:
        return self._put(item, self._decode(item) if item.value else None)

    def _put(self, item: StoredItem, after: DecodedItem | None) -> Change:
        before = self._decoded.pop(item.key, None)
        if isinstance(before, MeshConfig) and is_older(after, before):
            # Operators may write the versions after a restore one by one.
            item = dataclasses.replace(
                self._items[item.key], revision=item.revision
            )
            after = before
        self._carried_keys.discard(item.key)
        known = self._items.get(item.key)
        if item.value:
            self._removed.pop(item.key, None)
            self._items[item.key] = item
            self._add_to_history(item)
        else:
            self._items.pop(item.key, None)
            self._history.pop(item.key, None)
            if known is not None and isinstance(before, UpstreamEntry):
                self._record_removed(known, before, item.revision)
        if after is not None:
            self._decoded[item.key] = after
        return Change(item.key, item.revision, before, after)

    def _record_removed(
        self, item: StoredItem, entry: UpstreamEntry, removed_at: int
    ) -> None:
        self._removed[item.key] = _RemovedUpstream(item, entry, removed_at)
        if len(self._removed) > MAX_REMOVED:
            del self._removed[next(iter(self._removed))]

    def _add_to_history(self, item: StoredItem) -> None:
        if len(item.value) >= MIN_HISTORY_VALUE_BYTES:
            self._history.setdefault(
                item.key, collections.deque(maxlen=MAX_HISTORY_VALUES)
            ).append(item)
        else:
            self._history.pop(item.key, None)

    def _rebuild_indexes(self) -> None:
        self._find_config()
        self._upstreams = {
            decoded.upstream_id: decoded
            for decoded in self._decoded.values()
            if isinstance(decoded, UpstreamEntry)
        }
        by_service: dict[str, list[UpstreamEntry]] = {}
        for upstream_id in sorted(self._upstreams):
            entry = self._upstreams[upstream_id]
            by_service.setdefault(entry.service, []).append(entry)
        self._by_service = {
            name: tuple(entries) for name, entries in by_service.items()
        }
        self._by_address = _latest_by_address(
            filter(self.is_configured, self._upstreams.values())
        )
        self._zones_out = frozenset(
            decoded.zone
            for decoded in self._decoded.values()
            if isinstance(decoded, ZoneOut)
        )

    def _find_config(self) -> None:
        before = self.config
        for key, decoded in self._decoded.items():
            if not isinstance(decoded, MeshConfig):
                continue
            if self.config is None or decoded.version > self.config.version:
                self.config = decoded
            if decoded.version == self.config.version:
                self.config_revision = self._items[key].revision
        if self.config is not None and self.config is not before:
            self._service_names = self.config.service_names()


def unreadable_changes(changes: Iterable[Change]) -> list[Change]:
    """Returns the changes to items that cannot be decoded."""
    return [c for c in changes if isinstance(c.after, UnreadableItem)]


def _latest_by_address(
    entries: Iterable[UpstreamEntry],
) -> dict[tuple[str, int], UpstreamEntry]:
    latest: dict[tuple[str, int], UpstreamEntry] = {}
    for entry in entries:
        address = (entry.host, entry.port)
        other = latest.get(address)
        if other is None or entry.started_unix_ms > other.started_unix_ms:
            latest[address] = entry
    return latest
