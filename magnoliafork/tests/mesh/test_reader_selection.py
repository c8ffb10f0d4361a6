"""Every zone has a node that reads the store, whatever has failed."""

import itertools

from magnoliafork.mesh.reader_selection import (
    MAX_READERS_PER_ZONE,
    Fleet,
    is_reader,
    link_targets,
    rank_hosts,
)

ZONES = {
    zone: rank_hosts(zone, {f"{zone}{n}" for n in range(6)}) for zone in "xyz"
}


def fleet_of(host: str) -> Fleet:
    return Fleet(host, host[0], ZONES)


def readers_with(with_access: set[str]) -> list[str]:
    hosts = itertools.chain.from_iterable(ZONES.values())
    return [
        h for h in hosts if is_reader(fleet_of(h), with_access.__contains__)
    ]


def test_one_node_of_each_zone_reads() -> None:
    """Calls to the store would grow with the fleet beyond the allowed rates."""
    default_readers = {ranked[0] for ranked in ZONES.values()}
    assert set(readers_with(default_readers)) == default_readers


def test_next_node_takes_over_when_the_reader_has_no_store_access() -> None:
    """A reader without store access must not leave its zone without changes."""
    with_access = {ZONES["x"][0], ZONES["y"][0]}
    assert ZONES["z"][1] in readers_with(with_access)


def test_outage_of_the_store_does_not_make_every_node_read() -> None:
    """Every call to the store has a cost, also while the store is down."""
    assert len(readers_with(set())) == MAX_READERS_PER_ZONE * len(ZONES)


def test_every_node_has_links_to_two_zones() -> None:
    """The reader of the own zone may lose its connection unnoticed."""
    with_access = {ranked[0] for ranked in ZONES.values()}
    for host in itertools.chain.from_iterable(ZONES.values()):
        targets = link_targets(fleet_of(host), with_access.__contains__)
        assert host not in targets
        assert {t[0] for t in targets} >= {host[0]}
        assert any(t[0] != host[0] for t in targets)


def test_links_of_a_node_do_not_grow_with_its_zone() -> None:
    """Announcements in a large zone would take bandwidth from requests."""
    zone = rank_hosts("x", {f"x{n}" for n in range(200)})
    fleet = Fleet(zone[50], "x", {**ZONES, "x": zone})
    assert len(link_targets(fleet, lambda _: True)) <= 3
