"""Choice of the upstream for one attempt.

Answers two load patterns. While the fleet is calm, an answer that stays in its
zone costs nothing, so that the own zone's upstream is taken. When its queue
grows, or it fails, the expected lateness outweighs the cost of another zone.
Hints age, because an upstream that was free a moment ago has been found by
other nodes as well.
"""

import dataclasses
import random
from collections.abc import Callable, Container, Sequence

from magnoliafork.mesh.model import UpstreamEntry
from magnoliafork.proxy.attempt import is_failure
from magnoliafork.wire import messages
from magnoliafork.wire.api import LinkFailure

# Cost of one kilobyte between zones, in answers that are in time.
ZONE_COST_PER_KB = 0.03
# Rise of the cost as the expected time nears the target latency. Few answers
# are late while it is below a half.
LATENESS_POWER = 3
# Weight of the share of slots in use; upstreams slow down when nearly full.
BUSY_COST = 0.2
# Cost of an upstream all of whose answers are failures.
FAILURE_COST = 3.0
# Cost of an upstream that refused work, until the time that it named.
REFUSED_COST = 5.0
# Cost of an upstream whose node did not answer.
SILENT_COST = 20.0
SILENT_FIRST_S = 0.5
SILENT_MOST_S = 4.0
# A share of failures is forgotten at this rate, so that an upstream which got
# no work because of them is tried again.
FAILURE_FADE_S = 3.0
DEFAULT_WORK_S = 0.05
DEFAULT_ANSWER_BYTES = 1000
# Upstreams that are compared for one attempt.
MAX_COMPARED = 8
# Random share of a cost, so that nodes with the same hints do not all choose
# the same upstream.
NOISE_SHARE = 0.15
MAX_KINDS = 256
# Hosts without a call for this long are forgotten; all hints are old by then.
FORGET_AFTER_S = 300.0
# Weight of the newest value in averages.
AVERAGE_WEIGHT = 0.1


@dataclasses.dataclass(slots=True)
class _Known:
    """What replies and own calls say of one upstream."""

    active: int = 0
    queued: int = 0
    limit: int = 0
    hinted_at_s: float = float("-inf")
    sent_since_hint: int = 0
    in_flight: int = 0
    begun_at_s: float = 0.0
    failure_share: float = 0.0
    failures_at_s: float = float("-inf")
    refused_until_s: float = float("-inf")
    silent_until_s: float = float("-inf")
    silent_pause_s: float = 0.0
    work_s: dict[int, float] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(frozen=True, slots=True)
class RequestProfile:
    """What the choice depends on, besides the upstreams.

    Attributes:
        kind: Kind of request, by which its work is remembered.
        target_latency_s: Time within which an answer has its full value.
        bytes: Expected size of request and answer.
    """

    kind: int
    target_latency_s: float
    bytes: int


