"""Requests that may not be repeated: at most one run per request id."""

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
from magnoliafork.proxy.homes import Claim, Homes
from magnoliafork.proxy.replies import Settled
from magnoliafork.proxy.slots import Slots, Ticket
from magnoliafork.proxy.standing import Standing
from magnoliafork.proxy.upstream_calls import UpstreamCalls
from magnoliafork.wire import messages
from magnoliafork.wire.messages import FenceState

# A run that may not be repeated goes on after its deadline, so that a repeat
# gets its outcome; an upstream that hangs loses it after this time.
RUN_GRACE_S = 30.0


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


class OnceCalls:
    """Runs requests under the ledger and answers fences."""

    def __init__(
        self,
        standing: Standing,
        slots: Slots,
        upstream: UpstreamCalls,
        homes: Homes,
        ledger: Ledger,
        counters: ReceiverCounters,
        now: Callable[[], float],
    ) -> None:
        """Creates the part of a receiver that keeps the ledger."""
        self._standing = standing
        self._slots = slots
        self._upstream = upstream
        self._homes = homes
        self._ledger = ledger
        self._counters = counters
        self._now = now
        self._jobs: dict[str, _Job] = {}

    @property
    def count(self) -> int:
        """Requests without an outcome yet."""
        return len(self._jobs)

    def expire(self, now_s: float) -> None:
        """Expires the ledger."""
        self._ledger.expire(now_s)

    def abort_asking(self) -> int:
        """Ends requests that still ask other homes; returns their number."""
        asking = [
            job for job in self._jobs.values() if job.phase is _Phase.ASKING
        ]
        for job in asking:
            self._forget(job)
            self._abort(job, replies.unknown(UnknownReason.HOME_CHANGED))
        return len(asking)

    async def run(
        self, request: messages.CallRequest, deadline_s: float
    ) -> Settled:
        """Runs one request, or answers from the ledger."""
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
        reason = self._standing.late_refusal(deadline_s)
        if reason is not None:
            return self._refuse_unasked(request, reason)
        if not self._ledger.start(request.request_id, digest, now_s):
            self._counters.ledger_full += 1
            return self._refuse_unasked(request, NotRunReason.OVERLOADED)
        job = self._start_job(request, moved_from, deadline_s)
        return await self._wait(job, deadline_s)

    def _refuse_unasked(
        self, request: messages.CallRequest, reason: NotRunReason
    ) -> Settled:
        """Refuses a request without asking its other possible homes.

        A repeat may have run at one of them, so that "not run" would be
        wrong for the caller even though it is true here.
        """
        if request.is_keyed and not request.is_first_attempt:
            others = self._homes.candidates(
                request.request_id, self._standing.eligible_for_s()
            )
            if others or self._standing.may_have_run_before():
                return replies.unknown(UnknownReason.HOME_CHANGED)
        return replies.refused(reason)

    async def fence(self, fence: messages.CallFence) -> Settled | FenceState:
        """Answers for one request or refuses it for ever."""
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
        settled = await self._wait(job, deadline_s)
        if settled.moved_to:
            return self._moved(settled.moved_to, fence)
        return settled

    async def _known(
        self, request_id: str, entry: Entry, deadline_s: float
    ) -> Settled:
        """Answers for a request that the ledger knows."""
        job = self._jobs.get(request_id)
        if job is not None:
            self._counters.joined += 1
            return await self._wait(job, deadline_s)
        if entry.outcome is not None:
            self._counters.replayed += 1
            return Settled(entry.outcome)
        if entry.state is EntryState.MOVED:
            return replies.moved(entry.moved_to)
        if entry.state is EntryState.REFUSED:
            return replies.refused(NotRunReason.REFUSED_FOR_EVER)
        return replies.unknown(UnknownReason.ANSWER_FORGOTTEN)

    def _may_take_back(self, entry: Entry) -> bool:
        """Returns whether a moved request may come back to this instance."""
        if entry.state is not EntryState.MOVED or entry.is_refused_for_ever:
            return False
        return not self._standing.takes_new_work(entry.moved_to)

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
            self._counters.cancelled_while_running += 1
        elif job.waiters == 1:
            self._counters.cancelled_before_run += 1
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
        reason = self._standing.late_refusal(deadline_s)
        if reason is not None:
            self._forget(job)
            self._settle(job, replies.refused(reason))
            return
        job.phase = _Phase.RUNNING
        settled = await self._upstream.send(
            job.request, deadline_s, deadline_s + RUN_GRACE_S
        )
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
            request.request_id, self._standing.eligible_for_s()
        )
        if job.moved_from and job.moved_from not in others:
            others.append(job.moved_from)
        claim = Claim()
        if others:
            self._counters.home_checks += 1
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
            self._counters.home_checks_incomplete += 1
            self._forget(job)
        return settled

    def _judge(self, job: _Job, claim: Claim) -> Settled | None:
        """Returns why a request must not run after asking, or None."""
        request = job.request
        is_unsure = claim.restarted or claim.unreachable
        # A request that was moved away from here has reached its new home, so
        # the caller's mark cannot vouch for that instance.
        if not request.is_first_attempt or job.moved_from:
            if is_unsure or self._standing.may_have_run_before():
                return replies.unknown(UnknownReason.HOME_CHANGED)
            return None
        # A home that is only unreachable from here would run the caller's
        # next attempt without asking this instance.
        for other_id in claim.unreachable:
            is_above = self._homes.ranks_above(other_id, request.request_id)
            if is_above and self._standing.takes_new_work(other_id):
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
    ) -> Settled | FenceState:
        self._counters.yielded += 1
        moved_from = job.moved_from
        settled = replies.moved(fence.moved_to)
        if moved_from and moved_from != fence.moved_to:
            # Who held the request before may still do so.
            self._forget(job)
            self._abort(job, settled)
            return self._moved(moved_from, fence)
        self._ledger.move(job.request.request_id, fence.moved_to, self._now())
        self._abort(job, settled)
        return self._never_ran(fence)

    def _fence_entry(
        self, entry: Entry, fence: messages.CallFence
    ) -> Settled | FenceState:
        if entry.outcome is not None:
            return Settled(entry.outcome)
        if entry.state is EntryState.FORGOTTEN:
            return FenceState.FORGOTTEN
        is_elsewhere = entry.state is EntryState.MOVED
        if is_elsewhere and entry.moved_to != fence.moved_to:
            return self._moved(entry.moved_to, fence)
        if not is_elsewhere and fence.moved_to:
            self._ledger.move(fence.request_id, fence.moved_to, self._now())
        return self._never_ran(fence)

    def _fence_unknown(self, fence: messages.CallFence) -> FenceState:
        is_own = self._standing.is_own(fence.incarnation)
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
        """Tells that this process did not run a request."""
        if self._hides_predecessor(fence):
            return FenceState.OTHER_INCARNATION
        return FenceState.NEVER_RAN

    def _moved(self, moved_to: str, fence: messages.CallFence) -> Settled:
        """Tells that another instance holds a request."""
        if self._hides_predecessor(fence):
            # The asking instance would take the word of the other one, which
            # knows nothing about the runs of an earlier process here.
            return replies.unknown(UnknownReason.RECEIVER_RESTARTED)
        return replies.moved(moved_to)

    def _hides_predecessor(self, fence: messages.CallFence) -> bool:
        """Returns whether an earlier process may matter to a fence.

        It does not when the fence names an incarnation of this process.
        """
        is_bound = self._standing.is_own(fence.incarnation)
        return not is_bound and self._standing.may_have_run_before()
