"""Receiver of calls from peers: queues them and sends them to the upstream.

The upstream on this machine gets requests only through the receiver.
"""

import asyncio
import collections
import dataclasses
import random
from collections.abc import Callable, Sequence

from magnoliafork.admission.ledger import EntryState, Ledger, request_digest
from magnoliafork.admission.priority_pressure import (
    NESTED_CALL_PRIORITY,
    PriorityPressure,
)
from magnoliafork.admission.short_call_reserve import ShortCallReserve
from magnoliafork.admission.tenant_shares import TenantShares
from magnoliafork.balance.retry import RetryBudget
from magnoliafork.mesh.cold_rate_limiter import ColdRateLimiter
from magnoliafork.mesh.cold_state_monitor import ColdStateMonitor
from magnoliafork.mesh.crash_suspects import (
    CrashSuspects,
    Suspicion,
    fingerprint,
)
from magnoliafork.mesh.header_codec import HeaderCodec
from magnoliafork.mesh.model import MeshService, UpstreamEntry
from magnoliafork.mesh.notice_monitor import NoticeMonitor
from magnoliafork.mesh.recent_requests import RecentRequests
from magnoliafork.mesh.retry_limits import RetryLimits
from magnoliafork.mesh.stated_rate_limiter import from_milli, to_milli
from magnoliafork.mesh.suspect_lane import MAX_WAIT_SHARE, SuspectLane
from magnoliafork.mesh.tenant_keys import TenantKeys
from magnoliafork.mesh.upstream import (
    Upstream,
    UpstreamAnswered,
    UpstreamCall,
    UpstreamNotRun,
    UpstreamResult,
    UpstreamUnknown,
)
from magnoliafork.mesh.upstream_table import UpstreamTable
from magnoliafork.mesh.view import Change, MeshView
from magnoliafork.mesh.work_queue import (
    Capacity,
    RequestMix,
    WaitingCall,
    WorkQueue,
    WorkTimes,
    bounded_retry_after_s,
    due_s,
)
from magnoliafork.model.request import (
    Answered,
    NotRun,
    NotRunReason,
    Outcome,
    OutcomeUnknown,
    UnknownReason,
)
from magnoliafork.observe.events import Event
from magnoliafork.observe.logs import EventLog
from magnoliafork.wire import messages
from magnoliafork.wire.messages import FenceState

# Wait for an answer after the deadline. The upstream answers at its deadline at
# the latest; an answer that takes longer than this never comes.
ANSWER_GRACE_S = 0.06
# After a connection to the upstream failed, it gets no request for this long.
DOWN_PAUSE_S = 0.25
# Concurrent requests of an upstream without a published entry.
DEFAULT_SLOTS = 4
# Weight of the newest result in the moving average of the failure share.
FAILURE_AVERAGE_WEIGHT = 0.15
# A request that runs longer than expected is assumed to need this share of its
# expected time more.
MIN_REMAINING_WORK_SHARE = 0.25
# Time after which senders may try this upstream again: while it takes no work,
# for example because it is drained; when it is unreachable, has refused the
# request, or the ledger is full; when a request has waited too long.
UNAVAILABLE_RETRY_MS = 1000
TRANSIENT_FAILURE_RETRY_MS = 300
EXPIRED_RETRY_MS = 300
GAVE_WAY_RETRY_MS = 500
# Share of the fleet's retry budget for requests that are sent again after a
# stale connection, since the upstream may have got them.
RESEND_BUDGET_SHARE = 0.1
# Longest wait for a rate limit that is told to senders.
MAX_RATE_WAIT_S = 60.0
_SERVER_ERROR = 500
_MISDIRECTED = 421
_STALE = OutcomeUnknown(UnknownReason.CONNECTION_STALE)


@dataclasses.dataclass(slots=True, eq=False)
class _QueuedRequest:
    """A request in the queue.

    Attributes:
        request: The request.
        decision: None once the request may be sent, or why it is not run.
        is_alone: Whether it may run although it is a suspect of a crash.
    """

    request: messages.CallRequest
    decision: asyncio.Future[NotRun | None]
    is_alone: bool


