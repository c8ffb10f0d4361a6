"""Baseline senders that call upstreams directly, without nodes."""

import asyncio
import dataclasses
import enum
import itertools
import random
from collections.abc import Sequence
from types import SimpleNamespace
from typing import Protocol

import aiohttp

from magnoliafork.model.result import Err
from magnoliafork.model.rules import RouteRule, RuleSet
from magnoliafork.rules.build import build
from magnoliafork.rules.matcher import RouteTable
from magnoliafork.snapshot.assemble import assemble
from magnoliafork.standins.deployments import CallPattern
from magnoliafork.standins.load_generator import MAX_CALLS_IN_FLIGHT, CallRecord
from magnoliafork.standins.upstream_server import (
    DEADLINE_HEADER,
    NOT_RUN_HEADER,
)

ANSWERED = "answered"
NOT_RUN = "not-run"
FAILED = "failed"
# Maximum number of retries of a request none of whose attempts was run.
MAX_NOT_RUN_RETRIES = 2
MAX_UNCONDITIONAL_RETRIES = 3


def rule_set(rules: str) -> RuleSet:
    """Returns the rules of a valid rules file."""
    built = build(rules, 1)
    if isinstance(built, Err):
        raise AssertionError(f"rules are invalid: {built.errors[0]}")
    assembled = assemble(built.value.manifest, built.value.parts)
    if isinstance(assembled, Err):
        raise AssertionError(f"rules are invalid: {assembled.errors[0]}")
    return assembled.value.rules


def route_table(rules: str) -> RouteTable:
    """Returns the routes of a valid rules file."""
    return RouteTable(rule_set(rules))


def route_of(table: RouteTable, pattern: CallPattern) -> RouteRule:
    """Returns the route that the requests of a pattern take."""
    route = table.match(pattern.method, "", pattern.path.format(n=1))
    if route is None:
        raise AssertionError(f"no route for {pattern.path}")
    return route


class Picker(Protocol):
    """Picks one of the instances that may receive work."""

    def pick(self, service: str, instance_ids: Sequence[str]) -> str:
        """Returns one of the instances of a service."""
        ...

    def begin(self, instance_id: str) -> None:
        """Counts a call to an instance."""
        ...

    def end(self, instance_id: str) -> None:
        """Counts the end of a call."""
        ...


class RoundRobin:
    """Picks the instances of a service in turn.

    >>> picker = RoundRobin()
    >>> [picker.pick("s", ["a", "b"]) for _ in range(3)]
    ['a', 'b', 'a']
    """

    def __init__(self) -> None:
        """Starts with the first instance of each service."""
        self._turns: dict[str, itertools.count[int]] = {}

    def pick(self, service: str, instance_ids: Sequence[str]) -> str:
        """Returns the next instance."""
        turn = next(self._turns.setdefault(service, itertools.count()))
        return instance_ids[turn % len(instance_ids)]

    def begin(self, instance_id: str) -> None:
        """Does nothing."""

    def end(self, instance_id: str) -> None:
        """Does nothing."""


class LeastConnections:
    """Picks the instance with the fewest calls in flight.

    >>> picker = LeastConnections(random.Random(1))
    >>> picker.begin("a")
    >>> picker.pick("s", ["a", "b"])
    'b'
    """

    def __init__(self, rng: random.Random) -> None:
        """Starts without calls; ties are broken at random."""
        self._rng = rng
        self._in_flight: dict[str, int] = {}

    def pick(self, service: str, instance_ids: Sequence[str]) -> str:
        """Returns the instance with the fewest calls."""
        return min(
            instance_ids,
            key=lambda instance_id: (
                self._in_flight.get(instance_id, 0),
                self._rng.random(),
            ),
        )

    def begin(self, instance_id: str) -> None:
        """Counts a call to an instance."""
        self._in_flight[instance_id] = self._in_flight.get(instance_id, 0) + 1

    def end(self, instance_id: str) -> None:
        """Counts the end of a call."""
        self._in_flight[instance_id] -= 1


class RetryPolicy(enum.Enum):
    """When a direct sender retries.

    SAFE follows the retry rules of the nodes, without a retry budget, so that
    only the choice of instances differs. UNCONDITIONAL retries after every
    failure, at the instance that the picker returns next.
    """

    SAFE = "safe"
    UNCONDITIONAL = "unconditional"


@dataclasses.dataclass(frozen=True, slots=True)
class _Reply:
    outcome: str
    status: int
    is_not_run: bool = False


def may_retry(
    policy: RetryPolicy, route: RouteRule, retries: int, is_not_run: bool
) -> bool:
    """Tells whether a failed attempt is repeated.

    Args:
        policy: Policy of the sender.
        route: Route of the request.
        retries: Retries of the request so far.
        is_not_run: Whether the attempt was certainly not run.
    """
    if policy is RetryPolicy.UNCONDITIONAL:
        return retries < MAX_UNCONDITIONAL_RETRIES
    if is_not_run:
        return retries < MAX_NOT_RUN_RETRIES
    return route.repeatable and retries < route.retries


