"""Encodes requests for the upstream of this host."""

from __future__ import annotations

import math

from cyclamendale.proxy import header_names as header_names_module
from cyclamendale.proxy import heads
from cyclamendale.proxy import messages

MIN_STATED_REMAINING_S = 0.002
"""Lower bound of the remaining time that is stated to the upstream."""


def encode(
    request: messages.UpstreamRequest,
    header_names: header_names_module.HeaderNames,
    upstream_id: str,
    now_s: float,
) -> bytes:
    """Returns the bytes of a request, with the time that remains for it."""
    remaining_s = max(MIN_STATED_REMAINING_S, request.deadline_s - now_s)
    parts = [
        request.head,
        heads.line(
            header_names.remaining_ms,
            b"%d" % max(1, math.floor(remaining_s * 1000)),
        ),
        heads.line(header_names.expected_upstream, upstream_id.encode()),
    ]
    if request.body or not request.head.startswith((b"GET ", b"HEAD ")):
        parts.append(b"Content-Length: %d\r\n" % len(request.body))
    parts.append(heads.CRLF)
    parts.append(request.body)
    return b"".join(parts)
