"""Views after the store was restored from an older copy."""

import dataclasses

import pytest

from magnoliafork.mesh.model import (
    DecodedItem,
    StorePosition,
    UpstreamEntry,
    ZoneOut,
)
from magnoliafork.mesh.upstream_table import (
    OUTAGE_EFFECT_WINDOW_S,
    REWRITE_WINDOW_S,
    UpstreamTable,
)
from magnoliafork.mesh.view import MeshView, ViewDelta
from magnoliafork.tests.mesh.builders import (
    PublishedState,
    config,
    entry,
    removed,
)
from magnoliafork.tests.mesh.test_upstream_table import Clock, ids

DRAIN_TIMEOUT_S = 2.0


class Restorable:
    """A view and a table of a store that a test restores.

    The view has reached revision 20 of era 1; `copy` holds the items that the
    store has again at revision 10 of era 2.
    """

    def __init__(self, **known: DecodedItem) -> None:
        self.published, self.clock = PublishedState(), Clock()
        self.view = self.published.view
        self.table = UpstreamTable(self.view, self.clock, DRAIN_TIMEOUT_S)
        self.view.apply(self.whole(1, 20, known))

    def whole(
        self, era: int, revision: int, state: dict[str, DecodedItem]
    ) -> ViewDelta:
        codec = self.published.item_codec
        items = []
        for key, value in state.items():
            item = codec.item(f"{key}/{era}", revision, value)
            items.append(dataclasses.replace(item, key=key))
        return ViewDelta(0, revision, tuple(items), era)

    def restore(self, **copy: DecodedItem) -> None:
        assert self.view.apply(self.whole(2, 10, copy))
        assert self.view.position == StorePosition(2, 10)

    def write(self, revision: int, **changed: DecodedItem) -> None:
        delta = self.whole(2, revision, changed)
        delta = dataclasses.replace(delta, base_revision=revision - 1)
        assert self.view.apply(delta)

    def remove(self, key: str, revision: int = 21) -> None:
        item = removed(key, revision)
        assert self.view.apply(ViewDelta(revision - 1, revision, (item,), 1))

    def ids(self) -> list[str]:
        return ids(self.table)


def test_lower_revision_of_a_newer_era_is_applied() -> None:
    """The store gives revisions out again after it was restored."""
    setup = Restorable(config=config(3))
    setup.restore(config=config(3), a=entry("a"))
    setup.write(11, config=config(5))
    assert setup.view.config_version == 5
    assert setup.ids() == ["a"]


def test_state_of_an_earlier_era_is_ignored() -> None:
    """An answer or a peer may be late by a restore."""
    setup = Restorable(config=config(3))
    late = setup.whole(1, 90, {"config": config(9)})
    setup.restore(config=config(3))
    assert setup.view.apply(late)
    assert setup.view.config_version == 3


def test_changes_of_another_era_are_not_applied_without_the_whole_state() -> (
    None
):
    """The changes before them belong to another history."""
    setup = Restorable(config=config(3))
    delta = setup.whole(2, 30, {"config": config(4)})
    assert not setup.view.apply(dataclasses.replace(delta, base_revision=20))
    assert setup.view.config_version == 3


def test_configuration_never_goes_back_to_that_of_the_copy() -> None:
    """A confirmed configuration came back older, one version after another."""
    setup = Restorable(config=config(13))
    setup.restore(config=config(5))
    assert setup.view.config_version == 13
    setup.write(11, config=config(9))
    assert setup.view.config_version == 13
    whole = setup.view.delta_after(0)
    decoded = [setup.published.item_codec.decode(i) for i in whole.items]
    assert decoded == [config(13)]
    setup.write(12, config=config(16))
    assert setup.view.config_version == 16


def test_node_without_the_newest_configuration_takes_it_from_a_peer() -> None:
    """A node that started after the restore knew only the copy."""
    setup = Restorable(config=config(13))
    setup.restore(config=config(5))
    view = MeshView(setup.published.item_codec.decode)
    view.apply(setup.whole(2, 10, {"config": config(5)}))
    view.adopt_config(setup.view.delta_after(0).items)
    assert view.config_version == 13
    assert view.position == StorePosition(2, 10)


def test_node_without_any_configuration_takes_it_from_a_peer() -> None:
    """The copy may be older than the first configuration."""
    setup = Restorable(config=config(13))
    view = MeshView(setup.published.item_codec.decode)
    view.apply(setup.whole(2, 10, {"a": entry("a")}))
    view.adopt_config(setup.view.delta_after(0).items)
    assert view.config_version == 13


def test_upstream_that_the_copy_lacks_stays_in_use_until_written_again() -> (
    None
):
    """A service lost its newest upstreams for two seconds."""
    setup = Restorable(config=config(), a=entry("a"))
    setup.restore(config=config())
    assert setup.ids() == ["a"]
    setup.write(11, a=entry("a", sequence=1))
    setup.clock.now_s += REWRITE_WINDOW_S
    assert setup.ids() == ["a"]


def test_upstream_that_is_not_written_again_is_dropped() -> None:
    """Requests went to an upstream that was lost with the store."""
    setup = Restorable(config=config(), a=entry("a"))
    setup.restore(config=config())
    setup.clock.now_s += REWRITE_WINDOW_S
    assert setup.ids() == []
    assert setup.view.upstreams == {}


def test_carried_upstream_is_not_sent_to_peers() -> None:
    """A node that starts would never learn that it is gone."""
    setup = Restorable(config=config(), a=entry("a"))
    setup.restore(config=config())
    assert [i.key for i in setup.view.delta_after(0).items] == ["config"]


