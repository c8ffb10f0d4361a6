"""One attempt of a request at one instance.

After a lost connection, a fence asks the receiver for the outcome of a request
that may not be repeated, and bars the request from running if it has not run.
"""

import asyncio
import dataclasses
from collections.abc import Callable
from typing import Protocol

from magnoliafork.balance.ejection import OutlierEjection
from magnoliafork.balance.load import LoadTable
from magnoliafork.model.request import (
    Answered,
    NotRun,
    NotRunReason,
    Outcome,
    OutcomeUnknown,
    UnknownReason,
)
from magnoliafork.wire import messages
from magnoliafork.wire.api import LinkFailure, PeerCalls, RepeatableFences

# The receiver enforces the deadline too. Its reply is more precise than a
# timeout of the sender, which therefore waits this much longer.
REPLY_GRACE_S = 0.1
# Time after the deadline in which a fence may still determine the outcome.
FENCE_GRACE_S = 0.5
# Pauses between the fences of one request. They grow, so that all the calls
# that a dead receiver left open do not keep trying to connect to it.
FENCE_BACK_OFF_S = 0.05
MAX_FENCE_BACK_OFF_S = 0.4
# The receiver forgets outcomes 120 s after the answer and would then call the
# request never run. A fence is sent in the first half of that time only, and
# its reply is trusted only if it arrives with a margin before the end.
MAX_FENCE_AGE_S = 60.0
MAX_NEVER_RAN_AGE_S = 110.0
# Time for a fence of a request that may be repeated. A new connection takes a
# few milliseconds; a peer that is gone would delay the next attempt.
REPEATABLE_FENCE_S = 0.15
# Receivers remember for this long which repeatable requests they have sent to
# their upstream, and a margin.
MAX_NEVER_SENT_AGE_S = 10.0
# A shorter wait without a reply is due to the caller's deadline and does not
# count as a failure of the instance.
MIN_FAILURE_WAIT_S = 0.3
MOVED = NotRunReason.MOVED.value

_SERVER_ERROR = 500


@dataclasses.dataclass(frozen=True, slots=True)
class Moved:
    """The instance has handed the request over to another one."""

    instance_id: str


AttemptResult = Outcome | Moved


@dataclasses.dataclass(slots=True)
class CallState:
    """State of a request across its attempts.

    Attributes:
        template: Message to send; each attempt sets the remaining time.
        deadline_s: Loop time at which the caller gives up.
        first_sent_s: Loop time of the first attempt, or None before it.
        has_reached: Whether bytes of any attempt may have reached a peer.
    """

    template: messages.CallRequest
    deadline_s: float
    first_sent_s: float | None = None
    has_reached: bool = False


@dataclasses.dataclass(slots=True)
class AttemptCounters:
    """Counts of attempts since the start.

    Attributes:
        attempts: Calls passed to the peer connections.
        fences: Fences sent.
        link_failures: Calls that ended without a reply.
    """

    attempts: int = 0
    fences: int = 0
    link_failures: int = 0


class AttemptObserver(Protocol):
    """Collects from attempts the data for later choices of an instance."""

    def begin(self, instance_id: str) -> None:
        """Records the start of an attempt."""
        ...

    def end(self, instance_id: str) -> None:
        """Records the end of an attempt, whatever its result."""
        ...

    def observe(
        self,
        request: messages.CallRequest,
        instance_id: str,
        instance_count: int,
        reply: messages.CallReply | LinkFailure,
        waited_s: float,
    ) -> None:
        """Records the reply to an attempt, or its link failure."""
        ...

    def lost_to_hedge(
        self, service: str, instance_id: str, instance_count: int
    ) -> None:
        """Records that a later copy of the request was answered first."""
        ...

    def responded(self, instance_id: str) -> None:
        """Records that an instance responds on a new connection."""
        ...


