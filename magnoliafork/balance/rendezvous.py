"""Ranks instances for an idempotency key by rendezvous hashing.

The first one is the home of the key: requests with that key are sent to it.
"""

import hashlib
from collections.abc import Iterable

_SCORE_BYTES = 16


def score(request_id: str, instance_id: str) -> bytes:
    """Returns the rendezvous score of an instance for a request id."""
    request_part = request_id.encode()
    length = len(request_part).to_bytes(4, "big")
    content = length + request_part + instance_id.encode()
    return hashlib.blake2b(content, digest_size=_SCORE_BYTES).digest()


def rank(request_id: str, instance_ids: Iterable[str]) -> list[str]:
    """Orders instances by their score for a request id, highest first.

    The relative order of two instances does not depend on the others, so
    nodes with different membership views still agree on that order.

    >>> first = rank("ab12", ["orders-1", "orders-2", "orders-3"])
    >>> first == rank("ab12", ["orders-3", "orders-1", "orders-2"])
    True
    >>> rank("ab12", first[1:]) == first[1:]
    True
    """
    return sorted(
        set(instance_ids),
        key=lambda instance_id: (score(request_id, instance_id), instance_id),
        reverse=True,
    )
