"""The rule for heads of responses, which every reader of responses applies.

Parsers differ in what they tolerate. A head that two parsers may read
differently must not be passed on (RFC 9112, sections 4 to 6).
"""

from __future__ import annotations

import re

_HEAD = re.compile(
    rb"HTTP/1\.[01] [1-9][0-9]{2}(?: [\t\x20-\x7e\x80-\xff]*)?\r\n"
    rb"(?:[!#$%&'*+\-.^_`|~0-9A-Za-z]+:[\t\x20-\x7e\x80-\xff]*\r\n)*"
)
_FRAMING_LINE = re.compile(
    rb"\n(content-length|transfer-encoding):[\t ]*(.*?)[\t ]*(?=\r)"
)
_BARE_LINE_FEED = re.compile(rb"(?<!\r)\n")
_HEAD_END = b"\r\n\r\n"
_MIN_FINAL_STATUS = 200
_STATUS_CLASS = slice(9, 10)

MAX_HEAD_BYTES = 64 * 1024
"""Maximum size of a head that is held back until it is complete."""


class MalformedHeadError(ValueError):
    """The head of a response breaks the rule."""


def check(head: bytes) -> None:
    """Checks the head of a response.

    Args:
        head: Status line and header lines, each ended by CRLF, without the
            empty line.

    Raises:
        MalformedHeadError: The version is neither HTTP/1.0 nor HTTP/1.1, the
            status is below 100, a line has a wrong form, or the length of
            the body is ambiguous.
    """
    match = _HEAD.match(head)
    sound_bytes = match.end() if match is not None else 0
    if sound_bytes != len(head):
        line = head[sound_bytes : sound_bytes + 80]
        raise MalformedHeadError(f"malformed line {line!r} in a response head")
    _check_framing(head)


def check_final(status: int, lines: bytes) -> None:
    """Checks the head of a final response that another node has read.

    Args:
        status: HTTP status.
        lines: Header lines, each ended by CRLF.

    Raises:
        MalformedHeadError: The status is not that of a final response, or
            the head breaks the rule.
    """
    if status < _MIN_FINAL_STATUS:
        raise MalformedHeadError(f"status {status} of a final response")
    check(b"HTTP/1.1 %d\r\n%b" % (status, lines))


def _check_framing(head: bytes) -> None:
    framing = _FRAMING_LINE.findall(head.lower())
    if not framing:
        return
    names = {name for name, _ in framing}
    values = {value for _, value in framing}
    if names == {b"content-length"}:
        is_sound = len(values) == 1 and values.pop().isdigit()
    else:
        is_sound = len(framing) == 1 and values == {b"chunked"}
    if not is_sound:
        raise MalformedHeadError(f"ambiguous length of a body: {framing!r}")


class HeadFilter:
    """Holds back what a parser of one response reads until it is checked."""

    def __init__(self) -> None:
        self._held = b""
        self._has_final_head = False

    def accept(self, data: bytes) -> bytes:
        """Returns the received bytes that may be parsed.

        Args:
            data: The next bytes of the connection.

        Raises:
            MalformedHeadError: A head is malformed or too large.
        """
        if self._has_final_head:
            return data
        accepted = b""
        self._held += data
        while not self._has_final_head and _HEAD_END in self._held:
            head, _, self._held = self._held.partition(_HEAD_END)
            check(head + b"\r\n")
            accepted += head + _HEAD_END
            self._has_final_head = head[_STATUS_CLASS] != b"1"
        if self._has_final_head:
            accepted, self._held = accepted + self._held, b""
        elif _BARE_LINE_FEED.search(self._held) is not None:
            raise MalformedHeadError("a line feed without CR in a head")
        elif len(self._held) > MAX_HEAD_BYTES:
            raise MalformedHeadError(f"a head of over {MAX_HEAD_BYTES} bytes")
        return accepted
