"""Upstreams that may get work, including entries that expired in an outage.

During an outage of the store, entries of running upstreams may expire. They are
written again within two seconds after the outage; until then their removal from
the view does not mean that the upstream is gone.
"""

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
# Each report has aged by its transfer, so that taking the latest end would
# postpone it with every report that the nodes send each other.
SAME_OUTAGE_S = 0.5
# Longer times since an outage are reported as this.
MAX_OUTAGE_AGE_S = 3600.0


class UpstreamTable:
    """Upstreams by service, including entries that expired in an outage."""

    def __init__(self, view: MeshView, clock: Callable[[], float]) -> None:
        """Creates a table that follows a view."""
        self._view = view
        self._clock = clock
        self._retained: dict[str, UpstreamEntry] = {}
        self._outage_ended_at_s = clock() - MAX_OUTAGE_AGE_S
        self._is_store_unavailable = False
        self.change_count = 0
        view.subscribe(self._on_changes)

    def record_outage(self) -> None:
        """Records that the store does not answer."""
        self._is_store_unavailable = True

    def record_outage_end(self, ago_s: float) -> None:
        """Records that the store became available again some time ago."""
        self._is_store_unavailable = False
        ended_at_s = self._clock() - ago_s
        if ended_at_s > self._outage_ended_at_s + SAME_OUTAGE_S:
            self._outage_ended_at_s = ended_at_s

    def outage_ended_ago_s(self) -> float:
        """Returns the time since the last outage ended, at most an hour."""
        return min(self._clock() - self._outage_ended_at_s, MAX_OUTAGE_AGE_S)

    def of_service(self, service: str) -> tuple[UpstreamEntry, ...]:
        """Returns the upstreams of a service that may get work.

        The entry of a crashed upstream stays in the view for a while. It is
        left out once a newer upstream uses its address.
        """
        zones_out = self._view.zones_out
        known = [
            entry
            for entry in self._view.upstreams_of(service)
            if self._view.upstream_at(entry.host, entry.port) is entry
        ]
        retained = [e for e in self._retained.values() if e.service == service]
        return tuple(
            entry
            for entry in (*known, *retained)
            if entry.is_ready and entry.zone not in zones_out
        )

    def at(self, host: str, port: int) -> UpstreamEntry | None:
        """Returns the entry of an address, even if it expired in an outage."""
        known = self._view.upstream_at(host, port)
        if known is not None:
            return known
        for entry in self._retained.values():
            if (entry.host, entry.port) == (host, port):
                return entry
        return None

    def tick(self, now_s: float) -> None:
        """Drops expired entries that were not written again in time."""
        if self._retained and not self._keeps_retained(now_s):
            self._retained.clear()
            self.change_count += 1

    def _keeps_retained(self, now_s: float) -> bool:
        return (
            self._is_store_unavailable
            or now_s < self._outage_ended_at_s + REWRITE_WINDOW_S
        )

    def _may_have_expired(self, now_s: float) -> bool:
        return (
            self._is_store_unavailable
            or now_s < self._outage_ended_at_s + OUTAGE_EFFECT_WINDOW_S
        )

    def _on_changes(self, changes: Sequence[Change]) -> None:
        now_s = self._clock()
        for change in changes:
            before, after = change.before, change.after
            if isinstance(after, UpstreamEntry):
                self._retained.pop(after.upstream_id, None)
                self._drop_retained_at(after)
                continue
            if not isinstance(before, UpstreamEntry) or not before.is_ready:
                continue
            if self._may_have_expired(now_s):
                self._retained[before.upstream_id] = before
        self.change_count += 1

    def _drop_retained_at(self, entry: UpstreamEntry) -> None:
        for retained in list(self._retained.values()):
            if (retained.host, retained.port) == (entry.host, entry.port):
                del self._retained[retained.upstream_id]
