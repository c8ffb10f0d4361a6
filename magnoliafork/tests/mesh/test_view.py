"""A view never returns to an older revision and lacks no change."""

import random

import pytest

from magnoliafork.mesh.view import MeshView, ViewDelta
from magnoliafork.tests.mesh.builders import (
    FakeItemCodec,
    PublishedState,
    config,
    entry,
    removed,
    service,
)


def test_older_delta_changes_nothing() -> None:
    """A peer that is behind must not bring back an older configuration."""
    published = PublishedState()
    old = published.put("config", config(1))
    published.put("config", config(2))
    assert published.view.apply(ViewDelta(0, old.revision, old.items))
    assert published.view.config is not None
    assert published.view.config.version == 2


def test_delta_that_starts_after_the_view_is_refused() -> None:
    """Applying it would lose the changes between the two revisions."""
    published = PublishedState()
    published.put("config", config(1))
    item_codec = published.item_codec
    gap = ViewDelta(7, 9, (item_codec.item("config", 9, config(3)),))
    assert not published.view.apply(gap)
    assert published.view.revision == 1


def test_whole_state_removes_items_that_it_does_not_contain() -> None:
    """Upstreams removed while a node lagged would still get its requests."""
    published = PublishedState()
    published.announce(entry("a"))
    published.announce(entry("b"))
    item = published.item_codec.item("servers/b", 2, entry("b"))
    published.view.apply(ViewDelta(0, 9, (item,)))
    assert sorted(published.view.upstreams) == ["b"]


def test_config_of_a_lower_version_is_not_taken() -> None:
    """The higher version stays in force if the item is set back."""
    published = PublishedState()
    published.configure(config(5))
    published.configure(config(4))
    assert published.view.config is not None
    assert published.view.config.version == 5


def test_delta_after_brings_a_peer_up_to_date() -> None:
    """Every peer that applies the deltas ends with the same state."""
    rng = random.Random(7)
    published = PublishedState()
    peer = MeshView(published.item_codec.decode)
    for step in range(400):
        upstream = entry(rng.choice("abcdef"), slots=step + 1)
        if rng.random() < 0.3:
            published.withdraw(upstream)
        else:
            published.announce(upstream)
        if rng.random() < 0.2:
            delta = published.view.delta_after(peer.revision)
            assert peer.apply(delta)
            assert peer.upstreams == published.view.upstreams


def test_delta_after_unknown_revision_is_the_whole_state() -> None:
    """After a read of the whole state, the log has no older changes."""
    item_codec = FakeItemCodec()
    view = MeshView(item_codec.decode)
    items = (item_codec.item("servers/a", 40, entry("a")),)
    view.apply(ViewDelta(0, 50, items))
    assert view.delta_after(45).base_revision == 0
    assert view.delta_after(50).items == ()


def test_newer_item_of_a_later_page_is_not_overwritten_by_the_log() -> None:
    """Older log entries would set back items read after the first page."""
    item_codec = FakeItemCodec()
    view = MeshView(item_codec.decode)
    newer = item_codec.item("servers/a", 55, entry("a", slots=9))
    view.apply(ViewDelta(0, 50, (newer,)))
    older = item_codec.item("servers/a", 52, entry("a", slots=1))
    view.apply(ViewDelta(50, 60, (older, removed("servers/x", 53))))
    assert view.upstreams["a"].slots == 9


def test_address_belongs_to_the_upstream_started_last() -> None:
    """A reused address belongs to the upstream that started last."""
    published = PublishedState()
    published.announce(entry("a", host="10.0.0.1", started_unix_ms=5))
    published.announce(entry("b", host="10.0.0.1", started_unix_ms=9))
    found = published.view.upstream_at("10.0.0.1", 8000)
    assert found is not None
    assert found.upstream_id == "b"


