"""Export of spans as JSON lines and as OTLP over HTTP."""

import asyncio
import json
import sys
from collections.abc import Mapping, Sequence
from typing import Any, TextIO

import aiohttp
from opentelemetry.sdk.trace import ReadableSpan

from magnoliafork.observe.events import Event
from magnoliafork.observe.logs import EventLog
from magnoliafork.observe.tracing import SpanQueue

EXPORT_INTERVAL_S = 1.0
EXPORT_TIMEOUT_S = 2.0
OTLP_KIND_INTERNAL = 1


class SpanExporter:
    """Exports queued spans from the event loop, without a thread."""

    def __init__(
        self,
        queue: SpanQueue,
        log: EventLog,
        otlp_url: str | None = None,
        stream: TextIO | None = None,
    ) -> None:
        """Creates an exporter.

        Args:
            queue: Queue to take the spans from.
            log: Receives reports of dropped spans.
            otlp_url: Collector to post to; without one, spans are written as
                JSON lines.
            stream: Where lines go; standard output by default.
        """
        self._queue = queue
        self._log = log
        self._otlp_url = otlp_url
        self._stream = stream or sys.stdout
        self._reported_drops = 0

    async def run(self) -> None:
        """Exports at an interval until it is cancelled, then once more."""
        try:
            while True:
                await asyncio.sleep(EXPORT_INTERVAL_S)
                await self.export()
        finally:
            await self.export()

    async def export(self) -> None:
        """Exports all queued spans; spans that cannot be posted are lost."""
        spans = self._queue.take()
        self._report_drops()
        if not spans:
            return
        if self._otlp_url is None:
            self._write(spans)
            return
        failure = await self._post(self._otlp_url, spans)
        if failure:
            self._log.warning(
                Event.SPANS_DROPPED, count=len(spans), reason=failure
            )

    def _report_drops(self) -> None:
        dropped = self._queue.dropped - self._reported_drops
        if dropped:
            self._reported_drops = self._queue.dropped
            self._log.warning(
                Event.SPANS_DROPPED, count=dropped, reason="queue is full"
            )

    def _write(self, spans: Sequence[ReadableSpan]) -> None:
        for span in spans:
            self._stream.write(json.dumps(to_json(span)) + "\n")
        self._stream.flush()

    async def _post(self, url: str, spans: Sequence[ReadableSpan]) -> str:
        timeout = aiohttp.ClientTimeout(total=EXPORT_TIMEOUT_S)
        try:
            async with (
                aiohttp.ClientSession(timeout=timeout) as session,
                session.post(url, json=to_otlp(spans)) as answer,
            ):
                return "" if answer.ok else f"status {answer.status}"
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            return f"{type(error).__name__}: {error}"


def to_json(span: ReadableSpan) -> dict[str, object]:
    """Returns a span as one JSON object."""
    context = span.get_span_context()
    start_ns, end_ns = span.start_time or 0, span.end_time or 0
    return {
        "span": span.name,
        "trace_id": f"{context.trace_id:032x}" if context else "",
        "span_id": f"{context.span_id:016x}" if context else "",
        "parent_id": f"{span.parent.span_id:016x}" if span.parent else "",
        "start_unix_us": start_ns // 1000,
        "duration_us": (end_ns - start_ns) // 1000,
        "resource": dict(span.resource.attributes),
        "attributes": dict(span.attributes or {}),
    }


def to_otlp(spans: Sequence[ReadableSpan]) -> dict[str, object]:
    """Returns spans of one node as an OTLP export request."""
    resource = spans[0].resource.attributes
    scope_spans = {
        "scope": {"name": "magnoliafork"},
        "spans": [_to_otlp_span(span) for span in spans],
    }
    return {
        "resourceSpans": [
            {
                "resource": {"attributes": _to_otlp_attributes(resource)},
                "scopeSpans": [scope_spans],
            }
        ]
    }


def _to_otlp_span(span: ReadableSpan) -> dict[str, object]:
    flat = to_json(span)
    return {
        "traceId": flat["trace_id"],
        "spanId": flat["span_id"],
        "parentSpanId": flat["parent_id"],
        "name": span.name,
        "kind": OTLP_KIND_INTERNAL,
        "startTimeUnixNano": str(span.start_time or 0),
        "endTimeUnixNano": str(span.end_time or 0),
        "attributes": _to_otlp_attributes(span.attributes or {}),
    }


def _to_otlp_attributes(attributes: Mapping[str, Any]) -> list[object]:
    return [
        {"key": name, "value": _to_otlp_value(value)}
        for name, value in attributes.items()
    ]


def _to_otlp_value(value: Any) -> dict[str, object]:
    if isinstance(value, bool):
        return {"boolValue": value}
    if isinstance(value, int):
        return {"intValue": str(value)}
    if isinstance(value, float):
        return {"doubleValue": value}
    return {"stringValue": str(value)}
