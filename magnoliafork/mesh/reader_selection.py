"""Which nodes read the store, and which peers a node keeps a link to.

Every call to the store has its price, and its rates grow more slowly than the
fleet. One node in each zone reads, or more where there are few zones; the
others follow it and take over when it falls silent or loses the store. Nodes
agree without talking, because all of them rank the nodes of a zone by the same
hash.
"""

import dataclasses
import math
import zlib
from collections.abc import Callable, Mapping, Sequence

# Nodes of a zone that read at most, however many before them have failed; the
# other zones' readers then still bring the news.
MAX_READERS_PER_ZONE = 3
# Nodes of the fleet that read at least. A reader that loses power is missed
# only after seconds, in which another one has to bring the news.
MIN_READERS = 3
# Links to nodes of the own zone: the readers and those that take over.
ZONE_LINKS = 2


@dataclasses.dataclass(frozen=True, slots=True)
class Fleet:
    """Nodes by zone, as the view names them.

    Attributes:
        own_host: This node.
        own_zone: Its zone.
        zones: Hosts of each zone in order of rank.
    """

    own_host: str
    own_zone: str
    zones: Mapping[str, Sequence[str]]


def rank_hosts(zone: str, hosts: set[str]) -> list[str]:
    """Returns the hosts of a zone in the order in which they read.

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
        has_store_access: Whether a node's reads of the store succeed, as far
            as is known.
    """
    wanted = readers_per_zone(fleet)
    ranked = fleet.zones.get(fleet.own_zone, (fleet.own_host,))
    sources = 0
    for host in ranked[: wanted - 1 + MAX_READERS_PER_ZONE]:
        if host == fleet.own_host:
            return True
        sources += has_store_access(host)
        if sources >= wanted:
            return False
    return False


def is_default_reader(fleet: Fleet) -> bool:
    """Tells whether this node reads whatever it knows of others."""
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

    A reader is linked with the first node of every other zone, another node
    with the first of its zone and one of another zone, so that news comes two
    ways.
    """
    ranked = fleet.zones.get(fleet.own_zone, ())
    near = max(ZONE_LINKS, readers_per_zone(fleet))
    targets = [h for h in ranked if h != fleet.own_host][:near]
    others = sorted(set(fleet.zones) - {fleet.own_zone})
    firsts = [
        _first(fleet.zones[zone], has_store_access)
        for zone in others
        if fleet.zones[zone]
    ]
    if is_reader(fleet, has_store_access):
        return (*targets, *firsts)
    if firsts:
        start = zlib.crc32(fleet.own_host.encode()) % len(firsts)
        targets.append(firsts[start])
    return tuple(targets)


def _first(
    ranked: Sequence[str], has_store_access: Callable[[str], bool]
) -> str:
    for host in ranked[:MAX_READERS_PER_ZONE]:
        if has_store_access(host):
            return host
    return ranked[0]
