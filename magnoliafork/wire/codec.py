"""Frames between nodes: length, kind, checksum and a thrift structure."""

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
from magnoliafork.wire import messages, structure

MAX_FRAME_BYTES = 2 * 1024 * 1024
PROTOCOL_NUMBER = 1

_HEADER = struct.Struct(">IBI")
HEADER_BYTES = _HEADER.size

_thrift = thriftpy2.load(
    str(pathlib.Path(__file__).with_name("peer.thrift")),
    module_name="magnoliafork_peer_thrift",
)
_factory = TCyBinaryProtocolFactory()  # type: ignore[no-untyped-call]

# The position of a class is its number on the wire: append only.
_KINDS: tuple[type[typing.Any], ...] = (
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
)
_KIND_NUMBERS = {kind: number for number, kind in enumerate(_KINDS)}
_ENTRY_TYPES = (messages.PartEntry, messages.MemberEntry)


@dataclasses.dataclass(frozen=True, slots=True)
class FrameError:
    """A frame that cannot be decoded.

    Attributes:
        detail: What is wrong, for the log.
    """

    detail: str


@dataclasses.dataclass(frozen=True, slots=True)
class FrameHeader:
    """Fixed part in front of each payload."""

    payload_bytes: int
    kind: int
    checksum: int


Reader = Callable[[typing.Any], typing.Any]


def _scalar_reader(expected: type) -> Reader:
    empty = expected()

    def read(value: typing.Any) -> typing.Any:
        if value is None:
            return empty
        if type(value) is not expected:
            raise TypeError(f"expected {expected.__name__}")
        return value

    return read


def _tuple_reader(element: Reader) -> Reader:
    def read(value: typing.Any) -> typing.Any:
        if value is None:
            return ()
        if type(value) is not list:
            raise TypeError("expected a list")
        return tuple(element(item) for item in value)

    return read


def _entry_reader(entry_type: type[typing.Any]) -> Reader:
    fields = _field_readers(entry_type)

    def read(value: typing.Any) -> typing.Any:
        if value is None:
            raise TypeError("expected an entry")
        return entry_type(
            *[reader(getattr(value, name)) for name, reader in fields]
        )

    return read


def _reader_for(annotation: typing.Any) -> Reader:
    if isinstance(annotation, types.GenericAlias):
        return _tuple_reader(_reader_for(annotation.__args__[0]))
    if annotation in _ENTRY_TYPES:
        return _entry_reader(annotation)
    if annotation is bytes:
        return _read_bytes
    return _scalar_reader(annotation)


def _read_bytes(value: typing.Any) -> bytes:
    if value is None:
        return b""
    # The decoder returns text for binary fields that are valid UTF-8.
    if type(value) is str:
        return value.encode()
    if type(value) is not bytes:
        raise TypeError("expected bytes")
    return value


def _field_readers(kind: type[typing.Any]) -> list[tuple[str, Reader]]:
    hints = typing.get_type_hints(kind)
    return [
        (field.name, _reader_for(hints[field.name]))
        for field in dataclasses.fields(kind)
    ]


_READERS = {kind: _field_readers(kind) for kind in _KINDS}
_FIELD_NAMES = {
    kind: tuple(field.name for field in dataclasses.fields(kind))
    for kind in (*_KINDS, *_ENTRY_TYPES)
}


def _to_thrift(value: typing.Any) -> typing.Any:
    kind = type(value)
    names = _FIELD_NAMES.get(kind)
    if names is not None:
        struct_type = getattr(_thrift, kind.__name__)
        return struct_type(
            *[_field_to_thrift(getattr(value, name)) for name in names]
        )
    if kind is tuple:
        return [_to_thrift(item) for item in value]
    return value


def _field_to_thrift(value: typing.Any) -> typing.Any:
    """Leaves empty fields out; a heartbeat is a third shorter without."""
    return _to_thrift(value) if value else None


def encode(message: messages.Message) -> bytes:
    """Encodes a message as one frame.

    Raises:
        ValueError: The frame would exceed `MAX_FRAME_BYTES`; callers bound
            their content below that.
    """
    payload = serialize(_to_thrift(message), _factory)
    if len(payload) > MAX_FRAME_BYTES:
        raise ValueError(f"frame of {len(payload)} bytes is too large")
    header = _HEADER.pack(
        len(payload), _KIND_NUMBERS[type(message)], zlib.crc32(payload)
    )
    return bytes(header + payload)


def decode_header(data: bytes) -> Result[FrameHeader, FrameError]:
    """Decodes and checks the fixed part of a frame.

    Args:
        data: Exactly `HEADER_BYTES` bytes.

    Returns:
        The header, or the reason why the connection must be closed.
    """
    payload_bytes, kind, checksum = _HEADER.unpack(data)
    if payload_bytes > MAX_FRAME_BYTES:
        return _error(f"frame of {payload_bytes} bytes is too large")
    if kind >= len(_KINDS):
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
    if not structure.is_bounded(payload):
        return _error("structure is not bounded by its payload")
    kind = _KINDS[header.kind]
    try:
        decoded = deserialize(
            getattr(_thrift, kind.__name__)(), payload, _factory
        )
        fields = [
            reader(getattr(decoded, name)) for name, reader in _READERS[kind]
        ]
    except Exception as error:  # noqa: BLE001 - the decoder raises many kinds
        return _error(f"malformed {kind.__name__}: {error}")
    return Ok(kind(*fields))


def _error(detail: str) -> Err[FrameError]:
    return Err((FrameError(detail),))
