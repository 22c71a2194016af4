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

BROKEN_LINES = [
    ("empty name", b": b"),
    ("name behind a blank", b" A: b"),
    ("name behind a tab", b"\tA: b"),
    ("blank in a name", b"A B: c"),
    ("tab in a name", b"A\tB: c"),
    ("0x00 in a name", b"A\x00B: c"),
    ("0x01 in a name", b"A\x01B: c"),
    ("0x7f in a name", b"A\x7fB: c"),
    ("high byte in a name", b"A\xe4B: c"),
    ("parentheses in a name", b"A(B): c"),
    ("CR in a name", b"A\rB: c"),
    ("blank before a colon", b"A : b"),
    ("tab before a colon", b"A\t: b"),
    ("blank behind Content-Length", b"Content-Length : 2"),
    ("blank behind Transfer-Encoding", b"Transfer-Encoding : chunked"),
    ("0x00 in a value", b"A: b\x00c"),
    ("0x01 in a value", b"A: b\x01c"),
    ("0x7f in a value", b"A: b\x7fc"),
    ("CR in a value", b"A: b\rc"),
    ("LF in a value", b"A: b\nC"),
    ("folded line", b"A: b\r\n c"),
    ("line without a colon", b"A"),
    ("chunks beside a length", b"Transfer-Encoding: chunked"),
    ("another length", b"Content-Length: 3"),
]

BROKEN_IN_HEADS_ONLY = ("chunks beside a length", "another length")
"""Broken lines that are sound as trailers."""

SOUND_LINES = [
    ("no blank", b"A:b"),
    ("empty value", b"A:"),
    ("tab in a value", b"A: b\tc"),
    ("high byte in a value", b"A: \xe4"),
    ("all characters of a name", b"!#$%&'*+-.^_`|~9a: b"),
]


def make_response(status_line=STATUS_LINE, lines=b""):
    """Returns a response with a body of two bytes."""
    return b"%s\r\n%sContent-Length: %d\r\n\r\n%s" % (
        status_line, lines, len(BODY), BODY
    )  # fmt: skip


def make_malformed_scenarios(sound_line=b"B: c\r\n"):
    """Returns scenarios whose `data` is a response with a malformed head.

    Args:
        sound_line: A line that each head has besides the malformed one.
    """
    return [
        (name, {"data": make_response(line, sound_line)})
        for name, line in BROKEN_STATUSES + BROKEN_VERSIONS
    ] + [
        (f"{name}, {place}", {"data": make_response(lines=lines)})
        for name, line in BROKEN_LINES
        for place, lines in (
            ("first line", line + b"\r\n" + sound_line),
            ("later line", sound_line + line + b"\r\n"),
        )
    ]


def split(data):
    """Returns the single bytes of a response."""
    return [data[index : index + 1] for index in range(len(data))]
