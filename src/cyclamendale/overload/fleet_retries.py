"""Fleet-wide retry budget for each service.

It bounds the added load when upstreams lose or refuse a part of their
requests. In any window, all nodes together may send a service as many
retries as a given ratio of its requests, plus a fixed slack. Failures occur
at the nodes with faults, not where most requests arrive, so the nodes share
one budget: each reports its counts, and is granted at each report a part of
the remaining budget.

A retried run makes its onward calls again, and these are retries at the
services below. They are charged to the node that retries the run.
"""

from __future__ import annotations

import collections
from collections.abc import Iterable, Mapping, Set
import math
import random as random_module

import msgspec

from cyclamendale import clocks
from cyclamendale import ids

WINDOW_SLICES = 10
"""Slices per window; the bound is exact to a tenth of the window."""

USED_BOUND_SHARE = 0.8
"""Share of the bound that is used. The calls of a retried run count as new
requests at the nodes below, which inflates the counts that they report."""

GRANTED_SHARE = 0.5
"""Share of the remaining budget that is granted per report. The reports of
the other nodes are one interval old, so the same budget may be granted
twice."""

EQUAL_SHARE = 0.2
"""Share of the grants that is split equally among all nodes; the rest is
split in proportion to the requests that each sends to the service."""


class RetryUsage(msgspec.Struct, frozen=True):
    """Counts of one process for one service over the last window.

    Attributes:
        requests: First attempts.
        before: First attempts in the preceding window.
        repeats: Retries, including the calls that retried runs make again.
    """

    requests: int
    before: int
    repeats: int


class _ServiceCounters:
    """Own counts for one service by slice, and the granted retries."""

    __slots__ = ("remaining_grant", "full_grant", "repeats", "requests")

    def __init__(self) -> None:
        self.requests: collections.deque[int] = collections.deque(
            [0] * (2 * WINDOW_SLICES), 2 * WINDOW_SLICES
        )
        # One more slice, since the window covers its first slice in part.
        self.repeats: collections.deque[float] = collections.deque(
            [0.0] * (WINDOW_SLICES + 1), WINDOW_SLICES + 1
        )
        self.remaining_grant = 0.0
        self.full_grant = 0.0

    def usage(self) -> RetryUsage:
        """Returns the sums over the current and the preceding window."""
        requests = tuple(self.requests)
        return RetryUsage(
            sum(requests[WINDOW_SLICES:]),
            sum(requests[:WINDOW_SLICES]),
            math.ceil(sum(self.repeats)),
        )


class _Report(msgspec.Struct):
    """Last usage reported by one process."""

    usage: Mapping[ids.ServiceName, RetryUsage]
    received_s: float


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
        self._reports: dict[ids.PeerAddress, dict[int, _Report]] = (
            collections.defaultdict(dict)
        )
        self._slice_start_s = clock.now_s()

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

        Args:
            service: Service that the retry is sent to.
            calls_by_service: Mean calls of the retried run to each service
                below.
            reserve_share: Share of the grant that is reserved for others.
        """
        self._advance_slices()
        costs = {
            **calls_by_service,
            service: 1.0 + calls_by_service.get(service, 0.0),
        }
        for name, cost in costs.items():
            counters = self._counters[name]
            if (
                counters.remaining_grant - cost
                < reserve_share * counters.full_grant
            ):
                return False
        for name, cost in costs.items():
            counters = self._counters[name]
            counters.remaining_grant -= cost
            counters.repeats[-1] += cost
        return True

    def usage(self) -> dict[ids.ServiceName, RetryUsage]:
        """Returns the usage to report, for services with any counts."""
        self._advance_slices()
        usages = {name: each.usage() for name, each in self._counters.items()}
        return {
            name: usage
            for name, usage in usages.items()
            if usage.requests or usage.before or usage.repeats
        }

    def record_report(
        self,
        host: ids.PeerAddress,
        incarnation: int,
        usage: Mapping[ids.ServiceName, RetryUsage],
    ) -> None:
        """Stores the usage reported by another process."""
        self._reports[host][incarnation] = _Report(usage, self._clock.now_s())

    def allocate(self, live: Set[ids.PeerAddress]) -> None:
        """Sets the retries that this node may spend until the next call.

        Args:
            live: Other hosts with recent reports. The requests of the
                remaining hosts add no budget here, since those hosts may
                spend it themselves; their retries count for one window.
        """
        self._advance_slices()
        self._discard_expired()
        newest_usages = [
            max(processes.values(), key=lambda report: report.received_s).usage
            for host, processes in self._reports.items()
            if host in live and processes
        ]
        nodes = 1 + len(live)
        known = 1 + len(live | self._reports.keys())
        slack = self._slack * nodes / known
        for usage in newest_usages:
            for name in usage:
                self._counters[name]
        for name, counters in self._counters.items():
            own = counters.usage()
            requests = own.requests + _sum_field(
                newest_usages, name, "requests"
            )
            before = own.before + _sum_field(newest_usages, name, "before")
            bound = self._ratio * max(requests, before) + slack
            remaining = (
                USED_BOUND_SHARE * bound
                - own.repeats
                - self._reported_retries(name)
            )
            node_share = EQUAL_SHARE / nodes
            if requests:
                node_share += (1.0 - EQUAL_SHARE) * own.requests / requests
            grant = max(0.0, remaining) * GRANTED_SHARE * node_share
            # Random rounding keeps the mean of grants that are below one.
            counters.remaining_grant = float(int(grant + self._random.random()))
            counters.full_grant = counters.remaining_grant

    def _reported_retries(self, name: ids.ServiceName) -> int:
        return sum(
            report.usage[name].repeats
            for processes in self._reports.values()
            for report in processes.values()
            if name in report.usage
        )

    def _discard_expired(self) -> None:
        oldest_s = self._clock.now_s() - self._window_s
        for host, processes in tuple(self._reports.items()):
            for incarnation, report in tuple(processes.items()):
                if report.received_s < oldest_s:
                    del processes[incarnation]
            if not processes:
                del self._reports[host]

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


def _sum_field(
    usages: Iterable[Mapping[ids.ServiceName, RetryUsage]],
    name: ids.ServiceName,
    field: str,
) -> int:
    return sum(getattr(usage[name], field) for usage in usages if name in usage)


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
