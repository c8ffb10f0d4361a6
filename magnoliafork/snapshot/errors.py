"""Reasons why content from the source or a peer cannot be used."""

import dataclasses
import enum
from collections.abc import Iterable


class ConfigErrorKind(enum.StrEnum):
    """What a node does about an error depends on its kind."""

    UNKNOWN_FORMAT = "unknown_format"
    MALFORMED = "malformed"
    INVALID = "invalid"
    MISSING_PART = "missing_part"
    DIGEST_MISMATCH = "digest_mismatch"


_TORN = frozenset(
    {ConfigErrorKind.MISSING_PART, ConfigErrorKind.DIGEST_MISMATCH}
)

# Names and values from untrusted content can be as long as a part.
MAX_TEXT_LENGTH = 300


@dataclasses.dataclass(frozen=True, slots=True)
class ConfigError:
    """One reason against a configuration version.

    Attributes:
        kind: Kind of the error.
        part: Name of the part, or an empty string for the manifest.
        message: What is wrong.
    """

    kind: ConfigErrorKind
    part: str
    message: str


def config_error(kind: ConfigErrorKind, part: str, message: str) -> ConfigError:
    """Returns an error whose texts are cut to a bounded length."""
    return ConfigError(kind, part[:MAX_TEXT_LENGTH], message[:MAX_TEXT_LENGTH])


def is_torn(errors: Iterable[ConfigError]) -> bool:
    """Tells whether fetching the parts again may help.

    The other errors are a property of the version itself and stay.
    """
    return any(error.kind in _TORN for error in errors)
