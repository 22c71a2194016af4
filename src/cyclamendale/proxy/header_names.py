"""Names of the headers that callers, nodes and upstreams exchange."""

from __future__ import annotations

import msgspec


class HeaderNames(msgspec.Struct, frozen=True, kw_only=True):
    """Header names, as they are written.

    Attributes:
        request_id: Id of one attempt of a caller; upstreams echo it.
        remaining_ms: Milliseconds that the sender goes on waiting.
        key: The caller's key; never passed on.
        customer: Name of the customer whose key came with the request.
        caller_service: Service on whose host the request began.
        expected_upstream: Id of the only upstream that may run it.
        not_run: Marks an answer of an upstream that did not run it.
    """

    request_id: bytes
    remaining_ms: bytes
    key: bytes
    customer: bytes
    caller_service: bytes
    expected_upstream: bytes
    not_run: bytes
