"""How strongly one upstream wants roots to be refused at their first node.

The load it answers: a service deep in the graph has less room than the
requests at the top need of it. Refusing its calls there would waste the
work done above, so its queueing delay becomes a pressure that all nodes
hear of, and roots that will call it are refused before any work is done.
"""

from __future__ import annotations

from cyclamendale.overload import fleet_retries

MAX_PRESSURE = 1.0
"""Pressure at which all load has to go."""

RISE_PER_S = 0.8
"""Rise at full error: twice the capacity is answered in 0.6 s."""

FALL_PER_S = 0.25
"""Fall at full error; slower than the rise, so that a queue that was just
emptied is not filled again at once."""

MIN_TARGET_DELAY_S = 0.015
MAX_TARGET_DELAY_S = 0.08
"""Bounds of the queueing delay that is aimed at, which else is the time of
one request. Less leaves room unused between two reports; more takes too
much of the time that routes allow, over a chain of several gates."""


REFUSAL_WEIGHT = 0.05
"""Weight of one request in the share that an upstream refuses; some twenty
count, a fraction of a second under load."""


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
        target_s = min(
            MAX_TARGET_DELAY_S, max(MIN_TARGET_DELAY_S, service_time_s)
        )
        error = min(1.0, max(-1.0, wait_s / target_s - 1.0))
        rate_per_s = RISE_PER_S if error > 0 else FALL_PER_S
        risen = self.pressure + error * rate_per_s * elapsed_s
        self.pressure = min(MAX_PRESSURE, max(0.0, risen))


class RefusedShare:
    """Share of its requests that an upstream refuses while it has room.

    Attributes:
        share: The share, from 0 to 1.
    """

    __slots__ = ("share",)

    def __init__(self) -> None:
        self.share = 0.0

    def record(self, is_refused: bool) -> None:
        """Notes what became of one request."""
        self.share += REFUSAL_WEIGHT * (is_refused - self.share)


def from_refusals(share: float, retry_ratio: float) -> float:
    """Returns the part of a service's load that its refusals make useless.

    A request that is refused at random is sent again until it is taken,
    which takes `share / (1 - share)` repeats in the mean. The bound on
    repeats allows that for a part of the requests; the others would take
    them away from these, and fail with all that was done above them.

    Args:
        share: Share of the requests that its upstreams refuse.
        retry_ratio: Repeats for each request that the fleet may spend.
    """
    if share >= 1.0:
        return MAX_PRESSURE
    needed = share / (1.0 - share)
    usable = retry_ratio * fleet_retries.USED_BOUND_SHARE
    if needed <= usable:
        return 0.0
    return MAX_PRESSURE - usable / needed


def combine(queueing: float, refusals: float) -> float:
    """Returns the pressure of two causes, each a share that has to go."""
    return 1.0 - (1.0 - queueing) * (1.0 - refusals)
