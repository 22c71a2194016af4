"""Quota decisions of the homes of a customer.

The homes of one customer, one in each failure domain, share a token bucket:
each deducts its own admissions at once and those of the other homes when
their spending arrives. A window of the bound may exceed rate and burst by an
overrun and a slack; together with the burst this is the headroom of the
bucket. A part of it is the maximum level. The rest covers what the homes admit
before they know of each other's admissions.

A host that is cut off keeps no more than its part: each reachable domain counts
by its demand and by the share of its hosts that can be reached, so the sum
holds on both sides of a network partition.
"""

from __future__ import annotations

from collections.abc import Iterator, Mapping
import math
import random as random_module

from cyclamendale import clocks
from cyclamendale import ids
from cyclamendale.intents import model
from cyclamendale.quotas import _home_bucket
from cyclamendale.quotas import _home_shares
from cyclamendale.quotas import bounds
from cyclamendale.quotas import homes
from cyclamendale.quotas import spendings

INTERVAL_S = 0.2
"""Interval in which a home may spend its allowance, and after which it tells
the other homes what it admitted."""

PROPAGATION_INTERVALS = 2.0
"""Intervals until all homes know of an admission, also if one message about it
is lost and the next one replaces it."""

MAX_LEVEL_SHARE = 0.4
"""Share of the headroom that the level may reach."""

MAX_MIN_ALLOWANCE = 3
"""Requests that a home may admit in any interval in which the level holds one
for every second domain, as far as all homes may do so at once: a few requests
of a small customer often arrive together."""

MAX_DEBT_S = 2.0
"""Largest debt, as refill time, but at least the headroom, which the homes may
have spent unseen. A larger debt would refuse requests for longer than the
window of the bound needs."""

START_DEBT_S = 0.1
"""Refill time that a starting process owes, at most what it may spend unseen.
It does not know what its predecessor admitted; the time that a process needs to
start has refilled the rest."""

MIN_INTERVAL_S = 0.02
"""Shortest interval; an empty bucket is looked at again once it may refill."""

MAX_TOLD_GAP_S = 2.0
"""Silence of another home after which only its news is deducted."""

MIN_LOST_SHARE = 0.02
"""Smallest drop of the reachable share that counts as hosts lost."""


