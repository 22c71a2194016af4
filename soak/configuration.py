"""Publishes configurations and keeps what each of them allows."""

from __future__ import annotations

import json
import random

from review import standins
from soak import connections
from soak import history
from soak import processes
from soak import sites

FIRST_VERSION = 1
NEVER = "never"
"""Name of a route, and a key, that no configuration has."""

EXTRA_ROUTES = 6
"""Most routes besides those that all versions have."""


def make_prefix(name: str) -> str:
    """Returns the prefix of a route."""
    return f"/{name}/"


class Configuration:
    """The operator's configurations.

    Attributes:
        history: Takes the versions.
        extras: Service of each route that may go, by its name.
        gone: Names of routes that went.
        keys: Keys that may go.
        gone_keys: Keys that went.
    """

    def __init__(
        self,
        hosts: processes.Hosts,
        site: sites.Site,
        kinds: list[connections.Kind],
        past: history.History,
    ) -> None:
        self.history = past
        self.extras: dict[str, str] = {}
        self.gone: list[str] = []
        self.keys: list[str] = []
        self.gone_keys: list[str] = []
        self._hosts = hosts
        self._services = list(site.services)
        self._kinds = kinds
        self._version = FIRST_VERSION

    def publish(self) -> None:
        """Publishes the newest configuration."""
        routes = [
            standins.make_route(
                kind.name,
                make_prefix(kind.name),
                kind.service,
                "idempotent" if kind.is_idempotent else "non_idempotent",
                connections.ROUTE_TIMEOUT_S,
            )
            | {"auth_exempt": not kind.key}
            for kind in self._kinds
        ]
        routes += [
            standins.make_route(
                name,
                make_prefix(name),
                service,
                "idempotent",
                connections.ROUTE_TIMEOUT_S,
            )
            for name, service in self.extras.items()
        ]
        keys = [standins.KEY, *self.keys]
        self.history.versions.append(
            history.Version(
                self._version,
                self._hosts.record.now_s(),
                {route["prefix"]: route["service"] for route in routes},
                frozenset(keys),
            )
        )
        self._hosts.store.put(
            "op",
            "config",
            self._make_manifest(routes, keys),
        )

    def _make_manifest(self, routes: list[dict], keys: list[str]) -> bytes:
        manifest = json.loads(
            standins.make_manifest(self._version, self._services, routes)
        )
        manifest["tenants"][0]["api_keys"] = keys
        return json.dumps(manifest).encode()

    def choose_kind(self, rng: random.Random) -> connections.Kind:
        """Returns requests for a route or with a key that comes and goes."""
        name = rng.choice([*self.extras, *self.gone[-3:], NEVER])
        if rng.random() < 0.5:
            return connections.Kind(name, "", True)
        key = rng.choice([*self.keys, *self.gone_keys[-3:], NEVER])
        names = [k.name for k in self._kinds if k.key and k.is_idempotent]
        return connections.Kind(rng.choice(names), "", True, key)

    def change(self, rng: random.Random) -> None:
        """Adds, moves or removes a route; at times a key too."""
        self._version += rng.randint(1, 3)
        if rng.random() < 0.3:
            self.keys.append(f"key-{self._version}")
        elif self.keys and rng.random() < 0.3:
            self.gone_keys.append(self.keys.pop(0))
        names = list(self.extras)
        choice = rng.random()
        if not names or choice < 0.5 and len(names) < EXTRA_ROUTES:
            self.extras[f"extra-{self._version}"] = rng.choice(self._services)
        elif choice < 0.75:
            name = rng.choice(names)
            others = [s for s in self._services if s != self.extras[name]]
            self.extras[name] = rng.choice(others)
        else:
            name = rng.choice(names)
            del self.extras[name]
            self.gone.append(name)
        self.publish()
        self._hosts.record.line(
            "published",
            version=self._version,
            extras=self.extras,
            keys=self.keys,
        )
