"""Finds the route, the customer and the shedding rank of a request."""

from __future__ import annotations

from collections.abc import Iterator

from cyclamendale import ids
from cyclamendale.intents import keys
from cyclamendale.intents import model


class RoutingTable:
    """Routing index of one configuration.

    Attributes:
        configuration: The indexed configuration.
    """

    def __init__(self, configuration: model.Configuration) -> None:
        self.configuration = configuration
        self._routes_by_host: dict[bytes, dict[bytes, model.Route]] = {}
        for route in configuration.routes.values():
            prefixes = self._routes_by_host.setdefault(
                route.virtual_host.encode(), {}
            )
            prefixes[route.path_prefix.encode()] = route

    def route(self, host: bytes, path: bytes) -> model.Route | None:
        """Returns the route with the longest prefix that matches, or None.

        Args:
            host: Host header of the request.
            path: Path and query of the request.
        """
        prefixes = self._routes_by_host.get(_normalize_host(host))
        if prefixes is None:
            return None
        for prefix in _path_prefixes(path):
            found = prefixes.get(prefix)
            if found is not None:
                return found
        return None

    def customer(self, key: bytes) -> model.Customer | None:
        """Returns the customer of a granted key, or None."""
        known = self.configuration.keys.get(
            keys.digest_of(key.decode("latin-1"))
        )
        if known is None or known.state is not model.KeyState.GRANTED:
            return None
        return self.configuration.customers.get(known.customer)

    def services_by_route(self) -> dict[ids.RouteName, ids.ServiceName]:
        """Returns the main service of each route."""
        return {
            route.name: route.service
            for route in self.configuration.routes.values()
        }


def shedding_rank(route: model.Route, customer: model.Customer | None) -> int:
    """Returns the rank of a root request in the shedding order.

    Requests are ordered by the importance of the customer, then by that of
    the route. A customer without an importance counts as normal.
    """
    customer_importance = model.Importance.NORMAL
    if customer is not None and customer.importance is not None:
        customer_importance = customer.importance
    return int(customer_importance) * len(model.Importance) + int(
        route.importance
    )


def _normalize_host(host: bytes) -> bytes:
    return host.partition(b":")[0].strip().lower()


def _path_prefixes(path: bytes) -> Iterator[bytes]:
    """Yields the prefixes of a path that end in a slash, longest first."""
    path = path.partition(b"?")[0]
    end = path.rfind(b"/") + 1
    while end > 0:
        yield path[:end]
        end = path.rfind(b"/", 0, end - 1) + 1
