"""The rule for heads of responses, which every reader of responses applies.

Parsers differ in what they tolerate. A head that two parsers may read
differently must not be passed on (RFC 9112, sections 4 and 5).
"""

from __future__ import annotations

import re

_STATUS_LINE = re.compile(
    rb"HTTP/1\.[01] [1-9][0-9]{2}(?: [\t\x20-\x7e\x80-\xff]*)?"
)


class MalformedHeadError(ValueError):
    """The head of a response breaks the rule."""


def check_status_line(line: bytes) -> None:
    """Checks a status line, without its CRLF.

    Raises:
        MalformedHeadError: It is no status line of HTTP/1.0 or HTTP/1.1, or
            its status is below 100.
    """
    if _STATUS_LINE.fullmatch(line) is None:
        raise MalformedHeadError(f"malformed status line {line[:80]!r}")
