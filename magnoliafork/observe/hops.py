"""Wrappers that trace and measure calls on their way through a node."""

import contextvars
import dataclasses
from collections.abc import Callable

from magnoliafork.model.request import Answered, NotRun
from magnoliafork.observe.metrics import Metrics
from magnoliafork.observe.tracing import Hop, HopName, Tracing
from magnoliafork.proxy.ingress import RequestHandler
from magnoliafork.proxy.sender import Handled, IngressRequest
from magnoliafork.proxy.upstream import (
    Upstream,
    UpstreamAnswer,
    UpstreamRequest,
    UpstreamResult,
)
from magnoliafork.wire import api, messages


@dataclasses.dataclass(slots=True)
class _UpstreamTime:
    """Time that one call spent in the upstream."""

    spent_s: float = 0.0


_upstream_time: contextvars.ContextVar[_UpstreamTime | None] = (
    contextvars.ContextVar("upstream_time", default=None)
)


class TracedSender:
    """Starts the span of a caller's request."""

    def __init__(
        self,
        handler: RequestHandler,
        tracing: Tracing,
    ) -> None:
        """Wraps a sender."""
        self._handler = handler
        self._tracing = tracing

    async def handle_with_id(self, request: IngressRequest) -> Handled:
        """Handles a request inside a span."""
        hop = self._tracing.start(HopName.INGRESS, request.traceparent)
        if hop.traceparent != request.traceparent:
            request = dataclasses.replace(request, traceparent=hop.traceparent)
        outcome = "cancelled"
        try:
            handled = await self._handler.handle_with_id(request)
            outcome = _outcome_name(handled)
            return handled
        finally:
            hop.end(outcome)


class TracedPeers:
    """Implements `PeerCalls` with a span and a latency for each attempt."""

    def __init__(
        self,
        peers: api.PeerCalls,
        tracing: Tracing,
        metrics: Metrics,
        now: Callable[[], float],
        version_number: Callable[[], int],
    ) -> None:
        """Wraps the connections to the peers."""
        self._peers = peers
        self._tracing = tracing
        self._metrics = metrics
        self._now = now
        self._version_number = version_number

    async def call(
        self,
        instance_id: str,
        request: messages.CallRequest,
        timeout_s: float,
    ) -> messages.CallReply | api.LinkFailure:
        """Sends one request inside a span."""
        started_s = self._now()
        hop = self._tracing.start(HopName.ATTEMPT, request.traceparent)
        if hop.traceparent != request.traceparent:
            request = dataclasses.replace(request, traceparent=hop.traceparent)
        hop.set("instance", instance_id)
        hop.set("config_version", self._version_number())
        outcome = "cancelled"
        try:
            reply = await self._peers.call(instance_id, request, timeout_s)
            outcome = _reply_name(reply, hop)
            return reply
        finally:
            hop.end(outcome)
            took_s = self._now() - started_s
            self._metrics.record_call(request.service_name, took_s)

    async def fence(
        self,
        instance_id: str,
        request_id: str,
        incarnation: int,
        timeout_s: float,
        moved_to: str = "",
    ) -> messages.StreamReply | api.LinkFailure:
        """Forwards a fence."""
        return await self._peers.fence(
            instance_id, request_id, incarnation, timeout_s, moved_to
        )


class TracedCalls:
    """Implements `CallHandler` with a span for each received call.

    The time of a call outside the upstream is recorded as added latency.
    """

    def __init__(
        self,
        calls: api.CallHandler,
        tracing: Tracing,
        metrics: Metrics,
        now: Callable[[], float],
    ) -> None:
        """Wraps the receiver."""
        self._calls = calls
        self._tracing = tracing
        self._metrics = metrics
        self._now = now

    async def on_call(
        self, sender_id: str, request: messages.CallRequest
    ) -> messages.CallReply:
        """Serves one request inside a span."""
        started_s = self._now()
        hop = self._tracing.start(HopName.RECEIVE, request.traceparent)
        if hop.traceparent != request.traceparent:
            request = dataclasses.replace(request, traceparent=hop.traceparent)
        hop.set("sender", sender_id)
        upstream_time = _UpstreamTime()
        _upstream_time.set(upstream_time)
        outcome = "cancelled"
        try:
            reply = await self._calls.on_call(sender_id, request)
            outcome = _reply_name(reply, hop)
            if isinstance(reply, messages.CallAnswer):
                added_s = self._now() - started_s - upstream_time.spent_s
                self._metrics.record_added_latency(added_s)
            return reply
        finally:
            hop.end(outcome)

    async def on_fence(
        self, sender_id: str, fence: messages.CallFence
    ) -> messages.StreamReply:
        """Forwards a fence."""
        return await self._calls.on_fence(sender_id, fence)


class TracedUpstream:
    """Implements `Upstream` with a span and the time of each request."""

    def __init__(
        self,
        upstream: Upstream,
        tracing: Tracing,
        now: Callable[[], float],
    ) -> None:
        """Wraps the upstream."""
        self._upstream = upstream
        self._tracing = tracing
        self._now = now

    async def send(self, request: UpstreamRequest) -> UpstreamResult:
        """Sends one request inside a span."""
        started_s = self._now()
        hop = self._tracing.start(HopName.UPSTREAM, request.traceparent)
        if hop.traceparent != request.traceparent:
            request = dataclasses.replace(request, traceparent=hop.traceparent)
        outcome = "cancelled"
        try:
            result = await self._upstream.send(request)
            outcome = _result_name(result, hop)
            return result
        finally:
            hop.end(outcome)
            upstream_time = _upstream_time.get()
            if upstream_time is not None:
                upstream_time.spent_s += self._now() - started_s


def _outcome_name(handled: Handled) -> str:
    if isinstance(handled.outcome, Answered):
        return "answered"
    if isinstance(handled.outcome, NotRun):
        return f"not-run {handled.outcome.reason}"
    return f"unknown {handled.outcome.reason}"


def _reply_name(reply: messages.CallReply | api.LinkFailure, hop: Hop) -> str:
    match reply:
        case messages.CallAnswer():
            hop.set("status", reply.status)
            return "answered"
        case messages.CallRefused():
            return f"refused {reply.reason}"
        case messages.CallUnknown():
            return f"unknown {reply.reason}"
        case api.LinkFailure():
            return f"link failure: {reply.detail}"


def _result_name(result: UpstreamResult, hop: Hop) -> str:
    if isinstance(result, UpstreamAnswer):
        hop.set("status", result.status)
        return "answered"
    return f"{type(result).__name__} {result.reason}"
