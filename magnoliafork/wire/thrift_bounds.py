"""Length checks of thrift binary structures before they are decoded.

The thrift decoder trusts declared container sizes: a few random bytes made it
loop over two billion elements. This check scans the encoded form once and
accepts it only if every declared length fits into the remaining bytes.
"""

import struct

MAX_DEPTH = 4

_BOOL = 2
_BYTE = 3
_DOUBLE = 4
_I16 = 6
_I32 = 8
_I64 = 10
_STRING = 11
_STRUCT = 12
_LIST = 15
_STOP = 0

_FIXED_BYTES = {_BOOL: 1, _BYTE: 1, _DOUBLE: 8, _I16: 2, _I32: 4, _I64: 8}
_LENGTH = struct.Struct(">i")
_LIST_HEADER = struct.Struct(">bi")
_FIELD_HEADER_BYTES = 3


def is_bounded(payload: bytes) -> bool:
    """Returns whether a payload is exactly one thrift structure.

    Every declared length must fit into the payload, and the structure must end
    at its last byte. Maps and sets are rejected, because no message has one.

    >>> is_bounded(bytes([0]))
    True
    >>> is_bounded(bytes([15, 0, 1, 8, 127, 255, 255, 255]))
    False
    """
    try:
        return _skip_struct(payload, 0, 0) == len(payload)
    except (struct.error, IndexError, ValueError):
        return False


def _skip_struct(payload: bytes, offset: int, depth: int) -> int:
    if depth > MAX_DEPTH:
        raise ValueError("structures nest too deeply")
    while True:
        field_type = payload[offset]
        if field_type == _STOP:
            return offset + 1
        offset = _skip_value(
            payload, offset + _FIELD_HEADER_BYTES, field_type, depth
        )


def _skip_value(
    payload: bytes, offset: int, field_type: int, depth: int
) -> int:
    fixed_bytes = _FIXED_BYTES.get(field_type)
    if fixed_bytes is not None:
        return _advance(payload, offset, fixed_bytes)
    if field_type == _STRING:
        (length,) = _LENGTH.unpack_from(payload, offset)
        return _advance(payload, offset + _LENGTH.size, length)
    if field_type == _STRUCT:
        return _skip_struct(payload, offset, depth + 1)
    if field_type == _LIST:
        return _skip_list(payload, offset, depth)
    raise ValueError(f"unexpected field type {field_type}")


def _skip_list(payload: bytes, offset: int, depth: int) -> int:
    element_type, count = _LIST_HEADER.unpack_from(payload, offset)
    offset += _LIST_HEADER.size
    if count < 0 or count > len(payload) - offset:
        raise ValueError("list is longer than the payload")
    fixed_bytes = _FIXED_BYTES.get(element_type)
    if fixed_bytes is not None:
        return _advance(payload, offset, fixed_bytes * count)
    for _ in range(count):
        offset = _skip_value(payload, offset, element_type, depth + 1)
    return offset


def _advance(payload: bytes, offset: int, length: int) -> int:
    end = offset + length
    if length < 0 or end > len(payload):
        raise ValueError("value is longer than the payload")
    return end
