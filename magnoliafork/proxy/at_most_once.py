"""At-most-once execution of requests that may not be repeated."""

import asyncio
import dataclasses
import enum
from collections.abc import Callable

from magnoliafork.admission.ledger import (
    Entry,
    EntryState,
    Ledger,
    request_digest,
)
from magnoliafork.model.request import (
    Answered,
    NotRun,
    NotRunReason,
    UnknownReason,
)
from magnoliafork.model.rules import Priority
from magnoliafork.proxy import replies
from magnoliafork.proxy.counters import ReceiverCounters
from magnoliafork.proxy.home_claims import Claim, HomeClaims
from magnoliafork.proxy.instance_eligibility import InstanceEligibility
from magnoliafork.proxy.replies import CallResult
from magnoliafork.proxy.slots import Slots, Ticket
from magnoliafork.proxy.upstream_calls import UpstreamCalls
from magnoliafork.wire import messages
from magnoliafork.wire.messages import FenceState

# A non-repeatable run continues past its deadline, so that a repeat of the
# request gets its outcome; this bounds the time for an upstream that hangs.
RUN_GRACE_S = 30.0


class _Phase(enum.Enum):
    """Progress of a non-repeatable request.

    Attributes:
        ASKING: Asks the other instances that may have run the request.
        QUEUED: Waits for a slot of the upstream.
        RUNNING: Has been sent to the upstream.
    """

    ASKING = "asking"
    QUEUED = "queued"
    RUNNING = "running"


@dataclasses.dataclass(slots=True, eq=False)
class _Job:
    """One non-repeatable request, shared by all calls with the same id.

    Attributes:
        request: The request that started the job.
        ticket: Request for a slot; has the latest deadline of all its calls.
        call_result: Future result of the request.
        moved_from: Instance to which the request had moved, until that
            instance has handed it back; else empty.
        phase: Progress.
        waiters: Number of calls and fences that wait for the result.
        task: Task that executes the request.
    """

    request: messages.CallRequest
    ticket: Ticket
    call_result: asyncio.Future[CallResult]
    moved_from: str = ""
    phase: _Phase = _Phase.ASKING
    waiters: int = 0
    task: asyncio.Task[None] | None = None

    @property
    def asks_homes(self) -> bool:
        """Whether other instances must be asked about earlier runs."""
        return self.request.is_keyed or bool(self.moved_from)


