"""Upstream requests for tests of admission and dispatch."""

from __future__ import annotations

from cyclamendale.proxy import messages


def make_request(
    deadline_s=10.0, aim_s=5.0, rank=1, idempotent=True, onward=False, **fields
):
    """Returns a request; `fields` replace the other default values."""
    values = {
        "request_id": "r1",
        "route": "route",
        "service": "wash",
        "head": b"GET / HTTP/1.1\r\n",
        "body": b"",
        **fields,
    }
    return messages.UpstreamRequest(
        deadline_s=deadline_s,
        aim_s=aim_s,
        rank=rank,
        idempotent=idempotent,
        onward=onward,
        **values,
    )
