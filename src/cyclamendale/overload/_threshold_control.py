"""Control of the shed key above which a gate has no room."""

from __future__ import annotations

from cyclamendale import clocks
from cyclamendale.overload import shed_key as shed_keys

WINDOW_S = 0.05
"""Time between two changes of the threshold."""

FIRST_STEP_KEYS = 1 << (shed_keys.COHORT_BITS - 3)
"""First rise of the threshold; doubled with every further rise."""

ADMITTED_SHARE = 0.98
"""Share of what was served that a lowered threshold lets through."""

TOP_KEY = 4 << (shed_keys.OVER_SHARE_BITS + shed_keys.COHORT_BITS)
"""Threshold from which nothing is excluded."""


class ThresholdControl:
    """Follows the shed key up to which requests find room.

    While requests are refused, the threshold is the key that as many
    requests of the last window had, or undercut, as were served. While
    there is room, it rises, faster with every window, so that it is
    gone within a second after the overload.
    """

    __slots__ = (
        "_clock",
        "_offered",
        "_refused",
        "_served",
        "_step_keys",
        "_window_ends_s",
        "threshold",
    )

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self._offered: list[int] = []
        self._served = 0
        self._refused = 0
        self._step_keys = FIRST_STEP_KEYS
        self._window_ends_s = clock.now_s() + WINDOW_S
        self.threshold = shed_keys.MAX_SHED_KEY

    def offered(self, shed_key: int) -> None:
        """Counts a request that arrived."""
        self._offered.append(shed_key)

    def served(self) -> None:
        """Counts a request that was handed over."""
        self._served += 1

    def refused(self) -> None:
        """Counts a request for which there was no room."""
        self._refused += 1

    def update(self, has_room: bool) -> None:
        """Changes the threshold when a window is over.

        Args:
            has_room: Whether a request would start at once now.
        """
        now_s = self._clock.now_s()
        if now_s < self._window_ends_s:
            return
        if self._refused:
            self._lower()
        elif has_room:
            self._raise(1 + (now_s - self._window_ends_s) / WINDOW_S)
        self._offered.clear()
        self._served = 0
        self._refused = 0
        self._window_ends_s = now_s + WINDOW_S

    def _lower(self) -> None:
        self._step_keys = FIRST_STEP_KEYS
        fitting = int(self._served * ADMITTED_SHARE)
        if fitting >= len(self._offered):
            return
        self._offered.sort()
        limit = self._offered[fitting]
        self.threshold = shed_keys.ShedKey(min(self.threshold, limit))

    def _raise(self, windows: float) -> None:
        if self.threshold == shed_keys.MAX_SHED_KEY:
            return
        raised = self.threshold + int(self._step_keys * windows)
        self._step_keys *= 2
        if raised >= TOP_KEY:
            raised = shed_keys.MAX_SHED_KEY
        self.threshold = shed_keys.ShedKey(raised)
