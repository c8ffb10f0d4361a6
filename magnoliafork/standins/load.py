"""Callers that send requests and check what comes back."""

import asyncio
import collections
import dataclasses
import random
import uuid

import aiohttp

from magnoliafork.standins.deployments import CallPattern
from magnoliafork.standins.upstream_server import is_answer_to

CALL_TIMEOUT_S = 15.0
MAX_CALLS_IN_FLIGHT = 500


@dataclasses.dataclass(frozen=True, slots=True)
class CallRecord:
    """One request of a caller and its outcome.

    Attributes:
        key: Idempotency key or, without one, the id that the node reported.
        pattern: Kind of the request.
        outcome: Value of the outcome header, or `failed`.
        status: HTTP status, 0 when there was no answer.
        is_own_answer: False when an answer belongs to another request.
        reason: Reason given with an outcome other than an answer.
        started_s: Start on the loop's clock.
        took_s: Time until the answer was complete.
    """

    key: str
    pattern: CallPattern
    outcome: str
    status: int
    is_own_answer: bool
    reason: str
    started_s: float
    took_s: float


class Callers:
    """Sends requests at a steady rate to random nodes."""

    def __init__(
        self,
        patterns: tuple[CallPattern, ...],
        rate_per_s: float,
        rng: random.Random,
    ) -> None:
        """Creates callers that do not call yet."""
        self._patterns = patterns
        self._weights = [pattern.weight for pattern in patterns]
        self._rate_per_s = rate_per_s
        self._rng = rng
        self._count = 0
        self._running: set[asyncio.Task[None]] = set()
        self.targets: list[str] = []
        self.records: list[CallRecord] = []

    async def run_until(self, end_s: float) -> None:
        """Sends requests until a time on the loop's clock, then waits."""
        loop = asyncio.get_running_loop()
        connector = aiohttp.TCPConnector(limit=0)
        async with aiohttp.ClientSession(connector=connector) as session:
            next_s = loop.time()
            while loop.time() < end_s:
                self._start_call(session)
                next_s += self._rng.expovariate(self._rate_per_s)
                await asyncio.sleep(max(0.0, next_s - loop.time()))
            if self._running:
                await asyncio.wait(self._running)

    def counts(self) -> collections.Counter[str]:
        """Returns the number of calls by outcome."""
        return collections.Counter(record.outcome for record in self.records)

    def _start_call(self, session: aiohttp.ClientSession) -> None:
        if not self.targets or len(self._running) >= MAX_CALLS_IN_FLIGHT:
            return
        task = asyncio.get_running_loop().create_task(self._call(session))
        self._running.add(task)
        task.add_done_callback(self._running.discard)

    async def _call(self, session: aiohttp.ClientSession) -> None:
        (pattern,) = self._rng.choices(self._patterns, self._weights)
        self._count += 1
        key = f"{uuid.UUID(int=self._rng.getrandbits(128))}"
        body = (
            f"{key}-{self._count}".encode() if pattern.method == "POST" else b""
        )
        headers = {"Idempotency-Key": key} if pattern.is_keyed else {}
        path = pattern.path.format(n=self._count)
        url = self._rng.choice(self.targets) + path
        started_s = asyncio.get_running_loop().time()
        try:
            async with session.request(
                pattern.method,
                url,
                data=body or None,
                headers=headers,
                timeout=aiohttp.ClientTimeout(total=CALL_TIMEOUT_S),
            ) as response:
                answer = await response.read()
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            self._record_failure(key, pattern, started_s, repr(error))
            return
        outcome = response.headers.get("Magnolia-Outcome", "failed")
        request_id = response.headers.get("Magnolia-Request-Id", "")
        is_own = outcome != "answered" or (
            response.status == 200
            and is_answer_to(answer, body, key if pattern.is_keyed else "")
            and f'"path": "{path}"'.encode() in answer
        )
        self.records.append(
            CallRecord(
                key=key if pattern.is_keyed else request_id,
                pattern=pattern,
                outcome=outcome,
                status=response.status,
                is_own_answer=is_own,
                reason="" if outcome == "answered" else answer.decode(),
                started_s=started_s,
                took_s=asyncio.get_running_loop().time() - started_s,
            )
        )

    def _record_failure(
        self, key: str, pattern: CallPattern, started_s: float, detail: str
    ) -> None:
        took_s = asyncio.get_running_loop().time() - started_s
        self.records.append(
            CallRecord(
                key, pattern, "failed", 0, True, detail, started_s, took_s
            )
        )
