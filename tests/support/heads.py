"""Heads of responses that no reader may accept, and sound ones beside them."""

from __future__ import annotations

BODY = b"ab"
STATUS_LINE = b"HTTP/1.1 200 OK"

BROKEN_STATUSES = [
    (name, b"HTTP/1.1 " + status)
    for name, status in (
        ("000", b"000 X"),
        ("099", b"099 X"),
        ("of two digits", b"20 OK"),
        ("of four digits", b"2000 OK"),
        ("signed", b"+200 OK"),
        ("negative", b"-20 OK"),
        ("split by a blank", b"2 00 OK"),
        ("behind two blanks", b" 200 OK"),
        ("of other digits", b"2_0 OK"),
        ("missing", b""),
    )
]


def make_response(status_line=STATUS_LINE, lines=b""):
    """Returns a response with a body of two bytes."""
    return b"%s\r\n%sContent-Length: %d\r\n\r\n%s" % (
        status_line, lines, len(BODY), BODY
    )  # fmt: skip
