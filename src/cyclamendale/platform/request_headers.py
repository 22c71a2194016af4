"""Names of the HTTP headers that the platform defines."""

from __future__ import annotations

from cyclamendale.proxy import header_names

HEADER_NAMES = header_names.HeaderNames(
    request_id=b"X-Cyclamendale-Attempt-Id",
    remaining_ms=b"X-Cyclamendale-Deadline-Ms",
    key=b"X-Cyclamendale-Credential",
    customer=b"X-Cyclamendale-Tenant-Id",
    caller_service=b"X-Cyclamendale-Caller-Service",
    expected_upstream=b"X-Cyclamendale-Expected-Instance",
    not_run=b"X-Cyclamendale-Not-Executed",
    limit=b"Server-Limit",
    leaving=b"Server-Leaving",
)
