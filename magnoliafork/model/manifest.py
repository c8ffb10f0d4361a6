"""Manifest of a configuration and its content-addressed parts."""

import dataclasses
import hashlib
import json

from magnoliafork.model.version import Version

MAX_PART_BYTES = 1_000_000
SUPPORTED_FORMATS = frozenset({1})


def sha256_hex(content: bytes) -> str:
    """Returns the SHA-256 digest of the content in hexadecimal."""
    return hashlib.sha256(content).hexdigest()


def canonical_json(value: object) -> bytes:
    """Encodes a JSON value so that equal values give equal bytes.

    >>> canonical_json({"b": 1, "a": [2]})
    b'{"a":[2],"b":1}'
    """
    text = json.dumps(
        value, sort_keys=True, separators=(",", ":"), ensure_ascii=False
    )
    return text.encode()


@dataclasses.dataclass(frozen=True, slots=True)
class PartRef:
    """Refers to one part of a configuration by the digest of its content.

    Attributes:
        name: Part name, such as `service/orders` or `operations`.
        digest: SHA-256 of the part's bytes, in hexadecimal.
        size_bytes: Length of the part.
    """

    name: str
    digest: str
    size_bytes: int


@dataclasses.dataclass(frozen=True, slots=True)
class Manifest:
    """Lists the parts of one configuration version.

    Attributes:
        format: Number of the encoding and its validation rules; those of a
            published number never change.
        version_number: Version number chosen by the operators.
        parts: Parts in the order of their names.
    """

    format: int
    version_number: int
    parts: tuple[PartRef, ...]

    def to_bytes(self) -> bytes:
        """Returns the canonical encoding, which the digest covers."""
        return canonical_json(
            {
                "format": self.format,
                "version_number": self.version_number,
                "parts": [
                    [part.name, part.digest, part.size_bytes]
                    for part in self.parts
                ],
            }
        )

    def version(self) -> Version:
        """Returns the version that this manifest identifies."""
        return Version(self.version_number, sha256_hex(self.to_bytes()))
