"""Hedging policy: when a slow idempotent call is sent a second time."""

from __future__ import annotations

import math

from cyclamendale import ids
from cyclamendale.overload import retry_throttle

QUANTILE = 0.95
"""Quantile of the observed durations at which a call is hedged."""

HEDGE_SHARE = 0.06
"""Long-term ratio of hedges to calls of a route."""

MAX_SAVED_HEDGES = 5.0
"""Hedges that a route may accumulate."""

MIN_OBSERVATIONS = 50
"""Observations required before a route is hedged."""

_INITIAL_STEP = 0.5
_MIN_STEP = 0.04


class DecayedQuantile:
    """Streaming estimate of a quantile that adapts to changes.

    Each value above the estimate raises it by a factor, and each value
    below lowers it by a smaller one, such that both balance at the quantile.
    """

    __slots__ = ("_quantile", "_step", "observations", "value")

    def __init__(self, quantile: float) -> None:
        self._quantile = quantile
        self._step = _INITIAL_STEP
        self.observations = 0
        self.value = 0.0

    def observe(self, value: float) -> None:
        """Updates the estimate with one positive value."""
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
    """Hedge delays of routes, and the bound on the load that hedges add."""

    def __init__(self) -> None:
        self._routes: dict[ids.RouteName, _RouteHedging] = {}

    def record_call(self, route: ids.RouteName) -> float | None:
        """Records a first attempt.

        Returns:
            The delay in seconds after which to hedge it, or None for never.
        """
        hedging = self._routes.get(route)
        if hedging is None:
            hedging = self._routes[route] = _RouteHedging()
        hedging.throttle.record_call()
        if hedging.durations.observations < MIN_OBSERVATIONS:
            return None
        return hedging.durations.value

    def try_acquire(self, route: ids.RouteName) -> bool:
        """Spends a token for one hedge; returns False if there is none."""
        hedging = self._routes.get(route)
        return hedging is not None and hedging.throttle.try_acquire()

    def observe(self, route: ids.RouteName, duration_s: float) -> None:
        """Records the duration of a first attempt.

        Args:
            route: The route called.
            duration_s: Its duration, or the time until it was cancelled
                because its hedge was answered first.
        """
        hedging = self._routes.get(route)
        if hedging is not None and duration_s > 0:
            hedging.durations.observe(duration_s)


def make_hedge_policy() -> HedgePolicy:
    """Returns the hedging policy of one node."""
    return HedgePolicy()
