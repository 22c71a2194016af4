"""Header blocks of HTTP/1.1 messages."""

from __future__ import annotations

from collections.abc import Iterable
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
"""Headers that concern one connection; RFC 9110, section 7.6.1. The
length is stated anew, since bodies are passed on whole."""

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
    """Returns the header names that `Connection` headers nominate."""
    return frozenset(
        token.strip().lower()
        for value in values
        for token in value.split(b",")
        if token.strip()
    )


def join_except(lines: Iterable[bytes], names: frozenset[bytes]) -> bytes:
    """Returns header lines joined, leaving out the named ones."""
    return b"".join(
        line for line in lines if line.partition(b":")[0].lower() not in names
    )


def may_have_body(status: int) -> bool:
    """Returns whether an answer with this status may have a body."""
    return status >= 200 and status not in (204, 304)
