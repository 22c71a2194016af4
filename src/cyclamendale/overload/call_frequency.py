"""Learns how many calls a run of a route makes to each route below it.

An upstream's calls do not say which request they belong to. A node sees
how many requests of each route its upstream ran in an interval and how
many calls it made, and fits the means by least squares, with as few
callers as explain the calls.
Nodes exchange what they learned; the whole chain of a route follows.
"""

from __future__ import annotations

import collections
from collections.abc import Iterable, Iterator, Mapping
import heapq
import statistics
from typing import TypeAlias

import msgspec

from cyclamendale import ids

DECAY_PER_INTERVAL = 0.97
"""Weight that an interval keeps until the next; some thirty count."""

MIN_PRODUCT_WEIGHT = 1e-3
"""Weight of a product of counts below which it is forgotten."""

LATE_CALL_SHARE = 0.2
"""Share of its calls that a run makes in the interval after it began, of
half a second; the rest it makes in the same."""

MIN_EXPLAINED_SHARE = 0.25
"""Part of the squared error that a further caller must explain. A route
that calls nothing explains some of the noise of the others; most call
graphs are sparse."""

MAX_CANDIDATES = 8
"""Routes of one upstream that are fitted, those with the most runs; the
fit of one call takes a few microseconds for each."""

PRIOR_RUNS = 4.0
"""Runs without any call that each route is taken to have had: means of
routes that ran seldom stay near zero."""

MIN_INTERVALS = 3
"""Intervals from which means are told. With so few, a route may explain the
calls of another; the other hosts of its service outvote that."""

MIN_RUNS_PER_INTERVAL = 3
"""Runs in an interval from which it is fitted."""

RETENTION_INTERVALS = 60
"""Intervals for which a mean counts that no node reports any more: half a
minute, several times the pause between two reports of it."""

MAX_DEPTH = 8
"""Deepest chain that is followed."""


_Products: TypeAlias = dict[ids.RouteName, dict[ids.RouteName, float]]


class Frequency(msgspec.Struct, frozen=True):
    """Mean calls of one route during a run of another."""

    caller: ids.RouteName
    callee: ids.RouteName
    calls: float


class _DecayedProducts:
    """Products of counts, summed over intervals; newer ones weigh more.

    Attributes:
        runs: Products of the runs of two routes.
        calls: Products of the calls of one route and the runs of another.
        squares: Squares of the calls of each route.
    """

    def __init__(self) -> None:
        self.runs: _Products = collections.defaultdict(dict)
        self.calls: _Products = collections.defaultdict(dict)
        self.squares: dict[ids.RouteName, float] = {}

    def add(
        self,
        runs: Mapping[ids.RouteName, float],
        calls: Mapping[ids.RouteName, int],
    ) -> None:
        """Adds the counts of an interval."""
        _accumulate(self.runs, runs, runs)
        _accumulate(self.calls, calls, runs)
        for name in self.squares:
            self.squares[name] *= DECAY_PER_INTERVAL
        for name, count in calls.items():
            self.squares[name] = self.squares.get(name, 0.0) + count * count

    def most_run_routes(self, count: int) -> set[ids.RouteName]:
        """Returns the routes with the most runs."""
        return set(
            heapq.nlargest(
                count,
                self.runs,
                key=lambda name: self.runs[name].get(name, 0.0),
            )
        )

    def squared_error(
        self, callee: ids.RouteName, means: Mapping[ids.RouteName, float]
    ) -> float:
        """Returns the squared error of the means of some callers."""
        calls, runs = self.calls[callee], self.runs
        error = self.squares.get(callee, 0.0)
        for caller, mean in means.items():
            error -= 2.0 * mean * calls.get(caller, 0.0)
            for other, other_mean in means.items():
                error += mean * other_mean * runs[caller].get(other, 0.0)
        return error

    def fit(
        self, callee: ids.RouteName, callers: Iterable[ids.RouteName]
    ) -> dict[ids.RouteName, float]:
        """Returns the means with the least error; those below zero are 0."""
        names = tuple(callers)
        rows = [
            [
                self.runs[caller].get(other, 0.0)
                + (PRIOR_RUNS if caller == other else 0.0)
                for other in names
            ]
            + [self.calls[callee].get(caller, 0.0)]
            for caller in names
        ]
        return {
            name: max(0.0, mean)
            for name, mean in zip(names, _solve(rows), strict=True)
        }


def _solve(rows: list[list[float]]) -> list[float]:
    """Solves the equations of a positive definite matrix.

    Args:
        rows: The matrix, each row with its right side as last element.
    """
    for index, pivot in enumerate(rows):
        for row in rows:
            if row is not pivot:
                factor = row[index] / pivot[index]
                for column in range(index, len(pivot)):
                    row[column] -= factor * pivot[column]
    return [row[-1] / row[index] for index, row in enumerate(rows)]


