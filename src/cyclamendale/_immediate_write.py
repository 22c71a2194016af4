"""Writing to a transport without waiting for the next loop iteration.

Twisted's `write` waits for the reactor to say that the socket is
writable, which costs two changes of the poll set and one more iteration
per write. An idle socket nearly always takes a short message at once.
"""

from __future__ import annotations

from typing import Any


def write_now(transport: Any, data: bytes) -> None:
    """Sends what the socket takes at once and buffers the rest.

    Args:
        transport: A twisted TCP transport; others just buffer.
        data: What to send, in order with earlier writes.
    """
    if _has_empty_buffer(transport):
        # A failed send is met again, and handled, by the buffered write.
        sent = transport.writeSomeData(data)
        if isinstance(sent, int) and sent > 0:
            if sent == len(data):
                return
            data = data[sent:]
    transport.write(data)


def _has_empty_buffer(transport: Any) -> bool:
    """Returns whether nothing waits to be sent before new data."""
    try:
        return (
            transport.connected
            and not transport.disconnecting
            and not transport._tempDataLen
            and not transport.dataBuffer
        )
    except AttributeError:
        return False
