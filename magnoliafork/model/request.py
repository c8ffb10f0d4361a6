"""Outcomes of a caller's request: answered, not run, or unknown."""

import dataclasses
import enum

Headers = tuple[tuple[str, str], ...]


class NotRunReason(enum.StrEnum):
    """Why a request was certainly not run."""

    NO_ROUTE = "no_route"
    BAD_REQUEST = "bad_request"
    BODY_TOO_LARGE = "body_too_large"
    NO_INSTANCE = "no_instance"
    OVERLOADED = "overloaded"
    ZONE_OUT = "zone_out"
    DRAINED = "drained"
    LEAVING = "leaving"
    DEADLINE = "deadline"
    UNREACHABLE = "unreachable"
    UPSTREAM_REFUSED = "upstream_refused"
    REFUSED_FOR_EVER = "refused_for_ever"
    NOT_READY = "not_ready"
    STALE_VIEW = "stale_view"
    KEY_REUSED = "key_reused"
    MOVED = "moved"
    CRASHES_UPSTREAM = "crashes_upstream"
    UNKNOWN_KEY = "unknown_key"
    KEYS_UNCONFIRMED = "keys_unconfirmed"
    OVER_QUOTA = "over_quota"
    QUOTA_UNAVAILABLE = "quota_unavailable"


class UnknownReason(enum.StrEnum):
    """Why it is unknown whether a request was run."""

    NO_REPLY = "no_reply"
    RECEIVER_RESTARTED = "receiver_restarted"
    UPSTREAM_BROKE = "upstream_broke"
    CONNECTION_STALE = "connection_stale"
    UPSTREAM_CRASHED = "upstream_crashed"
    UPSTREAM_TIMEOUT = "upstream_timeout"
    HOME_CHANGED = "home_changed"
    ANSWER_FORGOTTEN = "answer_forgotten"


@dataclasses.dataclass(frozen=True, slots=True)
class Answered:
    """The upstream's complete answer."""

    status: int
    headers: Headers
    body: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class NotRun:
    """The request was not run and never will be under this id."""

    reason: NotRunReason
    retry_after_ms: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class OutcomeUnknown:
    """The request may have run."""

    reason: UnknownReason


Outcome = Answered | NotRun | OutcomeUnknown
