"""Learns how many calls a run of a route makes to each route below it.

An upstream's calls do not say which request they belong to. A node sees
how many requests of each route its upstream ran in an interval and how
many calls it made, and fits the means by normalised least mean squares.
Nodes exchange what they learned; the whole chain of a route follows.
"""

from __future__ import annotations

import collections
from collections.abc import Iterable, Mapping

import msgspec

from cyclamendale import ids

STEP = 0.35
"""Step of the fit; some ten intervals to settle."""

LEAST_RUNS = 3
"""Runs in an interval from which it is fitted."""

MAX_DEPTH = 8
"""Deepest chain that is followed."""


class Frequency(msgspec.Struct, frozen=True):
    """Mean calls of one route during a run of another."""

    caller: ids.RouteName
    callee: ids.RouteName
    calls: float


class LocalFrequencies:
    """What one node learns from its own upstream."""

    def __init__(self) -> None:
        self._runs: collections.Counter[ids.RouteName] = collections.Counter()
        self._calls: collections.Counter[ids.RouteName] = collections.Counter()
        self._means: dict[ids.RouteName, dict[ids.RouteName, float]] = (
            collections.defaultdict(dict)
        )

    def ran(self, route: ids.RouteName) -> None:
        """Counts a request that the upstream began to run."""
        self._runs[route] += 1

    def called(self, route: ids.RouteName) -> None:
        """Counts a call that the upstream made."""
        self._calls[route] += 1

    def end_interval(self) -> None:
        """Fits the means to the counts and begins anew."""
        runs, self._runs = self._runs, collections.Counter()
        calls, self._calls = self._calls, collections.Counter()
        if runs.total() < LEAST_RUNS:
            return
        norm = sum(count * count for count in runs.values())
        for callee in calls.keys() | self._means.keys():
            self._fit(self._means[callee], runs, calls[callee], norm)

    def frequencies(self) -> Iterable[Frequency]:
        """Yields what was learned."""
        for callee, by_caller in self._means.items():
            for caller, calls in by_caller.items():
                if calls >= 0.01:
                    yield Frequency(caller, callee, calls)

    def _fit(
        self,
        means: dict[ids.RouteName, float],
        runs: Mapping[ids.RouteName, int],
        called: int,
        norm: int,
    ) -> None:
        expected = sum(means.get(route, 0.0) * n for route, n in runs.items())
        error = called - expected
        for route, count in runs.items():
            change = STEP * error * count / norm
            means[route] = max(0.0, means.get(route, 0.0) + change)


class CallGraph:
    """Means of all nodes, followed down from a root's route."""

    def __init__(self) -> None:
        self._edges: dict[ids.RouteName, dict[ids.RouteName, float]] = (
            collections.defaultdict(dict)
        )
        self._services: Mapping[ids.RouteName, ids.ServiceName] = {}
        self._chains: dict[ids.RouteName, dict[ids.ServiceName, float]] = {}

    def set_services(
        self, services: Mapping[ids.RouteName, ids.ServiceName]
    ) -> None:
        """Takes the service that runs each route."""
        self._services = services
        self._chains.clear()

    def learn(self, frequencies: Iterable[Frequency]) -> None:
        """Takes the means that one node reports."""
        for frequency in frequencies:
            below = self._edges[frequency.caller]
            known = below.get(frequency.callee)
            below[frequency.callee] = (
                frequency.calls
                if known is None
                else known + 0.3 * (frequency.calls - known)
            )
        self._chains.clear()

    def chain(self, route: ids.RouteName) -> Mapping[ids.ServiceName, float]:
        """Returns the mean calls to each service below a route."""
        chain = self._chains.get(route)
        if chain is None:
            chain = collections.defaultdict(float)
            self._follow(route, 1.0, MAX_DEPTH, chain)
            self._chains[route] = chain
        return chain

    def _follow(
        self,
        route: ids.RouteName,
        times: float,
        depth: int,
        chain: dict[ids.ServiceName, float],
    ) -> None:
        if depth == 0 or times < 0.01:
            return
        for callee, calls in self._edges.get(route, {}).items():
            service = self._services.get(callee)
            if service is not None:
                chain[service] += times * calls
            self._follow(callee, times * calls, depth - 1, chain)
