"""One connection of a client."""

import asyncio
import collections
import dataclasses
import http
import logging
import time
from typing import TYPE_CHECKING, cast

from magnoliafork.http_server.memory_budget import SMALL_BYTES, Account
from magnoliafork.http_server.messages import HttpRequest, HttpResponse
from magnoliafork.http_server.request_parser import (
    PIECE_BYTES,
    ParseError,
    RequestParser,
)

if TYPE_CHECKING:
    from magnoliafork.http_server.server import HttpServer

logger = logging.getLogger("magnoliafork")

# Pieces that are parsed before other connections have their turn.
PIECES_PER_TURN = 2
# Requests of one connection that are read before the first has its answer, and
# bytes of their answers that wait for an earlier one. More are left unread.
MAX_READ_AHEAD = 16
MAX_READY_BYTES = 1_000_000
# Bodies up to this size are taken also when the small parts of requests have no
# room left; they do not make it worse.
ORDINARY_BODY_BYTES = 4096
# Bytes of a refused request that are read and dropped, so that its client gets
# the response instead of a reset, and for how long.
LINGER_BYTES = 1_000_000
LINGER_S = 1.0
_CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
_INTERNAL_ERROR = 500
_REQUEST_TIMEOUT = 408
_UNAVAILABLE = 503
_NO_CONTENT = (204, 304)
_REASONS = {status.value: status.phrase for status in http.HTTPStatus}


@dataclasses.dataclass(eq=False, slots=True)
class _Exchange:
    """A request and, once it is known, its response.

    Attributes:
        request: The request; None for bytes that were no request.
        place_bytes: Place of its body in the memory budget.
        may_run_ahead: Whether it may run before earlier ones have their
            answers; None while that is not known.
        task: Runs the handler.
        response: Result of the handler.
    """

    request: HttpRequest | None
    place_bytes: int = 0
    may_run_ahead: bool | None = None
    task: asyncio.Task[None] | None = None
    response: HttpResponse | None = None


class _DateHeader:
    """Value of the `Date` header, which changes once a second."""

    def __init__(self) -> None:
        self._second = 0
        self._text = ""

    def text(self) -> str:
        second = int(time.time())
        if second != self._second:
            self._second = second
            # The format of RFC 9110, section 5.6.7. `email.utils` has it too,
            # but loading that slows the start of a process down.
            self._text = time.strftime(
                "%a, %d %b %Y %H:%M:%S GMT", time.gmtime(second)
            )
        return self._text


_date = _DateHeader()


