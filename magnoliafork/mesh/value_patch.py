"""Differences between two versions of a value.

Operators publish each configuration whole, although most versions change a few
routes. Between nodes, a version travels as the ranges to copy from an earlier
one and the bytes in between.
"""

import struct
import zlib

# Values are cut behind each of these, which end a row of the published tables.
SEPARATOR = b"],"

_OPERATION = struct.Struct(">III")
_CHECKSUM = struct.Struct(">I")


def make_patch(before: bytes, after: bytes) -> bytes:
    """Returns a patch that turns one value into another.

    >>> apply_patch(b"[1],[2],[3]", make_patch(b"[1],[2],[3]", b"[1],[4],[3]"))
    b'[1],[4],[3]'
    """
    old_pieces = _pieces(before)
    offsets: list[int] = []
    end = 0
    for piece in old_pieces:
        offsets.append(end)
        end += len(piece)
    offsets.append(end)
    index_of = {piece: index for index, piece in enumerate(old_pieces)}
    operations: list[tuple[int, int, bytearray]] = []
    next_index = -1
    for piece in _pieces(after):
        if (
            0 <= next_index < len(old_pieces)
            and old_pieces[next_index] == piece
        ):
            index: int | None = next_index
        else:
            index = index_of.get(piece)
        if index is None:
            if not operations:
                operations.append((0, 0, bytearray()))
            operations[-1][2].extend(piece)
            next_index = -1
            continue
        start, stop = offsets[index], offsets[index + 1]
        last = operations[-1] if operations else None
        if last is not None and last[1] == start and not last[2]:
            operations[-1] = (last[0], stop, last[2])
        else:
            operations.append((start, stop, bytearray()))
        next_index = index + 1
    parts = [_CHECKSUM.pack(zlib.crc32(after))]
    for start, stop, literal in operations:
        parts.append(_OPERATION.pack(start, stop, len(literal)))
        parts.append(bytes(literal))
    return b"".join(parts)


def apply_patch(before: bytes, patch: bytes) -> bytes | None:
    """Returns the patched value, or None if the patch does not fit.

    >>> apply_patch(b"[1],[2]", make_patch(b"[1],[3]", b"[1],[4],[3]")) is None
    True
    """
    parts: list[bytes] = []
    position = _CHECKSUM.size
    try:
        (checksum,) = _CHECKSUM.unpack_from(patch)
        while position < len(patch):
            start, stop, size = _OPERATION.unpack_from(patch, position)
            position += _OPERATION.size
            parts.append(before[start:stop])
            parts.append(patch[position : position + size])
            position += size
    except struct.error:
        return None
    after = b"".join(parts)
    return after if zlib.crc32(after) == checksum else None


def _pieces(value: bytes) -> list[bytes]:
    *rows, last = value.split(SEPARATOR)
    return [row + SEPARATOR for row in rows] + [last]
