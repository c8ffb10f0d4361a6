"""Interface of the platform's read-only configuration service."""

import dataclasses
from typing import Protocol

MANIFEST_KEY = "manifest"
INSTANCES_KEY = "instances"


def part_key(digest: str) -> str:
    """Returns the key under which a part is published.

    >>> part_key("ab12")
    'parts/ab12'
    """
    return f"parts/{digest}"


def bundle_key(version_digest: str, index: int) -> str:
    """Returns the key under which a bundle of parts is published.

    >>> bundle_key("ab12", 0)
    'bundles/ab12/0'
    """
    return f"bundles/{version_digest}/{index}"


@dataclasses.dataclass(frozen=True, slots=True)
class SourceValue:
    """A value and its revision in the configuration service."""

    content: bytes
    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class SourceValueMissing:
    """The key has no value."""


@dataclasses.dataclass(frozen=True, slots=True)
class SourceUnchanged:
    """A watch ended without a change."""


@dataclasses.dataclass(frozen=True, slots=True)
class SourceUnavailable:
    """The configuration service gave no usable answer."""

    detail: str


ReadOutcome = SourceValue | SourceValueMissing | SourceUnavailable
WatchOutcome = ReadOutcome | SourceUnchanged


class ConfigSource(Protocol):
    """Reads and watches values; nothing can be written."""

    async def read(self, key: str) -> ReadOutcome:
        """Reads one value. Counts as one read of the read budget."""
        ...

    async def watch(
        self, key: str, after_revision: int, wait_s: float
    ) -> WatchOutcome:
        """Waits for a revision above the given one. Counts as one read."""
        ...