class Connection(asyncio.BufferedProtocol):
    """Reads requests, runs them and writes their responses in order.

    Attributes:
        account: What it makes the process hold.
        used_s: Loop time of its last response, or at which it was opened.
        answered: Number of responses written.
    """

    def __init__(self, server: "HttpServer") -> None:
        """Creates the protocol of a connection that is not open yet."""
        self._server = server
        self._loop = asyncio.get_running_loop()
        self._parser = RequestParser(server.limits.parse)
        self._transport: asyncio.Transport | None = None
        self._unparsed = b""
        self._exchanges: collections.deque[_Exchange] = collections.deque()
        self._requests = 0
        self._is_write_paused = False
        self._is_read_paused = False
        self._is_parse_scheduled = False
        # Whether no further requests are read.
        self._is_ending = False
        self._has_place = False
        self._has_continued = False
        # Whether the client may still send what is not read.
        self._must_linger = False
        self._lingers_until_s: float | None = None
        self._linger_bytes = 0
        self._reading_since_s: float | None = None
        self._last_body_bytes = -1
        self._body_grew_s = 0.0
        self.account = Account()
        self.used_s = self._loop.time()
        self.answered = 0

    # State.

    @property
    def is_idle(self) -> bool:
        """Whether it waits for a request and has read nothing of one."""
        return (
            not self._exchanges and not self._unparsed and self._parser.is_idle
        )

    @property
    def is_reading_body(self) -> bool:
        """Whether it has read the head of a request whose body is missing."""
        return self._parser.is_reading_body and not self._is_ending

    @property
    def is_closing(self) -> bool:
        """Whether it is closed or about to be."""
        return self._transport is None or self._transport.is_closing()

    @property
    def unsent_bytes(self) -> int:
        """Bytes that were written and have not left the process."""
        if self._transport is None:
            return 0
        return self._transport.get_write_buffer_size()

    def close(self) -> None:
        """Closes it once what was written has left."""
        if self._transport is not None:
            self._transport.close()

    def abort(self) -> None:
        """Closes it at once."""
        if self._transport is not None:
            self._transport.abort()

    # Callbacks of the transport.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Takes over an opened connection."""
        self._transport = cast("asyncio.Transport", transport)
        if not self._server.add(self):
            self._transport.abort()

    def connection_lost(self, exc: Exception | None) -> None:
        """Ends the requests of a connection that has ended."""
        del exc
        self._transport = None
        self._is_ending = True
        self._unparsed = b""
        self._server.remove(self)
        for exchange in self._exchanges:
            if exchange.task is not None:
                exchange.task.cancel()
        self._exchanges.clear()

    def get_buffer(self, sizehint: int) -> memoryview:
        """Returns the buffer that all connections read into."""
        del sizehint
        return self._server.buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Parses bytes that have arrived."""
        if self._is_ending:
            self._linger_bytes += nbytes
            if self._linger_bytes > LINGER_BYTES:
                self.abort()
            return
        data = bytes(self._server.buffer[:nbytes])
        self._unparsed = self._unparsed + data if self._unparsed else data
        self._parse()

    def eof_received(self) -> bool:
        """Closes the connection, as its client has left."""
        return False

    def pause_writing(self) -> None:
        """Holds further responses back while the client does not read."""
        self._is_write_paused = True

    def resume_writing(self) -> None:
        """Goes on once the client has read."""
        self._is_write_paused = False
        self._count_answers()
        self._flush()
        self._parse()

    # Requests.

    def _may_parse(self) -> bool:
        return (
            not self._is_ending
            and not self._is_write_paused
            and not self.account.wanted_bytes
            and len(self._exchanges) < MAX_READ_AHEAD
            and self._read_ahead_bytes <= SMALL_BYTES
        )

    @property
    def _read_ahead_bytes(self) -> int:
        """Bytes of the bodies that have no place in the budget."""
        if not self._exchanges:
            return 0
        return sum(
            len(exchange.request.body)
            for exchange in self._exchanges
            if exchange.request is not None and not exchange.place_bytes
        )

    def _parse(self) -> None:
        """Parses some of the bytes that have arrived."""
        self._is_parse_scheduled = False
        pieces = 0
        while self._unparsed and self._may_parse():
            if pieces == PIECES_PER_TURN:
                # Other connections have their turn.
                self._is_parse_scheduled = True
                self._loop.call_soon(self._parse)
                break
            pieces += 1
            piece = self._unparsed[:PIECE_BYTES]
            self._unparsed = self._unparsed[PIECE_BYTES:]
            try:
                self._parser.feed(piece, self._loop.time())
            except ParseError as error:
                self._take_complete()
                self._server.count_refused(error.status)
                self._refuse(self._server.error_response(error.status))
                return
            self._take_complete()
            self._account_for_body()
        self._count_small()
        self._set_reading(self._may_parse() and not self._unparsed)

    def _set_reading(self, is_wanted: bool) -> None:
        if self._transport is None or self._transport.is_closing():
            return
        # A connection that ends is read on and the bytes are dropped. Otherwise
        # a client that leaves would not be noticed, nor get what was written.
        is_wanted = is_wanted or self._is_ending
        if is_wanted and self._is_read_paused:
            self._transport.resume_reading()
        elif not is_wanted and not self._is_read_paused:
            self._transport.pause_reading()
        self._is_read_paused = not is_wanted

    def _take_complete(self) -> None:
        for request in self._parser.complete:
            if self._is_ending:
                break
            self._add(request)
        self._parser.complete.clear()

    def _add(self, request: HttpRequest) -> None:
        exchange = _Exchange(request)
        if self._has_place:
            exchange.place_bytes = len(request.body)
            self._server.budget.complete(self.account, len(request.body))
            self._has_place = False
        self._has_continued = False
        request.is_first_on_connection = not self._requests
        self._requests += 1
        self._exchanges.append(exchange)
        if (
            self._server.budget.is_over_small
            and not exchange.place_bytes
            and len(request.body) > ORDINARY_BODY_BYTES
        ):
            self._server.count_refused(_UNAVAILABLE)
            exchange.response = self._server.error_response(_UNAVAILABLE)
        if request.is_closing:
            self._is_ending = True
            self._must_linger = bool(self._unparsed)
            self._unparsed = b""
        if exchange.response is not None:
            self._flush()
        self._start()

    def _account_for_body(self) -> None:
        """Reserves a place for a large body, and lets its client go on."""
        if not self._parser.is_reading_body or self._is_ending:
            return
        if self._has_place:
            self.account.read_bytes = self._parser.body_bytes
        elif self._parser.body_bytes + len(self._unparsed) > SMALL_BYTES:
            size = self._parser.expected_bytes
            self._has_place = self._server.budget.reserve(
                self.account, size, self._loop.time()
            )
        self._send_continue()

    def _send_continue(self) -> None:
        """Asks for a body that its client holds back, when it is its turn."""
        if (
            self._parser.expects_continue
            and self._parser.is_reading_body
            and not self._has_continued
            and not self._exchanges
            and self._transport is not None
        ):
            self._has_continued = True
            self._transport.write(_CONTINUE)

    def on_place(self) -> None:
        """Reads on, because the budget has given it a place."""
        self._has_place = True
        self._parse()

    def _count_small(self) -> None:
        now_s = self._loop.time()
        incomplete = len(self._unparsed)
        if not self._has_place:
            incomplete += self._parser.held_bytes
        self._server.budget.set_small(
            self.account, self._read_ahead_bytes, incomplete, now_s
        )
        if self._server.budget.is_over_small:
            self._server.check_room_soon()
        if self._parser.is_idle:
            self._reading_since_s = None
        elif self._reading_since_s is None:
            self._reading_since_s = now_s

    def _start(self) -> None:
        """Starts the requests that may run now.

        The first one always may. Others may run ahead if that is safe for them
        and for all before them; an unsafe request runs alone.
        """
        ready_bytes = 0
        for index, exchange in enumerate(self._exchanges):
            if exchange.response is not None:
                ready_bytes += len(exchange.response.body)
            request = exchange.request
            is_new = exchange.task is None and exchange.response is None
            if is_new and request is not None:
                if index and (
                    not self._may_run_ahead(exchange)
                    or self._server.is_stopping
                    or self._server.budget.is_tight
                    or ready_bytes > MAX_READY_BYTES
                ):
                    return
                exchange.task = self._loop.create_task(
                    self._run(exchange, request)
                )
            if len(self._exchanges) > index + 1 and not self._may_run_ahead(
                exchange
            ):
                return

    def _may_run_ahead(self, exchange: _Exchange) -> bool:
        if exchange.may_run_ahead is None:
            request = exchange.request
            exchange.may_run_ahead = (
                request is not None and self._server.may_run_ahead(request)
            )
        return exchange.may_run_ahead

    async def _run(self, exchange: _Exchange, request: HttpRequest) -> None:
        try:
            response = await self._server.handle(request)
        except Exception:
            logger.exception(
                "request handler failed", extra={"event": "internal_error"}
            )
            response = self._server.error_response(_INTERNAL_ERROR)
        exchange.response = response
        self._flush()

    # Responses.

    def _refuse(self, response: HttpResponse) -> None:
        """Answers what is no request, after all before it, and ends."""
        self._is_ending = True
        self._must_linger = True
        self._unparsed = b""
        self._parser.discard()
        refusal = dataclasses.replace(response, closes=True)
        self._exchanges.append(_Exchange(None, response=refusal))
        self._count_small()
        self._flush()

    def refuse_for_room(self) -> None:
        """Refuses the request that is being read, which has not run."""
        if self._is_ending or not (self._parser.has_begun or self._unparsed):
            return
        self._server.count_refused(_UNAVAILABLE)
        self._server.budget.stop_waiting(self.account)
        if self._has_place:
            self._has_place = False
            self._server.budget.complete(self.account, 0)
        self._refuse(self._server.error_response(_UNAVAILABLE))

    def _flush(self) -> None:
        """Writes the responses whose turn it is."""
        while self._exchanges and not self._is_write_paused:
            exchange = self._exchanges[0]
            response = exchange.response
            if response is None:
                break
            self._exchanges.popleft()
            if exchange.place_bytes:
                self._server.budget.release(self.account, exchange.place_bytes)
            closes = response.closes or (
                exchange.request is not None and exchange.request.is_closing
            )
            if self._server.is_stopping and not self._has_started():
                closes = True
            self._write(exchange.request, response, closes=closes)
            if closes:
                self._end()
                return
        self._count_answers()
        if self.account.small_bytes:
            self._count_small()
        self._send_continue()
        if self._exchanges:
            self._start()
        elif self._unparsed and not self._is_parse_scheduled:
            self._parse()
        if self._is_read_paused and self._may_parse():
            self._parse()

    def _has_started(self) -> bool:
        """Whether a request was passed on that waits for its answer."""
        return any(
            exchange.task is not None or exchange.response is not None
            for exchange in self._exchanges
        )

    def _write(
        self,
        request: HttpRequest | None,
        response: HttpResponse,
        *,
        closes: bool,
    ) -> None:
        if self._transport is None:
            return
        reason = _REASONS.get(response.status, "")
        lines = [f"HTTP/1.1 {response.status} {reason}\r\n"]
        has_date = False
        for name, value in response.headers:
            lines.append(f"{name}: {value}\r\n")
            has_date = has_date or name.lower() == "date"
        if not has_date:
            lines.append(f"Date: {_date.text()}\r\n")
        body = response.body
        if response.status in _NO_CONTENT or (
            request is not None and request.method == "HEAD"
        ):
            body = b""
        else:
            lines.append(f"Content-Length: {len(body)}\r\n")
        if closes:
            lines.append("Connection: close\r\n")
        elif request is not None and request.is_http_1_0:
            lines.append("Connection: keep-alive\r\n")
        lines.append("\r\n")
        head = "".join(lines).encode("latin-1", "replace")
        if len(body) > PIECE_BYTES:
            # Joining would copy a large body.
            self._transport.write(head)
            self._transport.write(body)
        else:
            self._transport.write(head + body)
        self.answered += 1
        self.used_s = self._loop.time()

    def _count_answers(self) -> None:
        size = self.unsent_bytes
        for exchange in self._exchanges:
            if exchange.response is not None:
                size += len(exchange.response.body)
        account = self.account
        if size or account.answer_bytes:
            self._server.budget.set_answers(account, size, self._loop.time())
            if size:
                self._server.check_answers()

    def _end(self) -> None:
        """Ends the connection once what was written has left."""
        self._is_ending = True
        self._unparsed = b""
        for exchange in self._exchanges:
            if exchange.task is not None:
                exchange.task.cancel()
        self._exchanges.clear()
        transport = self._transport
        if transport is None or transport.is_closing():
            return
        if not self._must_linger and not self._is_read_paused:
            transport.close()
            return
        # Bytes that are not read would reset the connection, and the client
        # would lose the response.
        self._lingers_until_s = self._loop.time() + LINGER_S
        if transport.can_write_eof():
            transport.write_eof()
        self._set_reading(is_wanted=True)

    # Periodic checks.

    def check(self, now_s: float) -> None:
        """Ends the connection if its client takes too long."""
        limits = self._server.limits
        if self._lingers_until_s is not None:
            if now_s > self._lingers_until_s:
                self.close()
            return
        if self.account.answer_bytes:
            self._count_answers()
            stalled_s = now_s - self.account.answered_at_s
            if stalled_s > limits.write_timeout_s:
                self.abort()
            return
        if self._exchanges or self._is_ending:
            return
        if self.is_idle:
            if now_s - self.used_s > limits.idle_timeout_s:
                self.close()
            return
        since_s = self._reading_since_s
        if since_s is None or self.account.wanted_bytes:
            return
        if self._parser.is_reading_body:
            self._check_body(now_s)
        elif now_s - since_s > limits.head_timeout_s:
            self._time_out()

    def _check_body(self, now_s: float) -> None:
        size = self._parser.body_bytes
        if size != self._last_body_bytes:
            self._last_body_bytes, self._body_grew_s = size, now_s
        elif now_s - self._body_grew_s > self._server.limits.body_stall_s:
            self._time_out()

    def _time_out(self) -> None:
        if not self._parser.has_begun:
            # Only empty lines have come, which ask for no answer.
            self.close()
            return
        self._server.count_refused(_REQUEST_TIMEOUT)
        self._refuse(self._server.error_response(_REQUEST_TIMEOUT))
