"""Max-min fair shares among customers, encoded in the shedding order.

A customer's requests are spread evenly over the range from zero to its
demand divided by its weight. Serving requests in the order of their
position in that range gives every customer the lesser of its demand and a
common level times its weight, at any capacity: weighted max-min fairness
without knowing the capacity.
"""

from __future__ import annotations

from collections.abc import Callable
import math

from cyclamendale import clocks
from cyclamendale import ids
from cyclamendale.overload import early_shed

HALF_LIFE_S = 1.0
"""Half-life of the decayed request counts."""

RESCALE_INTERVAL_S = 10.0
"""Interval between two rescalings, which remove idle customers."""

UNITS_PER_SHARE = 32
"""Over-share value of a request at the average share."""

MAX_OVER_SHARE = 255

_GOLDEN_RATIO = (math.sqrt(5) - 1) / 2
_NEGLIGIBLE_COUNT = 0.01
_MIN_WEIGHT = 1e-6

WeightOf = Callable[[ids.CustomerId], float]


def equal_weight(customer: ids.CustomerId) -> float:
    """Returns the weight 1 for every customer."""
    return 1.0


class CustomerUsage:
    """Decayed request count of one customer and its last position."""

    __slots__ = ("count", "position", "weight")

    def __init__(self, weight: float) -> None:
        self.count = 0.0
        self.position = 0.0
        self.weight = weight


class CustomerShares:
    """Decayed request counts of the customers that share one resource."""

    __slots__ = (
        "_clock",
        "_rescaled_s",
        "_total_count",
        "_usages",
        "_weight_of",
        "_total_weight",
    )

    def __init__(self, clock: clocks.Clock, weight_of: WeightOf) -> None:
        self._clock = clock
        self._weight_of = weight_of
        self._usages: dict[ids.CustomerId, CustomerUsage] = {}
        self._total_count = 0.0
        self._total_weight = 0.0
        self._rescaled_s = clock.now_s()

    def record_request(self, customer: ids.CustomerId) -> int:
        """Records a request; returns its over-share, 0 to 255."""
        usage = self.record_usage(customer)
        usage.position = (usage.position + _GOLDEN_RATIO) % 1.0
        over_share = int(
            UNITS_PER_SHARE * usage.position * self._usage_ratio(usage)
        )
        return min(MAX_OVER_SHARE, over_share)

    def record_usage(self, customer: ids.CustomerId) -> CustomerUsage:
        """Records a request; returns the usage of its customer."""
        now_s = self._clock.now_s()
        elapsed_s = now_s - self._rescaled_s
        if elapsed_s > RESCALE_INTERVAL_S:
            self._rescale(elapsed_s, now_s)
            elapsed_s = 0.0
        # Newer requests get a larger weight, in place of decaying all counts.
        scale = 2.0 ** (elapsed_s / HALF_LIFE_S)
        usage = self._usages.get(customer)
        if usage is None:
            usage = CustomerUsage(self._weight(customer))
            self._usages[customer] = usage
            self._total_weight += usage.weight
        usage.count += scale
        self._total_count += scale
        return usage

    def usage_ratio(self, customer: ids.CustomerId) -> float:
        """Returns a customer's weighted usage relative to the average."""
        usage = self._usages.get(customer)
        return self._usage_ratio(usage) if usage is not None else 0.0

    def _usage_ratio(self, usage: CustomerUsage) -> float:
        return (
            usage.count
            * self._total_weight
            / (usage.weight * self._total_count)
        )

    def _weight(self, customer: ids.CustomerId) -> float:
        return max(_MIN_WEIGHT, self._weight_of(customer))

    def _rescale(self, elapsed_s: float, now_s: float) -> None:
        decay = 0.5 ** (elapsed_s / HALF_LIFE_S)
        self._rescaled_s = now_s
        self._total_count = 0.0
        self._total_weight = 0.0
        for customer, usage in list(self._usages.items()):
            usage.count *= decay
            if usage.count < _NEGLIGIBLE_COUNT:
                del self._usages[customer]
                continue
            usage.weight = self._weight(customer)
            self._total_count += usage.count
            self._total_weight += usage.weight


class DecayedFairUseTracker(early_shed.FairUseTracker):
    """Tracks decayed customer shares, one set per service or per route."""

    def __init__(
        self,
        clock: clocks.Clock,
        weight_of: WeightOf,
        service_of: Callable[[ids.RouteName], str],
    ) -> None:
        self._clock = clock
        self._weight_of = weight_of
        self._service_of = service_of
        self._shares: dict[str, CustomerShares] = {}

    def record_request(
        self, customer: ids.CustomerId, route: ids.RouteName
    ) -> int:
        """See base class."""
        service = self._service_of(route)
        shares = self._shares.get(service)
        if shares is None:
            shares = CustomerShares(self._clock, self._weight_of)
            self._shares[service] = shares
        return shares.record_request(customer)


def make_fair_use_tracker(
    clock: clocks.Clock,
    weight_of: WeightOf = equal_weight,
    service_of: Callable[[ids.RouteName], str] = str,
) -> early_shed.FairUseTracker:
    """Returns the fair-use tracker of one node.

    Args:
        clock: Time source.
        weight_of: Weight of a customer.
        service_of: Maps a route to the resource that its customers share,
            usually its service; by default the route itself.
    """
    return DecayedFairUseTracker(clock, weight_of, service_of)