class UpstreamSelector:
    """Learns from attempts and ranks upstreams; keyed by their host."""

    def __init__(
        self,
        own_zone: str,
        rng: random.Random,
        clock: Callable[[], float],
    ) -> None:
        """Creates an empty table as seen from one zone."""
        self._own_zone = own_zone
        self._rng = rng
        self._clock = clock
        self._known: dict[str, _Known] = {}
        self._answer_bytes: dict[int, float] = {}
        self._service_work_s: dict[tuple[str, int], float] = {}

    # Learning; implements `AttemptObserver`.

    def begin(self, instance_id: str) -> None:
        """Counts a call in flight."""
        known = self._entry(instance_id)
        known.in_flight += 1
        known.sent_since_hint += 1
        known.begun_at_s = self._clock()

    def end(self, instance_id: str) -> None:
        """Counts the end of a call."""
        self._entry(instance_id).in_flight -= 1

    def observe(
        self,
        request: messages.CallRequest,
        instance_id: str,
        instance_count: int,
        reply: messages.CallReply | LinkFailure,
        waited_s: float,
    ) -> None:
        """Takes over the hints of a reply and counts failures."""
        del instance_count
        known = self._entry(instance_id)
        now_s = self._clock()
        if isinstance(reply, LinkFailure):
            self._note_silence(known, now_s)
            return
        known.silent_pause_s = 0.0
        known.silent_until_s = float("-inf")
        if isinstance(reply, (messages.CallAnswer, messages.CallRefused)):
            known.active = reply.active
            known.queued = reply.queued
            known.limit = max(1, reply.limit)
            known.hinted_at_s = now_s
            known.sent_since_hint = 0
            known.failure_share = reply.failure_permille / 1000
            known.failures_at_s = now_s
            self._learn_work(request, known, reply.mean_work_ms)
        if isinstance(reply, messages.CallAnswer):
            self._learn_size(request.target_latency_ms, len(reply.body))
        if isinstance(reply, messages.CallRefused):
            known.refused_until_s = now_s + reply.retry_after_ms / 1000
        elif is_failure(reply, waited_s):
            known.failure_share = min(1.0, known.failure_share + 0.1)
            known.failures_at_s = now_s

    def lost_to_hedge(
        self, service: str, instance_id: str, instance_count: int
    ) -> None:
        """Counts an attempt that a later copy overtook as a failure."""
        del service, instance_count
        known = self._entry(instance_id)
        known.failure_share = min(1.0, known.failure_share + 0.1)
        known.failures_at_s = self._clock()

    def expected_bytes(self, kind: int, request_bytes: int) -> int:
        """Returns the expected size of a request and its answer."""
        answer = self._answer_bytes.get(kind, DEFAULT_ANSWER_BYTES)
        return request_bytes + int(answer)

    def _forget_idle(self, now_s: float) -> None:
        """Drops hosts that had no call for long."""
        for host, known in list(self._known.items()):
            is_old = now_s - known.begun_at_s > FORGET_AFTER_S
            if is_old and known.in_flight <= 0:
                del self._known[host]

    # Choosing.

    def choose(
        self,
        entries: Sequence[UpstreamEntry],
        excluded: Container[str],
        profile: RequestProfile,
    ) -> UpstreamEntry | None:
        """Returns the upstream of the lowest cost; None if all are excluded.

        Args:
            entries: Upstreams of the service that may get work.
            excluded: Hosts that this request has already tried.
            profile: The request.
        """
        now_s = self._clock()
        best: UpstreamEntry | None = None
        best_cost = 0.0
        for entry in self._compared(entries, excluded):
            cost = self.cost(entry, profile, now_s)
            cost *= 1.0 + NOISE_SHARE * self._rng.random()
            if best is None or cost < best_cost:
                best, best_cost = entry, cost
        return best

    def expected_s(
        self, entry: UpstreamEntry, profile: RequestProfile, now_s: float
    ) -> float:
        """Returns the expected time until the answer of an upstream."""
        known = self._known.get(entry.host)
        work_s = self._work_s(entry, known, profile.kind)
        if known is None:
            return work_s
        limit = known.limit or entry.slots
        backlog = self._backlog(known, limit, work_s, now_s)
        wait_s = max(0.0, backlog + 1 - limit) * work_s / limit
        return wait_s + work_s

    def cost(
        self, entry: UpstreamEntry, profile: RequestProfile, now_s: float
    ) -> float:
        """Returns the cost of an attempt, in answers that are in time."""
        expected_s = self.expected_s(entry, profile, now_s)
        share = expected_s / max(profile.target_latency_s, 0.001)
        cost = share**LATENESS_POWER
        if entry.zone != self._own_zone:
            cost += ZONE_COST_PER_KB * profile.bytes / 1000
        known = self._known.get(entry.host)
        if known is None:
            return cost
        limit = known.limit or entry.slots
        work_s = self._work_s(entry, known, profile.kind)
        backlog = self._backlog(known, limit, work_s, now_s)
        cost += BUSY_COST * min(1.0, backlog / limit) ** 2
        age_s = now_s - known.failures_at_s
        fade = max(0.0, 1.0 - age_s / FAILURE_FADE_S)
        cost += FAILURE_COST * known.failure_share * fade
        if now_s < known.refused_until_s:
            cost += REFUSED_COST
        if now_s < known.silent_until_s:
            cost += SILENT_COST
        return cost

    def _compared(
        self, entries: Sequence[UpstreamEntry], excluded: Container[str]
    ) -> list[UpstreamEntry]:
        left = [e for e in entries if e.host not in excluded]
        if len(left) <= MAX_COMPARED:
            return left
        near = [e for e in left if e.zone == self._own_zone]
        far = [e for e in left if e.zone != self._own_zone]
        half = MAX_COMPARED // 2
        picked = self._rng.sample(near, min(half, len(near)))
        rest = MAX_COMPARED - len(picked)
        return picked + self._rng.sample(far, min(rest, len(far)))

    def _work_s(
        self, entry: UpstreamEntry, known: _Known | None, kind: int
    ) -> float:
        if known is not None and kind in known.work_s:
            return known.work_s[kind]
        return self._service_work_s.get((entry.service, kind), DEFAULT_WORK_S)

    @staticmethod
    def _backlog(
        known: _Known, limit: int, work_s: float, now_s: float
    ) -> float:
        age_s = now_s - known.hinted_at_s
        served = age_s * limit / max(work_s, 0.001)
        hinted = max(0.0, known.active + known.queued - served)
        return max(hinted + known.sent_since_hint, known.in_flight)

    def _learn_work(
        self, request: messages.CallRequest, known: _Known, work_ms: int
    ) -> None:
        kind = request.target_latency_ms
        key = (request.service_name, kind)
        is_full = len(self._service_work_s) >= MAX_KINDS
        if work_ms <= 0 or (is_full and key not in self._service_work_s):
            return
        known.work_s[kind] = work_ms / 1000
        self._service_work_s[key] = work_ms / 1000

    def _learn_size(self, kind: int, size_bytes: int) -> None:
        is_full = len(self._answer_bytes) >= MAX_KINDS
        if is_full and kind not in self._answer_bytes:
            return
        before = self._answer_bytes.get(kind, float(size_bytes))
        self._answer_bytes[kind] = (
            before + (size_bytes - before) * AVERAGE_WEIGHT
        )

    @staticmethod
    def _note_silence(known: _Known, now_s: float) -> None:
        known.silent_pause_s = min(
            max(known.silent_pause_s * 2, SILENT_FIRST_S), SILENT_MOST_S
        )
        known.silent_until_s = now_s + known.silent_pause_s

    def _entry(self, host: str) -> _Known:
        known = self._known.get(host)
        if known is None:
            now_s = self._clock()
            self._forget_idle(now_s)
            known = self._known[host] = _Known(begun_at_s=now_s)
        return known
