"""Status lines and header lines of HTTP/1.1 messages."""

from __future__ import annotations

from collections.abc import Iterable, Sequence
import http

CRLF = b"\r\n"

CONNECTION_HEADERS = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"content-length",
    }
)
"""Headers of a single connection, which are not forwarded (RFC 9110, section
7.6.1). Content-Length is set anew, since bodies are forwarded complete."""

FRAMING_BYTES_PER_BODY_BYTE = 8
"""Chunk sizes and trailers allowed for each body byte, beyond a limit for the
head. A chunk of one byte takes five more."""

_STATUS_LINES = {
    status.value: b"HTTP/1.1 %d %s\r\n" % (status.value, status.phrase.encode())
    for status in http.HTTPStatus
}


def status_line(status: int) -> bytes:
    """Returns the status line, ended by CRLF."""
    return _STATUS_LINES.get(status) or b"HTTP/1.1 %d Status\r\n" % status


def line(name: bytes, value: bytes) -> bytes:
    """Returns one header line, ended by CRLF."""
    return name + b": " + value + CRLF


def connection_options(values: Iterable[bytes]) -> frozenset[bytes]:
    """Returns the connection options in the values of `Connection`."""
    return frozenset(
        token.strip().lower()
        for value in values
        for token in value.split(b",")
        if token.strip()
    )


def join_except(lines: Iterable[bytes], names: frozenset[bytes]) -> bytes:
    """Returns the joined header lines without the named headers."""
    return b"".join(
        line for line in lines if line.partition(b":")[0].lower() not in names
    )


def join_forwarded(
    lines: Sequence[bytes], connection_values: Iterable[bytes]
) -> bytes:
    """Returns the joined header lines without those of one connection.

    Args:
        lines: Header lines that are not in `CONNECTION_HEADERS`.
        connection_values: Values of `Connection`, which may name more.
    """
    options = connection_options(connection_values)
    if options <= {b"close", b"keep-alive"}:
        return b"".join(lines)
    return join_except(lines, options)


def may_have_body(status: int) -> bool:
    """Returns whether a response with this status may have a body."""
    return status >= 200 and status not in (204, 304)
