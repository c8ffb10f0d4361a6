"""Sender: routes callers' requests to instances and returns their outcomes."""

import asyncio
import collections
import dataclasses
import random
import time
from collections.abc import Callable

from magnoliafork.balance import rendezvous
from magnoliafork.balance.candidates import CandidateIndex, Candidates
from magnoliafork.balance.chooser import Chooser
from magnoliafork.balance.ejection import OutlierEjection
from magnoliafork.balance.load import LoadTable
from magnoliafork.balance.retry import AttemptState, RetryBudget, may_retry
from magnoliafork.model.request import (
    Answered,
    Headers,
    NotRun,
    NotRunReason,
    Outcome,
    OutcomeUnknown,
    UnknownReason,
)
from magnoliafork.model.rules import RouteRule, RuleSet, WeightedTarget
from magnoliafork.model.snapshot import Snapshot
from magnoliafork.model.view import MembershipView, SnapshotView
from magnoliafork.proxy.attempt import (
    AttemptCounters,
    AttemptResult,
    Attempts,
    CallState,
    LoadAndEjectionObserver,
    Moved,
)
from magnoliafork.proxy.routing import (
    REQUEST_ID_BITS,
    REQUEST_ID_DIGITS,
    RouteMatcher,
    key_fraction,
    keyed_request_id,
    pick_weighted,
)
from magnoliafork.wire import messages
from magnoliafork.wire.api import PeerCalls

MAX_REDIRECTS = 2
# Pause before an unreachable home is tried again.
HOME_RETRY_DELAY_S = 0.05

# These reasons hold at every instance, so that a retry cannot succeed.
_NOT_RETRYABLE_REASONS = frozenset(
    {
        NotRunReason.BAD_REQUEST,
        NotRunReason.BODY_TOO_LARGE,
        NotRunReason.DEADLINE,
        NotRunReason.KEY_REUSED,
        NotRunReason.NO_ROUTE,
    }
)


@dataclasses.dataclass(frozen=True, slots=True)
class IngressRequest:
    """A caller's request that the ingress has accepted.

    Attributes:
        method: HTTP method.
        host: Host name in lower case without a port.
        path: Path with its query string.
        headers: End-to-end headers.
        body: Whole body.
        deadline_ms: Caller's time limit, or None for that of the route.
        idempotency_key: Caller's key, or an empty string.
        is_first_attempt: Whether the caller says that it never sent this key
            before.
        traceparent: W3C trace context, or an empty string.
    """

    method: str
    host: str
    path: str
    headers: Headers = ()
    body: bytes = b""
    deadline_ms: int | None = None
    idempotency_key: str = ""
    is_first_attempt: bool = False
    traceparent: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class Handled:
    """An outcome and the request id that the caller gets with it."""

    request_id: str
    outcome: Outcome


@dataclasses.dataclass(slots=True)
class SenderCounters:
    """Counts of a sender since its start.

    Attributes:
        requests: Requests received from callers.
        answered: Requests with an answer.
        not_run: Requests that were certainly not run.
        unknown: Requests whose outcome is unknown.
        cancelled: Requests whose caller disconnected before the outcome.
        retries: Attempts after the first one, without hedges.
        hedges: Second copies of slow requests.
        budget_denied: Retries and hedges that the budget did not allow.
        redirects: Redirects of keyed requests to another home.
        in_flight: Requests without an outcome yet.
        not_run_by: Requests that were certainly not run, by reason.
        unknown_by: Requests whose outcome is unknown, by reason.
    """

    requests: int = 0
    answered: int = 0
    not_run: int = 0
    unknown: int = 0
    cancelled: int = 0
    retries: int = 0
    hedges: int = 0
    budget_denied: int = 0
    redirects: int = 0
    in_flight: int = 0
    not_run_by: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    unknown_by: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )


@dataclasses.dataclass(slots=True)
class _PendingRequest:
    """A request with its route, and the results of its attempts so far."""

    rule: RouteRule
    call: CallState
    retries_made: int = 0
    tried: set[str] = dataclasses.field(default_factory=set)
    unknown: OutcomeUnknown | None = None

    @property
    def service(self) -> str:
        return self.call.template.service_name

    @property
    def is_repeatable(self) -> bool:
        return self.call.template.repeatable


