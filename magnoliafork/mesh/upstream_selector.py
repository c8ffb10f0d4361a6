"""Selects the upstream for one attempt by the lowest estimated cost.

Traffic within a zone is free, so an upstream of the own zone is selected under
low load. When its queue grows, or it fails, the expected lateness outweighs
the cost of traffic to another zone.

A load hint is of the moment of a reply. In a large fleet, a node gets one from
each upstream every few seconds, while queues change within the time of a
request. As it gets older, the hint gives way to the mean of the hints of that
upstream. Otherwise each upstream would seem free, and all nodes would send most
requests to the fastest ones.
"""

import dataclasses
import math
import random
from collections.abc import Callable, Container, Sequence

from magnoliafork.mesh.model import UpstreamEntry
from magnoliafork.model.request import NotRunReason
from magnoliafork.proxy.attempt import is_failure
from magnoliafork.wire import messages
from magnoliafork.wire.api import LinkFailure

# Cost of one kilobyte sent between zones, in units of one timely answer.
CROSS_ZONE_COST_PER_KB = 0.03
# Exponent of the expected time as a share of the target latency. Few answers
# are late while that share is below a half.
LATENESS_EXPONENT = 3
# Cost of an upstream all of whose slots are in use; upstreams slow down when
# they are nearly full.
FULL_SLOTS_COST = 0.2
# Cost of an upstream all of whose answers are failures.
FAILURE_COST = 3.0
# Cost of an upstream that refused a request, until the end of the wait that its
# reply named.
REFUSED_COST = 5.0
# Cost of an upstream whose node did not answer, and for how long it applies:
# doubled with each failure in a row, up to the maximum.
UNREACHABLE_COST = 20.0
MIN_UNREACHABLE_S = 0.5
MAX_UNREACHABLE_S = 4.0
# Time after which the share of failures no longer counts, so that an upstream
# that got no requests because of it is tried again.
FAILURE_DECAY_S = 3.0
DEFAULT_WORK_S = 0.05
DEFAULT_ANSWER_BYTES = 1000
# Headers of a request and its answer, frames between nodes, and those of TCP.
CALL_OVERHEAD_BYTES = 900
# Maximum number of upstreams compared for one attempt.
MAX_COMPARED = 8
# Maximum random increase of a cost, as a share of it, so that nodes with the
# same hints do not all select the same upstream.
JITTER_SHARE = 0.15
MAX_KINDS = 256
# Weight of the newest hint in the mean backlog of an upstream, and in the mean
# load of a service, which gets the hints of all its upstreams.
BACKLOG_WEIGHT = 0.1
SERVICE_LOAD_WEIGHT = 0.02
# Hosts without a call for this long are dropped; their hints are outdated by
# then.
IDLE_EXPIRY_S = 300.0
# Weight of the newest value in moving averages.
AVERAGE_WEIGHT = 0.1


@dataclasses.dataclass(frozen=True, slots=True)
class _RateLimit:
    """Limit that an upstream has stated for the requests of all nodes.

    Attributes:
        upstream_id: The upstream.
        milli: Requests per 1000 s.
        free_at_s: Time at which the limit allows a request of this node.
    """

    upstream_id: str
    milli: int
    free_at_s: float


@dataclasses.dataclass(slots=True)
class _HostState:
    """Load and failures of one upstream, from replies and own calls."""

    active: int = 0
    queued: int = 0
    limit: int = 0
    mean_backlog: float = 0.0
    hinted_at_s: float = float("-inf")
    sent_since_hint: int = 0
    in_flight: int = 0
    last_call_at_s: float = 0.0
    failure_share: float = 0.0
    failures_at_s: float = float("-inf")
    refused_until_s: float = float("-inf")
    unreachable_until_s: float = float("-inf")
    unreachable_for_s: float = 0.0
    rate_limit: _RateLimit | None = None
    work_s: dict[int, float] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(frozen=True, slots=True)
class RequestProfile:
    """Properties of a request that the selection depends on.

    Attributes:
        kind: Kind of request, by which its work time is recorded.
        target_latency_s: Time within which an answer has its full value.
        bytes: Expected size of request and answer.
    """

    kind: int
    target_latency_s: float
    bytes: int


