"""Rate limit (pace) of the updates that a node gossips."""

from __future__ import annotations

RATE_BYTES_PER_S = 1_000.0
BURST_BYTES = 12_000.0


class UpdateRateLimiter:
    """Token bucket for the bytes of the updates sent.

    After a partition of many members heals, more updates are queued than
    the byte budget of a node allows to send at once. Updates that exceed
    their maximum age in the queue are left to state synchronisation.
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
        """Deducts the bytes of updates that were sent."""
        self._available_bytes -= size_bytes
