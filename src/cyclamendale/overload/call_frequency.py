"""Estimates how many calls a run of a route makes to other routes.

An upstream's calls do not say which request they belong to. A node counts
how many requests of each route its upstream ran in an interval and how
many calls it made. It fits the mean calls per run by sparse least squares,
with as few callers as explain the calls.
Nodes exchange their estimates, which together give the call graph and the
total calls below a route.
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
"""Decay of weights per interval; about thirty intervals count."""

MIN_PRODUCT_WEIGHT = 1e-3
"""Product of counts below which it is removed."""

LATE_CALL_SHARE = 0.2
"""Share of a run's calls that fall into the interval after the one in which it
started; the rest fall into that one. An interval is half a second."""

MIN_EXPLAINED_SHARE = 0.25
"""Share of the squared error that an additional caller must explain. Even a
route without calls explains some noise of the others, and most call graphs
are sparse."""

MAX_CANDIDATES = 8
"""Maximum number of routes of one upstream that are fitted, those with the
most runs. The fit of one callee takes a few microseconds per route."""

PRIOR_RUNS = 4.0
"""Runs without calls that are assumed for each route. They keep the means
of rarely run routes near zero."""

MIN_INTERVALS = 3
"""Intervals required before means are reported. With so few, calls may be
attributed to the wrong route; the median over the other hosts of the service
corrects that."""

MIN_RUNS_PER_INTERVAL = 3
"""Runs required in an interval to include it in the fit."""

RETENTION_INTERVALS = 60
"""Intervals after which the means of a silent source expire: half a minute,
several times the interval between its reports."""

MAX_DEPTH = 8
"""Maximum depth to which the call graph is followed."""


_Products: TypeAlias = dict[ids.RouteName, dict[ids.RouteName, float]]


class Frequency(msgspec.Struct, frozen=True):
    """Mean number of calls to one route per run of another."""

    caller: ids.RouteName
    callee: ids.RouteName
    calls: float


class _DecayedProducts:
    """Sums of products of counts over intervals, with exponential decay.

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
        """Returns the squared error of the means of given callers."""
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
        """Returns the least-squares means; negative ones are set to 0."""
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
    """Solves a linear system with a positive definite matrix.

    Args:
        rows: The matrix, with the right-hand side as last column.
    """
    for index, pivot in enumerate(rows):
        for row in rows:
            if row is not pivot:
                factor = row[index] / pivot[index]
                for column in range(index, len(pivot)):
                    row[column] -= factor * pivot[column]
    return [row[-1] / row[index] for index, row in enumerate(rows)]


class CallFrequencyEstimator:
    """Estimates call frequencies from the counts of the own upstream."""

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
        """Records a request that the upstream started to run."""
        self._runs[route] += 1

    def record_call(self, route: ids.RouteName) -> None:
        """Records a call that the upstream made."""
        self._calls[route] += 1

    def end_interval(self) -> None:
        """Fits the means to the counts and starts a new interval."""
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
        """Yields the estimated frequencies."""
        for callee, by_caller in self._means.items():
            for caller, calls in by_caller.items():
                if calls >= 0.01:
                    yield Frequency(caller, callee, calls)

    def _select_callers(
        self, callee: ids.RouteName
    ) -> dict[ids.RouteName, float]:
        """Selects callers greedily while each reduces the error enough."""
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
    """Decays the sums, then adds the products of two sets of counts."""
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


class _SourceFrequencies(msgspec.Struct):
    """Frequencies that one source reported, and their age."""

    service: ids.ServiceName
    edges: dict[ids.RouteName, dict[ids.RouteName, float]]
    age_intervals: int = 0


class CallGraph:
    """Call graph from the medians of all sources' estimates.

    A source is a host, or the hosts of one service in a failure domain. One
    with few observations may attribute a call to the wrong route; most of
    those that run the same routes do not.
    """

    def __init__(self) -> None:
        self._by_source: dict[str, _SourceFrequencies] = {}
        self._services: Mapping[ids.RouteName, ids.ServiceName] = {}
        self._cache: dict[ids.RouteName, dict[ids.ServiceName, float]] = {}

    def set_services(
        self, services: Mapping[ids.RouteName, ids.ServiceName]
    ) -> None:
        """Sets the service that runs each route."""
        self._services = services
        self._cache.clear()

    def has_source(self, source: str) -> bool:
        """Returns whether a source reported lately."""
        return source in self._by_source

    def medians(self) -> Iterator[tuple[ids.ServiceName, Frequency]]:
        """Yields the median frequencies, each with its route's service."""
        routes = {
            route
            for reported in self._by_source.values()
            for route in reported.edges
        }
        for route in sorted(routes):
            service = self._services.get(route)
            if service is not None:
                for callee, calls in self._median_calls(route):
                    yield service, Frequency(route, callee, calls)

    def update_source(
        self,
        source: str,
        service: ids.ServiceName,
        frequencies: Iterable[Frequency],
    ) -> None:
        """Replaces the frequencies of one source.

        Args:
            source: The reporting source.
            service: Service of its upstreams.
            frequencies: All frequencies that it reports.
        """
        reported = _SourceFrequencies(service, collections.defaultdict(dict))
        for frequency in frequencies:
            edges = reported.edges[frequency.caller]
            edges[frequency.callee] = frequency.calls
        self._by_source[source] = reported
        self._cache.clear()

    def end_interval(self) -> None:
        """Removes sources whose last report has expired."""
        for source, reported in tuple(self._by_source.items()):
            reported.age_intervals += 1
            if reported.age_intervals > RETENTION_INTERVALS:
                del self._by_source[source]
                self._cache.clear()

    def calls_by_service(
        self, route: ids.RouteName
    ) -> Mapping[ids.ServiceName, float]:
        """Returns the mean calls per run of a route, by callee service."""
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
        """Yields the median calls of a route over the sources that run it."""
        service = self._services.get(route)
        seen = [
            reported.edges.get(route, {})
            for reported in self._by_source.values()
            if reported.service == service or route in reported.edges
        ]
        for callee in {callee for edges in seen for callee in edges}:
            calls = statistics.median(edges.get(callee, 0.0) for edges in seen)
            if calls > 0.0:
                yield callee, calls
