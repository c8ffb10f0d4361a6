"""Sender side: sends a caller's request to an upstream, with retries."""

import asyncio
import collections
import dataclasses
import math
import random
from collections.abc import Callable
from typing import Protocol

from magnoliafork.balance.retry import RetryBudget
from magnoliafork.mesh.crash_suspects import (
    CrashSuspects,
    Suspicion,
    designated_upstream,
    fingerprint,
)
from magnoliafork.mesh.graceful_shutdown import ShutdownPlan
from magnoliafork.mesh.model import (
    MeshConfig,
    MeshRoute,
    Tenant,
    UpstreamEntry,
)
from magnoliafork.mesh.request_age import RequestAgeEstimator
from magnoliafork.mesh.retry_limits import RetryLimits
from magnoliafork.mesh.routes import RouteIndex, WeightedSplit
from magnoliafork.mesh.tenant_keys import Identified, TenantKeys
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
from magnoliafork.wire.api import LinkFailure, PeerCalls, RepeatableFences

# Maximum number of upstreams tried for one request; a refusal by a node costs
# one round trip.
MAX_UPSTREAMS_TRIED = 4
# Share of the target latency after which a refused request is returned to its
# caller, which may have a better choice than to wait in another queue.
RETRY_TIME_SHARE = 0.6
# Time after the deadline in which the reply of the receiver may still arrive.
REPLY_GRACE_S = 0.12
# A repeatable request is sent to a second upstream after this share of the
# target latency or this multiple of the expected time, whichever is longer.
HEDGE_TARGET_SHARE = 0.6
HEDGE_WORK_FACTOR = 2.5
# A retry with less time left than this share of the expected time cannot be
# answered before the deadline.
MIN_RETRY_TIME_SHARE = 0.5
NO_INSTANCE_RETRY_MS = 400
# Share of the fleet's retry budget that the senders use for extra attempts.
# An upstream that runs a repeated request may call other services; the retries
# of those calls count as well, so that most of the rest is left for them.
BUDGET_SHARE = 0.5
_SERVER_ERROR = 500
# Refusals by the upstream itself, which the request has reached.
_REACHED_UPSTREAM = frozenset({NotRunReason.UPSTREAM_REFUSED})
# Refusals that hold at every upstream.
_FINAL_REASONS = frozenset({NotRunReason.DEADLINE, NotRunReason.UNKNOWN_KEY})


@dataclasses.dataclass(frozen=True, slots=True)
class MeshRequest:
    """A caller's request.

    Attributes:
        request_id: Id for logs and peers.
        method: Request method.
        host: Value of the `Host` header.
        target: Path and query as the caller sent them.
        headers: Headers that are forwarded to the upstream.
        body: Whole body.
        remaining_s: Time for which the caller still waits; None if unknown.
        is_first_attempt: Whether it is certainly no retry of its caller.
        api_key: Key of a tenant that the caller sent; see `CallerHeaders`.
    """

    request_id: str
    method: str
    host: str
    target: str
    headers: Headers
    body: bytes
    remaining_s: float | None
    is_first_attempt: bool = False
    api_key: str | None = dataclasses.field(default=None, repr=False)


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
        hedges: Second attempts started while a slow first one runs.
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
class _PendingRequest:
    """A request that has no outcome yet, and the results of its attempts."""

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


class _Observer:
    """Implements `AttemptObserver`: updates the selector and the table."""

    def __init__(
        self, selector: UpstreamSelector, table: UpstreamTable
    ) -> None:
        self._selector = selector
        self._table = table
        self.begin = selector.begin
        self.end = selector.end
        self.lost_to_hedge = selector.lost_to_hedge
        self.responded = selector.responded

    def observe(
        self,
        request: messages.CallRequest,
        instance_id: str,
        instance_count: int,
        reply: messages.CallReply | LinkFailure,
        waited_s: float,
    ) -> None:
        """Records the reply to an attempt, or its link failure."""
        self._selector.observe(
            request, instance_id, instance_count, reply, waited_s
        )
        if (
            isinstance(reply, (messages.CallAnswer, messages.CallRefused))
            and reply.is_leaving
        ):
            self._table.record_leaving(
                reply.upstream_id, reply.upstream_started_ms
            )


