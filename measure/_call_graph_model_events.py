"""Event queue of the simulation, with a virtual clock."""

from __future__ import annotations

from collections.abc import Callable
import heapq
from typing import Any

from cyclamendale import clocks


class ScheduledCall:
    """A call in the event queue; skipped when due if it was cancelled."""

    __slots__ = ("arguments", "function")

    def __init__(
        self, function: Callable[..., Any], arguments: tuple[Any, ...]
    ) -> None:
        self.function: Callable[..., Any] | None = function
        self.arguments = arguments

    def cancel(self) -> None:
        """See `clocks.DelayedCall`."""
        self.function = None

    def active(self) -> bool:
        """See `clocks.DelayedCall`."""
        return self.function is not None


class EventClock(clocks.Clock):
    """Clock that advances from one scheduled call to the next."""

    def __init__(self) -> None:
        self._now_s = 0.0
        self._sequence = 0
        self._heap: list[tuple[float, int, ScheduledCall]] = []

    def now_s(self) -> float:
        """See base class."""
        return self._now_s

    def wall_s(self) -> float:
        """See base class."""
        return self._now_s

    def call_later(
        self, delay_s: float, function: Callable[..., Any], *args: Any
    ) -> ScheduledCall:
        """See base class."""
        self._sequence += 1
        call = ScheduledCall(function, args)
        heapq.heappush(
            self._heap, (self._now_s + delay_s, self._sequence, call)
        )
        return call

    def run_until(self, end_s: float) -> None:
        """Runs every call that is due by `end_s`."""
        heap = self._heap
        while heap and heap[0][0] <= end_s:
            self._now_s, _, call = heapq.heappop(heap)
            function = call.function
            if function is not None:
                call.function = None
                function(*call.arguments)
        self._now_s = end_s
