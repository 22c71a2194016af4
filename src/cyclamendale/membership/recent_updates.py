"""Memory of the updates applied lately."""

from __future__ import annotations

GENERATION_UPDATES = 256


class RecentUpdates:
    """Updates applied lately, so that repeats need no decoding.

    Two generations, of which the older one is forgotten at once.
    """

    __slots__ = ("_newer", "_older")

    def __init__(self) -> None:
        self._newer: set[bytes] = set()
        self._older: set[bytes] = set()

    def __contains__(self, encoded: bytes) -> bool:
        return encoded in self._newer or encoded in self._older

    def add(self, encoded: bytes) -> None:
        """Remembers an update."""
        if len(self._newer) >= GENERATION_UPDATES:
            self._older = self._newer
            self._newer = set()
        self._newer.add(encoded)
