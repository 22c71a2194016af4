"""Constants of `twisted.web.http`, looked up once at import.

That module serves each attribute through a proxy that checks for
deprecated names, which is slow for values that are read several times
per request.
"""

from __future__ import annotations

from twisted.web import http

NO_BODY_CODES = frozenset(http.NO_BODY_CODES)
INTERNAL_SERVER_ERROR = http.INTERNAL_SERVER_ERROR

_STATUS_LINES: dict[int, bytes] = {
    code: b"HTTP/1.1 %d %s\r\n" % (code, phrase)
    for code, phrase in http.RESPONSES.items()
}


def status_line(code: int) -> bytes:
    """Returns the status line of a response."""
    line = _STATUS_LINES.get(code)
    return line if line is not None else b"HTTP/1.1 %d \r\n" % code
