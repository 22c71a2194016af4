"""Encoding of thrift structs with the accelerated protocols."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, TypeVar

from thrift.protocol import fastbinary
from thrift.transport import TTransport

MAX_STRING_BYTES = 1024 * 1024
"""Longest string or binary field accepted from a peer."""

MAX_CONTAINER_ITEMS = 100_000
"""Largest list, set or map accepted from a peer."""

_StructT = TypeVar("_StructT")


class _DecoderInput:
    """What the accelerated decoder reads of a protocol object."""

    __slots__ = ("container_length_limit", "string_length_limit", "trans")

    def __init__(self, data: bytes, max_string_bytes: int) -> None:
        self.trans = TTransport.TMemoryBuffer(data)
        self.string_length_limit = max_string_bytes
        self.container_length_limit = MAX_CONTAINER_ITEMS


class DecodeError(Exception):
    """Received bytes are not a valid struct of the expected type."""


def encode(struct: Any) -> bytes:
    """Returns the binary form of a generated thrift struct."""
    return fastbinary.encode_binary(
        struct, [struct.__class__, struct.thrift_spec]
    )


def encode_compact(struct: Any) -> bytes:
    """Returns the compact form of a struct: shorter, and slower to read."""
    return fastbinary.encode_compact(
        struct, [struct.__class__, struct.thrift_spec]
    )


def decode_compact(struct_type: type[_StructT], data: bytes) -> _StructT:
    """Reads a struct in its compact form.

    Raises:
        DecodeError: The bytes are malformed or a required field is missing.
    """
    return _decode(
        fastbinary.decode_compact, struct_type, data, MAX_STRING_BYTES
    )


def decode(
    struct_type: type[_StructT],
    data: bytes,
    max_string_bytes: int = MAX_STRING_BYTES,
) -> _StructT:
    """Reads a struct of a generated thrift class.

    Args:
        struct_type: The generated class.
        data: Its binary form; trailing bytes are ignored.
        max_string_bytes: Longest string or binary field accepted.

    Raises:
        DecodeError: The bytes are malformed or a required field is missing.
    """
    return _decode(
        fastbinary.decode_binary, struct_type, data, max_string_bytes
    )


def _decode(
    decoder: Callable[..., Any],
    struct_type: type[_StructT],
    data: bytes,
    max_string_bytes: int,
) -> _StructT:
    struct: Any = struct_type()
    try:
        decoder(
            struct,
            _DecoderInput(data, max_string_bytes),
            [struct_type, struct.thrift_spec],
        )
        struct.validate()
    # The generated code raises many types on malformed input.
    except Exception as error:
        raise DecodeError(struct_type.__name__) from error
    return struct
