"""Load estimates of instances, from hints that come with their replies."""

import dataclasses
from collections.abc import Callable

# The weight of a hint falls linearly to 0 in this time: within about a second
# other requests hold the slots, and the old count says nothing about them.
HINT_LIFETIME_S = 1.0
# Assumed limit of an instance that has not replied yet.
DEFAULT_LIMIT = 8
MIN_COOL_DOWN_S = 0.05
MAX_COOL_DOWN_S = 1.0


@dataclasses.dataclass(slots=True)
class _Entry:
    active: int = 0
    limit: int = DEFAULT_LIMIT
    hinted_at_s: float = float("-inf")
    sent_since_hint: int = 0
    in_flight: int = 0
    refused_until_s: float = float("-inf")


class LoadTable:
    """Estimates the load of each instance from hints and own calls."""

    def __init__(self) -> None:
        """Creates an empty table."""
        self._entries: dict[str, _Entry] = {}

    def begin(self, instance_id: str) -> None:
        """Counts a call that this node sends to an instance."""
        entry = self._entry(instance_id)
        entry.in_flight += 1
        entry.sent_since_hint += 1

    def end(self, instance_id: str) -> None:
        """Counts the end of a call."""
        self._entry(instance_id).in_flight -= 1

    def record_hint(
        self, instance_id: str, active: int, limit: int, now_s: float
    ) -> None:
        """Records the active calls and the limit from a reply."""
        entry = self._entry(instance_id)
        entry.active = active
        entry.limit = max(limit, 1)
        entry.hinted_at_s = now_s
        entry.sent_since_hint = 0

    def record_refusal(
        self, instance_id: str, retry_after_ms: int, now_s: float
    ) -> None:
        """Starts a cool-down of an instance that refused work."""
        cool_down_s = min(
            max(retry_after_ms / 1000, MIN_COOL_DOWN_S), MAX_COOL_DOWN_S
        )
        self._entry(instance_id).refused_until_s = now_s + cool_down_s

    def has_refused(self, instance_id: str, now_s: float) -> bool:
        """Tells whether an instance refused work a short time ago."""
        entry = self._entries.get(instance_id)
        return entry is not None and now_s < entry.refused_until_s

    def load(self, instance_id: str, now_s: float) -> float:
        """Returns the estimated load; 1 or more means at the limit."""
        entry = self._entries.get(instance_id)
        if entry is None:
            return 0.0
        weight = 1.0 - (now_s - entry.hinted_at_s) / HINT_LIFETIME_S
        own_calls = entry.in_flight
        if weight <= 0.0:
            return own_calls / entry.limit
        hinted = entry.active * weight + entry.sent_since_hint
        return max(hinted, own_calls) / entry.limit

    def retain(self, is_known: Callable[[str], bool]) -> None:
        """Drops idle entries of instances that no longer exist."""
        gone = [
            instance_id
            for instance_id, entry in self._entries.items()
            if entry.in_flight == 0 and not is_known(instance_id)
        ]
        for instance_id in gone:
            del self._entries[instance_id]

    def _entry(self, instance_id: str) -> _Entry:
        entry = self._entries.get(instance_id)
        if entry is None:
            entry = self._entries[instance_id] = _Entry()
        return entry
