"""One connection between two nodes."""

import asyncio
import dataclasses
import logging
from typing import Protocol, cast

from magnoliafork.model.result import Err
from magnoliafork.wire import codec, messages

logger = logging.getLogger("magnoliafork")

# A Hello holds a few ids.
MAX_HELLO_BYTES = 4096
MAX_UNSENT_BYTES = 8 * 1024 * 1024


class LinkOwner(Protocol):
    """Receives the events of a connection."""

    def on_hello(self, link: "Link", hello: messages.Hello) -> None:
        """Handles the first message of the remote node."""
        ...

    def on_message(self, link: "Link", message: messages.Message) -> None:
        """Handles each later message."""
        ...

    def on_closed(self, link: "Link") -> None:
        """Handles the end of the connection; called exactly once."""
        ...


class TrafficCounter(Protocol):
    """Counts the bytes of a connection."""

    def count_received(self, message_type: type, size_bytes: int) -> None:
        """Adds one received frame."""
        ...

    def count_sent(self, message_type: type, size_bytes: int) -> None:
        """Adds one sent frame."""
        ...

    def count_malformed(self) -> None:
        """Adds one frame that could not be decoded."""
        ...


@dataclasses.dataclass(slots=True)
class LinkTraffic:
    """Counts frame bytes of control messages and of calls.

    Attributes:
        control_received_bytes: Bytes received in all frames except those of
            calls, such as heartbeats, versions and membership.
        control_sent_bytes: The same for sent frames.
        call_received_bytes: Bytes received in frames of calls: requests,
            answers, cancellations and fences.
        call_sent_bytes: The same for sent frames.
        malformed_frames: Frames that could not be decoded.
    """

    control_received_bytes: int = 0
    control_sent_bytes: int = 0
    call_received_bytes: int = 0
    call_sent_bytes: int = 0
    malformed_frames: int = 0

    def count_received(self, message_type: type, size_bytes: int) -> None:
        """Adds one received frame."""
        if message_type in _CALL_TYPES:
            self.call_received_bytes += size_bytes
        else:
            self.control_received_bytes += size_bytes

    def count_sent(self, message_type: type, size_bytes: int) -> None:
        """Adds one sent frame."""
        if message_type in _CALL_TYPES:
            self.call_sent_bytes += size_bytes
        else:
            self.control_sent_bytes += size_bytes

    def count_malformed(self) -> None:
        """Adds one frame that could not be decoded."""
        self.malformed_frames += 1


_CALL_TYPES = frozenset(
    {
        messages.CallRequest,
        messages.CallAnswer,
        messages.CallRefused,
        messages.CallUnknown,
        messages.CallCancel,
        messages.CallFence,
        messages.CallFenceReply,
        messages.QuotaRequest,
        messages.QuotaReply,
        messages.GoAway,
    }
)


class Link(asyncio.Protocol):
    """Exchanges messages as frames; a malformed frame closes the connection."""

    def __init__(
        self,
        owner: LinkOwner,
        traffic: TrafficCounter,
        loop: asyncio.AbstractEventLoop,
    ) -> None:
        """Creates a link for a connection that is about to open."""
        self._owner = owner
        self._traffic = traffic
        self._loop = loop
        self._transport: asyncio.Transport | None = None
        self._buffer = bytearray()
        self._is_closed = False
        self.peer_hello: messages.Hello | None = None
        self.last_received_s = loop.time()
        self.close_reason = ""

    @property
    def is_open(self) -> bool:
        """Whether messages can be sent."""
        return self._transport is not None and not self._is_closed

    @property
    def unsent_bytes(self) -> int:
        """Bytes that were written and have not left the process."""
        if self._transport is None:
            return 0
        return self._transport.get_write_buffer_size()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Takes over an opened connection."""
        # Transports of other event loops need not subclass asyncio's.
        opened = cast("asyncio.Transport", transport)
        if self._is_closed:
            opened.abort()
            return
        self._transport = opened
        opened.set_write_buffer_limits(high=MAX_UNSENT_BYTES)

    def connection_lost(self, exc: Exception | None) -> None:
        """Tells the owner that the connection has ended."""
        if not self.close_reason:
            self.close_reason = f"connection lost: {exc or 'closed by peer'}"
        self._finish()

    def data_received(self, data: bytes) -> None:
        """Decodes all complete frames."""
        if self._is_closed:
            return
        self.last_received_s = self._loop.time()
        self._buffer += data
        offset = 0
        while not self._is_closed:
            end = self._decode_one(offset)
            if end is None:
                break
            offset = end
        del self._buffer[:offset]

    def send(self, message: messages.Message) -> bool:
        """Writes one message.

        Returns:
            False when the link is closed or too many bytes are unsent; the
            message was then not written at all.
        """
        if self._transport is None or self._is_closed:
            return False
        if self._transport.get_write_buffer_size() > MAX_UNSENT_BYTES:
            return False
        frame = codec.encode(message)
        self._traffic.count_sent(type(message), len(frame))
        self._transport.write(frame)
        return True

    def close(self, reason: str) -> None:
        """Closes the connection at once and drops buffered bytes."""
        if self._is_closed:
            return
        self.close_reason = reason
        transport = self._transport
        self._finish()
        if transport is not None:
            transport.abort()

    def close_after_flush(self, reason: str) -> None:
        """Stops reading and closes after all written bytes are sent."""
        if self._is_closed:
            return
        self.close_reason = reason
        transport = self._transport
        self._finish()
        if transport is not None:
            transport.close()

    def _finish(self) -> None:
        if self._is_closed:
            return
        self._is_closed = True
        self._owner.on_closed(self)

    def _decode_one(self, offset: int) -> int | None:
        start = offset + codec.HEADER_BYTES
        if len(self._buffer) < start:
            return None
        header = codec.decode_header(bytes(self._buffer[offset:start]))
        if isinstance(header, Err):
            self._reject(header.errors[0])
            return None
        size_bytes = header.value.payload_bytes
        if self.peer_hello is None and size_bytes > MAX_HELLO_BYTES:
            # Nobody has told yet who it is, so little is kept for it.
            self._reject(codec.FrameError(f"first frame of {size_bytes} bytes"))
            return None
        end = start + header.value.payload_bytes
        if len(self._buffer) < end:
            return None
        payload = bytes(self._buffer[start:end])
        message = codec.decode_payload(header.value, payload)
        if isinstance(message, Err):
            self._reject(message.errors[0])
            return None
        self._traffic.count_received(type(message.value), end - offset)
        self._deliver(message.value)
        return end

    def _deliver(self, message: messages.Message) -> None:
        if self.peer_hello is not None:
            self._owner.on_message(self, message)
            return
        if not isinstance(message, messages.Hello):
            self._reject(codec.FrameError("first message is not Hello"))
            return
        if message.protocol != codec.PROTOCOL_NUMBER:
            self._reject(
                codec.FrameError(f"unknown protocol {message.protocol}")
            )
            return
        self.peer_hello = message
        self._owner.on_hello(self, message)

    def _reject(self, error: codec.FrameError) -> None:
        self._traffic.count_malformed()
        logger.warning(
            "peer frame rejected",
            extra={
                "event": "peer_frame_malformed",
                "detail": error.detail,
                "peer": self.peer_hello.instance_id if self.peer_hello else "",
            },
        )
        self.close(f"malformed frame: {error.detail}")
