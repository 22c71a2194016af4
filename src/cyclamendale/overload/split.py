"""Division of a route's requests among the services of its split."""

from __future__ import annotations

from cyclamendale import ids
from cyclamendale.intents import model


class WeightedRoundRobin:
    """Smooth weighted round robin, with separate state on each node."""

    def __init__(self) -> None:
        self._credits: dict[ids.RouteName, tuple[model.Route, list[float]]] = {}

    def next_service(self, route: model.Route) -> ids.ServiceName:
        """Returns the service that receives the next request of a route."""
        parts = route.split
        if not parts:
            return route.service
        known = self._credits.get(route.name)
        if known is None or known[0].split != parts:
            known = (route, [0.0] * len(parts))
            self._credits[route.name] = known
        credits = known[1]
        total = 0.0
        for index, part in enumerate(parts):
            credits[index] += part.weight
            total += part.weight
        best = max(range(len(parts)), key=credits.__getitem__)
        credits[best] -= total
        return parts[best].service
