"""Sender side: finds an upstream for a caller's request and tries others."""

import asyncio
import collections
import dataclasses
import random
from collections.abc import Callable

from magnoliafork.balance.retry import RetryBudget
from magnoliafork.mesh.model import MeshConfig, MeshRoute, UpstreamEntry
from magnoliafork.mesh.routes import RouteIndex, WeightedSplit
from magnoliafork.mesh.upstream_selector import RequestProfile, UpstreamSelector
from magnoliafork.mesh.upstream_table import UpstreamTable
from magnoliafork.mesh.view import MeshView
from magnoliafork.mesh.work_queue import bounded_retry_after_s
from magnoliafork.model.request import (
    Answered,
    Headers,
    NotRun,
    NotRunReason,
    Outcome,
    OutcomeUnknown,
    UnknownReason,
)
from magnoliafork.observe.events import Event
from magnoliafork.observe.logs import EventLog
from magnoliafork.proxy.attempt import Attempts, CallState, Moved
from magnoliafork.wire import messages
from magnoliafork.wire.api import PeerCalls

# Instances asked for one request; a refusal by a node costs one round trip.
MAX_ASKED = 4
# Share of the target latency after which a refused request is given back to
# its caller, which may do better than wait in another queue.
ASKING_SHARE = 0.6
# Time beyond the deadline in which a verdict of the receiver may arrive.
VERDICT_S = 0.12
# Share of the target latency, and of the expected time, after which a
# repeatable request is sent to a second upstream.
HEDGE_TARGET_SHARE = 0.6
HEDGE_WORK_FACTOR = 2.5
# A second attempt with less time than this share of the expected work left
# cannot be answered.
MIN_WORK_SHARE = 0.5
NO_INSTANCE_RETRY_MS = 400
# Share of the fleet's budget that this node counts on. Retries of calls
# that a repeated run makes count as well, so that half is left to them.
BUDGET_SHARE = 0.5
_SERVER_ERROR = 500
# Refusals of the upstream itself; the request has reached it.
_REACHED = frozenset({NotRunReason.UPSTREAM_REFUSED})


@dataclasses.dataclass(frozen=True, slots=True)
class MeshRequest:
    """A caller's request.

    Attributes:
        request_id: Id for logs and peers.
        method: Request method.
        host: Value of the `Host` header.
        target: Path and query as the caller sent them.
        headers: Headers that go on to the upstream.
        body: Whole body.
        remaining_s: How long the caller waits, or None if it does not say.
    """

    request_id: str
    method: str
    host: str
    target: str
    headers: Headers
    body: bytes
    remaining_s: float | None


class CallerPatience:
    """Tells how long a caller has been trying already.

    Callers of a route wait equally long at first and say what is left with
    each attempt, so that the longest time seen is that of a first attempt.
    """

    def __init__(self) -> None:
        """Starts without values."""
        self._longest_s: dict[str, float] = {}

    def age_s(self, route: MeshRoute, request: MeshRequest) -> float:
        """Returns the time since the caller's first attempt."""
        if request.remaining_s is None:
            return 0.0
        longest_s = self._longest_s.get(route.name, 0.0)
        if request.remaining_s >= longest_s:
            self._longest_s[route.name] = request.remaining_s
            return 0.0
        return longest_s - request.remaining_s

    def retain(self, config: MeshConfig) -> None:
        """Drops the values of routes that no longer exist."""
        names = {route.name for route in config.routes}
        for name in list(self._longest_s):
            if name not in names:
                del self._longest_s[name]


@dataclasses.dataclass(frozen=True, slots=True)
class RetryLimits:
    """Bounds of the fleet's extra attempts.

    Attributes:
        ratio: Extra attempts for each request.
        slack: Extra attempts of the fleet in a window.
        window_s: Length of that window.
    """

    ratio: float
    slack: float
    window_s: float


