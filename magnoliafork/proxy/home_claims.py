"""Claims a keyed request at the other instances that may have run it.

The home of an idempotency key is the instance that runs its requests: the
highest-ranked eligible one by rendezvous hashing. It changes when instances
come, go or become ineligible, and nodes may disagree about it for a while.
"""

import asyncio
import collections
import dataclasses
from collections.abc import Callable, Iterable

from magnoliafork.admission.ledger import OUTCOME_TTL_S
from magnoliafork.balance.rendezvous import rank
from magnoliafork.model.instance import Instance, Member, MemberState
from magnoliafork.model.request import NotRunReason, UnknownReason
from magnoliafork.model.view import MembershipView
from magnoliafork.proxy import replies
from magnoliafork.wire import messages
from magnoliafork.wire.api import LinkFailure, PeerCalls

# A run that another instance began just before the home changed may end one
# deadline and grace time later; the ledger keeps its outcome from then on.
RUN_MARGIN_S = 60.0
POSSIBLE_HOME_S = OUTCOME_TTL_S + RUN_MARGIN_S
# Bounds the chain of "moved" replies that one claim follows.
MAX_FENCES_PER_CLAIM = 64
# An instance that gave an inconclusive reply is asked again, for example when
# its own attempt was refused meanwhile.
MAX_FENCES_PER_INSTANCE = 4

# Reply of an instance whose earlier process may have run the request. The
# other instances are still asked, since one of them may have the answer.
_RESTARTED = replies.unknown(UnknownReason.RECEIVER_RESTARTED)

_FenceResult = messages.StreamReply | LinkFailure


@dataclasses.dataclass(frozen=True, slots=True)
class Claim:
    """Result of a claim.

    Attributes:
        call_result: Result that another instance has for the request, or None.
        handed_over: Instances that did not run the request and never will.
        restarted: Instances that will not run the request, but whose earlier
            process may have run it.
        unreachable: Instances without a conclusive reply.
    """

    call_result: replies.CallResult | None = None
    handed_over: frozenset[str] = frozenset()
    restarted: frozenset[str] = frozenset()
    unreachable: frozenset[str] = frozenset()


class HomeClaims:
    """Finds the other possible homes of a request and claims it there."""

    def __init__(
        self,
        instance: Instance,
        members: MembershipView,
        peers: PeerCalls,
        now: Callable[[], float],
    ) -> None:
        """Creates the claims of one instance."""
        self._instance = instance
        self._members = members
        self._peers = peers
        self._now = now

    def ranks_above(self, other_id: str, request_id: str) -> bool:
        """Returns whether another instance ranks above this one."""
        own_id = self._instance.instance_id
        return rank(request_id, (own_id, other_id))[0] != own_id

    def candidates(self, request_id: str, eligible_for_s: float) -> list[str]:
        """Returns the instances that may have run a request before.

        Args:
            request_id: Id of the request.
            eligible_for_s: Time for which this instance has been eligible
                for new work.
        """
        own_id = self._instance.instance_id
        known = {
            member.instance.instance_id: member
            for member in self._members.members_of(self._instance.service)
        }
        ordered = rank(request_id, {*known, own_id})
        if eligible_for_s >= POSSIBLE_HOME_S:
            position = ordered.index(own_id)
            below = ordered[position + 1 :]
            ordered = ordered[:position] + self._recently_changed(below)
        return [
            other_id
            for other_id in ordered
            if other_id != own_id and not self._is_long_gone(known[other_id])
        ]

    def _recently_changed(self, instance_ids: list[str]) -> list[str]:
        """Returns the instances whose membership state changed recently.

        A lower-ranked instance that looks dead from here may be on the other
        side of a network partition. On that side this instance looks dead,
        and the lower-ranked one may have run its keys.
        """
        now_s = self._now()
        return [
            other_id
            for other_id in instance_ids
            if self._members.state_age_s(other_id, now_s) < POSSIBLE_HOME_S
        ]

    async def claim(
        self, request_id: str, first: Iterable[str], deadline_s: float
    ) -> Claim:
        """Asks other instances to hand a request over to this one.

        Args:
            request_id: Id of the request.
            first: Instances to ask first; their replies may name others.
            deadline_s: Loop time at which the caller gives up.
        """
        state = _ClaimState(self._instance.instance_id, list(first))
        asking: dict[asyncio.Task[_FenceResult], str] = {}
        try:
            while state.waiting or asking:
                for other_id in state.take_waiting():
                    ask = self._ask(other_id, request_id, deadline_s)
                    asking[asyncio.create_task(ask)] = other_id
                done, _ = await asyncio.wait(
                    asking, return_when=asyncio.FIRST_COMPLETED
                )
                for task in [task for task in asking if task in done]:
                    call_result = state.note(asking.pop(task), task.result())
                    if call_result is not None:
                        return Claim(call_result)
        finally:
            for task in asking:
                task.cancel()
        return state.claim()

    async def _ask(
        self, other_id: str, request_id: str, deadline_s: float
    ) -> _FenceResult:
        return await self._peers.fence(
            other_id,
            request_id,
            0,
            max(0.0, deadline_s - self._now()),
            self._instance.instance_id,
        )

    def _is_long_gone(self, member: Member) -> bool:
        """Returns whether an instance holds no outcomes any more.

        Its ledger has expired if it has been dead for that long. An instance
        without an incarnation is known from the platform's list only; after
        that time no node has ever heard from it.
        """
        if member.state is not MemberState.DEAD and member.incarnation != 0:
            return False
        other_id = member.instance.instance_id
        age_s = self._members.state_age_s(other_id, self._now())
        return age_s > OUTCOME_TTL_S