def test_whole_read_keeps_the_log_of_changes() -> None:
    """After a whole read of a node, its followers fetched the whole state."""
    published = PublishedState()
    for name in "abcdef":
        published.announce(entry(name))
    reader = MeshView(published.item_codec.decode)
    reader.apply(published.view.delta_after(0))
    revision = reader.revision
    published.announce(entry("b", slots=9))
    published.withdraw(entry("c"))
    published.configure(config(2))
    reader.apply(published.view.delta_after(0))
    delta = reader.delta_after(revision)
    assert delta.base_revision == revision
    changed = {item.key: bool(item.value) for item in delta.items}
    assert changed == {"servers/b": True, "servers/c": False, "config": True}


def _whole(published: PublishedState) -> ViewDelta:
    delta = published.view.delta_after(0)
    return ViewDelta(0, delta.revision, delta.items)


def test_peers_of_a_reader_that_reads_the_whole_state_lack_nothing() -> None:
    """An entry that came and went between two whole reads would stay."""
    for seed in range(30):
        rng = random.Random(seed)
        published = PublishedState()
        decode = published.item_codec.decode
        reader, peer = MeshView(decode), MeshView(decode)
        for step in range(300):
            upstream = entry(rng.choice("abcdefgh"), slots=step + 1)
            if rng.random() < 0.4:
                published.withdraw(upstream)
            else:
                published.announce(upstream)
            if rng.random() < 0.1:
                reader.apply(published.view.delta_after(reader.revision))
            if rng.random() < 0.2:
                reader.apply(_whole(published))
            if rng.random() < 0.2:
                # The peer gets changes from another node as well.
                peer.apply(published.view.delta_after(peer.revision))
            if rng.random() < 0.3:
                assert peer.apply(reader.delta_after(peer.revision))
            if peer.revision == published.revision:
                assert peer.upstreams == published.view.upstreams


ORDERS = service("orders")


@pytest.mark.parametrize("order", ["before", "with", "after"])
def test_entry_of_a_service_that_is_not_configured_hides_no_upstream(
    order: str,
) -> None:
    """Entries of another writer with a later start hid running upstreams."""
    published, own = PublishedState(), entry("a", started_unix_ms=5)
    other = entry("z", host=own.host, service="inventory", started_unix_ms=9000)
    version = config(1)
    if order == "before":
        published.announce(other)
        published.announce(own)
        published.configure(version)
    elif order == "with":
        codec = published.item_codec
        items = (
            codec.item("servers/z", 1, other),
            codec.item("servers/a", 2, own),
            codec.item("config", 3, version),
        )
        published.view.apply(ViewDelta(0, 3, items))
    else:
        published.configure(version)
        published.announce(own)
        published.announce(other)
    assert published.view.upstream_at(own.host, own.port) is own
    assert list(published.view.unconfigured_upstreams) == ["z"]


@pytest.mark.parametrize("is_announced_first", [False, True])
def test_entry_counts_as_soon_as_its_service_is_configured(
    is_announced_first: bool,
) -> None:
    """An upstream that came before its version would never get a request."""
    published, old = PublishedState(), entry("a")
    new = entry("b", host=old.host, service="orders", started_unix_ms=2)
    published.configure(config(1))
    published.announce(old)
    wanted = config(2, services=(service(), ORDERS))
    if is_announced_first:
        published.announce(new)
        assert published.view.upstream_at(old.host, old.port) is old
        published.configure(wanted)
    else:
        published.configure(wanted)
        published.announce(new)
    assert published.view.upstream_at(old.host, old.port) is new


def test_entry_no_longer_counts_once_its_service_is_removed() -> None:
    """An entry that is left behind hid the upstream at its address."""
    published, own = PublishedState(), entry("a")
    other = entry("b", host=own.host, service="orders", started_unix_ms=2)
    published.configure(config(1, services=(service(), ORDERS)))
    published.announce(own)
    published.announce(other)
    published.configure(config(2))
    assert published.view.upstream_at(own.host, own.port) is own