class AtMostOnceCalls:
    """Runs each request id at most once, by the ledger, and answers fences.

    A fence asks for the outcome of a request. If the request has not run, the
    fence also bars it from running at this instance.
    """

    def __init__(
        self,
        eligibility: InstanceEligibility,
        slots: Slots,
        upstream: UpstreamCalls,
        home_claims: HomeClaims,
        ledger: Ledger,
        counters: ReceiverCounters,
        now: Callable[[], float],
    ) -> None:
        """Creates the at-most-once execution of one receiver."""
        self._eligibility = eligibility
        self._slots = slots
        self._upstream = upstream
        self._home_claims = home_claims
        self._ledger = ledger
        self._counters = counters
        self._now = now
        self._jobs: dict[str, _Job] = {}

    @property
    def count(self) -> int:
        """Number of requests without an outcome yet."""
        return len(self._jobs)

    def expire(self, now_s: float) -> None:
        """Expires ledger entries."""
        self._ledger.expire(now_s)

    def abort_asking(self) -> int:
        """Ends requests that still ask other instances.

        Returns:
            The number of ended requests.
        """
        asking = [
            job for job in self._jobs.values() if job.phase is _Phase.ASKING
        ]
        for job in asking:
            self._forget(job)
            self._abort(job, replies.unknown(UnknownReason.HOME_CHANGED))
        return len(asking)

    async def run(
        self, request: messages.CallRequest, deadline_s: float
    ) -> CallResult:
        """Runs one request, or returns its recorded outcome."""
        now_s = self._now()
        digest = request_digest(request.method, request.path, request.body)
        entry = self._ledger.get(request.request_id, now_s)
        moved_from = ""
        if entry is not None:
            if entry.digest and entry.digest != digest:
                return replies.refused(NotRunReason.KEY_REUSED)
            if not self._may_take_back(entry):
                return await self._answer_known(
                    request.request_id, entry, deadline_s
                )
            moved_from = entry.moved_to
        reason = self._eligibility.refusal_or_deadline(deadline_s)
        if reason is not None:
            return self._refuse_without_claim(request, reason)
        if not self._ledger.start(request.request_id, digest, now_s):
            self._counters.ledger_full += 1
            return self._refuse_without_claim(request, NotRunReason.OVERLOADED)
        job = self._start_job(request, moved_from, deadline_s)
        return await self._wait(job, deadline_s)

    def _refuse_without_claim(
        self, request: messages.CallRequest, reason: NotRunReason
    ) -> CallResult:
        """Refuses a request without asking its other possible homes.

        An earlier attempt may have run at one of them. The outcome is then
        "unknown", since "not run" would hold for this instance only.
        """
        if request.is_keyed and not request.is_first_attempt:
            others = self._home_claims.candidates(
                request.request_id, self._eligibility.eligible_for_s()
            )
            if others or self._eligibility.may_have_run_before():
                return replies.unknown(UnknownReason.HOME_CHANGED)
        return replies.refused(reason)

    async def fence(self, fence: messages.CallFence) -> CallResult | FenceState:
        """Returns the outcome of a request, or bars it from running here."""
        request_id = fence.request_id
        entry = self._ledger.get(request_id, self._now())
        job = self._jobs.get(request_id)
        if entry is None:
            return self._fence_unknown(fence)
        if job is None:
            return self._fence_entry(entry, fence)
        if self._must_yield(job, fence.moved_to):
            return self._yield(job, fence)
        deadline_s = self._now() + fence.remaining_ms / 1000
        call_result = await self._wait(job, deadline_s)
        if call_result.moved_to:
            return self._moved(call_result.moved_to, fence)
        return call_result

    async def _answer_known(
        self, request_id: str, entry: Entry, deadline_s: float
    ) -> CallResult:
        """Returns the result of a request that has a ledger entry."""
        job = self._jobs.get(request_id)
        if job is not None:
            self._counters.joined += 1
            return await self._wait(job, deadline_s)
        if entry.outcome is not None:
            self._counters.replayed += 1
            return CallResult(entry.outcome)
        if entry.state is EntryState.MOVED:
            return replies.moved(entry.moved_to)
        if entry.state is EntryState.REFUSED:
            return replies.refused(NotRunReason.REFUSED_FOR_EVER)
        return replies.unknown(UnknownReason.ANSWER_FORGOTTEN)

    def _may_take_back(self, entry: Entry) -> bool:
        """Returns whether this instance may take a moved request again.

        It may when the instance that got the request takes no new work.
        """
        if entry.state is not EntryState.MOVED or entry.is_refused_for_ever:
            return False
        return not self._eligibility.takes_new_work(entry.moved_to)

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

    async def _wait(self, job: _Job, deadline_s: float) -> CallResult:
        job.waiters += 1
        job.ticket.deadline_s = max(job.ticket.deadline_s, deadline_s)
        timeout_s = max(0.0, deadline_s - self._now())
        try:
            await asyncio.wait({job.call_result}, timeout=timeout_s)
        except asyncio.CancelledError:
            self._on_cancelled(job)
            raise
        finally:
            job.waiters -= 1
        if job.call_result.done():
            return job.call_result.result()
        return self._on_deadline(job)

    def _on_cancelled(self, job: _Job) -> None:
        if job.call_result.done():
            return
        if job.phase is _Phase.RUNNING:
            self._counters.cancelled_while_running += 1
        elif job.waiters == 1:
            self._counters.cancelled_before_run += 1
            self._ledger.refuse(job.request.request_id, self._now())
            self._abort(job, replies.refused(NotRunReason.REFUSED_FOR_EVER))

    def _on_deadline(self, job: _Job) -> CallResult:
        if job.phase is _Phase.RUNNING:
            return replies.unknown(UnknownReason.UPSTREAM_TIMEOUT)
        if job.waiters > 0:
            return replies.unknown(UnknownReason.NO_REPLY)
        call_result = replies.refused(NotRunReason.DEADLINE)
        if job.phase is _Phase.ASKING and job.asks_homes:
            # An instance that has not replied may have run the request.
            call_result = replies.unknown(UnknownReason.HOME_CHANGED)
        self._forget(job)
        self._abort(job, call_result)
        return call_result

    def _forget(self, job: _Job) -> None:
        """Undoes the ledger entry of a request that did not run."""
        request_id = job.request.request_id
        if job.moved_from:
            self._ledger.move(request_id, job.moved_from, self._now())
        else:
            self._ledger.release(request_id)

    def _abort(self, job: _Job, call_result: CallResult) -> None:
        """Ends a job that was not sent to the upstream."""
        self._complete(job, call_result)
        if job.task is not None:
            job.task.cancel()

    def _complete(self, job: _Job, call_result: CallResult) -> None:
        del self._jobs[job.request.request_id]
        job.call_result.set_result(call_result)

    async def _carry_out(self, job: _Job) -> None:
        if job.asks_homes:
            call_result = await self._claim(job)
            if call_result is not None:
                self._complete(job, call_result)
                return
        job.phase = _Phase.QUEUED
        reason = await self._slots.acquire(job.ticket)
        if reason is not None:
            self._forget(job)
            self._complete(job, replies.refused(reason))
            return
        try:
            await self._run_job(job)
        finally:
            self._slots.release()

    async def _run_job(self, job: _Job) -> None:
        deadline_s = job.ticket.deadline_s
        reason = self._eligibility.refusal_or_deadline(deadline_s)
        if reason is not None:
            self._forget(job)
            self._complete(job, replies.refused(reason))
            return
        job.phase = _Phase.RUNNING
        call_result = await self._upstream.send(
            job.request, deadline_s, deadline_s + RUN_GRACE_S
        )
        if isinstance(call_result.outcome, NotRun):
            self._forget(job)
        else:
            now_s = self._now()
            self._ledger.finish(
                job.request.request_id, call_result.outcome, now_s
            )
        self._complete(job, call_result)

    async def _claim(self, job: _Job) -> CallResult | None:
        """Asks the other possible homes; returns None if the job may run."""
        request = job.request
        others = self._home_claims.candidates(
            request.request_id, self._eligibility.eligible_for_s()
        )
        if job.moved_from and job.moved_from not in others:
            others.append(job.moved_from)
        claim = Claim()
        if others:
            self._counters.home_checks += 1
            claim = await self._home_claims.claim(
                request.request_id, others, job.ticket.deadline_s
            )
        if claim.call_result is not None:
            self._record_other_result(job, claim.call_result)
            return claim.call_result
        if job.moved_from in claim.handed_over:
            job.moved_from = ""
        call_result = self._refusal_after_claim(job, claim)
        if call_result is not None:
            self._counters.home_checks_incomplete += 1
            self._forget(job)
        return call_result

    def _refusal_after_claim(
        self, job: _Job, claim: Claim
    ) -> CallResult | None:
        """Returns why a request must not run despite the claim, or None."""
        request = job.request
        is_unsure = claim.restarted or claim.unreachable
        # The mark "first attempt" does not count for a request that moved: it
        # has reached its new home, which may have run it.
        if not request.is_first_attempt or job.moved_from:
            if is_unsure or self._eligibility.may_have_run_before():
                return replies.unknown(UnknownReason.HOME_CHANGED)
            return None
        # A higher-ranked home that only this instance cannot reach would run
        # the caller's next attempt without asking here.
        for other_id in claim.unreachable:
            is_above = self._home_claims.ranks_above(
                other_id, request.request_id
            )
            if is_above and self._eligibility.takes_new_work(other_id):
                return replies.refused(NotRunReason.UNREACHABLE)
        return None

    def _record_other_result(self, job: _Job, call_result: CallResult) -> None:
        """Records the result that another instance has for a request."""
        request_id = job.request.request_id
        if isinstance(call_result.outcome, Answered):
            self._ledger.finish(request_id, call_result.outcome, self._now())
        else:
            self._forget(job)

    # Fences.

    def _must_yield(self, job: _Job, moved_to: str) -> bool:
        """Returns whether this instance gives way to another one's claim.

        The lower-ranked instance yields; otherwise two instances that claim
        the same request would wait for each other.
        """
        if not moved_to or job.phase is not _Phase.ASKING:
            return False
        return self._home_claims.ranks_above(moved_to, job.request.request_id)

    def _yield(
        self, job: _Job, fence: messages.CallFence
    ) -> CallResult | FenceState:
        self._counters.yielded += 1
        moved_from = job.moved_from
        call_result = replies.moved(fence.moved_to)
        if moved_from and moved_from != fence.moved_to:
            # The instance that held the request may still hold it.
            self._forget(job)
            self._abort(job, call_result)
            return self._moved(moved_from, fence)
        self._ledger.move(job.request.request_id, fence.moved_to, self._now())
        self._abort(job, call_result)
        return self._never_ran(fence)

    def _fence_entry(
        self, entry: Entry, fence: messages.CallFence
    ) -> CallResult | FenceState:
        if entry.outcome is not None:
            return CallResult(entry.outcome)
        if entry.state is EntryState.FORGOTTEN:
            return FenceState.FORGOTTEN
        is_elsewhere = entry.state is EntryState.MOVED
        if is_elsewhere and entry.moved_to != fence.moved_to:
            return self._moved(entry.moved_to, fence)
        if not is_elsewhere and fence.moved_to:
            self._ledger.move(fence.request_id, fence.moved_to, self._now())
        return self._never_ran(fence)

    def _fence_unknown(self, fence: messages.CallFence) -> FenceState:
        is_own = self._eligibility.is_own_incarnation(fence.incarnation)
        if not is_own and fence.incarnation != 0:
            return FenceState.OTHER_INCARNATION
        now_s = self._now()
        if fence.moved_to:
            is_kept = self._ledger.move(fence.request_id, fence.moved_to, now_s)
        else:
            is_kept = self._ledger.refuse(fence.request_id, now_s)
        if not is_kept:
            self._counters.ledger_full += 1
            return FenceState.FORGOTTEN
        return self._never_ran(fence)

    def _never_ran(self, fence: messages.CallFence) -> FenceState:
        """Returns the reply for a request that this process did not run."""
        if self._may_hide_earlier_run(fence):
            return FenceState.OTHER_INCARNATION
        return FenceState.NEVER_RAN

    def _moved(self, moved_to: str, fence: messages.CallFence) -> CallResult:
        """Returns the reply for a request that another instance holds."""
        if self._may_hide_earlier_run(fence):
            # The asking instance would rely on the other instance's reply,
            # which does not cover runs of an earlier process here.
            return replies.unknown(UnknownReason.RECEIVER_RESTARTED)
        return replies.moved(moved_to)

    def _may_hide_earlier_run(self, fence: messages.CallFence) -> bool:
        """Returns whether an earlier process may have run a fenced request.

        It cannot if the fence names an incarnation of this process.
        """
        is_bound = self._eligibility.is_own_incarnation(fence.incarnation)
        return not is_bound and self._eligibility.may_have_run_before()
