"""Nodes know whether they are connected to one that reads the store."""

from magnoliafork.mesh.reader_heartbeats import (
    FORGET_S,
    MAX_READERS,
    Heartbeat,
    ReaderHeartbeats,
)
from magnoliafork.tests.mesh.test_view_sync import through_codec
from magnoliafork.wire.messages import ViewAnnounce


class Fleet:
    """Nodes with a common clock that a test advances."""

    def __init__(self, count: int) -> None:
        self.now_s = 50.0
        self.nodes = [
            ReaderHeartbeats(n + 1, lambda: self.now_s) for n in range(count)
        ]

    def pass_on(self, source: int, target: int) -> None:
        newest = self.nodes[source].newest()
        message = through_codec(
            ViewAnnounce(
                1,
                0,
                0,
                heartbeat_id=newest.process_id,
                heartbeat_number=newest.number,
            )
        )
        assert isinstance(message, ViewAnnounce)
        self.nodes[target].hear(message.heartbeat_id, message.heartbeat_number)


def test_heartbeats_reach_a_node_over_others() -> None:
    """A node linked to no reader would take itself for cut off."""
    fleet = Fleet(3)
    for _ in range(10):
        fleet.nodes[0].beat()
        fleet.pass_on(0, 1)
        fleet.pass_on(1, 2)
        fleet.now_s += 1.0
    assert fleet.nodes[2].silent_s == 1.0


def test_nodes_that_are_cut_off_together_hear_nothing_from_each_other() -> None:
    """Peers that were cut off as well counted as a source of changes."""
    fleet = Fleet(3)
    fleet.nodes[0].beat()
    fleet.pass_on(0, 1)
    for _ in range(20):
        fleet.pass_on(1, 2)
        fleet.pass_on(2, 1)
        fleet.now_s += 0.5
    assert fleet.nodes[1].silent_s == 10.0
    assert fleet.nodes[2].silent_s == 10.0
    assert fleet.nodes[1].newest() == Heartbeat()


def test_own_heartbeat_that_comes_back_is_no_news() -> None:
    """A reader of a fleet of one would never notice that it stopped reading."""
    fleet = Fleet(2)
    fleet.nodes[0].beat()
    fleet.pass_on(0, 1)
    fleet.now_s += 1.0
    fleet.pass_on(1, 0)
    assert fleet.nodes[0].silent_s == 1.0


def test_restarted_reader_is_heard_at_once() -> None:
    """Its numbers begin again, below those of the process before it."""
    fleet = Fleet(2)
    for _ in range(100):
        fleet.nodes[0].beat()
    fleet.pass_on(0, 1)
    fleet.now_s += 5.0
    fleet.nodes[0] = ReaderHeartbeats(77, lambda: fleet.now_s)
    fleet.nodes[0].beat()
    fleet.pass_on(0, 1)
    assert fleet.nodes[1].silent_s == 0.0


def test_late_copy_of_a_heartbeat_is_no_news() -> None:
    """A slower path would hide that the reader is lost."""
    fleet = Fleet(1)
    fleet.nodes[0].hear(9, 12)
    fleet.now_s += 3.0
    fleet.nodes[0].hear(9, 11)
    assert fleet.nodes[0].silent_s == 3.0


def test_earlier_release_counts_as_before() -> None:
    """Beside peers that tell nothing, nodes would seem cut off for ever."""
    fleet = Fleet(1)
    fleet.now_s += 3.0
    fleet.nodes[0].hear_unnumbered()
    assert fleet.nodes[0].silent_s == 0.0


def test_loss_of_one_of_two_readers_is_no_silence() -> None:
    """Only one heartbeat is passed on, which could be that of the lost one."""
    fleet = Fleet(4)
    for step in range(20):
        if step < 10:
            fleet.nodes[0].beat()
            fleet.pass_on(0, 2)
        fleet.nodes[1].beat()
        fleet.pass_on(1, 2)
        fleet.pass_on(2, 3)
        fleet.now_s += 0.5
        assert fleet.nodes[3].silent_s == 0.5


def test_memory_does_not_grow_with_the_readers() -> None:
    """Each process that ever read the store would be remembered."""
    fleet = Fleet(1)
    for process_id in range(2, 10 * MAX_READERS):
        fleet.now_s += FORGET_S / MAX_READERS
        fleet.nodes[0].hear(process_id, 1)
    assert len(fleet.nodes[0]._heard) <= MAX_READERS + 1
