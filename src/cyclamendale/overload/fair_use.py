"""Fair shares among customers, written into the order of shedding.

A customer's requests are spread evenly over the range from nothing to its
demand divided by its weight. Whatever the capacity, serving the requests
in the order of their place in that range gives every customer the lesser
of its demand and a common level times its weight: max-min fairness,
without knowing the capacity.
"""

from __future__ import annotations

from collections.abc import Callable
import math

from cyclamendale import clocks
from cyclamendale import ids
from cyclamendale.overload import early_shed

HALF_LIFE_S = 1.0
"""Time in which a count of requests loses half of its worth."""

RESCALE_EVERY_S = 10.0
"""Time between two removals of customers that went silent."""

UNITS_PER_SHARE = 32
"""Over-share of a request at the average share."""

MAX_OVER_SHARE = 255

_GOLDEN_RATIO = (math.sqrt(5) - 1) / 2
_NEGLIGIBLE_COUNT = 0.01
_LEAST_WEIGHT = 1e-6

WeightOf = Callable[[ids.CustomerId], float]


def equal_weight(customer: ids.CustomerId) -> float:
    """Returns the weight 1 for every customer."""
    return 1.0


class Usage:
    """Decayed count of one customer and its last place."""

    __slots__ = ("count", "place", "weight")

    def __init__(self, weight: float) -> None:
        self.count = 0.0
        self.place = 0.0
        self.weight = weight


class CustomerShares:
    """Decayed counts of the customers that share one thing."""

    __slots__ = (
        "_clock",
        "_since_s",
        "_total",
        "_usages",
        "_weight_of",
        "_weights",
    )

    def __init__(self, clock: clocks.Clock, weight_of: WeightOf) -> None:
        self._clock = clock
        self._weight_of = weight_of
        self._usages: dict[ids.CustomerId, Usage] = {}
        self._total = 0.0
        self._weights = 0.0
        self._since_s = clock.now_s()

    def note(self, customer: ids.CustomerId) -> int:
        """Counts a request; returns its over-share, 0 to 255."""
        usage = self.count(customer)
        usage.place = (usage.place + _GOLDEN_RATIO) % 1.0
        over_share = int(UNITS_PER_SHARE * usage.place * self._ratio(usage))
        return min(MAX_OVER_SHARE, over_share)

    def count(self, customer: ids.CustomerId) -> Usage:
        """Counts a request; returns its customer's record."""
        now_s = self._clock.now_s()
        elapsed_s = now_s - self._since_s
        if elapsed_s > RESCALE_EVERY_S:
            self._rescale(elapsed_s, now_s)
            elapsed_s = 0.0
        # Instead of decaying all counts, newer requests count for more.
        scale = 2.0 ** (elapsed_s / HALF_LIFE_S)
        usage = self._usages.get(customer)
        if usage is None:
            usage = Usage(self._weight(customer))
            self._usages[customer] = usage
            self._weights += usage.weight
        usage.count += scale
        self._total += scale
        return usage

    def ratio(self, customer: ids.CustomerId) -> float:
        """Returns a customer's use over the average, by weight."""
        usage = self._usages.get(customer)
        return self._ratio(usage) if usage is not None else 0.0

    def _ratio(self, usage: Usage) -> float:
        return usage.count * self._weights / (usage.weight * self._total)

    def _weight(self, customer: ids.CustomerId) -> float:
        return max(_LEAST_WEIGHT, self._weight_of(customer))

    def _rescale(self, elapsed_s: float, now_s: float) -> None:
        decay = 0.5 ** (elapsed_s / HALF_LIFE_S)
        self._since_s = now_s
        self._total = 0.0
        self._weights = 0.0
        for customer, usage in list(self._usages.items()):
            usage.count *= decay
            if usage.count < _NEGLIGIBLE_COUNT:
                del self._usages[customer]
                continue
            usage.weight = self._weight(customer)
            self._total += usage.count
            self._weights += usage.weight


class DecayedFairUse(early_shed.FairUse):
    """Keeps the shares of each service, or of each route alone."""

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

    def note(self, customer: ids.CustomerId, route: ids.RouteName) -> int:
        """See base class."""
        service = self._service_of(route)
        shares = self._shares.get(service)
        if shares is None:
            shares = CustomerShares(self._clock, self._weight_of)
            self._shares[service] = shares
        return shares.note(customer)


def make_fair_use(
    clock: clocks.Clock,
    weight_of: WeightOf = equal_weight,
    service_of: Callable[[ids.RouteName], str] = str,
) -> early_shed.FairUse:
    """Returns the fair-use record of one node.

    Args:
        clock: Time source.
        weight_of: Weight of a customer.
        service_of: What the customers of a route share, usually its
            service; the route itself when not given.
    """
    return DecayedFairUse(clock, weight_of, service_of)
