"""Identity and order of configuration versions."""

import dataclasses


@dataclasses.dataclass(frozen=True, order=True, slots=True)
class Version:
    """Identifies one configuration.

    Versions are ordered by number, then by digest, so that two manifests
    published under one number still converge on the same content.

    >>> Version(2, "aa") > Version(1, "ff")
    True
    >>> max(Version(3, "aa"), Version(3, "bb")).digest
    'bb'

    Attributes:
        number: Version number chosen by the operators, 1 or higher.
        digest: SHA-256 of the canonical manifest, in hexadecimal.
    """

    number: int
    digest: str


NO_VERSION = Version(0, "")
