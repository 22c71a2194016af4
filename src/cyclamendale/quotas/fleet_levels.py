"""Quotas of customers that all nodes spend together.

Every node keeps, for each customer, the level of one bucket that the whole
fleet shares: it refills at the customer's rate, and what any node admitted
is taken off as the reports tell of it. Between two reports a node spends
its part of the level, by its part of the demand. What the nodes spend
beyond the level is a debt that the refill pays back first, so over a window
of many reports the rate and the burst hold.

The load it answers: a customer with few requests, each of which may come to
any of many nodes, has no part anywhere that is worth one request. So while
there is a level, a node may spend one request whatever its part, as far as
a sudden rise of the demand would not break the bound before it is known.

A host that falls silent keeps the part that its demand had when it was
last heard: its level and its refill are left to it, and the hosts that
hear each other share the rest. So the sum holds on both sides of a cut.
"""

from __future__ import annotations

from collections.abc import Mapping, Set
import math
import random as random_module

import msgspec

from cyclamendale import clocks
from cyclamendale import ids
from cyclamendale.intents import model

MAX_LEVEL_BURST_SHARE = 0.8
"""Part of the burst that the level may reach; the rest covers requests
that are admitted while reports are under way."""

DEMAND_AVERAGING_S = 2.0
"""Time over which a node's demand is averaged; eight reports."""

PRIOR_REQUESTS = 3.0
"""Requests that each node counts as having had besides its own, so that a
few arrivals do not move the shares."""

MAX_SHARES_PER_INTERVAL = 2.0
"""Parts of the level that one node may spend between two reports. Arrivals
at one node vary more than those at all; the debt of an interval in which
every node does so is paid back by the next ones."""

DEMAND_SURGE_FACTOR = 8.0
"""Factor by which a customer's demand is taken to rise within a report
interval; users' worst days have seven and a half."""

BASELINE_DEMAND_SHARE_BOUNDS = (0.25, 0.65)
"""Bounds of the part of its rate that a customer is taken to ask for before
a rise, as long as it asks for no more than its rate."""

PROPAGATION_INTERVALS = 2.0
"""Intervals until all nodes know of a request: one until its report, one
until a relay passes that on."""

HEADROOM_SHARE = 0.92
"""Part of what the bound leaves beyond the rate that may be spent before a
rise is known. The rest covers lost reports and cuts."""

IDLE_UPDATE_INTERVALS = 4
"""Reports between two looks at the parts of a customer that asks nothing."""

MAX_DEBT_S = 2.0
"""Refill time of the deepest debt that is remembered; more would refuse
for longer than the window of the bound needs."""


class Spending(msgspec.Struct, frozen=True):
    """What one process reports of one customer.

    Attributes:
        demand_per_s: Requests a second that came with its keys.
        admitted: Requests admitted since the process started.
    """

    demand_per_s: float
    admitted: int


class QuotaBound(msgspec.Struct, frozen=True):
    """How far the rate and the burst may be passed.

    Attributes:
        window_s: Window of the bound.
        overrun: Part by which the sum of a window may be passed.
        slack: Requests by which it may be passed besides.
    """

    window_s: float = 5.0
    overrun: float = 0.1
    slack: float = 20.0


class QuotaState(msgspec.Struct, frozen=True):
    """What a node knows of one customer's bucket.

    Attributes:
        rate_per_s: Requests a second that are allowed.
        level: Requests that all nodes may spend; a debt below zero.
        demand_per_s: Requests a second that came to this node.
        hosts: Hosts that share it.
        reachable: Part of the quota that is left to the hosts that hear
            each other.
        age_s: Time since the level was computed.
    """

    rate_per_s: float
    level: float
    demand_per_s: float
    host_count: int
    reachable_share: float
    age_s: float


class _HostSpending:
    """Last known spending at another host."""

    __slots__ = ("admitted", "demand_per_s", "incarnation", "share")

    def __init__(self, incarnation: int) -> None:
        self.incarnation = incarnation
        self.share = 0.0
        self.admitted = 0
        self.demand_per_s = 0.0


class _Bucket:
    """One customer's bucket, as this node sees it."""

    __slots__ = (
        "admitted",
        "demand_per_s",
        "interval_number",
        "allowance",
        "level",
        "other_hosts",
        "reachable_share",
        "arrivals",
        "updated_s",
    )

    def __init__(self, now_s: float) -> None:
        self.level = 0.0
        self.allowance = 0
        self.admitted = 0
        self.arrivals = 0
        self.demand_per_s = 0.0
        self.reachable_share = 1.0
        self.interval_number = -1
        self.updated_s = now_s
        self.other_hosts: dict[ids.PeerAddress, _HostSpending] = {}


