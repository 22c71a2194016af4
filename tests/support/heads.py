"""Heads of responses that no reader may accept, and sound ones beside them."""

from __future__ import annotations

BODY = b"ab"
STATUS_LINE = b"HTTP/1.1 200 OK"

BROKEN_STATUSES = [
    (name, b"HTTP/1.1 " + status)
    for name, status in (
        ("status 000", b"000 X"),
        ("status 099", b"099 X"),
        ("status of two digits", b"20 OK"),
        ("status of four digits", b"2000 OK"),
        ("signed status", b"+200 OK"),
        ("negative status", b"-20 OK"),
        ("status split by a blank", b"2 00 OK"),
        ("status behind two blanks", b" 200 OK"),
        ("status of other digits", b"2_0 OK"),
        ("missing status", b""),
    )
]

BROKEN_VERSIONS = [
    (version.decode(), version + b" 200 OK")
    for version in (
        b"HTTP/0.9",
        b"HTTP/2.0",
        b"HTTP/2",
        b"HTTP/1",
        b"HTTP/1.10",
        b"HTTP/01.1",
        b"HTTP /1.1",
        b"http/1.1",
        b"xHTTP/1.1",
        b"ICY",
    )
]


def make_response(status_line=STATUS_LINE, lines=b""):
    """Returns a response with a body of two bytes."""
    return b"%s\r\n%sContent-Length: %d\r\n\r\n%s" % (
        status_line, lines, len(BODY), BODY
    )  # fmt: skip
