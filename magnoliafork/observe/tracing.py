"""Traces with a span per hop in the W3C trace context."""

import collections
import dataclasses
import enum
import random
import re
from collections.abc import Callable, Mapping

from opentelemetry import trace
from opentelemetry.sdk.resources import Resource
from opentelemetry.sdk.trace import ReadableSpan, SpanProcessor, TracerProvider
from opentelemetry.sdk.trace.sampling import ALWAYS_ON

MAX_QUEUED_SPANS = 2048
TRACEPARENT = re.compile(r"00-([0-9a-f]{32})-([0-9a-f]{16})-([0-9a-f]{2})")
SAMPLED_FLAG = 0x01
INVALID_TRACE_ID = "0" * 32
INVALID_SPAN_ID = "0" * 16

Attribute = str | int | float | bool


class HopName(enum.StrEnum):
    """Places at which a request is traced."""

    INGRESS = "ingress"
    ATTEMPT = "attempt"
    RECEIVE = "receive"
    UPSTREAM = "upstream"


class SpanQueue(SpanProcessor):
    """Holds finished spans until export; drops new ones while full.

    Attributes:
        dropped: Spans dropped because the queue was full.
    """

    def __init__(self, max_spans: int = MAX_QUEUED_SPANS) -> None:
        """Creates an empty queue."""
        self.dropped = 0
        self._max_spans = max_spans
        self._spans: collections.deque[ReadableSpan] = collections.deque()

    def on_end(self, span: ReadableSpan) -> None:
        """Queues a finished span."""
        if len(self._spans) >= self._max_spans:
            self.dropped += 1
            return
        self._spans.append(span)

    def take(self) -> list[ReadableSpan]:
        """Removes and returns all queued spans, oldest first."""
        spans = list(self._spans)
        self._spans.clear()
        return spans


class Hop:
    """A hop that is not recorded.

    Attributes:
        traceparent: Trace context to pass on; empty if there is none.
    """

    __slots__ = ("traceparent",)

    def __init__(self, traceparent: str) -> None:
        """Passes on the given trace context."""
        self.traceparent = traceparent

    def set(self, name: str, value: Attribute) -> None:
        """Adds an attribute to the span."""

    def end(self, outcome: str = "") -> None:
        """Ends the span."""


class RecordedHop(Hop):
    """A hop that is recorded as a span."""

    __slots__ = ("_span",)

    def __init__(self, span: trace.Span) -> None:
        """Passes on the context of the given span."""
        context = span.get_span_context()
        super().__init__(
            f"00-{context.trace_id:032x}-{context.span_id:016x}-01"
        )
        self._span = span

    def set(self, name: str, value: Attribute) -> None:
        """Adds an attribute to the span."""
        self._span.set_attribute(name, value)

    def end(self, outcome: str = "") -> None:
        """Ends the span."""
        if outcome:
            self._span.set_attribute("outcome", outcome)
        self._span.end()


@dataclasses.dataclass(frozen=True, slots=True)
class _Parent:
    trace_id: int
    span_id: int
    is_sampled: bool


class Tracing:
    """Starts hops and decides which of them are recorded.

    A request without a trace context is sampled with the given ratio, and
    the decision is propagated in its context. With a ratio of 0, nothing is
    recorded and trace contexts are passed on unchanged.

    Attributes:
        queue: Finished spans.
    """

    def __init__(
        self,
        sampling_ratio: float,
        resource: Mapping[str, Attribute],
        random_bits: Callable[[int], int] = random.getrandbits,
    ) -> None:
        """Creates the tracing of one node.

        Args:
            sampling_ratio: Share of the requests to trace, from 0 to 1.
            resource: Attributes that identify the node.
            random_bits: Source of trace ids and sampling decisions.
        """
        self.queue = SpanQueue()
        self._ratio = sampling_ratio
        self._random_bits = random_bits
        self._tracer: trace.Tracer | None = None
        if sampling_ratio > 0:
            self._tracer = self._create_tracer(resource)

    def start(self, name: HopName, traceparent: str) -> Hop:
        """Starts a hop as a child of a trace context, which may be empty."""
        tracer = self._tracer
        if tracer is None:
            return Hop(traceparent)
        parent = _parse(traceparent) if traceparent else None
        if parent is None:
            if not self._is_sampled():
                return Hop(self._unsampled_context())
            return RecordedHop(tracer.start_span(name.value))
        if not parent.is_sampled:
            return Hop(traceparent)
        context = trace.set_span_in_context(_remote_span(parent))
        return RecordedHop(tracer.start_span(name.value, context=context))

    def _create_tracer(self, resource: Mapping[str, Attribute]) -> trace.Tracer:
        # The decision is taken before a span exists, because a span that the
        # SDK samples out still costs about 12 us.
        provider = TracerProvider(
            sampler=ALWAYS_ON,
            resource=Resource(dict(resource)),
            shutdown_on_exit=False,
        )
        provider.add_span_processor(self.queue)
        return provider.get_tracer("magnoliafork")

    def _is_sampled(self) -> bool:
        return self._random_bits(53) < self._ratio * 2**53

    def _unsampled_context(self) -> str:
        trace_id = self._random_bits(128) or 1
        span_id = self._random_bits(64) or 1
        return f"00-{trace_id:032x}-{span_id:016x}-00"


def _parse(traceparent: str) -> _Parent | None:
    match = TRACEPARENT.fullmatch(traceparent)
    if match is None:
        return None
    trace_id, span_id, flags = match.groups()
    if trace_id == INVALID_TRACE_ID or span_id == INVALID_SPAN_ID:
        return None
    is_sampled = bool(int(flags, 16) & SAMPLED_FLAG)
    return _Parent(int(trace_id, 16), int(span_id, 16), is_sampled)


def _remote_span(parent: _Parent) -> trace.Span:
    return trace.NonRecordingSpan(
        trace.SpanContext(
            parent.trace_id,
            parent.span_id,
            is_remote=True,
            trace_flags=trace.TraceFlags(trace.TraceFlags.SAMPLED),
        )
    )
