"""Callers that keep connections open until the node closes them."""

import asyncio
import dataclasses
import math
import random
import socket

from magnoliafork.platform import names
from magnoliafork.tests.platform.standins import CALLER_PORT
from magnoliafork.tests.soak.fleet import Machine

DEADLINE_S = 8.0
# Longer than the deadline and the slow reading of the largest answer.
ANSWER_TIMEOUT_S = 16.0
MIN_WORK_MS = 20
MAX_WORK_MS = 4000
RECONNECT_DELAY_S = 0.05
CONNECT_TIMEOUT_S = 1.0
# Every n-th connection to a node reads slowly.
SLOW_EVERY = 3
SLOW_BYTES_PER_S = 24_000
SLOW_RECEIVE_BUFFER_BYTES = 4096
SLOW_ANSWER_BYTES_RANGE = (30_000, 150_000)
READ_BYTES = 65_536


@dataclasses.dataclass
class KeepAliveRequest:
    """One request on a keep-alive connection, as its caller saw it.

    Times are loop times; None if the event did not happen.

    Attributes:
        host: Machine of the node.
        attempt_id: Id of the request.
        method: Method of the request.
        slow_bytes: Length of an answer that is read slowly, or 0.
        sent_s: When its last byte was sent.
        received_bytes: Number of bytes of the answer that arrived.
        status: Status of the whole answer, or 0.
        is_sealed: Whether the whole answer has the server's seal.
        ended_s: When the whole answer or the end of the connection arrived.
        end: How the connection ended without a whole answer, or empty.
        problem: Description of a wrong or missing answer, or empty.
    """

    host: str
    attempt_id: str
    method: str
    slow_bytes: int = 0
    sent_s: float | None = None
    received_bytes: int = 0
    status: int = 0
    is_sealed: bool = False
    ended_s: float = math.inf
    end: str = ""
    problem: str = ""


class KeepAliveCaller:
    """Sends requests on one connection after the other, without retries.

    It ignores whether the node reports ready.
    """

    def __init__(
        self, machine: Machine, name: str, requests: list[KeepAliveRequest]
    ) -> None:
        """Creates a caller; the name seeds its random choices.

        Args:
            machine: Machine of the node.
            name: Ends with the number of the connection.
            requests: List to which each request is added.
        """
        self._machine = machine
        self._name = f"k{machine.host.rpartition('.')[2]}-{name}"
        number = int(name.rpartition("-")[2])
        self._is_slow = number % SLOW_EVERY == SLOW_EVERY - 1
        self._rng = random.Random(self._name)
        self._requests = requests
        self._count = 0

    async def run(self, end_s: float) -> None:
        """Sends requests until a time and awaits the last answer."""
        loop = asyncio.get_running_loop()
        while loop.time() < end_s:
            try:
                async with asyncio.timeout(CONNECT_TIMEOUT_S):
                    reader, writer = await self._connect()
            except (OSError, TimeoutError):
                await asyncio.sleep(RECONNECT_DELAY_S)
                continue
            try:
                while loop.time() < end_s and not reader.at_eof():
                    if not await self._exchange(reader, writer):
                        break
                    await asyncio.sleep(self._pause_s())
            except OSError:
                # The node reset an idle connection.
                continue
            finally:
                writer.transport.abort()

    async def _connect(
        self,
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        address = (self._machine.host, CALLER_PORT)
        if not self._is_slow:
            return await asyncio.open_connection(*address)
        connection = socket.socket()
        connection.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, SLOW_RECEIVE_BUFFER_BYTES
        )
        connection.setblocking(False)
        try:
            await asyncio.get_running_loop().sock_connect(connection, address)
        except BaseException:
            connection.close()
            raise
        return await asyncio.open_connection(
            sock=connection, limit=SLOW_RECEIVE_BUFFER_BYTES
        )

    def _pause_s(self) -> float:
        draw = self._rng.random()
        if draw < 0.4:
            return 0.0
        return self._rng.random() * (0.05 if draw < 0.8 else 1.5)

    async def _exchange(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        """Sends one request; returns whether the connection is kept."""
        loop = asyncio.get_running_loop()
        self._count += 1
        is_payment = self._rng.random() < 0.4
        request = KeepAliveRequest(
            self._machine.host,
            f"{self._name}-{self._count}",
            "POST" if is_payment else "GET",
            self._rng.randint(*SLOW_ANSWER_BYTES_RANGE) if self._is_slow else 0,
        )
        work_ratio = MAX_WORK_MS / MIN_WORK_MS
        work_ms = int(MIN_WORK_MS * work_ratio ** self._rng.random())
        route = "pay" if is_payment else "a"
        path = f"/{route}/{request.attempt_id}?work_ms={work_ms}"
        if self._is_slow:
            path += f"&answer_bytes={request.slow_bytes}"
        body = request.attempt_id if is_payment else ""
        head = (
            f"{request.method} {path} HTTP/1.1\r\nHost: shop.example\r\n"
            f"{names.ATTEMPT_ID}: {request.attempt_id}\r\n"
            f"{names.DEADLINE_MS}: {DEADLINE_S * 1000:.0f}\r\n"
            f"Content-Length: {len(body)}\r\n\r\n"
        )
        self._requests.append(request)
        is_kept = False
        try:
            async with asyncio.timeout(ANSWER_TIMEOUT_S):
                writer.write(head.encode())
                if body and self._rng.random() < 0.3:
                    await asyncio.sleep(self._rng.random() * 0.3)
                if not reader.at_eof():
                    writer.write(body.encode())
                    request.sent_s = loop.time()
                    expected = f"{request.method} {path} {body}".encode()
                    is_kept = await self._read_answer(reader, request, expected)
        except OSError as error:
            request.end = "reset" if error.errno else "closed"
        except TimeoutError:
            request.end = "timeout"
            request.problem = f"had no answer after {ANSWER_TIMEOUT_S} s"
        request.ended_s = loop.time()
        return is_kept

    async def _read_answer(
        self,
        reader: asyncio.StreamReader,
        request: KeepAliveRequest,
        expected: bytes,
    ) -> bool:
        data = bytearray()
        while True:
            head, is_split, body = data.partition(b"\r\n\r\n")
            lines = head.decode("latin-1").lower().split("\r\n")
            headers = dict(line.partition(": ")[::2] for line in lines[1:])
            if is_split and len(body) >= int(headers["content-length"]):
                break
            chunk = await reader.read(READ_BYTES)
            if not chunk:
                request.end = "EOF"
                return False
            data += chunk
            request.received_bytes = len(data)
            if self._is_slow:
                await asyncio.sleep(len(chunk) / SLOW_BYTES_PER_S)
        request.status = int(lines[0].split()[1])
        request.is_sealed = names.SEAL.lower() in headers
        if request.status == 200:
            if body != expected.ljust(request.slow_bytes, b"."):
                request.problem = "got another answer"
        elif request.status == 404:
            request.problem = "got status 404"
        return headers.get("connection") != "close"
