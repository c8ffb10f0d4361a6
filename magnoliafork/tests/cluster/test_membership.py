"""Membership table: merge order, timeouts, digests."""

import itertools
import random

from magnoliafork.cluster.membership import (
    DEAD_RETENTION_S,
    SUSPECT_TIMEOUT_S,
    MembershipTable,
)
from magnoliafork.model.instance import Instance, Member, MemberState
from magnoliafork.tests.cluster.fakes import fleet_of

ALIVE, SUSPECT = MemberState.ALIVE, MemberState.SUSPECT
LEAVING, DEAD = MemberState.LEAVING, MemberState.DEAD
FLEET = fleet_of(12)
SELF, PEER = FLEET[0], FLEET[1]


def table_of(own: Instance = SELF) -> MembershipTable:
    return MembershipTable(Member(own, 5, ALIVE), 0.0)


def test_entries_in_any_order_give_one_table_and_digest() -> None:
    # Guards against nodes whose tables differ after reordered or duplicated
    # updates.
    rng = random.Random(5)
    entries = [
        Member(instance, incarnation, state)
        for instance in FLEET[1:]
        for incarnation, state in itertools.product((1, 2), MemberState)
        if rng.random() < 0.5 and state is not DEAD
    ]
    tables = []
    for _ in range(5):
        table = table_of()
        for entry in rng.choices(entries, k=40) + rng.sample(
            entries, len(entries)
        ):
            table.merge([entry], 1.0)
        tables.append(table)
    assert len({table.digest() for table in tables}) == 1
    assert len({table.bucket_digests() for table in tables}) == 1
    rows = {frozenset(table) for table in tables}
    assert len(rows) == 1


def test_a_higher_state_wins_until_a_higher_incarnation() -> None:
    # Guards against late messages that make a DEAD instance live again.
    table = table_of()
    for state in (ALIVE, DEAD, SUSPECT, LEAVING):
        table.merge([Member(PEER, 1, state)], 1.0)
    assert table.members_of("a")[1] == Member(PEER, 1, DEAD)
    assert table.merge([Member(PEER, 2, ALIVE)], 2.0)
    assert table.get(PEER.instance_id) == Member(PEER, 2, ALIVE)
    assert table.state_age_s(PEER.instance_id, 5.0) == 3.0


def test_reports_about_this_node_are_refuted() -> None:
    # Guards against a live node that its peers keep as DEAD.
    table = table_of()
    (own,) = table.merge([Member(SELF, 5, DEAD)], 1.0)
    assert own == Member(SELF, 6, ALIVE)
    table.set_own_state(LEAVING, 2.0)
    (own,) = table.merge([Member(SELF, 90, ALIVE)], 3.0)
    assert own == Member(SELF, 91, LEAVING)
    assert not table.merge([Member(SELF, 7, DEAD)], 4.0)


def test_suspects_become_dead_only_after_their_timeout() -> None:
    # Guards against counting a pause of this process towards the timeout.
    table = table_of()
    table.merge([Member(PEER, 1, SUSPECT)], 0.0)
    assert not table.tick(SUSPECT_TIMEOUT_S - 0.1)
    table.restart_timeouts(100.0)
    assert not table.tick(100.0)
    assert table.tick(100.0 + SUSPECT_TIMEOUT_S) == (Member(PEER, 1, DEAD),)


def test_the_lagging_list_does_not_override_reports() -> None:
    # Guards against an outdated list that overwrites what nodes reported.
    table = table_of()
    table.merge([Member(PEER, 1, LEAVING)], 0.0)
    changed = table.merge_instance_list([(PEER, False), (FLEET[2], True)], 1.0)
    assert changed == (Member(FLEET[2], 0, LEAVING),)
    assert table.get(PEER.instance_id) == Member(PEER, 1, LEAVING)
    assert table.merge([Member(FLEET[2], 3, ALIVE)], 2.0)


def test_only_dead_members_missing_from_the_list_are_removed() -> None:
    # Guards against unbounded growth of the table, and against removing the
    # members on the other side of a partition.
    table = table_of()
    table.merge([Member(instance, 1, ALIVE) for instance in FLEET[1:4]], 0.0)
    table.merge([Member(instance, 1, DEAD) for instance in FLEET[1:3]], 0.0)
    table.merge_instance_list([(SELF, False), (FLEET[2], False)], 0.0)
    digest = table.digest()
    table.tick(DEAD_RETENTION_S - 1)
    assert len(table) == 4
    table.tick(DEAD_RETENTION_S + 20)
    assert table.get(FLEET[1].instance_id) is None
    assert len(table) == 3
    # Nodes remove members at different times, which must not cause a sync.
    assert table.digest() == digest
    assert not table.merge([Member(FLEET[1], 1, DEAD)], DEAD_RETENTION_S + 30)


def test_a_sync_returns_the_rows_that_differ() -> None:
    # Guards against a sync that misses a change or sends the whole table.
    left, right = table_of(), table_of()
    rows = [Member(instance, 1, ALIVE) for instance in fleet_of(500)[1:]]
    left.merge(rows, 0.0)
    right.merge(rows, 0.0)
    assert not left.rows_differing(right.bucket_digests())
    left.merge([Member(PEER, 1, SUSPECT)], 1.0)
    answer = left.rows_differing(right.bucket_digests())
    assert Member(PEER, 1, SUSPECT) in answer
    assert len(answer) < 50
    right.merge(answer, 2.0)
    assert left.digest() == right.digest()
