"""Memory of the updates applied lately."""

from __future__ import annotations

MAX_GENERATION_UPDATES = 256


class RecentUpdates:
    """Updates applied lately, so that repeats need no decoding.

    Two generations, of which the older one is forgotten at once.
    """

    __slots__ = ("_current", "_previous")

    def __init__(self) -> None:
        self._current: set[bytes] = set()
        self._previous: set[bytes] = set()

    def __contains__(self, encoded: bytes) -> bool:
        return encoded in self._current or encoded in self._previous

    def add(self, encoded: bytes) -> None:
        """Remembers an update."""
        if len(self._current) >= MAX_GENERATION_UPDATES:
            self._previous = self._current
            self._current = set()
        self._current.add(encoded)
