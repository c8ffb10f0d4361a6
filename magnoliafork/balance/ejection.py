"""Outlier ejection: sends no work to instances that fail repeatedly."""

import dataclasses
from collections.abc import Callable

CONSECUTIVE_FAILURES = 5
FIRST_EJECTION_S = 5.0
MAX_EJECTION_S = 60.0
# At most one in this many instances of a service is ejected; more ejections
# would overload the remaining ones.
MAX_EJECTED_DIVISOR = 3


@dataclasses.dataclass(slots=True)
class _Entry:
    service: str
    failures: int = 0
    last_duration_s: float = 0.0
    ejected_until_s: float = float("-inf")


class OutlierEjection:
    """Counts consecutive failures and ejects instances for some time."""

    def __init__(self) -> None:
        """Creates an empty table."""
        self._entries: dict[str, _Entry] = {}
        self.ejections = 0

    def is_ejected(self, instance_id: str, now_s: float) -> bool:
        """Tells whether an instance is ejected."""
        entry = self._entries.get(instance_id)
        return entry is not None and now_s < entry.ejected_until_s

    def record_success(self, instance_id: str, now_s: float) -> None:
        """Resets the failure count of an instance.

        Once the instance has been back for as long as its last ejection, the
        next ejection lasts `FIRST_EJECTION_S` again instead of twice as long.
        """
        entry = self._entries.get(instance_id)
        if entry is None:
            return
        entry.failures = 0
        if now_s >= entry.ejected_until_s + entry.last_duration_s:
            del self._entries[instance_id]

    def record_failure(
        self, service: str, instance_id: str, instance_count: int, now_s: float
    ) -> None:
        """Counts a failure and ejects the instance after too many in a row.

        Args:
            service: Service of the instance.
            instance_id: Instance that failed.
            instance_count: Number of candidates of the service, for the cap.
            now_s: Current time.
        """
        entry = self._entries.get(instance_id)
        if entry is None:
            entry = self._entries[instance_id] = _Entry(service)
        if now_s < entry.ejected_until_s:
            return
        entry.failures += 1
        if entry.failures < CONSECUTIVE_FAILURES:
            return
        if self._may_eject(service, instance_count, now_s):
            self._eject(entry, now_s)

    def retain(self, is_known: Callable[[str], bool]) -> None:
        """Drops entries of instances that no longer exist."""
        gone = [
            instance_id
            for instance_id in self._entries
            if not is_known(instance_id)
        ]
        for instance_id in gone:
            del self._entries[instance_id]

    def _may_eject(
        self, service: str, instance_count: int, now_s: float
    ) -> bool:
        ejected = sum(
            1
            for entry in self._entries.values()
            if entry.service == service and now_s < entry.ejected_until_s
        )
        return ejected + 1 <= instance_count // MAX_EJECTED_DIVISOR

    def _eject(self, entry: _Entry, now_s: float) -> None:
        duration_s = min(
            max(entry.last_duration_s * 2, FIRST_EJECTION_S), MAX_EJECTION_S
        )
        entry.failures = 0
        entry.last_duration_s = duration_s
        entry.ejected_until_s = now_s + duration_s
        self.ejections += 1
