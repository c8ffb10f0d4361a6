"""Translates outcomes into HTTP responses to callers."""

import secrets

from aiohttp import hdrs, web
from multidict import CIMultiDict

from magnoliafork.model.manifest import canonical_json
from magnoliafork.model.request import (
    Answered,
    NotRun,
    NotRunReason,
    OutcomeUnknown,
    UnknownReason,
)
from magnoliafork.proxy.headers import end_to_end
from magnoliafork.proxy.sender import Handled

OUTCOME_HEADER = "Magnolia-Outcome"
REQUEST_ID_HEADER = "Magnolia-Request-Id"

OUTCOME_ANSWERED = "answered"
OUTCOME_NOT_RUN = "not-run"
OUTCOME_UNKNOWN = "unknown"

MIN_RETRY_AFTER_S = 1

_STATUS_OF_REASON = {
    NotRunReason.NO_ROUTE: 404,
    NotRunReason.BAD_REQUEST: 400,
    NotRunReason.BODY_TOO_LARGE: 413,
    NotRunReason.KEY_REUSED: 422,
}
_SERVICE_UNAVAILABLE = 503
_GATEWAY_TIMEOUT = 504


def to_response(handled: Handled, method: str) -> web.Response:
    """Translates an outcome into an HTTP response."""
    outcome = handled.outcome
    if isinstance(outcome, Answered):
        return _answer_response(handled.request_id, outcome, method)
    status, name = _status_of(outcome)
    response = _outcome_response(
        status, name, outcome.reason.value, handled.request_id
    )
    if isinstance(outcome, NotRun) and status == _SERVICE_UNAVAILABLE:
        retry_after_s = max(
            -(-outcome.retry_after_ms // 1000), MIN_RETRY_AFTER_S
        )
        response.headers[hdrs.RETRY_AFTER] = str(retry_after_s)
    return response


def refusal_response(status: int, reason: NotRunReason) -> web.Response:
    """Returns the response to a request that the ingress itself refuses."""
    response = _outcome_response(
        status, OUTCOME_NOT_RUN, reason.value, secrets.token_hex(16)
    )
    response.force_close()
    return response


def internal_error_response() -> web.Response:
    """Returns the response after an internal error of this process.

    The request may have run, so that its outcome is unknown.
    """
    response = _outcome_response(
        _GATEWAY_TIMEOUT,
        OUTCOME_UNKNOWN,
        UnknownReason.NO_REPLY.value,
        secrets.token_hex(16),
    )
    response.force_close()
    return response


def _status_of(outcome: NotRun | OutcomeUnknown) -> tuple[int, str]:
    if isinstance(outcome, OutcomeUnknown):
        return _GATEWAY_TIMEOUT, OUTCOME_UNKNOWN
    status = _STATUS_OF_REASON.get(outcome.reason, _SERVICE_UNAVAILABLE)
    return status, OUTCOME_NOT_RUN


def _outcome_response(
    status: int, outcome: str, reason: str, request_id: str
) -> web.Response:
    body = canonical_json(
        {"outcome": outcome, "reason": reason, "request_id": request_id}
    )
    return web.Response(
        status=status,
        body=body,
        headers={
            OUTCOME_HEADER: outcome,
            REQUEST_ID_HEADER: request_id,
            hdrs.CONTENT_TYPE: "application/json",
        },
    )


def _answer_response(
    request_id: str, answer: Answered, method: str
) -> web.Response:
    connection = [
        value for name, value in answer.headers if name.lower() == "connection"
    ]
    headers = CIMultiDict(end_to_end(answer.headers, connection))
    headers[OUTCOME_HEADER] = OUTCOME_ANSWERED
    headers[REQUEST_ID_HEADER] = request_id
    if method == hdrs.METH_HEAD and not answer.body:
        # A HEAD response has no body, so only the upstream knows the length.
        for name, value in answer.headers:
            if name.lower() == "content-length":
                headers[hdrs.CONTENT_LENGTH] = value
    return web.Response(status=answer.status, body=answer.body, headers=headers)