class _ClaimState:
    """Replies to one claim so far, and the instances to ask next."""

    def __init__(self, own_id: str, first: list[str]) -> None:
        self._own_id = own_id
        self._asked: collections.Counter[str] = collections.Counter()
        self._asking: set[str] = set()
        self._handed_over: set[str] = set()
        self._restarted: set[str] = set()
        self._unreachable: set[str] = set()
        self._fallback: replies.CallResult | None = None
        self.waiting = first

    def take_waiting(self) -> list[str]:
        """Returns the instances to ask now."""
        taken = self.waiting
        self.waiting = []
        self._asked.update(taken)
        self._asking.update(taken)
        return taken

    def note(
        self, other_id: str, reply: _FenceResult
    ) -> replies.CallResult | None:
        """Records a reply; returns the call result if the reply has one."""
        self._asking.discard(other_id)
        call_result = _call_result_of(reply)
        if call_result == _RESTARTED:
            self._fallback = call_result
            return None
        if call_result is not None:
            return call_result
        if self._is_handed_over(reply):
            self._handed_over.add(other_id)
        elif _is_restarted(reply):
            self._restarted.add(other_id)
        elif isinstance(reply, LinkFailure):
            self._unreachable.add(other_id)
        else:
            self._ask_next(_next_to_ask(other_id, reply))
        return None

    def claim(self) -> Claim:
        """Returns the result when no instance is left to ask."""
        return Claim(
            self._fallback,
            frozenset(self._handed_over),
            frozenset(self._restarted),
            frozenset(self._unreachable),
        )

    def _is_handed_over(self, reply: _FenceResult) -> bool:
        if isinstance(reply, messages.CallFenceReply):
            return reply.state == messages.FenceState.NEVER_RAN
        if not isinstance(reply, messages.CallRefused):
            return False
        is_moved = reply.reason == NotRunReason.MOVED
        return is_moved and reply.moved_to == self._own_id

    def _ask_next(self, other_id: str) -> None:
        if other_id in self._handed_over or other_id in self._restarted:
            return
        if other_id in self._asking or other_id in self.waiting:
            return
        is_allowed = self._asked.total() < MAX_FENCES_PER_CLAIM
        if is_allowed and self._asked[other_id] < MAX_FENCES_PER_INSTANCE:
            self.waiting.append(other_id)
        else:
            self._unreachable.add(other_id)


def _call_result_of(
    reply: _FenceResult,
) -> replies.CallResult | None:
    """Returns the call result that a reply contains, if any."""
    if isinstance(reply, messages.CallAnswer):
        return replies.CallResult(replies.answer_of(reply))
    if isinstance(reply, messages.CallUnknown):
        return replies.unknown(replies.unknown_reason_of(reply.reason))
    if not isinstance(reply, messages.CallFenceReply):
        return None
    if reply.state != messages.FenceState.FORGOTTEN:
        return None
    return replies.unknown(UnknownReason.ANSWER_FORGOTTEN)


def _is_restarted(reply: _FenceResult) -> bool:
    if not isinstance(reply, messages.CallFenceReply):
        return False
    return reply.state == messages.FenceState.OTHER_INCARNATION


def _next_to_ask(other_id: str, reply: messages.StreamReply) -> str:
    """Returns the instance to ask after an inconclusive reply."""
    if not isinstance(reply, messages.CallRefused):
        return other_id
    if reply.reason == NotRunReason.MOVED and reply.moved_to:
        return reply.moved_to
    return other_id
