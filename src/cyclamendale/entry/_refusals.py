"""Encoding of a refusal as an HTTP response."""

from __future__ import annotations

import msgspec

from cyclamendale import _http_constants
from cyclamendale import refusals
from cyclamendale.entry import call as calls


class _Body(msgspec.Struct):
    """JSON body of a refusal."""

    reason: refusals.RefusalReason
    outcome: refusals.Execution
    request: str
    decided_by: str | None
    retry_after_s: float | None


def body(call: calls.Call, refusal: refusals.Refusal) -> bytes:
    """Returns the JSON body of a refusal, ended by a line feed."""
    retry_after_s = refusal.retry_after_s
    encoded = msgspec.json.encode(
        _Body(
            refusal.reason,
            refusal.execution,
            call.request,
            str(refusal.decider) if refusal.decider else None,
            None if retry_after_s is None else round(retry_after_s, 3),
        )
    )
    return encoded + b"\n"


def head(
    call: calls.Call, refusal: refusals.Refusal, body_bytes: int
) -> list[bytes]:
    """Returns the status line and headers, without the final empty line."""
    lines = [
        _http_constants.status_line(refusal.http_status),
        b"Content-Type: application/json\r\n",
        b"Content-Length: %d\r\n" % body_bytes,
        b"X-Cyclamendale-Outcome: %s\r\n" % refusal.execution.value.encode(),
        b"X-Cyclamendale-Reason: %s\r\n" % refusal.reason.value.encode(),
        b"X-Cyclamendale-Request: %s\r\n" % call.request.encode(),
    ]
    if refusal.decider is not None:
        decider = str(refusal.decider).encode()
        lines.append(b"X-Cyclamendale-Decided-By: %s\r\n" % decider)
    if refusal.retry_after_s is not None:
        # The header allows whole seconds only; the body keeps milliseconds.
        seconds = max(1, round(refusal.retry_after_s))
        lines.append(b"Retry-After: %d\r\n" % seconds)
    return lines
