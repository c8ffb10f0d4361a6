"""Connections of callers while the ingress closes, over loopback sockets."""

import asyncio
import contextlib
import io
import json
from collections.abc import AsyncIterator, Awaitable, Callable

from magnoliafork.mesh.ingress import MeshIngress
from magnoliafork.mesh.sender import MeshRequest
from magnoliafork.model.request import Answered, Outcome
from magnoliafork.observe.logs import EventLog
from magnoliafork.platform import names
from magnoliafork.platform.header_codec import PlatformHeaderCodec

HOST = "127.0.0.1"
TIMEOUT_S = 10.0


class FakeSender:
    """Answers each request once `may_answer` is set."""

    def __init__(self) -> None:
        self.may_answer = asyncio.Event()
        self.may_answer.set()
        self.answer_bytes = 1
        self.requests: list[MeshRequest] = []

    async def handle(self, request: MeshRequest) -> Outcome:
        self.requests.append(request)
        await self.may_answer.wait()
        return Answered(200, (), b"x" * self.answer_bytes)


class Caller:
    """One connection of a caller."""

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.reader = reader
        self.writer = writer

    def send(self, attempt_id: str) -> None:
        """Writes a whole request."""
        self.writer.write(
            f"POST /a/ HTTP/1.1\r\nHost: shop.example\r\n"
            f"{names.ATTEMPT_ID}: {attempt_id}\r\n"
            "Content-Length: 2\r\n\r\n{}".encode()
        )

    async def receive(self) -> bytes:
        """Returns the head of the next answer, without its body.

        Raises:
            asyncio.IncompleteReadError: The connection ended first.
        """
        head = await self.reader.readuntil(b"\r\n\r\n")
        for line in head.lower().split(b"\r\n"):
            if line.startswith(b"content-length:"):
                await self.reader.readexactly(int(line.split(b":")[1]))
        return head


class Setup:
    """An ingress with a fake sender."""

    def __init__(self) -> None:
        self.sender = FakeSender()
        self.log = io.StringIO()
        self.ingress = MeshIngress(
            self.sender,
            PlatformHeaderCodec(),
            "x",
            "node",
            EventLog("info", self.log),
        )
        self.port = 0

    async def connect(self) -> Caller:
        return Caller(*await asyncio.open_connection(HOST, self.port))


@contextlib.asynccontextmanager
async def running_ingress() -> AsyncIterator[Setup]:
    setup = Setup()
    setup.port = await setup.ingress.start(HOST, 0)
    try:
        yield setup
    finally:
        await setup.ingress.close()


def run(test: Callable[[Setup], Awaitable[None]]) -> None:
    async def main() -> None:
        async with asyncio.timeout(TIMEOUT_S), running_ingress() as setup:
            await test(setup)

    asyncio.run(main())


def test_request_without_an_answer_at_the_close_is_logged() -> None:
    """Guards against requests that a stop cuts without a trace."""

    async def test(setup: Setup) -> None:
        setup.sender.may_answer.clear()
        caller = await setup.connect()
        caller.send("k1")
        while not setup.sender.requests:
            await asyncio.sleep(0)
        await setup.ingress.close()
        assert setup.ingress.cut == 1
        line = json.loads(setup.log.getvalue())
        assert line["event"] == "request_cut"
        assert line["request_id"].startswith("k1/")
        assert line["is_passed_on"]
        assert line["waited_ms"] >= 0

    run(test)
