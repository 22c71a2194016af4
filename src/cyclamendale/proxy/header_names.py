"""Names of the HTTP headers that callers, nodes and upstreams exchange."""

from __future__ import annotations

import msgspec


class HeaderNames(msgspec.Struct, frozen=True, kw_only=True):
    """Header names, in the case in which they are written.

    Attributes:
        request_id: Id of one attempt of a caller; upstreams echo it.
        remaining_ms: Milliseconds until the sender stops waiting.
        key: The caller's key; never forwarded.
        customer: Name of the customer that the key belongs to.
        caller_service: Service on whose host the request entered the fleet.
        expected_upstream: Id of the only upstream that may run the request.
        not_run: Marks a response of an upstream that did not run the request.
        limit: Requests per second that an upstream takes from all hosts.
        leaving: Marks the responses of an upstream that leaves.
    """

    request_id: bytes
    remaining_ms: bytes
    key: bytes
    customer: bytes
    caller_service: bytes
    expected_upstream: bytes
    not_run: bytes
    limit: bytes
    leaving: bytes
