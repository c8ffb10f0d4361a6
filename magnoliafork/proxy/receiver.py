"""Receiver side: decides what the upstream beside this node gets."""

import asyncio
import collections
import dataclasses
import enum
import logging
from collections.abc import Callable

from magnoliafork.admission import gate
from magnoliafork.admission.ledger import (
    Entry,
    EntryState,
    Ledger,
    request_digest,
)
from magnoliafork.model.instance import Instance, MemberState
from magnoliafork.model.request import (
    Answered,
    NotRun,
    NotRunReason,
    OutcomeUnknown,
    UnknownReason,
)
from magnoliafork.model.rules import Priority, ServiceRule
from magnoliafork.model.view import MembershipView, SnapshotView
from magnoliafork.proxy import replies
from magnoliafork.proxy.homes import POSSIBLE_HOME_S, Claim, Homes
from magnoliafork.proxy.replies import Load, Settled
from magnoliafork.proxy.slots import Slots, Ticket
from magnoliafork.proxy.upstream import (
    Upstream,
    UpstreamAnswer,
    UpstreamNotRun,
    UpstreamRequest,
    UpstreamResult,
    UpstreamUnknown,
)
from magnoliafork.wire import messages
from magnoliafork.wire.api import PeerCalls
from magnoliafork.wire.messages import FenceState

# A run that may not be repeated goes on after its deadline, so that a repeat
# gets its outcome; an upstream that hangs loses it after this time.
RUN_GRACE_S = 30.0
# Time for the last replies after a stop has cut the remaining calls.
CUT_SETTLE_S = 1.0

_log = logging.getLogger(__name__)


@dataclasses.dataclass(slots=True)
class ReceiverCounters:
    """Counts of what happened since the start of the node."""

    answered: int = 0
    unknown: int = 0
    refused: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    joined: int = 0
    replayed: int = 0
    fences: int = 0
    cancelled_before_run: int = 0
    cancelled_while_running: int = 0
    home_checks: int = 0
    home_checks_incomplete: int = 0
    yielded: int = 0
    ledger_full: int = 0
    ramp_falls: int = 0
    upstream_not_run: int = 0
    upstream_unknown: int = 0
    upstream_timeouts: int = 0
    cut_by_stop: int = 0


class _Phase(enum.Enum):
    """Progress of a request that may not be repeated."""

    ASKING = "asking"
    QUEUED = "queued"
    RUNNING = "running"


@dataclasses.dataclass(slots=True, eq=False)
class _Job:
    """One request that may not be repeated, shared by all its callers.

    Attributes:
        request: The request that started the job.
        ticket: Request for a slot; its deadline is the latest of all callers.
        settled: Completed with the outcome.
        moved_from: Instance that held the request before, until it has
            handed the request over.
        phase: Progress.
        waiters: Callers and fences that wait for the outcome.
        task: Task that carries the request out.
    """

    request: messages.CallRequest
    ticket: Ticket
    settled: asyncio.Future[Settled]
    moved_from: str = ""
    phase: _Phase = _Phase.ASKING
    waiters: int = 0
    task: asyncio.Task[None] | None = None

    @property
    def asks_homes(self) -> bool:
        """Whether other instances may have run the request before."""
        return self.request.is_keyed or bool(self.moved_from)


def _has_predecessor() -> bool:
    return True


