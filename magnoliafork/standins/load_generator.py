"""Callers that send requests and check the answers."""

import asyncio
import collections
import dataclasses
import random

import aiohttp

from magnoliafork.standins.deployments import CallPattern
from magnoliafork.standins.upstream_server import is_answer_to

CALL_TIMEOUT_S = 15.0
MAX_CALLS_IN_FLIGHT = 500
MAX_ATTEMPTS = 3
REPEAT_PAUSE_S = 0.2


@dataclasses.dataclass(frozen=True, slots=True)
class CallRecord:
    """One request of a caller and its outcome.

    Attributes:
        token: Unique text of the request, in its body or its path.
        pattern: Kind of the request.
        attempt: 1 for the first sending, more for a repeat with the same key.
        outcome: Value of the outcome header, or `failed`.
        status: HTTP status, 0 when there was no answer.
        is_own_answer: False when an answer belongs to another request.
        detail: Body of an outcome other than an answer, or the error.
        started_s: Start on the loop's clock.
        took_s: Time until the answer was complete.
    """

    token: str
    pattern: CallPattern
    attempt: int
    outcome: str
    status: int
    is_own_answer: bool
    detail: str
    started_s: float
    took_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class _Call:
    """A request that is ready to be sent, once or repeatedly."""

    pattern: CallPattern
    token: str
    key: str

    @property
    def path(self) -> str:
        return self.pattern.path.format(n=self.token)

    @property
    def body(self) -> bytes:
        return self.token.encode() if self.pattern.method == "POST" else b""

    def is_answered_by(self, answer: bytes) -> bool:
        """Tells whether an answer is whole and belongs to this request."""
        echoes_path = f'"path": "{self.path}"'.encode() in answer
        return echoes_path and is_answer_to(answer, self.body, self.key)


class Callers:
    """Sends requests at a steady rate to random nodes.

    A keyed request without an answer is repeated with the same key, through
    another node, as a caller would do.
    """

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
        """Returns the number of requests by their last outcome."""
        last = {record.token: record.outcome for record in self.records}
        return collections.Counter(last.values())

    def _start_call(self, session: aiohttp.ClientSession) -> None:
        if not self.targets or len(self._running) >= MAX_CALLS_IN_FLIGHT:
            return
        task = asyncio.get_running_loop().create_task(self._call(session))
        self._running.add(task)
        task.add_done_callback(self._running.discard)

    async def _call(self, session: aiohttp.ClientSession) -> None:
        (pattern,) = self._rng.choices(self._patterns, self._weights)
        self._count += 1
        token = f"{self._count}-{self._rng.getrandbits(64):x}"
        call = _Call(pattern, token, token if pattern.is_keyed else "")
        # A request that was certainly not run may be sent as a first attempt
        # again; after any other outcome it may have run.
        is_first = True
        for attempt in range(1, MAX_ATTEMPTS + 1):
            record = await self._send(session, call, attempt, is_first)
            self.records.append(record)
            if record.outcome == "answered" or not pattern.is_keyed:
                return
            is_first = is_first and record.outcome == "not-run"
            await asyncio.sleep(REPEAT_PAUSE_S)

    async def _send(
        self,
        session: aiohttp.ClientSession,
        call: _Call,
        attempt: int,
        is_first: bool,
    ) -> CallRecord:
        headers = {}
        if call.key:
            headers["Idempotency-Key"] = call.key
            headers["Magnolia-Attempt"] = "1" if is_first else str(attempt)
        started_s = asyncio.get_running_loop().time()
        outcome = "failed"
        status = 0
        is_own = True
        try:
            async with session.request(
                call.pattern.method,
                self._rng.choice(self.targets) + call.path,
                data=call.body or None,
                headers=headers,
                timeout=aiohttp.ClientTimeout(total=CALL_TIMEOUT_S),
            ) as response:
                answer = await response.read()
            outcome = response.headers.get("Magnolia-Outcome", "failed")
            status = response.status
            detail = answer.decode(errors="replace")
            is_own = outcome != "answered" or call.is_answered_by(answer)
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            detail = repr(error)
        return CallRecord(
            token=call.token,
            pattern=call.pattern,
            attempt=attempt,
            outcome=outcome,
            status=status,
            is_own_answer=is_own,
            detail="" if outcome == "answered" else detail,
            started_s=started_s,
            took_s=asyncio.get_running_loop().time() - started_s,
        )
