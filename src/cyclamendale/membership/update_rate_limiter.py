"""Pace at which a node passes updates on."""

from __future__ import annotations

RATE_BYTES_PER_S = 1_000.0
BURST_BYTES = 12_000.0


class UpdateRateLimiter:
    """Keeps the updates sent to a mean rate.

    After a partition of many members heals, there is more news than the
    bytes allowed to a node can carry at once; what is held back longer
    than it is news is left to the exchange of whole states.
    """

    __slots__ = ("_available_bytes", "_refilled_s")

    def __init__(self, now_s: float) -> None:
        self._available_bytes = BURST_BYTES
        self._refilled_s = now_s

    def has_budget(self, now_s: float) -> bool:
        """Returns whether more updates may be sent now."""
        refill_bytes = (now_s - self._refilled_s) * RATE_BYTES_PER_S
        self._available_bytes = min(
            BURST_BYTES, self._available_bytes + refill_bytes
        )
        self._refilled_s = now_s
        return self._available_bytes > 0

    def consume(self, size_bytes: int) -> None:
        """Counts updates that were sent."""
        self._available_bytes -= size_bytes
