"""Listens for clients and keeps their connections within limits."""

import asyncio
import collections
import dataclasses
from collections.abc import Awaitable, Callable

from magnoliafork.http_server.connection import Connection
from magnoliafork.http_server.memory_budget import Account, MemoryBudget
from magnoliafork.http_server.messages import HttpRequest, HttpResponse
from magnoliafork.http_server.request_parser import PIECE_BYTES, ParseLimits

BUFFER_BYTES = 2 * PIECE_BYTES
CHECK_INTERVAL_S = 0.25
CLOSE_POLL_S = 0.01
# Share of the connections that is closed at once when there are too many.
EVICTED_SHARE = 1 / 16

Handler = Callable[[HttpRequest], Awaitable[HttpResponse]]


@dataclasses.dataclass(frozen=True, slots=True)
class ServerLimits:
    """Limits on clients.

    Attributes:
        parse: Limits on one request.
        connections: Most open connections.
        head_timeout_s: Longest time from the first byte of a head to its end.
        body_stall_s: Longest time without any byte of a body.
        idle_timeout_s: Longest time between two requests.
        write_timeout_s: Longest time in which a client reads nothing of an
            answer.
    """

    parse: ParseLimits
    connections: int
    head_timeout_s: float = 10.0
    body_stall_s: float = 30.0
    idle_timeout_s: float = 120.0
    write_timeout_s: float = 30.0


def _plain_error(status: int) -> HttpResponse:
    return HttpResponse(status)


def _never(_: HttpRequest) -> bool:
    return False