class LoadAndEjectionObserver:
    """Updates the load hints and the outlier ejection from attempts."""

    def __init__(
        self,
        load: LoadTable,
        ejection: OutlierEjection,
        clock: Callable[[], float],
    ) -> None:
        """Creates an observer that updates the tables of the chooser."""
        self._load = load
        self._ejection = ejection
        self._clock = clock

    def begin(self, instance_id: str) -> None:
        """Counts a call in flight."""
        self._load.begin(instance_id)

    def end(self, instance_id: str) -> None:
        """Counts the end of a call."""
        self._load.end(instance_id)

    def observe(
        self,
        request: messages.CallRequest,
        instance_id: str,
        instance_count: int,
        reply: messages.CallReply | LinkFailure,
        waited_s: float,
    ) -> None:
        """Stores the load hint of a reply and counts failures."""
        now_s = self._clock()
        if isinstance(reply, messages.CallAnswer):
            self._load.record_hint(
                instance_id, reply.active, reply.limit, now_s
            )
        elif isinstance(reply, messages.CallRefused):
            self._load.record_hint(
                instance_id, reply.active, reply.limit, now_s
            )
            if reply.reason != MOVED:
                self._load.record_refusal(
                    instance_id, reply.retry_after_ms, now_s
                )
        service = request.service_name
        is_failed = is_failure(reply, waited_s)
        if is_failed is None:
            return
        if is_failed:
            self._ejection.record_failure(
                service, instance_id, instance_count, now_s
            )
        else:
            self._ejection.record_success(instance_id, now_s)

    def lost_to_hedge(
        self, service: str, instance_id: str, instance_count: int
    ) -> None:
        """Counts an attempt as a failure when its hedge was answered first.

        The call of the attempt is cancelled and reports nothing. Without this
        count, an instance behind a silent link would never be ejected by
        requests of hedged routes.
        """
        self._ejection.record_failure(
            service, instance_id, instance_count, self._clock()
        )

    def responded(self, instance_id: str) -> None:
        """Does nothing; the failed call says enough about the instance."""


class Attempts:
    """Runs single attempts and reports their results to an observer."""

    def __init__(
        self,
        peers: PeerCalls,
        observer: AttemptObserver,
        clock: Callable[[], float],
        repeatable_fences: RepeatableFences | None = None,
    ) -> None:
        """Creates a runner of attempts.

        Args:
            peers: Connections to the instances.
            observer: Gets the results.
            clock: Time in seconds.
            repeatable_fences: Asks about requests that may be repeated; None
                if their outcome is unknown after each link failure.
        """
        self._repeatable_fences = repeatable_fences
        self._peers = peers
        self._observer = observer
        self._clock = clock
        self.counters = AttemptCounters()

    async def run(
        self, state: CallState, instance_id: str, instance_count: int
    ) -> AttemptResult:
        """Sends a request to one instance and determines the result.

        Args:
            state: The request.
            instance_id: Receiver.
            instance_count: Candidates of the service, for the ejection cap.

        Returns:
            The result of this attempt. After a link failure of a request that
            may not be repeated, a fence has determined it where that is safe.
        """
        started_s = self._clock()
        remaining_s = state.deadline_s - started_s
        remaining_ms = int(remaining_s * 1000)
        if remaining_ms <= 0:
            return NotRun(NotRunReason.DEADLINE)
        if state.first_sent_s is None:
            state.first_sent_s = started_s
        request = with_remaining_ms(state.template, remaining_ms)
        self.counters.attempts += 1
        self._observer.begin(instance_id)
        try:
            reply = await self._peers.call(
                instance_id, request, remaining_s + REPLY_GRACE_S
            )
            if isinstance(reply, LinkFailure):
                self.counters.link_failures += 1
            self._observer.observe(
                state.template,
                instance_id,
                instance_count,
                reply,
                self._clock() - started_s,
            )
            if not isinstance(reply, LinkFailure):
                state.has_reached = True
                return to_attempt_result(reply)
            return await self._resolve(state, instance_id, reply)
        finally:
            self._observer.end(instance_id)

    def lost_to_hedge(
        self, state: CallState, instance_id: str, instance_count: int
    ) -> None:
        """Reports an attempt whose hedge was answered first."""
        self._observer.lost_to_hedge(
            state.template.service_name, instance_id, instance_count
        )

    async def _resolve(
        self, state: CallState, instance_id: str, failure: LinkFailure
    ) -> AttemptResult:
        if not failure.was_sent:
            return NotRun(NotRunReason.UNREACHABLE)
        state.has_reached = True
        # Without an incarnation the fence might reach a restarted receiver,
        # which would report the request as never run.
        if failure.incarnation == 0:
            return OutcomeUnknown(UnknownReason.NO_REPLY)
        if state.template.repeatable:
            return await self._fence_repeatable(
                state, instance_id, failure.incarnation
            )
        return await self._fence(state, instance_id, failure.incarnation)

    async def _fence_repeatable(
        self, state: CallState, instance_id: str, incarnation: int
    ) -> AttemptResult:
        """Asks once, and briefly: the request may also be sent again."""
        now_s = self._clock()
        timeout_s = min(REPEATABLE_FENCE_S, state.deadline_s - now_s)
        if (
            self._repeatable_fences is None
            or timeout_s <= 0
            or self._age_s(state, now_s) > MAX_NEVER_SENT_AGE_S
        ):
            return OutcomeUnknown(UnknownReason.NO_REPLY)
        self.counters.fences += 1
        reply = await self._repeatable_fences.fence_repeatable(
            instance_id, state.template.request_id, incarnation, timeout_s
        )
        if isinstance(reply, LinkFailure):
            return OutcomeUnknown(UnknownReason.NO_REPLY)
        self._observer.responded(instance_id)
        if (
            isinstance(reply, messages.CallFenceReply)
            and reply.state == messages.FenceState.NEVER_SENT
        ):
            return NotRun(NotRunReason.UNREACHABLE)
        return OutcomeUnknown(UnknownReason.NO_REPLY)

    async def _fence(
        self, state: CallState, instance_id: str, incarnation: int
    ) -> AttemptResult:
        end_s = max(state.deadline_s, self._clock()) + FENCE_GRACE_S
        back_off_s = FENCE_BACK_OFF_S
        while True:
            now_s = self._clock()
            if self._age_s(state, now_s) > MAX_FENCE_AGE_S:
                return OutcomeUnknown(UnknownReason.ANSWER_FORGOTTEN)
            if now_s >= end_s:
                return OutcomeUnknown(UnknownReason.NO_REPLY)
            self.counters.fences += 1
            reply = await self._peers.fence(
                instance_id,
                state.template.request_id,
                incarnation,
                end_s - now_s,
            )
            if not isinstance(reply, LinkFailure):
                self._observer.responded(instance_id)
            if isinstance(reply, messages.CallFenceReply):
                return self._fence_to_result(state, reply)
            if not isinstance(reply, LinkFailure):
                return to_attempt_result(reply)
            await asyncio.sleep(back_off_s)
            back_off_s = min(back_off_s * 2, MAX_FENCE_BACK_OFF_S)

    def _fence_to_result(
        self, state: CallState, reply: messages.CallFenceReply
    ) -> AttemptResult:
        if reply.state == messages.FenceState.OTHER_INCARNATION:
            return OutcomeUnknown(UnknownReason.RECEIVER_RESTARTED)
        if reply.state != messages.FenceState.NEVER_RAN:
            return OutcomeUnknown(UnknownReason.ANSWER_FORGOTTEN)
        if self._age_s(state, self._clock()) > MAX_NEVER_RAN_AGE_S:
            return OutcomeUnknown(UnknownReason.ANSWER_FORGOTTEN)
        if state.template.is_keyed:
            # The receiver now refuses this key; a repeat needs a new one.
            return NotRun(NotRunReason.REFUSED_FOR_EVER)
        return NotRun(NotRunReason.UNREACHABLE)

    @staticmethod
    def _age_s(state: CallState, now_s: float) -> float:
        if state.first_sent_s is None:
            return 0.0
        return now_s - state.first_sent_s


