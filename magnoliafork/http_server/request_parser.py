"""Turns the bytes of a client into requests, within limits."""

import dataclasses
import re

import httptools

from magnoliafork.http_server.messages import HttpRequest, RawHeaders

# Bytes that are parsed at a time. Limits are checked in between, so that a head
# is held beyond its limit by this much at most.
PIECE_BYTES = 16_384
_BAD_REQUEST = 400
_BODY_TOO_LARGE = 413
_TARGET_TOO_LONG = 414
_HEAD_TOO_LARGE = 431
_CONNECT = b"CONNECT"
_CONTINUE = b"100-continue"
_LENGTH = re.compile(rb"[0-9]{1,18}", re.ASCII)


@dataclasses.dataclass(frozen=True, slots=True)
class ParseLimits:
    """Limits on one request.

    Attributes:
        head_bytes: Request line and headers, also empty lines before them, the
            framing between two pieces of a body, and trailers.
        fields: Number of headers.
        body_bytes: Body.
    """

    head_bytes: int
    fields: int
    body_bytes: int


class ParseError(Exception):
    """The bytes are no request that can be served.

    Attributes:
        status: Status of the response.
    """

    def __init__(self, status: int, detail: str) -> None:
        """Creates the error with the status of the response."""
        super().__init__(detail)
        self.status = status


class RequestParser:
    """Parses the requests of one connection, one after the other.

    Attributes:
        complete: Requests that were completed and not taken yet.
        expects_continue: Whether the client waits for a 100 response before it
            sends the body of the request that is being read.
    """

    def __init__(self, limits: ParseLimits) -> None:
        """Creates a parser that waits for a first request."""
        self._limits = limits
        self._parser = httptools.HttpRequestParser(self)
        self.complete: list[HttpRequest] = []
        self.expects_continue = False
        self._reset()
        # Bytes since the last part of a message that is kept.
        self._unkept_bytes = 0
        self._replays_head = False

    def _reset(self) -> None:
        self._has_begun = False
        self._target = b""
        self._headers: RawHeaders = []
        self._header_bytes = 0
        self._head: HttpRequest | None = None
        self._body = bytearray()
        self._content_length: int | None = None
        self._framing: list[bytes] = []
        self.expects_continue = False

    @property
    def is_idle(self) -> bool:
        """Whether nothing of a further request has arrived."""
        return not self._unkept_bytes and self._head is None

    @property
    def has_begun(self) -> bool:
        """Whether the first byte of a request has arrived."""
        return self._has_begun

    @property
    def is_reading_body(self) -> bool:
        """Whether a head was read whose body is not complete."""
        return self._head is not None

    @property
    def held_bytes(self) -> int:
        """Bytes that are held for the request that is being read."""
        return self._unkept_bytes + self._header_bytes + len(self._body)

    @property
    def body_bytes(self) -> int:
        """Bytes of the incomplete body that were received."""
        return len(self._body)

    @property
    def expected_bytes(self) -> int:
        """Size of the body that is being read; its limit if it is unknown."""
        if self._content_length is None:
            return self._limits.body_bytes
        return self._content_length

    def feed(self, piece: bytes, now_s: float) -> None:
        """Parses at most `PIECE_BYTES` bytes.

        Raises:
            ParseError: No further request can be read.
        """
        self._now_s = now_s
        self._made_progress = False
        try:
            self._feed(piece)
        except httptools.HttpParserCallbackError as error:
            # The library wraps what its callbacks raise.
            cause = error.__context__
            if isinstance(cause, ParseError):
                raise cause from None
            raise
        except httptools.HttpParserError as error:
            raise ParseError(_BAD_REQUEST, str(error)) from None
        if self._made_progress:
            self._unkept_bytes = 0
            if self._head is None and not self._target:
                return
        self._unkept_bytes += len(piece)
        if self._unkept_bytes > self._limits.head_bytes + PIECE_BYTES:
            self._refuse_head()

    def _refuse_head(self) -> None:
        if self._head is not None:
            raise ParseError(_BAD_REQUEST, "framing of the body is too long")
        if len(self._target) > self._limits.head_bytes / 2:
            raise ParseError(_TARGET_TOO_LONG, "request target is too long")
        raise ParseError(_HEAD_TOO_LARGE, "head is too large")

    def discard(self) -> None:
        """Drops what is held of an incomplete request."""
        self._reset()
        self._unkept_bytes = 0

    def _feed(self, piece: bytes) -> None:
        rest: bytes = piece
        while rest:
            try:
                self._parser.feed_data(rest)
                return
            except httptools.HttpParserUpgrade as upgrade:
                # This server changes to no other protocol, so the connection
                # goes on as if the client had not asked for one.
                rest = rest[upgrade.args[0] :]
                self._parser = httptools.HttpRequestParser(self)
                self._resume_body()

    def _resume_body(self) -> None:
        """Brings a new parser to the body of a request with an upgrade.

        The library takes the body for bytes of the other protocol.
        """
        if not self._framing:
            return
        request = self.complete.pop()
        self._has_begun = True
        self._replays_head = True
        lines = b"".join(self._framing)
        self._parser.feed_data(b"POST / HTTP/1.1\r\n" + lines + b"\r\n")
        self._replays_head = False
        self._head = request

    # Callbacks of the library.

    def on_url(self, url: bytes) -> None:
        """Adds a part of the request target."""
        if not self._replays_head:
            self._target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Adds a header; trailers are dropped."""
        if self._replays_head or self._head is not None:
            return
        self._header_bytes += len(name) + len(value)
        if len(self._headers) >= self._limits.fields:
            raise ParseError(_HEAD_TOO_LARGE, "too many headers")
        lowered = name.lower()
        if lowered in (b"content-length", b"transfer-encoding"):
            self._framing.append(name + b": " + value + b"\r\n")
        if lowered == b"content-length" and _LENGTH.fullmatch(value):
            self._content_length = int(value)
            if self._content_length > self._limits.body_bytes:
                raise ParseError(_BODY_TOO_LARGE, "body is too large")
        if lowered == b"expect" and value.lower() == _CONTINUE:
            self.expects_continue = True
        self._headers.append((name.decode("latin-1"), value.decode("latin-1")))

    def on_headers_complete(self) -> None:
        """Checks the head."""
        if self._replays_head:
            return
        self._made_progress = True
        method = self._parser.get_method()
        if method == _CONNECT:
            # What follows is meant for a tunnel and is no request.
            raise ParseError(_BAD_REQUEST, "no tunnels")
        if self._header_bytes + len(self._target) > self._limits.head_bytes:
            self._refuse_head()
        version = self._parser.get_http_version()
        self._head = HttpRequest(
            method=method.decode("ascii"),
            target=self._target.decode("ascii", "replace"),
            headers=self._headers,
            is_closing=not self._parser.should_keep_alive(),
            is_http_1_0=version == "1.0",
            arrived_s=self._now_s,
        )

    def on_body(self, body: bytes) -> None:
        """Adds a part of the body."""
        self._made_progress = True
        if len(self._body) + len(body) > self._limits.body_bytes:
            raise ParseError(_BODY_TOO_LARGE, "body is too large")
        self._body += body

    def on_message_complete(self) -> None:
        """Hands the request over."""
        if self._replays_head:
            return
        self._made_progress = True
        request = self._head
        assert request is not None
        request.body = bytes(self._body)
        self.complete.append(request)
        framing = self._framing
        self._reset()
        # Needed if the request turns out to ask for another protocol.
        self._framing = framing

    def on_message_begin(self) -> None:
        """Begins a request."""
        if not self._replays_head:
            self._has_begun = True
            self._framing = []
