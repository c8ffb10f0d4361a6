"""Traces must connect the hops of a request and stay bounded."""

import asyncio
import io
import json
import random
from typing import Any

from aiohttp import web

from magnoliafork.observe.logs import EventLog
from magnoliafork.observe.span_export import SpanExporter
from magnoliafork.observe.tracing import MAX_QUEUED_SPANS, HopName, Tracing

SAMPLED = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01"
UNSAMPLED = SAMPLED[:-1] + "0"


def tracing_with(ratio: float) -> Tracing:
    bits = random.Random(3).getrandbits
    return Tracing(ratio, {"instance": "a-1"}, bits)


def exported(tracing: Tracing) -> list[dict[str, Any]]:
    stream = io.StringIO()
    log = EventLog(stream=io.StringIO())
    asyncio.run(SpanExporter(tracing.queue, log, stream=stream).export())
    return [json.loads(line) for line in stream.getvalue().splitlines()]


def test_hops_share_a_trace_and_name_their_parents() -> None:
    """Guards against spans that cannot be joined across nodes."""
    sender, receiver = tracing_with(0.01), tracing_with(0.01)
    first = sender.start(HopName.INGRESS, SAMPLED)
    second = receiver.start(HopName.RECEIVE, first.traceparent)
    second.end("answered")
    first.end("answered")
    (outer,), (inner,) = exported(sender), exported(receiver)
    assert outer["trace_id"] == inner["trace_id"] == SAMPLED[3:35]
    assert outer["parent_id"] == SAMPLED[36:52]
    assert inner["parent_id"] == outer["span_id"]
    assert inner["span"] == "receive"
    assert inner["attributes"] == {"outcome": "answered"}


def test_context_passes_unchanged_when_off_or_unsampled() -> None:
    """Guards against a hop that breaks the caller's own trace."""
    assert (
        tracing_with(0).start(HopName.INGRESS, SAMPLED).traceparent == SAMPLED
    )
    assert tracing_with(0).start(HopName.INGRESS, "").traceparent == ""
    hop = tracing_with(1).start(HopName.INGRESS, UNSAMPLED)
    assert hop.traceparent == UNSAMPLED


def test_sampling_decision_is_propagated() -> None:
    """Guards against traces that begin in the middle of a request."""
    sender, receiver = tracing_with(0.1), tracing_with(1)
    for _ in range(2000):
        hop = sender.start(HopName.INGRESS, "")
        receiver.start(HopName.RECEIVE, hop.traceparent).end()
        hop.end()
    begun, continued = exported(sender), exported(receiver)
    assert len(begun) == len(continued)
    # Four standard deviations of 2,000 draws at 10%.
    assert 146 <= len(begun) <= 254


def test_malformed_context_begins_a_new_trace() -> None:
    """Guards against a caller's header that stops requests or tracing."""
    tracing = tracing_with(1)
    for text in ("x", SAMPLED.upper(), SAMPLED + "-1", "00-" + "0" * 32):
        tracing.start(HopName.INGRESS, text).end()
    assert [span["parent_id"] for span in exported(tracing)] == [""] * 4


def test_queue_is_bounded_and_drops_are_logged() -> None:
    """Guards against memory that grows when nobody takes the spans."""
    tracing, lines = tracing_with(1), io.StringIO()
    for _ in range(MAX_QUEUED_SPANS + 5):
        tracing.start(HopName.INGRESS, "").end()
    exporter = SpanExporter(
        tracing.queue, EventLog(stream=lines), stream=io.StringIO()
    )
    asyncio.run(exporter.export())
    assert json.loads(lines.getvalue())["count"] == 5


def test_spans_are_posted_to_a_collector() -> None:
    """Guards against a format that OTLP collectors do not accept."""
    received: list[dict[str, list[dict[str, object]]]] = []

    async def collect(request: web.Request) -> web.Response:
        received.append(await request.json())
        return web.Response(status=200 if len(received) == 1 else 500)

    async def main() -> str:
        app = web.Application()
        app.router.add_post("/v1/traces", collect)
        runner = web.AppRunner(app)
        await runner.setup()
        await web.TCPSite(runner, "127.0.0.1", 0).start()
        url = f"http://127.0.0.1:{runner.addresses[0][1]}/v1/traces"
        tracing, lines = tracing_with(1), io.StringIO()
        exporter = SpanExporter(tracing.queue, EventLog(stream=lines), url)
        for _ in range(2):
            tracing.start(HopName.INGRESS, SAMPLED).end()
            await exporter.export()
        await runner.cleanup()
        tracing.start(HopName.INGRESS, SAMPLED).end()
        await exporter.export()
        return lines.getvalue()

    failures = [json.loads(line) for line in asyncio.run(main()).splitlines()]
    assert failures[0]["reason"] == "status 500"
    assert "ClientConnectorError" in failures[1]["reason"]
    (resource,) = received[0]["resourceSpans"]
    assert resource["resource"] == {
        "attributes": [{"key": "instance", "value": {"stringValue": "a-1"}}]
    }
    assert SAMPLED[3:35] in json.dumps(resource["scopeSpans"])
