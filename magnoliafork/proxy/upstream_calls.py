"""Calls to the upstream; updates the ramp and the limiter from results."""

import asyncio
import logging
from collections.abc import Callable

from magnoliafork.model.request import Answered, NotRunReason, UnknownReason
from magnoliafork.model.rules import ServiceRule
from magnoliafork.proxy import replies
from magnoliafork.proxy.counters import ReceiverCounters
from magnoliafork.proxy.replies import CallResult
from magnoliafork.proxy.slots import Slots
from magnoliafork.proxy.upstream import (
    Upstream,
    UpstreamAnswer,
    UpstreamNotRun,
    UpstreamRequest,
    UpstreamResult,
    UpstreamUnknown,
)
from magnoliafork.wire import messages

REQUEST_ID_HEADER = "Magnolia-Request-Id"

_log = logging.getLogger(__name__)


class UpstreamCalls:
    """Sends requests that hold a slot, and tracks those in flight."""

    def __init__(
        self,
        upstream: Upstream,
        slots: Slots,
        rule: Callable[[], ServiceRule | None],
        counters: ReceiverCounters,
        now: Callable[[], float],
    ) -> None:
        """Creates the upstream calls of one receiver."""
        self._upstream = upstream
        self._slots = slots
        self._rule = rule
        self._counters = counters
        self._now = now
        self._sends: set[asyncio.Task[UpstreamResult]] = set()

    @property
    def count(self) -> int:
        """Number of calls in flight."""
        return len(self._sends)

    def cancel_all(self) -> int:
        """Cancels all calls; returns their number."""
        cancelled = len(self._sends)
        for send in tuple(self._sends):
            send.cancel()
        return cancelled

    async def send(
        self,
        request: messages.CallRequest,
        deadline_s: float,
        give_up_s: float,
    ) -> CallResult:
        """Sends a request; updates the ramp, the limiter and the counters.

        Args:
            request: The request.
            deadline_s: Deadline, which the upstream gets in a header.
            give_up_s: Time at which the call is cancelled.
        """
        started_s = self._now()
        remaining_ms = int((deadline_s - started_s) * 1000)
        send = asyncio.ensure_future(
            self._upstream.send(self._to_upstream(request, remaining_ms))
        )
        self._sends.add(send)
        send.add_done_callback(self._sends.discard)
        try:
            await asyncio.wait({send}, timeout=give_up_s - started_s)
        except asyncio.CancelledError:
            send.cancel()
            raise
        is_timeout = not send.done()
        if is_timeout:
            send.cancel()
            await asyncio.wait({send})
        result = _result_of(send, is_timeout)
        self._observe(result, started_s)
        return _call_result_of(result)

    def _to_upstream(
        self, request: messages.CallRequest, remaining_ms: int
    ) -> UpstreamRequest:
        rule = self._rule()
        # With fewer connections, kept-alive and new ones together might
        # exceed what the upstream accepts.
        has_spare_connections = (
            rule is not None and rule.connections >= 2 * rule.slots
        )
        return UpstreamRequest(
            method=request.method,
            path=request.path,
            headers=(
                *replies.headers_of(
                    request.header_names, request.header_values
                ),
                (REQUEST_ID_HEADER, request.request_id),
            ),
            body=request.body,
            remaining_ms=remaining_ms,
            traceparent=request.traceparent,
            repeatable=request.repeatable,
            is_fresh=not has_spare_connections,
        )

    def _observe(self, result: UpstreamResult, started_s: float) -> None:
        now_s = self._now()
        ramp = self._slots.ramp
        if isinstance(result, UpstreamUnknown):
            self._counters.upstream_unknown += 1
            if result.reason is UnknownReason.UPSTREAM_TIMEOUT:
                self._counters.upstream_timeouts += 1
            if result.is_connection_lost:
                ramp.on_connection_lost(now_s)
            return
        if isinstance(result, UpstreamNotRun):
            self._counters.upstream_not_run += 1
            if result.reason is NotRunReason.UNREACHABLE:
                ramp.on_connection_refused(now_s)
                self._counters.ramp_restarts += 1
                return
            if result.reason is not NotRunReason.UPSTREAM_REFUSED:
                return
        else:
            self._slots.limiter.on_latency(now_s - started_s)
        if ramp.on_answer(result.boot_id, now_s):
            self._counters.ramp_restarts += 1


def _result_of(
    send: asyncio.Task[UpstreamResult], is_timeout: bool
) -> UpstreamResult:
    """Returns the result of an upstream call, however it ended."""
    if send.cancelled() and is_timeout:
        return UpstreamUnknown(
            UnknownReason.UPSTREAM_TIMEOUT, "no answer", False
        )
    if send.cancelled():
        return UpstreamUnknown(
            UnknownReason.NO_REPLY, "cancelled by the stop", False
        )
    error = send.exception()
    if error is None:
        return send.result()
    _log.error("upstream call failed", exc_info=error)
    return UpstreamUnknown(UnknownReason.UPSTREAM_BROKE, repr(error))


def _call_result_of(result: UpstreamResult) -> CallResult:
    if isinstance(result, UpstreamAnswer):
        return CallResult(Answered(result.status, result.headers, result.body))
    if isinstance(result, UpstreamNotRun):
        return replies.refused(result.reason, result.retry_after_ms)
    return replies.unknown(result.reason)
