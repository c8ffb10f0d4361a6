"""Reasons why content from the source or a peer cannot be used."""

import dataclasses
import enum
from collections.abc import Iterable


class ConfigErrorKind(enum.StrEnum):
    """Kind of an error, which decides how a node reacts to it."""

    UNKNOWN_FORMAT = "unknown_format"
    MALFORMED = "malformed"
    INVALID = "invalid"
    MISSING_PART = "missing_part"
    DIGEST_MISMATCH = "digest_mismatch"


_INCOMPLETE = frozenset(
    {ConfigErrorKind.MISSING_PART, ConfigErrorKind.DIGEST_MISMATCH}
)

# Names and values in untrusted content can be as long as a whole part.
MAX_TEXT_LENGTH = 300


@dataclasses.dataclass(frozen=True, slots=True)
class ConfigError:
    """One reason why a configuration version cannot be used.

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


def is_incomplete(errors: Iterable[ConfigError]) -> bool:
    """Tells whether parts are missing or damaged.

    Fetching the parts again may help then. All other errors lie in the version
    itself and remain after another fetch.
    """
    return any(error.kind in _INCOMPLETE for error in errors)
