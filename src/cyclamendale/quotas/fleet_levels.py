"""Fleet-wide customer quotas, enforced by every node from usage reports.

For each customer, every node models one token bucket that the whole fleet
shares. It refills at the customer's rate. A node deducts its own admissions at
once, and those of other nodes when their reports arrive. Between two reports
a node may spend a share of the level according to its share of the demand.
Overspending makes the level negative, and refill pays that debt back first.
So the rate and the burst hold over a window of many reports.

If a customer's few requests may arrive at any of many nodes, the share of each
node is worth less than one request. While the level is positive, a node may
therefore admit one request whatever its share, as long as a sudden rise in
demand can't break the bound before all nodes know of it.

An unreachable host keeps the share that it had when last heard from. Reachable
hosts divide the rest, so the sum holds on both sides of a network partition.
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
"""Share of the burst that the level may reach. The rest covers requests
that are admitted while reports are in transit."""

DEMAND_AVERAGING_S = 2.0
"""Time constant of a node's demand average; equals eight reports."""

PRIOR_REQUESTS = 3.0
"""Pseudo-count added to each node's requests, so that a few arrivals don't
shift the shares."""

MAX_SHARES_PER_INTERVAL = 2.0
"""Multiple of its share of the level that a node may spend between two
reports. Arrivals at one node vary more than the fleet's total. If all nodes
use the full multiple, the next intervals pay back the debt."""

DEMAND_SURGE_FACTOR = 8.0
"""Factor by which a customer's demand is assumed to rise within one report
interval. The worst days of users show a factor of seven and a half."""

BASELINE_DEMAND_SHARE_BOUNDS = (0.25, 0.65)
"""Bounds of a customer's assumed demand before a surge, as a share of its
rate. They apply while its demand does not exceed its rate."""

PROPAGATION_INTERVALS = 2.0
"""Intervals until all nodes know of a request: one until it is reported,
one until a relay forwards the report."""

HEADROOM_SHARE = 0.92
"""Share of the bound's headroom above the rate that may be spent before a
surge is known. The rest covers lost reports and network partitions."""

IDLE_UPDATE_INTERVALS = 4
"""Intervals between share updates of a customer without requests."""

MAX_DEBT_S = 2.0
"""Largest debt, as refill time. A larger debt would refuse requests for
longer than the window of the bound needs."""


class Spending(msgspec.Struct, frozen=True):
    """Usage of one customer as reported by one process.

    Attributes:
        demand_per_s: Requests per second that used its keys.
        admitted: Requests admitted since the process started.
    """

    demand_per_s: float
    admitted: int


class QuotaBound(msgspec.Struct, frozen=True):
    """How far the admissions of a window may exceed rate and burst.

    Attributes:
        window_s: Length of the window.
        overrun: Allowed excess as a share of the window's rate and burst.
        slack: Allowed excess in requests, in addition to `overrun`.
    """

    window_s: float = 5.0
    overrun: float = 0.1
    slack: float = 20.0


class QuotaState(msgspec.Struct, frozen=True):
    """Snapshot of one customer's quota as a node models it.

    Attributes:
        rate_per_s: Allowed requests per second.
        level: Requests that the fleet may admit; a debt if negative.
        demand_per_s: Requests per second that arrived at this node.
        host_count: Hosts that share the quota.
        reachable_share: Share of the quota left to the reachable hosts.
        age_s: Time since the level was computed.
    """

    rate_per_s: float
    level: float
    demand_per_s: float
    host_count: int
    reachable_share: float
    age_s: float


class _HostSpending:
    """Last reported usage of one customer at another host."""

    __slots__ = ("admitted", "demand_per_s", "incarnation", "share")

    def __init__(self, incarnation: int) -> None:
        self.incarnation = incarnation
        self.share = 0.0
        self.admitted = 0
        self.demand_per_s = 0.0