class HomeLevels:
    """Buckets of the customers that this host is a home of."""

    def __init__(
        self,
        clock: clocks.Clock,
        random: random_module.Random,
        bound: bounds.QuotaBound,
        home_map: homes.HomeMap,
        own_domain: ids.FailureDomainName,
    ) -> None:
        self._clock = clock
        self._random = random
        self._bound = bound
        self._home_map = home_map
        self._own_domain = own_domain
        self._customers: Mapping[ids.CustomerId, model.Customer] = {}
        self._buckets: dict[ids.CustomerId, _home_bucket.Bucket] = {}
        self._started_s = clock.now_s()
        self._own_hosts_lost_s = -math.inf
        self._changed: set[ids.CustomerId] = set()

    def set_customers(
        self, customers: Mapping[ids.CustomerId, model.Customer]
    ) -> None:
        """Sets the customers; levels stay and are capped at the next refill."""
        self._customers = customers

    def set_view(self, view: homes.DomainView) -> None:
        """Sets the hosts that may be homes."""
        previous = self._home_map.live(self._own_domain)
        self._home_map.set_view(view)
        if not set(previous) <= set(self._home_map.live(self._own_domain)):
            self._own_hosts_lost_s = self._clock.now_s()

    def is_limited(self, name: ids.CustomerId) -> bool:
        """Returns whether a customer has a quota."""
        customer = self._customers.get(name)
        return customer is not None and customer.rate_per_s > 0

    def admit(self, name: ids.CustomerId, arrivals: int = 1) -> float | None:
        """Admits one request of a customer, if its quota allows.

        Args:
            name: The customer.
            arrivals: Requests since the last one that was asked for, which
                count as demand.

        Returns:
            None if admitted, or the seconds after which to retry.
        """
        customer = self._customers.get(name)
        if customer is None or customer.rate_per_s <= 0:
            return None
        now_s = self._clock.now_s()
        bucket = self._get_or_create(customer)
        bucket.arrivals += arrivals
        self._changed.add(name)
        if now_s >= bucket.interval_ends_s:
            self._start_interval(bucket, customer, now_s)
        if bucket.allowance <= 0:
            share = bucket.reachable_share or 1.0
            rate_per_s = max(0.1, customer.rate_per_s * share)
            return max(INTERVAL_S, -bucket.level / rate_per_s)
        bucket.allowance -= 1
        bucket.level -= 1.0
        bucket.admitted += 1
        bucket.last_admitted_s = now_s
        return None

    def refund(self, name: ids.CustomerId) -> None:
        """Reverts the admission of a request that certainly did not run."""
        bucket = self._buckets.get(name)
        if bucket is not None and bucket.admitted > 0:
            bucket.admitted -= 1
            bucket.level += 1.0
            self._changed.add(name)

    def take_changed(self) -> Iterator[spendings.Spending]:
        """Yields the usage that the other homes do not know yet."""
        changed, self._changed = self._changed, set()
        for name in changed:
            bucket = self._buckets[name]
            if bucket.admitted != bucket.told_admitted or bucket.arrivals:
                news = bucket.admitted - bucket.told_admitted
                bucket.told_admitted = bucket.admitted
                yield spendings.Spending(
                    name,
                    bucket.admitted,
                    news,
                    round(bucket.demand_per_s, 2),
                    round(bucket.level, 1),
                )

    def recent_others(self, name: ids.CustomerId) -> list[ids.PeerAddress]:
        """Returns other homes that lately admitted requests of a customer."""
        now_s = self._clock.now_s()
        return [
            address
            for address, other in self._buckets[name].others.items()
            if now_s - other.heard_s < _home_bucket.DEMAND_AVERAGING_S
        ]

    def record_spending(
        self, sender: spendings.Sender, spending: spendings.Spending
    ) -> None:
        """Deducts what another home admitted since it last told.

        A host that succeeds the sender in its failure domain takes over its
        level, as long as it admits nothing itself.
        """
        customer = self._customers.get(spending.customer)
        if customer is None or customer.rate_per_s <= 0:
            return
        now_s = self._clock.now_s()
        bucket = self._buckets.get(customer.name)
        if bucket is None:
            # The sender knows more about this window than a new bucket.
            bucket = _home_bucket.Bucket(now_s, spending.level + spending.news)
            self._buckets[customer.name] = bucket
        other = bucket.others.get(sender.address)
        if other is None or other.incarnation != sender.incarnation:
            other = _home_bucket.OtherHome(sender)
            bucket.others[sender.address] = other
        if now_s - other.heard_s > MAX_TOLD_GAP_S:
            # What it admitted long ago has been refilled since.
            other.admitted = spending.admitted - spending.news
        is_in_use = now_s - bucket.last_admitted_s < self._bound.window_s
        if sender.failure_domain == self._own_domain and not is_in_use:
            bucket.level, bucket.updated_s = spending.level, now_s
        elif sender.failure_domain not in bucket.kept_domains:
            # What an unreachable domain spends is covered by its kept share.
            bucket.level -= spending.admitted - other.admitted
        other.admitted = spending.admitted
        other.demand_per_s = spending.demand_per_s
        other.heard_s = now_s

    def get_state(self, name: ids.CustomerId) -> bounds.QuotaState | None:
        """Returns a snapshot of a customer's quota, if it is kept here."""
        if name not in self._buckets or name not in self._customers:
            return None
        bucket, rate_per_s = (
            self._buckets[name],
            self._customers[name].rate_per_s,
        )
        return bounds.QuotaState(
            rate_per_s,
            bucket.level,
            bucket.demand_per_s,
            bucket.reachable_share or 0.0,
        )

    def _start_interval(
        self,
        bucket: _home_bucket.Bucket,
        customer: model.Customer,
        now_s: float,
    ) -> None:
        """Sets how many requests this home may admit in this interval."""
        elapsed_s = min(
            now_s - bucket.interval_started_s,
            10 * _home_bucket.DEMAND_AVERAGING_S,
        )
        bucket.interval_started_s = now_s
        weight = 1.0 - math.exp(-elapsed_s / _home_bucket.DEMAND_AVERAGING_S)
        bucket.demand_per_s += weight * (
            bucket.arrivals / elapsed_s - bucket.demand_per_s
        )
        bucket.arrivals = 0
        own_share, reachable_share = _home_shares.compute(
            bucket, self._home_map.view, self._own_domain, now_s, elapsed_s
        )
        # The share may have changed at any time since the last refill, so
        # the smaller one applies.
        share = min(reachable_share, bucket.reachable_share or 1.0)
        self._refill(bucket, customer, now_s, share)
        self._charge_unreachable(bucket, customer, reachable_share)
        bucket.reachable_share = reachable_share
        bucket.allowance = 0
        if bucket.level <= 0.0:
            empty_s = -bucket.level / (customer.rate_per_s * reachable_share)
            bucket.interval_ends_s = now_s + min(
                INTERVAL_S, max(MIN_INTERVAL_S, empty_s)
            )
            return
        bucket.interval_ends_s = now_s + INTERVAL_S
        total = (
            self._unseen_limit(customer) * reachable_share
            + bucket.level / PROPAGATION_INTERVALS
        )
        allowance = total * own_share / reachable_share
        bucket.allowance = int(allowance + self._random.random())
        domain_count = len(self._home_map.view)
        if bucket.level >= domain_count / 2:
            spendable = bucket.level + PROPAGATION_INTERVALS * (
                self._unseen_limit(customer)
            )
            bucket.allowance = max(
                bucket.allowance,
                min(MAX_MIN_ALLOWANCE, int(spendable / domain_count)),
            )

    def _charge_unreachable(
        self,
        bucket: _home_bucket.Bucket,
        customer: model.Customer,
        reachable_share: float,
    ) -> None:
        """Deducts what hosts may have spent before they were missed."""
        if bucket.reachable_share is None:
            return
        lost_share = 1.0 - reachable_share / bucket.reachable_share
        if lost_share > MIN_LOST_SHARE:
            bucket.level -= lost_share * (
                self._unseen_limit(customer)
                + max(0.0, bucket.level) / PROPAGATION_INTERVALS
            )

    def _unseen_limit(self, customer: model.Customer) -> float:
        """Returns what all homes may spend in an interval below level zero."""
        headroom = self._bound.headroom(customer)
        return (1.0 - MAX_LEVEL_SHARE) * headroom / PROPAGATION_INTERVALS

    def _refill(
        self,
        bucket: _home_bucket.Bucket,
        customer: model.Customer,
        now_s: float,
        share: float,
    ) -> None:
        elapsed_s = max(0.0, now_s - bucket.updated_s)
        bucket.updated_s = now_s
        headroom = self._bound.headroom(customer)
        max_level = MAX_LEVEL_SHARE * headroom * share
        min_level = -max(MAX_DEBT_S * customer.rate_per_s, headroom)
        refilled = bucket.level + elapsed_s * customer.rate_per_s * share
        bucket.level = max(min_level, min(max_level, refilled))

    def _get_or_create(self, customer: model.Customer) -> _home_bucket.Bucket:
        bucket = self._buckets.get(customer.name)
        if bucket is None:
            now_s = self._clock.now_s()
            age_s = now_s - max(self._started_s, self._own_hosts_lost_s)
            if age_s < self._bound.window_s:
                # Hosts that were homes before may have admitted requests.
                debt = min(
                    self._unseen_limit(customer),
                    START_DEBT_S * customer.rate_per_s,
                )
                level = age_s * customer.rate_per_s - debt
            else:
                # No other home told of any request in this window.
                level = MAX_LEVEL_SHARE * self._bound.headroom(customer)
            bucket = _home_bucket.Bucket(now_s, level)
            self._buckets[customer.name] = bucket
        return bucket


def make_home_levels(
    clock: clocks.Clock,
    random: random_module.Random,
    home_map: homes.HomeMap,
    own_domain: ids.FailureDomainName,
    bound: bounds.QuotaBound | None = None,
) -> HomeLevels:
    """Returns the buckets of a host, without customers at first."""
    return HomeLevels(
        clock, random, bound or bounds.QuotaBound(), home_map, own_domain
    )
