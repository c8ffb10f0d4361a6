"""The check for requests of kept connections that were cut."""

import collections
import dataclasses
import math
from collections.abc import Sequence

from magnoliafork.tests.soak.callers import DEADLINE_S, KeptRequest
from magnoliafork.tests.soak.fleet import GRACE_PERIOD_S, Machine

# Time without an unplanned fault before a request.
CALM_S = 3.0
# A request whose connection ends so soon may have crossed the end.
LOSS_SLACK_S = 0.2
# Work in the last part of the grace period is excused for requests that were
# sent in the first part of it.
LATE_WORK_S = GRACE_PERIOD_S * 5 / 6
EXCUSED_SENT_S = 3.0
# Planned work lasts so long after the grace period.
AFTER_GRACE_S = 1.0
MAX_CUT_REQUESTS = 3
TIMEOUT_STATUS = 504


@dataclasses.dataclass
class FaultSpan:
    """Time of a fault on a machine, loop time."""

    host: str
    begin_s: float
    end_s: float = math.inf
    is_planned: bool = False

    def touches(self, request: KeptRequest) -> bool:
        """Whether a request was not in calm because of this fault."""
        sent_s = request.sent_s or request.ended_s
        return self.begin_s <= request.ended_s and self.end_s > sent_s - CALM_S


def find_losses(
    requests: Sequence[KeptRequest],
    machines: Sequence[Machine],
    spans: Sequence[FaultSpan],
    timeout_s: float,
) -> list[str]:
    """Returns the requests that were lost, in words.

    Args:
        requests: Requests on kept connections.
        machines: All machines.
        spans: All faults.
        timeout_s: Timeout of the routes.
    """
    losses: list[str] = []
    passed_on: collections.Counter[str] = collections.Counter()
    hosts = {machine.host: machine for machine in machines}
    for request in requests:
        work = [
            machine.server.work_spans_s[request.attempt_id]
            for machine in machines
            if request.attempt_id in machine.server.work_spans_s
        ]
        stops_s = hosts[request.host].stops_s
        if not _is_lost(request, work, stops_s, timeout_s):
            continue
        touching = [span for span in spans if span.touches(request)]
        if all(span.is_planned for span in touching):
            losses.append(_describe(request, work, stops_s))
        if work and all(span.host != request.host for span in touching):
            passed_on[request.host] += not request.status
    losses += [
        f"{host} cut {count} requests that it had passed on"
        for host, count in passed_on.items()
        if count > MAX_CUT_REQUESTS
    ]
    return losses


def _is_lost(
    request: KeptRequest,
    work: Sequence[tuple[float, float]],
    stops_s: Sequence[float],
    timeout_s: float,
) -> bool:
    sent_s = request.sent_s
    if sent_s is not None and request.ended_s > sent_s + DEADLINE_S:
        return False
    for stop_s in stops_s:
        is_late = any(
            begin_s < stop_s + GRACE_PERIOD_S and end_s > stop_s + LATE_WORK_S
            for begin_s, end_s in work
        )
        if is_late and sent_s and sent_s < stop_s + EXCUSED_SENT_S:
            return False
    if request.status:
        return _is_broken_off(request, work, stops_s, timeout_s)
    has_waited = sent_s is not None and request.ended_s > sent_s + LOSS_SLACK_S
    return bool(work) or has_waited


def _is_broken_off(
    request: KeptRequest,
    work: Sequence[tuple[float, float]],
    stops_s: Sequence[float],
    timeout_s: float,
) -> bool:
    """Whether a stopping node answered in place of a server at work."""
    sent_s = request.sent_s
    is_timed_out = sent_s is not None and request.ended_s > sent_s + timeout_s
    if request.status == TIMEOUT_STATUS and is_timed_out:
        return False
    if request.is_sealed or not any(
        stop_s < request.ended_s < stop_s + GRACE_PERIOD_S + AFTER_GRACE_S
        for stop_s in stops_s
    ):
        return False
    return any(begin_s < request.ended_s < end_s for begin_s, end_s in work)


def _describe(
    request: KeptRequest,
    work: Sequence[tuple[float, float]],
    stops_s: Sequence[float],
) -> str:
    before_s = [stop_s for stop_s in stops_s if stop_s < request.ended_s]
    zero_s = before_s[-1] if before_s else request.ended_s
    sent = "not whole"
    if request.sent_s is not None:
        sent = f"{request.sent_s - zero_s:+.3f} s"
    works = [f"{b - zero_s:+.3f} to {e - zero_s:+.3f} s" for b, e in work]
    end = request.end or f"own answer {request.status}"
    return (
        f"{request.method} {request.attempt_id} at {request.host} lost:"
        f" {end} at {request.ended_s - zero_s:+.3f} s, sent {sent}"
        f" from SIGTERM, {request.received_bytes} of"
        f" {request.slow_bytes or 'few'} bytes came,"
        f" work {', '.join(works) or 'none'}"
    )
