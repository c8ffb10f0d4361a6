"""Which nodes read the store, and which peers a node keeps a link to.

Every call to the store has a cost, and the allowed call rates grow more slowly
than the fleet. One node of each zone reads the store, or more if there are few
zones. The others receive the state from it and take over when it stops
responding or loses access to the store. Nodes agree without coordination,
because all of them rank the nodes of a zone by the same hash.
"""

import dataclasses
import math
import zlib
from collections.abc import Callable, Mapping, Sequence

# Maximum number of readers of a zone, however many before them have failed;
# each required reader beyond the first adds one. The readers of other zones
# still deliver changes.
MAX_READERS_PER_ZONE = 3
# Minimum number of readers in the fleet. The loss of power of a reader is
# detected only after seconds, in which another one has to deliver changes.
MIN_READERS = 3
# Minimum number of links to nodes of the own zone.
ZONE_LINKS = 2
# Nodes that each node of a tier delivers changes to, on average.
TIER_GROWTH = 4


@dataclasses.dataclass(frozen=True, slots=True)
class Fleet:
    """Nodes by zone, according to the view.

    Attributes:
        own_host: Host of this node.
        own_zone: Availability zone of this node.
        zones: Hosts of each zone in order of rank.
    """

    own_host: str
    own_zone: str
    zones: Mapping[str, Sequence[str]]


def rank_hosts(zone: str, hosts: set[str]) -> list[str]:
    """Returns the hosts of a zone in the order in which they become readers.

    >>> rank_hosts("z", {"a", "b"}) == rank_hosts("z", {"b", "a"})
    True
    """
    return sorted(
        hosts, key=lambda host: (zlib.crc32(f"{zone}/{host}".encode()), host)
    )


def is_reader(fleet: Fleet, has_store_access: Callable[[str], bool]) -> bool:
    """Tells whether this node reads the store.

    Args:
        fleet: Known nodes.
        has_store_access: Tells whether a node's reads of the store succeed,
            as far as is known.
    """
    required = readers_per_zone(fleet)
    ranked = fleet.zones.get(fleet.own_zone, (fleet.own_host,))
    with_access = 0
    for host in ranked[: required - 1 + MAX_READERS_PER_ZONE]:
        if host == fleet.own_host:
            return True
        with_access += has_store_access(host)
        if with_access >= required:
            return False
    return False


def is_default_reader(fleet: Fleet) -> bool:
    """Tells whether this node reads the store whatever the others do.

    Default readers are the first nodes of their zone.
    """
    ranked = fleet.zones.get(fleet.own_zone, (fleet.own_host,))
    return fleet.own_host in ranked[: readers_per_zone(fleet)]


def readers_per_zone(fleet: Fleet) -> int:
    """Returns the number of nodes that read in each zone.

    >>> readers_per_zone(Fleet("a", "x", {"x": ["a"]}))
    3
    >>> readers_per_zone(Fleet("a", "x", {"x": ["a"], "y": [], "z": []}))
    1
    """
    return math.ceil(MIN_READERS / max(1, len(fleet.zones)))


def link_targets(
    fleet: Fleet, has_store_access: Callable[[str], bool]
) -> tuple[str, ...]:
    """Returns the peers to which this node keeps links.

    The nodes of a zone form tiers in order of rank: the readers and the nodes
    that take over first, then tiers that grow by `TIER_GROWTH`. A node has
    links to nodes of the tier before its own, so that no node delivers the
    changes to a whole zone over its own network link. A reader also has a link
    to the preferred reader of every other zone, another node to a node of the
    same tier in one other zone, so that changes arrive from two sides.
    """
    ranked = fleet.zones.get(fleet.own_zone, (fleet.own_host,))
    first_tier = max(ZONE_LINKS, readers_per_zone(fleet))
    start, end = _tier(ranked.index(fleet.own_host), first_tier)
    others = [
        zone
        for zone in sorted(set(fleet.zones) - {fleet.own_zone})
        if fleet.zones[zone]
    ]
    zone_readers = [
        _preferred_reader(fleet.zones[zone], has_store_access)
        for zone in others
    ]
    targets = [h for h in ranked[:first_tier] if h != fleet.own_host]
    if is_reader(fleet, has_store_access):
        return (*targets, *zone_readers)
    if start > first_tier:
        earlier, _ = _tier(start - 1, first_tier)
        targets = _closest(fleet.own_host, ranked[earlier:start], ZONE_LINKS)
    if others:
        chosen = zlib.crc32(fleet.own_host.encode()) % len(others)
        same_tier = fleet.zones[others[chosen]][start:end]
        if start and same_tier:
            targets += _closest(fleet.own_host, same_tier, 1)
        else:
            targets.append(zone_readers[chosen])
    return tuple(targets)


def fallback_targets(fleet: Fleet, attempt: int) -> tuple[str, ...]:
    """Returns peers for a node whose peers in its own zone are all lost.

    Each attempt returns other nodes, so that one of them is found whichever
    nodes are lost.
    """
    ranked = fleet.zones.get(fleet.own_zone, ())
    first_tier = max(ZONE_LINKS, readers_per_zone(fleet))
    others = [host for host in ranked if host != fleet.own_host]
    key = f"{fleet.own_host}/{attempt}"
    return (*others[:first_tier], *_closest(key, others, ZONE_LINKS))


def takeover_rank(fleet: Fleet) -> int:
    """Returns how many nodes of the zone take over reading before this one.

    >>> takeover_rank(Fleet("d", "x", {"x": ["a", "b", "c", "d"]}))
    3
    """
    ranked = fleet.zones.get(fleet.own_zone, ())
    return list(ranked).index(fleet.own_host) if ranked else 0


def max_view_age_s(fleet: Fleet, answer_s: float, hop_s: float) -> float:
    """Returns the highest age of a view that is kept up to date.

    Args:
        fleet: Known nodes.
        answer_s: Longest time between two answers of the store to a reader.
        hop_s: Longest time until a node announces the age to its neighbours.

    >>> max_view_age_s(Fleet("a", "x", {"x": ["a"]}), 2.0, 1.0)
    4.0
    """
    first_tier = max(ZONE_LINKS, readers_per_zone(fleet))
    rank, hops = takeover_rank(fleet), 2
    start, _ = _tier(rank, first_tier)
    while start > 0:
        start, _ = _tier(start - 1, first_tier)
        hops += 1
    return answer_s + hops * hop_s


def _tier(rank: int, first_tier: int) -> tuple[int, int]:
    """Returns the first rank of the tier of a rank, and of the next tier.

    >>> _tier(1, 2), _tier(2, 2), _tier(9, 2), _tier(10, 2)
    ((0, 2), (2, 10), (2, 10), (10, 42))
    """
    start, size = 0, first_tier
    while rank >= start + size:
        start += size
        size *= TIER_GROWTH
    return start, start + size


def _closest(own_host: str, hosts: Sequence[str], count: int) -> list[str]:
    """Returns hosts by rendezvous hash, which changes little with the fleet."""
    return sorted(
        hosts,
        key=lambda host: (zlib.crc32(f"{own_host}/{host}".encode()), host),
    )[:count]


def _preferred_reader(
    ranked: Sequence[str], has_store_access: Callable[[str], bool]
) -> str:
    for host in ranked[:MAX_READERS_PER_ZONE]:
        if has_store_access(host):
            return host
    return ranked[0]
