"""Frames that arrive damaged must never crash or stall a node."""

import zlib

import hypothesis
from hypothesis import strategies as st

from magnoliafork.model.result import Err, Ok
from magnoliafork.wire import codec, messages

_FENCE = messages.CallFence(7, "ab", 5, 900, "")


def _decode(frame: bytes) -> object:
    header = codec.decode_header(frame[: codec.HEADER_BYTES])
    assert isinstance(header, Ok)
    return codec.decode_payload(header.value, frame[codec.HEADER_BYTES :])


def test_binary_content_survives_a_round_trip() -> None:
    """Guards against part bytes being changed by text decoding."""
    reply = messages.DeltaReply(
        1, False, True, 1, 3, "d", (), ("x",), (b"\xff\x00", b"abc"), False
    )
    assert _decode(codec.encode(reply)) == Ok(reply)


def test_changed_byte_is_detected() -> None:
    """Guards against acting on a frame that was damaged on the way."""
    frame = bytearray(codec.encode(_FENCE))
    frame[-3] ^= 1
    assert isinstance(_decode(bytes(frame)), Err)


@hypothesis.settings(max_examples=200, derandomize=True, deadline=None)
@hypothesis.given(
    kind=st.integers(0, 15), payload=st.binary(min_size=1, max_size=200)
)
def test_random_payload_gives_a_typed_error(kind: int, payload: bytes) -> None:
    """Guards against declared lengths that make the decoder loop."""
    header = codec.FrameHeader(len(payload), kind, zlib.crc32(payload))
    result = codec.decode_payload(header, payload)
    assert isinstance(result, (Ok, Err))
