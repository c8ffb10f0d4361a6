"""Read-only views of a node's state for the request path."""

from collections.abc import Sequence
from typing import Protocol

from magnoliafork.model.instance import Member
from magnoliafork.model.snapshot import Snapshot


class SnapshotView(Protocol):
    """Read access to the configuration in force."""

    @property
    def current(self) -> Snapshot | None:
        """Snapshot in force, or None while there is none yet."""
        ...


class MembershipView(Protocol):
    """Read access to the membership table of the node."""

    @property
    def change_count(self) -> int:
        """Number that grows with every change of the table."""
        ...

    def get(self, instance_id: str) -> Member | None:
        """Returns one member, or None if it is unknown."""
        ...

    def members_of(self, service: str) -> Sequence[Member]:
        """Returns the members of a service in any state, in order of id."""
        ...

    def state_age_s(self, instance_id: str, now_s: float) -> float:
        """Returns the time since a member's state or incarnation changed."""
        ...