@dataclasses.dataclass(slots=True)
class SenderCounters:
    """Counts since the start.

    Attributes:
        requests: Requests of callers.
        in_flight: Requests without an outcome.
        answered: Requests with an upstream's answer.
        not_run_by: Refused requests by reason.
        unknown_by: Requests with an unknown outcome by reason.
        retries: Attempts after the first.
        hedges: Second attempts beside a slow first one.
        budget_denied: Attempts that the budget did not allow.
    """

    requests: int = 0
    in_flight: int = 0
    answered: int = 0
    not_run_by: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    unknown_by: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    retries: int = 0
    hedges: int = 0
    budget_denied: int = 0


@dataclasses.dataclass(slots=True)
class _Run:
    """A request while the sender works on it."""

    request: MeshRequest
    route: MeshRoute
    service: str
    state: CallState
    profile: RequestProfile
    started_s: float
    tried: dict[str, str] = dataclasses.field(default_factory=dict)
    reached: int = 0
    retry_after_ms: int = 0
    unknown: OutcomeUnknown | None = None
    answered: Answered | None = None


class MeshSender:
    """Handles the requests of callers on this machine."""

    def __init__(
        self,
        own_zone: str,
        view: MeshView,
        table: UpstreamTable,
        peers: PeerCalls,
        limits: RetryLimits,
        rng: random.Random,
        clock: Callable[[], float],
        log: EventLog,
        record_latency: Callable[[str, float], None],
    ) -> None:
        """Creates a sender in a zone.

        Args:
            own_zone: Availability zone of this node.
            view: Published state.
            table: Upstreams that may get work.
            peers: Connections to other nodes.
            limits: Bounds of the fleet's extra attempts.
            rng: Source of random choices; seeded in tests.
            clock: Time in seconds; the loop's clock.
            log: Receives the events.
            record_latency: Takes a service and the seconds until its answer.
        """
        self._view = view
        self._table = table
        self._limits = limits
        self._clock = clock
        self._log = log
        self._record_latency = record_latency
        self.selector = UpstreamSelector(own_zone, rng, clock)
        self._attempts = Attempts(peers, self.selector, clock)
        self._split = WeightedSplit(rng)
        self._patience = CallerPatience()
        self._index: RouteIndex | None = None
        self._budgets: dict[str, RetryBudget] = {}
        self._candidates: dict[str, tuple[UpstreamEntry, ...]] = {}
        self._candidates_at = -1
        self.counters = SenderCounters()

    async def handle(self, request: MeshRequest) -> Outcome:
        """Runs a request and returns its only outcome.

        Cancelling gives the request up: what waits is dropped, and what may
        be repeated is stopped at the upstream.
        """
        self.counters.requests += 1
        self.counters.in_flight += 1
        try:
            outcome = await self._handle(request)
            self._count(outcome)
            return outcome
        finally:
            self.counters.in_flight -= 1

    async def _handle(self, request: MeshRequest) -> Outcome:
        config = self._view.config
        if config is None:
            return NotRun(NotRunReason.NOT_READY, NO_INSTANCE_RETRY_MS)
        if self._index is None or self._index.config is not config:
            self._index = RouteIndex(config)
            self._split.retain(config)
            self._patience.retain(config)
        path = request.target.partition("?")[0]
        route = self._index.match(request.host, path)
        if route is None:
            return NotRun(NotRunReason.NO_ROUTE)
        run = self._new_run(request, route)
        deadline_s = run.state.deadline_s
        try:
            async with asyncio.timeout_at(deadline_s + VERDICT_S):
                outcome = await self._run(run)
        except TimeoutError:
            outcome = self._at_deadline(run)
        self._note_outcome(run, outcome)
        return outcome

    def _new_run(self, request: MeshRequest, route: MeshRoute) -> _Run:
        service = self._split.pick(route)
        timeout_s = route.timeout_s
        if request.remaining_s is not None:
            timeout_s = min(timeout_s, request.remaining_s)
        kind = int(route.target_latency_s * 1000)
        template = messages.CallRequest(
            stream_id=0,
            request_id=request.request_id,
            service_name=service,
            method=request.method,
            path=request.target,
            header_names=tuple([name for name, _ in request.headers]),
            header_values=tuple([value for _, value in request.headers]),
            body=request.body,
            repeatable=route.is_repeatable,
            priority=route.priority,
            traceparent="",
            remaining_ms=0,
            is_keyed=False,
            is_first_attempt=False,
            target_latency_ms=kind,
            age_ms=int(self._patience.age_s(route, request) * 1000),
        )
        size = self.selector.expected_bytes(kind, len(request.body))
        return _Run(
            request,
            route,
            service,
            CallState(template, self._clock() + timeout_s),
            RequestProfile(kind, route.target_latency_s, size),
            self._clock(),
        )

    async def _run(self, run: _Run) -> Outcome:
        """Tries upstreams until one attempt gives the outcome."""
        self._budget(run.service).add_request()
        last = NotRun(NotRunReason.NO_INSTANCE, NO_INSTANCE_RETRY_MS)
        for asked in range(MAX_ASKED):
            entry = self._choose(run)
            if entry is None:
                break
            if asked:
                if run.reached and not self._may_repeat(run, entry):
                    break
                self.counters.retries += 1
                self._log.info(
                    Event.REQUEST_RETRIED,
                    request_id=run.request.request_id,
                    upstream=entry.upstream_id,
                    reached=run.reached,
                )
            result = await self._attempt(run, entry)
            if isinstance(result, Answered):
                if not self._is_worth_repeating(run, result):
                    return result
                run.answered = result
            elif isinstance(result, OutcomeUnknown):
                run.unknown = result
                if not run.route.is_repeatable:
                    return result
            else:
                last = self._note_refusal(run, result)
                if last.reason is NotRunReason.DEADLINE:
                    break
                if self._clock() - run.started_s > (
                    run.route.target_latency_s * ASKING_SHARE
                ):
                    break
        return self._final(run, last)

    def _is_worth_repeating(self, run: _Run, answer: Answered) -> bool:
        return (
            answer.status >= _SERVER_ERROR
            and run.route.is_repeatable
            and run.reached < run.route.max_attempts
            and self._clock() < run.state.deadline_s
        )

    def _note_refusal(self, run: _Run, result: NotRun | Moved) -> NotRun:
        if isinstance(result, Moved):
            return NotRun(NotRunReason.MOVED, NO_INSTANCE_RETRY_MS)
        if run.retry_after_ms == 0:
            run.retry_after_ms = result.retry_after_ms
        else:
            run.retry_after_ms = min(run.retry_after_ms, result.retry_after_ms)
        return result

    def _final(self, run: _Run, last: NotRun) -> Outcome:
        if run.answered is not None:
            return run.answered
        if run.unknown is not None:
            return run.unknown
        retry_ms = run.retry_after_ms or last.retry_after_ms
        retry_s = bounded_retry_after_s(retry_ms / 1000)
        return NotRun(last.reason, int(retry_s * 1000))

    def _at_deadline(self, run: _Run) -> Outcome:
        if run.answered is not None:
            return run.answered
        if run.state.has_reached or run.reached or run.route.is_repeatable:
            return OutcomeUnknown(UnknownReason.UPSTREAM_TIMEOUT)
        return OutcomeUnknown(UnknownReason.NO_REPLY)

    def _choose(self, run: _Run) -> UpstreamEntry | None:
        entries = self._upstreams(run.service)
        entry = self.selector.choose(entries, run.tried, run.profile)
        if entry is not None:
            run.tried[entry.host] = entry.upstream_id
        return entry

    def _upstreams(self, service: str) -> tuple[UpstreamEntry, ...]:
        if self._candidates_at != self._table.change_count:
            self._candidates.clear()
            self._candidates_at = self._table.change_count
        found = self._candidates.get(service)
        if found is None:
            found = self._table.of_service(service)
            self._candidates[service] = found
        return found

    def _may_repeat(self, run: _Run, entry: UpstreamEntry) -> bool:
        """Tells whether a request that reached an upstream may go on."""
        if run.reached >= run.route.max_attempts:
            return False
        now_s = self._clock()
        expected_s = self.selector.expected_s(entry, run.profile, now_s)
        if run.state.deadline_s - now_s < expected_s * MIN_WORK_SHARE:
            return False
        return self._take_token(run.service)

    def _budget(self, service: str) -> RetryBudget:
        budget = self._budgets.get(service)
        if budget is None:
            limits = self._limits
            nodes = max(1, len(self._view.upstreams))
            per_s = limits.slack * BUDGET_SHARE / limits.window_s / nodes
            budget = RetryBudget(
                self._clock(),
                ratio=limits.ratio * BUDGET_SHARE,
                per_s=per_s,
                cap=max(1.0, per_s * limits.window_s / 2),
            )
            self._budgets[service] = budget
        return budget

    def _take_token(self, service: str) -> bool:
        if self._budget(service).take(self._clock()):
            return True
        self.counters.budget_denied += 1
        return False

    # Attempts.

    async def _attempt(
        self, run: _Run, entry: UpstreamEntry
    ) -> Outcome | Moved:
        if not run.route.is_repeatable or run.route.max_attempts <= (
            run.reached + 1
        ):
            return await self._single(run, entry)
        first = asyncio.create_task(self._single(run, entry))
        tasks = [first]
        try:
            delay_s = self._hedge_delay_s(run, entry)
            done, _ = await asyncio.wait(tasks, timeout=delay_s)
            if not done:
                second = self._start_hedge(run)
                if second is not None:
                    tasks.append(second)
            result = await _best(tasks)
            if isinstance(result, Answered) and not first.done():
                self._attempts.lost_to_hedge(run.state, entry.host, 1)
            return result
        finally:
            for task in tasks:
                task.cancel()

    def _hedge_delay_s(self, run: _Run, entry: UpstreamEntry) -> float:
        expected_s = self.selector.expected_s(entry, run.profile, self._clock())
        return max(
            run.route.target_latency_s * HEDGE_TARGET_SHARE,
            expected_s * HEDGE_WORK_FACTOR,
        )

    def _start_hedge(self, run: _Run) -> asyncio.Task[Outcome | Moved] | None:
        entry = self._choose(run)
        if entry is None:
            return None
        now_s = self._clock()
        expected_s = self.selector.expected_s(entry, run.profile, now_s)
        if now_s + expected_s > run.state.deadline_s:
            return None
        if not self._take_token(run.service):
            return None
        self.counters.hedges += 1
        return asyncio.create_task(self._single(run, entry))

    async def _single(self, run: _Run, entry: UpstreamEntry) -> Outcome | Moved:
        run.reached += 1
        state = CallState(
            dataclasses.replace(
                run.state.template, upstream_id=entry.upstream_id
            ),
            run.state.deadline_s,
        )
        result = await self._attempts.run(state, entry.host, 1)
        run.state.has_reached = run.state.has_reached or state.has_reached
        if isinstance(result, Moved) or (
            isinstance(result, NotRun) and result.reason not in _REACHED
        ):
            run.reached -= 1
        return result

    # Records.

    def _count(self, outcome: Outcome) -> None:
        if isinstance(outcome, Answered):
            self.counters.answered += 1
        elif isinstance(outcome, NotRun):
            self.counters.not_run_by[outcome.reason.value] += 1
        else:
            self.counters.unknown_by[outcome.reason.value] += 1

    def _note_outcome(self, run: _Run, outcome: Outcome) -> None:
        if isinstance(outcome, Answered):
            self._record_latency(run.service, self._clock() - run.started_s)
            return
        event = Event.REQUEST_FAILED
        if isinstance(outcome, NotRun):
            event = Event.REQUEST_REFUSED
        config = self._view.config
        self._log.info(
            event,
            request_id=run.request.request_id,
            route=run.route.name,
            service=run.service,
            reason=outcome.reason.value,
            tried=sorted(run.tried.values()),
            reached=run.reached,
            config_version=config.version if config else 0,
            view_revision=self._view.revision,
            left_ms=int((run.state.deadline_s - self._clock()) * 1000),
        )


async def _best(
    tasks: list[asyncio.Task[Outcome | Moved]],
) -> Outcome | Moved:
    """Returns the first good answer, else the last result that tells most."""
    kept: Outcome | Moved | None = None
    for next_done in asyncio.as_completed(tasks):
        result = await next_done
        if isinstance(result, Answered) and result.status < _SERVER_ERROR:
            return result
        if kept is None or not isinstance(result, (NotRun, Moved)):
            kept = result
    if kept is None:
        raise AssertionError("no attempt was started")
    return kept
