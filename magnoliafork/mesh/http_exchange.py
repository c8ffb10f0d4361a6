"""HTTP/1.1 connections to the upstream.

The HTTP client library matches answers to requests by their order. An upstream
may send an answer that belongs to an earlier request, so answers must be
matched by the id that they echo. The node therefore manages the connections
itself and uses a library only to check and parse the heads.

An upstream may also send bytes without end. Each part of an answer has a limit,
and so has everything that is read for one request.
"""

import asyncio
import dataclasses
import re
from collections.abc import Callable
from typing import cast

import h11

from magnoliafork.model.request import Headers

MAX_ANSWER_HEADER_BYTES = 65_536
# The library takes about 2 µs for a line, and it parses a head in one turn of
# the loop.
MAX_ANSWER_HEADER_LINES = 1000
# Larger answers do not fit into one frame between nodes.
MAX_ANSWER_BODY_BYTES = 1_900_000
# Most bytes parsed for one request: a largest answer, and as much again for the
# framing of chunks, interim answers and answers to earlier requests.
MAX_EXCHANGE_BYTES = 2 * (MAX_ANSWER_HEADER_BYTES + MAX_ANSWER_BODY_BYTES)
# Small heads and chunks count as this much, since they take time too.
COUNTED_HEAD_BYTES = MAX_ANSWER_HEADER_BYTES
COUNTED_CHUNK_BYTES = 64
# Most bytes that wait for the parser before the connection is read further.
READ_AHEAD_BYTES = 65_536
# Most answers larger than this that are read at a time, over all connections;
# with their copies they take 64 MB. Others wait until one is complete.
SMALL_ANSWER_BYTES = 65_536
MAX_LARGE_ANSWERS = 16
# Most time for parsing in one turn of the loop, over all connections. Peers'
# probes must be answered within 0.7 s, which takes several turns.
MAX_PARSE_TURN_S = 0.005
MAX_CHUNK_LINE_BYTES = 4096
MAX_DETAIL_CHARS = 160
_HEAD_END = re.compile(rb"(?:\A|\n)\r?\n")
# Characters that no head contains. The library's time for a line with one of
# them grows with the square of the blanks in the line.
_NOT_IN_HEAD = re.compile(rb"[\x00\x0b\x0c]|\r(?!\n)")
_CHUNK_SIZE = re.compile(rb"[0-9A-Fa-f]{1,16}")
_STATUS_LINE = b"HTTP/1.1 200 OK\r\n"
_STATUSES_WITHOUT_BODY = (204, 304)


@dataclasses.dataclass(frozen=True, slots=True)
class HttpAnswer:
    """A complete answer.

    Attributes:
        status: Status code.
        headers: All headers.
        body: Whole body.
        is_reusable: Whether the connection can be used for another request.
        keep_alive_s: Idle time that the upstream announced, or None.
    """

    status: int
    headers: Headers
    body: bytes
    is_reusable: bool
    keep_alive_s: float | None


@dataclasses.dataclass(frozen=True, slots=True)
class HttpFailure:
    """An exchange without a complete answer.

    Attributes:
        detail: Cause for logs.
        has_answer_begun: Whether any byte of an answer had arrived.
        is_malformed: Whether the bytes that arrived are not a valid answer.
    """

    detail: str
    has_answer_begun: bool
    is_malformed: bool = False


AnswerMatcher = Callable[[HttpAnswer], bool]


class _NoAnswerError(Exception):
    """What was read is not a complete answer, or is over a limit.

    Attributes:
        is_malformed: Whether the bytes that arrived are not a valid answer.
    """

    def __init__(self, detail: str, is_malformed: bool = True) -> None:
        super().__init__(detail[:MAX_DETAIL_CHARS])
        self.is_malformed = is_malformed


