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
# Minimum number of links to nodes of the own zone: the readers and the nodes
# that take over from them.
ZONE_LINKS = 2


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

    Every node has links to the first nodes of its zone. A reader also has a
    link to the preferred reader of every other zone, another node to that of
    one other zone, so that changes arrive from two sides.
    """
    ranked = fleet.zones.get(fleet.own_zone, ())
    zone_links = max(ZONE_LINKS, readers_per_zone(fleet))
    targets = [h for h in ranked if h != fleet.own_host][:zone_links]
    others = sorted(set(fleet.zones) - {fleet.own_zone})
    zone_readers = [
        _preferred_reader(fleet.zones[zone], has_store_access)
        for zone in others
        if fleet.zones[zone]
    ]
    if is_reader(fleet, has_store_access):
        return (*targets, *zone_readers)
    if zone_readers:
        start = zlib.crc32(fleet.own_host.encode()) % len(zone_readers)
        targets.append(zone_readers[start])
    return tuple(targets)


def _preferred_reader(
    ranked: Sequence[str], has_store_access: Callable[[str], bool]
) -> str:
    for host in ranked[:MAX_READERS_PER_ZONE]:
        if has_store_access(host):
            return host
    return ranked[0]
