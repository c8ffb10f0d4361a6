"""Which upstreams may get work, from the view and from its gaps.

While the store is away, entries of living upstreams may lapse. They are back
within two seconds of its return; until then their removal means nothing.
"""

from collections.abc import Callable, Sequence

from magnoliafork.mesh.model import UpstreamEntry
from magnoliafork.mesh.view import Change, MeshView

# Time after the store's return in which the entry of a living upstream is
# written again, with a margin for its way to this node.
REWRITE_S = 2.3
# Time after the store's return in which the news of the outage arrives; later
# removals are no consequence of it.
OUTAGE_NEWS_S = 0.6
# Times since an outage are not told beyond this.
MAX_AGO_S = 3600.0


class UpstreamTable:
    """Upstreams by service, with entries that may only have lapsed."""

    def __init__(self, view: MeshView, clock: Callable[[], float]) -> None:
        """Creates a table that follows a view."""
        self._view = view
        self._clock = clock
        self._held: dict[str, UpstreamEntry] = {}
        self._back_at_s = clock() - MAX_AGO_S
        self._is_store_away = False
        self.change_count = 0
        view.subscribe(self._on_changes)

    def note_outage(self) -> None:
        """Notes that the store does not answer."""
        self._is_store_away = True

    def note_outage_ended(self, ago_s: float) -> None:
        """Notes that the store came back some time ago."""
        self._is_store_away = False
        self._back_at_s = max(self._back_at_s, self._clock() - ago_s)

    def outage_ended_ago_s(self) -> float:
        """Returns the time since the store came back, at most an hour."""
        return min(self._clock() - self._back_at_s, MAX_AGO_S)

    def of_service(self, service: str) -> tuple[UpstreamEntry, ...]:
        """Returns the upstreams of a service that may get work.

        The entry of a crashed upstream stays for a while; it is left out once
        a younger one has its address.
        """
        zones_out = self._view.zones_out
        known = [
            entry
            for entry in self._view.upstreams_of(service)
            if self._view.upstream_at(entry.host, entry.port) is entry
        ]
        held = [e for e in self._held.values() if e.service == service]
        return tuple(
            entry
            for entry in (*known, *held)
            if entry.is_ready and entry.zone not in zones_out
        )

    def at(self, host: str, port: int) -> UpstreamEntry | None:
        """Returns the entry with an address, or one that may have lapsed."""
        known = self._view.upstream_at(host, port)
        if known is not None:
            return known
        for entry in self._held.values():
            if (entry.host, entry.port) == (host, port):
                return entry
        return None

    def tick(self, now_s: float) -> None:
        """Drops lapsed entries that were not written again in time."""
        if self._held and not self._is_held(now_s):
            self._held.clear()
            self.change_count += 1

    def _is_held(self, now_s: float) -> bool:
        return self._is_store_away or now_s < self._back_at_s + REWRITE_S

    def _may_have_lapsed(self, now_s: float) -> bool:
        return self._is_store_away or now_s < self._back_at_s + OUTAGE_NEWS_S

    def _on_changes(self, changes: Sequence[Change]) -> None:
        now_s = self._clock()
        for change in changes:
            before, after = change.before, change.after
            if isinstance(after, UpstreamEntry):
                self._held.pop(after.upstream_id, None)
                self._drop_address(after)
                continue
            if not isinstance(before, UpstreamEntry) or not before.is_ready:
                continue
            if self._may_have_lapsed(now_s):
                self._held[before.upstream_id] = before
        self.change_count += 1

    def _drop_address(self, entry: UpstreamEntry) -> None:
        for held in list(self._held.values()):
            if (held.host, held.port) == (entry.host, entry.port):
                del self._held[held.upstream_id]
