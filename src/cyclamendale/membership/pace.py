"""Pace at which a node passes updates on."""

from __future__ import annotations

RATE_BYTES_PER_S = 1_000.0
BURST_BYTES = 12_000.0


class Pace:
    """Keeps the updates sent to a mean rate.

    After a partition of many members heals, there is more news than the
    bytes allowed to a node can carry at once; what is held back longer
    than it is news is left to the exchange of whole states.
    """

    __slots__ = ("_level_bytes", "_seen_s")

    def __init__(self, now_s: float) -> None:
        self._level_bytes = BURST_BYTES
        self._seen_s = now_s

    def is_open(self, now_s: float) -> bool:
        """Returns whether more updates may be sent now."""
        earned = (now_s - self._seen_s) * RATE_BYTES_PER_S
        self._level_bytes = min(BURST_BYTES, self._level_bytes + earned)
        self._seen_s = now_s
        return self._level_bytes > 0

    def spend(self, size_bytes: int) -> None:
        """Counts updates that were sent."""
        self._level_bytes -= size_bytes
