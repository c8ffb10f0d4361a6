"""Calls to one server over connections that are kept open."""

import asyncio
import dataclasses
from collections.abc import Callable

import httptools

READ_BYTES = 65_536
# Connections that are kept for later calls.
MAX_IDLE_CONNECTIONS = 2
MAX_HEAD_BYTES = 65_536


class HttpError(Exception):
    """The server gave no complete answer in HTTP."""


class AnswerTooLarge(HttpError):  # noqa: N818 - an outcome that callers handle
    """The body of an answer is over the limit of its call.

    Attributes:
        headers: Headers of the answer.
    """

    def __init__(self, detail: str, headers: dict[str, str]) -> None:
        """Creates the error with the headers of the answer."""
        super().__init__(detail)
        self.headers = headers


@dataclasses.dataclass(slots=True)
class HttpAnswer:
    """An answer.

    Attributes:
        status: Status code.
        headers: Last value of each header, by name in lower case.
        body: Body without its framing.
    """

    status: int = 0
    headers: dict[str, str] = dataclasses.field(default_factory=dict)
    body: bytearray = dataclasses.field(default_factory=bytearray)


class _AnswerParser:
    """Parses one answer; its methods are callbacks of the library."""

    def __init__(self) -> None:
        self.answer = HttpAnswer()
        self.is_complete = False
        self.has_head = False
        self._parser = httptools.HttpResponseParser(self)

    def feed(self, data: bytes) -> None:
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError as error:
            raise HttpError(f"malformed answer: {error}") from None

    @property
    def is_ended_by_close(self) -> bool:
        """Whether only the end of the connection ends the body."""
        headers = self.answer.headers
        return (
            self.has_head
            and "content-length" not in headers
            and "transfer-encoding" not in headers
        )

    @property
    def can_be_reused(self) -> bool:
        """Whether the connection may carry another call."""
        return self.is_complete and self._parser.should_keep_alive()

    def on_header(self, name: bytes, value: bytes) -> None:
        key = name.decode("latin-1").lower()
        self.answer.headers[key] = value.decode("latin-1")

    def on_headers_complete(self) -> None:
        self.answer.status = self._parser.get_status_code()
        self.has_head = True

    def on_body(self, body: bytes) -> None:
        self.answer.body += body

    def on_message_complete(self) -> None:
        # An interim answer is followed by the final one.
        if self.answer.status >= 200:
            self.is_complete = True


@dataclasses.dataclass(eq=False, slots=True)
class _Connection:
    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter

    @property
    def is_open(self) -> bool:
        return not self.reader.at_eof() and not self.writer.is_closing()


class HttpClient:
    """Calls one server."""

    def __init__(self, host: str, port: int) -> None:
        """Creates a client that connects with its first call."""
        self._host = host
        self._port = port
        self._idle: list[_Connection] = []
        self._is_closed = False

    async def get(
        self,
        target: str,
        max_body_bytes: int,
        on_progress: Callable[[], None],
    ) -> HttpAnswer:
        """Sends a GET request and returns its answer.

        A connection that the server has closed meanwhile is replaced once.
        Cancellation closes the connection, on which a late answer could
        otherwise be taken for that of another call.

        Args:
            target: Path and query.
            max_body_bytes: Most bytes of the body.
            on_progress: Called whenever bytes of the answer arrive.

        Raises:
            OSError: The connection cannot be opened, or breaks.
            HttpError: The answer is not complete, or is no HTTP.
            AnswerTooLarge: The body is over the limit.
        """
        while self._idle:
            connection = self._idle.pop()
            if not connection.is_open:
                connection.writer.close()
                continue
            parser = _AnswerParser()
            try:
                return await self._call(
                    connection, parser, target, max_body_bytes, on_progress
                )
            except (OSError, HttpError):
                if parser.has_head:
                    raise
        return await self._call(
            await self._connect(),
            _AnswerParser(),
            target,
            max_body_bytes,
            on_progress,
        )

    async def _connect(self) -> _Connection:
        streams = await asyncio.open_connection(self._host, self._port)
        return _Connection(*streams)

    async def _call(
        self,
        connection: _Connection,
        parser: _AnswerParser,
        target: str,
        max_body_bytes: int,
        on_progress: Callable[[], None],
    ) -> HttpAnswer:
        is_reusable = False
        try:
            connection.writer.write(
                f"GET {target} HTTP/1.1\r\n"
                f"Host: {self._host}:{self._port}\r\n"
                "Accept-Encoding: identity\r\n\r\n".encode("ascii")
            )
            received_bytes = 0
            while not parser.is_complete:
                data = await connection.reader.read(READ_BYTES)
                if not data:
                    break
                on_progress()
                parser.feed(data)
                received_bytes += len(data)
                if len(parser.answer.body) > max_body_bytes:
                    raise AnswerTooLarge(
                        f"over {max_body_bytes} bytes", parser.answer.headers
                    )
                if not parser.has_head and received_bytes > MAX_HEAD_BYTES:
                    raise HttpError("head of the answer is too large")
            if not parser.is_complete and not parser.is_ended_by_close:
                raise HttpError("connection ended before the answer")
            is_reusable = parser.can_be_reused and not self._is_closed
        finally:
            if is_reusable and len(self._idle) < MAX_IDLE_CONNECTIONS:
                self._idle.append(connection)
            else:
                connection.writer.transport.abort()
        return parser.answer

    async def close(self) -> None:
        """Closes the connections."""
        self._is_closed = True
        for connection in self._idle:
            connection.writer.close()
        self._idle.clear()
