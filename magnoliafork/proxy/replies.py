"""Conversions between outcomes and the messages that carry them."""

import dataclasses

from magnoliafork.model.request import (
    Answered,
    Headers,
    NotRun,
    NotRunReason,
    Outcome,
    OutcomeUnknown,
    UnknownReason,
)
from magnoliafork.wire import messages

# Time after which a refused sender may try this instance again.
RETRY_AFTER_MS = {
    NotRunReason.OVERLOADED: 100,
    NotRunReason.UNREACHABLE: 500,
    NotRunReason.STALE_VIEW: 1000,
    NotRunReason.NOT_READY: 1000,
    NotRunReason.LEAVING: 1000,
    NotRunReason.DRAINED: 5000,
    NotRunReason.ZONE_OUT: 5000,
}


@dataclasses.dataclass(frozen=True, slots=True)
class CallResult:
    """What this instance answers for a request.

    Attributes:
        outcome: Outcome of the request.
        moved_to: New home, with the reason `moved`; else empty.
    """

    outcome: Outcome
    moved_to: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class Load:
    """Load hint that goes with every reply."""

    active: int
    limit: int


def refused(reason: NotRunReason, retry_after_ms: int = 0) -> CallResult:
    """Returns a refusal with its usual time until the next attempt."""
    wait_ms = retry_after_ms or RETRY_AFTER_MS.get(reason, 0)
    return CallResult(NotRun(reason, wait_ms))


def unknown(reason: UnknownReason) -> CallResult:
    """Returns an unknown outcome."""
    return CallResult(OutcomeUnknown(reason))


def moved(moved_to: str) -> CallResult:
    """Returns a refusal that names the new home."""
    return CallResult(NotRun(NotRunReason.MOVED), moved_to)


def to_reply(
    call_result: CallResult, stream_id: int, load: Load
) -> messages.CallReply:
    """Returns the message that carries a call result."""
    outcome = call_result.outcome
    if isinstance(outcome, Answered):
        return messages.CallAnswer(
            stream_id=stream_id,
            status=outcome.status,
            header_names=tuple(name for name, _ in outcome.headers),
            header_values=tuple(value for _, value in outcome.headers),
            body=outcome.body,
            active=load.active,
            limit=load.limit,
        )
    if isinstance(outcome, OutcomeUnknown):
        return messages.CallUnknown(stream_id, outcome.reason.value)
    return messages.CallRefused(
        stream_id=stream_id,
        reason=outcome.reason.value,
        retry_after_ms=outcome.retry_after_ms,
        active=load.active,
        limit=load.limit,
        moved_to=call_result.moved_to,
    )


def answer_of(reply: messages.CallAnswer) -> Answered:
    """Returns the answer that a message carries."""
    return Answered(
        reply.status,
        headers_of(reply.header_names, reply.header_values),
        reply.body,
    )


def headers_of(names: tuple[str, ...], values: tuple[str, ...]) -> Headers:
    """Joins the names and values of headers."""
    return tuple(zip(names, values, strict=True))


def unknown_reason_of(value: str) -> UnknownReason:
    """Reads a reason of a peer, which may know others than this node."""
    try:
        return UnknownReason(value)
    except ValueError:
        return UnknownReason.NO_REPLY