class DirectCallers:
    """Sends requests directly to upstreams at a steady mean rate.

    Attributes:
        targets: URL by instance id, per service; may change at any time.
        records: Requests that have ended.
    """

    def __init__(
        self,
        table: RouteTable,
        patterns: Sequence[CallPattern],
        rate_per_s: float,
        rng: random.Random,
        picker: Picker,
        retry_policy: RetryPolicy,
    ) -> None:
        """Creates callers; `run_until` sends their requests."""
        self._patterns = patterns
        self._routes = {
            pattern: route_of(table, pattern) for pattern in patterns
        }
        self._weights = [pattern.weight for pattern in patterns]
        self._rate_per_s = rate_per_s
        self._rng = rng
        self._picker = picker
        self._retry_policy = retry_policy
        self._count = 0
        self._running: set[asyncio.Task[None]] = set()
        self.targets: dict[str, dict[str, str]] = {}
        self.records: list[CallRecord] = []

    async def run_until(self, end_s: float) -> None:
        """Sends requests until a time on the loop's clock, then waits."""
        loop = asyncio.get_running_loop()
        async with self._session() as session:
            next_s = loop.time()
            while loop.time() < end_s:
                if len(self._running) < MAX_CALLS_IN_FLIGHT:
                    task = loop.create_task(self._call(session))
                    self._running.add(task)
                    task.add_done_callback(self._running.discard)
                next_s += self._rng.expovariate(self._rate_per_s)
                await asyncio.sleep(max(0.0, next_s - loop.time()))
            if self._running:
                await asyncio.wait(self._running)

    def _session(self) -> aiohttp.ClientSession:
        if self._retry_policy is RetryPolicy.SAFE:
            connector = aiohttp.TCPConnector(limit=0)
            return aiohttp.ClientSession(connector=connector)
        return aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0, force_close=True),
            trace_configs=[_reject_client_retries()],
        )

    async def _call(self, session: aiohttp.ClientSession) -> None:
        (pattern,) = self._rng.choices(self._patterns, self._weights)
        self._count += 1
        token = str(self._count)
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        reply = await self._call_with_retries(session, pattern, token)
        self.records.append(
            CallRecord(
                token=token,
                pattern=pattern,
                attempt=1,
                outcome=reply.outcome,
                status=reply.status,
                is_own_answer=True,
                detail="",
                started_s=started_s,
                took_s=loop.time() - started_s,
            )
        )

    async def _call_with_retries(
        self, session: aiohttp.ClientSession, pattern: CallPattern, token: str
    ) -> _Reply:
        route = self._routes[pattern]
        service = route.targets[0].service
        loop = asyncio.get_running_loop()
        deadline_s = loop.time() + route.deadline_ms / 1000
        tried: set[str] = set()
        for retries in itertools.count():
            urls = self.targets[service]
            untried = [key for key in urls if key not in tried]
            instance_id = self._picker.pick(service, untried or list(urls))
            if self._retry_policy is RetryPolicy.SAFE:
                tried.add(instance_id)
            self._picker.begin(instance_id)
            try:
                reply = await _send(
                    session,
                    pattern.method,
                    urls[instance_id] + pattern.path.format(n=token),
                    deadline_s - loop.time(),
                )
            finally:
                self._picker.end(instance_id)
            if reply.outcome == ANSWERED or loop.time() >= deadline_s:
                return reply
            if not may_retry(
                self._retry_policy, route, retries, reply.is_not_run
            ):
                return reply
        raise AssertionError("the number of retries is bounded")


class _RepeatedByClientError(aiohttp.ClientError):
    """aiohttp tried to repeat a request by itself."""


def _reject_client_retries() -> aiohttp.TraceConfig:
    """Rejects the second connection of a request.

    aiohttp opens one to repeat the request, which would add an attempt.
    """

    async def on_create_start(
        session: aiohttp.ClientSession,
        context: SimpleNamespace,
        params: aiohttp.TraceConnectionCreateStartParams,
    ) -> None:
        if getattr(context, "has_connection", False):
            raise _RepeatedByClientError
        context.has_connection = True

    tracing = aiohttp.TraceConfig()
    tracing.on_connection_create_start.append(on_create_start)
    return tracing


async def _send(
    session: aiohttp.ClientSession, method: str, url: str, remaining_s: float
) -> _Reply:
    headers = {DEADLINE_HEADER: str(max(1, int(remaining_s * 1000)))}
    try:
        async with session.request(
            method,
            url,
            headers=headers,
            timeout=aiohttp.ClientTimeout(total=max(0.001, remaining_s)),
        ) as response:
            await response.read()
            is_not_run = response.headers.get(NOT_RUN_HEADER) == "1"
            status = response.status
    except aiohttp.ClientConnectorError:
        return _Reply(NOT_RUN, 0, is_not_run=True)
    except (aiohttp.ClientError, TimeoutError, OSError):
        return _Reply(FAILED, 0)
    if is_not_run:
        return _Reply(NOT_RUN, status, is_not_run=True)
    return _Reply(ANSWERED if status < 500 else FAILED, status)
