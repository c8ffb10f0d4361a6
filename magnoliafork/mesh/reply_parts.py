"""Sends a large reply in parts, each of which fits into a frame."""

import dataclasses

from magnoliafork.wire import messages

# Keys and values of one part. A frame has room for twice as much, which the
# largest value and the framing of many small ones need.
MAX_PART_BYTES = 1024 * 1024
# Bytes that an item takes beside its key and its value.
ITEM_OVERHEAD_BYTES = 40
# Most parts of a reply; more would not fit into the memory of small machines.
MAX_PARTS = 16


def split_reply(
    reply: messages.ViewReply, max_part_bytes: int = MAX_PART_BYTES
) -> tuple[messages.ViewReply, ...]:
    """Returns the parts of a reply; the reply itself if it is small."""
    ends = _part_ends(reply, max_part_bytes)
    if len(ends) == 1:
        return (reply,)
    parts = []
    start = 0
    for index, end in enumerate(ends):
        parts.append(
            dataclasses.replace(
                reply,
                keys=reply.keys[start:end],
                revisions=reply.revisions[start:end],
                values=reply.values[start:end],
                patched_revisions=reply.patched_revisions[start:end],
                part=index + 1,
                parts=len(ends),
            )
        )
        start = end
    return tuple(parts)


def _part_ends(reply: messages.ViewReply, max_part_bytes: int) -> list[int]:
    """Returns the index after the last item of each part."""
    ends: list[int] = []
    size_bytes = 0
    for index, (key, value) in enumerate(
        zip(reply.keys, reply.values, strict=True)
    ):
        item_bytes = len(key) + len(value) + ITEM_OVERHEAD_BYTES
        if size_bytes and size_bytes + item_bytes > max_part_bytes:
            ends.append(index)
            size_bytes = 0
        size_bytes += item_bytes
    return [*ends, len(reply.keys)]


class PartialReply:
    """Collects the parts of one reply, which arrive in order."""

    def __init__(self) -> None:
        """Starts without parts."""
        self._parts: list[messages.ViewReply] = []

    def add(self, part: messages.ViewReply) -> messages.ViewReply | None:
        """Adds a part; returns the whole reply once it is complete.

        A part that does not continue the parts before it drops them.
        """
        if part.parts <= 1:
            self._parts.clear()
            return part
        is_next = part.part == len(self._parts) + 1 and all(
            _of_one_reply(part, before) for before in self._parts[:1]
        )
        if not is_next:
            self._parts.clear()
        if part.part != len(self._parts) + 1 or part.parts > MAX_PARTS:
            return None
        self._parts.append(part)
        if part.part < part.parts:
            return None
        parts, self._parts = self._parts, []
        return dataclasses.replace(
            part,
            keys=sum((p.keys for p in parts), ()),
            revisions=sum((p.revisions for p in parts), ()),
            values=sum((p.values for p in parts), ()),
            patched_revisions=sum((p.patched_revisions for p in parts), ()),
            part=0,
            parts=0,
        )


def _of_one_reply(one: messages.ViewReply, other: messages.ViewReply) -> bool:
    return (one.base_revision, one.revision, one.era, one.parts) == (
        other.base_revision,
        other.revision,
        other.era,
        other.parts,
    )
