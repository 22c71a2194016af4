"""Encoding of HTTP/1.1 requests to the upstream."""

from __future__ import annotations

from cyclamendale.forwarding import exchange
from cyclamendale.upstream import contexts


def encode_request(
    envelope: exchange.Envelope, context: contexts.Context, remaining_s: float
) -> bytes:
    """Encodes a request with its context token and remaining time."""
    parts = [
        envelope.head,
        b"X-Cyclamendale-Context: %s\r\nX-Cyclamendale-Deadline-Ms: %d\r\n"
        % (context.token.encode(), remaining_s * 1000),
    ]
    if envelope.body_bytes == exchange.UNKNOWN_LENGTH:
        parts.append(b"Transfer-Encoding: chunked\r\n\r\n")
        parts.append(encode_chunk(envelope.body, not envelope.more))
    else:
        if envelope.body_bytes or not envelope.head.startswith(
            (b"GET ", b"HEAD ", b"DELETE ", b"OPTIONS ")
        ):
            parts.append(b"Content-Length: %d\r\n" % envelope.body_bytes)
        parts.append(b"\r\n")
        parts.append(envelope.body)
    return b"".join(parts)


def encode_chunk(data: bytes, last: bool) -> bytes:
    """Encodes a part of a body for Transfer-Encoding: chunked."""
    encoded = b"%x\r\n%s\r\n" % (len(data), data) if data else b""
    return encoded + b"0\r\n\r\n" if last else encoded
