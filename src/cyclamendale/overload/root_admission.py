"""Refuses roots whose chain would meet a service without room.

Pressures come from the gates (see `pressure`): the share of a service's
load that has to go. What a route's requests will call is learned (see
`call_frequency`). Each node knows how much of the load that its own roots
bring to a service has which rank, and refuses from the least important up.
"""

from __future__ import annotations

import collections
from collections.abc import Callable, Iterator, Mapping
import random as random_module

import msgspec

from cyclamendale import clocks
from cyclamendale import ids

MIN_CALLS = 0.3
"""Mean calls of a service from which a route depends on it; what the fit
makes other routes of the same upstream seem to call is less."""

MAX_REFUSED_SHARE = 0.97
"""Share of one rank that is refused at the most; the rest probes whether
there is room again."""

MIN_RANK_SHARE = 0.06
"""Part of a service's load below which a rank is not refused for it: that
would make next to no room for the ranks before it."""

RETRY_AFTER_RANGE_S = (0.4, 1.6)
"""Bounds of the time after which refused callers may return, spread so
that they do not come together. Pressure halves in about two seconds."""

DEMAND_HALF_LIFE_S = 2.5
"""Time in which past load loses half of its weight; at ten roots a second
some forty count."""

_MAX_HALF_LIVES = 40.0
"""Growth of the weights after which they are scaled down."""

CallsByService = Callable[[ids.RouteName], Mapping[ids.ServiceName, float]]
"""Returns the mean calls that a run of a route makes to each service."""

PressureOf = Callable[[ids.ServiceName], float]
"""Returns the pressure of a service."""


class ShedCause(msgspec.Struct, frozen=True):
    """Why a root was refused.

    Attributes:
        service: The service that has no room for it.
        pressure: Share of that service's load that has to go.
        refused_share: Share of the root's rank that is refused for it.
        calls: Mean calls that the root makes to it.
    """

    service: ids.ServiceName
    pressure: float
    refused_share: float
    calls: float


class RankedDemand:
    """Load that roots bring to each service, by rank.

    Newer load weighs more: weights grow with time in place of a decay.
    """

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self._epoch_s = clock.now_s()
        self._loads: dict[ids.ServiceName, dict[int, float]] = (
            collections.defaultdict(dict)
        )

    def add(self, service: ids.ServiceName, rank: int, calls: float) -> None:
        """Counts the calls that one root brings to a service."""
        half_lives = (self._clock.now_s() - self._epoch_s) / DEMAND_HALF_LIFE_S
        if half_lives > _MAX_HALF_LIVES:
            self._scale_down(half_lives)
            half_lives = 0.0
        loads = self._loads[service]
        loads[rank] = loads.get(rank, 0.0) + calls * 2.0**half_lives

    def refused_share(
        self, service: ids.ServiceName, rank: int, pressure: float
    ) -> float:
        """Returns the share of a rank's roots that is refused.

        Args:
            service: The service under pressure.
            rank: The rank; the highest is refused first.
            pressure: Share of the service's load that has to go.
        """
        loads = self._loads.get(service)
        if not loads or pressure <= 0.0:
            return 0.0
        total = sum(loads.values())
        excess = pressure * total
        excess -= sum(load for other, load in loads.items() if other > rank)
        own = loads.get(rank, 0.0)
        if excess <= 0.0 or own < MIN_RANK_SHARE * total:
            return 0.0
        return min(MAX_REFUSED_SHARE, excess / own)

    def _scale_down(self, half_lives: float) -> None:
        factor = 2.0**-half_lives
        for loads in self._loads.values():
            for rank in loads:
                loads[rank] *= factor
        self._epoch_s = self._clock.now_s()


class RootAdmission:
    """Decides for each root at its first node."""

    def __init__(
        self,
        clock: clocks.Clock,
        random: random_module.Random,
        calls_by_service: CallsByService,
        pressure_of: PressureOf,
    ) -> None:
        self._random = random
        self._calls_by_service = calls_by_service
        self._pressure_of = pressure_of
        self._demand = RankedDemand(clock)

    def shed_cause(
        self,
        route: ids.RouteName,
        service: ids.ServiceName,
        rank: int,
    ) -> ShedCause | None:
        """Returns why a root is refused, or None if it is let in.

        Args:
            route: The root's route.
            service: Service that is to run it.
            rank: Its place in the order of shedding.
        """
        worst: ShedCause | None = None
        demand = self._demand
        for name, calls in self._service_calls(route, service):
            demand.add(name, rank, calls)
            pressure = self._pressure_of(name)
            if pressure > 0.0:
                share = demand.refused_share(name, rank, pressure)
                if share > (worst.refused_share if worst else 0.0):
                    worst = ShedCause(name, pressure, share, calls)
        if worst is None or self._random.random() >= worst.refused_share:
            return None
        return worst

    def retry_after_s(self) -> float:
        """Returns when a refused root may come back."""
        return self._random.uniform(*RETRY_AFTER_RANGE_S)

    def _service_calls(
        self, route: ids.RouteName, service: ids.ServiceName
    ) -> Iterator[tuple[ids.ServiceName, float]]:
        service_calls = self._calls_by_service(route)
        yield service, 1.0 + service_calls.get(service, 0.0)
        for name, calls in service_calls.items():
            if calls >= MIN_CALLS and name != service:
                yield name, calls
