"""Splits the bytes of a connection into length-prefixed frames.

A large frame is collected in parts and joined once; its header is kept apart,
so that its payload is not copied again.
"""

from __future__ import annotations

import abc
import struct

from cyclamendale import buffer_budget

HEADER = struct.Struct("!BBIQI")
"""Kind, flag, call id, and wall time and counter of the sender's clock."""

HEADER_BYTES = HEADER.size
PREFIX_BYTES = 4

LARGE_BYTES = 64 * 1024
"""Size from which a frame is collected in parts, within the budget."""


class Receiver(abc.ABC):
    """Receives the frames of one connection."""

    @property
    @abc.abstractmethod
    def max_frame_bytes(self) -> int:
        """Largest frame that is accepted; changes after the handshake."""

    @property
    @abc.abstractmethod
    def is_closed(self) -> bool:
        """Whether further frames are ignored."""

    @abc.abstractmethod
    def handle_frame(self, frame: bytes) -> None:
        """Handles a frame or a handshake message."""

    @abc.abstractmethod
    def handle_parts(self, header: bytes, payload: bytes | None) -> None:
        """Handles a large frame.

        Args:
            header: Its header.
            payload: Its payload; None if there is no room for it, in which
                case it has not been received yet and is skipped.
        """

    @abc.abstractmethod
    def handle_oversized_frame(self) -> None:
        """Handles a frame over the maximum size."""


class FrameReader:
    """Splits the received bytes of one connection."""

    def __init__(
        self, receiver: Receiver, budget: buffer_budget.BufferBudget
    ) -> None:
        self._receiver = receiver
        self._reservation = budget.make_reservation()
        self._rest = b""
        self._header = b""
        self._parts: list[bytes] = []
        self._missing_bytes = 0
        self._is_skipped = False

    def feed(self, data: bytes) -> None:
        """Handles received bytes."""
        if self._missing_bytes:
            data = self._continue_large(data)
        if not data:
            return
        receiver = self._receiver
        buffer = self._rest + data if self._rest else data
        self._rest = b""
        start, end = 0, len(buffer)
        while end - start >= PREFIX_BYTES and not receiver.is_closed:
            payload_start = start + PREFIX_BYTES
            length = int.from_bytes(buffer[start:payload_start], "big")
            if length > receiver.max_frame_bytes:
                receiver.handle_oversized_frame()
                return
            frame_end = payload_start + length
            if frame_end <= end:
                receiver.handle_frame(buffer[payload_start:frame_end])
                start = frame_end
                continue
            if length >= LARGE_BYTES and end - payload_start >= HEADER_BYTES:
                self._begin_large(buffer[payload_start:], length)
                return
            break
        self._rest = buffer[start:]

    def release(self) -> None:
        """Drops a frame that is incomplete when its connection ends."""
        self._rest, self._parts, self._missing_bytes = b"", [], 0
        self._reservation.release()

    def _begin_large(self, received: bytes, length: int) -> None:
        self._header = received[:HEADER_BYTES]
        self._parts = [received[HEADER_BYTES:]]
        self._missing_bytes = length - len(received)
        self._is_skipped = not self._reservation.reserve_stated(length)
        if self._is_skipped:
            self._parts = []
            self._receiver.handle_parts(self._header, None)

    def _continue_large(self, data: bytes) -> bytes:
        """Adds to a large frame; returns the bytes after it."""
        part, rest = data[: self._missing_bytes], data[self._missing_bytes :]
        self._missing_bytes -= len(part)
        if not self._is_skipped:
            self._parts.append(part)
            if not self._missing_bytes:
                payload, self._parts = b"".join(self._parts), []
                self._receiver.handle_parts(self._header, payload)
                self._reservation.release()
        return rest