class ParseTurns:
    """Limits the time that parsing takes in one turn of the loop."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        """Creates the limit that the connections of one loop share."""
        self._loop = loop
        self._started_s: float | None = None

    async def wait(self) -> None:
        """Returns in a turn of the loop that has time left for parsing."""
        while not self._has_time():
            await asyncio.sleep(0)

    def _has_time(self) -> bool:
        now_s = self._loop.time()
        if self._started_s is None:
            self._started_s = now_s
            self._loop.call_soon(self._end)
        return now_s - self._started_s < MAX_PARSE_TURN_S

    def _end(self) -> None:
        self._started_s = None


class HttpConnection(asyncio.Protocol):
    """One connection to the upstream with one request at a time.

    Attributes:
        exchange_count: Requests that were sent on it.
        idle_since_s: Loop time of the end of the last exchange.
        idle_limit_s: Idle time that the upstream announced, or None.
        on_closed: Called when the connection has ended.
        was_closed_here: Whether this side has closed it.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        turns: ParseTurns,
        large_answers: asyncio.Semaphore,
    ) -> None:
        """Creates the protocol of a connection that is not open yet.

        Args:
            loop: The loop that runs it.
            turns: Limits the time for parsing; shared by all connections.
            large_answers: Limits how many large answers are read at a time;
                shared by all connections.
        """
        self._loop = loop
        self._turns = turns
        self._large_answers = large_answers
        self._reads_large_answer = False
        self._transport: asyncio.Transport | None = None
        self._received = bytearray()
        self._exchange_bytes = 0
        self._is_at_end = False
        self._error = ""
        self._waiter: asyncio.Future[None] | None = None
        self._is_busy = False
        self.exchange_count = 0
        self.idle_since_s = loop.time()
        self.idle_limit_s: float | None = None
        self.on_closed: Callable[[HttpConnection], None] | None = None
        self.was_closed_here = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Stores the transport of the opened connection."""
        self._transport = cast("asyncio.Transport", transport)

    def data_received(self, data: bytes) -> None:
        """Buffers bytes for the exchange; closes the connection without one."""
        if not self._is_busy:
            # No request is in progress, so no request can have caused them.
            self.close()
            return
        self._received += data
        if len(self._received) >= READ_AHEAD_BYTES:
            assert self._transport is not None
            self._transport.pause_reading()
        self._wake()

    def eof_received(self) -> bool:
        """Handles the orderly end of the upstream's data."""
        self._is_at_end = True
        self._wake()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Handles the end of the connection."""
        self._is_at_end = True
        if exc is not None:
            self._error = f"{type(exc).__name__}: {exc}"
        self._transport = None
        self._wake()
        if self.on_closed is not None:
            self.on_closed(self)

    @property
    def is_open(self) -> bool:
        """Whether a request can be sent."""
        transport = self._transport
        return (
            transport is not None
            and not transport.is_closing()
            and not self._is_at_end
        )

    def close(self) -> None:
        """Closes the connection at once."""
        self.was_closed_here = True
        if self._transport is not None:
            self._transport.abort()

    async def exchange(
        self,
        method: str,
        target: str,
        headers: Headers,
        body: bytes,
        matches: AnswerMatcher,
    ) -> HttpAnswer | HttpFailure:
        """Sends a request and waits for the answer to it.

        Cancelling closes the connection, which stops the request at the
        upstream.

        Args:
            method: Request method.
            target: Path and query as the caller sent them.
            headers: Headers without a length.
            body: Whole body.
            matches: Returns whether an answer is the one to this request.
        """
        request = _request(method, target, headers, body)
        self._is_busy = True
        self.exchange_count += 1
        self._exchange_bytes = 0
        try:
            assert self._transport is not None
            self._transport.write(_encode(request, body))
            return self._finish(await self._read_matching(method, matches))
        except BaseException:
            self.close()
            raise
        finally:
            self._end_large_answer()

    def _finish(
        self, result: HttpAnswer | HttpFailure
    ) -> HttpAnswer | HttpFailure:
        self._is_busy = False
        self.idle_since_s = self._loop.time()
        if isinstance(result, HttpFailure):
            self.close()
            return result
        # Bytes after the answer belong to no request.
        if self._received or not result.is_reusable:
            self.close()
            return result
        self.idle_limit_s = result.keep_alive_s
        return result

    async def _read_matching(
        self, method: str, matches: AnswerMatcher
    ) -> HttpAnswer | HttpFailure:
        """Reads answers until one matches; interim answers match no request."""
        before_bytes = 0
        try:
            while True:
                answer = await self._read_answer(method)
                if answer is not None and matches(answer):
                    return answer
                if answer is not None:
                    before_bytes = self._exchange_bytes
                # The next answer may be as large.
                del answer
        except _NoAnswerError as error:
            has_begun = (
                bool(self._received) or self._exchange_bytes > before_bytes
            )
            return HttpFailure(str(error), has_begun, error.is_malformed)

    async def _read_answer(self, method: str) -> HttpAnswer | None:
        """Reads the next answer; returns None if it is an interim one."""
        head = await self._read_head()
        parser, response = _parse_head(method, head)
        if isinstance(response, h11.InformationalResponse):
            return None
        length = _declared_length(method, response)
        body = bytearray()
        if _has_chunks(method, response):
            await self._read_chunks(body)
        elif length is not None:
            await self._read_body(body, length)
        else:
            await self._read_until_end(body)
        is_framed = length is not None or _has_chunks(method, response)
        # A client that must close is told so by the parser.
        is_reusable = is_framed and parser.our_state is h11.DONE
        return _answer(response, bytes(body), is_reusable)

    async def _read_head(self) -> bytes:
        """Reads up to the first empty line, which may be the first line."""
        searched = 0
        while True:
            found = _HEAD_END.search(self._received, max(0, searched - 2))
            end = found.end() if found else len(self._received)
            if end > MAX_ANSWER_HEADER_BYTES:
                raise _NoAnswerError(
                    f"head over {MAX_ANSWER_HEADER_BYTES} bytes"
                )
            if found:
                await self._turns.wait()
                return self._take(end, COUNTED_HEAD_BYTES)
            searched = end
            await self._need_more()

    async def _read_line(self) -> bytes:
        """Reads one line of the framing of chunks."""
        while True:
            end = self._received.find(b"\n", 0, MAX_CHUNK_LINE_BYTES) + 1
            if end:
                await self._turns.wait()
                return self._take(end, COUNTED_CHUNK_BYTES // 2)
            if len(self._received) >= MAX_CHUNK_LINE_BYTES:
                raise _NoAnswerError(
                    f"chunk line over {MAX_CHUNK_LINE_BYTES} bytes"
                )
            await self._need_more()

    async def _read_chunks(self, body: bytearray) -> None:
        while True:
            line = await self._read_line()
            digits = line.removesuffix(b"\r\n").partition(b";")[0]
            digits = digits.rstrip(b" \t")
            if not line.endswith(b"\r\n") or not _CHUNK_SIZE.fullmatch(digits):
                raise _NoAnswerError(f"no chunk size: {line!r}")
            size = int(digits, 16)
            if size == 0:
                break
            await self._read_body(body, size)
            line = await self._read_line()
            if line != b"\r\n":
                raise _NoAnswerError(f"no end of a chunk: {line!r}")
        # Trailers have the form of headers and are checked like them.
        _parse_head("GET", _STATUS_LINE + await self._read_head())

    async def _read_body(self, body: bytearray, length: int) -> None:
        """Appends bytes of a declared length."""
        if len(body) + length > MAX_ANSWER_BODY_BYTES:
            raise _NoAnswerError(
                f"body of {len(body) + length} bytes, over"
                f" {MAX_ANSWER_BODY_BYTES}"
            )
        while length:
            if not self._received:
                await self._need_more()
            await self._begin_large_answer(body)
            piece = self._take(min(length, len(self._received)))
            body += piece
            length -= len(piece)

    async def _read_until_end(self, body: bytearray) -> None:
        """Appends all bytes until the upstream ends the connection."""
        while self._received or await self._has_more():
            await self._begin_large_answer(body)
            body += self._take(len(self._received))
            if len(body) > MAX_ANSWER_BODY_BYTES:
                raise _NoAnswerError(f"body over {MAX_ANSWER_BODY_BYTES} bytes")

    async def _begin_large_answer(self, body: bytearray) -> None:
        """Waits until a body may grow; nothing more is read meanwhile."""
        size_bytes = len(body) + len(self._received)
        if self._reads_large_answer or size_bytes <= SMALL_ANSWER_BYTES:
            return
        await self._large_answers.acquire()
        self._reads_large_answer = True

    def _end_large_answer(self) -> None:
        if self._reads_large_answer:
            self._reads_large_answer = False
            self._large_answers.release()

    def _take(self, count: int, counted_bytes: int = 0) -> bytes:
        """Removes the next bytes from those that wait for the parser.

        They count as `counted_bytes` if they are fewer.
        """
        self._exchange_bytes += max(count, counted_bytes)
        if self._exchange_bytes > MAX_EXCHANGE_BYTES:
            raise _NoAnswerError(
                f"over {MAX_EXCHANGE_BYTES} counted bytes for one request"
            )
        taken = bytes(self._received[:count])
        del self._received[:count]
        if len(self._received) < READ_AHEAD_BYTES:
            self._resume_reading()
        return taken

    def _resume_reading(self) -> None:
        if self._transport is not None:
            self._transport.resume_reading()

    async def _need_more(self) -> None:
        """Waits for more bytes, without which the answer is incomplete."""
        if not await self._has_more():
            raise _NoAnswerError(
                "closed without a complete answer", is_malformed=False
            )

    async def _has_more(self) -> bool:
        """Waits for more bytes; returns false at the orderly end."""
        known = len(self._received)
        if not self._is_at_end:
            self._resume_reading()
            self._waiter = self._loop.create_future()
            try:
                await self._waiter
            finally:
                self._waiter = None
        if len(self._received) == known and self._error:
            raise _NoAnswerError(self._error, is_malformed=False)
        return len(self._received) > known

    def _wake(self) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)


def _parse_head(
    method: str, head: bytes
) -> tuple[h11.Connection, h11.Response | h11.InformationalResponse]:
    """Returns the parser of a head and what it has found."""
    if head.count(b"\n") > MAX_ANSWER_HEADER_LINES:
        raise _NoAnswerError(f"head over {MAX_ANSWER_HEADER_LINES} lines")
    if _NOT_IN_HEAD.search(head):
        raise _NoAnswerError("control characters in a head")
    parser = h11.Connection(
        h11.CLIENT, max_incomplete_event_size=MAX_ANSWER_HEADER_BYTES
    )
    # `_encode` writes the request; the parser only needs to know its method.
    parser.send(
        h11.Request(method=method, target="/", headers=[("Host", "upstream")])
    )
    parser.send(h11.EndOfMessage())
    parser.receive_data(head)
    try:
        event = parser.next_event()
    except h11.RemoteProtocolError as error:
        raise _NoAnswerError(str(error)) from error
    if not isinstance(event, h11.Response | h11.InformationalResponse):
        raise _NoAnswerError("incomplete head")
    return parser, event


def _has_body(method: str, response: h11.Response) -> bool:
    return (
        method != "HEAD" and response.status_code not in _STATUSES_WITHOUT_BODY
    )


def _has_chunks(method: str, response: h11.Response) -> bool:
    # The parser refuses all transfer encodings but chunks.
    return _has_body(method, response) and any(
        name == b"transfer-encoding" for name, _ in response.headers
    )


def _declared_length(method: str, response: h11.Response) -> int | None:
    if not _has_body(method, response):
        return 0
    for name, value in response.headers:
        if name == b"content-length":
            return int(value)
    return None


def _request(
    method: str, target: str, headers: Headers, body: bytes
) -> h11.Request:
    pairs = list(headers)
    if body or method not in ("GET", "HEAD", "DELETE", "OPTIONS"):
        pairs.append(("Content-Length", str(len(body))))
    return h11.Request(
        method=method,
        target=target,
        headers=[
            (name.encode("latin-1"), value.encode("latin-1", "surrogateescape"))
            for name, value in pairs
        ],
    )


def _encode(request: h11.Request, body: bytes) -> bytes:
    """Returns a request as bytes; header names keep the caller's case."""
    lines = [request.method + b" " + request.target + b" HTTP/1.1\r\n"]
    for name, value in request.headers.raw_items():
        lines.append(name + b": " + value + b"\r\n")
    lines.append(b"\r\n")
    lines.append(body)
    return b"".join(lines)


def _answer(
    response: h11.Response, body: bytes, is_reusable: bool
) -> HttpAnswer:
    headers = tuple(
        (name.decode("latin-1"), value.decode("latin-1"))
        for name, value in response.headers.raw_items()
    )
    return HttpAnswer(
        status=response.status_code,
        headers=headers,
        body=body,
        is_reusable=is_reusable,
        keep_alive_s=_keep_alive_s(headers),
    )


def _keep_alive_s(headers: Headers) -> float | None:
    """Returns the idle timeout that a `Keep-Alive` header states.

    >>> _keep_alive_s((("Keep-Alive", "timeout=5, max=100"),))
    5.0
    """
    for name, value in headers:
        if name.lower() != "keep-alive":
            continue
        for option in value.split(","):
            key, _, number = option.strip().partition("=")
            # Some characters beyond ASCII are digits but no numbers.
            is_number = number.isascii() and number.isdigit()
            if key.lower() == "timeout" and is_number:
                return float(number)
    return None
