"""Cache of recently applied updates."""

from __future__ import annotations

MAX_GENERATION_UPDATES = 256


class RecentUpdates:
    """Set of recently applied updates, so that repeats are not decoded.

    It has two generations; when the current one is full, it replaces the
    previous one.
    """

    __slots__ = ("_current", "_previous")

    def __init__(self) -> None:
        self._current: set[bytes] = set()
        self._previous: set[bytes] = set()

    def __contains__(self, encoded: bytes) -> bool:
        return encoded in self._current or encoded in self._previous

    def add(self, encoded: bytes) -> None:
        """Adds an encoded update."""
        if len(self._current) >= MAX_GENERATION_UPDATES:
            self._previous = self._current
            self._current = set()
        self._current.add(encoded)
