"""Fleet-wide retry budget for each service.

It bounds the added load when upstreams lose or refuse a part of their
requests. In any window, all nodes together may send a service as many
retries as a given ratio of its requests, plus a fixed slack. Failures occur
at the nodes with faults, not where most requests arrive, so the nodes share
one budget: each reports its counts, of which the nodes learn the sums by group
of hosts, and each is granted at each interval a part of the remaining budget.

A retried run makes its onward calls again, and these are retries at the
services below. They are charged to the node that retries the run.
"""

from __future__ import annotations

import collections
from collections.abc import Mapping
import math
import random as random_module

from cyclamendale import clocks
from cyclamendale import ids
from cyclamendale.overload import retry_groups
from cyclamendale.overload import retry_usage

WINDOW_SLICES = 10
"""Slices per window; the bound is exact to a tenth of the window."""

USED_BOUND_SHARE = 0.8
"""Share of the bound that is used. The calls of a retried run count as new
requests at the nodes below, which inflates the counts that they report."""

GRANTED_SHARE = 0.5
"""Share of the remaining budget that is granted per interval. The sums of the
other nodes are older than that, so the same budget may be granted twice."""

MAX_TOLD_REPORTS = 64
"""Own reports that are remembered until the sums include them: those of several
seconds."""

EQUAL_SHARE = 0.2
"""Share of the grants that is split equally among all nodes; the rest is
split in proportion to the requests that each sends to the service."""

MAX_DROP_FACTOR = 2.0
"""Drop of the requests from one window to the next beyond which retries are
limited to the rate that the current window allows. The windows that begin now
are compared with the current one, not with the one before it."""

SAVED_INTERVALS = 6
"""Intervals for which a node keeps its equal part. A retry costs all calls that
the run makes again, so a single one may cost more than one interval's part.
What all nodes can save is at most what remains of the budget."""


class _ServiceCounters:
    """Own counts for one service by slice, and the granted retries.

    Attributes:
        requests: First attempts by slice.
        repeats: Retries by slice.
        remaining_grant: Retries that may be spent in this interval.
        proportional_grant: The part granted for own requests.
        saved_grant: The equal part, which is kept for some intervals.
    """

    __slots__ = (
        "proportional_grant",
        "remaining_grant",
        "repeats",
        "requests",
        "saved_grant",
    )

    def __init__(self) -> None:
        self.requests: collections.deque[int] = collections.deque(
            [0] * (2 * WINDOW_SLICES), 2 * WINDOW_SLICES
        )
        # One more slice, since the window covers its first slice in part.
        self.repeats: collections.deque[float] = collections.deque(
            [0.0] * (WINDOW_SLICES + 1), WINDOW_SLICES + 1
        )
        self.remaining_grant = 0.0
        self.proportional_grant = 0.0
        self.saved_grant = 0.0

    def grant(self, proportional: float, equal: float) -> None:
        """Sets the retries of the next interval.

        Args:
            proportional: The part granted for own requests.
            equal: The equal part of one interval.
        """
        # The proportional part is spent first.
        unspent = min(self.saved_grant, max(0.0, self.remaining_grant))
        self.saved_grant = min(SAVED_INTERVALS * equal, unspent + equal)
        self.proportional_grant = proportional
        self.remaining_grant = self.saved_grant + proportional

    def affordable_share(self, cost: float, reserve_share: float) -> float:
        """Returns the share of a cost that the grant covers, if positive."""
        usable = self.remaining_grant - reserve_share * self.proportional_grant
        return max(0.0, usable) / cost if cost > 0.0 else 1.0

    def spend(self, cost: float) -> None:
        """Takes a cost, or what there is, from the grant."""
        self.remaining_grant = max(0.0, self.remaining_grant - cost)

    def usage(self) -> retry_usage.RetryUsage:
        """Returns the sums over the current and the preceding window."""
        requests = tuple(self.requests)
        return retry_usage.RetryUsage(
            sum(requests[WINDOW_SLICES:]),
            sum(requests[:WINDOW_SLICES]),
            math.ceil(sum(self.repeats)),
        )


