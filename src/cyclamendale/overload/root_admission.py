"""Admission control of roots by the pressure of the services they call.

Gates report pressures (see `pressure`): the share of a service's load that
is to be shed. The calls of a route's requests are estimated (see
`call_frequency`). Each node tracks the load that its own roots bring to each
service by rank, and refuses the least important ranks first.
"""

from __future__ import annotations

import collections
from collections.abc import Callable, Iterator, Mapping
import random as random_module

import msgspec

from cyclamendale import clocks
from cyclamendale import ids

MIN_CALLS = 0.3
"""Mean calls to a service from which a route depends on it. Calls that the
fit attributes to the wrong route of an upstream stay below this value."""

MAX_REFUSED_SHARE = 0.97
"""Maximum refused share of one rank; the rest probes whether there is
capacity again."""

MIN_RANK_SHARE = 0.06
"""Share of a service's load below which a rank is not refused, since that
would free almost no capacity for more important ranks."""

RETRY_AFTER_RANGE_S = (0.4, 1.6)
"""Bounds of the random delay after which refused callers may retry; the
spread avoids synchronized retries. Pressure halves in about two seconds."""

DEMAND_HALF_LIFE_S = 2.5
"""Half-life of the weight of past load; at ten roots per second about forty
of them count."""

_MAX_HALF_LIVES = 40.0
"""Growth of the weights, in half-lives, after which they are scaled down."""

CallsByService = Callable[[ids.RouteName], Mapping[ids.ServiceName, float]]
"""Returns the mean calls per run of a route, by callee service."""

PressureOf = Callable[[ids.ServiceName], float]
"""Returns the pressure of a service."""


class ShedCause(msgspec.Struct, frozen=True):
    """Why a root was refused.

    Attributes:
        service: The service that lacks capacity for it.
        pressure: Share of that service's load to shed.
        refused_share: Share of the root's rank that is refused.
        calls: Mean calls that the root makes to it.
    """

    service: ids.ServiceName
    pressure: float
    refused_share: float
    calls: float


class RankedDemand:
    """Load that roots cause at each service, by rank.

    The weight of new load grows with time, in place of decaying old load.
    """

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self._epoch_s = clock.now_s()
        self._loads: dict[ids.ServiceName, dict[int, float]] = (
            collections.defaultdict(dict)
        )

    def add(self, service: ids.ServiceName, rank: int, calls: float) -> None:
        """Adds the calls that one root causes at a service."""
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
            pressure: Share of the service's load to shed.
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
    """Admits or refuses each root at its entry node."""

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

    def decide(
        self,
        route: ids.RouteName,
        service: ids.ServiceName,
        rank: int,
    ) -> ShedCause | None:
        """Returns why a root is refused, or None if it is admitted.

        Args:
            route: The root's route.
            service: Service that is to run it.
            rank: Its position in the shedding order.
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
        """Returns the delay after which a refused root may be retried."""
        return self._random.uniform(*RETRY_AFTER_RANGE_S)

    def _service_calls(
        self, route: ids.RouteName, service: ids.ServiceName
    ) -> Iterator[tuple[ids.ServiceName, float]]:
        service_calls = self._calls_by_service(route)
        yield service, 1.0 + service_calls.get(service, 0.0)
        for name, calls in service_calls.items():
            if calls >= MIN_CALLS and name != service:
                yield name, calls
