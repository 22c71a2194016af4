"""Encodes and decodes thrift structs with the C implementation."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, TypeVar

from thrift.protocol import fastbinary
from thrift.transport import TTransport

MAX_STRING_BYTES = 1024 * 1024
"""Maximum length of a string or binary field from a peer."""

MAX_CONTAINER_ITEMS = 100_000
"""Maximum size of a list, set or map from a peer."""

_StructT = TypeVar("_StructT")


class _DecoderInput:
    """The attributes of a protocol object that the C decoder uses."""

    __slots__ = ("container_length_limit", "string_length_limit", "trans")

    def __init__(self, data: bytes, max_string_bytes: int) -> None:
        self.trans = TTransport.TMemoryBuffer(data)
        self.string_length_limit = max_string_bytes
        self.container_length_limit = MAX_CONTAINER_ITEMS


class DecodeError(Exception):
    """The received bytes are not a valid struct of the expected type."""


def encode(struct: Any) -> bytes:
    """Encodes a generated thrift struct in the binary protocol."""
    return fastbinary.encode_binary(
        struct, [struct.__class__, struct.thrift_spec]
    )


def encode_compact(struct: Any) -> bytes:
    """Encodes a struct in the compact protocol.

    The result is shorter than that of the binary protocol, but slower to
    decode.
    """
    return fastbinary.encode_compact(
        struct, [struct.__class__, struct.thrift_spec]
    )


def decode_compact(struct_type: type[_StructT], data: bytes) -> _StructT:
    """Decodes a struct from the compact protocol.

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
    """Decodes a struct from the binary protocol.

    Args:
        struct_type: Generated class of the struct.
        data: Encoded struct; trailing bytes are ignored.
        max_string_bytes: Maximum length of a string or binary field.

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
    # The decoder and the generated code raise many exception types on
    # malformed input.
    except Exception as error:
        raise DecodeError(struct_type.__name__) from error
    return struct