class Quotas(Protocol):
    """Limits the requests of each tenant over all nodes."""

    async def take(self, tenant: Tenant) -> NotRun | None:
        """Counts a request; returns why it is not run, or None."""
        ...

    def give_back(self, tenant: Tenant) -> None:
        """Takes back the count of a request that was not run."""
        ...


@dataclasses.dataclass(frozen=True, slots=True)
class TenantAccess:
    """What the sender needs for requests of tenants.

    Attributes:
        keys: Finds the tenant of a request.
        quotas: Limits the requests of each tenant over all nodes.
        with_tenant: Replaces the credentials of a request by the name of its
            tenant.
    """

    keys: TenantKeys
    quotas: Quotas
    with_tenant: Callable[[Headers, str], Headers]


class MeshPeerCalls(PeerCalls, RepeatableFences, Protocol):
    """Connections to other nodes, as the sender uses them."""


class MeshSender:
    """Sends the requests of callers on this machine to upstreams."""

    def __init__(
        self,
        own_zone: str,
        view: MeshView,
        table: UpstreamTable,
        peers: MeshPeerCalls,
        limits: RetryLimits,
        suspects: CrashSuspects,
        tenants: TenantAccess,
        rng: random.Random,
        clock: Callable[[], float],
        log: EventLog,
        record_latency: Callable[[str, float], None],
    ) -> None:
        """Creates a sender in a zone.

        Args:
            own_zone: Availability zone of this node.
            view: Published state.
            table: Upstreams that may get requests.
            peers: Connections to other nodes.
            limits: Limits on the extra attempts of the fleet.
            suspects: Requests that may crash their upstreams.
            tenants: Finds the tenants of requests and keeps their quotas.
            rng: Source of random choices; seeded in tests.
            clock: Time in seconds; the loop's clock.
            log: Receives the events.
            record_latency: Receives a service and the seconds until its answer.
        """
        self._view = view
        self._table = table
        self._limits = limits
        self._suspects = suspects
        self._tenants = tenants
        self._clock = clock
        self._log = log
        self._record_latency = record_latency
        self._end_s = math.inf
        self._shutdown_plan: ShutdownPlan | None = None
        self._timeouts: set[asyncio.Timeout] = set()
        self.selector = UpstreamSelector(own_zone, rng, clock)
        self._attempts = Attempts(
            peers, _Observer(self.selector, table), clock, peers
        )
        self._split = WeightedSplit(rng)
        self._age_estimator = RequestAgeEstimator()
        self._index: RouteIndex | None = None
        self._budgets: dict[str, RetryBudget] = {}
        self._candidates: dict[str, tuple[UpstreamEntry, ...]] = {}
        self._candidates_change_count = -1
        self.counters = SenderCounters()

    async def handle(self, request: MeshRequest) -> Outcome:
        """Sends a request and returns its only outcome.

        Cancellation abandons the request: if it is queued, it is dropped, and
        if it is repeatable, it is stopped at the upstream.
        """
        self.counters.requests += 1
        self.counters.in_flight += 1
        try:
            outcome = await self._handle(request)
            self._count(outcome)
            return outcome
        finally:
            self.counters.in_flight -= 1

    def is_repeatable(self, host: str, target: str) -> bool:
        """Whether the route of a request allows it to run more than once."""
        config = self._view.config
        if config is None:
            return False
        route = self._match(config, host, target)
        return route is not None and route.is_repeatable

    def _match(
        self, config: MeshConfig, host: str, target: str
    ) -> MeshRoute | None:
        if self._index is None or self._index.config is not config:
            self._index = RouteIndex(config)
            self._split.retain(config)
            self._age_estimator.retain(config)
        return self._index.match(host, target.partition("?")[0])

    def begin_shutdown(self, plan: ShutdownPlan) -> None:
        """Refuses requests that a plan leaves no time; ends others by it."""
        self._shutdown_plan = plan
        self.end_requests_by(plan.end_s)

    def end_requests_by(self, end_s: float) -> None:
        """Gives requests that are pending at a time their outcome then.

        Applies also to requests that begin later.
        """
        self._end_s = end_s
        for timeout in self._timeouts:
            when_s = timeout.when()
            is_later = when_s is not None and when_s > end_s
            if is_later and not timeout.expired():
                timeout.reschedule(end_s)

    async def _handle(self, request: MeshRequest) -> Outcome:
        config = self._view.config
        if config is None:
            return NotRun(NotRunReason.NOT_READY, NO_INSTANCE_RETRY_MS)
        route = self._match(config, request.host, request.target)
        if route is None:
            return NotRun(NotRunReason.NO_ROUTE)
        refusal = self._shutdown_refusal(request, route)
        if refusal is not None:
            self._log_refusal(request, route, refusal)
            return refusal
        identified = self._tenants.keys.identify(config, route, request.api_key)
        if isinstance(identified, NotRun):
            self._log_refusal(request, route, identified)
            return identified
        tenant = identified.tenant
        if tenant is None:
            return await self._send(request, route, config, identified)
        begun_s = self._clock()
        refusal = await self._tenants.quotas.take(tenant)
        if request.remaining_s is not None:
            left_s = request.remaining_s - (self._clock() - begun_s)
            request = dataclasses.replace(request, remaining_s=left_s)
        if refusal is not None:
            self._log_refusal(request, route, refusal, tenant.name)
            return refusal
        outcome: Outcome | None = None
        try:
            outcome = await self._send(request, route, config, identified)
            return outcome
        finally:
            if isinstance(outcome, NotRun):
                self._tenants.quotas.give_back(tenant)

    async def _send(
        self,
        request: MeshRequest,
        route: MeshRoute,
        config: MeshConfig,
        identified: Identified,
    ) -> Outcome:
        """Sends a request whose tenant is known and has quota left."""
        pending = self._new_pending(request, route, config, identified)
        deadline_s = pending.state.deadline_s
        timeout = asyncio.timeout_at(
            min(deadline_s + REPLY_GRACE_S, self._end_s)
        )
        try:
            async with timeout:
                self._timeouts.add(timeout)
                outcome = await self._try_upstreams(pending)
        except TimeoutError:
            outcome = self._outcome_at_deadline(pending)
        finally:
            self._timeouts.discard(timeout)
        self._record_outcome(pending, outcome)
        return outcome

    def _shutdown_refusal(
        self, request: MeshRequest, route: MeshRoute
    ) -> NotRun | None:
        """Returns why a shutdown leaves no time for a request, or None."""
        plan, now_s = self._shutdown_plan, self._clock()
        deadline_s = now_s + _timeout_s(request, route)
        if plan is None or plan.accepts_deadline(now_s, deadline_s):
            return None
        retry_after_ms = int(plan.retry_after_s(now_s) * 1000)
        return NotRun(NotRunReason.LEAVING, retry_after_ms)

    def _new_pending(
        self,
        request: MeshRequest,
        route: MeshRoute,
        config: MeshConfig,
        identified: Identified,
    ) -> _PendingRequest:
        service = self._split.pick(route)
        timeout_s = _timeout_s(request, route)
        kind = int(route.target_latency_s * 1000)
        age_s = self._age_estimator.age_s(
            route,
            request.remaining_s,
            self._clock(),
            is_first_attempt=request.is_first_attempt,
        )
        tenant, headers = identified.tenant, request.headers
        priority = route.priority
        if config.tenants is not None:
            name = tenant.name if tenant is not None else ""
            headers = self._tenants.with_tenant(headers, name)
        if tenant is not None and tenant.priority is not None:
            priority = tenant.priority
        template = messages.CallRequest(
            stream_id=0,
            request_id=request.request_id,
            service_name=service,
            method=request.method,
            path=request.target,
            header_names=tuple([name for name, _ in headers]),
            header_values=tuple([value for _, value in headers]),
            body=request.body,
            repeatable=route.is_repeatable,
            priority=priority,
            traceparent="",
            remaining_ms=0,
            is_keyed=False,
            is_first_attempt=False,
            target_latency_ms=kind,
            age_ms=int(age_s * 1000),
            tenant=tenant.name if tenant is not None else "",
            key_digest=identified.digest,
            config_version=config.version if identified.digest else 0,
        )
        size = self.selector.expected_bytes(kind, len(request.body))
        return _PendingRequest(
            request,
            route,
            service,
            CallState(template, self._clock() + timeout_s),
            RequestProfile(kind, route.target_latency_s, size),
            self._clock(),
        )

    async def _try_upstreams(self, pending: _PendingRequest) -> Outcome:
        """Tries upstreams until an attempt decides the outcome."""
        self._budget(pending.service).add_request()
        last = NotRun(NotRunReason.NO_INSTANCE, NO_INSTANCE_RETRY_MS)
        for tries in range(MAX_UPSTREAMS_TRIED):
            suspicion = self._suspicion(pending)
            if suspicion is not None and suspicion.is_refused:
                last = NotRun(
                    NotRunReason.CRASHES_UPSTREAM,
                    int(suspicion.refused_for_s * 1000),
                )
                return self._final_outcome(pending, last)
            entry = self._choose(pending, suspicion)
            if entry is None:
                break
            if tries:
                if pending.reached and not self._may_retry(pending, entry):
                    break
                self.counters.retries += 1
                self._log.info(
                    Event.REQUEST_RETRIED,
                    request_id=pending.request.request_id,
                    upstream=entry.upstream_id,
                    reached=pending.reached,
                )
            if suspicion is None:
                result = await self._attempt_with_hedge(pending, entry)
            else:
                result = await self._attempt_once(pending, entry)
            if isinstance(result, Answered):
                if not self._should_retry(pending, result):
                    return result
                pending.answered = result
            elif isinstance(result, OutcomeUnknown):
                pending.unknown = result
                if not pending.route.is_repeatable:
                    return result
            else:
                last = self._record_refusal(pending, result)
                if self._is_final_refusal(pending, last):
                    break
        return self._final_outcome(pending, last)

    def _should_retry(self, pending: _PendingRequest, answer: Answered) -> bool:
        return (
            answer.status >= _SERVER_ERROR
            and pending.route.is_repeatable
            and pending.reached < pending.route.max_attempts
            and self._clock() < pending.state.deadline_s
        )

    def _is_final_refusal(self, pending: _PendingRequest, last: NotRun) -> bool:
        """Whether a refused request is returned to its caller at once."""
        if last.reason in _FINAL_REASONS or _is_refused_suspect(last):
            return True
        now_s = self._clock()
        if last.reason is NotRunReason.UNREACHABLE:
            # No queue is full; the caller would only send it once more.
            return now_s >= pending.state.deadline_s
        return now_s - pending.started_s > (
            pending.route.target_latency_s * RETRY_TIME_SHARE
        )

    def _record_refusal(
        self, pending: _PendingRequest, result: NotRun | Moved
    ) -> NotRun:
        if isinstance(result, Moved):
            return NotRun(NotRunReason.MOVED, NO_INSTANCE_RETRY_MS)
        if pending.retry_after_ms == 0:
            pending.retry_after_ms = result.retry_after_ms
        else:
            pending.retry_after_ms = min(
                pending.retry_after_ms, result.retry_after_ms
            )
        return result

    def _final_outcome(self, pending: _PendingRequest, last: NotRun) -> Outcome:
        if pending.answered is not None:
            return pending.answered
        if pending.unknown is not None:
            return pending.unknown
        if _is_refused_suspect(last):
            return last
        retry_ms = pending.retry_after_ms or last.retry_after_ms
        retry_s = bounded_retry_after_s(retry_ms / 1000)
        return NotRun(last.reason, int(retry_s * 1000))

    def _outcome_at_deadline(self, pending: _PendingRequest) -> Outcome:
        if pending.answered is not None:
            return pending.answered
        if (
            pending.state.has_reached
            or pending.reached
            or pending.route.is_repeatable
        ):
            return OutcomeUnknown(UnknownReason.UPSTREAM_TIMEOUT)
        return OutcomeUnknown(UnknownReason.NO_REPLY)

    def _suspicion(self, pending: _PendingRequest) -> Suspicion | None:
        request = pending.request
        return self._suspects.suspicion(
            pending.service, request.method, request.target, request.body
        )

    def _choose(
        self, pending: _PendingRequest, suspicion: Suspicion | None = None
    ) -> UpstreamEntry | None:
        entries = self._candidates_of(pending.service)
        if suspicion is not None:
            entry = designated_upstream(entries, pending.tried, suspicion)
        else:
            entry = self.selector.choose(
                entries, pending.tried, pending.profile
            )
        if entry is not None:
            pending.tried[entry.host] = entry.upstream_id
        return entry

    def _candidates_of(self, service: str) -> tuple[UpstreamEntry, ...]:
        # An expired entry may become unusable between two ticks of the node.
        self._table.tick(self._clock())
        if self._candidates_change_count != self._table.change_count:
            self._candidates.clear()
            self._candidates_change_count = self._table.change_count
        found = self._candidates.get(service)
        if found is None:
            found = self._table.of_service(service)
            self._candidates[service] = found
        return found

    def _may_retry(
        self, pending: _PendingRequest, entry: UpstreamEntry
    ) -> bool:
        """Tells whether a request that reached an upstream may be retried."""
        if pending.reached >= pending.route.max_attempts:
            return False
        now_s = self._clock()
        expected_s = self.selector.expected_s(entry, pending.profile, now_s)
        if pending.state.deadline_s - now_s < expected_s * MIN_RETRY_TIME_SHARE:
            return False
        return self._take_token(pending.service)

    def _budget(self, service: str) -> RetryBudget:
        budget = self._budgets.get(service)
        if budget is None:
            entries = self._view.upstreams.values()
            # Several entries may name one machine.
            nodes = len({entry.host for entry in entries})
            budget = self._limits.budget(self._clock(), BUDGET_SHARE, nodes)
            self._budgets[service] = budget
        return budget

    def _take_token(self, service: str) -> bool:
        if self._budget(service).take(self._clock()):
            return True
        self.counters.budget_denied += 1
        return False

    # Attempts.

    async def _attempt_with_hedge(
        self, pending: _PendingRequest, entry: UpstreamEntry
    ) -> Outcome | Moved:
        if not pending.route.is_repeatable or pending.route.max_attempts <= (
            pending.reached + 1
        ):
            return await self._attempt_once(pending, entry)
        first = asyncio.create_task(self._attempt_once(pending, entry))
        tasks = [first]
        try:
            delay_s = self._hedge_delay_s(pending, entry)
            done, _ = await asyncio.wait(tasks, timeout=delay_s)
            if not done:
                second = self._start_hedge(pending)
                if second is not None:
                    tasks.append(second)
            result = await _best_result(tasks)
            if isinstance(result, Answered) and not first.done():
                self._attempts.lost_to_hedge(pending.state, entry.host, 1)
            return result
        finally:
            for task in tasks:
                task.cancel()

    def _hedge_delay_s(
        self, pending: _PendingRequest, entry: UpstreamEntry
    ) -> float:
        expected_s = self.selector.expected_s(
            entry, pending.profile, self._clock()
        )
        return max(
            pending.route.target_latency_s * HEDGE_TARGET_SHARE,
            expected_s * HEDGE_WORK_FACTOR,
        )

    def _start_hedge(
        self, pending: _PendingRequest
    ) -> asyncio.Task[Outcome | Moved] | None:
        # A suspect runs only once at a time.
        if self._suspicion(pending) is not None:
            return None
        entry = self._choose(pending)
        if entry is None:
            return None
        now_s = self._clock()
        expected_s = self.selector.expected_s(entry, pending.profile, now_s)
        if now_s + expected_s > pending.state.deadline_s:
            return None
        if not self._take_token(pending.service):
            return None
        self.counters.hedges += 1
        return asyncio.create_task(self._attempt_once(pending, entry))

    async def _attempt_once(
        self, pending: _PendingRequest, entry: UpstreamEntry
    ) -> Outcome | Moved:
        pending.reached += 1
        state = CallState(
            dataclasses.replace(
                pending.state.template,
                upstream_id=entry.upstream_id,
                rate_limit_milli=self.selector.rate_limit_milli(entry),
            ),
            pending.state.deadline_s,
        )
        result = await self._attempts.run(state, entry.host, 1)
        pending.state.has_reached = (
            pending.state.has_reached or state.has_reached
        )
        if isinstance(result, Moved) or (
            isinstance(result, NotRun)
            and result.reason not in _REACHED_UPSTREAM
        ):
            pending.reached -= 1
        if isinstance(result, OutcomeUnknown) and (
            result.reason is UnknownReason.UPSTREAM_CRASHED
        ):
            request = pending.request
            self._suspects.record_crash(
                fingerprint(
                    pending.service,
                    request.method,
                    request.target,
                    request.body,
                ),
                entry,
            )
        return result

    # Counters, latencies and logs.

    def _log_refusal(
        self,
        request: MeshRequest,
        route: MeshRoute,
        refusal: NotRun,
        tenant: str = "",
    ) -> None:
        """Logs a request that is refused before an upstream is chosen."""
        config = self._view.config
        self._log.info(
            Event.REQUEST_REFUSED,
            request_id=request.request_id,
            route=route.name,
            tenant=tenant,
            reason=refusal.reason.value,
            retry_after_ms=refusal.retry_after_ms,
            config_version=config.version if config else 0,
            view_revision=self._view.revision,
        )

    def _count(self, outcome: Outcome) -> None:
        if isinstance(outcome, Answered):
            self.counters.answered += 1
        elif isinstance(outcome, NotRun):
            self.counters.not_run_by[outcome.reason.value] += 1
        else:
            self.counters.unknown_by[outcome.reason.value] += 1

    def _record_outcome(
        self, pending: _PendingRequest, outcome: Outcome
    ) -> None:
        if isinstance(outcome, Answered):
            self._record_latency(
                pending.service, self._clock() - pending.started_s
            )
            return
        event = Event.REQUEST_FAILED
        if isinstance(outcome, NotRun):
            event = Event.REQUEST_REFUSED
        config = self._view.config
        self._log.info(
            event,
            request_id=pending.request.request_id,
            route=pending.route.name,
            service=pending.service,
            tenant=pending.state.template.tenant,
            reason=outcome.reason.value,
            tried=sorted(pending.tried.values()),
            reached=pending.reached,
            config_version=config.version if config else 0,
            view_revision=self._view.revision,
            left_ms=int((pending.state.deadline_s - self._clock()) * 1000),
        )


def _timeout_s(request: MeshRequest, route: MeshRoute) -> float:
    """Returns the longest time in which a request gets its outcome."""
    if request.remaining_s is None:
        return route.timeout_s
    return min(route.timeout_s, request.remaining_s)


def _is_refused_suspect(result: NotRun) -> bool:
    """Whether a request is refused for a time because it crashes upstreams."""
    return (
        result.reason is NotRunReason.CRASHES_UPSTREAM
        and result.retry_after_ms > 0
    )


async def _best_result(
    tasks: list[asyncio.Task[Outcome | Moved]],
) -> Outcome | Moved:
    """Returns the first answer that is not a server error.

    Without one, returns the last result that is not a refusal, or the first
    refusal if there is nothing else.
    """
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
