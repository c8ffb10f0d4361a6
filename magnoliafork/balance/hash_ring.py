"""Consistent hashing of names over hosts.

Unlike a rendezvous hash (`rendezvous`), finding the hosts of a name takes the
logarithm of the number of hosts, so that thousands of names over thousands of
hosts cost little. Source: Karger et al., "Consistent Hashing and Random Trees",
STOC 1997.
"""

import bisect
import hashlib
from collections.abc import Iterable

# Points of each host on the ring; the share of a host is then within about a
# third of the mean.
POINTS_PER_HOST = 8


def _position(text: str) -> int:
    digest = hashlib.blake2b(text.encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big")


class HashRing:
    """Hosts on a ring; a name belongs to those that follow its position."""

    def __init__(self, hosts: Iterable[str]) -> None:
        """Places hosts on the ring.

        >>> ring = HashRing(["a", "b", "c", "d"])
        >>> len(ring.hosts_of("x", 3)), len(HashRing(["a"]).hosts_of("x", 3))
        (3, 1)
        """
        self.hosts = frozenset(hosts)
        points = sorted(
            (_position(f"{number}/{host}"), host)
            for host in self.hosts
            for number in range(POINTS_PER_HOST)
        )
        self._positions = [position for position, _ in points]
        self._hosts = [host for _, host in points]

    def hosts_of(self, name: str, count: int) -> tuple[str, ...]:
        """Returns the first hosts that follow the position of a name."""
        found: dict[str, None] = {}
        wanted = min(count, len(self.hosts))
        index = bisect.bisect(self._positions, _position(name))
        while len(found) < wanted:
            found[self._hosts[index % len(self._hosts)]] = None
            index += 1
        return tuple(found)
