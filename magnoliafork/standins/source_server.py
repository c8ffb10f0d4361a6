"""Stand-in for the platform's read-only configuration service."""

import asyncio
import collections
import math

from aiohttp import web

from magnoliafork.standins.http_listener import HttpListener

MAX_VALUE_BYTES = 1_000_000
DEFAULT_READS_PER_S_LIMIT = 2000
DEFAULT_WAIT_S = 30.0


class ReadMeter:
    """Counts reads in each second of the loop's clock.

    A waiting watch counts as one read in every second in which it waits.
    """

    def __init__(self) -> None:
        """Starts with no reads."""
        self._finished: collections.Counter[int] = collections.Counter()
        self._waiting: dict[int, int] = {}
        self._next_token = 0

    def add_read(self, now_s: float) -> None:
        """Counts one read."""
        self._finished[int(now_s)] += 1

    def begin_watch(self, now_s: float) -> int:
        """Counts a watch from now on and returns a token to end it."""
        self._next_token += 1
        self._waiting[self._next_token] = int(now_s)
        return self._next_token

    def end_watch(self, token: int, now_s: float) -> None:
        """Ends the count of a watch."""
        first = self._waiting.pop(token)
        for second in range(first, int(now_s) + 1):
            self._finished[second] += 1

    @property
    def waiting_watches(self) -> int:
        """Number of watches that wait now."""
        return len(self._waiting)

    def in_second(self, second: int) -> int:
        """Returns the reads in one second of the loop's clock."""
        open_watches = sum(
            1 for first in self._waiting.values() if first <= second
        )
        return self._finished[second] + open_watches

    def by_second(self, first_s: float, last_s: float) -> list[int]:
        """Returns the reads in each second of an interval."""
        return [
            self.in_second(second)
            for second in range(math.floor(first_s), math.floor(last_s) + 1)
        ]


class SourceServer:
    """Configuration service over HTTP with failures on demand.

    Attributes:
        meter: Reads in each second.
        delay_s: Time that each answer takes.
        reads_per_s_limit: Reads allowed per second; more get status 429.
        refused_reads: Reads above the limit.
    """

    def __init__(
        self, reads_per_s_limit: int = DEFAULT_READS_PER_S_LIMIT
    ) -> None:
        """Creates a server without any value."""
        self.meter = ReadMeter()
        self.delay_s = 0.0
        self.reads_per_s_limit = reads_per_s_limit
        self.refused_reads = 0
        self._history: dict[str, list[tuple[int, bytes]]] = {}
        self._revision = 0
        self._stale_revision: int | None = None
        self._is_down = False
        self._changed = asyncio.Event()
        self._started_s = 0.0
        app = web.Application()
        app.router.add_get("/v1/values/{key:.+}", self._handle_read)
        app.router.add_get("/v1/watch/{key:.+}", self._handle_watch)
        self._listener = HttpListener(app)

    @property
    def revision(self) -> int:
        """Revision of the newest value."""
        return self._revision

    async def start(self, host: str, port: int) -> int:
        """Listens and returns the port, which is chosen if 0 is given."""
        self._started_s = asyncio.get_running_loop().time()
        return await self._listener.start(host, port)

    async def stop(self) -> None:
        """Frees the port."""
        await self._listener.stop()

    def put(self, key: str, content: bytes) -> int:
        """Stores a value and returns its revision.

        Raises:
            ValueError: The value is larger than the service allows.
        """
        if len(content) > MAX_VALUE_BYTES:
            raise ValueError(f"value of {key} exceeds {MAX_VALUE_BYTES} bytes")
        self._revision += 1
        self._history.setdefault(key, []).append((self._revision, content))
        self._wake_watches()
        return self._revision

    def delete(self, key: str) -> None:
        """Removes a value, for example to make a publication incomplete."""
        self._history.pop(key, None)

    def set_stale(self, revision: int | None) -> None:
        """Serves the values of an older revision, or the newest for None."""
        self._stale_revision = revision
        self._wake_watches()

    async def set_down(self, is_down: bool) -> None:
        """Refuses connections and cuts the open ones, or serves again."""
        self._is_down = is_down
        if is_down:
            await self._listener.close()
            self._listener.cut_connections()
        else:
            await self._listener.open()

    def reads_by_second(self) -> list[int]:
        """Returns the reads in each second since the start."""
        now_s = asyncio.get_running_loop().time()
        return self.meter.by_second(self._started_s, now_s)

    def _wake_watches(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    def _visible(self, key: str) -> tuple[int, bytes] | None:
        limit = self._stale_revision
        for revision, content in reversed(self._history.get(key, [])):
            if limit is None or revision <= limit:
                return revision, content
        return None

    def _refusal(self) -> web.Response | None:
        if self._is_down:
            return web.Response(status=503)
        now_s = asyncio.get_running_loop().time()
        if self.meter.in_second(int(now_s)) >= self.reads_per_s_limit:
            self.refused_reads += 1
            return web.Response(status=429)
        return None

    async def _handle_read(self, request: web.Request) -> web.Response:
        refusal = self._refusal()
        if refusal is not None:
            return refusal
        self.meter.add_read(asyncio.get_running_loop().time())
        await asyncio.sleep(self.delay_s)
        return _answer(self._visible(request.match_info["key"]))

    async def _handle_watch(self, request: web.Request) -> web.Response:
        refusal = self._refusal()
        if refusal is not None:
            return refusal
        try:
            after = int(request.query.get("after", "0"))
            wait_s = float(request.query.get("wait_s", DEFAULT_WAIT_S))
        except ValueError:
            return web.Response(status=400)
        loop = asyncio.get_running_loop()
        token = self.meter.begin_watch(loop.time())
        try:
            await asyncio.sleep(self.delay_s)
            return await self._wait_for_change(
                request.match_info["key"], after, loop.time() + wait_s
            )
        finally:
            self.meter.end_watch(token, loop.time())

    async def _wait_for_change(
        self, key: str, after: int, until_s: float
    ) -> web.Response:
        while True:
            changed = self._changed
            value = self._visible(key)
            if value is not None and value[0] > after:
                return _answer(value)
            try:
                async with asyncio.timeout_at(until_s):
                    await changed.wait()
            except TimeoutError:
                return web.Response(status=304)


def _answer(value: tuple[int, bytes] | None) -> web.Response:
    if value is None:
        return web.Response(status=404)
    revision, content = value
    return web.Response(
        body=content,
        content_type="application/octet-stream",
        headers={"X-Revision": str(revision)},
    )
