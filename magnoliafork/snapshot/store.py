"""Holds the snapshot in force and decides which versions replace it."""

import collections
import dataclasses
import enum
import logging
import types
from collections.abc import Callable, Mapping, Sequence

from magnoliafork.model.snapshot import Snapshot
from magnoliafork.model.version import NO_VERSION, Version
from magnoliafork.snapshot.errors import ConfigError

MAX_HISTORY_ENTRIES = 64
MAX_REJECTED_VERSIONS = 64
MAX_ERRORS_PER_REJECTION = 20

Subscriber = Callable[[Snapshot], None]

_logger = logging.getLogger(__name__)


@dataclasses.dataclass(frozen=True, slots=True)
class Applied:
    """The offered snapshot is in force."""

    version: Version
    previous: Version


@dataclasses.dataclass(frozen=True, slots=True)
class AppliedConflict:
    """The offered snapshot replaced other content with the same number."""

    version: Version
    previous: Version


@dataclasses.dataclass(frozen=True, slots=True)
class IgnoredLower:
    """The offered version has a lower number than the one in force."""

    offered: Version
    current: Version


@dataclasses.dataclass(frozen=True, slots=True)
class IgnoredConflict:
    """The offered version has the number in force and a lower digest."""

    offered: Version
    current: Version


@dataclasses.dataclass(frozen=True, slots=True)
class Duplicate:
    """The offered version is in force already."""

    version: Version


OfferOutcome = (
    Applied | AppliedConflict | IgnoredLower | IgnoredConflict | Duplicate
)


class HistoryEvent(enum.StrEnum):
    """What happened to a version."""

    APPLIED = "applied"
    APPLIED_CONFLICT = "applied_conflict"
    IGNORED_CONFLICT = "ignored_conflict"
    REJECTED = "rejected"


@dataclasses.dataclass(frozen=True, slots=True)
class HistoryEntry:
    """One entry of the store's history.

    Attributes:
        at_s: Time of the event.
        event: What happened.
        version: Version that the event is about.
        current: Version in force after the event.
    """

    at_s: float
    event: HistoryEvent
    version: Version
    current: Version


@dataclasses.dataclass(slots=True)
class StoreCounts:
    """Counts of offers and rejections since the start."""

    applied: int = 0
    ignored_lower: int = 0
    duplicates: int = 0
    conflicts: int = 0
    rejected: int = 0


class SnapshotStore:
    """Holds the snapshot in force, whose version never decreases."""

    def __init__(self) -> None:
        """Creates a store without a snapshot."""
        self.counts = StoreCounts()
        self._current: Snapshot | None = None
        self._rejected: dict[Version, tuple[ConfigError, ...]] = {}
        self._history: collections.deque[HistoryEntry] = collections.deque(
            maxlen=MAX_HISTORY_ENTRIES
        )
        self._subscribers: list[Subscriber] = []
        self._pending_notifications: collections.deque[Snapshot] = (
            collections.deque()
        )
        self._is_notifying = False

    @property
    def current(self) -> Snapshot | None:
        """Snapshot in force, or None before the first one."""
        return self._current

    @property
    def version(self) -> Version:
        """Version in force, or `NO_VERSION` before the first one."""
        return NO_VERSION if self._current is None else self._current.version

    @property
    def rejected(self) -> Mapping[Version, tuple[ConfigError, ...]]:
        """Rejected versions above the one in force, with their errors."""
        return types.MappingProxyType(self._rejected)

    def offer(self, snapshot: Snapshot, now_s: float) -> OfferOutcome:
        """Applies a snapshot if its version is above the one in force."""
        if snapshot.version == self.version:
            self.counts.duplicates += 1
            return Duplicate(self.version)
        ignored = self.observe(snapshot.version, now_s)
        if ignored is not None:
            return ignored
        return self._apply(snapshot, now_s)

    def observe(
        self, version: Version, now_s: float
    ) -> IgnoredLower | IgnoredConflict | None:
        """Counts a reported version that is below the one in force.

        Peers and the source report versions without their content. The
        result is None for a version that is in force or above.
        """
        current = self.version
        if version >= current:
            return None
        if version.number < current.number:
            self.counts.ignored_lower += 1
            return IgnoredLower(version, current)
        self.counts.conflicts += 1
        self._record(now_s, HistoryEvent.IGNORED_CONFLICT, version)
        return IgnoredConflict(version, current)

    def reject(
        self,
        version: Version,
        errors: Sequence[ConfigError],
        now_s: float,
    ) -> None:
        """Records that a version is invalid, so that it is not fetched again.

        A version that is not above the one in force is never fetched, so it is
        not recorded. When the limit is reached, the oldest rejection is
        dropped; that version would only be fetched and rejected once more.
        """
        if version <= self.version or version in self._rejected:
            return
        if len(self._rejected) >= MAX_REJECTED_VERSIONS:
            del self._rejected[next(iter(self._rejected))]
        self._rejected[version] = tuple(errors[:MAX_ERRORS_PER_REJECTION])
        self.counts.rejected += 1
        self._record(now_s, HistoryEvent.REJECTED, version)

    def is_wanted(self, version: Version) -> bool:
        """Tells whether a version should be fetched."""
        return version > self.version and version not in self._rejected

    def history(self) -> tuple[HistoryEntry, ...]:
        """Returns the latest events, the oldest first."""
        return tuple(self._history)

    def subscribe(self, callback: Subscriber) -> Callable[[], None]:
        """Calls a function with each new snapshot, in order of version.

        Returns:
            A function that ends the subscription.
        """
        self._subscribers.append(callback)

        def unsubscribe() -> None:
            if callback in self._subscribers:
                self._subscribers.remove(callback)

        return unsubscribe

    def _apply(
        self, snapshot: Snapshot, now_s: float
    ) -> Applied | AppliedConflict:
        previous = self.version
        self._current = snapshot
        self._drop_outdated_rejections()
        self.counts.applied += 1
        is_conflict = snapshot.version.number == previous.number
        if is_conflict:
            self.counts.conflicts += 1
            event = HistoryEvent.APPLIED_CONFLICT
        else:
            event = HistoryEvent.APPLIED
        self._record(now_s, event, snapshot.version)
        self._notify(snapshot)
        if is_conflict:
            return AppliedConflict(snapshot.version, previous)
        return Applied(snapshot.version, previous)

    def _drop_outdated_rejections(self) -> None:
        """Drops rejections of versions up to the one in force."""
        for version in [
            item for item in self._rejected if item <= self.version
        ]:
            del self._rejected[version]

    def _record(
        self, now_s: float, event: HistoryEvent, version: Version
    ) -> None:
        if any(
            entry.event is event and entry.version == version
            for entry in self._history
        ):
            # Heartbeats report the same conflict again until the other node
            # has the version in force.
            return
        self._history.append(HistoryEntry(now_s, event, version, self.version))

    def _notify(self, snapshot: Snapshot) -> None:
        """Calls the subscribers with a new snapshot.

        A subscriber may apply another snapshot, which is queued until all have
        been called. Without the queue, the subscribers after it would see the
        newer snapshot first and the older one last.
        """
        self._pending_notifications.append(snapshot)
        if self._is_notifying:
            return
        self._is_notifying = True
        try:
            while self._pending_notifications:
                self._call_subscribers(self._pending_notifications.popleft())
        finally:
            self._is_notifying = False

    def _call_subscribers(self, snapshot: Snapshot) -> None:
        for callback in tuple(self._subscribers):
            try:
                callback(snapshot)
            except Exception:
                # The other subscribers must be called even if one fails.
                _logger.exception("snapshot subscriber failed")
