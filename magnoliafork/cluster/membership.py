"""Membership table: what this node knows about all instances."""

import hashlib
from collections.abc import Iterable, Iterator, Sequence

from magnoliafork.model.instance import Instance, Member, MemberState

SUSPECT_TIMEOUT_S = 6.0
# Three times the limit of a planned stop; a leaving process is gone by then.
LEAVING_TIMEOUT_S = 90.0
# Longer than the 120 s for which homes of keyed requests need dead members,
# and long enough that a lagging list has caught up.
FORGET_DEAD_S = 900.0
# Two processes with the same instance id would otherwise outbid each other
# with every message, and each bid spreads through the whole fleet.
REFUTE_INTERVAL_S = 1.0
BUCKET_COUNT = 64
_DIGEST_MASK = (1 << 64) - 1
_FORGET_CHECK_S = 10.0


class MembershipTable:
    """Merges members; any order of merging gives the same table.

    The digest covers the members that are not DEAD. Nodes forget DEAD
    members at different times, which must not look like a difference.
    """

    def __init__(self, own: Member, now_s: float) -> None:
        """Creates a table that holds only the node's own entry."""
        self._self_id = own.instance.instance_id
        self._members: dict[str, Member] = {}
        self._changed_s: dict[str, float] = {}
        self._by_service: dict[str, dict[str, Member]] = {}
        self._sorted: dict[str, tuple[Member, ...]] = {}
        self._timed: set[str] = set()
        self._buckets = [0] * BUCKET_COUNT
        self._missing_since_s: dict[str, float] = {}
        self._forget_check_s = now_s
        self._refuted_s = now_s - REFUTE_INTERVAL_S
        self._unrefuted: Member | None = None
        self._live_count = 0
        self.change_count = 0
        self.topology_count = 0
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
        cached = self._sorted.get(service)
        if cached is None:
            rows = self._by_service.get(service, {})
            cached = tuple(rows[key] for key in sorted(rows))
            self._sorted[service] = cached
        return cached

    def state_age_s(self, instance_id: str, now_s: float) -> float:
        """Returns the time since a member's state or incarnation changed."""
        changed_s = self._changed_s.get(instance_id)
        return 0.0 if changed_s is None else now_s - changed_s

    def merge(
        self, entries: Iterable[Member], now_s: float
    ) -> tuple[Member, ...]:
        """Merges entries heard from peers or decided by this node.

        An entry about this node that would replace its own is refuted: the
        own incarnation rises above the one heard.

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
                # Peers that have not forgotten it yet must not bring it back.
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
        """Raises the own incarnation, or leaves that to a later tick."""
        if now_s - self._refuted_s < REFUTE_INTERVAL_S:
            if self._unrefuted is None or _is_newer(entry, self._unrefuted):
                self._unrefuted = entry
            return None
        self._refuted_s = now_s
        own = self.own
        self._put(Member(own.instance, entry.incarnation + 1, own.state), now_s)
        return self.own

    def _pending_refutation(self) -> tuple[Member, ...]:
        entry, self._unrefuted = self._unrefuted, None
        return () if entry is None else (entry,)

    def set_own_state(self, state: MemberState, now_s: float) -> Member:
        """Sets this node's own state, which only ever rises."""
        own = self.own
        if state > own.state:
            self._put(Member(own.instance, own.incarnation, state), now_s)
        return self.own

    def merge_list(
        self, listed: Iterable[tuple[Instance, bool]], now_s: float
    ) -> tuple[Member, ...]:
        """Merges the platform's lagging instance list.

        The list adds unknown instances and states of instances that no peer
        has reported yet; what nodes report about themselves wins.

        Args:
            listed: Instances with whether each is leaving.
            now_s: Current time.

        Returns:
            The members that changed.
        """
        changed = []
        names = set()
        for instance, is_leaving in listed:
            names.add(instance.instance_id)
            merged = self._merge_listed(instance, is_leaving, now_s)
            if merged is not None:
                changed.append(merged)
        self._note_missing(names, now_s)
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

    def _note_missing(self, names: set[str], now_s: float) -> None:
        for key in self._members:
            if key not in names:
                self._missing_since_s.setdefault(key, now_s)
        for key in names:
            self._missing_since_s.pop(key, None)

    def tick(self, now_s: float) -> tuple[Member, ...]:
        """Applies timeouts and forgets members that are long dead.

        Returns:
            The members that changed.
        """
        expired = [
            Member(member.instance, member.incarnation, MemberState.DEAD)
            for member in map(self._members.__getitem__, self._timed)
            if self._is_expired(member, now_s)
        ]
        if now_s - self._forget_check_s >= _FORGET_CHECK_S:
            self._forget_check_s = now_s
            self._forget(now_s)
        return self.merge((*self._pending_refutation(), *expired), now_s)

    def _is_expired(self, member: Member, now_s: float) -> bool:
        age_s = self.state_age_s(member.instance.instance_id, now_s)
        if member.state is MemberState.SUSPECT:
            return age_s >= SUSPECT_TIMEOUT_S
        return age_s >= LEAVING_TIMEOUT_S

    def restart_timeouts(self, now_s: float) -> None:
        """Starts all running timeouts anew, after this node was paused."""
        for key in self._timed:
            self._changed_s[key] = now_s

    def _forget(self, now_s: float) -> None:
        gone = [
            key
            for key, since_s in self._missing_since_s.items()
            if now_s - since_s >= FORGET_DEAD_S
            and self._members[key].state is MemberState.DEAD
            and self.state_age_s(key, now_s) >= FORGET_DEAD_S
        ]
        for key in gone:
            self._remove(key)

    def digest(self) -> str:
        """Returns a digest that does not depend on the order of changes."""
        return f"{sum(self._buckets) & _DIGEST_MASK:016x}"

    def bucket_digests(self) -> str:
        """Returns one digest per bucket of instance ids.

        A peer answers with the rows of the buckets that differ: the whole
        table has about 250 KB at 2,300 members, a bucket about 4 KB.
        """
        return "".join(f"{bucket:016x}" for bucket in self._buckets)

    def rows_differing(self, bucket_digests: str) -> tuple[Member, ...]:
        """Returns the members in buckets whose digest is another one."""
        theirs = [
            bucket_digests[start : start + 16]
            for start in range(0, len(bucket_digests), 16)
        ]
        if len(theirs) != BUCKET_COUNT:
            return tuple(self._members.values())
        differing = {
            index
            for index, bucket in enumerate(self._buckets)
            if theirs[index] != f"{bucket:016x}"
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
        self._sorted.pop(service, None)
        self._add_to_digest(member, 1)
        self._track_timeout(member)
        if member.state is not MemberState.DEAD:
            self._live_count += 1
        if known is None or _status(known) != _status(member):
            self._changed_s[key] = now_s
        if known is None or _place(known) != _place(member):
            self.topology_count += 1
        self.change_count += 1

    def _unindex(self, member: Member) -> None:
        service = member.instance.service
        rows = self._by_service[service]
        del rows[member.instance.instance_id]
        if not rows:
            del self._by_service[service]
        self._sorted.pop(service, None)
        self._add_to_digest(member, -1)
        if member.state is not MemberState.DEAD:
            self._live_count -= 1

    def _remove(self, key: str) -> None:
        self._unindex(self._members.pop(key))
        self._changed_s.pop(key, None)
        self._missing_since_s.pop(key, None)
        self._timed.discard(key)
        self.change_count += 1
        self.topology_count += 1

    def _track_timeout(self, member: Member) -> None:
        key = member.instance.instance_id
        if key != self._self_id and member.state in (
            MemberState.SUSPECT,
            MemberState.LEAVING,
        ):
            self._timed.add(key)
        else:
            self._timed.discard(key)

    def _add_to_digest(self, member: Member, sign: int) -> None:
        if member.state is MemberState.DEAD:
            return
        index = _bucket_of(member.instance.instance_id)
        value = self._buckets[index] + sign * _row_hash(member)
        self._buckets[index] = value & _DIGEST_MASK


def _is_newer(entry: Member, known: Member) -> bool:
    return _status(entry) > _status(known)


def _status(member: Member) -> tuple[int, MemberState]:
    return (member.incarnation, member.state)


def _place(member: Member) -> tuple[str, bool, bool]:
    """Returns what the choice of neighbours and readers depends on."""
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