class HttpServer:
    """Serves requests with a handler.

    Attributes:
        buffer: Buffer that all connections read into, one at a time.
        limits: Limits on clients.
        budget: What clients may make the process hold.
        handle: Returns the response to a request.
        error_response: Returns the response for a status of the server itself.
        may_run_ahead: Whether a request may run before requests that were sent
            before it on the same connection have their answers.
        is_stopping: Whether each connection is closed after its next response.
        on_limited: Called when there are too many connections, with the number
            of idle ones that were closed.
        refused_by: Requests refused by the server itself, by status.
        refused_connections: Connections closed at once, because there were too
            many and none of them was idle.
        evicted_connections: Idle connections closed to make room for others.
        aborted_readers: Connections closed because their clients did not read
            their answers.
    """

    def __init__(
        self,
        handle: Handler,
        limits: ServerLimits,
        budget: MemoryBudget,
        *,
        error_response: Callable[[int], HttpResponse] = _plain_error,
        may_run_ahead: Callable[[HttpRequest], bool] = _never,
    ) -> None:
        """Creates a server that does not listen yet."""
        self.handle = handle
        self.limits = limits
        self.budget = budget
        self.error_response = error_response
        self.may_run_ahead = may_run_ahead
        self.buffer = memoryview(bytearray(BUFFER_BYTES))
        self.is_stopping = False
        self.on_limited: Callable[[int], None] = lambda evicted: None
        self.refused_by: collections.Counter[int] = collections.Counter()
        self.refused_connections = 0
        self.evicted_connections = 0
        self.aborted_readers = 0
        self._connections: dict[Account, Connection] = {}
        self._listener: asyncio.Server | None = None
        self._is_check_due = False
        self._check_timer: asyncio.TimerHandle | None = None

    async def start(self, host: str, port: int, backlog: int = 100) -> int:
        """Listens on a port, or a free one if it is 0, and returns it."""
        loop = asyncio.get_running_loop()
        self._listener = await loop.create_server(
            lambda: Connection(self), host, port, backlog=backlog
        )
        self._schedule_check()
        bound_port: int = self._listener.sockets[0].getsockname()[1]
        return bound_port

    def stop_listening(self) -> None:
        """Stops accepting connections."""
        if self._listener is not None:
            self._listener.close()

    async def close_idle(self, timeout_s: float) -> None:
        """Closes connections as soon as each is idle, until none is left.

        Nothing is read from a connection any more once it is closed, so that
        no request is read and then dropped.
        """
        self.is_stopping = True
        loop = asyncio.get_running_loop()
        end_s = loop.time() + timeout_s
        while self._connections and loop.time() < end_s:
            for connection in list(self._connections.values()):
                if connection.is_idle:
                    connection.close()
            await asyncio.sleep(CLOSE_POLL_S)

    async def abort(self) -> None:
        """Closes the connections that are left."""
        if self._check_timer is not None:
            self._check_timer.cancel()
        for connection in list(self._connections.values()):
            connection.abort()
        # The transports report the end in the next turn of the loop.
        await asyncio.sleep(0)

    # Connections.

    @property
    def connection_count(self) -> int:
        """Number of open connections."""
        return len(self._connections)

    @property
    def incomplete_requests(self) -> int:
        """Number of requests whose head was read and whose body is missing."""
        return sum(c.is_reading_body for c in self._connections.values())

    @property
    def unsent_bytes(self) -> int:
        """Bytes that were written and have not left the process."""
        return sum(c.unsent_bytes for c in self._connections.values())

    def add(self, connection: Connection) -> bool:
        """Adds a connection; returns false if there is no room for it."""
        if not self._has_room():
            return False
        self._connections[connection.account] = connection
        self.budget.open(connection.account)
        return True

    def remove(self, connection: Connection) -> None:
        """Removes a connection that has ended."""
        if self._connections.pop(connection.account, None) is not None:
            self.budget.close(connection.account)
            self._admit_waiting()

    def _has_room(self) -> bool:
        """Closes connections that were idle for long, if there are too many.

        Without a free descriptor, no connection would be accepted any more.
        """
        limit = self.limits.connections
        if len(self._connections) < limit:
            return True
        # Closed ones are counted until the next turn of the loop.
        still_open = [c for c in self._connections.values() if not c.is_closing]
        if len(still_open) < limit:
            return True
        idle = [connection for connection in still_open if connection.is_idle]
        idle.sort(key=lambda connection: connection.used_s)
        evicted = idle[: max(1, int(limit * EVICTED_SHARE))]
        for connection in evicted:
            connection.close()
        self.evicted_connections += len(evicted)
        self.refused_connections += not evicted
        self.on_limited(len(evicted))
        return bool(evicted)

    # Limits.

    def count_refused(self, status: int) -> None:
        """Counts a request that the server itself refuses."""
        self.refused_by[status] += 1

    def check_answers(self) -> None:
        """Closes connections whose clients let answers pile up."""
        for account in self.budget.unread_answers():
            connection = self._connections.get(account)
            if connection is not None and not connection.is_closing:
                self.aborted_readers += 1
                connection.abort()

    def check_room_soon(self) -> None:
        """Refuses requests without room once the current one is handled."""
        if not self._is_check_due:
            self._is_check_due = True
            asyncio.get_running_loop().call_soon(self._check_room_now)

    def _check_room_now(self) -> None:
        self._is_check_due = False
        self.check_room(asyncio.get_running_loop().time())

    def _schedule_check(self) -> None:
        loop = asyncio.get_running_loop()
        self._check_timer = loop.call_later(CHECK_INTERVAL_S, self._check)

    def _check(self) -> None:
        self._schedule_check()
        now_s = asyncio.get_running_loop().time()
        for connection in list(self._connections.values()):
            connection.check(now_s)
        self.check_room(now_s)
        self._admit_waiting()

    def check_room(self, now_s: float) -> None:
        """Refuses requests for which there is no room."""
        for account in (
            *self.budget.oldest_small(),
            *self.budget.expired(now_s),
        ):
            connection = self._connections.get(account)
            if connection is not None:
                connection.refuse_for_room()

    def _admit_waiting(self) -> None:
        now_s = asyncio.get_running_loop().time()
        for account in self.budget.admit_waiting(now_s):
            self._connections[account].on_place()
