"""Encodes and decodes the frames in which nodes send messages.

A frame is a header with length, kind and checksum, then a thrift structure.
"""

import dataclasses
import pathlib
import struct
import types
import typing
import zlib
from collections.abc import Callable

import thriftpy2
from thriftpy2.protocol import TCyBinaryProtocolFactory
from thriftpy2.utils import deserialize, serialize

from magnoliafork.model.result import Err, Ok, Result
from magnoliafork.wire import messages, thrift_bounds

MAX_FRAME_BYTES = 2 * 1024 * 1024
PROTOCOL_NUMBER = 1

_HEADER = struct.Struct(">IBI")
HEADER_BYTES = _HEADER.size

_thrift = thriftpy2.load(
    str(pathlib.Path(__file__).with_name("peer.thrift")),
    module_name="magnoliafork_peer_thrift",
)
_factory = TCyBinaryProtocolFactory()  # type: ignore[no-untyped-call]

# The index of a class is its kind number on the wire, so only append.
_MESSAGE_TYPES: tuple[type[typing.Any], ...] = (
    messages.Hello,
    messages.Heartbeat,
    messages.Announce,
    messages.DeltaRequest,
    messages.DeltaReply,
    messages.MembershipUpdate,
    messages.MembershipRequest,
    messages.ProbeRequest,
    messages.ProbeReply,
    messages.CallRequest,
    messages.CallAnswer,
    messages.CallRefused,
    messages.CallUnknown,
    messages.CallCancel,
    messages.CallFence,
    messages.CallFenceReply,
    messages.ViewAnnounce,
    messages.ViewRequest,
    messages.ViewReply,
    messages.GoAway,
    messages.CrashReports,
    messages.QuotaRequest,
    messages.QuotaReply,
)
_KIND_BY_TYPE = {
    message_type: number for number, message_type in enumerate(_MESSAGE_TYPES)
}
_ENTRY_TYPES = (
    messages.PartEntry,
    messages.MemberEntry,
    messages.CrashReport,
)


@dataclasses.dataclass(frozen=True, slots=True)
class FrameError:
    """A frame that cannot be decoded.

    Attributes:
        detail: What is wrong, for the log.
    """

    detail: str


@dataclasses.dataclass(frozen=True, slots=True)
class FrameHeader:
    """Fixed-size header in front of each payload."""

    payload_bytes: int
    kind: int
    checksum: int


Converter = Callable[[typing.Any], typing.Any]


def _scalar_converter(expected: type) -> Converter:
    empty = expected()

    def convert(value: typing.Any) -> typing.Any:
        if value is None:
            return empty
        if type(value) is not expected:
            raise TypeError(f"expected {expected.__name__}")
        return value

    return convert


def _tuple_converter(element: Converter) -> Converter:
    def convert(value: typing.Any) -> typing.Any:
        if value is None:
            return ()
        if type(value) is not list:
            raise TypeError("expected a list")
        return tuple(element(item) for item in value)

    return convert


def _entry_converter(entry_type: type[typing.Any]) -> Converter:
    fields = _field_converters(entry_type)

    def convert(value: typing.Any) -> typing.Any:
        if value is None:
            raise TypeError("expected an entry")
        return entry_type(
            *[converter(getattr(value, name)) for name, converter in fields]
        )

    return convert


def _converter_for(annotation: typing.Any) -> Converter:
    if isinstance(annotation, types.GenericAlias):
        return _tuple_converter(_converter_for(annotation.__args__[0]))
    if annotation in _ENTRY_TYPES:
        return _entry_converter(annotation)
    if annotation is bytes:
        return _convert_bytes
    return _scalar_converter(annotation)


def _convert_bytes(value: typing.Any) -> bytes:
    if value is None:
        return b""
    # The decoder returns text for binary fields that are valid UTF-8.
    if type(value) is str:
        return value.encode()
    if type(value) is not bytes:
        raise TypeError("expected bytes")
    return value


def _field_converters(
    message_type: type[typing.Any],
) -> list[tuple[str, Converter]]:
    hints = typing.get_type_hints(message_type)
    return [
        (field.name, _converter_for(hints[field.name]))
        for field in dataclasses.fields(message_type)
    ]


_FIELD_CONVERTERS = {
    message_type: _field_converters(message_type)
    for message_type in _MESSAGE_TYPES
}
_FIELD_NAMES = {
    message_type: tuple(
        field.name for field in dataclasses.fields(message_type)
    )
    for message_type in (*_MESSAGE_TYPES, *_ENTRY_TYPES)
}


def _to_thrift(value: typing.Any) -> typing.Any:
    value_type = type(value)
    names = _FIELD_NAMES.get(value_type)
    if names is not None:
        struct_type = getattr(_thrift, value_type.__name__)
        return struct_type(
            *[_field_to_thrift(getattr(value, name)) for name in names]
        )
    if value_type is tuple:
        return [_to_thrift(item) for item in value]
    return value


def _field_to_thrift(value: typing.Any) -> typing.Any:
    """Omits empty fields, which makes a heartbeat a third shorter."""
    return _to_thrift(value) if value else None


def encode(message: messages.Message) -> bytes:
    """Encodes a message as one frame.

    Raises:
        ValueError: The payload exceeds `MAX_FRAME_BYTES`. The modules that
            create messages keep the content below that.
    """
    payload = serialize(_to_thrift(message), _factory)
    if len(payload) > MAX_FRAME_BYTES:
        raise ValueError(f"frame of {len(payload)} bytes is too large")
    header = _HEADER.pack(
        len(payload), _KIND_BY_TYPE[type(message)], zlib.crc32(payload)
    )
    return bytes(header + payload)


def decode_header(data: bytes) -> Result[FrameHeader, FrameError]:
    """Decodes and checks a frame header.

    Args:
        data: Exactly `HEADER_BYTES` bytes.

    Returns:
        The header, or the reason why the connection must be closed.
    """
    payload_bytes, kind, checksum = _HEADER.unpack(data)
    if payload_bytes > MAX_FRAME_BYTES:
        return _error(f"frame of {payload_bytes} bytes is too large")
    if kind >= len(_MESSAGE_TYPES):
        return _error(f"unknown message kind {kind}")
    return Ok(FrameHeader(payload_bytes, kind, checksum))


def decode_payload(
    header: FrameHeader, payload: bytes
) -> Result[messages.Message, FrameError]:
    """Decodes the payload that follows a header.

    Returns:
        The message, or the reason why the connection must be closed.
    """
    if zlib.crc32(payload) != header.checksum:
        return _error("checksum does not match")
    if not thrift_bounds.is_bounded(payload):
        return _error("payload is not one complete structure")
    message_type = _MESSAGE_TYPES[header.kind]
    try:
        decoded = deserialize(
            getattr(_thrift, message_type.__name__)(), payload, _factory
        )
        fields = [
            converter(getattr(decoded, name))
            for name, converter in _FIELD_CONVERTERS[message_type]
        ]
    except Exception as error:  # noqa: BLE001 - the decoder raises many types
        return _error(f"malformed {message_type.__name__}: {error}")
    return Ok(message_type(*fields))


def _error(detail: str) -> Err[FrameError]:
    return Err((FrameError(detail),))