class FleetQuotas:
    """The quotas of all customers, as one node may spend them."""

    def __init__(
        self,
        clock: clocks.Clock,
        random: random_module.Random,
        bound: QuotaBound,
    ) -> None:
        self._clock = clock
        self._random = random
        self._bound = bound
        self._live_hosts: Set[ids.PeerAddress] = frozenset()
        self._interval_number = 0
        self._buckets: dict[ids.CustomerId, _Bucket] = {}
        self._customers: Mapping[ids.CustomerId, model.Customer] = {}
        self._last_measured_s = clock.now_s()
        self._report_interval_s = 0.25

    def set_customers(
        self, customers: Mapping[ids.CustomerId, model.Customer]
    ) -> None:
        """Takes the customers in force; levels stay, capped anew."""
        self._customers = customers
        for name in customers:
            self._get_or_create(name)

    def admit(self, name: ids.CustomerId) -> float | None:
        """Spends one request of a customer.

        Returns:
            None if it is admitted, or the seconds until one may be.
        """
        customer = self._customers.get(name)
        if customer is None or customer.rate_per_s <= 0:
            return None
        bucket = self._get_or_create(name)
        bucket.arrivals += 1
        if bucket.interval_number != self._interval_number:
            self._set_allowance(bucket, customer)
        if bucket.allowance <= 0:
            return self._retry_after_s(bucket, customer)
        bucket.allowance -= 1
        bucket.level -= 1.0
        bucket.admitted += 1
        return None

    def get_state(self, name: ids.CustomerId) -> QuotaState:
        """Returns what is known of a customer's quota; for the log."""
        bucket, customer = self._get_or_create(name), self._customers.get(name)
        return QuotaState(
            customer.rate_per_s if customer else 0.0,
            bucket.level,
            bucket.demand_per_s,
            1 + len(self._live_hosts),
            bucket.reachable_share,
            self._clock.now_s() - bucket.updated_s,
        )

    def refund(self, name: ids.CustomerId) -> None:
        """Takes an admission back: the request certainly did not run."""
        bucket = self._buckets.get(name)
        if bucket is not None and bucket.admitted > 0:
            bucket.admitted -= 1
            bucket.level += 1.0

    def measure_spending(self) -> dict[ids.CustomerId, Spending]:
        """Averages the demand since the last call; for the reports."""
        now_s = self._clock.now_s()
        elapsed_s = max(1e-3, now_s - self._last_measured_s)
        self._last_measured_s = now_s
        self._report_interval_s = elapsed_s
        weight = 1.0 - math.exp(-elapsed_s / DEMAND_AVERAGING_S)
        for bucket in self._buckets.values():
            rate_per_s = bucket.arrivals / elapsed_s
            bucket.arrivals = 0
            bucket.demand_per_s += weight * (rate_per_s - bucket.demand_per_s)
        return {
            name: Spending(bucket.demand_per_s, bucket.admitted)
            for name, bucket in self._buckets.items()
        }

    def apply_report(
        self,
        host: ids.PeerAddress,
        incarnation: int,
        spendings: Mapping[ids.CustomerId, Spending],
    ) -> None:
        """Takes off what another process admitted since its last report."""
        for name, spending in spendings.items():
            bucket = self._get_or_create(name)
            known = bucket.other_hosts.get(host)
            if known is None or known.incarnation != incarnation:
                is_first = known is None
                known = bucket.other_hosts[host] = _HostSpending(incarnation)
                if is_first:
                    # What it admitted before this node knew of it is not
                    # in the level either.
                    known.admitted = spending.admitted
            bucket.level -= spending.admitted - known.admitted
            known.admitted = spending.admitted
            known.demand_per_s = spending.demand_per_s

    def start_interval(
        self, live_hosts: Set[ids.PeerAddress], gone_hosts: Set[ids.PeerAddress]
    ) -> None:
        """Sets what this node may spend until the next call.

        Args:
            live_hosts: Other hosts that were heard of lately.
            gone_hosts: Hosts that certainly spend nothing any more.
        """
        self._interval_number += 1
        self._live_hosts = live_hosts
        for index, (name, bucket) in enumerate(self._buckets.items()):
            customer = self._customers.get(name)
            if customer is None or customer.rate_per_s <= 0:
                continue
            for host in gone_hosts:
                bucket.other_hosts.pop(host, None)
            if (index + self._interval_number) % IDLE_UPDATE_INTERVALS == 0:
                self._set_allowance(bucket, customer)

    def _set_allowance(self, bucket: _Bucket, customer: model.Customer) -> None:
        """Sets what this node may spend in the present interval."""
        bucket.interval_number = self._interval_number
        live_hosts = self._live_hosts
        own_share, reachable_share = self._compute_shares(bucket, live_hosts)
        # Of a change in the time since, the worse is taken.
        self._refill(
            bucket, customer, min(reachable_share, bucket.reachable_share)
        )
        bucket.reachable_share = reachable_share
        bucket.allowance = 0
        if bucket.level <= 0.0:
            return
        nodes = 1 + len(live_hosts)
        exposure_limit = self._compute_exposure_limit(customer, reachable_share)
        allowance = (
            min(MAX_SHARES_PER_INTERVAL * bucket.level, exposure_limit)
            * own_share
            / reachable_share
        )
        if allowance < 1.0:
            nodes_reached = self._estimate_nodes_reached(
                bucket, customer, nodes
            )
            allowance = max(allowance, min(1.0, exposure_limit / nodes_reached))
        bucket.allowance = int(allowance + self._random.random())

    def _compute_exposure_limit(
        self, customer: model.Customer, reachable_share: float
    ) -> float:
        """Returns what all nodes may spend in an interval, if asked for it.

        They may do so in several intervals until they know of it, and that
        has to fit in what the bound leaves beside the rate.
        """
        rate_per_s, bound = customer.rate_per_s, self._bound
        unknown_s = PROPAGATION_INTERVALS * self._report_interval_s
        allowed = (
            customer.burst
            + bound.slack
            + bound.overrun * (rate_per_s * bound.window_s + customer.burst)
            + rate_per_s * unknown_s
        )
        return (
            HEADROOM_SHARE * allowed * reachable_share / PROPAGATION_INTERVALS
        )

    def _estimate_nodes_reached(
        self, bucket: _Bucket, customer: model.Customer, nodes: int
    ) -> float:
        """Returns how many nodes an interval's requests meet after a rise."""
        demand_per_s = bucket.demand_per_s + sum(
            each.demand_per_s
            for host, each in bucket.other_hosts.items()
            if host in self._live_hosts
        )
        rate_per_s = customer.rate_per_s
        if demand_per_s <= rate_per_s:
            min_share, max_share = BASELINE_DEMAND_SHARE_BOUNDS
            baseline_share = min(
                max_share, max(min_share, demand_per_s / rate_per_s)
            )
            demand_per_s = baseline_share * rate_per_s
        surge_per_s = DEMAND_SURGE_FACTOR * demand_per_s
        mean_per_node = surge_per_s * self._report_interval_s / nodes
        return nodes * (1.0 - math.exp(-mean_per_node))

    def _compute_shares(
        self, bucket: _Bucket, live_hosts: Set[ids.PeerAddress]
    ) -> tuple[float, float]:
        """Returns the own part and that of all reachable hosts."""
        nodes = 1 + len(live_hosts | bucket.other_hosts.keys())
        prior = PRIOR_REQUESTS
        own_demand = bucket.demand_per_s * DEMAND_AVERAGING_S + prior
        reachable_demand = own_demand + prior * len(
            live_hosts - bucket.other_hosts.keys()
        )
        unreachable_share = 0.0
        for host, spending in bucket.other_hosts.items():
            if host in live_hosts:
                reachable_demand += (
                    spending.demand_per_s * DEMAND_AVERAGING_S + prior
                )
            else:
                unreachable_share += spending.share or 1.0 / nodes
        reachable_share = max(1.0 / nodes, 1.0 - unreachable_share)
        for host in live_hosts & bucket.other_hosts.keys():
            spending = bucket.other_hosts[host]
            host_demand = spending.demand_per_s * DEMAND_AVERAGING_S + prior
            spending.share = reachable_share * host_demand / reachable_demand
        return reachable_share * own_demand / reachable_demand, reachable_share

    def _refill(
        self,
        bucket: _Bucket,
        customer: model.Customer,
        reachable_share: float,
    ) -> None:
        now_s = self._clock.now_s()
        elapsed_s = max(0.0, now_s - bucket.updated_s)
        bucket.updated_s = now_s
        max_level = (
            max(1.0, customer.burst * MAX_LEVEL_BURST_SHARE) * reachable_share
        )
        min_level = -MAX_DEBT_S * customer.rate_per_s
        refilled = (
            bucket.level + elapsed_s * customer.rate_per_s * reachable_share
        )
        bucket.level = max(min_level, min(max_level, refilled))

    def _retry_after_s(
        self, bucket: _Bucket, customer: model.Customer
    ) -> float:
        rate_per_s = max(0.1, customer.rate_per_s * bucket.reachable_share)
        return max(self._report_interval_s, (1.0 - bucket.level) / rate_per_s)

    def _get_or_create(self, name: ids.CustomerId) -> _Bucket:
        bucket = self._buckets.get(name)
        if bucket is None:
            bucket = self._buckets[name] = _Bucket(self._clock.now_s())
        return bucket


def make_fleet_quotas(
    clock: clocks.Clock,
    random: random_module.Random,
    bound: QuotaBound | None = None,
) -> FleetQuotas:
    """Returns the quotas of a node that knows of no customer yet."""
    return FleetQuotas(clock, random, bound or QuotaBound())
