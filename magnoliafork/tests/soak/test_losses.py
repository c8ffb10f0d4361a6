"""The check for lost requests, on requests that the tests construct."""

import asyncio

import pytest

from magnoliafork.tests.platform.standins import ServerStandIn
from magnoliafork.tests.soak.callers import KeepAliveRequest
from magnoliafork.tests.soak.fleet import Machine
from magnoliafork.tests.soak.losses import FaultSpan, find_losses
from magnoliafork.tests.soak.proxy import LinkProxy

STOP_S = 100.0
TIMEOUT_S = 8.0


def losses(
    sent_s: float,
    ended_s: float,
    work_s: tuple[float, float] | None = None,
    status: int = 0,
    spans: tuple[FaultSpan, ...] = (),
    count: int = 1,
    timeout_s: float = TIMEOUT_S,
) -> int:
    """Returns the number of losses found; times are from SIGTERM."""

    async def new_server() -> ServerStandIn:
        return ServerStandIn("h", "i")

    # It can be created only in a running loop.
    server = asyncio.run(new_server())
    machine = Machine("h", "x", "z", server, LinkProxy("h", "n", 1))
    machine.stops_s.append(STOP_S)
    requests = []
    for number in range(count):
        if work_s is not None:
            begin_s, end_s = work_s
            span_s = (STOP_S + begin_s, STOP_S + end_s)
            server.work_spans_s[f"r{number}"] = span_s
        request = KeepAliveRequest("h", f"r{number}", "GET", status=status)
        request.sent_s = STOP_S + sent_s
        request.ended_s = STOP_S + ended_s
        requests.append(request)
    return len(find_losses(requests, [machine], spans, timeout_s))


@pytest.mark.parametrize(
    ("sent_s", "ended_s", "work_s"),
    [
        (5.0, 5.3, None),
        (1.0, 1.1, (1.0, 1.5)),
        # Accepted after the first half of the grace period.
        (3.1, 5.4, (3.1, 7.0)),
        # The server had ended before the last sixth.
        (2.0, 5.4, (2.0, 4.9)),
    ],
)
def test_cut_request_is_a_loss(
    sent_s: float, ended_s: float, work_s: tuple[float, float] | None
) -> None:
    """Guards against a soak that passes although a stop cuts requests."""
    assert losses(sent_s, ended_s, work_s) == 1


@pytest.mark.parametrize(
    ("sent_s", "ended_s", "work_s"),
    [
        # Crossed the end of the connection.
        (5.0, 5.1, None),
        # The server was still at work in the last sixth.
        (2.9, 5.4, (2.9, 5.1)),
        # The time budget was over.
        (-4.0, 4.1, (-4.0, 4.5)),
    ],
)
def test_excused_request_is_no_loss(
    sent_s: float, ended_s: float, work_s: tuple[float, float] | None
) -> None:
    """Guards against a soak that fails on cuts that no node can avoid."""
    assert losses(sent_s, ended_s, work_s) == 0


def test_own_answer_in_place_of_a_server_at_work_is_a_loss() -> None:
    """Guards against a soak that passes although a stop drops an answer."""
    assert losses(1.0, 2.0, (1.0, 3.0), status=502) == 1
    assert losses(1.0, 2.0, (1.0, 1.5), status=502) == 0


def test_answer_504_is_a_loss_only_before_the_timeout_of_the_route() -> None:
    """The check reported requests whose route had timed out during a stop."""
    work_s = (-0.5, 3.2)
    assert losses(-0.5, 1.6, work_s, status=504, timeout_s=2.0) == 0
    assert losses(-0.5, 1.4, work_s, status=504, timeout_s=2.0) == 1
    assert losses(-0.5, 1.6, work_s, status=502, timeout_s=2.0) == 1
    assert losses(-0.5, 1.6, work_s, status=0, timeout_s=2.0) == 1


def test_other_fault_excuses_up_to_three_cut_requests() -> None:
    """Guards against one fault that hides many cuts on another machine."""
    other = FaultSpan("other", STOP_S, STOP_S + 1.0)
    own = FaultSpan("h", STOP_S, STOP_S + 1.0)
    assert losses(1.0, 1.1, (1.0, 1.5), spans=(other,), count=3) == 0
    assert losses(1.0, 1.1, (1.0, 1.5), spans=(other,), count=4) == 1
    assert losses(1.0, 1.1, (1.0, 1.5), spans=(other, own), count=4) == 0
