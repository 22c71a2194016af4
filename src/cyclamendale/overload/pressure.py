"""Back-pressure of one upstream on root requests at their entry nodes.

A service deep in the call graph may have less capacity than the roots
require of it. Refusing its calls there would waste the work already done
above it. Its queueing delay is therefore converted to a pressure that is
reported to all nodes, and roots that will call it are refused before any
work is done.
"""

from __future__ import annotations

from cyclamendale.overload import fleet_retries

MAX_PRESSURE = 1.0
"""Pressure at which all load is to be shed."""

RISE_PER_S = 0.8
"""Rise at full error; a load of twice the capacity is countered in 0.6 s."""

FALL_PER_S = 0.25
"""Fall at full error; slower than the rise, so that a queue that has just
been drained does not fill again at once."""

MIN_TARGET_DELAY_S = 0.015
MAX_TARGET_DELAY_S = 0.08
"""Bounds of the target queueing delay, which otherwise is the mean service
time. A lower target leaves capacity unused between two reports. A higher one
takes too much of the time that routes allow, over several gates in a
row."""


REFUSAL_WEIGHT = 0.05
"""Weight of one request in the refused share; about twenty requests count,
which is a fraction of a second under load."""


class PressureControl:
    """Integral controller of the queueing delay.

    Attributes:
        pressure: Share of the load to shed, from 0 to 1.
    """

    __slots__ = ("_updated_s", "pressure")

    def __init__(self, now_s: float) -> None:
        self.pressure = 0.0
        self._updated_s = now_s

    def update(
        self, wait_s: float, service_time_s: float, now_s: float
    ) -> None:
        """Updates the pressure with the current queueing delay.

        Args:
            wait_s: Expected wait of a new request.
            service_time_s: Mean service time at the upstream.
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
    """Share of requests that an upstream refuses despite spare capacity.

    Attributes:
        share: The share, from 0 to 1.
    """

    __slots__ = ("share",)

    def __init__(self) -> None:
        self.share = 0.0

    def record(self, is_refused: bool) -> None:
        """Records whether one request was refused."""
        self.share += REFUSAL_WEIGHT * (is_refused - self.share)


def from_refusals(share: float, retry_ratio: float) -> float:
    """Returns the share of a service's load to shed because of refusals.

    A request that is refused at random is retried until it is accepted,
    which takes `share / (1 - share)` retries on average. The retry budget
    covers that for only a part of the requests. The others would use up
    its retries and still fail, with all the work done above them.

    Args:
        share: Share of the requests that its upstreams refuse.
        retry_ratio: Retries per request that the fleet may spend.
    """
    if share >= 1.0:
        return MAX_PRESSURE
    needed = share / (1.0 - share)
    usable = retry_ratio * fleet_retries.USED_BOUND_SHARE
    if needed <= usable:
        return 0.0
    return MAX_PRESSURE - usable / needed


def combine(queueing: float, refused_share: float, retry_ratio: float) -> float:
    """Returns the pressure of a service, as a share of load to shed.

    Args:
        queueing: Pressure of its queues.
        refused_share: Share of the requests that its upstreams refuse.
        retry_ratio: Retries per request that the fleet may spend.
    """
    refusals = from_refusals(refused_share, retry_ratio)
    return 1.0 - (1.0 - queueing) * (1.0 - refusals)
