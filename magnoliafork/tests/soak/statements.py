"""Finds requests that a server got in spite of what it had stated.

A node is bound by a statement that it has passed on to a caller. A restart or a
pause of the node excuses it.
"""

import bisect
import dataclasses
from collections.abc import Iterable, Mapping, Sequence

from magnoliafork.platform import names
from magnoliafork.tests.soak.callers import KeepAliveRequest
from magnoliafork.tests.soak.fleet import Machine
from magnoliafork.tests.soak.losses import FaultSpan

# A leaving server gets no request that a caller sent later than this after the
# node has passed the statement on: the drain timeout.
DRAIN_TIMEOUT_S = 2.0
# A limit is checked from this time after the server has first stated it.
LIMIT_SETTLE_S = 3.0
# A node is bound by a limit this long after it has passed one on.
TOLD_S = 0.5
WINDOW_S = 4.0
LIMIT_FACTOR = 1.5
LIMIT_SLACK = 5


@dataclasses.dataclass(frozen=True, slots=True)
class Told:
    """An answer with a statement, as a caller got it.

    Attributes:
        host: Machine of the node that passed it on.
        server: Start of the server that stated it.
        at_s: When the caller had it, loop time.
    """

    host: str
    server: str
    at_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Arrival:
    """A request at a server.

    Attributes:
        host: Machine at whose node it entered the mesh.
        server: Start of the server.
        sent_s: When the caller sent it, loop time.
        at_s: When the server got it, loop time.
    """

    host: str
    server: str
    sent_s: float
    at_s: float


@dataclasses.dataclass(slots=True)
class LimitSpan:
    """A time in which a server states a limit, loop time."""

    server: str
    limit_per_s: float
    begin_s: float
    end_s: float


class StatementRecord:
    """What callers sent and were told in a run.

    Attributes:
        limits: Times in which servers stated limits.
        restarts: Restarts and pauses of nodes.
    """

    def __init__(self) -> None:
        """Creates an empty record."""
        self.limits: list[LimitSpan] = []
        self.restarts: list[FaultSpan] = []
        # Node and time of each request, by attempt id.
        self._sent: dict[str, tuple[str, float]] = {}
        self._told_limits: list[Told] = []
        self._told_leaving: list[Told] = []

    def record_sent(self, attempt_id: str, host: str, at_s: float) -> None:
        """Records a request that a caller sends to the node of a machine."""
        self._sent[attempt_id] = (host, at_s)

    def record_answer(
        self, host: str, headers: Mapping[str, str], at_s: float
    ) -> None:
        """Records the statements in an answer that a node has passed on."""
        if names.SEAL not in headers:
            return
        told = Told(host, headers[names.SEAL], at_s)
        if names.SERVER_LIMIT in headers:
            self._told_limits.append(told)
        if names.SERVER_LEAVING in headers:
            self._told_leaving.append(told)

    def violations(
        self,
        machines: Iterable[Machine],
        keep_alive_requests: Iterable[KeepAliveRequest],
    ) -> list[str]:
        """Returns descriptions of what servers got against their statements."""
        sent = dict(self._sent)
        for request in keep_alive_requests:
            if request.sent_s is not None:
                sent[request.attempt_id] = (request.host, request.sent_s)
        requests: list[Arrival] = []
        checks: list[Arrival] = []
        for machine in machines:
            server = machine.server
            for attempt_id, starts, at_s in server.arrivals:
                seal = server.seal_of(starts)
                if attempt_id in sent:
                    host, sent_s = sent[attempt_id]
                    requests.append(Arrival(host, seal, sent_s, at_s))
                elif not attempt_id:
                    checks.append(Arrival(machine.host, seal, at_s, at_s))
        return [
            *find_late_requests(requests, self._told_leaving, self.restarts),
            *find_exceeded_limits(
                [*requests, *checks],
                self._told_limits,
                self.limits,
                self.restarts,
            ),
        ]


def find_late_requests(
    arrivals: Iterable[Arrival],
    told: Sequence[Told],
    excuses: Sequence[FaultSpan],
) -> list[str]:
    """Returns descriptions of the requests that a leaving server still got."""
    found = []
    for arrival in arrivals:
        for statement in told:
            late_s = arrival.sent_s - statement.at_s
            if (
                (arrival.host, arrival.server)
                == (statement.host, statement.server)
                and late_s > DRAIN_TIMEOUT_S
                and not _is_excused(
                    arrival.host, statement.at_s, arrival.at_s, excuses
                )
            ):
                found.append(
                    f"{arrival.server} got a request from {arrival.host}"
                    f" {late_s:.2f} s after that node knew that it leaves"
                )
                break
    return found


def find_exceeded_limits(
    arrivals: Iterable[Arrival],
    told: Sequence[Told],
    limits: Iterable[LimitSpan],
    excuses: Sequence[FaultSpan],
) -> list[str]:
    """Returns descriptions of the limits that were exceeded."""
    known = list(arrivals)
    found = []
    for limit in limits:
        bound = LIMIT_FACTOR * limit.limit_per_s * WINDOW_S + LIMIT_SLACK
        arrivals_s = sorted(
            arrival.at_s
            for arrival in known
            if arrival.server == limit.server
            and limit.begin_s + LIMIT_SETTLE_S <= arrival.at_s <= limit.end_s
            and _is_bound(arrival, told)
            and not _is_excused(
                arrival.host, arrival.at_s - WINDOW_S, arrival.at_s, excuses
            )
        )
        most = max(
            (
                bisect.bisect_left(arrivals_s, start_s + WINDOW_S) - index
                for index, start_s in enumerate(arrivals_s)
            ),
            default=0,
        )
        if most > bound:
            found.append(
                f"{limit.server} got {most} requests in {WINDOW_S} s"
                f" where {bound:.0f} are allowed"
            )
    return found


def _is_bound(arrival: Arrival, told: Iterable[Told]) -> bool:
    return any(
        (statement.host, statement.server) == (arrival.host, arrival.server)
        and statement.at_s <= arrival.at_s - TOLD_S
        for statement in told
    )


def _is_excused(
    host: str, begin_s: float, end_s: float, excuses: Iterable[FaultSpan]
) -> bool:
    return any(
        span.host == host and span.begin_s <= end_s and span.end_s >= begin_s
        for span in excuses
    )
