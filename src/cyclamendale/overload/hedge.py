"""When a straggling idempotent call is sent a second time."""

from __future__ import annotations

import math

from cyclamendale import ids
from cyclamendale.overload import retry_throttle

QUANTILE = 0.95
"""Quantile of the observed durations after which a call is hedged."""

HEDGE_SHARE = 0.06
"""Hedges per call of a route in the long run."""

MAX_SAVED_HEDGES = 5.0
"""Hedges that a route may save up."""

MIN_OBSERVATIONS = 50
"""Observations before a route is hedged at all."""

_INITIAL_STEP = 0.5
_MIN_STEP = 0.04


class DecayedQuantile:
    """Running estimate of a quantile that follows changes.

    Each value above the estimate raises it by a factor, each value below
    lowers it by a smaller one, such that both balance at the quantile.
    """

    __slots__ = ("_quantile", "_step", "observations", "value")

    def __init__(self, quantile: float) -> None:
        self._quantile = quantile
        self._step = _INITIAL_STEP
        self.observations = 0
        self.value = 0.0

    def observe(self, value: float) -> None:
        """Takes one positive value into account."""
        self.observations += 1
        if self.value <= 0.0:
            self.value = value
            return
        if value > self.value:
            self.value *= math.exp(self._step * self._quantile)
        else:
            self.value *= math.exp(self._step * (self._quantile - 1))
        self._step = max(_MIN_STEP, self._step * 0.98)


class _RouteHedging:
    __slots__ = ("durations", "throttle")

    def __init__(self) -> None:
        self.durations = DecayedQuantile(QUANTILE)
        self.throttle = retry_throttle.RetryThrottle(
            HEDGE_SHARE, MAX_SAVED_HEDGES
        )


class HedgePolicy:
    """Hedge delays and the bound on the load that hedges add."""

    def __init__(self) -> None:
        self._routes: dict[ids.RouteName, _RouteHedging] = {}

    def record_call(self, route: ids.RouteName) -> float | None:
        """Counts a first attempt.

        Returns:
            After how many seconds to hedge it, or None for never.
        """
        hedging = self._routes.get(route)
        if hedging is None:
            hedging = self._routes[route] = _RouteHedging()
        hedging.throttle.record_call()
        if hedging.durations.observations < MIN_OBSERVATIONS:
            return None
        return hedging.durations.value

    def try_acquire(self, route: ids.RouteName) -> bool:
        """Takes leave for one hedge, when its delay is over."""
        hedging = self._routes.get(route)
        return hedging is not None and hedging.throttle.try_acquire()

    def observe(self, route: ids.RouteName, duration_s: float) -> None:
        """Learns the duration of a first attempt.

        Args:
            route: The route called.
            duration_s: How long it took, or how long it had taken when
                it was cancelled because its hedge won.
        """
        hedging = self._routes.get(route)
        if hedging is not None and duration_s > 0:
            hedging.durations.observe(duration_s)


def make_hedge_policy() -> HedgePolicy:
    """Returns the hedging decisions of one node."""
    return HedgePolicy()
