"""Cache of the instances that may receive new work, by service."""

import dataclasses

from magnoliafork.model.instance import Instance, Member, MemberState
from magnoliafork.model.snapshot import Snapshot
from magnoliafork.model.view import MembershipView

_ELIGIBLE_STATES = frozenset({MemberState.ALIVE, MemberState.SUSPECT})


@dataclasses.dataclass(frozen=True, slots=True)
class Candidates:
    """Instances of one service that may receive new work.

    Attributes:
        tiers: Members by preference: own zone, own region, other regions.
            Empty tiers are left out.
        instance_ids: Ids of all candidates, in order of id.
    """

    tiers: tuple[tuple[Member, ...], ...]
    instance_ids: tuple[str, ...]


class CandidateIndex:
    """Caches the candidates of each service.

    An entry is built on first use and dropped when the membership table or
    the snapshot changes, so that the cost of choosing an instance does not
    grow with the number of instances.
    """

    def __init__(
        self, membership: MembershipView, own_zone: str, own_region: str
    ) -> None:
        """Creates an empty index for senders in one zone and region."""
        self._membership = membership
        self._own_zone = own_zone
        self._own_region = own_region
        self._change_count = -1
        self._snapshot: Snapshot | None = None
        self._by_service: dict[str, Candidates] = {}
        self.rebuilds = 0

    def of_service(self, service: str, snapshot: Snapshot) -> Candidates:
        """Returns the current candidates of a service."""
        change_count = self._membership.change_count
        if change_count != self._change_count or snapshot is not self._snapshot:
            self._by_service.clear()
            self._change_count = change_count
            self._snapshot = snapshot
        candidates = self._by_service.get(service)
        if candidates is None:
            candidates = self._build(service, snapshot)
            self._by_service[service] = candidates
        return candidates

    def _build(self, service: str, snapshot: Snapshot) -> Candidates:
        self.rebuilds += 1
        rules = snapshot.rules
        eligible = [
            member
            for member in self._membership.members_of(service)
            if member.state in _ELIGIBLE_STATES
            and member.instance.zone not in rules.zones_out
            and member.instance.instance_id not in rules.drained
        ]
        tiers: tuple[list[Member], ...] = ([], [], [])
        for member in eligible:
            tiers[self._tier_of(member.instance)].append(member)
        return Candidates(
            tuple(tuple(tier) for tier in tiers if tier),
            tuple(member.instance.instance_id for member in eligible),
        )

    def _tier_of(self, instance: Instance) -> int:
        if instance.zone == self._own_zone:
            return 0
        if instance.region == self._own_region:
            return 1
        return 2