class _Bucket:
    """One customer's fleet-wide token bucket, as this node models it."""

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
    """Decides which requests one node admits within the fleet-wide quotas."""

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
        """Sets the customers; levels stay and are capped at the next refill."""
        self._customers = customers
        for name in customers:
            self._get_or_create(name)

    def admit(self, name: ids.CustomerId) -> float | None:
        """Admits one request of a customer, if its quota allows.

        Returns:
            None if admitted, or the seconds after which to retry.
        """
        customer = self._customers.get(name)
        if customer is None or customer.rate_per_s <= 0:
            return None
        bucket = self._get_or_create(name)
        bucket.arrivals += 1
        if bucket.interval_number != self._interval_number:
            self._allocate(bucket, customer)
        if bucket.allowance <= 0:
            return self._retry_wait_s(bucket, customer)
        bucket.allowance -= 1
        bucket.level -= 1.0
        bucket.admitted += 1
        return None

    def get_state(self, name: ids.CustomerId) -> QuotaState:
        """Returns a snapshot of a customer's quota for logging."""
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
        """Reverts the admission of a request that certainly did not run."""
        bucket = self._buckets.get(name)
        if bucket is not None and bucket.admitted > 0:
            bucket.admitted -= 1
            bucket.level += 1.0

    def measure_spending(self) -> dict[ids.CustomerId, Spending]:
        """Updates the demand averages and returns the usage to report."""
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
        """Deducts what another process admitted since its last report."""
        for name, spending in spendings.items():
            bucket = self._get_or_create(name)
            known = bucket.other_hosts.get(host)
            if known is None or known.incarnation != incarnation:
                is_first = known is None
                known = bucket.other_hosts[host] = _HostSpending(incarnation)
                if is_first:
                    # Admissions from before this node knew of the host
                    # are not deducted.
                    known.admitted = spending.admitted
            bucket.level -= spending.admitted - known.admitted
            known.admitted = spending.admitted
            known.demand_per_s = spending.demand_per_s

    def start_interval(
        self,
        live_hosts: Set[ids.PeerAddress],
        expired_hosts: Set[ids.PeerAddress],
    ) -> None:
        """Starts a report interval; allowances are recomputed on demand.

        Args:
            live_hosts: Other hosts that were heard from recently.
            expired_hosts: Hosts that certainly admit nothing any more.
        """
        self._interval_number += 1
        self._live_hosts = live_hosts
        for index, (name, bucket) in enumerate(self._buckets.items()):
            customer = self._customers.get(name)
            if customer is None or customer.rate_per_s <= 0:
                continue
            for host in expired_hosts:
                bucket.other_hosts.pop(host, None)
            if (index + self._interval_number) % IDLE_UPDATE_INTERVALS == 0:
                self._allocate(bucket, customer)

    def _allocate(self, bucket: _Bucket, customer: model.Customer) -> None:
        """Sets how many requests this node may admit in this interval."""
        bucket.interval_number = self._interval_number
        live_hosts = self._live_hosts
        own_share, reachable_share = self._compute_shares(bucket, live_hosts)
        # The share may have changed at any time since the last refill, so
        # the smaller one applies.
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
            reached_nodes = self._estimate_reach(bucket, customer, nodes)
            allowance = max(allowance, min(1.0, exposure_limit / reached_nodes))
        bucket.allowance = int(allowance + self._random.random())

    def _compute_exposure_limit(
        self, customer: model.Customer, reachable_share: float
    ) -> float:
        """Returns how much all nodes together may spend in one interval.

        Until they know of each other's spending, nodes may spend this in
        several intervals, so the sum must fit the headroom of the bound.
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

    def _estimate_reach(
        self, bucket: _Bucket, customer: model.Customer, nodes: int
    ) -> float:
        """Returns how many nodes get requests in an interval after a surge."""
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
        """Returns this node's share and that of all reachable hosts."""
        nodes = 1 + len(live_hosts | bucket.other_hosts.keys())
        prior = PRIOR_REQUESTS
        own_demand = bucket.demand_per_s * DEMAND_AVERAGING_S + prior
        total_demand = own_demand + prior * len(
            live_hosts - bucket.other_hosts.keys()
        )
        unreachable_share = 0.0
        for host, spending in bucket.other_hosts.items():
            if host in live_hosts:
                total_demand += (
                    spending.demand_per_s * DEMAND_AVERAGING_S + prior
                )
            else:
                unreachable_share += spending.share or 1.0 / nodes
        reachable_share = max(1.0 / nodes, 1.0 - unreachable_share)
        for host in live_hosts & bucket.other_hosts.keys():
            spending = bucket.other_hosts[host]
            host_demand = spending.demand_per_s * DEMAND_AVERAGING_S + prior
            spending.share = reachable_share * host_demand / total_demand
        return reachable_share * own_demand / total_demand, reachable_share

    def _refill(
        self, bucket: _Bucket, customer: model.Customer, share: float
    ) -> None:
        now_s = self._clock.now_s()
        elapsed_s = max(0.0, now_s - bucket.updated_s)
        bucket.updated_s = now_s
        max_level = max(1.0, customer.burst * MAX_LEVEL_BURST_SHARE) * share
        min_level = -MAX_DEBT_S * customer.rate_per_s
        refilled = bucket.level + elapsed_s * customer.rate_per_s * share
        bucket.level = max(min_level, min(max_level, refilled))

    def _retry_wait_s(self, bucket: _Bucket, customer: model.Customer) -> float:
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
    """Returns the quotas of a node, without customers at first."""
    return FleetQuotas(clock, random, bound or QuotaBound())
