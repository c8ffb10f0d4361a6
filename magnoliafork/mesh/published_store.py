"""Interface of the store that publishes the configuration."""

import dataclasses
from typing import Protocol

from magnoliafork.mesh.view import ViewDelta


@dataclasses.dataclass(frozen=True, slots=True)
class HistoryGone:
    """The store no longer has the changes after the requested revision.

    Attributes:
        era: Era of the store that answered.
    """

    era: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class StoreUnavailable:
    """The store gave no usable answer.

    Attributes:
        detail: Cause for logs.
    """

    detail: str


class PublishedStore(Protocol):
    """Reads of the published state."""

    async def read_all(self) -> ViewDelta | StoreUnavailable:
        """Reads the whole state.

        The items include all changes up to the revision of the delta.
        """
        ...

    async def watch(
        self, after_revision: int, wait_s: float
    ) -> ViewDelta | HistoryGone | StoreUnavailable:
        """Waits for changes after a revision.

        Returns:
            The changes; a delta without items if none came within the wait.
        """
        ...