@pytest.mark.parametrize("sequence", [3, 4])
def test_draining_upstream_gets_no_requests_because_of_the_copy(
    sequence: int,
) -> None:
    """The copy shows upstreams as ready that have begun to drain since."""
    known = entry("a", is_ready=False, sequence=5)
    setup = Restorable(config=config(), a=known)
    setup.restore(config=config(), a=entry("a", sequence=sequence))
    assert setup.ids() == []
    setup.write(11, a=entry("a", sequence=6))
    assert setup.ids() == ["a"]


@pytest.mark.parametrize(
    ("copy", "is_used"),
    [
        (entry("a", sequence=5), False),
        (entry("a", sequence=6), True),
        (entry("a", sequence=0, started_unix_ms=9), True),
    ],
)
def test_removed_upstream_gets_no_requests_because_of_the_copy(
    copy: UpstreamEntry, is_used: bool
) -> None:
    """The copy contains upstreams that have left since."""
    setup = Restorable(config=config(), a=entry("a", sequence=5))
    setup.remove("a")
    setup.restore(config=config(), a=copy)
    assert setup.ids() == (["a"] if is_used else [])
    # A whole read of the same state changes nothing.
    assert setup.view.apply(setup.whole(2, 11, {"config": config()}))
    setup.write(12, a=entry("a", sequence=7))
    assert setup.ids() == ["a"]


def test_removed_upstream_is_not_used_because_a_peer_has_the_copy() -> None:
    """A peer that started after the restore passed the copy on."""
    setup = Restorable(config=config(), a=entry("a", sequence=5))
    setup.remove("a")
    setup.restore(config=config())
    later = setup.whole(2, 12, {"config": config(), "b": entry("b")})
    of_copy = setup.published.item_codec.item("a", 8, entry("a", sequence=5))
    items = (*later.items, of_copy)
    assert setup.view.apply(dataclasses.replace(later, items=items))
    assert setup.ids() == ["b"]


def test_peer_that_missed_the_last_entry_knows_that_it_was_removed() -> None:
    """It took the entry of a copy for a newer one than the removed."""
    setup = Restorable(config=config(), a=entry("a", sequence=1))
    peer = Restorable(config=config(), a=entry("a", sequence=1))
    peer.published.item_codec = setup.published.item_codec
    peer.view._decode = setup.published.item_codec.decode
    written = setup.whole(1, 21, {"a": entry("a", sequence=5)})
    assert setup.view.apply(dataclasses.replace(written, base_revision=20))
    setup.remove("a", 22)
    assert peer.view.apply(setup.view.delta_after(20))
    assert peer.ids() == []
    peer.restore(config=config(), a=entry("a", sequence=5))
    assert peer.ids() == []


def test_earlier_incarnation_in_the_copy_does_not_replace_the_known_one() -> (
    None
):
    """The upstream has started again under its id since."""
    known = entry("a", started_unix_ms=9, sequence=1)
    setup = Restorable(config=config(), a=known)
    setup.restore(config=config(), a=entry("a", port=1, sequence=50))
    assert setup.view.upstreams["a"] == known


def test_zone_out_of_service_is_not_used_because_of_the_copy() -> None:
    """Requests reached a zone before its evacuation was written again."""
    zone_out = ZoneOut("rawdon")
    setup = Restorable(config=config(), out=zone_out, a=entry("a"))
    setup.restore(config=config(), a=entry("a"))
    assert setup.view.zones_out == {"rawdon"}
    setup.clock.now_s += REWRITE_WINDOW_S
    setup.table.tick(setup.clock.now_s)
    assert setup.view.zones_out == frozenset()


def test_whole_read_after_a_restore_keeps_what_is_carried() -> None:
    """History may be dropped just after the restore."""
    setup = Restorable(config=config(), a=entry("a"))
    setup.restore(config=config())
    assert setup.view.apply(setup.whole(2, 12, {"config": config()}))
    assert setup.ids() == ["a"]


def test_entry_that_expires_after_a_restore_stays_in_use() -> None:
    """Leases of a copy run out before all upstreams have written again."""
    setup = Restorable(config=config(), a=entry("a"))
    setup.restore(config=config(), a=entry("a"))
    setup.clock.now_s += OUTAGE_EFFECT_WINDOW_S / 2
    assert setup.view.apply(ViewDelta(10, 11, (removed("a", 11),), 2))
    assert setup.ids() == ["a"]
    setup.clock.now_s += REWRITE_WINDOW_S
    assert setup.ids() == []


def test_late_report_of_a_restore_does_not_postpone_it() -> None:
    """Upstreams that are gone stayed in use as long as reports went round."""
    setup = Restorable(config=config(), a=entry("a"))
    setup.restore(config=config())
    setup.clock.now_s += REWRITE_WINDOW_S - 0.1
    setup.table.record_restore(2, 0.0)
    assert setup.ids() == ["a"]
    setup.clock.now_s += 0.1
    assert setup.ids() == []


def test_node_that_was_cut_off_learns_when_the_store_was_restored() -> None:
    """It kept upstreams that the others had dropped long before."""
    setup = Restorable(config=config(), a=entry("a"))
    setup.table.record_restore(2, 30.0)
    setup.restore(config=config())
    assert setup.ids() == []


def test_node_that_starts_reports_no_restore() -> None:
    """Its neighbours would take old removals for losses of a restore."""
    setup = Restorable(config=config())
    assert setup.table.restored_ago_s() is None
    setup.table.record_restore(1, 1.0)
    assert setup.table.restored_ago_s() == 1.0
