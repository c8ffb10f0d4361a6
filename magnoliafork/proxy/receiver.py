"""Receiver: accepts calls from other nodes and runs them at the upstream."""

import asyncio
from collections.abc import Callable

from magnoliafork.admission.ledger import Ledger
from magnoliafork.model.instance import Instance
from magnoliafork.model.request import Answered, NotRunReason, OutcomeUnknown
from magnoliafork.model.rules import Priority
from magnoliafork.model.view import MembershipView, SnapshotView
from magnoliafork.proxy import replies
from magnoliafork.proxy.at_most_once import AtMostOnceCalls
from magnoliafork.proxy.counters import ReceiverCounters
from magnoliafork.proxy.home_claims import HomeClaims
from magnoliafork.proxy.instance_eligibility import InstanceEligibility
from magnoliafork.proxy.replies import CallResult, Load
from magnoliafork.proxy.slots import Slots
from magnoliafork.proxy.upstream import Upstream
from magnoliafork.proxy.upstream_calls import UpstreamCalls
from magnoliafork.wire import messages
from magnoliafork.wire.api import PeerCalls
from magnoliafork.wire.messages import FenceState

# Time to send the last replies after a stop has cancelled the remaining calls.
LAST_REPLIES_TIMEOUT_S = 1.0


def _assume_earlier_process() -> bool:
    return True


class Receiver:
    """Serves calls from peers; every request to the upstream passes it."""

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
        may_have_earlier_process: Callable[[], bool] = _assume_earlier_process,
    ) -> None:
        """Creates the receiver of one instance.

        Args:
            instance: The instance.
            incarnation: Gives the incarnation of this node.
            snapshots: Configuration in force.
            members: Membership view of this node.
            upstream: Client of the local upstream.
            peers: Connections to other nodes.
            now: Gives the time of the loop in seconds.
            is_view_stale: Whether the node was paused and has not yet
                exchanged heartbeats.
            ledger: At-most-once table; a new one by default.
            may_have_earlier_process: Whether an earlier process of this
                instance may have run requests within the last minutes.
        """
        self._instance = instance
        self._now = now
        self._calls = 0
        self.counters = ReceiverCounters()
        self._eligibility = InstanceEligibility(
            instance,
            incarnation,
            snapshots,
            members,
            now,
            is_view_stale,
            may_have_earlier_process,
        )
        eligibility = self._eligibility
        self._slots = Slots(eligibility.rule, eligibility.refusal, now)
        self._upstream = UpstreamCalls(
            upstream, self._slots, eligibility.rule, self.counters, now
        )
        self._at_most_once = AtMostOnceCalls(
            eligibility,
            self._slots,
            self._upstream,
            HomeClaims(instance, members, peers, now),
            ledger or Ledger(),
            self.counters,
            now,
        )

    @property
    def active(self) -> int:
        """Number of requests that the upstream is running."""
        return self._slots.active

    @property
    def limit(self) -> int:
        """Concurrency limit of the upstream; 0 if it takes no new work."""
        if self._eligibility.refusal() is not None:
            return 0
        return self._slots.limit

    @property
    def queued(self) -> int:
        """Number of requests that wait for a slot."""
        return self._slots.queued

    def begin_stop(self) -> None:
        """Refuses new work from now on; running requests continue."""
        self._eligibility.is_leaving = True
        self._slots.dispatch()

    async def drained(self, timeout_s: float) -> int:
        """Waits for the calls in flight and cancels those left at the timeout.

        Returns:
            The number of cancelled calls.
        """
        if await self._wait_idle(timeout_s):
            return 0
        cancelled = (
            self._upstream.cancel_all() + self._at_most_once.abort_asking()
        )
        await self._wait_idle(LAST_REPLIES_TIMEOUT_S)
        self.counters.cut_by_stop += cancelled
        return cancelled

    def tick(self, now_s: float) -> None:
        """Expires ledger entries, adapts the limit and serves the queue."""
        self._eligibility.record_incarnation()
        self._at_most_once.expire(now_s)
        rule = self._eligibility.rule()
        if rule is not None:
            self._slots.limiter.tick(rule, now_s)
        self._slots.dispatch()

    async def on_call(
        self, sender_id: str, request: messages.CallRequest
    ) -> messages.CallReply:
        """Runs one request; the task is cancelled if the sender cancels."""
        deadline_s = self._now() + request.remaining_ms / 1000
        self._calls += 1
        try:
            if not self._is_acceptable(request):
                call_result = replies.refused(NotRunReason.BAD_REQUEST)
            elif request.repeatable:
                call_result = await self._run_repeatable(request, deadline_s)
            else:
                call_result = await self._at_most_once.run(request, deadline_s)
        finally:
            self._calls -= 1
        self._count(call_result)
        return replies.to_reply(call_result, request.stream_id, self._load())

    async def on_fence(
        self, sender_id: str, fence: messages.CallFence
    ) -> messages.StreamReply:
        """Returns the outcome of a request, or bars it from ever running."""
        self.counters.fences += 1
        self._calls += 1
        try:
            result = await self._at_most_once.fence(fence)
        finally:
            self._calls -= 1
        if isinstance(result, FenceState):
            return messages.CallFenceReply(fence.stream_id, result.value)
        return replies.to_reply(result, fence.stream_id, self._load())

    def _is_acceptable(self, request: messages.CallRequest) -> bool:
        has_headers = len(request.header_names) == len(request.header_values)
        is_known = request.priority in tuple(Priority)
        is_own = request.service_name == self._instance.service
        return has_headers and is_known and is_own

    async def _run_repeatable(
        self, request: messages.CallRequest, deadline_s: float
    ) -> CallResult:
        ticket = self._slots.ticket(Priority(request.priority), deadline_s)
        reason = await self._slots.acquire(ticket)
        if reason is not None:
            return replies.refused(reason)
        try:
            reason = self._eligibility.refusal_or_deadline(deadline_s)
            if reason is not None:
                return replies.refused(reason)
            return await self._upstream.send(request, deadline_s, deadline_s)
        finally:
            self._slots.release()

    def _load(self) -> Load:
        return Load(self.active, self.limit)

    def _count(self, call_result: CallResult) -> None:
        if isinstance(call_result.outcome, Answered):
            self.counters.answered += 1
        elif isinstance(call_result.outcome, OutcomeUnknown):
            self.counters.unknown += 1
        else:
            self.counters.refused[call_result.outcome.reason.value] += 1

    async def _wait_idle(self, timeout_s: float) -> bool:
        """Waits until no call is in flight; returns False at the timeout."""
        end_s = self._now() + timeout_s
        while self._calls or self._at_most_once.count or self._upstream.count:
            if self._now() >= end_s:
                return False
            await asyncio.sleep(0.01)
        return True
