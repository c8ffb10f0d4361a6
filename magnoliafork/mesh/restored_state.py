"""Decides what still counts after the store was restored from an older copy.

The copy lacks what was written after it was made, until the operators and the
upstreams write it again, and contains what was changed or removed since. What a
node knew before is newer than the copy, whatever the revisions say.
"""

from magnoliafork.mesh.model import DecodedItem, MeshConfig, UpstreamEntry


def is_older(copy: DecodedItem | None, known: DecodedItem | None) -> bool:
    """Whether an item of the copy is older than the known item of its key.

    Items without an order of their own, such as a zone that is out of service,
    are never older.
    """
    if isinstance(copy, MeshConfig) and isinstance(known, MeshConfig):
        return copy.version < known.version
    if isinstance(copy, UpstreamEntry) and isinstance(known, UpstreamEntry):
        return _order(copy) < _order(known)
    return False


def is_removed(copy: DecodedItem | None, removed: UpstreamEntry) -> bool:
    """Whether an entry of the copy was removed after the copy was made.

    Args:
        copy: Item of the copy.
        removed: Last known entry of its key, which was removed.
    """
    return isinstance(copy, UpstreamEntry) and _order(copy) <= _order(removed)


def _order(entry: UpstreamEntry) -> tuple[int, int]:
    return entry.started_unix_ms, entry.sequence
