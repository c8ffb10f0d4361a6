"""Bundles pack many parts of a configuration version into a few stored values.

Without bundles a node that starts without parts would need one read for each:
541 reads at 270 services, which take minutes at its share of the read rate that
the source allows.
"""

import json

from magnoliafork.model.manifest import (
    MAX_PART_BYTES,
    canonical_json,
    sha256_hex,
)

# Half of the size limit of a value, because the escaped quotes in the parts
# lengthen the encoding by up to a third.
MAX_CONTENT_BYTES = MAX_PART_BYTES // 2


def pack(parts: list[bytes]) -> tuple[bytes, ...]:
    """Packs part contents into bundles below the size limit of a value.

    A part too large for a bundle is left out; readers fetch it by itself.
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
    """Returns the contents in a bundle by their digests.

    A bundle that cannot be decoded gives no parts; the reader then fetches the
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
