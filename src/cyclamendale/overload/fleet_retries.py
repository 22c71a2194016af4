"""Bound on the repeated sends of all nodes to each service.

The load it answers: upstreams that lose or refuse a part of what they get.
All nodes together may send a service, in any window, repeats of a given
ratio of the requests for it and a fixed slack. Failures come where the
faults are and not where the requests are, so the nodes spend one allowance
together: each reports what it counted, and takes at each report a part of
what is left of the whole.

A run that is a repeat makes its calls again, and these are repeats at the
services below. They are charged to the node that repeats the run.
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
"""Parts of the window; the bound is kept to a tenth of it."""

USED_BOUND_SHARE = 0.8
"""Part of the bound that is used. A repeated run's calls look like new
requests to the nodes below it, which raises what they report."""

GRANTED_SHARE = 0.5
"""Part of what is left that is spent between two reports. The reports of
the others are one interval old, so the same room may be given out twice."""

EQUAL_SHARE = 0.2
"""Share of what is given out that goes evenly to all nodes; the rest goes
by the requests that each sends to the service."""


class RetryUsage(msgspec.Struct, frozen=True):
    """What one process counted for one service in the last window.

    Attributes:
        requests: First sends of requests.
        before: First sends in the window before that.
        repeats: Repeats, and calls that repeated runs make again.
    """

    requests: int
    before: int
    repeats: int


class _ServiceCounters:
    """Own counts for one service, by slice, and the leave to repeat."""

    __slots__ = ("remaining_grant", "full_grant", "repeats", "requests")

    def __init__(self) -> None:
        self.requests: collections.deque[int] = collections.deque(
            [0] * (2 * WINDOW_SLICES), 2 * WINDOW_SLICES
        )
        # One slice more: the first of the window is met in part only.
        self.repeats: collections.deque[float] = collections.deque(
            [0.0] * (WINDOW_SLICES + 1), WINDOW_SLICES + 1
        )
        self.remaining_grant = 0.0
        self.full_grant = 0.0

    def usage(self) -> RetryUsage:
        """Returns the sums over the windows."""
        requests = tuple(self.requests)
        return RetryUsage(
            sum(requests[WINDOW_SLICES:]),
            sum(requests[:WINDOW_SLICES]),
            math.ceil(sum(self.repeats)),
        )


class _Report(msgspec.Struct):
    """Last usage that one process reported."""

    usage: Mapping[ids.ServiceName, RetryUsage]
    received_s: float


class FleetRetryBudget:
    """The allowance for repeats, as one node may spend it."""

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
        """Counts a request for a service, whatever becomes of it."""
        self._advance_slices()
        self._counters[service].requests[-1] += 1

    def try_acquire(
        self,
        service: ids.ServiceName,
        calls_by_service: Mapping[ids.ServiceName, float],
        reserve_share: float = 0.0,
    ) -> bool:
        """Counts a repeat if there is leave for it.

        Args:
            service: Where it would go.
            calls_by_service: Mean calls that it would make to each service below.
            reserve_share: Part of the leave that is left to others.
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
        """Returns what to report: services with requests or repeats."""
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
        """Takes what another process reports."""
        self._reports[host][incarnation] = _Report(usage, self._clock.now_s())

    def allocate(self, live: Set[ids.PeerAddress]) -> None:
        """Sets what this node may spend until the next call.

        Args:
            live: Other hosts that were heard of lately. The requests of
                the rest give no leave here, since these spend it
                themselves; their repeats count for a window.
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
            # Grants below one come now and then, and are right in the mean.
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
    """Returns the allowance of a node that has counted nothing yet.

    Args:
        clock: Clock of the windows.
        random: Rounds grants below one.
        ratio: Repeats allowed for each request.
        window_s: Length of the window of the bound.
        slack: Repeats allowed beyond the ratio, of all nodes together.
    """
    return FleetRetryBudget(clock, random, ratio, window_s, slack)
