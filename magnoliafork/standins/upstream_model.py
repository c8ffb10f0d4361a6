"""Capacity, hints and run records of the upstream stand-in."""

import collections
import dataclasses
import enum


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamBehaviour:
    """How an upstream stand-in behaves.

    Attributes:
        service: Service name, echoed in answers.
        instance_id: Instance id, echoed in answers.
        slots: Requests that a warm upstream runs at a time.
        connections: Connections that the upstream accepts at a time.
        service_time_s: Mean time of one request.
        jitter: Share by which a service time varies around the mean.
        cold_slots: Requests at a time right after a start.
        cold_start_s: Time in which the capacity grows to the slots.
        overload_grace_s: Overload in cold start that lasts this long makes the
            upstream crash.
        restart_s: Time from a crash until the upstream accepts connections.
        sheds_load: Whether a warm upstream refuses requests above its slots;
            otherwise they share the slots and all get slower.
        connection_cost_s: Extra time of the first request of a connection.
        probe_cost_s: Time of a health or load request.
        hint_lag_s: Age of the state that `/health` and `/load` report.
        always_healthy: Whether `/health` reports ok in every state.
        answer_padding_bytes: Extra bytes in each answer.
        seed: Seed of the service times.
    """

    service: str = "service"
    instance_id: str = "service-1"
    slots: int = 12
    connections: int = 120
    service_time_s: float = 0.005
    jitter: float = 0.0
    cold_slots: int = 1
    cold_start_s: float = 0.0
    overload_grace_s: float = 0.25
    restart_s: float = 0.5
    sheds_load: bool = True
    connection_cost_s: float = 0.0
    probe_cost_s: float = 0.0
    hint_lag_s: float = 1.0
    always_healthy: bool = False
    answer_padding_bytes: int = 0
    seed: int = 1


class RunEnd(enum.StrEnum):
    """How a run ended."""

    RUNNING = "running"
    ANSWERED = "answered"
    DEADLINE = "deadline"
    CANCELLED = "cancelled"
    CUT = "cut"


@dataclasses.dataclass(slots=True)
class Run:
    """One execution of a request.

    Attributes:
        key: Idempotency key, or the request id if there is none.
        request_id: Value of `Magnolia-Request-Id`, or an empty string.
        idempotency_key: Value of `Idempotency-Key`, or an empty string.
        method: HTTP method.
        path: Path with its query string.
        body_digest: SHA-256 of the request body.
        boot_id: Boot id of the upstream at the start of the run.
        started_s: Start on the loop's clock.
        ended_s: End on the loop's clock, or None while it runs.
        end: How the run ended.
    """

    key: str
    request_id: str
    idempotency_key: str
    method: str
    path: str
    body_digest: str
    boot_id: str
    started_s: float
    ended_s: float | None = None
    end: RunEnd = RunEnd.RUNNING

    def finish(self, end: RunEnd, now_s: float) -> None:
        """Records the end of the run."""
        self.end = end
        self.ended_s = now_s


class Capacity:
    """Requests that the upstream can run at a time, by time since start.

    >>> capacity = Capacity(UpstreamBehaviour(slots=10, cold_start_s=9.0))
    >>> capacity.restart(now_s=100.0)
    >>> [capacity.at(now_s) for now_s in (100.0, 104.5, 109.0)]
    [1, 5, 10]
    """

    def __init__(self, behaviour: UpstreamBehaviour) -> None:
        """Starts cold at time 0."""
        self._behaviour = behaviour
        self._started_s = 0.0
        self._overloaded_since_s: float | None = None

    def restart(self, now_s: float) -> None:
        """Begins a cold start."""
        self._started_s = now_s
        self._overloaded_since_s = None

    def is_cold(self, now_s: float) -> bool:
        """Returns whether the cold start has not ended yet."""
        return now_s < self._started_s + self._behaviour.cold_start_s

    def at(self, now_s: float) -> int:
        """Returns the capacity at a time."""
        behaviour = self._behaviour
        if not self.is_cold(now_s):
            return behaviour.slots
        share = (now_s - self._started_s) / behaviour.cold_start_s
        growth = (behaviour.slots - behaviour.cold_slots) * share
        return behaviour.cold_slots + int(growth)

    def is_overloaded(self, active: int, now_s: float) -> bool:
        """Returns whether a cold upstream runs more than it can."""
        return self.is_cold(now_s) and active > self.at(now_s)

    def should_crash(self, active: int, now_s: float) -> bool:
        """Returns whether overload in cold start has lasted the grace time."""
        if not self.is_overloaded(active, now_s):
            self._overloaded_since_s = None
            return False
        if self._overloaded_since_s is None:
            self._overloaded_since_s = now_s
        lasted_s = now_s - self._overloaded_since_s
        return lasted_s >= self._behaviour.overload_grace_s


@dataclasses.dataclass(frozen=True, slots=True)
class Hint:
    """State that `/health` and `/load` report."""

    health: str
    active: int
    limit: int


class LaggingHints:
    """Reports load hints with a delay."""

    def __init__(self, lag_s: float, first: Hint) -> None:
        """Starts with a hint that holds from the beginning."""
        self._lag_s = lag_s
        self._reported = first
        self._pending: collections.deque[tuple[float, Hint]] = (
            collections.deque()
        )

    def record(self, hint: Hint, now_s: float) -> None:
        """Records what is true now."""
        self._pending.append((now_s, hint))
        self._expire(now_s)

    def report(self, now_s: float) -> Hint:
        """Returns the newest hint that is old enough."""
        self._expire(now_s)
        return self._reported

    def _expire(self, now_s: float) -> None:
        while self._pending and self._pending[0][0] <= now_s - self._lag_s:
            self._reported = self._pending.popleft()[1]
