"""A node reads the state as a whole where changes would be larger."""

from magnoliafork.mesh.model import StoredItem
from magnoliafork.mesh.store_read_plan import StoreReadPlan
from magnoliafork.mesh.view import ViewDelta

CONFIG_BYTES = 1000
ENTRIES = 10
ENTRY_BYTES = 40
STATE_BYTES = CONFIG_BYTES + ENTRIES * ENTRY_BYTES


def _config(revision: int) -> StoredItem:
    return StoredItem("config", revision, b"c" * CONFIG_BYTES)


def _state(revision: int, config_revision: int) -> ViewDelta:
    entries = [
        StoredItem(f"servers/{number}", 1, b"e" * ENTRY_BYTES)
        for number in range(ENTRIES)
    ]
    return ViewDelta(0, revision, (_config(config_revision), *entries))


def _wants(plan: StoreReadPlan, missing: int = 0) -> bool:
    return plan.wants_whole_state(STATE_BYTES, missing, CONFIG_BYTES)


def test_single_change_is_watched() -> None:
    plan = StoreReadPlan()
    assert not _wants(plan)
    plan.record_changes(ViewDelta(5, 6, (_config(6),)))
    assert not _wants(plan)
    assert not _wants(plan, missing=1)


def test_versions_that_are_replaced_are_skipped() -> None:
    """Each answer to a watch had more of them than the one before."""
    plan = StoreReadPlan()
    plan.record_changes(ViewDelta(5, 7, (_config(6), _config(7))))
    assert _wants(plan)
    # Two more versions since; the store answers with the second one only.
    plan.record_whole_state(_state(9, 9), after_revision=7)
    assert _wants(plan)


def test_changes_are_watched_again_after_a_storm() -> None:
    plan = StoreReadPlan()
    plan.record_changes(ViewDelta(5, 7, (_config(6), _config(7))))
    plan.record_whole_state(_state(8, 8), after_revision=7)
    assert not _wants(plan)


def test_versions_that_peers_have_announced_count() -> None:
    """A node that seldom reads would learn from a large answer only."""
    assert _wants(StoreReadPlan(), missing=2)


def test_first_read_of_a_node_says_nothing_about_changes() -> None:
    plan = StoreReadPlan()
    plan.record_whole_state(_state(900, 900), after_revision=0)
    assert not _wants(plan)
