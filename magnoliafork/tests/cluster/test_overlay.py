"""Choice of neighbours and zone readers."""

from magnoliafork.cluster.membership import MembershipTable
from magnoliafork.cluster.overlay import (
    Overlay,
    choose_neighbours,
    zone_readers,
)
from magnoliafork.model.instance import Member, MemberState
from magnoliafork.tests.cluster.fakes import fleet_of


def table_of(count: int, zones: int) -> MembershipTable:
    fleet = fleet_of(count, zones)
    members = [Member(instance, 1, MemberState.ALIVE) for instance in fleet]
    table = MembershipTable(members[0], 0.0)
    table.merge(members, 0.0)
    return table


def test_links_connect_the_whole_fleet_across_zones() -> None:
    # Guards against an overlay that is not connected, or in which one node has
    # too many links.
    table = table_of(400, 16)
    zones = {
        member.instance.instance_id: member.instance.zone for member in table
    }
    links: dict[str, set[str]] = {node_id: set() for node_id in zones}
    for node_id, zone in zones.items():
        chosen = choose_neighbours(table, node_id)
        assert [zones[peer] == zone for peer in chosen] == [True] * 4 + [
            False
        ] * 2
        for peer in chosen:
            links[node_id].add(peer)
            links[peer].add(node_id)
    assert max(map(len, links.values())) <= 64
    reached, frontier = set[str](), {"a-0000"}
    while frontier:
        reached |= frontier
        frontier = set().union(*map(links.get, frontier)) - reached  # type: ignore[arg-type]
    assert reached == set(zones)


def test_only_relevant_changes_replace_neighbours_and_readers() -> None:
    # Guards against links to DEAD peers, zones without a reader, and choices
    # that are recomputed on every tick.
    table = table_of(60, 3)
    overlay = Overlay(table)
    before, readers = overlay.neighbours, zone_readers(table, "zone-0")
    for instance_id, state in (
        (before[1], MemberState.SUSPECT),
        (before[0], MemberState.DEAD),
        (readers[0], MemberState.LEAVING),
    ):
        assert overlay.neighbours is before
        member = table.get(instance_id)
        assert member is not None
        table.merge([Member(member.instance, 1, state)], 1.0)
        if state is MemberState.DEAD:
            assert set(before[1:]) < set(overlay.neighbours)
            assert before[0] not in overlay.neighbours
            before = overlay.neighbours
    assert zone_readers(table, "zone-0")[:2] == readers[1:]
