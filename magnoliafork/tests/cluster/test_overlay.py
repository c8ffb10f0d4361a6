"""Choice of neighbours and zone readers."""

from magnoliafork.cluster.membership import MembershipTable
from magnoliafork.cluster.overlay import (
    Overlay,
    choose_neighbours,
    zone_readers,
)
from magnoliafork.model.instance import Member, MemberState
from magnoliafork.tests.cluster.fakes import dozen


def table_of(count: int, zones: int) -> MembershipTable:
    members = [Member(one, 1, MemberState.ALIVE) for one in dozen(count, zones)]
    table = MembershipTable(members[0], 0.0)
    table.merge(members[1:], 0.0)
    return table


def test_links_join_the_whole_fleet_through_every_zone() -> None:
    # Guards against an overlay that falls apart or overloads one node.
    table = table_of(400, 16)
    links: dict[str, set[str]] = {}
    for member in table:
        self_id = member.instance.instance_id
        chosen = choose_neighbours(table, self_id)
        zones = [table.get(peer).instance.zone for peer in chosen]  # type: ignore[union-attr]
        assert zones.count(member.instance.zone) == 4
        assert len(set(chosen)) == 6
        assert self_id not in chosen
        for peer in chosen:
            links.setdefault(self_id, set()).add(peer)
            links.setdefault(peer, set()).add(self_id)
    assert max(map(len, links.values())) <= 64
    reached = frontier = set(links["orders-0000"])
    while frontier:
        frontier = set().union(*(links[one] for one in frontier)) - reached
        reached = reached | frontier
    assert len(reached) == 400


def test_dead_and_leaving_members_are_replaced() -> None:
    # Guards against links to the dead, and zones without a reader.
    table = table_of(60, 3)
    overlay = Overlay(table)
    before = overlay.neighbours
    gone = table.get(before[0])
    assert gone is not None
    table.merge([Member(gone.instance, 1, MemberState.DEAD)], 1.0)
    assert gone.instance.instance_id not in overlay.neighbours
    assert set(before[1:]) < set(overlay.neighbours)
    readers = zone_readers(table, "zone-0")
    assert len(readers) == 3
    assert overlay.is_zone_reader == ("orders-0000" in readers)
    leaving = table.get(readers[0])
    assert leaving is not None
    table.merge([Member(leaving.instance, 1, MemberState.LEAVING)], 2.0)
    assert zone_readers(table, "zone-0")[:2] == readers[1:]


def test_an_unchanged_table_costs_no_recomputation() -> None:
    # Guards against a choice that is recomputed on every tick.
    table = table_of(60, 3)
    overlay = Overlay(table)
    before = overlay.neighbours
    suspect = table.get("orders-0007")
    assert suspect is not None
    table.merge([Member(suspect.instance, 1, MemberState.SUSPECT)], 1.0)
    assert overlay.neighbours is before
