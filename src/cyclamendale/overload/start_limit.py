"""Limits how many requests an upstream gets, as it asks for in its responses.

An upstream in need names the requests per second that it takes from all hosts
together. All requests to it pass one gate, so the gate's count is that sum.
"""

from __future__ import annotations

import math

BURST_S = 0.25
"""Time for which unused starts are kept. Arrivals are random, and an upstream
in need should not get the starts of a whole second at once."""

LIFT_AFTER_S = 1.0
"""Time since the limit was last named after which a response without one lifts
it. Responses may overtake each other."""

MIN_RATE_PER_S = 0.5
"""Rate at which an upstream that takes nothing is probed: only a response can
lift its limit."""

UNPROVEN_IN_SERVICE = 4
"""Requests that run concurrently on an upstream that has not responded yet.
The process before this one may have known a limit."""

CAPACITY_CHANGE_FACTOR = 1.25
"""Smallest change of the capacity that is told to other hosts."""

_ROUNDING_TOLERANCE = 1e-6


class StartLimit:
    """Token bucket of the starts at one upstream process.

    Attributes:
        rate_per_s: Requests per second that the upstream takes; None if it
            named no limit.
    """

    def __init__(self, has_responded: bool) -> None:
        self.rate_per_s: float | None = None
        self._has_responded = has_responded
        self._named_s = -math.inf
        self._tokens = 0.0
        self._updated_s = 0.0
        self._told_capacity: int | None = None

    def observe(self, named_per_s: float | None, now_s: float) -> None:
        """Takes the limit of a response.

        Args:
            named_per_s: The limit, or None if the response named none.
            now_s: Clock time.
        """
        self._has_responded = True
        if named_per_s is not None:
            self._refill(now_s)
            self._named_s = now_s
            self.rate_per_s = max(MIN_RATE_PER_S, named_per_s)
        elif now_s - self._named_s >= LIFT_AFTER_S:
            self.rate_per_s = None
            self._tokens = 0.0

    def wait_s(self, in_service: int, now_s: float) -> float:
        """Returns the time until the next request may start.

        Args:
            in_service: Requests that run on this process of the upstream.
            now_s: Clock time.

        Returns:
            Seconds; 0 if one may start now, infinite if a response has to
            come first.
        """
        if not self._has_responded and in_service >= UNPROVEN_IN_SERVICE:
            return math.inf
        if self.rate_per_s is None:
            return 0.0
        self._refill(now_s)
        missing = 1.0 - _ROUNDING_TOLERANCE - self._tokens
        return max(0.0, missing) / self.rate_per_s

    def record_start(self, now_s: float) -> None:
        """Takes one start."""
        if self.rate_per_s is not None:
            self._refill(now_s)
            self._tokens -= 1.0

    def capacity(self, slots: int, service_time_s: float) -> int:
        """Returns the number of requests that the limit keeps in service.

        Args:
            slots: Requests that the upstream runs concurrently.
            service_time_s: Mean service time.
        """
        if self.rate_per_s is None:
            self._told_capacity = None
            return slots
        needed = self.rate_per_s * service_time_s
        told = self._told_capacity
        if told is None or not (
            told / CAPACITY_CHANGE_FACTOR
            <= needed
            <= told * CAPACITY_CHANGE_FACTOR
        ):
            self._told_capacity = told = max(1, round(needed))
        return min(slots, told)

    def _refill(self, now_s: float) -> None:
        if self.rate_per_s is not None:
            elapsed_s = max(0.0, now_s - self._updated_s)
            burst = 1.0 + BURST_S * self.rate_per_s
            self._tokens = min(
                burst, self._tokens + elapsed_s * self.rate_per_s
            )
        self._updated_s = now_s


def make_start_limit() -> StartLimit:
    """Returns the limit of an upstream that is known to name none."""
    return StartLimit(has_responded=True)


def make_unproven_start_limit() -> StartLimit:
    """Returns the limit of an upstream of which no response is known."""
    return StartLimit(has_responded=False)