class CallFrequencyEstimator:
    """What one node learns from its own upstream."""

    def __init__(self) -> None:
        self._runs: collections.Counter[ids.RouteName] = collections.Counter()
        self._runs_before: collections.Counter[ids.RouteName] = (
            collections.Counter()
        )
        self._calls: collections.Counter[ids.RouteName] = collections.Counter()
        self._products = _DecayedProducts()
        self._intervals = 0
        self._means: dict[ids.RouteName, dict[ids.RouteName, float]] = {}

    def record_run(self, route: ids.RouteName) -> None:
        """Counts a request that the upstream began to run."""
        self._runs[route] += 1

    def record_call(self, route: ids.RouteName) -> None:
        """Counts a call that the upstream made."""
        self._calls[route] += 1

    def end_interval(self) -> None:
        """Fits the means to the counts and begins anew."""
        before, self._runs_before = self._runs_before, self._runs
        runs, self._runs = self._runs, collections.Counter()
        calls, self._calls = self._calls, collections.Counter()
        if runs.total() + before.total() < MIN_RUNS_PER_INTERVAL:
            return
        self._products.add(
            {
                route: (1.0 - LATE_CALL_SHARE) * runs[route]
                + LATE_CALL_SHARE * before[route]
                for route in runs.keys() | before.keys()
            },
            calls,
        )
        self._intervals += 1
        if self._intervals < MIN_INTERVALS:
            return
        self._means = {
            callee: self._select_callers(callee)
            for callee in self._products.calls
        }

    def frequencies(self) -> Iterable[Frequency]:
        """Yields what was learned."""
        for callee, by_caller in self._means.items():
            for caller, calls in by_caller.items():
                if calls >= 0.01:
                    yield Frequency(caller, callee, calls)

    def _select_callers(
        self, callee: ids.RouteName
    ) -> dict[ids.RouteName, float]:
        """Takes callers in while each explains much of what is left."""
        means: dict[ids.RouteName, float] = {}
        error = self._products.squared_error(callee, means)
        candidates = self._products.most_run_routes(MAX_CANDIDATES)
        while candidates:
            fits = (
                self._products.fit(callee, (*means, caller))
                for caller in candidates
            )
            best = min(
                fits,
                key=lambda each: self._products.squared_error(callee, each),
            )
            best_error = self._products.squared_error(callee, best)
            if best_error > (1.0 - MIN_EXPLAINED_SHARE) * error:
                break
            means, error = best, best_error
            candidates -= means.keys()
        return means


def _accumulate(
    sums: _Products,
    first: Mapping[ids.RouteName, float],
    second: Mapping[ids.RouteName, float],
) -> None:
    """Adds the products of two sets of counts to sums that fade."""
    for key, row in tuple(sums.items()):
        for name in tuple(row):
            row[name] *= DECAY_PER_INTERVAL
            if row[name] < MIN_PRODUCT_WEIGHT:
                del row[name]
        if not row:
            del sums[key]
    for one, count in first.items():
        row = sums[one]
        for other, other_count in second.items():
            row[other] = row.get(other, 0.0) + count * other_count


class _HostFrequencies(msgspec.Struct):
    """What one host learned, and the intervals since it said so."""

    service: ids.ServiceName
    edges: dict[ids.RouteName, dict[ids.RouteName, float]]
    age_intervals: int = 0


class CallGraph:
    """Medians of all hosts, followed down from a root's route.

    A host that saw little may take a call for that of another route; most
    of the hosts that run the same routes do not.
    """

    def __init__(self) -> None:
        self._by_host: dict[ids.PeerAddress, _HostFrequencies] = {}
        self._services: Mapping[ids.RouteName, ids.ServiceName] = {}
        self._cache: dict[ids.RouteName, dict[ids.ServiceName, float]] = {}

    def set_services(
        self, services: Mapping[ids.RouteName, ids.ServiceName]
    ) -> None:
        """Takes the service that runs each route."""
        self._services = services
        self._cache.clear()

    def update_host(
        self,
        host: ids.PeerAddress,
        service: ids.ServiceName,
        frequencies: Iterable[Frequency],
    ) -> None:
        """Takes all means that one host reports, in place of earlier ones.

        Args:
            host: The host.
            service: Service of its upstream.
            frequencies: The means.
        """
        host_frequencies = _HostFrequencies(
            service, collections.defaultdict(dict)
        )
        for frequency in frequencies:
            edges = host_frequencies.edges[frequency.caller]
            edges[frequency.callee] = frequency.calls
        self._by_host[host] = host_frequencies
        self._cache.clear()

    def end_interval(self) -> None:
        """Forgets hosts that have not reported for long."""
        for host, host_frequencies in tuple(self._by_host.items()):
            host_frequencies.age_intervals += 1
            if host_frequencies.age_intervals > RETENTION_INTERVALS:
                del self._by_host[host]
                self._cache.clear()

    def calls_by_service(
        self, route: ids.RouteName
    ) -> Mapping[ids.ServiceName, float]:
        """Returns the mean calls to each service below a route."""
        calls_by_service = self._cache.get(route)
        if calls_by_service is None:
            calls_by_service = collections.defaultdict(float)
            self._accumulate_calls(route, 1.0, MAX_DEPTH, calls_by_service)
            self._cache[route] = calls_by_service
        return calls_by_service

    def _accumulate_calls(
        self,
        route: ids.RouteName,
        multiplier: float,
        depth: int,
        calls_by_service: dict[ids.ServiceName, float],
    ) -> None:
        if depth == 0 or multiplier < 0.01:
            return
        for callee, calls in self._median_calls(route):
            service = self._services.get(callee)
            if service is not None:
                calls_by_service[service] += multiplier * calls
            self._accumulate_calls(
                callee, multiplier * calls, depth - 1, calls_by_service
            )

    def _median_calls(
        self, route: ids.RouteName
    ) -> Iterator[tuple[ids.RouteName, float]]:
        """Yields the calls of a route, as most of its hosts see them."""
        service = self._services.get(route)
        seen = [
            host_frequencies.edges.get(route, {})
            for host_frequencies in self._by_host.values()
            if host_frequencies.service == service
            or route in host_frequencies.edges
        ]
        for callee in {callee for edges in seen for callee in edges}:
            calls = statistics.median(edges.get(callee, 0.0) for edges in seen)
            if calls > 0.0:
                yield callee, calls
