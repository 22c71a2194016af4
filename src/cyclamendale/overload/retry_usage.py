"""Counts of requests and retries for one service."""

from __future__ import annotations

import msgspec


class RetryUsage(msgspec.Struct, frozen=True):
    """Counts of one process for one service over the last window.

    Attributes:
        requests: First attempts.
        before: First attempts in the preceding window.
        repeats: Retries, including the calls that retried runs make again.
    """

    requests: int
    before: int
    repeats: int


NO_USAGE = RetryUsage(0, 0, 0)
