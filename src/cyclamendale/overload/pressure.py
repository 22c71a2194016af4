"""How strongly one upstream wants roots to be refused at their first node.

The load it answers: a service deep in the graph has less room than the
requests at the top need of it. Refusing its calls there would waste the
work done above, so its queueing delay becomes a pressure that all nodes
hear of, and roots that will call it are refused before any work is done.
"""

from __future__ import annotations

MOST_PRESSURE = 4.0
"""Pressure at which requests of every importance are refused."""

RISE_PER_S = 1.6
"""Rise at full error; about a second from open to refusing one class."""

FALL_PER_S = 0.8
"""Fall at full error; slower than the rise, so that a queue that was just
emptied is not filled again at once."""

SHARE_OF_SERVICE_TIME = 0.3
"""Queueing delay that is aimed at, over the time of a request."""

LEAST_TARGET_S = 0.012
"""Queueing delay that is always allowed; shorter ones are the loop's own."""


class PressureControl:
    """Integrates the error of the queueing delay.

    Attributes:
        pressure: 0 refuses nothing; each whole unit refuses the roots of
            one more importance, the least important first.
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
        target_s = max(LEAST_TARGET_S, SHARE_OF_SERVICE_TIME * service_time_s)
        error = min(1.0, max(-1.0, wait_s / target_s - 1.0))
        rate_per_s = RISE_PER_S if error > 0 else FALL_PER_S
        risen = self.pressure + error * rate_per_s * elapsed_s
        self.pressure = min(MOST_PRESSURE, max(0.0, risen))
