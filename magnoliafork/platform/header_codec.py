"""Reads and writes the headers of the platform's requests and answers."""

import math
from collections.abc import Iterable

from magnoliafork.mesh.header_codec import (
    AnswerHeaders,
    CallerHeaders,
    HealthHeaders,
    RawHeaders,
    UpstreamNotice,
)
from magnoliafork.model.request import Headers
from magnoliafork.platform import names
from magnoliafork.proxy.headers import without_hop_by_hop

# Longest time that a header can state. Messages between nodes carry times in
# milliseconds as 32 bits.
MAX_DURATION_S = 86_400.0
_SUCCESS = range(200, 300)
_MISDIRECTED = 421
_HEALTHY = 200
# Of an upstream that drains or fails, or that refuses the check for want of a
# slot.
_UNHEALTHY = 503
_IS_LEAVING = "1"
_SET_BY_NODES = frozenset(
    name.lower()
    for name in (
        names.DEADLINE_MS,
        names.EXPECT_INSTANCE,
        names.CALLER_SERVICE,
    )
)
# Headers that upstreams never get as the caller sent them if requests belong to
# tenants. Credentials of other schemes are dropped too: they might hold a key.
_TENANT_HEADERS = frozenset(
    name.lower() for name in (names.TENANT, names.AUTHORIZATION)
)


class PlatformHeaderCodec:
    """Implements `HeaderCodec`."""

    def parse_caller_headers(self, headers: RawHeaders) -> CallerHeaders:
        """Parses the headers of a caller's request."""
        pairs = list(headers)
        found = _lower(pairs)
        deadline = found.get(names.DEADLINE_MS.lower())
        remaining_ms = None
        if deadline is not None:
            remaining_s = _seconds(deadline)
            remaining_ms = int(remaining_s * 1000)
        return CallerHeaders(
            found.get(names.ATTEMPT_ID.lower(), ""),
            remaining_ms,
            _api_key(pairs),
        )

    def forwarded_headers(
        self, headers: RawHeaders, caller_service: str
    ) -> Headers:
        """Returns the headers of a request to send to the next node."""
        pairs = list(headers)
        connection = [v for n, v in pairs if n.lower() == "connection"]
        kept = [
            pair
            for pair in without_hop_by_hop(pairs, connection)
            if pair[0].lower() not in _SET_BY_NODES
        ]
        return (*kept, (names.CALLER_SERVICE, caller_service))

    def with_tenant(self, headers: Headers, tenant: str) -> Headers:
        """Replaces the caller's credentials by the name of its tenant."""
        kept = [
            pair for pair in headers if pair[0].lower() not in _TENANT_HEADERS
        ]
        if tenant:
            kept.append((names.TENANT, tenant))
        return tuple(kept)

    def add_attempt_headers(
        self, headers: Headers, upstream_id: str, remaining_ms: int
    ) -> Headers:
        """Adds the remaining time and the id of the intended upstream."""
        added = [(names.DEADLINE_MS, str(remaining_ms))]
        if upstream_id:
            added.append((names.EXPECT_INSTANCE, upstream_id))
        return (*headers, *added)

    def parse_answer_headers(
        self, status: int, headers: RawHeaders
    ) -> AnswerHeaders:
        """Parses the headers of an upstream's answer."""
        found = _lower(headers)
        is_success = status in _SUCCESS
        has_seal = names.SEAL.lower() in found
        return AnswerHeaders(
            attempt_id=found.get(names.ATTEMPT_ID.lower(), ""),
            is_not_run=status == _MISDIRECTED
            or names.NOT_EXECUTED.lower() in found,
            # Callers ask for unencoded bodies; an encoded one is not genuine.
            is_genuine="content-encoding" not in found
            and (has_seal or not is_success),
            notice=_notice(found),
        )

    def returned_headers(self, headers: RawHeaders) -> Headers:
        """Returns the headers of an answer to send back to the caller."""
        pairs = list(headers)
        connection = [v for n, v in pairs if n.lower() == "connection"]
        return without_hop_by_hop(pairs, connection)

    def parse_health_headers(
        self, status: int, headers: RawHeaders
    ) -> HealthHeaders | None:
        """Parses the headers of the answer to a health check."""
        if status not in (_HEALTHY, _UNHEALTHY):
            return None
        found = _lower(headers)
        cold_ms = found.get(names.COLD_MS.lower())
        if status == _HEALTHY:
            cold_ms = cold_ms or "0"
        return HealthHeaders(
            found.get(names.INSTANCE_ID.lower(), ""),
            _seconds(cold_ms) if cold_ms is not None else None,
            _notice(found),
        )


def _lower(headers: RawHeaders) -> dict[str, str]:
    return {name.lower(): value for name, value in headers}


def _api_key(pairs: Iterable[tuple[str, str]]) -> str | None:
    """Returns the key in the credentials, None without any, else "".

    >>> _api_key([("authorization", "token   k1 ")])
    'k1'
    >>> _api_key([("Authorization", "Basic k1")])
    ''
    >>> _api_key([("Authorization", "Token k1"), ("Authorization", "Token k1")])
    ''
    """
    wanted = names.AUTHORIZATION.lower()
    values = [value for name, value in pairs if name.lower() == wanted]
    if not values:
        return None
    parts = values[0].split()
    if (
        len(values) > 1
        or len(parts) != 2
        or parts[0].lower() != names.API_KEY_SCHEME.lower()
    ):
        return ""
    return parts[1]


def _notice(found: dict[str, str]) -> UpstreamNotice:
    limit = found.get(names.SERVER_LIMIT.lower())
    is_leaving = found.get(names.SERVER_LEAVING.lower(), "") == _IS_LEAVING
    if limit is None:
        return UpstreamNotice(is_leaving=is_leaving)
    try:
        per_s = float(limit)
    except ValueError:
        per_s = math.nan
    if not math.isfinite(per_s) or per_s < 0:
        return UpstreamNotice(is_limit_unreadable=True, is_leaving=is_leaving)
    return UpstreamNotice(per_s, is_leaving=is_leaving)


def _seconds(milliseconds: str) -> float:
    """Converts milliseconds; a value that is no finite number counts as 0.

    >>> _seconds("1500"), _seconds("-1"), _seconds("nan"), _seconds("1e300")
    (1.5, 0.0, 0.0, 86400.0)
    """
    try:
        seconds = float(milliseconds) / 1000
    except ValueError:
        return 0.0
    if not math.isfinite(seconds):
        return 0.0
    return min(max(0.0, seconds), MAX_DURATION_S)
