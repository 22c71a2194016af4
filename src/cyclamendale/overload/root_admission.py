"""Refuses roots whose chain would meet a service without room.

Pressures come from the gates (see `pressure`); what a route's requests
will call is learned (see `call_frequency`). The least important roots are
refused first, and within one importance a share of them.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
import random as random_module

from cyclamendale import ids
from cyclamendale.intents import model

LEAST_CALLS = 0.05
"""Mean calls of a service from which a route depends on it."""

MOST_REFUSED = 0.95
"""Share of one importance that is refused at the most; the rest probes
whether there is room again."""

RETRY_AFTER_S = (0.4, 1.6)
"""Bounds of the time after which refused callers may return, spread so
that they do not come together. Pressure falls by one importance in about
1.2 s."""

_RANKS = len(model.Importance)

ChainOf = Callable[[ids.RouteName], Mapping[ids.ServiceName, float]]
"""Returns the mean calls that a run of a route makes to each service."""

PressureOf = Callable[[ids.ServiceName], float]
"""Returns the pressure of a service."""


class RootAdmission:
    """Decides for each root at its first node."""

    def __init__(
        self,
        random: random_module.Random,
        chain_of: ChainOf,
        pressure_of: PressureOf,
    ) -> None:
        self._random = random
        self._chain_of = chain_of
        self._pressure_of = pressure_of

    def refused_by(
        self,
        route: ids.RouteName,
        service: ids.ServiceName,
        rank: int,
    ) -> ids.ServiceName | None:
        """Returns the service that has no room for a root, or None.

        Args:
            route: The root's route.
            service: Service that is to run it.
            rank: Its importance as a number; the highest is shed first.
        """
        worst, share = None, 0.0
        for name in self._chain(route, service):
            refused = refused_share(self._pressure_of(name), rank)
            if refused > share:
                worst, share = name, refused
        if worst is None or self._random.random() >= share:
            return None
        return worst

    def retry_after_s(self) -> float:
        """Returns when a refused root may come back."""
        return self._random.uniform(*RETRY_AFTER_S)

    def _chain(
        self, route: ids.RouteName, service: ids.ServiceName
    ) -> Iterable[ids.ServiceName]:
        yield service
        for name, calls in self._chain_of(route).items():
            if calls >= LEAST_CALLS and name != service:
                yield name


def refused_share(pressure: float, rank: int) -> float:
    """Returns the share of the roots of one rank that is refused."""
    # Rank 3 begins at pressure 0, rank 0 at pressure 3.
    begins = _RANKS - 1 - rank
    return min(MOST_REFUSED, max(0.0, pressure - begins))
