"""Upstreams that may get work, including entries that expired in an outage.

During an outage of the store, entries of running upstreams may expire. They are
written again within two seconds after the outage; until then their removal from
the view does not mean that the upstream is gone. The same holds when the store
was restored from an older copy.
"""

import dataclasses
from collections.abc import Callable, Sequence

from magnoliafork.mesh.model import UpstreamEntry
from magnoliafork.mesh.view import Change, MeshView

# Time after an outage in which the entry of a running upstream is written
# again, with a margin for the delay until this node gets it.
REWRITE_WINDOW_S = 2.3
# Time after an outage in which removals may be a consequence of it; the effects
# of the outage reach this node within that time.
OUTAGE_EFFECT_WINDOW_S = 0.6
# Reports of an outage whose ends lie closer together are about the same one.
# The earliest end counts: transfers make ends look later, and other readers get
# their first answer later.
SAME_OUTAGE_S = 0.5
# Longer times since an outage are reported as this.
MAX_OUTAGE_AGE_S = 3600.0
# Time in which a removal in that window reaches this node and its last requests
# reach the upstream. An upstream that was removed may stop after its drain
# timeout.
REMOVAL_DELAY_S = 0.3
# Upstreams of which it is kept that they have stated to stop; the oldest are
# dropped.
MAX_LEAVING = 4096


@dataclasses.dataclass(frozen=True, slots=True)
class _ExpiredEntry:
    """An entry that may have expired in an outage.

    Attributes:
        entry: The entry as it was.
        usable_until_s: Loop time until which its upstream may get work.
    """

    entry: UpstreamEntry
    usable_until_s: float


