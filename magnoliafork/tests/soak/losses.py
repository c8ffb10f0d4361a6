"""Finds requests on keep-alive connections that a node lost."""

import collections
import dataclasses
import math
from collections.abc import Sequence

from magnoliafork.tests.soak.callers import DEADLINE_S, KeepAliveRequest
from magnoliafork.tests.soak.fleet import GRACE_PERIOD_S, Machine

# A fault may affect requests sent up to this long after its end.
FAULT_EFFECT_S = 3.0
# A request whose connection ends within this time after it was sent may have
# crossed the close.
CLOSE_CROSSING_S = 0.2
# Work in the last part of the grace period is excused for requests that were
# sent in the first part of it.
LATE_WORK_S = GRACE_PERIOD_S * 5 / 6
EXCUSED_SENT_S = 3.0
# Time after the grace period in which an answer may still be due to the stop.
AFTER_GRACE_S = 1.0
# Cuts of forwarded requests that faults on other machines excuse, per node.
MAX_EXCUSED_CUTS = 3
TIMEOUT_STATUS = 504


@dataclasses.dataclass
class FaultSpan:
    """Begin and end of a fault on a machine, loop time."""

    host: str
    begin_s: float
    end_s: float = math.inf
    is_planned: bool = False

    def overlaps(self, request: KeepAliveRequest) -> bool:
        """Whether this fault may have affected a request."""
        sent_s = request.sent_s or request.ended_s
        return (
            self.begin_s <= request.ended_s
            and self.end_s > sent_s - FAULT_EFFECT_S
        )


def find_losses(
    requests: Sequence[KeepAliveRequest],
    machines: Sequence[Machine],
    spans: Sequence[FaultSpan],
    timeout_s: float,
) -> list[str]:
    """Returns descriptions of the lost requests.

    Args:
        requests: Requests on keep-alive connections.
        machines: All machines.
        spans: All faults.
        timeout_s: Timeout of the routes.
    """
    losses: list[str] = []
    forwarded_cuts: collections.Counter[str] = collections.Counter()
    machines_by_host = {machine.host: machine for machine in machines}
    for request in requests:
        work_spans_s = [
            machine.server.work_spans_s[request.attempt_id]
            for machine in machines
            if request.attempt_id in machine.server.work_spans_s
        ]
        stops_s = machines_by_host[request.host].stops_s
        if not _is_lost(request, work_spans_s, stops_s, timeout_s):
            continue
        overlapping = [span for span in spans if span.overlaps(request)]
        if all(span.is_planned for span in overlapping):
            losses.append(_describe(request, work_spans_s, stops_s))
        if work_spans_s and all(
            span.host != request.host for span in overlapping
        ):
            forwarded_cuts[request.host] += not request.status
    losses += [
        f"{host} cut {count} requests that it had forwarded"
        for host, count in forwarded_cuts.items()
        if count > MAX_EXCUSED_CUTS
    ]
    return losses


def _is_lost(
    request: KeepAliveRequest,
    work_spans_s: Sequence[tuple[float, float]],
    stops_s: Sequence[float],
    timeout_s: float,
) -> bool:
    sent_s = request.sent_s
    if sent_s is not None and request.ended_s > sent_s + DEADLINE_S:
        return False
    for stop_s in stops_s:
        is_late = any(
            begin_s < stop_s + GRACE_PERIOD_S and end_s > stop_s + LATE_WORK_S
            for begin_s, end_s in work_spans_s
        )
        if is_late and sent_s and sent_s < stop_s + EXCUSED_SENT_S:
            return False
    if request.status:
        return _is_answered_too_early(request, work_spans_s, stops_s, timeout_s)
    has_waited = (
        sent_s is not None and request.ended_s > sent_s + CLOSE_CROSSING_S
    )
    return bool(work_spans_s) or has_waited


def _is_answered_too_early(
    request: KeepAliveRequest,
    work_spans_s: Sequence[tuple[float, float]],
    stops_s: Sequence[float],
    timeout_s: float,
) -> bool:
    """Whether a stopping node answered while the server was still working."""
    sent_s = request.sent_s
    is_timed_out = sent_s is not None and request.ended_s > sent_s + timeout_s
    if request.status == TIMEOUT_STATUS and is_timed_out:
        return False
    if request.is_sealed or not any(
        stop_s < request.ended_s < stop_s + GRACE_PERIOD_S + AFTER_GRACE_S
        for stop_s in stops_s
    ):
        return False
    return any(
        begin_s < request.ended_s < end_s for begin_s, end_s in work_spans_s
    )


def _describe(
    request: KeepAliveRequest,
    work_spans_s: Sequence[tuple[float, float]],
    stops_s: Sequence[float],
) -> str:
    before_s = [stop_s for stop_s in stops_s if stop_s < request.ended_s]
    reference_s = before_s[-1] if before_s else request.ended_s
    sent_text = "not whole"
    if request.sent_s is not None:
        sent_text = f"{request.sent_s - reference_s:+.3f} s"
    work_texts = [
        f"{b - reference_s:+.3f} to {e - reference_s:+.3f} s"
        for b, e in work_spans_s
    ]
    end = request.end or f"own answer {request.status}"
    return (
        f"{request.method} {request.attempt_id} at {request.host} lost:"
        f" {end} at {request.ended_s - reference_s:+.3f} s, sent {sent_text}"
        f" from SIGTERM, {request.received_bytes} of"
        f" {request.slow_bytes or 'few'} bytes received,"
        f" work {', '.join(work_texts) or 'none'}"
    )
