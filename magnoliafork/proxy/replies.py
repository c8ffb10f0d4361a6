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

# Time after which a sender may try this instance again, by refusal reason.
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
    """Result of a call at this instance.

    Attributes:
        outcome: Outcome of the request.
        moved_to: New home of the request if the reason is `moved`; else empty.
    """

    outcome: Outcome
    moved_to: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class Load:
    """Load hint in every reply: requests running, and their limit."""

    active: int
    limit: int


def refused(reason: NotRunReason, retry_after_ms: int = 0) -> CallResult:
    """Returns a refusal with the default retry time of its reason."""
    wait_ms = retry_after_ms or RETRY_AFTER_MS.get(reason, 0)
    return CallResult(NotRun(reason, wait_ms))


def unknown(reason: UnknownReason) -> CallResult:
    """Returns an unknown outcome."""
    return CallResult(OutcomeUnknown(reason))


def moved(moved_to: str) -> CallResult:
    """Returns a refusal that redirects the sender to the new home."""
    return CallResult(NotRun(NotRunReason.MOVED), moved_to)


def to_reply(
    call_result: CallResult, stream_id: int, load: Load
) -> messages.CallReply:
    """Returns the message for a call result."""
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
    """Returns the answer in a message."""
    return Answered(
        reply.status,
        headers_of(reply.header_names, reply.header_values),
        reply.body,
    )


def headers_of(names: tuple[str, ...], values: tuple[str, ...]) -> Headers:
    """Pairs the names and values of headers."""
    return tuple(zip(names, values, strict=True))


def unknown_reason_of(value: str) -> UnknownReason:
    """Parses a peer's reason; a newer release may send unknown ones."""
    try:
        return UnknownReason(value)
    except ValueError:
        return UnknownReason.NO_REPLY
