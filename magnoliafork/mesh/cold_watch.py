"""Learns how long the upstream on this machine stays cold.

An upstream may become cold at any moment: it starts anew under its id, crashes
and comes back, or its zone returns from an evacuation. After each sign of that
it counts as cold until its own health check tells otherwise.
"""

import asyncio
from collections.abc import Callable, Sequence

from magnoliafork.mesh.cold import ColdGate
from magnoliafork.mesh.model import UpstreamEntry
from magnoliafork.mesh.upstream import Upstream
from magnoliafork.mesh.upstream_table import UpstreamTable
from magnoliafork.mesh.view import Change, MeshView
from magnoliafork.observe.events import Event
from magnoliafork.observe.logs import EventLog

# Pause between health checks while it is not known whether it is cold.
HEALTH_PAUSE_S = 0.4


class ColdWatch:
    """Follows the upstream's entry and asks the upstream itself."""

    def __init__(
        self,
        address: tuple[str, int],
        gate: ColdGate,
        view: MeshView,
        table: UpstreamTable,
        client: Upstream,
        clock: Callable[[], float],
        log: EventLog,
        on_reached: Callable[[], None],
    ) -> None:
        """Creates a watch over the upstream at an address.

        Args:
            address: Host and port of the upstream.
            gate: Takes over what is learned.
            view: Published state.
            table: Upstreams, with entries that may only have lapsed.
            client: Connections to the upstream.
            clock: Time in seconds; the loop's clock.
            log: Receives the events.
            on_reached: Called when the upstream is new or has answered.
        """
        self._address = address
        self._gate = gate
        self._view = view
        self._table = table
        self._client = client
        self._clock = clock
        self._log = log
        self._on_reached = on_reached
        self._check: asyncio.Task[None] | None = None
        self._health_at_s = 0.0
        self._was_zone_out = False
        self.health_checks = 0

    def on_changes(self, changes: Sequence[Change]) -> None:
        """Takes over changes of the upstream's entry and of its zone."""
        for change in changes:
            after = change.after
            if not isinstance(after, UpstreamEntry):
                continue
            if (after.host, after.port) == self._address:
                self._on_entry(change.before, after)
        entry = self._table.at(*self._address)
        is_out = entry is not None and entry.zone in self._view.zones_out
        if self._was_zone_out and not is_out:
            self.doubt("zone taken back")
        self._was_zone_out = is_out

    def _on_entry(self, before: object, after: UpstreamEntry) -> None:
        is_same = (
            isinstance(before, UpstreamEntry)
            and before.upstream_id == after.upstream_id
            and before.started_unix_ms == after.started_unix_ms
        )
        if not is_same:
            self.doubt(f"new upstream {after.upstream_id}")
            self._on_reached()
        elif after.cold_left_s > 0:
            self._gate.extend(after.cold_left_s, self._clock())

    def doubt(self, cause: str) -> None:
        """Takes the upstream to be cold until it tells otherwise."""
        if self._gate.is_known:
            self._log.info(Event.UPSTREAM_COLD, cause=cause, is_known=False)
        self._gate.doubt()
        if self._check is None or self._check.done():
            self._check = asyncio.create_task(self._learn())

    def close(self) -> None:
        """Ends a running check."""
        if self._check is not None:
            self._check.cancel()

    async def _learn(self) -> None:
        while not self._gate.is_known:
            config, entry = self._view.config, self._table.at(*self._address)
            now_s = self._clock()
            service = None
            if config is not None and entry is not None:
                service = config.services.get(entry.service)
            if service is not None and now_s >= self._health_at_s:
                self._health_at_s = now_s + HEALTH_PAUSE_S
                if await self._ask(service.health_path):
                    return
            await asyncio.sleep(HEALTH_PAUSE_S / 4)

    async def _ask(self, health_path: str) -> bool:
        self.health_checks += 1
        facts = await self._client.health(health_path)
        if facts is None or not facts.upstream_id:
            return False
        self._gate.learn(facts.cold_left_s, self._clock())
        self._log.info(
            Event.UPSTREAM_COLD,
            upstream=facts.upstream_id,
            cold_for_ms=int(facts.cold_left_s * 1000),
            is_known=True,
        )
        self._on_reached()
        return True
