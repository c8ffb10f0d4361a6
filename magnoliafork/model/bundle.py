"""Bundles: many parts of a version in few values.

A node with an empty memory would need one read for each part: 541 reads at 270
services, and minutes within its share of the source's reads.
"""

import json

from magnoliafork.model.manifest import (
    MAX_PART_BYTES,
    canonical_json,
    sha256_hex,
)

# Escapes of quotes in the parts lengthen the encoding by up to a third.
MAX_CONTENT_BYTES = MAX_PART_BYTES // 2


def pack(parts: list[bytes]) -> tuple[bytes, ...]:
    """Packs part contents into bundles below the size limit of a value.

    A part that does not fit into a bundle is left out and read by itself.
    """
    groups: list[list[str]] = [[]]
    size_bytes = 0
    for content in parts:
        if len(content) > MAX_CONTENT_BYTES:
            continue
        if size_bytes + len(content) > MAX_CONTENT_BYTES:
            groups.append([])
            size_bytes = 0
        groups[-1].append(content.decode())
        size_bytes += len(content)
    return tuple(canonical_json(group) for group in groups if group)


def unpack(bundle: bytes) -> dict[str, bytes]:
    """Returns the parts of a bundle by the digests of their contents.

    A bundle that cannot be decoded has no parts; the reader then fetches the
    parts one by one.

    >>> list(unpack(pack([b"{}"])[0]).values()), unpack(b"x")
    ([b'{}'], {})
    """
    try:
        texts = json.loads(bundle)
    except ValueError:
        return {}
    if not isinstance(texts, list):
        return {}
    contents = [text.encode() for text in texts if isinstance(text, str)]
    return {sha256_hex(content): content for content in contents}
