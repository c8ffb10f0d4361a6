"""Changes sent as patches give the same view as whole values."""

import dataclasses
import random
import tracemalloc

from hypothesis import given
from hypothesis import strategies as st

from magnoliafork.mesh.model import StoredItem
from magnoliafork.mesh.value_patch import apply_patch, make_patch
from magnoliafork.mesh.view import (
    MAX_HISTORY_VALUES,
    MeshView,
    ViewDelta,
)
from magnoliafork.mesh.view_codec import ViewEncoder, decode_reply
from magnoliafork.tests.mesh.builders import FakeItemCodec, config
from magnoliafork.wire import messages

ROWS = st.lists(st.sampled_from([b"[1],", b"[2],", b"[3],", b"x", b"],"]))


@given(ROWS, ROWS)
def test_patch_turns_one_value_into_the_other(
    before: list[bytes], after: list[bytes]
) -> None:
    """Patches that do not fit would make nodes fetch whole values again."""
    old, new = b"".join(before), b"".join(after)
    assert apply_patch(old, make_patch(old, new)) == new


@given(st.binary(max_size=64))
def test_bytes_that_are_no_patch_are_not_applied(patch: bytes) -> None:
    """A damaged patch must not become a configuration."""
    assert apply_patch(b"[1],[2]", patch) in (None, b"")


def value(version: int, rows: int = 2000) -> bytes:
    rng = random.Random(1)
    names = [f"[{rng.getrandbits(64):x}]," for _ in range(rows)]
    names[version % rows] = f"[v{version}],"
    return "".join(names).encode()


def follower_of(view: MeshView) -> MeshView:
    follower = MeshView(lambda _: None)
    follower.apply(view.delta_after(0))
    return follower


def view_with_versions(count: int) -> MeshView:
    view = MeshView(lambda _: None)
    view.apply(ViewDelta(0, 1, (StoredItem("config", 1, value(1)),)))
    for version in range(2, count + 1):
        put(view, version)
    return view


def put(view: MeshView, version: int) -> None:
    item = StoredItem("config", version, value(version))
    view.apply(ViewDelta(version - 1, version, (item,)))


def request(after: int, accepts_patches: bool = True) -> messages.ViewRequest:
    return messages.ViewRequest(after, accepts_patches)


def test_follower_takes_a_small_patch_of_a_large_value() -> None:
    """Each version was sent whole, and new routes got 404 for up to 5 s."""
    view = view_with_versions(1)
    follower = follower_of(view)
    put(view, 2)
    reply = ViewEncoder(view).reply(request(1))
    assert len(reply.values[0]) < 300
    delta = decode_reply(reply, follower)
    assert isinstance(delta, ViewDelta)
    assert delta.items[0].value == value(2)


def test_peer_that_does_not_accept_patches_gets_whole_values() -> None:
    """Nodes of the release before ignore the field that marks a patch."""
    view = view_with_versions(2)
    reply = ViewEncoder(view).reply(request(1, accepts_patches=False))
    assert reply.patched_revisions == ()
    delta = decode_reply(reply, MeshView(lambda _: None))
    assert isinstance(delta, ViewDelta)
    assert delta.items[0].value == value(2)


def test_patch_of_a_value_that_is_not_kept_is_refused() -> None:
    """The patch must not be applied to another version."""
    view = view_with_versions(2)
    reply = ViewEncoder(view).reply(request(1))
    assert reply.patched_revisions == (1,)
    other = MeshView(lambda _: None)
    assert isinstance(decode_reply(reply, other), str)


def test_follower_far_behind_gets_the_whole_value() -> None:
    """A node that was cut off for long would get a patch it cannot apply."""
    view = view_with_versions(MAX_HISTORY_VALUES + 3)
    reply = ViewEncoder(view).reply(request(1))
    assert reply.patched_revisions == ()


def test_many_large_configurations_are_not_kept() -> None:
    """4,096 versions of 200 KB exceeded the memory of a machine."""
    tracemalloc.start()
    view = view_with_versions(MAX_HISTORY_VALUES)
    before_bytes, _ = tracemalloc.get_traced_memory()
    for version in range(MAX_HISTORY_VALUES + 1, 200):
        put(view, version)
    after_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert after_bytes - before_bytes < len(value(1))
    assert view.delta_after(1).items[0].value == value(199)


def test_patch_of_another_era_is_refused() -> None:
    """A restored store gives out the revision of another value again."""
    view = view_with_versions(2)
    reply = dataclasses.replace(ViewEncoder(view).reply(request(1)), era=1)
    assert reply.patched_revisions == (1,)
    assert isinstance(decode_reply(reply, follower_of(view)), str)


def test_peer_of_another_era_gets_the_whole_state() -> None:
    """Its revision is one of another history."""
    view = view_with_versions(3)
    whole = (StoredItem("config", 2, value(5)),)
    view.apply(ViewDelta(0, 2, whole, era=1))
    put_item = StoredItem("config", 3, value(6))
    view.apply(ViewDelta(2, 3, (put_item,), era=1))
    encoder = ViewEncoder(view)
    reply = encoder.reply(messages.ViewRequest(2, True, era=0))
    assert reply.base_revision == 0
    assert reply.patched_revisions == ()
    assert reply.era == 1
    same_era = encoder.reply(messages.ViewRequest(2, True, era=1))
    assert same_era.base_revision == 2


def test_encoded_value_of_an_earlier_era_is_not_sent() -> None:
    """The cache of encoded values is by revision."""
    view = view_with_versions(3)
    encoder = ViewEncoder(view)
    encoder.reply(request(0))
    view.apply(ViewDelta(0, 3, (StoredItem("config", 3, value(7)),), era=1))
    delta = decode_reply(encoder.reply(request(0)), MeshView(lambda _: None))
    assert isinstance(delta, ViewDelta)
    assert delta.items[0].value == value(7)


def test_value_that_was_replaced_at_its_revision_is_not_sent() -> None:
    """Peers were sent the configuration of the copy again and again."""
    codec = FakeItemCodec()
    view = MeshView(codec.decode)
    view.apply(ViewDelta(0, 3, (codec.item("config", 3, config(5)),), era=2))
    encoder = ViewEncoder(view)
    whole = messages.ViewRequest(0, True, era=2)
    encoder.reply(whole)
    view.adopt_config((codec.item("config", 4, config(13)),))
    follower = MeshView(codec.decode)
    delta = decode_reply(encoder.reply(whole), follower)
    assert isinstance(delta, ViewDelta)
    follower.apply(delta)
    assert follower.config_version == 13
