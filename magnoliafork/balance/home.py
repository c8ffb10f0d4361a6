"""Rendezvous hashing: picks the home instance of a key."""

import hashlib
from collections.abc import Iterable

_DIGEST_BYTES = 8


def rank(request_id: str, instance_ids: Iterable[str]) -> list[str]:
    """Orders instances by their rendezvous weight for a request id.

    Every node computes the same order from the same set of instances, and a
    change of one instance moves only the keys that it held.

    Args:
        request_id: Request id derived from the caller's key.
        instance_ids: Ids of the eligible instances, in any order.

    Returns:
        The ids with the highest weight first.

    >>> rank("k", ["a", "b", "c"]) == rank("k", ["c", "a", "b"])
    True
    """
    prefix = request_id.encode() + b"\0"

    def weight(instance_id: str) -> tuple[bytes, str]:
        digest = hashlib.blake2b(
            prefix + instance_id.encode(), digest_size=_DIGEST_BYTES
        )
        return digest.digest(), instance_id

    return sorted(instance_ids, key=weight, reverse=True)