class UpstreamTable:
    """Upstreams by service, including entries that expired in an outage."""

    def __init__(
        self,
        view: MeshView,
        clock: Callable[[], float],
        drain_timeout_s: float,
    ) -> None:
        """Creates a table that follows a view.

        Args:
            view: State that the store publishes.
            clock: Clock of the loop.
            drain_timeout_s: Time for which an upstream serves after its entry
                was removed.
        """
        self._view = view
        self._clock = clock
        self._use_s = min(
            REWRITE_WINDOW_S,
            OUTAGE_EFFECT_WINDOW_S + drain_timeout_s - REMOVAL_DELAY_S,
        )
        self._expired: dict[str, _ExpiredEntry] = {}
        self._outage_ended_at_s = clock() - MAX_OUTAGE_AGE_S
        self._era = view.era
        self._restored_at_s: float | None = None
        # Start of the incarnation that is leaving, by upstream id.
        self._leaving: dict[str, int] = {}
        self.change_count = 0
        view.subscribe(self._on_changes)

    def record_outage_end(self, ago_s: float) -> None:
        """Records that the store became available again some time ago."""
        ended_at_s = self._clock() - ago_s
        later_s = ended_at_s - self._outage_ended_at_s
        if later_s > SAME_OUTAGE_S:
            self._outage_ended_at_s = ended_at_s
        elif -SAME_OUTAGE_S < later_s < 0:
            self._outage_ended_at_s = ended_at_s
            self._shorten_use()

    def _shorten_use(self) -> None:
        """Ends the use of expired entries earlier after an earlier end."""
        usable_until_s = self._returned_at_s() + self._use_s
        for upstream_id, expired in self._expired.items():
            if expired.usable_until_s > usable_until_s:
                self._expired[upstream_id] = _ExpiredEntry(
                    expired.entry, usable_until_s
                )

    def outage_ended_ago_s(self) -> float:
        """Returns the time since the last outage ended, at most an hour."""
        return min(self._clock() - self._outage_ended_at_s, MAX_OUTAGE_AGE_S)

    def outage_ended_after_s(self, since_s: float) -> float | None:
        """Returns when the last outage ended, if that was after a time."""
        ended_at_s = self._outage_ended_at_s
        return ended_at_s if ended_at_s > since_s else None

    def record_restore(self, era: int, ago_s: float) -> None:
        """Records that the store was restored to an era some time ago.

        The earliest report of an era counts: others learn of it later.
        """
        restored_at_s = self._clock() - ago_s
        if era > self._era:
            self._era, self._restored_at_s = era, restored_at_s
        elif era == self._era and self._restored_at_s is None:
            self._restored_at_s = restored_at_s
        elif era == self._era and self._restored_at_s is not None:
            self._restored_at_s = min(self._restored_at_s, restored_at_s)

    def restored_ago_s(self) -> float | None:
        """Returns the time since the store was restored to the view's era.

        None if this node has not seen that; at most an hour.
        """
        if self._restored_at_s is None or self._era != self._view.era:
            return None
        return min(self._clock() - self._restored_at_s, MAX_OUTAGE_AGE_S)

    def of_service(self, service: str) -> tuple[UpstreamEntry, ...]:
        """Returns the upstreams of a service that may get work.

        The entry of a crashed upstream stays in the view for a while. It is
        left out once a newer upstream uses its address. So is an entry that
        expired in an outage.
        """
        self.tick(self._clock())
        zones_out = self._view.zones_out
        known = [
            entry
            for entry in self._view.upstreams_of(service)
            if self._view.upstream_at(entry.host, entry.port) is entry
        ]
        expired = [
            e.entry
            for e in self._expired.values()
            if e.entry.service == service
            and self._view.upstream_at(e.entry.host, e.entry.port) is None
        ]
        return tuple(
            entry
            for entry in (*known, *expired)
            if entry.is_ready
            and entry.zone not in zones_out
            and not self.is_leaving(entry)
        )

    def record_leaving(self, upstream_id: str, started_unix_ms: int) -> None:
        """Records that an upstream has stated that it is about to stop.

        It gets no more requests, whatever the store says of it: its entry may
        change later, or never before it is removed.
        """
        if self._leaving.get(upstream_id) == started_unix_ms:
            return
        self._leaving[upstream_id] = started_unix_ms
        if len(self._leaving) > MAX_LEAVING:
            del self._leaving[next(iter(self._leaving))]
        self.change_count += 1

    def is_leaving(self, entry: UpstreamEntry) -> bool:
        """Whether an upstream has stated that it is about to stop."""
        return self._leaving.get(entry.upstream_id) == entry.started_unix_ms

    def at(self, host: str, port: int) -> UpstreamEntry | None:
        """Returns the entry of an address, even if it expired in an outage."""
        self.tick(self._clock())
        known = self._view.upstream_at(host, port)
        if known is not None:
            return known
        for expired in self._expired.values():
            entry = expired.entry
            is_there = (entry.host, entry.port) == (host, port)
            if is_there and self._view.is_configured(entry):
                return entry
        return None

    def tick(self, now_s: float) -> None:
        """Drops what was not written again in time, after an outage or restore.

        Applies to expired entries and to what a restored store lacks.
        """
        for upstream_id, expired in list(self._expired.items()):
            if now_s >= expired.usable_until_s:
                del self._expired[upstream_id]
                self.change_count += 1
        restored_at_s = self._restored_at_s
        if self._view.has_carried and (
            restored_at_s is None or now_s >= restored_at_s + REWRITE_WINDOW_S
        ):
            self._view.drop_carried()

    def _on_changes(self, changes: Sequence[Change]) -> None:
        now_s = self._clock()
        if self._view.is_restored and self._view.era > self._era:
            self.record_restore(self._view.era, 0.0)
        self._era = max(self._era, self._view.era)
        returned_at_s = self._returned_at_s()
        may_have_expired = now_s < returned_at_s + OUTAGE_EFFECT_WINDOW_S
        usable_until_s = returned_at_s + self._use_s
        for change in changes:
            before, after = change.before, change.after
            if isinstance(after, UpstreamEntry) and (
                self._view.is_configured(after)
            ):
                self._expired.pop(after.upstream_id, None)
                self._drop_expired_at(after)
                continue
            if not isinstance(before, UpstreamEntry) or not before.is_ready:
                continue
            if may_have_expired:
                self._expired[before.upstream_id] = _ExpiredEntry(
                    before, usable_until_s
                )
        self.change_count += 1

    def _returned_at_s(self) -> float:
        """Returns the end of the last outage or the last restore."""
        if self._restored_at_s is None:
            return self._outage_ended_at_s
        return max(self._outage_ended_at_s, self._restored_at_s)

    def _drop_expired_at(self, entry: UpstreamEntry) -> None:
        for upstream_id, expired in list(self._expired.items()):
            known = expired.entry
            if (known.host, known.port) == (entry.host, entry.port):
                del self._expired[upstream_id]