class Receiver:
    """Serves the calls of peers; the only way to the upstream."""

    def __init__(
        self,
        instance: Instance,
        incarnation: Callable[[], int],
        snapshots: SnapshotView,
        members: MembershipView,
        upstream: Upstream,
        peers: PeerCalls,
        now: Callable[[], float],
        is_view_stale: Callable[[], bool],
        *,
        ledger: Ledger | None = None,
        may_have_predecessor: Callable[[], bool] = _has_predecessor,
    ) -> None:
        """Creates the receiver of one instance.

        Args:
            instance: The instance.
            incarnation: Gives the incarnation of this node.
            snapshots: Configuration in force.
            members: What the node knows about the other instances.
            upstream: The upstream.
            peers: Connections to other nodes.
            now: Gives the time of the loop in seconds.
            is_view_stale: Whether the node was paused and has not yet
                exchanged heartbeats.
            ledger: At-most-once table; a new one by default.
            may_have_predecessor: Whether an earlier process of this instance
                may have run requests within the last minutes.
        """
        self._instance = instance
        self._incarnation = incarnation
        self._snapshots = snapshots
        self._members = members
        self._upstream = upstream
        self._now = now
        self._is_view_stale = is_view_stale
        self._may_have_predecessor = may_have_predecessor
        self._ledger = ledger or Ledger()
        self._slots = Slots(self._rule, self._refusal, now)
        self._homes = Homes(instance, members, peers, now)
        self._jobs: dict[str, _Job] = {}
        self._sends: set[asyncio.Task[UpstreamResult]] = set()
        self._calls = 0
        self._is_leaving = False
        self._born_s = now()
        self._ineligible_s = now()
        self._incarnations = {incarnation()}
        self.counters = ReceiverCounters()

    @property
    def active(self) -> int:
        """Requests that the upstream runs now."""
        return self._slots.active

    @property
    def limit(self) -> int:
        """Requests that the upstream may run now, 0 if it takes no work."""
        return 0 if self._refusal() is not None else self._slots.limit

    @property
    def queued(self) -> int:
        """Requests that wait for a slot."""
        return self._slots.queued

    def begin_stop(self) -> None:
        """Takes no new work from now on; running requests go on."""
        self._is_leaving = True
        self._slots.dispatch()

    async def drained(self, timeout_s: float) -> int:
        """Waits for the calls in flight; returns the number of calls cut."""
        if await self._wait_idle(timeout_s):
            return 0
        cut = len(self._sends)
        for send in tuple(self._sends):
            send.cancel()
        for job in tuple(self._jobs.values()):
            if job.phase is _Phase.ASKING:
                cut += 1
                self._forget(job)
                self._abort(job, replies.unknown(UnknownReason.HOME_CHANGED))
        await self._wait_idle(CUT_SETTLE_S)
        self.counters.cut_by_stop += cut
        return cut

    def tick(self, now_s: float) -> None:
        """Expires the ledger, adapts the limit and serves the queue."""
        self._incarnations.add(self._incarnation())
        self._ledger.expire(now_s)
        rule = self._rule()
        if rule is not None:
            self._slots.limiter.tick(rule, now_s)
        self._slots.dispatch()

    async def on_call(
        self, sender_id: str, request: messages.CallRequest
    ) -> messages.CallReply:
        """Runs one request; cancelled when the sender cancels it."""
        deadline_s = self._now() + request.remaining_ms / 1000
        self._calls += 1
        try:
            if not self._is_acceptable(request):
                settled = replies.refused(NotRunReason.BAD_REQUEST)
            elif request.repeatable:
                settled = await self._run_repeatable(request, deadline_s)
            else:
                settled = await self._run_once(request, deadline_s)
        finally:
            self._calls -= 1
        self._count(settled)
        return replies.to_reply(settled, request.stream_id, self._load())

    async def on_fence(
        self, sender_id: str, fence: messages.CallFence
    ) -> messages.StreamReply:
        """Answers for one request or refuses it for ever."""
        self.counters.fences += 1
        self._incarnations.add(self._incarnation())
        request_id = fence.request_id
        entry = self._ledger.get(request_id, self._now())
        job = self._jobs.get(request_id)
        if entry is not None and job is not None:
            if self._must_yield(job, fence.moved_to):
                return self._yield(job, fence)
            return await self._fence_job(job, fence)
        if entry is not None:
            return self._fence_entry(entry, fence)
        return self._fence_unknown(fence)

    # Checks before the upstream.

    def _is_acceptable(self, request: messages.CallRequest) -> bool:
        has_headers = len(request.header_names) == len(request.header_values)
        is_known = request.priority in tuple(Priority)
        is_own = request.service_name == self._instance.service
        return has_headers and is_known and is_own

    def _rule(self) -> ServiceRule | None:
        snapshot = self._snapshots.current
        if snapshot is None:
            return None
        return snapshot.rules.services.get(self._instance.service)

    def _refusal(self) -> NotRunReason | None:
        reason = gate.refusal(
            self._snapshots.current,
            self._instance,
            self._is_leaving,
            self._is_view_stale(),
        )
        if reason is not None:
            self._ineligible_s = self._now()
        return reason

    def _late_refusal(self, deadline_s: float) -> NotRunReason | None:
        """Repeats the checks right before the upstream call."""
        reason = self._refusal()
        if reason is None and self._now() >= deadline_s:
            return NotRunReason.DEADLINE
        return reason

    def _eligible_for_s(self) -> float:
        """Returns how long senders may have sent this instance new work."""
        now_s = self._now()
        eligible_for_s = now_s - self._ineligible_s
        own_id = self._instance.instance_id
        if self._members.get(own_id) is None:
            return eligible_for_s
        # A suspected instance refutes with a higher incarnation; until then
        # senders may have used the next home.
        return min(eligible_for_s, self._members.state_age_s(own_id, now_s))

    def _may_have_run_before(self) -> bool:
        """Returns whether an earlier process may have run a request."""
        is_young = self._now() - self._born_s < POSSIBLE_HOME_S
        return is_young and self._may_have_predecessor()

    # Repeatable requests.

    async def _run_repeatable(
        self, request: messages.CallRequest, deadline_s: float
    ) -> Settled:
        ticket = self._slots.ticket(Priority(request.priority), deadline_s)
        reason = await self._slots.acquire(ticket)
        if reason is not None:
            return replies.refused(reason)
        try:
            reason = self._late_refusal(deadline_s)
            if reason is not None:
                return replies.refused(reason)
            result = await self._send(request, deadline_s, deadline_s)
        finally:
            self._slots.release()
        return _settled_by(result)

    # Requests that may not be repeated.

    async def _run_once(
        self, request: messages.CallRequest, deadline_s: float
    ) -> Settled:
        now_s = self._now()
        digest = request_digest(request.method, request.path, request.body)
        entry = self._ledger.get(request.request_id, now_s)
        moved_from = ""
        if entry is not None:
            if entry.digest and entry.digest != digest:
                return replies.refused(NotRunReason.KEY_REUSED)
            if not self._may_take_back(entry):
                return await self._known(request.request_id, entry, deadline_s)
            moved_from = entry.moved_to
        reason = self._late_refusal(deadline_s)
        if reason is not None:
            return replies.refused(reason)
        if not self._ledger.start(request.request_id, digest, now_s):
            self.counters.ledger_full += 1
            return replies.refused(NotRunReason.OVERLOADED)
        job = self._start_job(request, moved_from, deadline_s)
        return await self._wait(job, deadline_s)

    async def _known(
        self, request_id: str, entry: Entry, deadline_s: float
    ) -> Settled:
        """Answers for a request that the ledger knows."""
        job = self._jobs.get(request_id)
        if job is not None:
            self.counters.joined += 1
            return await self._wait(job, deadline_s)
        if entry.outcome is not None:
            self.counters.replayed += 1
            return Settled(entry.outcome)
        if entry.state is EntryState.MOVED:
            return replies.moved(entry.moved_to)
        if entry.state is EntryState.REFUSED:
            return replies.refused(NotRunReason.REFUSED_FOR_EVER)
        return replies.unknown(UnknownReason.ANSWER_FORGOTTEN)

    def _may_take_back(self, entry: Entry) -> bool:
        """Returns whether a moved request may come back to this instance."""
        if entry.state is not EntryState.MOVED or entry.is_barred:
            return False
        return not self._takes_new_work(entry.moved_to)

    def _takes_new_work(self, other_id: str) -> bool:
        """Returns whether senders may choose another instance."""
        member = self._members.get(other_id)
        if member is None:
            return False
        is_leaving = member.state in (MemberState.LEAVING, MemberState.DEAD)
        reason = gate.refusal(
            self._snapshots.current, member.instance, is_leaving, False
        )
        return reason is None

    def _start_job(
        self,
        request: messages.CallRequest,
        moved_from: str,
        deadline_s: float,
    ) -> _Job:
        loop = asyncio.get_running_loop()
        ticket = self._slots.ticket(Priority(request.priority), deadline_s)
        job = _Job(request, ticket, loop.create_future(), moved_from)
        self._jobs[request.request_id] = job
        job.task = loop.create_task(self._carry_out(job))
        return job

    async def _wait(self, job: _Job, deadline_s: float) -> Settled:
        job.waiters += 1
        job.ticket.deadline_s = max(job.ticket.deadline_s, deadline_s)
        timeout_s = max(0.0, deadline_s - self._now())
        try:
            await asyncio.wait({job.settled}, timeout=timeout_s)
        except asyncio.CancelledError:
            self._on_cancelled(job)
            raise
        finally:
            job.waiters -= 1
        if job.settled.done():
            return job.settled.result()
        return self._on_deadline(job)

    def _on_cancelled(self, job: _Job) -> None:
        if job.settled.done():
            return
        if job.phase is _Phase.RUNNING:
            self.counters.cancelled_while_running += 1
        elif job.waiters == 1:
            self.counters.cancelled_before_run += 1
            self._ledger.refuse(job.request.request_id, self._now())
            self._abort(job, replies.refused(NotRunReason.REFUSED_FOR_EVER))

    def _on_deadline(self, job: _Job) -> Settled:
        if job.phase is _Phase.RUNNING:
            return replies.unknown(UnknownReason.UPSTREAM_TIMEOUT)
        if job.waiters > 0:
            return replies.unknown(UnknownReason.NO_REPLY)
        settled = replies.refused(NotRunReason.DEADLINE)
        if job.phase is _Phase.ASKING and job.asks_homes:
            # An instance that has not replied yet may have run the request.
            settled = replies.unknown(UnknownReason.HOME_CHANGED)
        self._forget(job)
        self._abort(job, settled)
        return settled

    def _forget(self, job: _Job) -> None:
        """Removes a request that did not run from the ledger."""
        request_id = job.request.request_id
        if job.moved_from:
            self._ledger.move(request_id, job.moved_from, self._now())
        else:
            self._ledger.release(request_id)

    def _abort(self, job: _Job, settled: Settled) -> None:
        """Ends a job that has not reached the upstream."""
        self._settle(job, settled)
        if job.task is not None:
            job.task.cancel()

    def _settle(self, job: _Job, settled: Settled) -> None:
        del self._jobs[job.request.request_id]
        job.settled.set_result(settled)

    async def _carry_out(self, job: _Job) -> None:
        if job.asks_homes:
            settled = await self._claim(job)
            if settled is not None:
                self._settle(job, settled)
                return
        job.phase = _Phase.QUEUED
        reason = await self._slots.acquire(job.ticket)
        if reason is not None:
            self._forget(job)
            self._settle(job, replies.refused(reason))
            return
        try:
            await self._run_job(job)
        finally:
            self._slots.release()

    async def _run_job(self, job: _Job) -> None:
        deadline_s = job.ticket.deadline_s
        reason = self._late_refusal(deadline_s)
        if reason is not None:
            self._forget(job)
            self._settle(job, replies.refused(reason))
            return
        job.phase = _Phase.RUNNING
        result = await self._send(
            job.request, deadline_s, deadline_s + RUN_GRACE_S
        )
        settled = _settled_by(result)
        if isinstance(settled.outcome, NotRun):
            self._forget(job)
        else:
            now_s = self._now()
            self._ledger.finish(job.request.request_id, settled.outcome, now_s)
        self._settle(job, settled)

    async def _claim(self, job: _Job) -> Settled | None:
        """Asks the other possible homes; None when the request may run."""
        request = job.request
        others = self._homes.candidates(
            request.request_id, self._eligible_for_s()
        )
        if job.moved_from:
            others.add(job.moved_from)
        claim = Claim()
        if others:
            self.counters.home_checks += 1
            claim = await self._homes.claim(
                request.request_id, others, job.ticket.deadline_s
            )
        if claim.settled is not None:
            self._adopt(job, claim.settled)
            return claim.settled
        if job.moved_from in claim.handed_over:
            job.moved_from = ""
        settled = self._judge(job, claim)
        if settled is not None:
            self.counters.home_checks_incomplete += 1
            self._forget(job)
        return settled

    def _judge(self, job: _Job, claim: Claim) -> Settled | None:
        """Returns why a request must not run after asking, or None."""
        request = job.request
        is_unsure = claim.restarted or claim.unreachable
        # A request that was moved away from here has reached its new home, so
        # the caller's mark cannot vouch for that instance.
        if not request.is_first_attempt or job.moved_from:
            if is_unsure or self._may_have_run_before():
                return replies.unknown(UnknownReason.HOME_CHANGED)
            return None
        # A home that is only unreachable from here would run the caller's
        # next attempt without asking this instance.
        for other_id in claim.unreachable:
            is_above = self._homes.ranks_above(other_id, request.request_id)
            if is_above and self._takes_new_work(other_id):
                return replies.refused(NotRunReason.UNREACHABLE)
        return None

    def _adopt(self, job: _Job, settled: Settled) -> None:
        """Keeps an answer that another instance gave for a request."""
        request_id = job.request.request_id
        if isinstance(settled.outcome, Answered):
            self._ledger.finish(request_id, settled.outcome, self._now())
        else:
            self._forget(job)

    # Fences.

    def _must_yield(self, job: _Job, moved_to: str) -> bool:
        """Returns whether a fencing instance takes precedence.

        Two instances that claim one request would else wait for each other.
        """
        if not moved_to or job.phase is not _Phase.ASKING:
            return False
        return self._homes.ranks_above(moved_to, job.request.request_id)

    def _yield(
        self, job: _Job, fence: messages.CallFence
    ) -> messages.StreamReply:
        self.counters.yielded += 1
        moved_from = job.moved_from
        settled = replies.moved(fence.moved_to)
        if moved_from and moved_from != fence.moved_to:
            # Who held the request before may still do so.
            self._forget(job)
            self._abort(job, settled)
            return self._reply(replies.moved(moved_from), fence)
        self._ledger.move(job.request.request_id, fence.moved_to, self._now())
        self._abort(job, settled)
        return self._never_ran(fence)

    async def _fence_job(
        self, job: _Job, fence: messages.CallFence
    ) -> messages.StreamReply:
        deadline_s = self._now() + fence.remaining_ms / 1000
        self._calls += 1
        try:
            settled = await self._wait(job, deadline_s)
        finally:
            self._calls -= 1
        return self._reply(settled, fence)

    def _fence_entry(
        self, entry: Entry, fence: messages.CallFence
    ) -> messages.StreamReply:
        if entry.outcome is not None:
            return self._reply(Settled(entry.outcome), fence)
        if entry.state is EntryState.FORGOTTEN:
            return _fence_reply(fence, FenceState.FORGOTTEN)
        is_elsewhere = entry.state is EntryState.MOVED
        if is_elsewhere and entry.moved_to != fence.moved_to:
            return self._reply(replies.moved(entry.moved_to), fence)
        if not is_elsewhere and fence.moved_to:
            self._ledger.move(fence.request_id, fence.moved_to, self._now())
        return self._never_ran(fence)

    def _fence_unknown(self, fence: messages.CallFence) -> messages.StreamReply:
        is_own = fence.incarnation in self._incarnations
        if not is_own and fence.incarnation != 0:
            return _fence_reply(fence, FenceState.OTHER_INCARNATION)
        now_s = self._now()
        if fence.moved_to:
            is_kept = self._ledger.move(fence.request_id, fence.moved_to, now_s)
        else:
            is_kept = self._ledger.refuse(fence.request_id, now_s)
        if not is_kept:
            self.counters.ledger_full += 1
            return _fence_reply(fence, FenceState.FORGOTTEN)
        return self._never_ran(fence)

    def _never_ran(self, fence: messages.CallFence) -> messages.StreamReply:
        """Tells that this process did not run a request.

        A peer that asks for the new home also needs to know about the runs of
        an earlier process.
        """
        is_bound = fence.incarnation in self._incarnations
        if not is_bound and self._may_have_run_before():
            return _fence_reply(fence, FenceState.OTHER_INCARNATION)
        return _fence_reply(fence, FenceState.NEVER_RAN)

    # Upstream.

    async def _send(
        self,
        request: messages.CallRequest,
        deadline_s: float,
        give_up_s: float,
    ) -> UpstreamResult:
        """Calls the upstream and learns from its answer."""
        started_s = self._now()
        remaining_ms = int((deadline_s - started_s) * 1000)
        send = asyncio.ensure_future(
            self._upstream.send(self._to_upstream(request, remaining_ms))
        )
        self._sends.add(send)
        send.add_done_callback(self._sends.discard)
        try:
            await asyncio.wait({send}, timeout=give_up_s - started_s)
        except asyncio.CancelledError:
            send.cancel()
            raise
        is_timeout = not send.done()
        if is_timeout:
            send.cancel()
            await asyncio.wait({send})
        result = _result_of(send, is_timeout)
        self._observe(result, started_s)
        return result

    def _to_upstream(
        self, request: messages.CallRequest, remaining_ms: int
    ) -> UpstreamRequest:
        rule = self._rule()
        # With fewer connections, kept-alive and fresh ones together might
        # exceed what the upstream accepts.
        has_room = rule is not None and rule.connections >= 2 * rule.slots
        return UpstreamRequest(
            method=request.method,
            path=request.path,
            headers=replies.headers_of(
                request.header_names, request.header_values
            ),
            body=request.body,
            remaining_ms=remaining_ms,
            traceparent=request.traceparent,
            repeatable=request.repeatable,
            is_fresh=not has_room,
        )

    def _observe(self, result: UpstreamResult, started_s: float) -> None:
        now_s = self._now()
        ramp = self._slots.ramp
        if isinstance(result, UpstreamUnknown):
            self.counters.upstream_unknown += 1
            if result.reason is UnknownReason.UPSTREAM_TIMEOUT:
                self.counters.upstream_timeouts += 1
            if result.is_connection_lost:
                ramp.on_broken(now_s)
            return
        if isinstance(result, UpstreamNotRun):
            self.counters.upstream_not_run += 1
            if result.reason is NotRunReason.UNREACHABLE:
                ramp.on_refused(now_s)
                self.counters.ramp_falls += 1
                return
            if result.reason is not NotRunReason.UPSTREAM_REFUSED:
                return
        else:
            self._slots.limiter.on_latency(now_s - started_s)
        if ramp.on_answer(result.boot_id, now_s):
            self.counters.ramp_falls += 1

    # Replies.

    def _load(self) -> Load:
        return Load(self.active, self.limit)

    def _reply(
        self, settled: Settled, fence: messages.CallFence
    ) -> messages.CallReply:
        return replies.to_reply(settled, fence.stream_id, self._load())

    def _count(self, settled: Settled) -> None:
        if isinstance(settled.outcome, Answered):
            self.counters.answered += 1
        elif isinstance(settled.outcome, OutcomeUnknown):
            self.counters.unknown += 1
        else:
            self.counters.refused[settled.outcome.reason.value] += 1

    async def _wait_idle(self, timeout_s: float) -> bool:
        """Waits until no call is in flight; false when the time is up."""
        end_s = self._now() + timeout_s
        while self._calls or self._jobs or self._sends:
            if self._now() >= end_s:
                return False
            await asyncio.sleep(0.01)
        return True


def _fence_reply(
    fence: messages.CallFence, state: FenceState
) -> messages.CallFenceReply:
    return messages.CallFenceReply(fence.stream_id, state.value)


def _result_of(
    send: asyncio.Task[UpstreamResult], is_timeout: bool
) -> UpstreamResult:
    """Returns the result of an upstream call, however it ended."""
    if send.cancelled() and is_timeout:
        return UpstreamUnknown(
            UnknownReason.UPSTREAM_TIMEOUT, "no answer", False
        )
    if send.cancelled():
        return UpstreamUnknown(UnknownReason.NO_REPLY, "cut by the stop", False)
    error = send.exception()
    if error is None:
        return send.result()
    _log.error("upstream call failed", exc_info=error)
    return UpstreamUnknown(UnknownReason.UPSTREAM_BROKE, repr(error))


def _settled_by(result: UpstreamResult) -> Settled:
    if isinstance(result, UpstreamAnswer):
        return Settled(Answered(result.status, result.headers, result.body))
    if isinstance(result, UpstreamNotRun):
        return replies.refused(result.reason, result.retry_after_ms)
    return replies.unknown(result.reason)