class Sender:
    """Sends callers' requests from one node to instances."""

    def __init__(
        self,
        snapshots: SnapshotView,
        membership: MembershipView,
        peers: PeerCalls,
        route_matcher: Callable[[RuleSet], RouteMatcher],
        *,
        own_zone: str,
        own_region: str,
        is_view_current: Callable[[], bool] = lambda: True,
        rng: random.Random | None = None,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        """Creates a sender.

        Args:
            snapshots: Configuration in force.
            membership: Instances of all services.
            peers: Connections to the other nodes.
            route_matcher: Creates the matcher of a rule set.
            own_zone: Availability zone of this node.
            own_region: Region of this node.
            is_view_current: False while the view of the instances is out of
                date, such as after a pause of the process.
            rng: Source of random choices; seeded in tests.
            clock: Time in seconds; the loop's clock.
        """
        self._snapshots = snapshots
        self._membership = membership
        self._route_matcher = route_matcher
        self._is_view_current = is_view_current
        self._rng = rng if rng is not None else random.Random()
        self._clock = clock
        self._load = LoadTable()
        self._ejection = OutlierEjection()
        self._index = CandidateIndex(membership, own_zone, own_region)
        self._chooser = Chooser(self._load, self._ejection, self._rng)
        self._attempts = Attempts(
            peers,
            LoadAndEjectionObserver(self._load, self._ejection, clock),
            clock,
        )
        self._budgets: dict[str, RetryBudget] = {}
        self._routes: RouteMatcher | None = None
        self._routes_snapshot: Snapshot | None = None
        self._is_stopping = False
        self._idle = asyncio.Event()
        self._idle.set()
        self._detached: set[asyncio.Task[Outcome]] = set()
        self.counters = SenderCounters()

    @property
    def attempt_counters(self) -> AttemptCounters:
        """Counts of single attempts."""
        return self._attempts.counters

    @property
    def ejections(self) -> int:
        """Number of ejections since the start."""
        return self._ejection.ejections

    async def handle(self, request: IngressRequest) -> Outcome:
        """Runs a caller's request and returns its outcome.

        Cancelling the task cancels a repeatable request up to the upstream.
        Any other request continues, so that a repeat with the same key gets
        its answer.
        """
        return (await self.handle_with_id(request)).outcome

    async def handle_with_id(self, request: IngressRequest) -> Handled:
        """Does the same as `handle` and returns the request id too."""
        self.counters.requests += 1
        prepared = self._check_and_route(request)
        if not isinstance(prepared, _PendingRequest):
            self._count(prepared)
            return Handled(self._new_request_id(), prepared)
        outcome = await self._run_tracked(prepared)
        return Handled(prepared.call.template.request_id, outcome)

    def begin_stop(self) -> None:
        """Refuses new requests as not run from now on."""
        self._is_stopping = True

    async def drained(self, timeout_s: float) -> int:
        """Waits until no request is in flight.

        Returns:
            The number of requests that are still in flight at the time limit.
        """
        try:
            async with asyncio.timeout(timeout_s):
                await self._idle.wait()
        except TimeoutError:
            pass
        return self.counters.in_flight

    def forget_unknown_instances(self) -> None:
        """Drops hints and ejections of instances that no longer exist."""

        def is_known(instance_id: str) -> bool:
            return self._membership.get(instance_id) is not None

        self._load.retain(is_known)
        self._ejection.retain(is_known)

    def _check_and_route(
        self, request: IngressRequest
    ) -> _PendingRequest | NotRun:
        snapshot = self._snapshots.current
        if self._is_stopping:
            return NotRun(NotRunReason.LEAVING)
        if snapshot is None:
            return NotRun(NotRunReason.NOT_READY)
        if not self._is_view_current():
            return NotRun(NotRunReason.STALE_VIEW)
        path = request.path.partition("?")[0]
        rule = self._matcher_of(snapshot).match(
            request.method, request.host, path
        )
        if rule is None:
            return NotRun(NotRunReason.NO_ROUTE)
        return self._new_pending(request, rule)

    def _matcher_of(self, snapshot: Snapshot) -> RouteMatcher:
        if self._routes is None or snapshot is not self._routes_snapshot:
            self._routes = self._route_matcher(snapshot.rules)
            self._routes_snapshot = snapshot
        return self._routes

    def _new_pending(
        self, request: IngressRequest, rule: RouteRule
    ) -> _PendingRequest:
        is_keyed = bool(request.idempotency_key)
        service = self._pick_target(rule.targets, request.idempotency_key)
        if is_keyed:
            request_id = keyed_request_id(service, request.idempotency_key)
        else:
            request_id = self._new_request_id()
        deadline_ms = rule.deadline_ms
        if request.deadline_ms is not None:
            deadline_ms = min(deadline_ms, request.deadline_ms)
        template = messages.CallRequest(
            stream_id=0,
            request_id=request_id,
            service_name=service,
            method=request.method,
            path=request.path,
            header_names=tuple([name for name, _ in request.headers]),
            header_values=tuple([value for _, value in request.headers]),
            body=request.body,
            # A key requires at most one run, also on a repeatable route.
            repeatable=rule.repeatable and not is_keyed,
            priority=int(rule.priority),
            traceparent=request.traceparent,
            remaining_ms=deadline_ms,
            is_keyed=is_keyed,
            is_first_attempt=is_keyed and request.is_first_attempt,
        )
        deadline_s = self._clock() + deadline_ms / 1000
        return _PendingRequest(rule, CallState(template, deadline_s))

    def _pick_target(
        self, targets: tuple[WeightedTarget, ...], key: str
    ) -> str:
        if len(targets) == 1:
            return targets[0].service
        if key:
            # Every node must pick the same service for the same key.
            return pick_weighted(targets, key_fraction(key))
        return pick_weighted(targets, self._rng.random())

    def _new_request_id(self) -> str:
        bits = self._rng.getrandbits(REQUEST_ID_BITS)
        return f"{bits:0{REQUEST_ID_DIGITS}x}"

    async def _run_tracked(self, pending: _PendingRequest) -> Outcome:
        self.counters.in_flight += 1
        self._idle.clear()
        if pending.is_repeatable:
            return await self._run_counted(pending)
        # The shield lets the request continue after its caller disconnects.
        task = asyncio.create_task(self._run_counted(pending))
        self._detached.add(task)
        task.add_done_callback(self._detached.discard)
        return await asyncio.shield(task)

    async def _run_counted(self, pending: _PendingRequest) -> Outcome:
        try:
            if pending.call.template.is_keyed:
                outcome = await self._run_keyed(pending)
            else:
                outcome = await self._run_anywhere(pending)
            self._count(outcome)
            return outcome
        except asyncio.CancelledError:
            self.counters.cancelled += 1
            raise
        finally:
            self.counters.in_flight -= 1
            if self.counters.in_flight == 0:
                self._idle.set()

    def _count(self, outcome: Outcome) -> None:
        if isinstance(outcome, Answered):
            self.counters.answered += 1
        elif isinstance(outcome, NotRun):
            self.counters.not_run += 1
            self.counters.not_run_by[outcome.reason.value] += 1
        else:
            self.counters.unknown += 1
            self.counters.unknown_by[outcome.reason.value] += 1

    async def _run_anywhere(self, pending: _PendingRequest) -> Outcome:
        """Tries instances until an attempt answers or no retry is allowed."""
        self._budget_of(pending.service).add_request()
        last = NotRun(NotRunReason.NO_INSTANCE)
        while True:
            candidates = self._candidates_of(pending)
            instance_id = self._choose(pending, candidates)
            if instance_id is None:
                return _final_outcome(pending, last)
            if pending.retries_made > 0:
                if not self._take_token(pending):
                    return _final_outcome(pending, last)
                self.counters.retries += 1
            result = await self._attempt_with_hedge(
                pending, candidates, instance_id
            )
            if isinstance(result, Answered):
                return result
            if isinstance(result, OutcomeUnknown):
                pending.unknown = pending.unknown or result
            else:
                last = _as_not_run(result)
            if not self._allows_retry(pending, result):
                return _final_outcome(pending, last)
            pending.retries_made += 1

    def _candidates_of(self, pending: _PendingRequest) -> Candidates:
        # A request keeps the route of its first attempt, but takes instances
        # from the snapshot in force, so that a retry does not go to a zone that
        # has been taken out since.
        snapshot = self._snapshots.current
        if snapshot is None:
            return Candidates((), ())
        return self._index.of_service(pending.service, snapshot)

    def _choose(
        self, pending: _PendingRequest, candidates: Candidates
    ) -> str | None:
        member = self._chooser.choose(candidates, pending.tried, self._clock())
        if member is None:
            return None
        instance_id = member.instance.instance_id
        pending.tried.add(instance_id)
        return instance_id

    def _budget_of(self, service: str) -> RetryBudget:
        budget = self._budgets.get(service)
        if budget is None:
            budget = self._budgets[service] = RetryBudget(self._clock())
        return budget

    def _allows_retry(
        self, pending: _PendingRequest, result: AttemptResult
    ) -> bool:
        if (
            isinstance(result, NotRun)
            and result.reason in _NOT_RETRYABLE_REASONS
        ):
            return False
        return may_retry(
            AttemptState(
                was_not_run=isinstance(result, NotRun | Moved),
                is_repeatable=pending.is_repeatable,
                retries_made=pending.retries_made,
                retries_allowed=pending.rule.retries,
                remaining_s=pending.call.deadline_s - self._clock(),
            )
        )

    def _take_token(self, pending: _PendingRequest) -> bool:
        if self._budget_of(pending.service).take(self._clock()):
            return True
        self.counters.budget_denied += 1
        return False

    async def _attempt_with_hedge(
        self, pending: _PendingRequest, candidates: Candidates, instance_id: str
    ) -> AttemptResult:
        count = len(candidates.instance_ids)
        attempt = self._attempts.run(pending.call, instance_id, count)
        if pending.rule.hedge_ms <= 0 or not pending.is_repeatable:
            return await attempt
        first = asyncio.create_task(attempt)
        tasks = [first]
        try:
            done, _ = await asyncio.wait(
                tasks, timeout=pending.rule.hedge_ms / 1000
            )
            if not done:
                second = self._start_hedge(pending)
                if second is not None:
                    tasks.append(second)
            result = await _first_answer(pending, tasks)
            if isinstance(result, Answered) and not first.done():
                self._attempts.lost_to_hedge(pending.call, instance_id, count)
            return result
        finally:
            for task in tasks:
                task.cancel()

    def _start_hedge(
        self, pending: _PendingRequest
    ) -> asyncio.Task[AttemptResult] | None:
        candidates = self._candidates_of(pending)
        instance_id = self._choose(pending, candidates)
        if instance_id is None:
            return None
        if not self._take_token(pending):
            return None
        self.counters.hedges += 1
        return asyncio.create_task(
            self._attempts.run(
                pending.call, instance_id, len(candidates.instance_ids)
            )
        )

    async def _run_keyed(self, pending: _PendingRequest) -> Outcome:
        """Sends a keyed request to the home of its key.

        The sender itself never switches to another instance: once a copy may
        have reached the home, only the home can hand the key over.
        """
        self._budget_of(pending.service).add_request()
        while True:
            candidates = self._candidates_of(pending)
            if not candidates.instance_ids:
                return _undelivered_outcome(pending, NotRunReason.NO_INSTANCE)
            request_id = pending.call.template.request_id
            home_id = rendezvous.rank(request_id, candidates.instance_ids)[0]
            outcome = await self._follow_redirects(
                pending, home_id, len(candidates.instance_ids)
            )
            if pending.call.has_reached or not isinstance(outcome, NotRun):
                return outcome
            if not self._allows_retry(pending, outcome):
                return _undelivered_outcome(pending, outcome.reason)
            if not self._take_token(pending):
                return _undelivered_outcome(pending, outcome.reason)
            pending.retries_made += 1
            self.counters.retries += 1
            await asyncio.sleep(HOME_RETRY_DELAY_S)

    async def _follow_redirects(
        self, pending: _PendingRequest, home_id: str, instance_count: int
    ) -> Outcome:
        """Calls the home and follows its redirects."""
        instance_id = home_id
        for _ in range(MAX_REDIRECTS + 1):
            reached_before = pending.call.has_reached
            result = await self._attempts.run(
                pending.call, instance_id, instance_count
            )
            if not isinstance(result, Moved):
                if reached_before and _is_not_delivered(result):
                    # The instance may have run an earlier copy.
                    return OutcomeUnknown(UnknownReason.HOME_CHANGED)
                return result
            self.counters.redirects += 1
            instance_id = result.instance_id
        return OutcomeUnknown(UnknownReason.HOME_CHANGED)


def _is_not_delivered(result: Outcome) -> bool:
    return isinstance(result, NotRun) and result.reason in (
        NotRunReason.UNREACHABLE,
        NotRunReason.DEADLINE,
    )


def _undelivered_outcome(
    pending: _PendingRequest, reason: NotRunReason
) -> Outcome:
    """Returns the outcome of a keyed request that reached no instance.

    An earlier copy may have run, which only the receivers' ledgers record.
    "Not run" is therefore certain only for a first attempt.
    """
    if pending.call.template.is_first_attempt:
        return NotRun(reason)
    return OutcomeUnknown(UnknownReason.NO_REPLY)


def _final_outcome(pending: _PendingRequest, last: NotRun) -> Outcome:
    """Returns the outcome of a request without an answer."""
    if pending.unknown is not None:
        return pending.unknown
    return last


def _as_not_run(result: NotRun | Moved) -> NotRun:
    if isinstance(result, Moved):
        return NotRun(NotRunReason.MOVED)
    return result


async def _first_answer(
    pending: _PendingRequest, tasks: list[asyncio.Task[AttemptResult]]
) -> AttemptResult:
    """Returns the first answer of several attempts, else the worst failure."""
    worst: AttemptResult | None = None
    for next_done in asyncio.as_completed(tasks):
        result = await next_done
        if isinstance(result, Answered):
            return result
        if isinstance(result, OutcomeUnknown):
            pending.unknown = pending.unknown or result
        if worst is None or isinstance(result, OutcomeUnknown):
            worst = result
    if worst is None:
        raise AssertionError("no attempt was started")
    return worst