@dataclasses.dataclass(slots=True)
class ReceiverCounters:
    """Counts since the start.

    Attributes:
        calls: Calls received from peers.
        sent: Requests sent to the upstream.
        refused_by: Refused calls by reason.
        broken: Requests that were sent and got no usable answer.
        stale: Requests sent on a connection that the upstream had dropped.
    """

    calls: int = 0
    sent: int = 0
    refused_by: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    broken: int = 0
    stale: int = 0


class MeshReceiver:
    """Admits, queues and runs the calls of peers on the upstream."""

    def __init__(
        self,
        address: tuple[str, int],
        incarnation: int,
        view: MeshView,
        table: UpstreamTable,
        client: Upstream,
        header_codec: HeaderCodec,
        cold_rate_factor: float,
        limits: RetryLimits,
        suspects: CrashSuspects,
        keys: TenantKeys,
        rng: random.Random,
        clock: Callable[[], float],
        log: EventLog,
    ) -> None:
        """Creates the receiver of the upstream at an address.

        `incarnation` identifies this process; fences of calls that went to an
        earlier process are not answered from this ledger. A cold upstream
        gets at most its service's rate times `cold_rate_factor`. `limits` are
        those of the extra attempts of the fleet. `suspects` are the requests
        that may crash the upstream. `keys` tells whether the key of a request
        still counts.
        """
        self._address = address
        self._incarnation = incarnation
        self._view = view
        self._table = table
        self._client = client
        self._header_codec = header_codec
        self._suspects = suspects
        self._keys = keys
        self._suspect_lane = SuspectLane()
        # Requests whose callers left while they waited in the lane.
        self._abandoned: set[str] = set()
        self._clock = clock
        self._log = log
        self._cold_limiter = ColdRateLimiter(cold_rate_factor)
        self._cold_rate_factor = cold_rate_factor
        self._limits = limits
        self._resend_budget: RetryBudget | None = None
        self._queue: WorkQueue[_QueuedRequest] = WorkQueue()
        self._work_times = WorkTimes()
        self._request_mix = RequestMix()
        self._tenant_shares = TenantShares()
        self._pressure = PriorityPressure()
        self._short_reserve = ShortCallReserve()
        self._rng = rng
        self._ledger = Ledger()
        self._sent_requests = RecentRequests()
        self._once_tasks: dict[str, asyncio.Task[Outcome]] = {}
        self._active: dict[int, tuple[float, float]] = {}
        self._next_run = 0
        self._down_until_s = 0.0
        self._failure_share = 0.0
        self._dispatch_timer: asyncio.TimerHandle | None = None
        self.notices = NoticeMonitor(table, clock, log, self._on_limited)
        self._cold_monitor = ColdStateMonitor(
            address,
            self._cold_limiter,
            self.notices,
            view,
            table,
            client,
            clock,
            log,
            on_reachable=self._on_reachable,
        )
        self.is_stopping = False
        self.counters = ReceiverCounters()
        view.subscribe(self._on_changes)

    # State.

    @property
    def active(self) -> int:
        """Number of requests that the upstream runs now."""
        return len(self._active)

    @property
    def queued(self) -> int:
        """Number of requests in the queue."""
        return len(self._queue)

    @property
    def limit(self) -> int:
        """Most requests that the upstream may run at a time."""
        entry = self._entry()
        return max(1, entry.slots) if entry is not None else DEFAULT_SLOTS

    @property
    def health_checks(self) -> int:
        """Number of health checks sent."""
        return self._cold_monitor.health_checks

    @property
    def is_idle(self) -> bool:
        """Whether no request runs or waits."""
        return (
            not self._active
            and not len(self._queue)
            and not self._once_tasks
            and self._suspect_lane.is_idle
        )

    def _entry(self) -> UpstreamEntry | None:
        return self._table.at(*self._address)

    def _service(self) -> MeshService | None:
        entry, config = self._entry(), self._view.config
        if entry is None or config is None:
            return None
        return config.services.get(entry.service)

    def _unavailable_reason(self, service_name: str) -> NotRunReason | None:
        """Returns why the upstream takes no work of a service, or None."""
        if self.is_stopping:
            return NotRunReason.LEAVING
        if self._view.config is None:
            return NotRunReason.NOT_READY
        entry = self._entry()
        if entry is None or entry.service != service_name:
            return NotRunReason.NO_INSTANCE
        if not entry.is_ready or self._table.is_leaving(entry):
            return NotRunReason.DRAINED
        if entry.zone in self._view.zones_out:
            return NotRunReason.ZONE_OUT
        if self._clock() < self._down_until_s:
            return NotRunReason.UNREACHABLE
        return None

    # Calls of peers.

    async def on_call(
        self, sender_id: str, request: messages.CallRequest
    ) -> messages.CallReply:
        """Runs one request; is cancelled when the sender cancels it."""
        del sender_id
        self.counters.calls += 1
        self.notices.record_copy(
            request.upstream_id, from_milli(request.rate_limit_milli)
        )
        if request.repeatable:
            outcome = await self._serve(request)
        else:
            outcome = await self._serve_once(request)
        return self._reply(request, outcome)

    async def on_fence(
        self, sender_id: str, fence: messages.CallFence
    ) -> messages.StreamReply:
        """Returns the outcome of a request; refuses it for ever if unknown."""
        del sender_id
        if fence.incarnation not in (0, self._incarnation):
            # An earlier process on this node may have run the request.
            return messages.CallFenceReply(0, FenceState.OTHER_INCARNATION)
        if fence.is_repeatable:
            was_sent = self._sent_requests.may_contain(
                fence.request_id, self._clock()
            )
            state = FenceState.FORGOTTEN if was_sent else FenceState.NEVER_SENT
            return messages.CallFenceReply(0, state)
        task = self._once_tasks.get(fence.request_id)
        if task is not None:
            outcome = await asyncio.shield(task)
            return self._reply_to_fence(outcome)
        entry = self._ledger.get(fence.request_id, self._clock())
        if entry is None or entry.state is EntryState.REFUSED:
            self._ledger.refuse(fence.request_id, self._clock())
            return messages.CallFenceReply(0, FenceState.NEVER_RAN)
        if entry.outcome is None:
            return messages.CallFenceReply(0, FenceState.FORGOTTEN)
        return self._reply_to_fence(entry.outcome)

    def _reply_to_fence(self, outcome: Outcome) -> messages.StreamReply:
        if isinstance(outcome, NotRun):
            return messages.CallFenceReply(0, FenceState.NEVER_RAN)
        return self._reply(None, outcome)

    async def _serve_once(self, request: messages.CallRequest) -> Outcome:
        request_id = request.request_id
        task = self._once_tasks.get(request_id)
        if task is None:
            known = self._ledger.get(request_id, self._clock())
            if known is not None and known.outcome is not None:
                return known.outcome
            if known is not None:
                return NotRun(NotRunReason.REFUSED_FOR_EVER)
            digest = request_digest(request.method, request.path, request.body)
            if not self._ledger.start(request_id, digest, self._clock()):
                return NotRun(
                    NotRunReason.OVERLOADED, TRANSIENT_FAILURE_RETRY_MS
                )
            task = asyncio.create_task(self._run_once(request))
            self._once_tasks[request_id] = task
            task.add_done_callback(lambda _: self._forget_once(request_id))
        try:
            return await asyncio.shield(task)
        except asyncio.CancelledError:
            # A queued request is dropped. A running one continues, so that a
            # fence finds its outcome.
            self._drop_waiting(request_id)
            raise

    def _forget_once(self, request_id: str) -> None:
        self._once_tasks.pop(request_id, None)
        self._abandoned.discard(request_id)

    async def _run_once(self, request: messages.CallRequest) -> Outcome:
        outcome = await self._serve(request)
        now_s = self._clock()
        if isinstance(outcome, NotRun):
            self._ledger.refuse(request.request_id, now_s)
        else:
            self._ledger.finish(request.request_id, outcome, now_s)
        return outcome

    def _drop_waiting(self, request_id: str) -> None:
        for waiting in self._queue:
            queued_request = waiting.item
            if queued_request.request.request_id == request_id:
                self._queue.remove(waiting)
                if not queued_request.decision.done():
                    queued_request.decision.set_result(
                        NotRun(NotRunReason.DEADLINE)
                    )
                return
        if request_id in self._once_tasks and not self._suspect_lane.is_idle:
            self._abandoned.add(request_id)

    # One request.

    async def _serve(self, request: messages.CallRequest) -> Outcome:
        deadline_s = self._clock() + request.remaining_ms / 1000
        suspicion = self._suspicion(request)
        if suspicion is None:
            return await self._admit(request, deadline_s)
        if suspicion.is_refused:
            return self._refuse_suspect(request, suspicion.refused_for_s)
        work_s = self._work_times.work_s(request.target_latency_ms)
        max_wait_s = request.remaining_ms / 1000 * MAX_WAIT_SHARE
        wait_s = self._suspect_lane.wait_s(work_s)
        if wait_s > max_wait_s:
            retry_ms = int(bounded_retry_after_s(wait_s) * 1000)
            return self._refuse(request, NotRunReason.OVERLOADED, retry_ms)
        async with self._suspect_lane.enter(max_wait_s) as has_entered:
            if not has_entered:
                return self._refuse(
                    request, NotRunReason.OVERLOADED, EXPIRED_RETRY_MS
                )
            if request.request_id in self._abandoned:
                return NotRun(NotRunReason.DEADLINE)
            # It may have crashed another upstream meanwhile.
            suspicion = self._suspicion(request)
            if suspicion is not None and suspicion.is_refused:
                return self._refuse_suspect(request, suspicion.refused_for_s)
            return await self._admit(request, deadline_s, is_alone=True)

    def _suspicion(self, request: messages.CallRequest) -> Suspicion | None:
        return self._suspects.suspicion(
            request.service_name, request.method, request.path, request.body
        )

    def _refuse_suspect(
        self, request: messages.CallRequest, refused_for_s: float
    ) -> NotRun:
        return self._refuse(
            request,
            NotRunReason.CRASHES_UPSTREAM,
            int(refused_for_s * 1000),
        )

    async def _admit(
        self,
        request: messages.CallRequest,
        deadline_s: float,
        *,
        is_alone: bool = False,
    ) -> Outcome:
        """Queues a request and runs it; once more after a stale connection.

        The upstream may drain, be limited or have no time left by then, so that
        the request is admitted like a new one.

        Args:
            request: The request.
            deadline_s: Time at which its caller gives up.
            is_alone: Whether no other suspect of a crash can run meanwhile.
        """
        if self._resend_budget is not None:
            self._resend_budget.add_request()
        first = await self._admit_once(request, deadline_s, is_alone=is_alone)
        if first != _STALE or not self._take_resend_token():
            return first
        second = await self._admit_once(request, deadline_s, is_alone=is_alone)
        # The first one may have run.
        return first if isinstance(second, NotRun) else second

    def _take_resend_token(self) -> bool:
        now_s = self._clock()
        if self._resend_budget is None:
            entry = self._entry()
            upstreams = self._table.of_service(entry.service) if entry else ()
            self._resend_budget = self._limits.budget(
                now_s, RESEND_BUDGET_SHARE, len(upstreams)
            )
        return self._resend_budget.take(now_s)

    async def _admit_once(
        self,
        request: messages.CallRequest,
        deadline_s: float,
        *,
        is_alone: bool,
    ) -> Outcome:
        now_s = self._clock()
        unavailable = self._unavailable_reason(request.service_name)
        if unavailable is not None:
            return self._refuse(
                request, unavailable, self._unavailable_retry_ms(unavailable)
            )
        target_latency_s = request.target_latency_ms / 1000
        target_s = now_s + target_latency_s - request.age_ms / 1000
        work_s = self._work_times.work_s(request.target_latency_ms)
        self._request_mix.note(request.target_latency_ms)
        is_over_share = self._is_over_share(request, now_s)
        queued_request = _QueuedRequest(
            request, asyncio.get_running_loop().create_future(), is_alone
        )
        waiting = WaitingCall(
            queued_request,
            due_s(
                now_s,
                target_latency_s,
                request.priority,
                is_late=now_s + work_s > target_s,
                is_over_share=is_over_share,
            ),
            deadline_s,
            work_s,
            target_s,
            is_short=self._request_mix.is_short(request.target_latency_ms),
            priority=request.priority,
        )
        if waiting.is_short:
            self._cold_limiter.record_short_call(now_s)
            self._short_reserve.record_call(request.target_latency_ms, now_s)
            waiting.priority = NESTED_CALL_PRIORITY
        if not self._has_free_slot() and self._pressure.has_to_give_way(
            waiting.priority, now_s, self._rng
        ):
            self._pressure.record(waiting.priority, now_s, is_bad=True)
            return self._refuse(
                request, NotRunReason.OVERLOADED, GAVE_WAY_RETRY_MS
            )
        capacity = self._capacity(now_s, is_short=waiting.is_short)
        refusal = self._queue.refusal(waiting, capacity, now_s)
        if refusal is not None:
            self._pressure.record(waiting.priority, now_s, is_bad=True)
        if refusal is not None and refusal.is_too_late:
            return self._refuse(request, NotRunReason.DEADLINE, 0)
        if refusal is not None:
            retry_ms = int(refusal.retry_after_s * 1000)
            return self._refuse(request, NotRunReason.OVERLOADED, retry_ms)
        self._queue.push(waiting)
        self._dispatch()
        try:
            not_run = await queued_request.decision
        except asyncio.CancelledError:
            if not self._queue.remove(waiting):
                self._release(queued_request)
            raise
        if not_run is not None:
            return not_run
        # The node may have been suspended since the sender identified the key.
        withdrawn = self._recheck_key(request)
        if withdrawn is not None:
            self._release(queued_request)
            return withdrawn
        outcome = await self._run(request, deadline_s)
        if isinstance(outcome, Answered):
            now_s = self._clock()
            self._pressure.record(
                waiting.priority, now_s, is_bad=now_s > target_s
            )
        return outcome

    def _has_free_slot(self) -> bool:
        return not len(self._queue) and self.active < self.limit

    def _is_over_share(
        self, request: messages.CallRequest, now_s: float
    ) -> bool:
        """Whether a request waits behind those of other tenants."""
        if not request.tenant:
            return False
        tenant = self._keys.tenant_named(self._view.config, request.tenant)
        quota_per_s = tenant.rate_per_s if tenant is not None else 0.0
        self._tenant_shares.record(request.tenant, quota_per_s, now_s)
        return len(self._queue) > 0 and self._tenant_shares.is_over(
            request.tenant, now_s
        )

    def _recheck_key(self, request: messages.CallRequest) -> NotRun | None:
        found = self._keys.recheck(
            self._view.config, request.key_digest, request.config_version
        )
        if found is None:
            return None
        return self._refuse(request, found.reason, found.retry_after_ms)

    def _release(self, queued_request: _QueuedRequest) -> None:
        """Frees the slot of a request that was cancelled just as it got it."""
        decision = queued_request.decision
        if (
            decision.done()
            and not decision.cancelled()
            and decision.result() is None
        ):
            self._active.pop(id(queued_request.request), None)
            self._dispatch()

    async def _run(
        self, request: messages.CallRequest, deadline_s: float
    ) -> Outcome:
        started_s = self._clock()
        try:
            result = await self._send(request, deadline_s)
        finally:
            self._active.pop(id(request), None)
            self._dispatch()
        now_s = self._clock()
        if isinstance(result, UpstreamAnswered):
            self._work_times.record(
                request.target_latency_ms, now_s - started_s
            )
            self._record_result(result.status >= _SERVER_ERROR)
            self._clear_suspect(request)
            return Answered(result.status, result.headers, result.body)
        if isinstance(result, UpstreamNotRun):
            return self._not_run(request, result)
        if result.is_stale and request.repeatable:
            self.counters.stale += 1
            self._log.info(
                Event.CONNECTION_STALE,
                request_id=request.request_id,
                detail=result.detail,
            )
            return _STALE
        self._record_result(True)
        self.counters.broken += 1
        self._log.warning(
            Event.CALL_BROKEN,
            request_id=request.request_id,
            detail=result.detail,
            after_ms=int((now_s - started_s) * 1000),
        )
        if result.has_crashed and self._has_crashed(request, result.detail):
            return OutcomeUnknown(UnknownReason.UPSTREAM_CRASHED)
        if now_s >= deadline_s:
            return OutcomeUnknown(UnknownReason.UPSTREAM_TIMEOUT)
        return OutcomeUnknown(UnknownReason.UPSTREAM_BROKE)

    def _has_crashed(self, request: messages.CallRequest, detail: str) -> bool:
        """Handles the end of the upstream while it ran a request.

        Returns:
            False if the upstream was about to leave.
        """
        self._down_until_s = self._clock() + DOWN_PAUSE_S
        self._cold_monitor.mark_unknown(detail)
        entry = self._entry()
        if (
            entry is None
            or not entry.is_ready
            or self._table.is_leaving(entry)
            or self._view.upstreams.get(entry.upstream_id) is not entry
        ):
            return False
        self._log.warning(
            Event.UPSTREAM_CRASHED,
            request_id=request.request_id,
            upstream=entry.upstream_id,
        )
        self._suspects.record_crash(_fingerprint(request), entry)
        return True

    def _clear_suspect(self, request: messages.CallRequest) -> None:
        if len(self._suspects):
            self._suspects.record_answer(_fingerprint(request))

    async def _send(
        self, request: messages.CallRequest, deadline_s: float
    ) -> UpstreamResult:
        now_s = self._clock()
        remaining_ms = int((deadline_s - now_s) * 1000)
        if remaining_ms <= 0:
            return UpstreamNotRun("deadline passed", was_sent=False)
        headers = tuple(
            zip(request.header_names, request.header_values, strict=True)
        )
        entry = self._entry()
        upstream_id = entry.upstream_id if entry else request.upstream_id
        call = UpstreamCall(
            method=request.method,
            target=request.path,
            headers=self._header_codec.add_attempt_headers(
                headers, upstream_id, remaining_ms
            ),
            body=request.body,
            attempt_id=self._header_codec.parse_caller_headers(
                headers
            ).attempt_id,
            is_repeatable=request.repeatable,
        )
        self.counters.sent += 1
        if request.repeatable:
            self._sent_requests.add(request.request_id, now_s)
        try:
            async with asyncio.timeout_at(deadline_s + ANSWER_GRACE_S):
                result = await self._client.send(call)
        except TimeoutError:
            return UpstreamUnknown("no answer in time", False)
        if entry is not None:
            self._record_notice(entry, result, now_s)
        return result

    def _record_notice(
        self, entry: UpstreamEntry, result: UpstreamResult, sent_s: float
    ) -> None:
        """Records what the upstream that was meant states about itself."""
        if isinstance(result, UpstreamAnswered):
            self.notices.record_answer(entry, result.notice, sent_s)
        elif (
            isinstance(result, UpstreamNotRun)
            and result.notice is not None
            and result.status != _MISDIRECTED
        ):
            self.notices.record_partial(entry, result.notice)

    def _not_run(
        self, request: messages.CallRequest, result: UpstreamNotRun
    ) -> NotRun:
        if result.status:
            self._record_result(True)
            if result.status == _MISDIRECTED:
                self._cold_monitor.mark_unknown(
                    "another upstream uses the address"
                )
            return self._refuse(
                request,
                NotRunReason.UPSTREAM_REFUSED,
                TRANSIENT_FAILURE_RETRY_MS,
            )
        self._down_until_s = self._clock() + DOWN_PAUSE_S
        self._cold_monitor.mark_unknown(result.detail)
        return self._refuse(
            request, NotRunReason.UNREACHABLE, TRANSIENT_FAILURE_RETRY_MS
        )

    def _refuse(
        self,
        request: messages.CallRequest,
        reason: NotRunReason,
        retry_after_ms: int,
    ) -> NotRun:
        self.counters.refused_by[reason.value] += 1
        self._log.info(
            Event.CALL_REFUSED,
            request_id=request.request_id,
            reason=reason.value,
            retry_after_ms=retry_after_ms,
            active=self.active,
            queued=self.queued,
            limit=self.limit,
        )
        return NotRun(reason, retry_after_ms)

    @staticmethod
    def _unavailable_retry_ms(reason: NotRunReason) -> int:
        if reason is NotRunReason.UNREACHABLE:
            return TRANSIENT_FAILURE_RETRY_MS
        return UNAVAILABLE_RETRY_MS

    # Queue.

    def _capacity(self, now_s: float, *, is_short: bool) -> Capacity:
        left_s = tuple(
            max(work_s * MIN_REMAINING_WORK_SHARE, started_s + work_s - now_s)
            for started_s, work_s in self._active.values()
        )
        rate, rate_wait_s = 0.0, 0.0
        if self._cold_limiter.is_cold(now_s):
            per_s = self._cold_per_s()
            rate = per_s * self._cold_rate_factor
            rate_wait_s = self._cold_limiter.wait_s(
                per_s, now_s, is_short=is_short
            )
        limiter = self.notices.limiter
        if limiter.limit_per_s is not None:
            rate = min(rate or limiter.rate_per_s, limiter.rate_per_s)
            rate_wait_s = max(rate_wait_s, limiter.wait_s(now_s))
        longest_work_s = self._work_times.longest_of(
            self._request_mix.common_kinds()
        )
        slots = self.limit
        if not is_short:
            slots = max(1, slots - self._reserved_slots(now_s))
            # What runs beyond that ends first; the rest is ahead of this one.
            left_s = tuple(sorted(left_s)[-slots:])
        return Capacity(slots, left_s, rate, longest_work_s, rate_wait_s)

    def _reserved_slots(self, now_s: float) -> int:
        """Returns how many slots only short calls may use."""
        return self._short_reserve.slots(self.limit, self._short_work_s, now_s)

    def _short_work_s(self, kind: int) -> float:
        """Returns the work of a kind; 0 if it does not count as short."""
        if not self._request_mix.is_short(kind):
            return 0.0
        return self._work_times.work_s(kind)

    def _cold_per_s(self) -> float:
        service = self._service()
        return service.cold_requests_per_s if service is not None else 1.0

    def _dispatch(self) -> None:
        now_s = self._clock()
        for timed_out in self._queue.expired(now_s):
            self._pressure.record(timed_out.priority, now_s, is_bad=True)
            refusal = self._refuse(
                timed_out.item.request,
                NotRunReason.OVERLOADED,
                EXPIRED_RETRY_MS,
            )
            if not timed_out.item.decision.done():
                timed_out.item.decision.set_result(refusal)
        if self.is_stopping:
            self._refuse_queued()
        while len(self._queue) and self.active < self.limit:
            waiting = self._take_next(now_s)
            if waiting is None:
                return
            request = waiting.item.request
            unavailable = self._unavailable_reason(request.service_name)
            if waiting.item.decision.done():
                continue
            suspicion = self._suspicion(request)
            if suspicion is not None and (
                suspicion.is_refused or not waiting.item.is_alone
            ):
                # It became one, or crashed another upstream, while it waited.
                waiting.item.decision.set_result(
                    self._refuse_suspect(request, suspicion.refused_for_s)
                )
                continue
            if unavailable is not None:
                waiting.item.decision.set_result(
                    self._refuse(
                        request,
                        unavailable,
                        self._unavailable_retry_ms(unavailable),
                    )
                )
                continue
            self._cold_limiter.record_sent(now_s, is_short=waiting.is_short)
            self.notices.record_sent()
            self._active[id(request)] = (now_s, waiting.work_s)
            waiting.item.decision.set_result(None)

    def _refuse_queued(self) -> None:
        """Refuses the queued requests, which will not be sent any more."""
        while (waiting := self._queue.pop()) is not None:
            if waiting.item.decision.done():
                continue
            refusal = self._refuse(
                waiting.item.request,
                NotRunReason.LEAVING,
                UNAVAILABLE_RETRY_MS,
            )
            waiting.item.decision.set_result(refusal)

    def _take_next(self, now_s: float) -> WaitingCall[_QueuedRequest] | None:
        """Takes the next request that the rate limits allow.

        Schedules another dispatch if they allow none now.
        """
        stated_wait_s = self.notices.limiter.wait_s(now_s)
        if stated_wait_s > 0:
            self._dispatch_after(stated_wait_s)
            return None
        # The end of a running request leads to the next dispatch.
        is_reserved = self.limit - self.active <= self._reserved_slots(now_s)
        per_s = self._cold_per_s()
        long_wait_s = self._cold_limiter.wait_s(per_s, now_s, is_short=False)
        if long_wait_s <= 0 and not is_reserved:
            return self._queue.pop()
        short_wait_s = self._cold_limiter.wait_s(per_s, now_s, is_short=True)
        if short_wait_s > 0:
            self._dispatch_after(short_wait_s)
            return None
        call = self._queue.pop_short()
        if call is None and long_wait_s > 0:
            self._dispatch_after(long_wait_s)
        return call

    def _dispatch_after(self, wait_s: float) -> None:
        if self._dispatch_timer is not None:
            self._dispatch_timer.cancel()
        loop = asyncio.get_running_loop()
        self._dispatch_timer = loop.call_later(wait_s + 0.001, self._dispatch)

    # State of the upstream.

    def _on_limited(self) -> None:
        """Refuses the queued requests that a new limit leaves no time."""
        now_s = self._clock()
        capacity = self._capacity(now_s, is_short=False)
        for waiting, excess_s in self._queue.take_too_slow(capacity, now_s):
            refusal = self._refuse(
                waiting.item.request,
                NotRunReason.OVERLOADED,
                int(bounded_retry_after_s(excess_s) * 1000),
            )
            if not waiting.item.decision.done():
                waiting.item.decision.set_result(refusal)

    def _record_result(self, is_failure: bool) -> None:
        value = 1.0 if is_failure else 0.0
        self._failure_share += (
            value - self._failure_share
        ) * FAILURE_AVERAGE_WEIGHT

    def _on_changes(self, changes: Sequence[Change]) -> None:
        self.notices.set_entry(self._entry())
        self._cold_monitor.on_changes(changes)
        self._dispatch()

    def _on_reachable(self) -> None:
        self._down_until_s = 0.0
        self._dispatch()

    def on_disconnected(self) -> None:
        """Treats the upstream as cold: it has closed the last connection.

        An upstream that restarts loses all of its connections; one that only
        loses some answers keeps the others.
        """
        self._cold_monitor.mark_unknown("all connections lost")

    def close(self) -> None:
        """Stops the health checks; calls in progress continue."""
        self._cold_monitor.close()

    def tick(self) -> None:
        """Dispatches queued requests; called several times a second."""
        self._dispatch()

    # Replies.

    def _reply(
        self, request: messages.CallRequest | None, outcome: Outcome
    ) -> messages.CallReply:
        kind = request.target_latency_ms if request is not None else 0
        work_ms = int(self._work_times.work_s(kind) * 1000)
        failure_permille = int(self._failure_share * 1000)
        statements = self._statements()
        if isinstance(outcome, Answered):
            return messages.CallAnswer(
                0,
                outcome.status,
                tuple(name for name, _ in outcome.headers),
                tuple(value for _, value in outcome.headers),
                outcome.body,
                self.active,
                self.limit,
                self.queued,
                work_ms,
                failure_permille,
                *statements,
            )
        if isinstance(outcome, NotRun):
            return messages.CallRefused(
                0,
                outcome.reason.value,
                outcome.retry_after_ms,
                self.active,
                self.limit,
                "",
                self.queued,
                work_ms,
                failure_permille,
                *statements,
            )
        return messages.CallUnknown(0, outcome.reason.value)

    def _statements(self) -> tuple[str, int, int, int, bool]:
        """Returns the fields of a reply that tell what the upstream states."""
        limiter, entry = self.notices.limiter, self.notices.entry
        is_leaving = self.notices.is_leaving
        if entry is None or (limiter.limit_per_s is None and not is_leaving):
            return "", 0, 0, 0, False
        wait_s = 0.0
        if limiter.limit_per_s is not None:
            wait_s = limiter.wait_s(self._clock())
            wait_s += self.queued / limiter.rate_per_s
        return (
            entry.upstream_id,
            entry.started_unix_ms,
            to_milli(limiter.limit_per_s),
            int(min(wait_s, MAX_RATE_WAIT_S) * 1000),
            is_leaving,
        )


def _fingerprint(request: messages.CallRequest) -> bytes:
    return fingerprint(
        request.service_name, request.method, request.path, request.body
    )
