"""Choice of a node's overlay neighbours and of the readers of each zone."""

import hashlib
import heapq
from collections.abc import Iterable

from magnoliafork.cluster.membership import MembershipTable
from magnoliafork.model.instance import Member, MemberState

OWN_ZONE_NEIGHBOURS = 4
OTHER_ZONE_NEIGHBOURS = 2
READERS_PER_ZONE = 3


def rendezvous_score(first: str, second: str) -> bytes:
    """Returns the rendezvous hash of an ordered pair of names."""
    pair = f"{first}\0{second}".encode()
    return hashlib.blake2b(pair, digest_size=8).digest()


class ScoreCache:
    """Caches the rendezvous scores of one name paired with other names."""

    def __init__(self, name: str) -> None:
        """Creates an empty cache for the first name of the pairs."""
        self._name = name
        self._scores: dict[str, bytes] = {}

    def score(self, other: str) -> bytes:
        """Returns the score of the pair."""
        score = self._scores.get(other)
        if score is None:
            score = rendezvous_score(self._name, other)
            self._scores[other] = score
        return score

    def prune(self, table: MembershipTable) -> None:
        """Drops the scores of members that the table has removed."""
        if len(self._scores) <= 2 * len(table):
            return
        self._scores = {
            other: score
            for other, score in self._scores.items()
            if table.get(other) is not None
        }


def choose_neighbours(
    table: MembershipTable, self_id: str, cache: ScoreCache | None = None
) -> tuple[str, ...]:
    """Returns the peers to which a node opens control links.

    Scores are those of ordered pairs, so that the peers that a node chooses are
    independent of the nodes that choose it, and links are spread evenly.

    Args:
        table: The membership table; must contain the node.
        self_id: Node for which neighbours are chosen.
        cache: Scores of this node from earlier calls.

    Returns:
        Up to 4 peers in the node's zone and 2 in others; none that is DEAD.
    """
    own = table.get(self_id)
    if own is None:
        return ()
    cache = cache or ScoreCache(self_id)
    same_zone: list[tuple[bytes, str]] = []
    other_zones: list[tuple[bytes, str]] = []
    for member in table:
        peer_id = member.instance.instance_id
        if member.state is MemberState.DEAD or peer_id == self_id:
            continue
        is_same_zone = member.instance.zone == own.instance.zone
        group = same_zone if is_same_zone else other_zones
        group.append((cache.score(peer_id), peer_id))
    return _top_ids(same_zone, OWN_ZONE_NEIGHBOURS) + _top_ids(
        other_zones, OTHER_ZONE_NEIGHBOURS
    )


def zone_readers(
    table: MembershipTable, zone: str, cache: ScoreCache | None = None
) -> tuple[str, ...]:
    """Returns the instances of a zone that watch the source.

    Args:
        table: The membership table.
        zone: The availability zone.
        cache: Scores of this zone from earlier calls.

    Returns:
        The first 3 instances by rendezvous hash that are not leaving or dead.
    """
    cache = cache or ScoreCache(zone)
    ranked = [
        (cache.score(member.instance.instance_id), member.instance.instance_id)
        for member in _reader_candidates(table, zone)
    ]
    return _top_ids(ranked, READERS_PER_ZONE)


def _reader_candidates(table: MembershipTable, zone: str) -> Iterable[Member]:
    return (
        member
        for member in table
        if member.instance.zone == zone and member.state < MemberState.LEAVING
    )


def _top_ids(ranked: list[tuple[bytes, str]], count: int) -> tuple[str, ...]:
    return tuple(peer_id for _, peer_id in heapq.nlargest(count, ranked))


class Overlay:
    """Keeps one node's neighbours and zone readers up to date."""

    def __init__(self, table: MembershipTable) -> None:
        """Creates the overlay of the table's own node."""
        self._table = table
        self._self_id = table.own.instance.instance_id
        self._zone = table.own.instance.zone
        self._node_scores = ScoreCache(self._self_id)
        self._zone_scores = ScoreCache(self._zone)
        self._seen_change_count = -1
        self._neighbours: tuple[str, ...] = ()
        self._readers: tuple[str, ...] = ()
        self._reader_share_count = 0

    @property
    def neighbours(self) -> tuple[str, ...]:
        """Peers to which this node opens control links."""
        self._refresh()
        return self._neighbours

    @property
    def is_zone_reader(self) -> bool:
        """Whether this node watches the source for its zone."""
        self._refresh()
        return self._self_id in self._readers

    @property
    def reader_share_count(self) -> int:
        """Number of nodes that share the zone readers' part of the read budget.

        0 if this node is not one of them. Counts members in any state: the two
        sides of a partition consider each other dead and choose their own
        readers. If those had a share, the fleet would make twice the reads that
        the source allows.
        """
        self._refresh()
        return self._reader_share_count

    def _refresh(self) -> None:
        if self._table.topology_change_count == self._seen_change_count:
            return
        self._seen_change_count = self._table.topology_change_count
        self._node_scores.prune(self._table)
        self._zone_scores.prune(self._table)
        self._neighbours = choose_neighbours(
            self._table, self._self_id, self._node_scores
        )
        self._readers = zone_readers(self._table, self._zone, self._zone_scores)
        self._reader_share_count = self._count_reader_shares()

    def _count_reader_shares(self) -> int:
        ranked = [
            (self._zone_scores.score(peer_id), peer_id)
            for peer_id in (
                member.instance.instance_id
                for member in self._table
                if member.instance.zone == self._zone
            )
        ]
        if self._self_id not in _top_ids(ranked, READERS_PER_ZONE):
            return 0
        zones = {member.instance.zone for member in self._table}
        return READERS_PER_ZONE * len(zones)