class FleetRetryBudget:
    """Share of one node in the fleet-wide retry budget."""

    def __init__(
        self,
        clock: clocks.Clock,
        random: random_module.Random,
        ratio: float,
        window_s: float,
        slack: float,
    ) -> None:
        self._clock = clock
        self._random = random
        self._ratio = ratio
        self._window_s = window_s
        self._slice_s = window_s / WINDOW_SLICES
        self._slack = slack
        self._counters: dict[ids.ServiceName, _ServiceCounters] = (
            collections.defaultdict(_ServiceCounters)
        )
        self._groups = retry_groups.RetryGroups(clock, window_s)
        self._told: collections.OrderedDict[int, dict[ids.ServiceName, int]] = (
            collections.OrderedDict()
        )
        self._slice_start_s = clock.now_s()
        self._allocated_s = clock.now_s()

    def record_request(self, service: ids.ServiceName) -> None:
        """Records a request for a service, whatever its outcome."""
        self._advance_slices()
        self._counters[service].requests[-1] += 1

    def try_acquire(
        self,
        service: ids.ServiceName,
        calls_by_service: Mapping[ids.ServiceName, float],
        reserve_share: float = 0.0,
    ) -> bool:
        """Spends the grant for one retry; returns False if there is too little.

        A retry that costs more than the grant is allowed by lot, so that on
        average the grant is spent.

        Args:
            service: Service that the retry is sent to.
            calls_by_service: Mean calls of the retried run to each service
                below.
            reserve_share: Share of the grant for own requests that is
                reserved for others.
        """
        self._advance_slices()
        costs = {
            **calls_by_service,
            service: 1.0 + calls_by_service.get(service, 0.0),
        }
        chance = min(
            self._counters[name].affordable_share(cost, reserve_share)
            for name, cost in costs.items()
        )
        is_granted = chance >= 1.0 or self._random.random() < chance
        for name, cost in costs.items():
            counters = self._counters[name]
            if is_granted:
                counters.repeats[-1] += cost
                counters.spend(cost)
            elif counters.affordable_share(cost, reserve_share) < 1.0:
                counters.spend(cost)
        return is_granted

    def usage(
        self, sequence: int
    ) -> dict[ids.ServiceName, retry_usage.RetryUsage]:
        """Returns the usage to report, for services with any counts.

        Args:
            sequence: Sequence of the report.
        """
        self._advance_slices()
        self._told[sequence] = {
            name: each.usage().repeats for name, each in self._counters.items()
        }
        if len(self._told) > MAX_TOLD_REPORTS:
            self._told.popitem(last=False)
        usages = {name: each.usage() for name, each in self._counters.items()}
        return {
            name: usage
            for name, usage in usages.items()
            if usage.requests or usage.before or usage.repeats
        }

    def record_group(
        self,
        group: str,
        source: int,
        usage: Mapping[ids.ServiceName, retry_usage.RetryUsage],
        is_complete: bool,
    ) -> None:
        """Stores the sums of a group of hosts, the own one included.

        Args:
            group: The group.
            source: Process that tells the sums.
            usage: The sums, by service.
            is_complete: Whether the source has received reports for a whole
                window.
        """
        self._groups.record(group, source, usage, is_complete)

    def allocate(
        self,
        live_count: int,
        known_count: int,
        own_group: str,
        included_sequence: int | None,
    ) -> None:
        """Sets the retries that this node may spend until the next call.

        Args:
            live_count: Hosts that were heard of recently, with the own one.
            known_count: Hosts that may be alive. Those out of reach may spend
                their share of the slack.
            own_group: Group of this node.
            included_sequence: Sequence of the last own report that the sums
                of the own group include, if any.
        """
        self._advance_slices()
        self._groups.discard_expired()
        told = self._told.get(included_sequence or 0, {})
        now_s = self._clock.now_s()
        elapsed_share = (now_s - self._allocated_s) / self._window_s
        self._allocated_s = now_s
        slack = self._slack * min(1.0, live_count / max(1, known_count))
        for name in tuple(self._groups.services()):
            self._counters[name]
        own_usages = {
            name: counters.usage() for name, counters in self._counters.items()
        }
        for name, counters in self._counters.items():
            own = own_usages[name]
            requests, before = self._groups.requests(name, own, own_group)
            others = max(0, self._groups.repeats(name) - told.get(name, 0))
            bound = self._ratio * max(requests, before) + slack
            remaining = USED_BOUND_SHARE * bound - others - own.repeats
            granted = GRANTED_SHARE * max(0.0, remaining)
            if MAX_DROP_FACTOR * requests < before:
                counters.saved_grant = 0.0
                later_bound = self._ratio * requests + slack
                granted = min(
                    granted, USED_BOUND_SHARE * later_bound * elapsed_share
                )
            own_share = own.requests / requests if requests else 0.0
            # Random rounding keeps the mean of grants that are below one.
            proportional = granted * (1.0 - EQUAL_SHARE) * own_share
            counters.grant(
                float(int(proportional + self._random.random())),
                granted * EQUAL_SHARE / max(1, live_count),
            )

    def _advance_slices(self) -> None:
        now_s = self._clock.now_s()
        passed = int((now_s - self._slice_start_s) / self._slice_s)
        if passed <= 0:
            return
        self._slice_start_s += passed * self._slice_s
        for counters in self._counters.values():
            for _ in range(min(passed, 2 * WINDOW_SLICES)):
                counters.requests.append(0)
                counters.repeats.append(0.0)


def make_fleet_retry_budget(
    clock: clocks.Clock,
    random: random_module.Random,
    ratio: float,
    window_s: float,
    slack: float,
) -> FleetRetryBudget:
    """Returns the retry budget of a node without any counts.

    Args:
        clock: Clock of the windows.
        random: Source for the rounding of grants.
        ratio: Retries allowed per request.
        window_s: Length of the window to which the bound applies.
        slack: Retries allowed beyond the ratio, by all nodes together.
    """
    return FleetRetryBudget(clock, random, ratio, window_s, slack)
