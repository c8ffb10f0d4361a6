"""Encodes the changes of the view in messages between nodes."""

import collections
import zlib

from magnoliafork.mesh.model import StoredItem
from magnoliafork.mesh.value_patch import apply_patch, make_patch
from magnoliafork.mesh.view import MeshView, ViewDelta
from magnoliafork.wire import messages

# All peers that follow this node request the same few changes.
MAX_CACHED_VALUES = 16


class ViewEncoder:
    """Builds replies to peers that lag behind.

    Attributes:
        sent_bytes: Encoded values of all replies.
    """

    def __init__(self, view: MeshView) -> None:
        """Creates an encoder of the changes of a view."""
        self._view = view
        # By item and item patched. A revision does not identify a value: after
        # a restore, a newer one may take the place of that of the copy.
        self._cache: collections.OrderedDict[
            tuple[StoredItem, StoredItem | None], bytes
        ] = collections.OrderedDict()
        self.sent_bytes = 0

    def reply(self, request: messages.ViewRequest) -> messages.ViewReply:
        """Returns everything that changed after the requested revision.

        A revision of another era says nothing about this one; the reply is then
        the whole state.
        """
        after_revision = request.after_revision
        if request.era != self._view.era:
            after_revision = 0
        delta = self._view.delta_after(after_revision)
        values: list[bytes] = []
        patched_revisions: list[int] = []
        for item in delta.items:
            base: StoredItem | None = None
            if request.accepts_patches and item.value and delta.base_revision:
                base = self._view.value_at(item.key, after_revision)
            values.append(self._encoded(item, base))
            patched_revisions.append(base.revision if base is not None else 0)
        self.sent_bytes += sum(len(value) for value in values)
        return messages.ViewReply(
            delta.base_revision,
            delta.revision,
            tuple([item.key for item in delta.items]),
            tuple([item.revision for item in delta.items]),
            tuple(values),
            tuple(patched_revisions) if any(patched_revisions) else (),
            delta.era,
        )

    def _encoded(self, item: StoredItem, base: StoredItem | None) -> bytes:
        if not item.value:
            return b""
        key = (item, base)
        encoded = self._cache.pop(key, None)
        if encoded is None:
            content = item.value
            if base is not None:
                content = make_patch(base.value, item.value)
            encoded = zlib.compress(content)
        self._cache[key] = encoded
        if len(self._cache) > MAX_CACHED_VALUES:
            self._cache.popitem(last=False)
        return encoded


def decode_reply(reply: messages.ViewReply, view: MeshView) -> ViewDelta | str:
    """Returns the delta of a message, or why it cannot be used.

    A patch of another era than the view's does not apply to its values.
    """
    patched_revisions = reply.patched_revisions or (0,) * len(reply.keys)
    fields = (reply.revisions, reply.values, patched_revisions)
    if any(len(field) != len(reply.keys) for field in fields):
        return "keys, revisions and values differ in number"
    items: list[StoredItem] = []
    for key, revision, value, patched_revision in zip(
        reply.keys, *fields, strict=True
    ):
        try:
            content = zlib.decompress(value) if value else b""
        except zlib.error as error:
            return f"value cannot be inflated: {error}"
        if patched_revision and reply.era != view.era:
            return f"{key} is a patch of another era"
        if patched_revision:
            base = view.value_at(key, patched_revision)
            if base is None or base.revision != patched_revision:
                return f"{key} at revision {patched_revision} is not kept"
            patched = apply_patch(base.value, content)
            if patched is None:
                return f"patch of {key} does not fit"
            content = patched
        items.append(StoredItem(key, revision, content))
    return ViewDelta(
        reply.base_revision, reply.revision, tuple(items), reply.era
    )
