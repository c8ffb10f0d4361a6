"""Finds out how long the upstream on this machine stays cold.

An upstream may become cold at any time: it restarts under its id, it crashes
and is started again, or its zone returns from an evacuation. After each sign of
that it counts as cold until its own health check says otherwise.
"""

import asyncio
from collections.abc import Callable, Sequence

from magnoliafork.mesh.cold_rate_limiter import ColdRateLimiter
from magnoliafork.mesh.model import UpstreamEntry
from magnoliafork.mesh.notice_monitor import NoticeMonitor
from magnoliafork.mesh.upstream import Upstream
from magnoliafork.mesh.upstream_table import UpstreamTable
from magnoliafork.mesh.view import Change, MeshView
from magnoliafork.observe.events import Event
from magnoliafork.observe.logs import EventLog

# Interval of health checks while it is unknown whether the upstream is cold.
HEALTH_CHECK_INTERVAL_S = 0.4
# Share of a stated rate limit that health checks may use; the upstream counts
# them like requests.
HEALTH_CHECK_LIMIT_SHARE = 0.5


class ColdStateMonitor:
    """Watches the upstream's entry and sends health checks to it."""

    def __init__(
        self,
        address: tuple[str, int],
        limiter: ColdRateLimiter,
        notices: NoticeMonitor,
        view: MeshView,
        table: UpstreamTable,
        client: Upstream,
        clock: Callable[[], float],
        log: EventLog,
        on_reachable: Callable[[], None],
    ) -> None:
        """Creates a monitor of the upstream at an address.

        Args:
            address: Host and port of the upstream.
            limiter: Gets the cold state.
            notices: Gets what the answers to checks state.
            view: Published state.
            table: Upstreams, including entries that expired in an outage.
            client: Connections to the upstream.
            clock: Time in seconds; the loop's clock.
            log: Receives the events.
            on_reachable: Called when the upstream is new or has answered.
        """
        self._address = address
        self._limiter = limiter
        self._notices = notices
        self._view = view
        self._table = table
        self._client = client
        self._clock = clock
        self._log = log
        self._on_reachable = on_reachable
        self._check_task: asyncio.Task[None] | None = None
        self._next_check_s = 0.0
        self._entry: UpstreamEntry | None = None
        self._was_zone_out = False
        self.health_checks = 0

    def on_changes(self, changes: Sequence[Change]) -> None:
        """Handles changes of the upstream's entry and of its zone."""
        before, after = self._entry, self._view.upstream_at(*self._address)
        self._entry = after
        # A change of the configuration may also change which entry counts.
        if after is not None and after is not before:
            is_new = any(c.after is after and c.before is None for c in changes)
            self._on_entry(None if is_new else before, after)
        entry = self._table.at(*self._address)
        is_out = entry is not None and entry.zone in self._view.zones_out
        if self._was_zone_out and not is_out:
            self.mark_unknown("zone is back in service")
        self._was_zone_out = is_out

    def _on_entry(
        self, before: UpstreamEntry | None, after: UpstreamEntry
    ) -> None:
        if before is None or not before.is_same_incarnation(after):
            self.mark_unknown(f"new upstream {after.upstream_id}")
            self._on_reachable()
        elif after.cold_left_s > 0:
            self._limiter.extend_cold_time(after.cold_left_s, self._clock())

    def mark_unknown(self, cause: str) -> None:
        """Treats the upstream as cold until a health check says otherwise."""
        if self._limiter.is_known:
            self._log.info(Event.UPSTREAM_COLD, cause=cause, is_known=False)
        self._limiter.mark_unknown()
        if self._check_task is None or self._check_task.done():
            self._check_task = asyncio.create_task(self._check_until_known())

    def close(self) -> None:
        """Cancels a running check."""
        if self._check_task is not None:
            self._check_task.cancel()

    async def _check_until_known(self) -> None:
        while not self._limiter.is_known:
            config, entry = self._view.config, self._table.at(*self._address)
            now_s = self._clock()
            service = None
            if config is not None and entry is not None:
                service = config.services.get(entry.service)
            is_due = now_s >= self._next_check_s
            if entry is not None and service is not None and is_due:
                self._next_check_s = now_s + self._check_interval_s()
                if await self._check_health(entry, service.health_path):
                    return
            await asyncio.sleep(HEALTH_CHECK_INTERVAL_S / 4)

    def _check_interval_s(self) -> float:
        rate_per_s = self._notices.limiter.rate_per_s
        if rate_per_s <= 0:
            return HEALTH_CHECK_INTERVAL_S
        return max(
            HEALTH_CHECK_INTERVAL_S, 1 / (rate_per_s * HEALTH_CHECK_LIMIT_SHARE)
        )

    async def _check_health(
        self, entry: UpstreamEntry, health_path: str
    ) -> bool:
        self.health_checks += 1
        self._notices.record_sent()
        health_headers = await self._client.health(health_path)
        if health_headers is None or not health_headers.upstream_id:
            return False
        if health_headers.upstream_id == entry.upstream_id:
            self._notices.record_partial(entry, health_headers.notice)
        cold_left_s = health_headers.cold_left_s
        if cold_left_s is None:
            return False
        self._limiter.set_cold_time(cold_left_s, self._clock())
        self._log.info(
            Event.UPSTREAM_COLD,
            upstream=health_headers.upstream_id,
            cold_for_ms=int(cold_left_s * 1000),
            is_known=True,
        )
        self._on_reachable()
        return True
