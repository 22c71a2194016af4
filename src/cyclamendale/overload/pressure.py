"""How strongly one upstream wants roots to be refused at their first node.

The load it answers: a service deep in the graph has less room than the
requests at the top need of it. Refusing its calls there would waste the
work done above, so its queueing delay becomes a pressure that all nodes
hear of, and roots that will call it are refused before any work is done.
"""

from __future__ import annotations

MOST_PRESSURE = 1.0
"""Pressure at which all load has to go."""

RISE_PER_S = 0.8
"""Rise at full error: twice the capacity is answered in 0.6 s."""

FALL_PER_S = 0.25
"""Fall at full error; slower than the rise, so that a queue that was just
emptied is not filled again at once."""

LEAST_TARGET_S = 0.015
MOST_TARGET_S = 0.08
"""Bounds of the queueing delay that is aimed at, which else is the time of
one request. Less leaves room unused between two reports; more takes too
much of the time that routes allow, over a chain of several gates."""


class PressureControl:
    """Integrates the error of the queueing delay.

    Attributes:
        pressure: Share of the load that has to go, from 0 to 1.
    """

    __slots__ = ("_updated_s", "pressure")

    def __init__(self, now_s: float) -> None:
        self.pressure = 0.0
        self._updated_s = now_s

    def update(
        self, wait_s: float, service_time_s: float, now_s: float
    ) -> None:
        """Follows the delay that a new request meets.

        Args:
            wait_s: Expected wait of a new request.
            service_time_s: Mean time of a request at the upstream.
            now_s: Clock time.
        """
        elapsed_s = min(1.0, max(0.0, now_s - self._updated_s))
        self._updated_s = now_s
        target_s = min(MOST_TARGET_S, max(LEAST_TARGET_S, service_time_s))
        error = min(1.0, max(-1.0, wait_s / target_s - 1.0))
        rate_per_s = RISE_PER_S if error > 0 else FALL_PER_S
        risen = self.pressure + error * rate_per_s * elapsed_s
        self.pressure = min(MOST_PRESSURE, max(0.0, risen))
