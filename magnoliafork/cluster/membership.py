"""Membership table: what this node knows about all instances."""

import hashlib
from collections.abc import Iterable, Iterator, Sequence

from magnoliafork.model.instance import Instance, Member, MemberState

SUSPECT_TIMEOUT_S = 6.0
# Three times the time limit of a planned stop, after which a leaving process
# has ended.
LEAVING_TIMEOUT_S = 90.0
# Longer than the 120 s for which the placement of keyed requests needs DEAD
# members, and long enough for the lagging instance list to catch up.
DEAD_RETENTION_S = 900.0
# Two processes with the same instance id would otherwise refute each other with
# every message, and each refutation spreads through the whole fleet.
REFUTE_INTERVAL_S = 1.0
BUCKET_COUNT = 64
_DIGEST_MASK = (1 << 64) - 1
_REMOVAL_INTERVAL_S = 10.0


class MembershipTable:
    """Members by instance id; the order of merging does not affect the result.

    The digest covers only members that are not DEAD: nodes remove DEAD members
    at different times, which must not change their digests.
    """

    def __init__(self, own: Member, now_s: float) -> None:
        """Creates a table that holds only the node's own entry."""
        self._self_id = own.instance.instance_id
        self._members: dict[str, Member] = {}
        self._state_changed_s: dict[str, float] = {}
        self._by_service: dict[str, dict[str, Member]] = {}
        self._sorted_by_service: dict[str, tuple[Member, ...]] = {}
        self._ids_with_timeout: set[str] = set()
        self._buckets = [0] * BUCKET_COUNT
        self._missing_since_s: dict[str, float] = {}
        self._last_removal_s = now_s
        self._last_refuted_s = now_s - REFUTE_INTERVAL_S
        self._deferred_report: Member | None = None
        self._live_count = 0
        self.change_count = 0
        self.topology_change_count = 0
        self._put(own, now_s)

    @property
    def own(self) -> Member:
        """The node's own entry."""
        return self._members[self._self_id]

    @property
    def live_count(self) -> int:
        """Number of members that are not DEAD, this node included."""
        return self._live_count

    def __len__(self) -> int:
        """Returns the number of members in any state."""
        return len(self._members)

    def __iter__(self) -> Iterator[Member]:
        """Iterates over the members in any state."""
        return iter(self._members.values())

    def get(self, instance_id: str) -> Member | None:
        """Returns one member, or None if it is unknown."""
        return self._members.get(instance_id)

    def members_of(self, service: str) -> Sequence[Member]:
        """Returns the members of a service in any state, in order of id."""
        cached = self._sorted_by_service.get(service)
        if cached is None:
            rows = self._by_service.get(service, {})
            cached = tuple(rows[key] for key in sorted(rows))
            self._sorted_by_service[service] = cached
        return cached

    def state_age_s(self, instance_id: str, now_s: float) -> float:
        """Returns the time since a member's state or incarnation changed."""
        changed_s = self._state_changed_s.get(instance_id)
        return 0.0 if changed_s is None else now_s - changed_s

    def merge(
        self, entries: Iterable[Member], now_s: float
    ) -> tuple[Member, ...]:
        """Merges entries received from peers or created by this node.

        An entry about this node that would replace its own is refuted: the
        own incarnation is raised above the received one.

        Returns:
            The members as they are after the merge, for those that changed.
        """
        changed = []
        for entry in entries:
            merged = self._merge_one(entry, now_s)
            if merged is not None:
                changed.append(merged)
        return tuple(changed)

    def _merge_one(self, entry: Member, now_s: float) -> Member | None:
        key = entry.instance.instance_id
        known = self._members.get(key)
        if known is None:
            if entry.state is MemberState.DEAD:
                # Peers that have not removed it yet must not add it again.
                return None
            self._put(entry, now_s)
            return entry
        if not _is_newer(entry, known):
            return None
        if key == self._self_id:
            return self._refute(entry, now_s)
        if entry.incarnation == known.incarnation:
            entry = Member(known.instance, known.incarnation, entry.state)
        self._put(entry, now_s)
        return entry

    def _refute(self, entry: Member, now_s: float) -> Member | None:
        """Raises the own incarnation, or defers that to a later tick."""
        if now_s - self._last_refuted_s < REFUTE_INTERVAL_S:
            if self._deferred_report is None or _is_newer(
                entry, self._deferred_report
            ):
                self._deferred_report = entry
            return None
        self._last_refuted_s = now_s
        own = self.own
        self._put(Member(own.instance, entry.incarnation + 1, own.state), now_s)
        return self.own

    def _take_deferred_report(self) -> tuple[Member, ...]:
        entry, self._deferred_report = self._deferred_report, None
        return () if entry is None else (entry,)

    def set_own_state(self, state: MemberState, now_s: float) -> Member:
        """Sets this node's own state if the new state is higher."""
        own = self.own
        if state > own.state:
            self._put(Member(own.instance, own.incarnation, state), now_s)
        return self.own

    def merge_instance_list(
        self, listed: Iterable[tuple[Instance, bool]], now_s: float
    ) -> tuple[Member, ...]:
        """Merges the platform's lagging instance list.

        The list adds unknown instances, and updates instances that no peer has
        reported yet. Reports from nodes take precedence over the list.

        Args:
            listed: Instances, each with whether it is leaving.
            now_s: Current time.

        Returns:
            The members that changed.
        """
        changed = []
        listed_ids = set()
        for instance, is_leaving in listed:
            listed_ids.add(instance.instance_id)
            merged = self._merge_listed(instance, is_leaving, now_s)
            if merged is not None:
                changed.append(merged)
        self._note_missing(listed_ids, now_s)
        return tuple(changed)

    def _merge_listed(
        self, instance: Instance, is_leaving: bool, now_s: float
    ) -> Member | None:
        known = self._members.get(instance.instance_id)
        state = MemberState.LEAVING if is_leaving else MemberState.ALIVE
        if known is None:
            return self._merge_one(Member(instance, 0, state), now_s)
        if known.incarnation > 0:
            return None
        merged = Member(instance, 0, max(state, known.state))
        if merged == known:
            return None
        self._put(merged, now_s)
        return merged

    def _note_missing(self, listed_ids: set[str], now_s: float) -> None:
        for key in self._members:
            if key not in listed_ids:
                self._missing_since_s.setdefault(key, now_s)
        for key in listed_ids:
            self._missing_since_s.pop(key, None)

    def tick(self, now_s: float) -> tuple[Member, ...]:
        """Applies timeouts and removes members that have long been DEAD.

        Returns:
            The members that changed.
        """
        expired = [
            Member(member.instance, member.incarnation, MemberState.DEAD)
            for member in map(self._members.__getitem__, self._ids_with_timeout)
            if self._is_expired(member, now_s)
        ]
        if now_s - self._last_removal_s >= _REMOVAL_INTERVAL_S:
            self._last_removal_s = now_s
            self._remove_long_dead(now_s)
        return self.merge((*self._take_deferred_report(), *expired), now_s)

    def _is_expired(self, member: Member, now_s: float) -> bool:
        age_s = self.state_age_s(member.instance.instance_id, now_s)
        if member.state is MemberState.SUSPECT:
            return age_s >= SUSPECT_TIMEOUT_S
        return age_s >= LEAVING_TIMEOUT_S

    def restart_timeouts(self, now_s: float) -> None:
        """Restarts all running timeouts after this node was paused."""
        for key in self._ids_with_timeout:
            self._state_changed_s[key] = now_s

    def _remove_long_dead(self, now_s: float) -> None:
        expired_ids = [
            key
            for key, since_s in self._missing_since_s.items()
            if now_s - since_s >= DEAD_RETENTION_S
            and self._members[key].state is MemberState.DEAD
            and self.state_age_s(key, now_s) >= DEAD_RETENTION_S
        ]
        for key in expired_ids:
            self._remove(key)

    def digest(self) -> str:
        """Returns a digest that is independent of the order of changes."""
        return f"{sum(self._buckets) & _DIGEST_MASK:016x}"

    def bucket_digests(self) -> str:
        """Returns the digests of all buckets of instance ids.

        A peer answers with the rows of the buckets that differ: the whole
        table has about 250 KB at 2,300 members, a bucket about 4 KB.
        """
        return "".join(f"{bucket:016x}" for bucket in self._buckets)

    def rows_differing(self, bucket_digests: str) -> tuple[Member, ...]:
        """Returns the members in buckets whose digest differs."""
        peer_digests = [
            bucket_digests[start : start + 16]
            for start in range(0, len(bucket_digests), 16)
        ]
        if len(peer_digests) != BUCKET_COUNT:
            return tuple(self._members.values())
        differing = {
            index
            for index, bucket in enumerate(self._buckets)
            if peer_digests[index] != f"{bucket:016x}"
        }
        return tuple(
            member
            for key, member in self._members.items()
            if _bucket_of(key) in differing
        )

    def _put(self, member: Member, now_s: float) -> None:
        key = member.instance.instance_id
        known = self._members.get(key)
        if known is not None:
            self._unindex(known)
        self._members[key] = member
        service = member.instance.service
        self._by_service.setdefault(service, {})[key] = member
        self._sorted_by_service.pop(service, None)
        self._add_to_digest(member, 1)
        self._track_timeout(member)
        if member.state is not MemberState.DEAD:
            self._live_count += 1
        if known is None or _precedence(known) != _precedence(member):
            self._state_changed_s[key] = now_s
        if known is None or _overlay_fields(known) != _overlay_fields(member):
            self.topology_change_count += 1
        self.change_count += 1

    def _unindex(self, member: Member) -> None:
        service = member.instance.service
        rows = self._by_service[service]
        del rows[member.instance.instance_id]
        if not rows:
            del self._by_service[service]
        self._sorted_by_service.pop(service, None)
        self._add_to_digest(member, -1)
        if member.state is not MemberState.DEAD:
            self._live_count -= 1

    def _remove(self, key: str) -> None:
        self._unindex(self._members.pop(key))
        self._state_changed_s.pop(key, None)
        self._missing_since_s.pop(key, None)
        self._ids_with_timeout.discard(key)
        self.change_count += 1
        self.topology_change_count += 1

    def _track_timeout(self, member: Member) -> None:
        key = member.instance.instance_id
        if key != self._self_id and member.state in (
            MemberState.SUSPECT,
            MemberState.LEAVING,
        ):
            self._ids_with_timeout.add(key)
        else:
            self._ids_with_timeout.discard(key)

    def _add_to_digest(self, member: Member, sign: int) -> None:
        if member.state is MemberState.DEAD:
            return
        index = _bucket_of(member.instance.instance_id)
        value = self._buckets[index] + sign * _row_hash(member)
        self._buckets[index] = value & _DIGEST_MASK


def _is_newer(entry: Member, known: Member) -> bool:
    return _precedence(entry) > _precedence(known)


def _precedence(member: Member) -> tuple[int, MemberState]:
    return (member.incarnation, member.state)


def _overlay_fields(member: Member) -> tuple[str, bool, bool]:
    """Returns the fields on which the overlay depends."""
    return (
        member.instance.zone,
        member.state is MemberState.DEAD,
        member.state is MemberState.LEAVING,
    )


def _bucket_of(instance_id: str) -> int:
    digest = hashlib.blake2b(instance_id.encode(), digest_size=1).digest()
    return digest[0] % BUCKET_COUNT


def _row_hash(member: Member) -> int:
    row = (
        f"{member.instance.instance_id}/{member.incarnation}/"
        f"{int(member.state)}"
    )
    digest = hashlib.blake2b(row.encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big")
