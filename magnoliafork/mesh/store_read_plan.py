"""Decides whether a read of the store asks for changes or for the state.

An answer to a watch has each version of an item since the last read; a read of
the whole state has only the newest. In a quick succession of large
configurations, the versions that are already replaced would take most of the
network link of a machine, and the more, the further its node is behind.
"""

from collections.abc import Iterable

from magnoliafork.mesh.model import StoredItem
from magnoliafork.mesh.view import ViewDelta


class StoreReadPlan:
    """Compares what a watch is expected to bring with the whole state.

    Expects that as much changes until the next read as before the last one.
    """

    def __init__(self) -> None:
        """Expects few changes."""
        self._changed_bytes = 0

    def wants_whole_state(
        self,
        state_bytes: int,
        missing_config_versions: int,
        config_bytes: int,
    ) -> bool:
        """Whether the whole state is expected to be smaller than a watch.

        Args:
            state_bytes: Size of the whole state.
            missing_config_versions: Configurations that are known to have been
                published since the last read.
            config_bytes: Size of a configuration.
        """
        missing_bytes = missing_config_versions * config_bytes
        return max(self._changed_bytes, missing_bytes) > state_bytes

    def record_changes(self, delta: ViewDelta) -> None:
        """Records an answer to a watch."""
        self._changed_bytes = _size_bytes(delta.items)

    def record_whole_state(self, delta: ViewDelta, after_revision: int) -> None:
        """Records an answer with the whole state.

        Each revision is one change. Those which no item bears were of versions
        that are replaced; the largest changed item is taken for their size.

        Args:
            delta: The answer.
            after_revision: Revision of the view before it, 0 if unknown.
        """
        self._changed_bytes = 0
        if not after_revision:
            return
        changed = [i for i in delta.items if i.revision > after_revision]
        replaced = max(0, delta.revision - after_revision - len(changed))
        largest_bytes = max((len(item.value) for item in changed), default=0)
        self._changed_bytes = _size_bytes(changed) + replaced * largest_bytes


def _size_bytes(items: Iterable[StoredItem]) -> int:
    return sum(len(item.value) for item in items)
