"""Routes by host and longest prefix, customers by key, shedding ranks."""

from __future__ import annotations

import testtools

from cyclamendale.fleet import routing
from cyclamendale.intents import keys
from cyclamendale.intents import model

CRITICAL = model.Importance.CRITICAL
HIGH = model.Importance.HIGH
NORMAL = model.Importance.NORMAL


def route(name, prefix, host="one"):
    return model.Route(name, "s", prefix, virtual_host=host)


TABLE = routing.RoutingTable(
    model.Configuration(
        routes={
            found.name: found
            for found in (
                route("short", "/a/"),
                route("long", "/a/b/"),
                route("other", "/a/", host="two"),
                route("all", "/", host="three"),
            )
        },
        customers={"big": model.Customer("big", 1, 1)},
        keys={
            keys.digest_of("k1"): model.Key(keys.digest_of("k1"), "big"),
            keys.digest_of("k2"): model.Key(
                keys.digest_of("k2"), "big", model.KeyState.WITHDRAWN
            ),
            keys.digest_of("k3"): model.Key(keys.digest_of("k3"), "gone"),
        },
    )
)


class RouteTest(testtools.TestCase):
    scenarios = [
        (f"{host.decode()} {path.decode()}",
         {"host": host, "path": path, "name": name})
        for host, path, name in (
            (b"one", b"/a/x", "short"),
            (b"one", b"/a/", "short"),
            (b"one", b"/a/b/x", "long"),
            (b"one", b"/a/b", "short"),
            (b"one", b"/a/bc/x", "short"),
            (b"one", b"/a", None),
            (b"one", b"/a?/b/", None),
            (b"one", b"/x/a/", None),
            (b"ONE:8080", b"/a/b/?q=/", "long"),
            (b"two", b"/a/b/x", "other"),
            (b"three", b"/anything", "all"),
            (b"four", b"/a/", None),
        )
    ]  # fmt: skip

    def test_matches_the_longest_prefix_of_the_host(self):
        found = TABLE.route(self.host, self.path)
        self.assertEqual(self.name, found.name if found else None)


class KeyTest(testtools.TestCase):
    scenarios = [
        ("granted", {"key": b"k1", "name": "big"}),
        ("withdrawn", {"key": b"k2", "name": None}),
        ("of a customer that is gone", {"key": b"k3", "name": None}),
        ("unknown", {"key": b"k9", "name": None}),
        ("not text", {"key": b"\xff", "name": None}),
    ]

    def test_finds_the_customer_of_a_granted_key(self):
        found = TABLE.customer(self.key)
        self.assertEqual(self.name, found.name if found else None)


class RankTest(testtools.TestCase):
    def test_orders_by_importance_of_customer_then_route(self):
        order = [
            (CRITICAL, CRITICAL),
            (CRITICAL, NORMAL),
            (HIGH, CRITICAL),
            (HIGH, NORMAL),
            (None, CRITICAL),
        ]
        ranks = [
            routing.shedding_rank(
                model.Route("r", "s", "/", importance=of_route),
                model.Customer("c", 0, 0, importance=of_customer),
            )
            for of_customer, of_route in order
        ]
        self.assertEqual(sorted(ranks), ranks)
        self.assertEqual(len(ranks), len(set(ranks)))
