"""Shares of a customer's quota that follow the demand of the nodes.

Each node tells the others how much of a customer's traffic it sees, and
spends the part of the rate that its demand has in the sum. A node that
falls silent keeps the share it had last, so a cut never frees a share
that its owner may still be spending.

What keeps the bound while the views differ: a node raises its share only
gradually, each bucket holds a part of the burst only, and the bound allows
an overrun and a slack.
"""

from __future__ import annotations

from collections.abc import Mapping
import math

from cyclamendale import clocks
from cyclamendale import ids
from cyclamendale.intents import model

BURST_SHARE = 0.35
"""Part of the burst that the buckets of all nodes hold together; the rest
covers what is spent twice while reports are under way."""

DEMAND_TIME_S = 0.8
"""Time over which a node's demand is averaged; three reports."""

EVEN_SHARE = 0.12
"""Part of the rate that is divided evenly, so that a customer's first
requests on a node find something."""

FLOOR_TOKENS = 1.0
"""Least capacity of a bucket: it must hold one whole request."""


class _Bucket:
    __slots__ = ("demand_per_s", "level", "seen", "share", "updated_s")

    def __init__(self, now_s: float, share: float) -> None:
        self.share = share
        self.level = 0.0
        self.updated_s = now_s
        self.demand_per_s = 0.0
        self.seen = 0


class DemandShares:
    """The quota of every customer, as one node may spend it."""

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self._buckets: dict[ids.CustomerId, _Bucket] = {}
        self._nodes = 1
        self._measured_s = clock.now_s()

    def admit(self, customer: model.Customer) -> float | None:
        """Spends one token.

        Returns:
            None if there was one, or the seconds until there may be one.
        """
        if customer.rate_per_s <= 0:
            return None
        now_s = self._clock.now_s()
        bucket = self._buckets.get(customer.name)
        if bucket is None:
            bucket = _Bucket(now_s, 1.0 / self._nodes)
            bucket.level = min(1.0, self._capacity(customer, bucket))
            self._buckets[customer.name] = bucket
        bucket.seen += 1
        self._refill(bucket, customer, now_s)
        if bucket.level >= 1.0:
            bucket.level -= 1.0
            return None
        rate_per_s = max(1e-3, customer.rate_per_s * bucket.share)
        return (1.0 - bucket.level) / rate_per_s

    def give_back(self, customer: ids.CustomerId) -> None:
        """Returns the token of a request that certainly did not run."""
        bucket = self._buckets.get(customer)
        if bucket is not None:
            bucket.level += 1.0

    def measure(self) -> Mapping[ids.CustomerId, float]:
        """Averages the demand since the last call.

        Returns:
            Requests a second of each customer at this node.
        """
        now_s = self._clock.now_s()
        elapsed_s = max(1e-3, now_s - self._measured_s)
        self._measured_s = now_s
        weight = 1.0 - math.exp(-elapsed_s / DEMAND_TIME_S)
        for bucket in self._buckets.values():
            rate_per_s = bucket.seen / elapsed_s
            bucket.seen = 0
            bucket.demand_per_s += weight * (rate_per_s - bucket.demand_per_s)
        return {
            name: bucket.demand_per_s
            for name, bucket in self._buckets.items()
            if bucket.demand_per_s > 0.01
        }

    def rebalance(
        self, others: Mapping[ids.CustomerId, float], nodes: int
    ) -> None:
        """Sets the shares anew.

        Args:
            others: Last known demand at all other nodes together.
            nodes: Nodes that are known, this one included.
        """
        self._nodes = max(1, nodes)
        even = EVEN_SHARE / self._nodes
        for name, bucket in self._buckets.items():
            own = bucket.demand_per_s
            total = own + others.get(name, 0.0)
            wanted = own / total if total > 0.01 else 1.0 / self._nodes
            wanted = even + (1.0 - EVEN_SHARE) * wanted
            bucket.share = wanted

    def _refill(
        self, bucket: _Bucket, customer: model.Customer, now_s: float
    ) -> None:
        elapsed_s = now_s - bucket.updated_s
        bucket.updated_s = now_s
        rate_per_s = customer.rate_per_s * bucket.share
        bucket.level = min(
            self._capacity(customer, bucket),
            bucket.level + elapsed_s * rate_per_s,
        )

    def _capacity(self, customer: model.Customer, bucket: _Bucket) -> float:
        burst = customer.burst * BURST_SHARE * bucket.share
        return max(FLOOR_TOKENS, burst)


def make_demand_shares(clock: clocks.Clock) -> DemandShares:
    """Returns the shares of a node that knows of no other yet."""
    return DemandShares(clock)