class UpstreamSelector:
    """Selects upstreams by what it learned from attempts, by host."""

    def __init__(
        self,
        own_zone: str,
        rng: random.Random,
        clock: Callable[[], float],
    ) -> None:
        """Creates a selector without records for a node in a zone."""
        self._own_zone = own_zone
        self._rng = rng
        self._clock = clock
        self._states: dict[str, _HostState] = {}
        self._answer_bytes: dict[int, float] = {}
        self._service_work_s: dict[tuple[str, int], float] = {}
        # Mean backlog of the upstreams of a service, as a share of their limit.
        self._service_load: dict[str, float] = {}

    # Records of attempts; implements `AttemptObserver`.

    def begin(self, instance_id: str) -> None:
        """Counts a call in flight."""
        state = self._state_of(instance_id)
        state.in_flight += 1
        state.sent_since_hint += 1
        _use_rate_limit(state, self._clock())
        state.last_call_at_s = self._clock()

    def end(self, instance_id: str) -> None:
        """Counts the end of a call."""
        self._state_of(instance_id).in_flight -= 1

    def observe(
        self,
        request: messages.CallRequest,
        instance_id: str,
        instance_count: int,
        reply: messages.CallReply | LinkFailure,
        waited_s: float,
    ) -> None:
        """Records the load hints of a reply and counts failures."""
        del instance_count
        state = self._state_of(instance_id)
        now_s = self._clock()
        if isinstance(reply, LinkFailure):
            self._mark_unreachable(state, now_s)
            return
        state.unreachable_for_s = 0.0
        state.unreachable_until_s = float("-inf")
        if isinstance(reply, (messages.CallAnswer, messages.CallRefused)):
            state.active = reply.active
            state.queued = reply.queued
            state.limit = max(1, reply.limit)
            self._record_backlog(request.service_name, state)
            state.hinted_at_s = now_s
            state.sent_since_hint = 0
            state.failure_share = reply.failure_permille / 1000
            state.failures_at_s = now_s
            self._record_work(request, state, reply.mean_work_ms)
            _record_rate_limit(state, reply, now_s)
        if isinstance(reply, messages.CallAnswer):
            self._record_size(request.target_latency_ms, len(reply.body))
        if isinstance(reply, messages.CallRefused):
            # A refusal of one suspect says nothing about other requests.
            if reply.reason != NotRunReason.CRASHES_UPSTREAM:
                state.refused_until_s = now_s + reply.retry_after_ms / 1000
        elif is_failure(reply, waited_s):
            state.failure_share = min(1.0, state.failure_share + 0.1)
            state.failures_at_s = now_s

    def lost_to_hedge(
        self, service: str, instance_id: str, instance_count: int
    ) -> None:
        """Counts an attempt that a later copy overtook as a failure."""
        del service, instance_count
        state = self._state_of(instance_id)
        state.failure_share = min(1.0, state.failure_share + 0.1)
        state.failures_at_s = self._clock()

    def responded(self, instance_id: str) -> None:
        """Notes that a host responds on a new connection."""
        state = self._state_of(instance_id)
        state.unreachable_for_s = 0.0
        state.unreachable_until_s = float("-inf")

    def expected_bytes(self, kind: int, request_bytes: int) -> int:
        """Returns the expected size of a request and its answer."""
        answer = self._answer_bytes.get(kind, DEFAULT_ANSWER_BYTES)
        return request_bytes + int(answer) + CALL_OVERHEAD_BYTES

    def _drop_idle(self, now_s: float) -> None:
        """Drops hosts that had no call for a long time."""
        for host, state in list(self._states.items()):
            is_old = now_s - state.last_call_at_s > IDLE_EXPIRY_S
            if is_old and state.in_flight <= 0:
                del self._states[host]

    def rate_limit_milli(self, entry: UpstreamEntry) -> int:
        """Returns the limit that an upstream has stated; 0 if none is known."""
        state = self._states.get(entry.host)
        limit = state.rate_limit if state is not None else None
        if limit is None or limit.upstream_id != entry.upstream_id:
            return 0
        return limit.milli

    # Selection.

    def choose(
        self,
        entries: Sequence[UpstreamEntry],
        excluded: Container[str],
        profile: RequestProfile,
    ) -> UpstreamEntry | None:
        """Returns the upstream of the lowest cost; None if all are excluded.

        Args:
            entries: Upstreams of the service that may get requests.
            excluded: Hosts that this request has already tried.
            profile: The request.
        """
        now_s = self._clock()
        best: UpstreamEntry | None = None
        best_cost = 0.0
        for entry in self._sample(entries, excluded):
            cost = self.cost(entry, profile, now_s)
            cost *= 1.0 + JITTER_SHARE * self._rng.random()
            if best is None or cost < best_cost:
                best, best_cost = entry, cost
        return best

    def expected_s(
        self, entry: UpstreamEntry, profile: RequestProfile, now_s: float
    ) -> float:
        """Returns the expected time until the answer of an upstream."""
        state = self._states.get(entry.host)
        work_s = self._work_s(entry, state, profile.kind)
        if state is None:
            load = self._service_load.get(entry.service, 0.0)
            return work_s * (1 + max(0.0, load - 1))
        limit = state.limit or entry.slots
        backlog = self._backlog(state, limit, work_s, now_s)
        wait_s = max(0.0, backlog + 1 - limit) * work_s / limit
        if self.rate_limit_milli(entry) and state.rate_limit is not None:
            wait_s = max(wait_s, state.rate_limit.free_at_s - now_s)
        return wait_s + work_s

    def cost(
        self, entry: UpstreamEntry, profile: RequestProfile, now_s: float
    ) -> float:
        """Returns the cost of an attempt, in units of one timely answer."""
        expected_s = self.expected_s(entry, profile, now_s)
        share = expected_s / max(profile.target_latency_s, 0.001)
        cost = share**LATENESS_EXPONENT
        if entry.zone != self._own_zone:
            cost += CROSS_ZONE_COST_PER_KB * profile.bytes / 1000
        state = self._states.get(entry.host)
        if state is None:
            return cost
        limit = state.limit or entry.slots
        work_s = self._work_s(entry, state, profile.kind)
        backlog = self._backlog(state, limit, work_s, now_s)
        cost += FULL_SLOTS_COST * min(1.0, backlog / limit) ** 2
        age_s = now_s - state.failures_at_s
        decay = max(0.0, 1.0 - age_s / FAILURE_DECAY_S)
        cost += FAILURE_COST * state.failure_share * decay
        if now_s < state.refused_until_s:
            cost += REFUSED_COST
        if now_s < state.unreachable_until_s:
            cost += UNREACHABLE_COST
        return cost

    def _sample(
        self, entries: Sequence[UpstreamEntry], excluded: Container[str]
    ) -> list[UpstreamEntry]:
        remaining = [e for e in entries if e.host not in excluded]
        if len(remaining) <= MAX_COMPARED:
            return remaining
        same_zone = [e for e in remaining if e.zone == self._own_zone]
        other_zones = [e for e in remaining if e.zone != self._own_zone]
        half = MAX_COMPARED // 2
        picked = self._rng.sample(same_zone, min(half, len(same_zone)))
        rest = MAX_COMPARED - len(picked)
        return picked + self._rng.sample(
            other_zones, min(rest, len(other_zones))
        )

    def _work_s(
        self, entry: UpstreamEntry, state: _HostState | None, kind: int
    ) -> float:
        if state is not None and kind in state.work_s:
            return state.work_s[kind]
        return self._service_work_s.get((entry.service, kind), DEFAULT_WORK_S)

    @staticmethod
    def _backlog(
        state: _HostState, limit: int, work_s: float, now_s: float
    ) -> float:
        if state.hinted_at_s == float("-inf"):
            return float(state.in_flight)
        age_s = now_s - state.hinted_at_s
        # A queue forgets its length within about the time of a request.
        kept = math.exp(-age_s / max(work_s, 0.001))
        hint = state.active + state.queued
        expected = state.mean_backlog + (hint - state.mean_backlog) * kept
        return max(expected + state.sent_since_hint, state.in_flight)

    def _record_work(
        self, request: messages.CallRequest, state: _HostState, work_ms: int
    ) -> None:
        kind = request.target_latency_ms
        key = (request.service_name, kind)
        is_full = len(self._service_work_s) >= MAX_KINDS
        if work_ms <= 0 or (is_full and key not in self._service_work_s):
            return
        state.work_s[kind] = work_ms / 1000
        self._service_work_s[key] = work_ms / 1000

    def _record_backlog(self, service: str, state: _HostState) -> None:
        backlog = state.active + state.queued
        state.mean_backlog += (backlog - state.mean_backlog) * BACKLOG_WEIGHT
        load = self._service_load.get(service, 0.0)
        self._service_load[service] = (
            load + (backlog / state.limit - load) * SERVICE_LOAD_WEIGHT
        )

    def _record_size(self, kind: int, size_bytes: int) -> None:
        is_full = len(self._answer_bytes) >= MAX_KINDS
        if is_full and kind not in self._answer_bytes:
            return
        before = self._answer_bytes.get(kind, float(size_bytes))
        self._answer_bytes[kind] = (
            before + (size_bytes - before) * AVERAGE_WEIGHT
        )

    @staticmethod
    def _mark_unreachable(state: _HostState, now_s: float) -> None:
        state.unreachable_for_s = min(
            max(state.unreachable_for_s * 2, MIN_UNREACHABLE_S),
            MAX_UNREACHABLE_S,
        )
        state.unreachable_until_s = now_s + state.unreachable_for_s

    def _state_of(self, host: str) -> _HostState:
        state = self._states.get(host)
        if state is None:
            now_s = self._clock()
            self._drop_idle(now_s)
            state = self._states[host] = _HostState(last_call_at_s=now_s)
        return state


def _record_rate_limit(
    state: _HostState,
    reply: messages.CallAnswer | messages.CallRefused,
    now_s: float,
) -> None:
    """Records the limit in a reply.

    The node of a refusal may have started a moment ago and not know the limit
    yet, so only an answer without a limit ends it.
    """
    if reply.rate_limit_milli:
        state.rate_limit = _RateLimit(
            reply.upstream_id,
            reply.rate_limit_milli,
            now_s + reply.rate_wait_ms / 1000,
        )
    elif isinstance(reply, messages.CallAnswer):
        state.rate_limit = None


def _use_rate_limit(state: _HostState, now_s: float) -> None:
    """Counts a request of this node until the next reply tells more."""
    limit = state.rate_limit
    if limit is not None:
        free_at_s = max(limit.free_at_s, now_s) + 1000 / limit.milli
        state.rate_limit = dataclasses.replace(limit, free_at_s=free_at_s)
