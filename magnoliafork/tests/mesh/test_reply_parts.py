"""Replies that do not fit into one frame."""

import dataclasses
import random

import pytest

from magnoliafork.mesh import reply_parts
from magnoliafork.mesh.reply_parts import PartialReply, split_reply
from magnoliafork.wire import codec, messages

ENTRIES = 3000


def large_reply(revision: int = 9, seed: int = 1) -> messages.ViewReply:
    """A whole state of 3 MB that cannot be deflated further."""
    rng = random.Random(seed)
    return messages.ViewReply(
        0,
        revision,
        tuple(f"servers/i-{number:06}" for number in range(ENTRIES)),
        tuple(range(1, ENTRIES + 1)),
        tuple(rng.randbytes(1000) for _ in range(ENTRIES)),
        era=2,
    )


def test_large_reply_does_not_fit_into_one_frame() -> None:
    """Shows that the reply of these tests needs parts."""
    with pytest.raises(ValueError, match="too large"):
        codec.encode(large_reply())


def test_every_part_fits_into_a_frame() -> None:
    """A node could not answer a peer that needed the whole state."""
    parts = split_reply(large_reply())
    assert len(parts) > 1
    for part in parts:
        assert len(codec.encode(part)) <= codec.MAX_FRAME_BYTES


def test_largest_values_fit_into_frames() -> None:
    """The largest value of the store is a megabyte."""
    value = random.Random(2).randbytes(1024 * 1024)
    reply = messages.ViewReply(0, 3, ("a", "b", "c"), (1, 2, 3), (value,) * 3)
    parts = split_reply(reply)
    assert [len(part.keys) for part in parts] == [1, 1, 1]
    for part in parts:
        codec.encode(part)


def test_parts_give_the_reply() -> None:
    """A state without some of its items would remove upstreams."""
    reply = dataclasses.replace(
        large_reply(), patched_revisions=tuple(range(ENTRIES))
    )
    collector = PartialReply()
    results = [collector.add(part) for part in split_reply(reply)]
    assert results[:-1] == [None] * (len(results) - 1)
    assert results[-1] == reply


def test_small_reply_is_sent_whole() -> None:
    """Nodes of an earlier release know no parts."""
    reply = messages.ViewReply(0, 3, ("a",), (1,), (b"x",))
    assert split_reply(reply) == (reply,)
    assert split_reply(messages.ViewReply(2, 3, (), (), ())) == (
        messages.ViewReply(2, 3, (), (), ()),
    )
    assert PartialReply().add(reply) is reply


def test_parts_of_two_replies_are_not_joined() -> None:
    """The state would mix two revisions."""
    first = split_reply(large_reply(revision=9))
    second = split_reply(large_reply(revision=10, seed=2))
    collector = PartialReply()
    collector.add(first[0])
    for part in second[1:]:
        assert collector.add(part) is None
    collector.add(first[0])
    results = [collector.add(part) for part in second]
    assert results[-1] == large_reply(revision=10, seed=2)


@pytest.mark.parametrize("order", [[1, 2], [0, 2], [0, 0, 2], [2, 1, 0]])
def test_missing_and_repeated_parts_give_no_reply(order: list[int]) -> None:
    """A lost part would leave out items."""
    parts = split_reply(large_reply(), 1_100_000)
    assert len(parts) == 3
    collector = PartialReply()
    assert [collector.add(parts[at]) for at in order] == [None] * len(order)


def test_reply_of_too_many_parts_is_not_kept() -> None:
    """A faulty peer could fill the memory."""
    part = split_reply(large_reply())[0]
    too_many = dataclasses.replace(part, parts=reply_parts.MAX_PARTS + 1)
    collector = PartialReply()
    assert collector.add(too_many) is None
    assert collector._parts == []