def with_remaining_ms(
    template: messages.CallRequest, remaining_ms: int
) -> messages.CallRequest:
    """Returns the message with the remaining time set.

    Lists all fields because `dataclasses.replace` takes several times as long.
    """
    return messages.CallRequest(
        template.stream_id,
        template.request_id,
        template.service_name,
        template.method,
        template.path,
        template.header_names,
        template.header_values,
        template.body,
        template.repeatable,
        template.priority,
        template.traceparent,
        remaining_ms,
        template.is_keyed,
        template.is_first_attempt,
        template.upstream_id,
        template.target_latency_ms,
        template.age_ms,
        template.rate_limit_milli,
        template.tenant,
        template.key_digest,
        template.config_version,
    )


def to_attempt_result(reply: messages.CallReply) -> AttemptResult:
    """Translates a receiver's reply into the result of the attempt."""
    if isinstance(reply, messages.CallAnswer):
        headers = tuple(
            zip(reply.header_names, reply.header_values, strict=False)
        )
        return Answered(reply.status, headers, reply.body)
    if isinstance(reply, messages.CallUnknown):
        return OutcomeUnknown(_unknown_reason(reply.reason))
    if reply.reason == MOVED:
        return Moved(reply.moved_to)
    return NotRun(_not_run_reason(reply.reason), max(reply.retry_after_ms, 0))


def _not_run_reason(text: str) -> NotRunReason:
    # A newer release may send reasons that this one does not know.
    try:
        return NotRunReason(text)
    except ValueError:
        return NotRunReason.UPSTREAM_REFUSED


def _unknown_reason(text: str) -> UnknownReason:
    try:
        return UnknownReason(text)
    except ValueError:
        return UnknownReason.NO_REPLY


def is_failure(
    reply: messages.CallReply | LinkFailure, waited_s: float
) -> bool | None:
    """Returns whether a reply counts as a failure for outlier ejection.

    None means that the reply counts neither as a failure nor as a success.
    """
    if isinstance(reply, messages.CallAnswer):
        return reply.status >= _SERVER_ERROR
    if isinstance(reply, messages.CallRefused):
        if reply.reason == NotRunReason.UPSTREAM_REFUSED:
            return True
        return None
    if isinstance(reply, messages.CallUnknown):
        if reply.reason == UnknownReason.HOME_CHANGED:
            return None
        return True
    if reply.was_sent and waited_s < MIN_FAILURE_WAIT_S:
        return None
    return True
