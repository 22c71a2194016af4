"""Writes to a transport without waiting for the next reactor iteration.

Twisted's `write` waits until the reactor reports that the socket is
writable, which costs two changes of the poll set and one more iteration
per write. An idle socket nearly always accepts a short message at once.
"""

from __future__ import annotations

from typing import Any

MAX_IMMEDIATE_BYTES = 256 * 1024
"""Size up to which data is sent at once. The socket takes only a part of more,
and the rest would have to be copied."""


def write_now(transport: Any, data: bytes) -> None:
    """Sends what the socket accepts at once and buffers the rest.

    Args:
        transport: A Twisted TCP transport; other transports only buffer.
        data: Bytes to send; the order of writes is preserved.
    """
    if len(data) <= MAX_IMMEDIATE_BYTES and _has_empty_buffer(transport):
        # A failed send fails again in the buffered write, which handles it.
        sent = transport.writeSomeData(data)
        if isinstance(sent, int) and sent > 0:
            if sent == len(data):
                return
            data = data[sent:]
    transport.write(data)


def unsent_bytes(transport: Any) -> int:
    """Returns the size of the buffers whose data the socket has yet to take.

    Args:
        transport: A Twisted TCP transport; others are taken to hold none.
    """
    try:
        return int(transport._tempDataLen) + len(transport.dataBuffer)
    except AttributeError:
        return 0


def _has_empty_buffer(transport: Any) -> bool:
    """Returns whether the transport is open and has no unsent data."""
    try:
        return (
            transport.connected
            and not transport.disconnecting
            and not transport._tempDataLen
            and not transport.dataBuffer
        )
    except AttributeError:
        return False
